#pragma once

#include <algorithm>

#include "fescueramp/core/time.h"
#include "fescueramp/health/gray_failure_filter.h"

namespace fescueramp {

/// Time without requests after which an endpoint that is probably in a gray failure is due. A recovered
/// endpoint counts towards the floor 2 s later and must have got a request within 2 s more.
inline constexpr Duration kLikelyGraySpreadInterval = std::chrono::milliseconds(3600);

/// Placement state of one endpoint: the probability that attempts fail there and how fast they run.
///
/// Addresses gray failures that last for seconds while other endpoints have free slots. A single failure is
/// enough to prefer other endpoints. Without further evidence the gray-failure probability returns to its
/// prior.
class PlacementState {
 public:
  /// Load of one endpoint at the time of a choice.
  struct Load {
    std::int64_t m_busy = 0;
    std::int64_t m_slots = 1;
    /// Run time of the oldest attempt in progress, in multiples of the expected time.
    double m_longest_running = 0;
  };

  /// Records one outcome. A good response to an attempt that started before the last failure is ignored:
  /// endpoints that reset new requests still finish those in progress.
  /// @param relative_time Service time in multiples of the expected time; 0 if it is no evidence.
  /// @param started Start of the attempt.
  void Observe(Evidence evidence, double relative_time, Instant started, Instant now);

  /// Records an attempt that ended without a response, by the likelihood ratio of that for a gray failure.
  void ObserveHung(double likelihood_ratio, Instant started, Instant now) {
    m_filter.ObserveHung(likelihood_ratio, started, now);
  }

  /// Sets the likelihood ratio for a gray failure of the attempts in progress.
  void SetRunningLikelihoodRatio(double likelihood_ratio, Instant since) {
    m_filter.SetRunningLikelihoodRatio(likelihood_ratio, since);
  }

  /// Service time at this endpoint in multiples of the expected time, at least 1.
  double Slowness(Instant now) const;

  /// Share of attempts that fail at an endpoint in a gray failure.
  double GrayFailureRate() const { return m_filter.GrayFailureRate(); }

  /// Likelihood ratio for a gray failure of one good response.
  double GoodResponseLikelihoodRatio() const { return m_filter.GoodResponseLikelihoodRatio(); }

  /// Records that the endpoint refused a request although a slot seemed free. This costs a retry, but the
  /// request did not run.
  void RecordRefusal(Instant now);

  /// Records that a request was sent.
  void RecordUse(Instant now) { m_last_used = now; }

  /// Whether a request was sent after time `since`.
  bool UsedAfter(Instant since) const { return m_last_used > since; }

  /// Sets the time from which the endpoint runs at full speed. An earlier time than the current one is
  /// ignored.
  void SetWarmAt(Instant warm_at) { m_warm_at = std::max(m_warm_at, warm_at); }

  /// Whether the endpoint was still warming up at time `at`.
  bool Cold(Instant at) const { return at < m_warm_at; }

  /// Cost of sending a request to this endpoint; the endpoint with the lowest cost is chosen. The failure
  /// probability weighs most, then the service time.
  /// @param repeatable Whether the request can be retried after a failure.
  double Cost(bool repeatable, const Load& load, Instant now) const;

  /// Whether the endpoint is due for one request, so that no endpoint goes without requests for long. This
  /// doesn't depend on how many requests are served: those in progress may still be lost with their hosts.
  bool DueForRequest(const Load& load, Instant now) const;

  /// Probability that the endpoint is in a gray failure.
  double GrayProbability(Instant now) const { return m_filter.Probability(now); }

  /// Whether the endpoint has responded before.
  bool HasResponded() const { return m_has_responded; }

  /// Whether the endpoint is probably not in a gray failure.
  bool LikelyHealthy(Instant now) const;

 private:
  double RefusedShare(Instant now) const;

  GrayFailureFilter m_filter;
  double m_relative_time = 1;  ///< Moving average of service times, in multiples of the expected time.
  double m_refused = 0;        ///< Share of recent requests that were refused.
  Instant m_refused_at{};
  bool m_has_responded = false;
  Instant m_failed_at{};  ///< Last time at which a connection broke.
  Instant m_last_used{};
  Instant m_warm_at{};
};

}  // namespace fescueramp
