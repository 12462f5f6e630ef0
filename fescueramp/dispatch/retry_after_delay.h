#pragma once

#include <cstdint>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Delay after which a refused caller should retry, 50 ms to 10 s.
///
/// Refused callers that all get the same delay return as the next burst. Their delays are therefore spread
/// over the expected time to process the current queue.
/// @param wait Expected queueing time of a request that arrives now.
/// @param service_time Expected service time.
/// @param draw Uniformly distributed number.
inline Duration RetryAfterDelay(Duration wait, Duration service_time, std::uint64_t draw) {
  constexpr Duration kMinDelay = std::chrono::milliseconds(50);
  constexpr Duration kMaxDelay = std::chrono::seconds(10);
  constexpr double kSpread = 1.0;  ///< Width of the spread, in multiples of the base delay.
  constexpr std::uint64_t kSteps = 1024;
  const double share = static_cast<double>(draw % kSteps) / static_cast<double>(kSteps);
  const Duration base = std::max(wait, service_time);
  const Duration time = base + FromSeconds(ToSeconds(base) * kSpread * share);
  return time < kMinDelay ? kMinDelay : (time > kMaxDelay ? kMaxDelay : time);
}

}  // namespace fescueramp
