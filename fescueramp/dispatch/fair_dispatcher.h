#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/dispatch/class_share.h"
#include "fescueramp/dispatch/dispatcher.h"
#include "fescueramp/dispatch/endpoint_table.h"
#include "fescueramp/dispatch/request_queue.h"
#include "fescueramp/dispatch/retry_budget.h"
#include "fescueramp/dispatch/suspect_list.h"

namespace fescueramp {

/// Dispatcher with exact slot knowledge: ranks between classes, fair shares between accounts, slots kept
/// free for short work by measured demand, early refusal, budgeted retries and isolation of suspects.
class FairDispatcher final : public Dispatcher {
 public:
  /// @param node Name of the node, for decision records.
  /// @param zone Availability zone of the node.
  FairDispatcher(std::string service, std::string node, const std::string& zone, HealthSettings health = {});

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override;
  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override;
  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override;
  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override;
  void Tick(Instant now, DispatchEffects& out) override;
  void NotePause(Instant now) override { m_last_pause = now; }
  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override;
  std::vector<std::string> ReleaseQueue() override;
  DispatcherLoad Load(Instant now) const override;
  std::vector<EndpointStatus> Endpoints(Instant now) const override;
  bool Idle() const override { return m_pending.empty(); }

  const HealthMonitor& Health() const { return m_health; }

 private:
  /// A request from its arrival to its end.
  struct Pending {
    DispatchRequest m_request;
    bool m_running = false;
    bool m_alone = false;
    bool m_maybe_ran = false;  ///< Whether an earlier attempt may have run.
    Instant m_arrival{};
    Instant m_started{};  ///< Start of the last attempt.
    std::int64_t m_arrival_sequence = 0;
    double m_start_tag = 0;
    double m_weight = 1;
    std::int64_t m_attempts = 0;
    std::int64_t m_retries = 0;
    std::string m_endpoint;
    std::set<std::string> m_failed_endpoints;
  };

  /// Queue and demand of one priority.
  struct ClassState {
    std::string m_name;
    Priority m_priority;
    RequestQueue m_queue;
    ClassDemand m_demand;
    std::int64_t m_running = 0;
    std::int64_t m_reserve = 0;  ///< Slots it must leave, by the demand of shorter classes before it.
    std::int64_t m_bound = 0;    ///< Slots it may hold.
    std::int64_t m_picks_of_others = 0;
  };

  /// Next request and the slot it takes.
  struct Choice {
    ClassState* m_class = nullptr;
    RequestQueue::Entry m_entry;
    EndpointTable::Slots* m_slots = nullptr;
    bool m_starved = false;  ///< Whether its class got its turn out of order.
  };

  ClassState& ClassOf(const std::string& name);
  std::vector<ClassState*> ByRank();
  void UpdateBounds(Instant now);
  Duration ExpectedWait(const ClassState& state) const;
  bool RefuseEarly(const Pending& pending, const ClassState& state, Instant now, DispatchEffects& out);
  void ExpireQueued(Instant now, DispatchEffects& out);
  void FinishQuarantined(std::uint64_t fingerprint, Instant now, DispatchEffects& out);
  void Pump(Instant now, DispatchEffects& out);
  std::optional<Choice> ChooseNext(Instant now);
  std::optional<Choice> ChooseIn(ClassState& state, Instant now);
  void Start(const Choice& choice, Instant now, DispatchEffects& out);
  DecisionRecord MakeRecord(const Pending& pending, Instant now);
  void AddPassedOver(const Choice& choice, const Pending& pending, DecisionRecord& record);
  OrderRule WhyPassedOver(const Choice& choice, const ClassState& other, const Pending& older) const;
  void Finish(Pending& pending, ResultCode code, Duration retry_after, Instant now, DispatchEffects& out);
  void Deliver(Pending& pending, DispatchEffects& out);
  void Requeue(Pending& pending, Instant now);
  void EndFailedAttempt(Pending& pending, const AttemptResult& result, Instant now, DispatchEffects& out);
  bool MayRetry(const Pending& pending, const AttemptResult& result, Instant now);
  void ObserveHealth(const Pending& pending, const AttemptResult& result, Instant now, DispatchEffects& out);
  void ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out);
  void DropQueued(Pending& pending);
  Duration ProgressTimeout(const Pending& pending);

  std::string m_service;
  std::string m_node;
  std::shared_ptr<const RouteTable> m_table;
  Service m_settings;
  Pool m_pool;
  HealthMonitor m_health;
  EndpointTable m_endpoints;
  std::map<std::string, ClassState> m_classes;
  std::map<std::string, Pending> m_pending;
  std::set<std::pair<Instant, std::string>> m_deadlines;  ///< Of queued requests.
  std::map<std::string, MovingAverage> m_route_service_time;
  RetryBudget m_retry_budget;
  SuspectList m_suspects;
  Instant m_last_pause{};
  std::int64_t m_next_arrival = 0;
  std::int64_t m_next_sequence = 0;
};

}  // namespace fescueramp
