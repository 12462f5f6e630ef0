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

/// What an endpoint does with the work it gets.
enum class EndpointMode {
  kSound,
  kHangs,    ///< Three in four requests are never answered.
  kRefuses,  ///< Half of the requests are refused and not run.
};

/// A load on one service, and how its endpoints behave under it.
struct LoadPattern {
  int m_endpoints = 8;
  int m_slots = 4;
  bool m_repeatable = false;
  Duration m_service_time = std::chrono::milliseconds(280);  ///< Median; 3 in 100 take seven times as long.
  double m_spread = 0.3;                                     ///< Of the logarithm of the times.
  Duration m_target = std::chrono::milliseconds(1200);
  Duration m_timeout = std::chrono::milliseconds(2500);  ///< Of the route.
  Duration m_patience = std::chrono::milliseconds(5000);
  bool m_callers_return = true;  ///< Whether refused callers come back as they are told.
  double m_seconds = 20;
  std::function<double(double)> m_arrivals_per_s;   ///< By time in seconds.
  std::function<EndpointMode(int, double)> m_mode;  ///< By endpoint and time; sound when it is empty.
  unsigned m_seed = 1;
};

/// What callers got.
struct LoadResult {
  int m_asked = 0;
  int m_in_target = 0;  ///< Answered within the target, counted from the first try.
  int m_late = 0;
  int m_lost = 0;                        ///< Sent, with an outcome that nobody knows.
  int m_refused = 0;                     ///< Never run.
  int m_held = 0;                        ///< Refusals that took more than an eighth of the target.
  std::map<std::string, int> m_lost_at;  ///< Lost requests, by endpoint.
  std::vector<std::string> m_breaches;   ///< Promises that did not hold.
};

/// Plays a load against a dispatcher with a manual clock and models of callers and endpoints.
class LoadReplay {
 public:
  explicit LoadReplay(LoadPattern pattern);
  LoadResult Run();
  int Ejections() const { return m_ejections; }

 private:
  struct Caller {
    Instant m_first{};
    Instant m_asked{};
    int m_tries = 0;
  };
  struct Running {
    StartAttempt m_start;
    AttemptOutcome m_outcome = AttemptOutcome::kAnswered;
    Instant m_started{};
  };

  double Seconds() const { return ToSeconds(m_clock.Now() - m_start); }
  double Draw() { return std::generate_canonical<double, 32>(m_random); }
  void Ask(int caller);
  void Apply(const DispatchEffects& effects);
  void Apply(const StartAttempt& effect);
  void Apply(const FinishRequest& effect);
  void Apply(const DeliverAnswer& effect);
  void Apply(const CancelAttempt& effect);
  void Apply(const ReportHealth& effect) {
    m_ejections += effect.m_change.m_state == HealthState::kEjected ? 1 : 0;
  }
  void EndDue();
  int CallerOf(const std::string& request_id) const;

  LoadPattern m_pattern;
  ManualClock m_clock;
  Instant m_start{};
  std::mt19937 m_random;
  std::unique_ptr<FairDispatcher> m_dispatcher;
  std::vector<Caller> m_callers;
  std::multimap<Instant, Running> m_ends;
  std::multimap<Instant, int> m_returns;
  std::set<std::string> m_ran;  ///< Requests that an endpoint began to run.
  LoadResult m_result;
  int m_ejections = 0;
};

}  // namespace fescueramp
