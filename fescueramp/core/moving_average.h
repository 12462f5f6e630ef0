#pragma once

#include <cmath>
#include <cstdint>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Exponentially weighted moving average of samples.
class MovingAverage {
 public:
  /// @param weight Weight of a new sample, 0 to 1.
  explicit MovingAverage(double weight) : m_weight(weight) {}

  void Add(double sample) {
    m_value = m_count == 0 ? sample : m_value + m_weight * (sample - m_value);
    ++m_count;
  }

  /// Current average; 0 before the first sample.
  double Value() const { return m_value; }

  /// Number of samples.
  std::int64_t Count() const { return m_count; }

 private:
  double m_weight;
  double m_value = 0;
  std::int64_t m_count = 0;
};

/// Rate of events, averaged over time with exponential decay.
class RateEstimate {
 public:
  /// @param time_constant Time after which the weight of an event has decayed to 1/e.
  explicit RateEstimate(Duration time_constant) : m_time_constant(ToSeconds(time_constant)) {}

  void Add(Instant now, std::int64_t events = 1) {
    Decay(now);
    m_rate += static_cast<double>(events) / m_time_constant;
  }

  /// Estimated rate at `now`, events per second.
  double PerSecond(Instant now) const {
    return m_rate * std::exp(-ToSeconds(now - m_updated) / m_time_constant);
  }

 private:
  void Decay(Instant now) {
    m_rate = PerSecond(now);
    m_updated = now;
  }

  double m_time_constant;  ///< Seconds.
  double m_rate = 0;
  Instant m_updated{};
};

}  // namespace fescueramp
