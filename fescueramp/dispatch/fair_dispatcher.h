#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/dispatch/admission.h"
#include "fescueramp/dispatch/class_demand.h"
#include "fescueramp/dispatch/crash_records.h"
#include "fescueramp/dispatch/dispatcher.h"
#include "fescueramp/dispatch/endpoint_table.h"
#include "fescueramp/dispatch/hedge_policy.h"
#include "fescueramp/dispatch/idle_time_limit.h"
#include "fescueramp/dispatch/path_monitor.h"
#include "fescueramp/dispatch/request_queue.h"
#include "fescueramp/dispatch/retry_budget.h"
#include "fescueramp/dispatch/spare_capacity.h"

namespace fescueramp {

/// Dispatcher that tracks every slot: priority between classes, fair shares between accounts, slots reserved
/// for short requests by measured demand, early refusal, budgeted retries, and isolation of suspect requests.
class FairDispatcher final : public Dispatcher {
 public:
  /// @param part Service, or part of a service, whose requests it dispatches.
  /// @param node Name of the node, for decision records.
  /// @param zone Availability zone of the node.
  /// @param constraints What endpoints have stated, shared by the node's dispatchers; the dispatcher's own if
  /// null.
  /// @param crash_records Requests that may crash endpoints, shared in the same way.
  FairDispatcher(ServicePart part, std::string node, const std::string& zone, HealthSettings health = {},
                 std::shared_ptr<EndpointConstraints> constraints = nullptr,
                 std::shared_ptr<CrashRecords> crash_records = nullptr);

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override;
  void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                        DispatchEffects& out) override;
  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override;
  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override;
  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override;
  void Tick(Instant now, DispatchEffects& out) override;
  void HandlePause(Instant now) override;
  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override;
  std::vector<DispatchRequest> ReleaseQueue() override;
  DispatcherLoad Load(Instant now) const override;
  std::vector<EndpointStatus> Endpoints(Instant now) const override;
  std::vector<AnnouncedConstraint> ConstraintsToAnnounce(Instant now) const override {
    return m_endpoints.ConstraintsToAnnounce(now);
  }
  bool PathsFailing(Instant now) override;
  bool Idle() const override { return m_pending.empty() && m_abandoned.empty(); }

  const HealthMonitor& Health() const { return m_health; }

 private:
  static constexpr Duration kOutcomeTimeConstant = std::chrono::seconds(2);
  /// Two typical service times.
  static constexpr Duration kAttemptTimeConstant = std::chrono::milliseconds(500);

  /// An attempt in progress.
  struct Attempt {
    std::int64_t m_number = 0;
    std::string m_endpoint;
    std::string m_class_name;
    std::int64_t m_ticket = 0;  ///< Ticket of its slot.
    Instant m_started{};
    double m_gray_probability = 0;  ///< Gray-failure probability of the endpoint at the start of the attempt.
    /// Whether it runs alone on its endpoint. The attempts of one request may differ, as the request may
    /// become a suspect or be cleared between them.
    bool m_alone = false;
    std::uint64_t m_fingerprint = 0;
    bool m_hedge = false;  ///< Whether it started beside a running attempt.
  };

  /// Why an overdue request gets no hedge.
  enum class HedgeDenial { kBudget, kRetryBudget, kCapacity, kEndpoint };

  /// A request from its arrival to its end.
  struct Pending {
    DispatchRequest m_request;
    std::vector<Attempt> m_running;
    /// Whether an attempt may start beside or after one that may have run. The entry host's configuration may
    /// be older than this dispatcher's, and the newer one may forbid it.
    bool m_may_run_again = false;
    bool m_cancelled = false;  ///< Whether the caller left.
    bool m_late = false;  ///< Whether it is queued behind the requests that can still meet their targets.
    bool m_maybe_ran = false;  ///< Whether an earlier attempt of this dispatcher may have run.
    Instant m_arrival{};
    std::int64_t m_arrival_sequence = 0;
    double m_start_tag = 0;
    double m_weight = 1;
    std::int64_t m_attempts = 0;
    std::int64_t m_retries = 0;
    std::int64_t m_runs = 0;  ///< Attempts in progress and attempts that may have run.
    /// Attempt whose error response is forwarded if no attempt succeeds; 0 if none.
    std::int64_t m_error_response_attempt = 0;
    std::string m_endpoint;  ///< Endpoint of the last attempt.
    std::set<std::string> m_failed_endpoints;
    std::optional<HedgeDenial> m_hedge_denial;  ///< Last reason for which it got no hedge.
    Instant m_next_review{};  ///< Time at which the request is reviewed again while it is queued.

    /// Whether an earlier attempt of this or another dispatcher may have run.
    bool MaybeRanAnywhere() const { return m_maybe_ran || m_request.m_maybe_ran; }
  };

