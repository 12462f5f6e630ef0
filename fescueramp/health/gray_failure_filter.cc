#include "fescueramp/health/gray_failure_filter.h"

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

Likelihood LikelihoodOf(Evidence evidence, const GrayFailureFilterSettings& s) {
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

GrayFailureFilter::GrayFailureFilter(GrayFailureFilterSettings settings)
    : m_settings(settings),
      m_prior(ToSeconds(settings.m_gray_time) /
              (ToSeconds(settings.m_gray_time) + ToSeconds(settings.m_sound_time))),
      m_decay_per_s(1 / ToSeconds(settings.m_gray_time) + 1 / ToSeconds(settings.m_sound_time)),
      m_probability(m_prior) {}

double GrayFailureFilter::After(double probability, double odds) {
  const double gray = probability * odds;
  return gray / (gray + 1 - probability);
}

double GrayFailureFilter::Aged(double probability, Duration age) const {
  const double seconds = std::max(0.0, ToSeconds(age));
  return m_prior + (probability - m_prior) * std::exp(-m_decay_per_s * seconds);
}

double GrayFailureFilter::Settled(Instant now) const { return Aged(m_probability, now - m_updated); }

double GrayFailureFilter::Probability(Instant now) const {
  const double settled = Settled(now);
  if (m_running_odds <= 1) return settled;
  // Work without an answer tells of the time at which it was begun; the failure may be over since.
  return std::max(settled, Aged(After(settled, m_running_odds), now - m_running_since));
}

double GrayFailureFilter::FailureProbability(Instant now) const {
  const double gray = Probability(now);
  const double sound_share = m_settings.m_sound_failures + m_settings.m_sound_errors;
  return gray * m_settings.m_gray_failures + (1 - gray) * sound_share;
}

double GrayFailureFilter::GoodAnswerLikelihoodRatio() const {
  const Likelihood good = LikelihoodOf(Evidence::kGood, m_settings);
  return good.m_gray / good.m_sound;
}

void GrayFailureFilter::Observe(Evidence evidence, Instant started, Instant now) {
  const Likelihood likelihood = LikelihoodOf(evidence, m_settings);
  const double after = After(Settled(now), likelihood.m_gray / likelihood.m_sound);
  m_probability = std::clamp(after, kLeastDoubt, kSurest);
  if (evidence == Evidence::kGood) m_probability = Aged(m_probability, now - std::min(started, now));
  m_updated = now;
}

void GrayFailureFilter::ObserveHung(double odds, Instant started, Instant now) {
  const double before = Settled(now);
  m_probability =
      std::clamp(std::max(before, Aged(After(before, odds), now - started)), kLeastDoubt, kSurest);
  m_updated = now;
}

}  // namespace fescueramp
