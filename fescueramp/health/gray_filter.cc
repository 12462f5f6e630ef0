#include "fescueramp/health/gray_filter.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

constexpr double kSurest = 0.995;      ///< Belief never grows above this, so that it can be undone.
constexpr double kLeastDoubt = 0.004;  ///< Belief never falls below this.

/// How likely a kind of evidence is in the two states.
struct Likelihood {
  double m_sound = 1;
  double m_gray = 1;
};

Likelihood LikelihoodOf(Evidence evidence, const GrayFilterSettings& s) {
  switch (evidence) {
    case Evidence::kGood:
      return {1 - s.m_sound_failures - s.m_sound_errors - s.m_sound_slow, 1 - s.m_gray_failures};
    case Evidence::kSlow:
      return {s.m_sound_slow, s.m_gray_slow};
    case Evidence::kError:
      return {s.m_sound_errors, s.m_gray_errors};
    case Evidence::kFailed:
      break;
  }
  return {s.m_sound_failures, s.m_gray_failures};
}

}  // namespace

GrayFilter::GrayFilter(GrayFilterSettings settings)
    : m_settings(settings),
      m_prior(ToSeconds(settings.m_gray_time) /
              (ToSeconds(settings.m_gray_time) + ToSeconds(settings.m_sound_time))),
      m_decay_per_s(1 / ToSeconds(settings.m_gray_time) + 1 / ToSeconds(settings.m_sound_time)),
      m_probability(m_prior) {}

double GrayFilter::Probability(Instant now) const {
  const double settled = Settled(now);
  const double gray = settled * m_running_odds;
  return gray / (gray + 1 - settled);
}

double GrayFilter::Settled(Instant now) const {
  const double seconds = std::max(0.0, ToSeconds(now - m_updated));
  return m_prior + (m_probability - m_prior) * std::exp(-m_decay_per_s * seconds);
}

double GrayFilter::FailureProbability(Instant now) const {
  const double gray = Probability(now);
  const double sound_share = m_settings.m_sound_failures + m_settings.m_sound_errors;
  return gray * m_settings.m_gray_failures + (1 - gray) * sound_share;
}

void GrayFilter::Observe(Evidence evidence, Instant started, Instant now) {
  const Likelihood likelihood = LikelihoodOf(evidence, m_settings);
  ObserveOdds(likelihood.m_gray / likelihood.m_sound, now);
  if (evidence != Evidence::kGood) return;
  m_updated = std::min(started, now);
  m_probability = Settled(now);
  m_updated = now;
}

double GrayFilter::GoodOdds() const {
  const Likelihood good = LikelihoodOf(Evidence::kGood, m_settings);
  return good.m_gray / good.m_sound;
}

void GrayFilter::ObserveOdds(double odds, Instant now) {
  const double before = Settled(now);
  const double gray = before * odds;
  m_probability = std::clamp(gray / (gray + 1 - before), kLeastDoubt, kSurest);
  m_updated = now;
}

}  // namespace fescueramp
