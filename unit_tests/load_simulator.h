#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/dispatch/fair_dispatcher.h"

namespace fescueramp {

/// Behaviour of an endpoint.
enum class EndpointMode {
  kHealthy,
  kHangs,        ///< Three in four requests get no response.
  kRefuses,      ///< Half of the requests are refused and not run.
  kResets,       ///< Most connections are reset right after the request was sent.
  kHangsRarely,  ///< A few requests get no response, as given by `LoadPattern::m_rare_hang_share`.
};

/// Load on one service and behaviour of its endpoints.
struct LoadPattern {
  int m_endpoints = 8;
  int m_slots = 4;
  bool m_repeatable = false;
  Duration m_service_time = std::chrono::milliseconds(280);  ///< Median.
  double m_tail_share = 0.03;  ///< Share of the requests that take `m_tail_factor` times as long.
  double m_tail_factor = 7;
  double m_rare_hang_share = 0.1;  ///< Share of requests without a response in mode `kHangsRarely`.
  double m_hedge_ratio = 0;        ///< Setting of the service; left out of its configuration if 0.
  double m_spread = 0.3;           ///< Standard deviation of the logarithm of the service times.
  Duration m_target = std::chrono::milliseconds(1200);   ///< Target latency.
  Duration m_timeout = std::chrono::milliseconds(2500);  ///< Timeout of the route.
  /// Time from the first try of a request until its caller gives up.
  Duration m_patience = std::chrono::milliseconds(5000);
  bool m_callers_retry = true;  ///< Whether refused callers retry after the delay in the response.
  double m_seconds = 20;        ///< Time during which requests arrive, seconds.
  std::function<double(double)> m_arrivals_per_s;  ///< Arrival rate by time in seconds.
  /// Behaviour by endpoint and time in seconds; healthy if empty.
  std::function<EndpointMode(int, double)> m_mode;
  unsigned m_seed = 1;
};

/// Outcomes of the requests of all callers.
struct LoadResult {
  int m_requests = 0;
  int m_in_target = 0;  ///< Responses within the target latency, counted from the first try.
  int m_late = 0;
  int m_lost = 0;                               ///< Requests that were sent and whose outcome is unknown.
  int m_refused = 0;                            ///< Requests that never ran.
  int m_slow_refusals = 0;                      ///< Refusals that took more than an eighth of the target.
  std::map<std::string, int> m_lost_at;         ///< Timed-out attempts by endpoint.
  std::map<int, std::vector<double>> m_starts;  ///< Start times of attempts by endpoint, seconds.
  std::map<int, std::vector<double>> m_resets;  ///< Times of reset connections by endpoint, seconds.
  std::vector<double> m_response_times;         ///< Of delivered responses from the first try, seconds.
  std::vector<double> m_first_starts;           ///< Start times of first attempts, seconds.
  std::vector<double> m_hedge_starts;           ///< Start times of attempts beside a running one, seconds.
  int m_hedges_at_queue = 0;                    ///< Hedges that started while requests waited.
  std::vector<std::string> m_violations;        ///< Descriptions of violated invariants.
};

/// Simulates a load on a dispatcher with a manual clock and models of callers and endpoints.
class LoadSimulator {
 public:
  explicit LoadSimulator(LoadPattern pattern);
  LoadResult Run();
  int Ejections() const { return m_ejections; }
  DispatcherLoad Load() const { return m_dispatcher->Load(m_clock.Now()); }

 private:
  struct Caller {
    Instant m_first_sent{};
    Instant m_sent_at{};
    int m_tries = 0;
  };
  struct Running {
    StartAttempt m_start;
    AttemptOutcome m_outcome = AttemptOutcome::kResponded;
    Instant m_started{};
  };

  double Seconds() const { return ToSeconds(m_clock.Now() - m_start); }
  double UniformRandom() { return std::generate_canonical<double, 32>(m_random); }
  void SendRequest(int caller);
  void Apply(const DispatchEffects& effects);
  void Apply(const StartAttempt& effect);
  void Apply(const FinishRequest& effect);
  void Apply(const DeliverResponse& effect);
  void Apply(const CancelAttempt& effect);
  void Apply(const ReportConstraint&) {}
  void Apply(const ReportQuarantine&) {}
  void Apply(const ReportHealth& effect) {
    m_ejections += effect.m_change.m_state == HealthState::kEjected ? 1 : 0;
  }
  void EndDueAttempts();
  void RecordStart(const StartAttempt& effect);
  int CallerOf(const std::string& request_id) const;

  LoadPattern m_pattern;
  ManualClock m_clock;
  Instant m_start{};
  std::mt19937 m_random;
  std::unique_ptr<FairDispatcher> m_dispatcher;
  std::vector<Caller> m_callers;
  std::multimap<Instant, Running> m_attempt_ends;
  std::multimap<Instant, int> m_scheduled_retries;
  std::set<std::string> m_ran;                 ///< Requests that an endpoint started to run.
  std::map<std::string, int> m_open_attempts;  ///< Attempts in progress by request id.
  LoadResult m_result;
  int m_ejections = 0;
};

}  // namespace fescueramp
