#pragma once

#include <algorithm>

#include "fescueramp/core/time.h"
#include "fescueramp/health/gray_failure_filter.h"

namespace fescueramp {

/// What placing work knows of one endpoint: how likely work fails there and how fast it runs.
///
/// Answers the load pattern in which endpoints fail grayly for seconds at a time while slots are free
/// elsewhere: one failure is enough to let work go to others first, and belief returns by itself.
class PlacementState {
 public:
  /// Work at one endpoint at the time of a choice.
  struct Load {
    std::int64_t m_busy = 0;
    std::int64_t m_slots = 1;
    double m_longest_running =
        0;  ///< Time that the oldest work there has run, in multiples of the usual time.
  };

  /// What a request needs.
  struct Need {
    bool m_repeatable = true;
    bool m_try_all = false;  ///< Whether endpoints in serious doubt must get work now and then as well.
  };

  /// Notes one outcome. A good answer to work that started before the last failure tells nothing about the
  /// endpoint since then: endpoints that reset new work still finish what runs.
  /// @param relative_time Time that the work took, in multiples of the usual time; 0 when it tells nothing.
  /// @param started Start of the work.
  void Observe(Evidence evidence, double relative_time, Instant started, Instant now);

  /// Notes work that ended without an answer, by how much likelier that is in a gray failure.
  void ObserveHung(double odds, Instant started, Instant now) { m_filter.ObserveHung(odds, started, now); }

  /// Sets the odds of a gray failure by the work that runs there now.
  void SetRunningLikelihoodRatio(double odds, Instant since) {
    m_filter.SetRunningLikelihoodRatio(odds, since);
  }

  /// Time that work takes here, in multiples of the usual time; at least 1.
  double Slowness(Instant now) const;

  double GrayFailureRate() const { return m_filter.GrayFailureRate(); }

  /// Odds of a gray failure by one good answer.
  double GoodAnswerLikelihoodRatio() const { return m_filter.GoodAnswerLikelihoodRatio(); }

  /// Notes that the endpoint refused work for which it had a slot: that costs a retry, but not the work.
  void NoteRefused(Instant now);

  /// Notes that work was sent.
  void NoteUse(Instant now) { m_last_used = now; }

  /// Notes the time from which the endpoint runs at full speed; a later report without one doesn't undo it.
  void SetWarmAt(Instant warm_at) { m_warm_at = std::max(m_warm_at, warm_at); }

  /// Whether the endpoint did not run at full speed at a time.
  bool Cold(Instant at) const { return at < m_warm_at; }

  /// Cost of sending a request here; the endpoint with the lowest cost is chosen. Fails count most, then
  /// time.
  double Cost(const Need& need, const Load& load, Instant now) const;

  /// Whether the endpoint must get one request now, so that none is left without work for long.
  bool DueForSpread(const Need& need, const Load& load, Instant now) const;

  double Doubt(Instant now) const { return m_filter.Probability(now); }

  /// Whether the endpoint has answered before.
  bool Heard() const { return m_heard; }

  /// Whether the endpoint is in no serious doubt.
  bool Sound(Instant now) const;

 private:
  double RefusedShare(Instant now) const;

  GrayFailureFilter m_filter;
  double m_relative_time = 1;  ///< Moving average of times, in multiples of the usual time.
  double m_refused = 0;        ///< Share of recent work that was refused.
  Instant m_refused_at{};
  bool m_heard = false;
  Instant m_failed_at{};  ///< Last time at which work broke off.
  Instant m_last_used{};
  Instant m_warm_at{};
};

}  // namespace fescueramp
