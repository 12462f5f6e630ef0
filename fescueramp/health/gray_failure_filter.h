#pragma once

#include "fescueramp/core/time.h"

namespace fescueramp {

/// What one piece of work told about an endpoint.
enum class Evidence {
  kGood,    ///< A whole answer in the usual time.
  kSlow,    ///< A whole answer, or none yet, after a multiple of the usual time.
  kError,   ///< The endpoint answered that the work failed.
  kFailed,  ///< The connection broke off, or there was none.
};

/// Rates of the two states of an endpoint. The defaults fit outcomes of 34,000 attempts of recorded days, by
/// the time since the endpoint was last heard of (docs/MEASUREMENTS.md).
struct GrayFailureFilterSettings {
  Duration m_sound_time = std::chrono::seconds(22);  ///< Mean time until a sound endpoint fails grayly.
  Duration m_gray_time = std::chrono::seconds(7);    ///< Mean time that a gray failure lasts.
  double m_sound_failures = 0.002;                   ///< Share of work that breaks off at a sound endpoint.
  double m_gray_failures = 0.82;                     ///< Share of work that breaks off at a gray one.
  double m_sound_errors = 0.012;                     ///< Share of errors answered by a sound endpoint.
  double m_gray_errors = 0.2;                        ///< Share of errors answered by a gray one.
  double m_sound_slow = 0.04;                        ///< Share of slow work at a sound endpoint.
  double m_gray_slow = 0.06;                         ///< Share of slow work that a gray one answers.
};

/// Probability that one endpoint is in a gray failure, from the outcomes of its work.
///
/// A two-state hidden Markov model: failures come and go by themselves, so belief returns to its prior when
/// nothing is heard. It reacts to a single failure, which a test with a bounded rate of false alarms can't;
/// it only orders the choice between endpoints, and takes none out of service.
/// Source: L. Rabiner, "A Tutorial on Hidden Markov Models", 1989 (the forward recursion).
class GrayFailureFilter {
 public:
  explicit GrayFailureFilter(GrayFailureFilterSettings settings = {});

  /// @param started Start of the work: what a good answer tells is as old as that.
  void Observe(Evidence evidence, Instant started, Instant now);

  /// Takes in work that ended without an answer, by how much likelier that is in a gray failure.
  /// @param started Start of the work: what it tells is as old as that.
  void ObserveHung(double odds, Instant started, Instant now);

  /// Sets the odds by work that still runs; they count until they are set anew.
  /// @param since Latest start of such work.
  void SetRunningLikelihoodRatio(double odds, Instant since) {
    m_running_odds = odds;
    m_running_since = since;
  }

  /// Probability that the endpoint is failing grayly at `now`.
  double Probability(Instant now) const;

  /// Probability that work sent at `now` fails.
  double FailureProbability(Instant now) const;

  /// Odds of a gray failure by one good answer.
  double GoodAnswerLikelihoodRatio() const;

  /// Share of work that fails at an endpoint in a gray failure.
  double GrayFailureRate() const { return m_settings.m_gray_failures; }

 private:
  /// Probability by what has ended.
  double Settled(Instant now) const;

  /// A probability after evidence of some odds.
  static double After(double probability, double odds);

  /// A probability some time later, when nothing has been heard.
  double Aged(double probability, Duration age) const;

  GrayFailureFilterSettings m_settings;
  double m_prior;
  double m_decay_per_s;
  double m_probability;
  double m_running_odds = 1;
  Instant m_running_since{};
  Instant m_updated{};
};

}  // namespace fescueramp
