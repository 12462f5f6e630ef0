#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

namespace fescueramp {

/// Request limit of an endpoint, as a node that sends requests to it announces it to other nodes.
struct AnnouncedConstraint {
  std::string m_endpoint;
  std::int64_t m_started_ms = 0;  ///< Start time of the endpoint, Unix ms; 0 if unknown.
  double m_per_s = 0;             ///< Requests a second that the endpoint takes from all hosts together.
};
BOOST_DESCRIBE_STRUCT(AnnouncedConstraint, (), (m_endpoint, m_started_ms, m_per_s))

}  // namespace fescueramp
