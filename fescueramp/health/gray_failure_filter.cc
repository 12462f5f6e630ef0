#include "fescueramp/health/gray_failure_filter.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

/// Bounds of the estimated probability, within which good responses can still lower it and failures raise it.
constexpr double kMaxProbability = 0.995;
constexpr double kMinProbability = 0.004;

/// Probability of one kind of evidence in each of the two states.
struct Likelihood {
  double m_healthy = 1;
  double m_gray = 1;
};

Likelihood LikelihoodOf(Evidence evidence, const GrayFailureFilterSettings& s) {
  switch (evidence) {
    case Evidence::kGood:
      return {1 - s.m_healthy_failure_rate - s.m_healthy_error_rate - s.m_healthy_slow_rate,
              1 - s.m_gray_failure_rate};
    case Evidence::kSlow:
      return {s.m_healthy_slow_rate, s.m_gray_slow_rate};
    case Evidence::kError:
      return {s.m_healthy_error_rate, s.m_gray_error_rate};
    case Evidence::kFailed:
      break;
  }
  return {s.m_healthy_failure_rate, s.m_gray_failure_rate};
}

}  // namespace

GrayFailureFilter::GrayFailureFilter(GrayFailureFilterSettings settings)
    : m_settings(settings),
      m_prior(ToSeconds(settings.m_mean_failure_duration) /
              (ToSeconds(settings.m_mean_failure_duration) + ToSeconds(settings.m_mean_time_to_failure))),
      m_decay_per_s(1 / ToSeconds(settings.m_mean_failure_duration) +
                    1 / ToSeconds(settings.m_mean_time_to_failure)),
      m_probability(m_prior) {}

double GrayFailureFilter::PosteriorProbability(double probability, double likelihood_ratio) {
  const double gray = probability * likelihood_ratio;
  return gray / (gray + 1 - probability);
}

double GrayFailureFilter::DecayToPrior(double probability, Duration age) const {
  const double seconds = std::max(0.0, ToSeconds(age));
  return m_prior + (probability - m_prior) * std::exp(-m_decay_per_s * seconds);
}

double GrayFailureFilter::ProbabilityFromEnded(Instant now) const {
  return DecayToPrior(m_probability, now - m_updated);
}

double GrayFailureFilter::Probability(Instant now) const {
  const double from_ended = ProbabilityFromEnded(now);
  if (m_running_likelihood_ratio <= 1) return from_ended;
  // A missing response is evidence about the time when the attempt started; the failure may have ended since.
  return std::max(from_ended, DecayToPrior(PosteriorProbability(from_ended, m_running_likelihood_ratio),
                                           now - m_running_since));
}

double GrayFailureFilter::FailureProbability(Instant now) const {
  const double gray = Probability(now);
  const double healthy_share = m_settings.m_healthy_failure_rate + m_settings.m_healthy_error_rate;
  return gray * m_settings.m_gray_failure_rate + (1 - gray) * healthy_share;
}

double GrayFailureFilter::GoodResponseLikelihoodRatio() const {
  const Likelihood good = LikelihoodOf(Evidence::kGood, m_settings);
  return good.m_gray / good.m_healthy;
}

void GrayFailureFilter::Observe(Evidence evidence, Instant started, Instant now) {
  const Likelihood likelihood = LikelihoodOf(evidence, m_settings);
  const double after =
      PosteriorProbability(ProbabilityFromEnded(now), likelihood.m_gray / likelihood.m_healthy);
  m_probability = std::clamp(after, kMinProbability, kMaxProbability);
  if (evidence == Evidence::kGood) m_probability = DecayToPrior(m_probability, now - std::min(started, now));
  m_updated = now;
}

void GrayFailureFilter::ObserveHung(double likelihood_ratio, Instant started, Instant now) {
  const double before = ProbabilityFromEnded(now);
  m_probability = std::clamp(
      std::max(before, DecayToPrior(PosteriorProbability(before, likelihood_ratio), now - started)),
      kMinProbability, kMaxProbability);
  m_updated = now;
}

}  // namespace fescueramp
