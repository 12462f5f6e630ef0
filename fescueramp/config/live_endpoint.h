#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// A running endpoint that has announced itself in the store.
struct LiveEndpoint {
  std::string m_name;  ///< Name of the endpoint, unique among all services.
  std::string m_service;
  std::string m_address;  ///< IP address.
  std::int64_t m_port = 0;
  std::string m_zone;  ///< Availability zone.
  std::int64_t m_slots = 1;
  bool m_leaving = false;         ///< Whether it takes no new work.
  std::int64_t m_started_ms = 0;  ///< Unix time of its start, ms; distinguishes restarts under the same name.
  Instant m_warm_at{};            ///< Time from which it runs at full speed.

  bool operator==(const LiveEndpoint&) const = default;
};
BOOST_DESCRIBE_STRUCT(LiveEndpoint, (),
                      (m_name, m_service, m_address, m_port, m_zone, m_slots, m_leaving, m_started_ms,
                       m_warm_at))

}  // namespace fescueramp