  /// Queues and demand of one priority class.
  struct ClassState {
    std::string m_name;
    Priority m_priority;
    RequestQueue m_queue;       ///< Requests that can still meet their targets.
    RequestQueue m_late_queue;  ///< Requests that use the capacity that `m_queue` leaves.
    ClassDemand m_demand;
    std::int64_t m_running = 0;
    /// Slots it must leave free for more urgent classes with much shorter requests.
    std::int64_t m_reserve = 0;
    std::int64_t m_bound = 0;  ///< Maximum number of slots it may hold.
    std::int64_t m_starts_of_other_classes = 0;

    RequestQueue& QueueOf(const Pending& pending) { return pending.m_late ? m_late_queue : m_queue; }
    std::int64_t Waiting() const { return m_queue.Size() + m_late_queue.Size(); }
  };

  /// The request to start next and the endpoint whose slot it takes.
  struct Choice {
    ClassState* m_class = nullptr;
    RequestQueue* m_queue = nullptr;
    RequestQueue::Entry m_entry;
    EndpointTable::Slots* m_slots = nullptr;
    bool m_alone = false;    ///< Whether the endpoint was chosen for a request that must run alone.
    bool m_starved = false;  ///< Whether its class goes first because it was starved.
  };

  ClassState& ClassOf(const std::string& name);
  std::vector<ClassState*> ClassesByRank();
  void UpdateBounds(Instant now);
  /// Requests a second that the endpoints can start; 0 if unknown.
  double CapacityPerSecond(double service_time, Instant now) const;

  /// Returns the load that competes with a request of the class.
  AdmissionLoad AdmissionLoadOf(const ClassState& state, Instant now) const;
  AdmissionTime AdmissionTimeOf(const Pending& pending, Instant now) const;
  Duration ExpectedWait(const ClassState& state, Instant now) const;

  /// Adds a request to the on-time or the late queue of its class, by `Pending::m_late`.
  void AddToQueue(Pending& pending, Instant now);

  /// Time at which a queued request is reviewed: when it can no longer meet its target, or no longer be
  /// served at all.
  Instant NextReview(const Pending& pending, Instant now) const;
  Duration RetryAfterFor(const Pending& pending, Instant now) const;
  /// Redirects a request to another part of the service if this part is full; false if not.
  bool RedirectToOtherPart(const Pending& pending, Instant now, DispatchEffects& out);
  std::int64_t Queued() const;

  /// Whether a request is not expected to be served in time.
  bool CannotBeServed(const Pending& pending, const ClassState& state, Instant now) const;
  /// Result code of a request that gets no attempt here any more, as far as what may have run decides it.
  static ResultCode CodeForUnserved(const Pending& pending);
  bool RefuseEarly(const Pending& pending, const ClassState& state, Instant now, DispatchEffects& out);
  void ExpireQueued(Instant now, DispatchEffects& out);

  /// Reviews the on-time requests from the end of each queue, after a loss of capacity.
  void TrimQueues(Instant now, DispatchEffects& out);

  /// Moves a request that can no longer meet its target to the late queue, or ends it.
  void Demote(Pending& pending, Instant now, DispatchEffects& out);
  bool IsSuspect(const DispatchRequest& request) const {
    return m_crash_records->IsSuspect(request.m_fingerprint, m_settings.m_quarantine_breaks);
  }
  bool IsQuarantined(const DispatchRequest& request) const {
    return m_crash_records->IsQuarantined(request.m_fingerprint, m_settings.m_quarantine_breaks);
  }
  void ReportQuarantineOf(const DispatchRequest& request, Instant now, DispatchEffects& out) const;

  /// Whether a request must wait because another run of it may crash an endpoint any moment.
  bool MustWaitAsSuspect(const DispatchRequest& request, Instant now) const;

  /// Ends queued requests that were found to crash endpoints, here or at another dispatcher.
  void FinishQuarantined(Instant now, DispatchEffects& out);
  void StartQueued(Instant now, DispatchEffects& out);
  std::optional<Choice> ChooseNext(Instant now);
  std::optional<Choice> ChooseIn(ClassState& state, Instant now);
  std::optional<Choice> ChooseFrom(ClassState& state, RequestQueue& queue, Instant now);
  void Start(const Choice& choice, Instant now, DispatchEffects& out);

  /// Starts an attempt on the endpoint that was chosen for it.
  /// @param alone Whether the endpoint was chosen for a request that must run alone.
  void StartOn(Pending& pending, EndpointTable::Slots& slots, bool alone, DecisionRecord record, Instant now,
               DispatchEffects& out);
  EndpointTable::Need NeedOf(const Pending& pending, Instant now) const;

  /// Gray-failure probability of an endpoint above which a request should wait for another one; 1 if it
  /// should not wait.
  double MaxGrayProbability(const Pending& pending, double expected_time, Instant now) const;
  double MaxGrayProbabilityForBacklog(const DispatchRequest& request, double expected_time) const;
  void RecordRequestOutcome(bool served, Instant now);

