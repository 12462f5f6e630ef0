#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"
#include "fescueramp/health/cusum.h"
#include "fescueramp/health/quantile_tracker.h"

namespace fescueramp {

/// How one attempt on an endpoint ended.
enum class AttemptOutcome {
  kAnswered,        ///< A whole answer with a status below 500.
  kServerError,     ///< A whole answer with a status of 500 or more.
  kShed,            ///< The endpoint refused; the work did not run.
  kMisdirected,     ///< Another endpoint has the address; the work did not run.
  kConnectFailed,   ///< Nothing was sent; the work did not run.
  kUnreachable,     ///< Nobody answered the connect; the work did not run.
  kBroken,          ///< The connection ended after work was sent and before the answer was whole.
  kTimedOut,        ///< No answer in time on a connection that was opened for the attempt.
  kSilent,          ///< No answer in time on an older connection; a newer one may work.
  kCancelled,       ///< Given up because the caller left.
  kUnacknowledged,  ///< The endpoint's host did not acknowledge what was sent; the work may have run.
};

template <>
struct EnumTable<AttemptOutcome> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "answered", "server_error", "shed",   "misdirected", "connect_failed", "unreachable",
      "broken",   "timed_out",    "silent", "cancelled",   "unacknowledged"};
};

/// Whether an endpoint gets work.
enum class HealthState {
  kHealthy,
  kEjected,  ///< Gets none until its stay is over.
  kCanary,   ///< Gets one repeatable request at a time.
  kRamping,  ///< Gets a growing share of its slots.
};

template <>
struct EnumTable<HealthState> {
  static constexpr std::array<std::string_view, 4> kNames = {"healthy", "ejected", "canary", "ramping"};
};

/// Bounds and rates of the health decisions.
struct HealthSettings {
  double m_error_threshold =
      14.0;  ///< CUSUM threshold of errors; at least e^14 answers between false alarms.
  double m_latency_threshold =
      16.0;  ///< CUSUM threshold of slow answers; at least e^16 answers between false alarms.
  double m_min_error_rate = 0.01;       ///< Error rate always taken as normal.
  double m_ill_error_rate = 0.4;        ///< Error rate of an ill endpoint.
  double m_slow_quantile = 0.9;         ///< Answers above this quantile of the service count as slow.
  double m_ill_slow_rate = 0.6;         ///< Share of slow answers of an ill endpoint.
  std::int64_t m_min_baseline = 100;    ///< Answers before latency is judged.
  std::int64_t m_canary_successes = 3;  ///< Good answers before an endpoint returns.
  Duration m_first_stay = std::chrono::seconds(5);     ///< Length of the first ejection.
  Duration m_longest_stay = std::chrono::seconds(60);  ///< Longest ejection.
  Duration m_forget = std::chrono::seconds(120);  ///< Health after which earlier ejections are forgotten.
  Duration m_ramp = std::chrono::seconds(2);      ///< Time from the last canary to all slots.
};

/// A change of an endpoint's health, with the evidence.
struct HealthChange {
  std::string m_endpoint;
  HealthState m_state = HealthState::kHealthy;
  std::string m_reason;
  double m_error_evidence = 0;    ///< CUSUM of errors.
  double m_latency_evidence = 0;  ///< CUSUM of slow answers.
};
BOOST_DESCRIBE_STRUCT(HealthChange, (), (m_endpoint, m_state, m_reason, m_error_evidence, m_latency_evidence))

/// Decides from real work which endpoints of one service are ill.
/// No sequence of calls takes the slots in service below the floor.
class HealthMonitor {
 public:
  static constexpr double kRecentWeight = 0.1;

  /// Answers counted, and how many of them were bad.
  struct Tally {
    std::int64_t m_answers = 0;
    std::int64_t m_bad = 0;
  };

  /// Counts of one endpoint and of all, now and when the endpoint's evidence was last zero.
  struct Window {
    Tally m_own;
    Tally m_own_before;
    Tally m_all_before;
  };

  /// Evidence and state of one endpoint.
  struct EndpointRecord {
    std::int64_t m_slots = 0;
    bool m_in_service = true;  ///< False when an operator or the endpoint itself took it out.
    HealthState m_state = HealthState::kHealthy;
    Cusum m_errors;
    Cusum m_latency;
    Window m_error_window;
    Window m_slow_window;
    MovingAverage m_error_rate{kRecentWeight};  ///< Share of recent answers that were errors.
    MovingAverage m_slow_rate{kRecentWeight};   ///< Share of recent answers that were slow.
    std::int64_t m_canary_successes = 0;
    std::int64_t m_ejections = 0;  ///< Ejections not yet forgotten.
    Instant m_since{};             ///< Time of the last change of state.
    Duration m_stay{};
    std::string m_reason;
  };

  explicit HealthMonitor(HealthSettings settings = {}) : m_settings(settings) {}

  /// Sets the endpoints of the service and its floor; known endpoints keep their evidence.
  void Configure(const std::map<std::string, std::int64_t>& slots, double floor);

  /// Takes an endpoint out of service or back, by order of an operator or of the endpoint itself.
  void SetInService(const std::string& endpoint, bool in_service);

  /// Adds the evidence of one finished attempt.
  /// @param work Kind of work, whose latencies are comparable.
  std::vector<HealthChange> Observe(const std::string& endpoint, const std::string& work,
                                    AttemptOutcome outcome, Duration latency, Instant now);

  /// Moves endpoints on whose stay or ramp is over.
  std::vector<HealthChange> Tick(Instant now);

  /// Slots that an endpoint may use now.
  std::int64_t UsableSlots(const std::string& endpoint, Instant now) const;

  HealthState State(const std::string& endpoint) const;
  const std::map<std::string, EndpointRecord>& Endpoints() const { return m_endpoints; }

  /// Slots in service, and the fewest that ejections may leave.
  std::int64_t SlotsInService() const;
  std::int64_t FloorSlots() const;

 private:
  struct Baseline {
    QuantileTracker m_slow;
    MovingAverage m_mean{0.02};
  };

  void AddErrorEvidence(EndpointRecord& record, bool error);
  bool AddLatencyEvidence(EndpointRecord& record, const std::string& work, double latency);
  std::vector<double> OthersRates(const EndpointRecord& except, MovingAverage EndpointRecord::*rate) const;
  std::int64_t SlotsNotEjected() const;
  bool CauseIsShared(const EndpointRecord& record) const;
  bool StandsOut(const EndpointRecord& record, MovingAverage EndpointRecord::*rate, const Window& window,
                 const Tally& all) const;
  static void Count(bool bad, const Cusum& evidence, Window& window, Tally& all);
  bool MayEject(const EndpointRecord& record) const;
  HealthChange Move(const std::string& name, EndpointRecord& record, HealthState state, Instant now);
  HealthChange Eject(const std::string& name, EndpointRecord& record, std::string reason, Instant now);
  std::vector<HealthChange> Judge(const std::string& name, EndpointRecord& record, Instant now);
  std::vector<HealthChange> JudgeCanary(const std::string& name, EndpointRecord& record, bool good,
                                        Instant now);

  HealthSettings m_settings;
  double m_floor = 0.5;
  Tally m_all_errors;  ///< Of all endpoints.
  Tally m_all_slow;
  std::map<std::string, EndpointRecord> m_endpoints;
  std::map<std::string, Baseline> m_baselines;
};

}  // namespace fescueramp
