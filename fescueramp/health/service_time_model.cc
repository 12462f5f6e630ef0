#include "fescueramp/health/service_time_model.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::size_t kMaxRoutes = 10'000;  ///< Routes whose times are kept.
constexpr double kFirstAnswers = 20;        ///< Answers that the shares before any are worth.
constexpr double kLeastWeight = 0.005;      ///< Weight of an answer once many are known: some 200 count.
constexpr double kHungWeight = 0.05;        ///< Weight of a failure: some 20 count.
/// Share of work taken to run longer at a sound endpoint, however long: answers that never come are not among
/// those that the shares are learned from.
constexpr double kLeastShare = 0.02;

}  // namespace

void ServiceTimeModel::AddAnswer(const std::string& route, Duration latency) {
  if (m_routes.size() >= kMaxRoutes && !m_routes.contains(route)) return;
  RouteTimes& times = m_routes[route];
  if (const double usual = times.m_mean.Value(); usual > 0) {
    const double weight =
        std::max(kLeastWeight, 1 / (kFirstAnswers + static_cast<double>(times.m_mean.Count())));
    for (std::size_t i = 0; i < kAges.size(); ++i) {
      const double longer = ToSeconds(latency) > usual * kAges[i] ? 1 : 0;
      times.m_longer[i] += weight * (longer - times.m_longer[i]);
    }
  }
  times.m_mean.Add(ToSeconds(latency));
}

void ServiceTimeModel::AddFailure(bool hung) {
  m_hung_share += kHungWeight * ((hung ? 1 : 0) - m_hung_share);
}

double ServiceTimeModel::RouteServiceTime(const std::string& route) const {
  const auto found = m_routes.find(route);
  return found == m_routes.end() ? 0 : found->second.m_mean.Value();
}

double ServiceTimeModel::LongerShare(const RouteTimes& times, double relative_age) {
  const auto end = std::upper_bound(kAges.begin(), kAges.end(), relative_age);
  if (end == kAges.begin()) return 1;
  const auto index = static_cast<std::size_t>(end - kAges.begin()) - 1;
  return std::max(kLeastShare, times.m_longer[index]);
}

double ServiceTimeModel::HangLikelihoodRatio(const std::string& route, Duration age, double slowness,
                                             double gray_failures) const {
  const auto found = m_routes.find(route);
  if (found == m_routes.end() || found->second.m_mean.Value() <= 0) return 1;
  const double usual = found->second.m_mean.Value() * slowness;
  const double sound = LongerShare(found->second, ToSeconds(age) / usual);
  const double gray = gray_failures * m_hung_share + (1 - gray_failures) * sound;
  return std::max(1.0, gray / sound);
}

}  // namespace fescueramp
