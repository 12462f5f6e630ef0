#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "unit_tests/fixtures.h"

namespace fescueramp {

/// Runs a dispatcher with a manual clock, records its effects and checks the invariants after each of them.
class DispatchHarness {
 public:
  DispatchHarness(int endpoints, int slots, std::unique_ptr<Dispatcher> dispatcher = nullptr,
                  bool by_belief = false, double hedge_quantile = 0);

  /// Sends a request of a class that expires after `deadline`, and returns its id.
  std::string Send(const std::string& class_name, const std::string& account = "alice",
                   bool repeatable = true, Duration deadline = std::chrono::seconds(10),
                   std::uint64_t fingerprint = 0);

  /// Ends the running attempt of a request; the newer one if it was hedged.
  void End(const std::string& request_id, AttemptOutcome outcome = AttemptOutcome::kResponded,
           Duration latency = std::chrono::milliseconds(20), const EndpointStatement& statement = {});

  /// Ends the older attempt of a request that was hedged.
  void EndOlder(const std::string& request_id, AttemptOutcome outcome);

  void Cancel(const std::string& request_id);
  void Advance(Duration span);

  /// Applies a configuration with another number of endpoints.
  void Reconfigure(int endpoints, std::int64_t revision = 1);

  /// Sets the revision by which entry hosts route the requests that are sent from now on.
  void SetEntryRevision(std::int64_t revision) { m_entry_revision = revision; }

  /// Advances the clock as during a pause of the node's process, without ticks.
  void Pause(Duration span);
  void Leave(const std::string& endpoint, bool leaving = true);

  bool Running(const std::string& request_id) const { return m_running.contains(request_id); }
  std::string EndpointOf(const std::string& request_id) const;
  /// Whether an attempt of a request was started beside another.
  bool Hedged(const std::string& request_id) const { return m_older.contains(request_id); }
  /// Endpoint of the older attempt of a request that was hedged.
  std::string OlderEndpointOf(const std::string& request_id) const {
    return m_older.at(request_id).m_endpoint;
  }
  const std::map<std::string, StartAttempt>& AllRunning() const { return m_running; }

  /// Result code of an ended request; kOk if it got a response.
  ResultCode CodeOf(const std::string& request_id) const { return m_ended.at(request_id); }
  /// Delay after which the caller of a request that ended without a response should retry.
  Duration RetryAfterOf(const std::string& request_id) const { return m_retry_after.at(request_id); }
  bool Ended(const std::string& request_id) const { return m_ended.contains(request_id); }
  std::size_t EndedCount() const { return m_ended.size(); }

  /// Requests in the order of their first attempts.
  const std::vector<std::string>& StartOrder() const { return m_start_order; }
  const std::vector<DecisionRecord>& Records() const { return m_records; }
  const std::vector<HealthChange>& HealthChanges() const { return m_health; }
  Dispatcher& Target() { return *m_dispatcher; }
  Instant Now() const { return m_clock.Now(); }

  /// Descriptions of violated invariants: slot limits, exactly one end per request, no second run of
  /// non-repeatable requests, no new requests to leaving endpoints, and the floor.
  const std::vector<std::string>& Violations() const { return m_violations; }

 private:
  void Apply(DispatchEffects effects);
  void ApplyResult(const StartAttempt& attempt, AttemptOutcome outcome, Duration latency,
                   const EndpointStatement& statement);
  void Apply(const StartAttempt& effect);
  void Apply(const FinishRequest& effect) {
    m_retry_after[effect.m_request_id] = std::chrono::milliseconds(effect.m_retry_after_ms);
    ApplyEnd(effect.m_request_id, static_cast<ResultCode>(effect.m_code));
  }
  void Apply(const DeliverResponse& effect) { ApplyEnd(effect.m_request_id, ResultCode::kOk); }
  void Apply(const CancelAttempt&) {}
  void Apply(const ReportConstraint&) {}
  void Apply(const ReportQuarantine&) {}
  void Apply(const ReportHealth& effect) { m_health.push_back(effect.m_change); }
  void ApplyEnd(const std::string& request_id, ResultCode code);
  void CheckFloor();

  int m_slots;
  bool m_by_belief;
  double m_hedge_quantile;
  std::int64_t m_entry_revision = 1;
  ManualClock m_clock;
  std::unique_ptr<Dispatcher> m_dispatcher;
  std::map<std::string, bool> m_repeatable;
  std::map<std::string, bool> m_maybe_ran;
  std::map<std::string, StartAttempt> m_running;
  std::map<std::string, StartAttempt> m_older;  ///< Attempts beside which another was started.
  std::map<std::string, int> m_busy;
  std::set<std::string> m_leaving;
  std::map<std::string, ResultCode> m_ended;
  std::map<std::string, Duration> m_retry_after;
  std::vector<std::string> m_start_order;
  std::vector<DecisionRecord> m_records;
  std::vector<HealthChange> m_health;
  std::vector<std::string> m_violations;
  int m_next_id = 0;
};

}  // namespace fescueramp
