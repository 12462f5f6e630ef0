#pragma once

#include <cstdint>

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Measured demand of one priority class: arrival rate, service time and the number of slots it needs.
class ClassDemand {
 public:
  /// Records the arrival of a request.
  void AddArrival(Instant now);

  /// Records the service time of a completed request.
  void AddServiceTime(Duration service_time);

  /// Number of slots with which requests of the class rarely wait: offered load plus a margin proportional to
  /// its square root.
  /// Source: S. Halfin, W. Whitt, "Heavy-Traffic Limits for Queues with Many Exponential Servers", 1981.
  std::int64_t SlotsNeeded(Instant now) const;

  /// Arrival rate with a time constant of one second.
  double ArrivalsPerSecond(Instant now) const { return m_fast_rate.PerSecond(now); }

  /// Mean service time, seconds; `kDefaultServiceTime` before the first response.
  double MeanServiceTime() const;

  /// Whether the service time of `other` is so much longer that its requests must leave slots free for this
  /// class.
  bool MuchShorterThan(const ClassDemand& other) const;

 private:
  static constexpr double kDefaultServiceTime = 0.02;  ///< Seconds.

  RateEstimate m_fast_rate{std::chrono::milliseconds(1000)};
  RateEstimate m_slow_rate{std::chrono::seconds(10)};
  MovingAverage m_service_time{0.02};
};

}  // namespace fescueramp
