#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace fescueramp {

/// Constraint on requests to an endpoint, as a node that dispatches to it announces it to other nodes.
struct AnnouncedConstraint {
  std::string m_endpoint;
  std::int64_t m_started_ms = 0;  ///< Start time of the endpoint, Unix ms; 0 if unknown.
  /// Requests a second that the endpoint takes from all hosts together. Set only by nodes that send to it.
  std::optional<double> m_limit_per_s = {};
  bool m_leaving = false;       ///< Whether the endpoint is leaving and takes no new requests.
  std::int64_t m_pause_ms = 0;  ///< Time for which the endpoint takes no requests, ms.
};
BOOST_DESCRIBE_STRUCT(AnnouncedConstraint, (),
                      (m_endpoint, m_started_ms, m_limit_per_s, m_leaving, m_pause_ms))

}  // namespace fescueramp
