#include "fescueramp/dispatch/placement.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

constexpr double kTimeSampleWeight = 0.2;  ///< Weight of a new sample in the moving average of service times.
constexpr double kMinRelativeTime = 0.25;  ///< Bounds of one sample, in multiples of the expected time.
constexpr double kMaxRelativeTime = 5;
constexpr double kColdFactor = 2;  ///< An endpoint that has just started takes about twice as long.
/// An attempt in progress for longer counts as slow, in multiples of the expected time.
constexpr double kOverdueRelativeTime = 3;
constexpr double kFailureCostNonRepeatable = 1.0;  ///< Cost of a failed non-repeatable request.
constexpr double kFailureCostRepeatable = 0.5;     ///< Cost of a failed request that can be retried.
constexpr double kTimeCost = 0.04;                 ///< Cost of the expected time.
constexpr double kOccupancyCost = 0.008;    ///< Additional cost of the last free slot compared to the first.
constexpr double kRefusalWeight = 0.3;      ///< Weight of a new outcome in the share of refused requests.
constexpr double kRefusalTimeConstant = 3;  ///< Time constant of the decay of the refused share, seconds.
constexpr double kRefusalCost = 0.2;        ///< Cost of a refusal: a retry from the budget and a delay.
/// Cost reduction of an endpoint that is due for a request; outweighs every other cost.
constexpr double kSpreadBonus = 2.0;
/// Gray-failure probability from which an endpoint counts as probably failing.
constexpr double kLikelyGrayProbability = 0.5;
/// Additional cost reduction of an endpoint that is due, per second without requests.
constexpr double kUnusedBonusPerSecond = 0.2;
constexpr double kMaxUnusedSeconds = 5;  ///< Limit of the seconds without requests that count.
/// Time without requests after which a healthy endpoint is due: the floor set by operators is checked over
/// any 2 s.
constexpr Duration kHealthySpreadInterval = std::chrono::milliseconds(1500);

}  // namespace

void PlacementState::Observe(Evidence evidence, double relative_time, Instant started, Instant now) {
  const bool outdated = evidence == Evidence::kGood && started < m_failed_at;
  if (!outdated) m_filter.Observe(evidence, started, now);
  if (evidence == Evidence::kFailed) m_failed_at = now;
  m_has_responded = m_has_responded || evidence != Evidence::kFailed;
  m_refused = RefusedShare(now) * (1 - kRefusalWeight);
  m_refused_at = now;
  if (relative_time <= 0) return;
  m_relative_time +=
      kTimeSampleWeight * (std::clamp(relative_time, kMinRelativeTime, kMaxRelativeTime) - m_relative_time);
}

double PlacementState::RefusedShare(Instant now) const {
  return m_refused * std::exp(-std::max(0.0, ToSeconds(now - m_refused_at)) / kRefusalTimeConstant);
}

void PlacementState::RecordRefusal(Instant now) {
  m_refused = RefusedShare(now);
  m_refused += kRefusalWeight * (1 - m_refused);
  m_refused_at = now;
}

bool PlacementState::LikelyHealthy(Instant now) const {
  return m_filter.Probability(now) < kLikelyGrayProbability;
}

double PlacementState::Slowness(Instant now) const {
  return std::max(1.0, m_relative_time) * (Cold(now) ? kColdFactor : 1);
}

bool PlacementState::DueForRequest(const Load& load, Instant now) const {
  if (load.m_busy >= load.m_slots) return false;
  return now - m_last_used > (LikelyHealthy(now) ? kHealthySpreadInterval : kLikelyGraySpreadInterval);
}

double PlacementState::Cost(bool repeatable, const Load& load, Instant now) const {
  const double failure =
      m_filter.FailureProbability(now) * (repeatable ? kFailureCostRepeatable : kFailureCostNonRepeatable);
  double time = m_relative_time;
  if (load.m_longest_running > kOverdueRelativeTime)
    time = std::max(time, std::min(load.m_longest_running, kMaxRelativeTime));
  if (Cold(now)) time *= kColdFactor;
  const double occupancy =
      static_cast<double>(load.m_busy) / static_cast<double>(std::max<std::int64_t>(1, load.m_slots));
  const double cost =
      failure + kRefusalCost * RefusedShare(now) + kTimeCost * time + kOccupancyCost * occupancy;
  if (!DueForRequest(load, now)) return cost;
  // If more endpoints are due than there are requests, the longest unused one goes first.
  return cost - kSpreadBonus -
         kUnusedBonusPerSecond * std::min(ToSeconds(now - m_last_used), kMaxUnusedSeconds);
}

}  // namespace fescueramp
