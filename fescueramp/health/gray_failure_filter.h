#pragma once

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Evidence that one attempt gives about the state of its endpoint.
enum class Evidence {
  kGood,    ///< Complete response within the expected time.
  kSlow,    ///< Complete response, or none yet, after a multiple of the expected time.
  kError,   ///< Response that reports an error.
  kFailed,  ///< The connection broke or was not established.
};

/// Parameters of the two hidden states of an endpoint, healthy and gray. The defaults are fitted to the
/// outcomes of 34,000 recorded attempts, by the time since the endpoint's previous response
/// (docs/MEASUREMENTS.md).
struct GrayFailureFilterSettings {
  Duration m_mean_time_to_failure = std::chrono::seconds(22);  ///< Mean time in the healthy state.
  Duration m_mean_failure_duration = std::chrono::seconds(7);  ///< Mean time in the gray state.
  double m_healthy_failure_rate = 0.002;  ///< Share of failed attempts in the healthy state.
  double m_gray_failure_rate = 0.82;      ///< Share of failed attempts in the gray state.
  double m_healthy_error_rate = 0.012;    ///< Share of error responses in the healthy state.
  double m_gray_error_rate = 0.2;         ///< Share of error responses in the gray state.
  double m_healthy_slow_rate = 0.04;      ///< Share of slow attempts in the healthy state.
  double m_gray_slow_rate = 0.06;         ///< Share of slow responses in the gray state.
};

/// Estimates the probability that one endpoint is in a gray failure, from the outcomes of its attempts.
/// During a gray failure, the endpoint still accepts requests, but most of them fail.
///
/// The model is a two-state hidden Markov model. Gray failures start and end without notice, so the
/// probability decays to its prior while no attempt ends. Unlike a test with a bounded rate of false alarms,
/// the filter reacts to a single failure; therefore its result only ranks endpoints and ejects none.
/// Source: L. Rabiner, "A Tutorial on Hidden Markov Models", 1989 (the forward recursion).
class GrayFailureFilter {
 public:
  explicit GrayFailureFilter(GrayFailureFilterSettings settings = {});

  /// Updates the probability with the outcome of an attempt.
  /// @param started Start of the attempt; a good response is evidence about the state at that time.
  void Observe(Evidence evidence, Instant started, Instant now);

  /// Updates the probability with an attempt that ended without a response.
  /// @param likelihood_ratio Likelihood of this in the gray state, relative to the healthy state.
  /// @param started Start of the attempt; the evidence is about the state at that time.
  void ObserveHung(double likelihood_ratio, Instant started, Instant now);

  /// Sets the likelihood ratio of all attempts in progress; it replaces the one set before.
  /// @param since Start of the most recent of these attempts.
  void SetRunningLikelihoodRatio(double likelihood_ratio, Instant since) {
    m_running_likelihood_ratio = likelihood_ratio;
    m_running_since = since;
  }

  /// Probability that the endpoint is in a gray failure at `now`.
  double Probability(Instant now) const;

  /// Probability that an attempt sent at `now` fails or gets an error response.
  double FailureProbability(Instant now) const;

  /// Likelihood ratio of one good response, gray relative to healthy.
  double GoodResponseLikelihoodRatio() const;

  /// Share of attempts that fail during a gray failure.
  double GrayFailureRate() const { return m_settings.m_gray_failure_rate; }

 private:
  /// Probability of a gray failure at `now` from ended attempts only.
  double ProbabilityFromEnded(Instant now) const;

  /// Posterior probability by Bayes' rule.
  static double PosteriorProbability(double probability, double likelihood_ratio);

  /// Probability after a time without evidence, which decays exponentially to the prior.
  double DecayToPrior(double probability, Duration age) const;

  GrayFailureFilterSettings m_settings;
  double m_prior;
  double m_decay_per_s;
  double m_probability;
  double m_running_likelihood_ratio = 1;
  Instant m_running_since{};
  Instant m_updated{};
};

}  // namespace fescueramp