  /// Share of requests that are not served: the larger of that at this dispatcher and that reported by entry
  /// hosts, which includes requests that ended elsewhere.
  double UnservedShare(Instant now) const;
  std::vector<LiveEndpoint> PoolEndpoints(const ObjectSet& set) const;
  void ConfigureRetries();
  void ApplyEndpoints(const std::vector<LiveEndpoint>& endpoints, Instant now);
  DecisionRecord MakeRecord(const Pending& pending, Instant now);
  void AddPassedOver(const Choice& choice, const Pending& pending, DecisionRecord& record);
  OrderRule PassOverRule(const Choice& choice, const ClassState& other, const Pending& older) const;
  void Finish(Pending& pending, ResultCode code, Duration retry_after, Instant now, DispatchEffects& out);
  void Deliver(Pending& pending, std::int64_t attempt, Instant now, DispatchEffects& out);

  /// Abandons the attempts of a request that are still in progress. Their slots stay taken until they have
  /// ended.
  void AbandonAttempts(Pending& pending, Instant now, DispatchEffects& out);

  /// Hands queued requests back to their entry hosts, for another dispatcher.
  void HandBack(Instant now, DispatchEffects& out);
  std::optional<Attempt> RemoveAttempt(const AttemptResult& result);
  void RemoveAlone(const Attempt& attempt);
  void HedgeOverdueAttempts(Instant now, DispatchEffects& out);
  /// Starts an attempt beside the running one.
  /// @return Whether it started.
  bool Hedge(Pending& pending, const SlotUse& use, Instant now, DispatchEffects& out);

  /// Returns why no request of the class may be hedged now; nothing if one may be.
  std::optional<HedgeDenial> HedgeDenialOf(const ClassState& state, const SlotUse& use, Instant now);
  void CountHedgeDenial(Pending& pending, HedgeDenial denial);
  bool HedgesLimited() const { return m_settings.m_hedge_ratio > 0; }
  void Requeue(Pending& pending, Instant now);
  void EndFailedAttempt(Pending& pending, const Attempt& attempt, const AttemptResult& result, Instant now,
                        DispatchEffects& out);
  void FinishFailed(Pending& pending, Instant now, DispatchEffects& out);
  bool MayRetry(const Pending& pending, const AttemptResult& result, Instant now);
  void ApplyStatement(const Attempt& attempt, const AttemptResult& result, Instant now, DispatchEffects& out);
  void RecordIdleUse(const Attempt& attempt, const AttemptResult& result, Instant now);
  void ObserveHealth(const Pending& pending, const Attempt& attempt, const AttemptResult& result, Instant now,
                     DispatchEffects& out);
  double RouteServiceTime(const DispatchRequest& request) const;

  /// Expected service time, estimated from the target before the first response; 0 if there is no target
  /// either.
  double ExpectedTime(const DispatchRequest& request) const;
  void ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out);
  void RemoveFromQueue(Pending& pending);
  Duration ProgressTimeout(const Pending& pending);

  ServicePart m_part;
  std::int64_t m_parts = 1;  ///< Number of dispatchers among which the service's endpoints are split.
  std::string m_node;
  std::shared_ptr<const RouteTable> m_table;
  Service m_settings;
  Pool m_pool;
  HealthMonitor m_health;
  EndpointTable m_endpoints;
  std::map<std::string, ClassState> m_classes;
  std::map<std::string, Pending> m_pending;
  std::set<std::pair<Instant, std::string>> m_reviews;                  ///< Review times of queued requests.
  std::map<std::pair<std::string, std::int64_t>, Attempt> m_abandoned;  ///< By request id and attempt number.
  RetryBudget m_retry_budget;
  /// Limits hedges in addition to the retry budget, if the service has a hedge ratio. Without a burst, the
  /// dispatchers of a service, one after the other or for its parts, together keep the share.
  RetryBudget m_hedge_budget;
  HedgeCounts m_hedge_counts;
  HedgePolicy m_hedges;
  PathMonitor m_paths;
  IdleTimeLimit m_idle_time_limit;
  std::vector<LiveEndpoint> m_live_endpoints;
  bool m_endpoints_received = false;                    ///< Whether a list of live endpoints was received.
  Instant m_last_repeatable{};                          ///< Arrival of the last repeatable request.
  RateEstimate m_attempt_starts{kAttemptTimeConstant};  ///< Attempts started.
  Instant m_backlog_since{};  ///< Time since which requests have been queued; zero if none are.
  RateEstimate m_served{kOutcomeTimeConstant};    ///< Requests that were served.
  RateEstimate m_unserved{kOutcomeTimeConstant};  ///< Requests that were not served.
  /// Served requests reported by entry hosts, of all that could have used this service.
  RateEstimate m_reported_served{kOutcomeTimeConstant};
  /// Unserved requests reported by entry hosts, of all that could have used this service.
  RateEstimate m_reported_unserved{kOutcomeTimeConstant};
  std::shared_ptr<CrashRecords> m_crash_records;
  std::int64_t m_crash_generation = 0;  ///< Generation of the records for which the queue was checked.
  std::map<std::uint64_t, std::multiset<Instant>>
      m_alone_since;  ///< Starts of attempts that run alone, by fingerprint.
  Instant m_last_pause{};
  std::int64_t m_next_arrival = 0;
  std::int64_t m_next_sequence = 0;
};

}  // namespace fescueramp
