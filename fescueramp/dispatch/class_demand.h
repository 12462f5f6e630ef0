#pragma once

#include <cstdint>

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Measured demand of one class: arrival rate, service time and the slots it needs.
class ClassDemand {
 public:
  void AddArrival(Instant now);
  void AddServiceTime(Duration service_time);

  /// Slots that keep the class from waiting: offered load plus a margin of its square root.
  /// Source: S. Halfin, W. Whitt, "Heavy-Traffic Limits for Queues with Many Exponential Servers", 1981.
  std::int64_t SlotsNeeded(Instant now) const;

  /// Requests that arrive a second, as of late.
  double ArrivalsPerSecond(Instant now) const { return m_fast_rate.PerSecond(now); }

  /// Mean service time in seconds; `kUnknownServiceTime` before the first answer.
  double MeanServiceTime() const;

  /// Whether `other` runs so much longer that waiting for one of its slots would be felt.
  bool MuchShorterThan(const ClassDemand& other) const;

 private:
  static constexpr double kUnknownServiceTime = 0.02;  ///< Seconds.

  RateEstimate m_fast_rate{std::chrono::milliseconds(1000)};
  RateEstimate m_slow_rate{std::chrono::seconds(10)};
  MovingAverage m_service_time{0.02};
};

}  // namespace fescueramp
