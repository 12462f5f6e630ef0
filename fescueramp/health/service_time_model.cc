#include "fescueramp/health/service_time_model.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::size_t kMaxRoutes = 10'000;  ///< Routes beyond this number are not tracked.
constexpr double kPriorResponses = 20;  ///< Number of responses that the initial survival function counts as.
constexpr double kMinWeight = 0.005;    ///< Minimum weight of a response: averages over some 200 responses.
constexpr double kFailureWeight = 0.05;  ///< Weight of a failure: averages over some 20 failures.
/// Lower bound of the survival function at a healthy endpoint. The estimate from responses alone is too low
/// because it misses requests without a response.
constexpr double kMinSurvival = 0.02;

}  // namespace

void ServiceTimeModel::AddResponse(const std::string& route, Duration latency) {
  m_mean.Add(ToSeconds(latency));
  if (m_route_models.size() >= kMaxRoutes && !m_route_models.contains(route)) return;
  RouteModel& model = m_route_models[route];
  if (const double mean = model.m_mean.Value(); mean > 0) {
    const double weight =
        std::max(kMinWeight, 1 / (kPriorResponses + static_cast<double>(model.m_mean.Count())));
    for (std::size_t i = 0; i < kRelativeAges.size(); ++i) {
      const double longer = ToSeconds(latency) > mean * kRelativeAges[i] ? 1 : 0;
      model.m_survival[i] += weight * (longer - model.m_survival[i]);
    }
  }
  model.m_mean.Add(ToSeconds(latency));
}

void ServiceTimeModel::AddFailure(bool hung) {
  m_hang_share += kFailureWeight * ((hung ? 1 : 0) - m_hang_share);
}

double ServiceTimeModel::RouteServiceTime(const std::string& route) const {
  const auto found = m_route_models.find(route);
  return found == m_route_models.end() ? 0 : found->second.m_mean.Value();
}

double ServiceTimeModel::Survival(const RouteModel& model, double relative_age) {
  const auto end = std::upper_bound(kRelativeAges.begin(), kRelativeAges.end(), relative_age);
  if (end == kRelativeAges.begin()) return 1;
  const auto index = static_cast<std::size_t>(end - kRelativeAges.begin()) - 1;
  return std::max(kMinSurvival, model.m_survival[index]);
}

double ServiceTimeModel::HangLikelihoodRatio(const std::string& route, Duration age, double slowness,
                                             double gray_failure_rate) const {
  const auto found = m_route_models.find(route);
  if (found == m_route_models.end() || found->second.m_mean.Value() <= 0) return 1;
  const double mean = found->second.m_mean.Value() * slowness;
  const double healthy = Survival(found->second, ToSeconds(age) / mean);
  const double gray = gray_failure_rate * m_hang_share + (1 - gray_failure_rate) * healthy;
  return std::max(1.0, gray / healthy);
}

}  // namespace fescueramp
