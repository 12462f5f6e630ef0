#include "fescueramp/dispatch/hedge_policy.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::int64_t kMinResponses = 30;  ///< Responses needed for an estimate of the quantile.
constexpr std::size_t kMaxRoutes = 10'000;  ///< Maximum number of routes with recorded times.
/// Share of the target after which a route with too few responses is hedged.
constexpr double kDefaultTargetShare = 0.6;
/// Share of the target after which any request is hedged, as a lone attempt is then likely to miss the
/// target.
constexpr double kMaxTargetShare = 0.75;
constexpr Duration kNever = std::chrono::hours(24);

}  // namespace

void HedgePolicy::SetQuantile(double quantile) {
  if (quantile == m_quantile) return;
  m_quantile = quantile;
  m_latency.clear();
}

void HedgePolicy::AddLatency(const std::string& route, Duration latency) {
  if (!Enabled() || latency <= Duration(0)) return;
  if (m_latency.size() >= kMaxRoutes && !m_latency.contains(route)) return;
  m_latency.try_emplace(route, m_quantile).first->second.Add(ToSeconds(latency));
}

Duration HedgePolicy::Delay(const std::string& route, Duration target) const {
  if (!Enabled()) return kNever;
  const auto known = m_latency.find(route);
  if (known == m_latency.end() || known->second.Count() < kMinResponses) {
    return target > Duration(0) ? FromSeconds(ToSeconds(target) * kDefaultTargetShare) : kNever;
  }
  const Duration quantile = FromSeconds(known->second.Value());
  return target > Duration(0) ? std::min(quantile, FromSeconds(ToSeconds(target) * kMaxTargetShare))
                              : quantile;
}

}  // namespace fescueramp
