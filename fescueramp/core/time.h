#pragma once

#include <chrono>
#include <cstdint>

namespace fescueramp {

/// Length of time in microseconds.
using Duration = std::chrono::microseconds;

/// Point in time: microseconds since the Unix epoch, monotonic within one process.
using Instant = std::chrono::sys_time<Duration>;

/// Converts a span to milliseconds as a floating-point number.
inline double ToMilliseconds(Duration span) { return static_cast<double>(span.count()) / 1000.0; }

/// Converts a span to milliseconds, rounded towards zero.
inline std::int64_t WholeMilliseconds(Duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Converts a span to seconds as a floating-point number.
inline double ToSeconds(Duration span) { return static_cast<double>(span.count()) / 1e6; }

/// Converts a floating-point number of seconds to a span.
inline Duration FromSeconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

}  // namespace fescueramp
