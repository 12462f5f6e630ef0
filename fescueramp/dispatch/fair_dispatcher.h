#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/dispatch/admission.h"
#include "fescueramp/dispatch/class_demand.h"
#include "fescueramp/dispatch/dispatcher.h"
#include "fescueramp/dispatch/endpoint_table.h"
#include "fescueramp/dispatch/hedge_policy.h"
#include "fescueramp/dispatch/idle_time_limit.h"
#include "fescueramp/dispatch/path_monitor.h"
#include "fescueramp/dispatch/request_queue.h"
#include "fescueramp/dispatch/retry_budget.h"
#include "fescueramp/dispatch/suspect_list.h"

namespace fescueramp {

/// Dispatcher with exact slot knowledge: ranks between classes, fair shares between accounts, slots kept
/// free for short work by measured demand, early refusal, budgeted retries and isolation of suspects.
class FairDispatcher final : public Dispatcher {
 public:
  /// @param part Service whose requests it gets, or a part of one.
  /// @param node Name of the node, for decision records.
  /// @param zone Availability zone of the node.
  FairDispatcher(ServicePart part, std::string node, const std::string& zone, HealthSettings health = {});

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override;
  void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                        DispatchEffects& out) override;
  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override;
  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override;
  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override;
  void Tick(Instant now, DispatchEffects& out) override;
  void HandlePause(Instant now) override;
  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override;
  std::vector<std::string> ReleaseQueue() override;
  DispatcherLoad Load(Instant now) const override;
  std::vector<EndpointStatus> Endpoints(Instant now) const override;
  bool PathsFailing(Instant now) override;
  bool Idle() const override { return m_pending.empty() && m_abandoned.empty(); }

  const HealthMonitor& Health() const { return m_health; }

 private:
  static constexpr Duration kOutcomeMemory = std::chrono::seconds(2);
  static constexpr Duration kStartMemory = std::chrono::milliseconds(500);  ///< Two usual service times.

  /// An attempt that has not ended.
  struct Attempt {
    std::int64_t m_number = 0;
    std::string m_endpoint;
    std::string m_class_name;
    std::int64_t m_ticket = 0;  ///< Of its slot.
    Instant m_started{};
    double m_doubt = 0;  ///< Doubt of the endpoint at its start.
  };

  /// A request from its arrival to its end.
  struct Pending {
    DispatchRequest m_request;
    std::vector<Attempt> m_running;
    bool m_alone = false;
    bool m_cancelled = false;  ///< Whether the caller left.
    bool m_late = false;       ///< Whether it waits behind those that can still be answered in time.
    bool m_maybe_ran = false;  ///< Whether an earlier attempt may have run.
    Instant m_arrival{};
    std::int64_t m_arrival_sequence = 0;
    double m_start_tag = 0;
    double m_weight = 1;
    std::int64_t m_attempts = 0;
    std::int64_t m_retries = 0;
    std::int64_t m_runs = 0;           ///< Attempts that run or may have run.
    std::int64_t m_answered_with = 0;  ///< Attempt whose error answer goes out if none is better; 0 for none.
    std::string m_endpoint;            ///< Of the last attempt.
    std::set<std::string> m_failed_endpoints;
    Instant m_look{};  ///< While it waits: when it is looked at again.
  };

  /// Queue and demand of one priority.
  struct ClassState {
    std::string m_name;
    Priority m_priority;
    RequestQueue m_queue;       ///< Requests that can still be answered in time.
    RequestQueue m_late_queue;  ///< Requests that take what these leave over.
    ClassDemand m_demand;
    std::int64_t m_running = 0;
    std::int64_t m_reserve = 0;  ///< Slots it must leave, by the demand of shorter classes before it.
    std::int64_t m_bound = 0;    ///< Slots it may hold.
    std::int64_t m_picks_of_others = 0;

    RequestQueue& QueueOf(const Pending& pending) { return pending.m_late ? m_late_queue : m_queue; }
    std::int64_t Waiting() const { return m_queue.Size() + m_late_queue.Size(); }
  };

  /// Next request and the slot it takes.
  struct Choice {
    ClassState* m_class = nullptr;
    RequestQueue* m_queue = nullptr;
    RequestQueue::Entry m_entry;
    EndpointTable::Slots* m_slots = nullptr;
    bool m_starved = false;  ///< Whether its class got its turn out of order.
  };

  ClassState& ClassOf(const std::string& name);
  std::vector<ClassState*> ByRank();
  void UpdateBounds(Instant now);
  /// Requests that the endpoints can begin a second; 0 when it is not known.
  double CapacityPerSecond(double service_time, Instant now) const;

  /// Load as a request of a class sees it.
  AdmissionLoad LoadOf(const ClassState& state, Instant now) const;
  AdmissionTime TimeOf(const Pending& pending, Instant now) const;
  Duration ExpectedWait(const ClassState& state, Instant now) const;

  /// Puts a request into the queue that its time allows.
  void Queue(Pending& pending, Instant now);

  /// Time at which a waiting request is looked at again: when it can't be in time any more, or at all.
  Instant NextLook(const Pending& pending, Instant now) const;
  Duration TimeToReturn(const Pending& pending, Instant now) const;
  /// Gives a request to another part of the service while this one has no room for it.
  bool MoveElsewhere(const Pending& pending, Instant now, DispatchEffects& out);
  std::int64_t Queued() const;

