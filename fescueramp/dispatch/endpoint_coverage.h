#pragma once

#include <cstdint>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Time span over which the share of endpoints that get requests is measured.
inline constexpr Duration kCoverageWindow = std::chrono::seconds(2);

/// How many of the endpoints in service were sent a request within `kCoverageWindow`.
struct EndpointCoverage {
  std::int64_t m_in_service = 0;  ///< Endpoints in service, ejected ones included.
  std::int64_t m_used = 0;        ///< Endpoints in service that were sent a request.
  std::int64_t m_avoided = 0;     ///< Endpoints not used that are probably in a gray failure.
};

}  // namespace fescueramp
