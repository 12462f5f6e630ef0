#pragma once

#include <cstdint>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// When a refused caller should come back.
///
/// Answers the load pattern of a crest: callers that are all told the same time come back as the next crest.
/// They are spread over the time in which the work that waits now will have been done.
/// @param wait Expected wait of work that arrives now.
/// @param service_time Usual time of the work.
/// @param draw Evenly distributed number.
inline Duration RetryAfterDelay(Duration wait, Duration service_time, std::uint64_t draw) {
  constexpr Duration kLeast = std::chrono::milliseconds(50);
  constexpr Duration kMost = std::chrono::seconds(10);
  constexpr double kSpread = 1.0;  ///< Width of the spread, in multiples of the wait.
  constexpr std::uint64_t kSteps = 1024;
  const double share = static_cast<double>(draw % kSteps) / static_cast<double>(kSteps);
  const Duration base = std::max(wait, service_time);
  const Duration time = base + FromSeconds(ToSeconds(base) * kSpread * share);
  return time < kLeast ? kLeast : (time > kMost ? kMost : time);
}

}  // namespace fescueramp