  /// Whether a request can't be served in time by what is known now.
  bool WouldBeLate(const Pending& pending, const ClassState& state, Instant now) const;
  bool RefuseEarly(const Pending& pending, const ClassState& state, Instant now, DispatchEffects& out);
  void ExpireQueued(Instant now, DispatchEffects& out);

  /// Looks again at what waits last, after capacity was lost.
  void TrimQueues(Instant now, DispatchEffects& out);

  /// Puts a request that can't be answered in time any more behind those that can, or ends it.
  void Demote(Pending& pending, Instant now, DispatchEffects& out);
  void FinishQuarantined(std::uint64_t fingerprint, Instant now, DispatchEffects& out);
  void Pump(Instant now, DispatchEffects& out);
  std::optional<Choice> ChooseNext(Instant now);
  std::optional<Choice> ChooseIn(ClassState& state, Instant now);
  std::optional<Choice> ChooseFrom(ClassState& state, RequestQueue& queue, Instant now);
  void Start(const Choice& choice, Instant now, DispatchEffects& out);
  void StartOn(Pending& pending, EndpointTable::Slots& slots, DecisionRecord record, Instant now,
               DispatchEffects& out);
  EndpointTable::Need NeedOf(const Pending& pending, Instant now) const;

  /// Doubt of an endpoint above which a request should rather wait for another one; 1 when it should not
  /// wait.
  double MostDoubt(const Pending& pending, double usual_time, Instant now) const;
  double DoubtByBacklog(const DispatchRequest& request, double usual_time) const;
  void NoteOutcome(bool served, Instant now);

  /// Share of requests that are not served: of those here, or of those that entry hosts tell of, which also
  /// end elsewhere.
  double UnservedShare(Instant now) const;
  std::vector<LiveEndpoint> PoolEndpoints(const ObjectSet& set) const;
  void ConfigureRetries();
  void ApplyEndpoints(const std::vector<LiveEndpoint>& endpoints, Instant now);
  DecisionRecord MakeRecord(const Pending& pending, Instant now);
  void AddPassedOver(const Choice& choice, const Pending& pending, DecisionRecord& record);
  OrderRule WhyPassedOver(const Choice& choice, const ClassState& other, const Pending& older) const;
  void Finish(Pending& pending, ResultCode code, Duration retry_after, Instant now, DispatchEffects& out);
  void Deliver(Pending& pending, std::int64_t attempt, Instant now, DispatchEffects& out);

  /// Gives up the attempts of a request that still run; their slots stay taken until they have ended.
  void AbandonAttempts(Pending& pending, Instant now, DispatchEffects& out);

  /// Gives waiting requests back to their entry hosts, for another dispatcher.
  void HandBack(Instant now, DispatchEffects& out);
  std::optional<Attempt> TakeAttempt(const AttemptResult& result);
  void WatchAttempts(Instant now, DispatchEffects& out);
  void Hedge(Pending& pending, Instant now, DispatchEffects& out);
  void Requeue(Pending& pending, Instant now);
  void EndFailedAttempt(Pending& pending, const Attempt& attempt, const AttemptResult& result, Instant now,
                        DispatchEffects& out);
  void FinishFailed(Pending& pending, Instant now, DispatchEffects& out);
  bool MayRetry(const Pending& pending, const AttemptResult& result, Instant now);
  void NoteIdleUse(const Attempt& attempt, const AttemptResult& result, Instant now);
  void ObserveHealth(const Pending& pending, const Attempt& attempt, const AttemptResult& result, Instant now,
                     DispatchEffects& out);
  double RouteServiceTime(const DispatchRequest& request) const;

  /// The usual time, or a guess from the target before any is known; 0 when there is none.
  double ExpectedTime(const DispatchRequest& request) const;
  void ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out);
  void DropQueued(Pending& pending);
  Duration ProgressTimeout(const Pending& pending);

  ServicePart m_part;
  std::int64_t m_parts = 1;  ///< Dispatchers among which the service's endpoints are split.
  std::string m_node;
  std::shared_ptr<const RouteTable> m_table;
  Service m_settings;
  Pool m_pool;
  HealthMonitor m_health;
  EndpointTable m_endpoints;
  std::map<std::string, ClassState> m_classes;
  std::map<std::string, Pending> m_pending;
  std::set<std::pair<Instant, std::string>> m_looks;  ///< Times at which queued requests are looked at again.
  std::map<std::pair<std::string, std::int64_t>, Attempt> m_abandoned;  ///< By request id and number.
  RetryBudget m_retry_budget;
  HedgePolicy m_hedges;
  PathWatch m_paths;
  IdleTrust m_idle_trust;
  std::vector<LiveEndpoint> m_live;
  bool m_listed = false;                    ///< Whether live endpoints have been listed.
  Instant m_last_repeatable{};              ///< Arrival of the last repeatable request.
  RateEstimate m_starts{kStartMemory};      ///< Attempts.
  Instant m_backlogged{};                   ///< Since when requests have waited; none when none does.
  RateEstimate m_served{kOutcomeMemory};    ///< Requests that ended well.
  RateEstimate m_unserved{kOutcomeMemory};  ///< Requests that did not.
  RateEstimate m_told_served{
      kOutcomeMemory};  ///< The same of all that might have come here, as entry hosts tell.
  RateEstimate m_told_unserved{kOutcomeMemory};
  SuspectList m_suspects;
  Instant m_last_pause{};
  std::int64_t m_next_arrival = 0;
  std::int64_t m_next_sequence = 0;
};

}  // namespace fescueramp
