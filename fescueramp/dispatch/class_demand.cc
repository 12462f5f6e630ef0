#include "fescueramp/dispatch/class_demand.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

constexpr double kMargin = 1.0;    ///< Standard deviations of the offered load kept free.
constexpr double kMuchLonger = 4;  ///< Ratio of service times from which slots are reserved.
constexpr double kIdleRate = 0.2;  ///< Requests a second below which nothing is reserved.

}  // namespace

void ClassDemand::AddArrival(Instant now) {
  m_fast_rate.Add(now);
  m_slow_rate.Add(now);
}

void ClassDemand::AddServiceTime(Duration service_time) { m_service_time.Add(ToSeconds(service_time)); }

double ClassDemand::MeanServiceTime() const {
  return m_service_time.Count() > 0 ? m_service_time.Value() : kUnknownServiceTime;
}

std::int64_t ClassDemand::SlotsNeeded(Instant now) const {
  const double rate = std::max(m_fast_rate.PerSecond(now), m_slow_rate.PerSecond(now));
  if (rate < kIdleRate) return 0;
  const double load = rate * MeanServiceTime();
  return static_cast<std::int64_t>(std::ceil(load + kMargin * std::sqrt(load)));
}

bool ClassDemand::MuchShorterThan(const ClassDemand& other) const {
  // Work of unknown length is taken for long: a wrong guess the other way holds every slot for a whole
  // service time.
  return other.m_service_time.Count() == 0 || MeanServiceTime() * kMuchLonger <= other.MeanServiceTime();
}

}  // namespace fescueramp
