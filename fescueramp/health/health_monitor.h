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
  kResponded,      ///< Complete response with a status below 500.
  kServerError,    ///< Complete response with a status of 500 or more.
  kShed,           ///< The endpoint refused the request; it did not run.
  kMisdirected,    ///< Another endpoint listens on the address; the request did not run.
  kConnectFailed,  ///< The connection was not established and nothing was sent; the request did not run.
  kUnreachable,    ///< The connect attempt got no reply; the request did not run.
  kBroken,         ///< The connection closed after the request was sent and before the response was complete.
  kTimedOut,       ///< Timeout on a connection that was opened for the attempt.
  kUnresponsive,   ///< Timeout on a connection opened earlier; a new connection may still work.
  kCancelled,      ///< Cancelled because the caller disconnected.
  kUnacknowledged,  ///< The endpoint's host did not acknowledge the sent data; the request may have run.
};

template <>
struct EnumTable<AttemptOutcome> {
  static constexpr std::array<std::string_view, 11> kNames = {
      "answered", "server_error", "shed",   "misdirected", "connect_failed", "unreachable",
      "broken",   "timed_out",    "silent", "cancelled",   "unacknowledged"};
};

/// Health state of an endpoint, which decides how many of its slots may be used.
enum class HealthState {
  kHealthy,  ///< All slots are usable.
  kEjected,  ///< No slots are usable until the ejection time has passed.
  kCanary,   ///< One repeatable request at a time.
  kRamping,  ///< The share of usable slots grows over the ramp time.
};

template <>
struct EnumTable<HealthState> {
  static constexpr std::array<std::string_view, 4> kNames = {"healthy", "ejected", "canary", "ramping"};
};

/// Thresholds, rates and times of health decisions.
struct HealthSettings {
  double m_error_threshold =
      14.0;  ///< CUSUM threshold for errors; at least e^14 responses between false alarms.
  double m_latency_threshold =
      16.0;  ///< CUSUM threshold for slow responses; at least e^16 responses between false alarms.
  double m_min_error_rate = 0.01;            ///< Error rate that is always considered normal.
  double m_unhealthy_error_rate = 0.4;       ///< Minimum error rate of an unhealthy endpoint.
  double m_slow_quantile = 0.9;              ///< Responses above this quantile of latency count as slow.
  double m_unhealthy_slow_rate = 0.6;        ///< Minimum share of slow responses of an unhealthy endpoint.
  std::int64_t m_min_latency_samples = 100;  ///< Responses needed before latency is evaluated.
  std::int64_t m_canary_successes = 3;       ///< Good canary responses before the ramp starts.
  Duration m_base_ejection_time = std::chrono::seconds(5);  ///< Length of the first ejection.
  Duration m_max_ejection_time = std::chrono::seconds(60);  ///< Longest ejection.
  Duration m_ejection_count_reset_time =
      std::chrono::seconds(120);  ///< Time without ejection after which the count of ejections restarts.
  Duration m_ramp = std::chrono::seconds(2);  ///< Time from the last canary request to full use of the slots.
};

/// State transition of one endpoint and the evidence for it.
struct HealthChange {
  std::string m_endpoint;
  HealthState m_state = HealthState::kHealthy;
  std::string m_reason;
  double m_error_evidence = 0;    ///< CUSUM of errors.
  double m_latency_evidence = 0;  ///< CUSUM of slow responses.
};
BOOST_DESCRIBE_STRUCT(HealthChange, (), (m_endpoint, m_state, m_reason, m_error_evidence, m_latency_evidence))

/// Passive outlier detection for the endpoints of one service, from the outcomes of requests.
///
/// Ejects endpoints that fail or are slow significantly more often than the others, and readmits them through
/// canary requests and a ramp. No sequence of calls ejects so many slots that fewer than the floor remain.
class HealthMonitor {
 public:
  static constexpr double kRecentWeight = 0.1;  ///< Weight of a new response in the moving averages.

  /// Number of responses, and how many of them were bad (errors or slow).
  struct Tally {
    std::int64_t m_responses = 0;
    std::int64_t m_bad = 0;
  };

  /// Counts over the window that starts when the endpoint's CUSUM was last zero.
  struct Window {
    Tally m_own;           ///< Total of this endpoint.
    Tally m_own_at_start;  ///< Total of this endpoint at the start of the window.
    Tally m_all_at_start;  ///< Total of all endpoints at the start of the window.
  };

  /// Evidence and state of one endpoint.
  struct EndpointRecord {
    std::int64_t m_slots = 0;
    bool m_in_service = true;  ///< False when taken out of service by an operator or by the endpoint itself.
    HealthState m_state = HealthState::kHealthy;
    Cusum m_errors;   ///< Evidence for an increased error rate.
    Cusum m_latency;  ///< Evidence for increased latency.
    Window m_error_window;
    Window m_slow_window;
    MovingAverage m_error_rate{kRecentWeight};  ///< Share of recent responses that were errors.
    MovingAverage m_slow_rate{kRecentWeight};   ///< Share of recent responses that were slow.
    std::int64_t m_canary_successes = 0;
    std::int64_t m_ejections = 0;  ///< Recent ejections; each doubles the next ejection time.
    Instant m_state_since{};       ///< Time of the last state transition.
    Duration m_ejection_time{};    ///< Length of the current or last ejection.
    std::string m_reason;          ///< Reason for the last state transition.
  };

  explicit HealthMonitor(HealthSettings settings = {}) : m_settings(settings) {}

  /// Sets the endpoints of the service; endpoints that were configured before keep their evidence.
  /// @param slots Number of slots by endpoint.
  /// @param floor Share of all slots that ejections must leave in service, 0 to 1.
  void Configure(const std::map<std::string, std::int64_t>& slots, double floor);

  /// Limits the length of ejections that begin from now on, for services whose endpoints must all be tried.
  void LimitEjectionTime(Duration limit) { m_ejection_time_limit = limit; }

  /// Takes an endpoint out of service or back into service, as set by an operator or by the endpoint itself.
  void SetInService(const std::string& endpoint, bool in_service);

  /// Adds the evidence of one finished attempt and returns the state transitions that follow from it.
  /// @param work Name of a kind of work; latencies are compared only within one kind.
  /// @param latency Service time; 0 if it is no evidence.
  std::vector<HealthChange> Observe(const std::string& endpoint, const std::string& work,
                                    AttemptOutcome outcome, Duration latency, Instant now);

  /// Starts canary requests for endpoints whose ejection time has passed, and ends ramps that have passed.
  std::vector<HealthChange> Tick(Instant now);

  /// Number of slots of an endpoint that may be used at `now`; 0 for an unknown endpoint.
  std::int64_t UsableSlots(const std::string& endpoint, Instant now) const;

  /// Health state of an endpoint; kEjected for an unknown one.
  HealthState State(const std::string& endpoint) const;

  /// All endpoints by name.
  const std::map<std::string, EndpointRecord>& Endpoints() const { return m_endpoints; }

  /// Number of slots of healthy and ramping endpoints that are in service.
  std::int64_t SlotsInService() const;

  /// Number of slots that ejections must leave in service.
  std::int64_t FloorSlots() const;

 private:
  /// Latencies of one kind of work over all endpoints, in microseconds.
  struct Baseline {
    QuantileTracker m_slow_latency;
    MovingAverage m_mean{0.02};
  };

  void AddErrorEvidence(EndpointRecord& record, bool error);
  bool AddLatencyEvidence(EndpointRecord& record, const std::string& work, double latency);
  std::vector<double> RatesOfOtherEndpoints(const EndpointRecord& except,
                                            MovingAverage EndpointRecord::*rate) const;
  std::int64_t SlotsNotEjected() const;
  bool CauseIsShared(const EndpointRecord& record) const;
  bool IsOutlier(const EndpointRecord& record, MovingAverage EndpointRecord::*rate, const Window& window,
                 const Tally& all) const;
  static void RecordResponse(bool bad, const Cusum& evidence, Window& window, Tally& all);
  bool MayEject(const EndpointRecord& record) const;
  HealthChange ChangeState(const std::string& name, EndpointRecord& record, HealthState state, Instant now);
  HealthChange Eject(const std::string& name, EndpointRecord& record, std::string reason, Instant now);
  std::vector<HealthChange> EvaluateEvidence(const std::string& name, EndpointRecord& record, Instant now);
  std::vector<HealthChange> EvaluateCanary(const std::string& name, EndpointRecord& record, bool good,
                                           Instant now);

  HealthSettings m_settings;
  Duration m_ejection_time_limit = Duration::max();
  double m_floor = 0.5;
  Tally m_all_errors;  ///< Errors of all endpoints.
  Tally m_all_slow;    ///< Slow responses of all endpoints.
  std::map<std::string, EndpointRecord> m_endpoints;
  std::map<std::string, Baseline> m_baselines;
};

}  // namespace fescueramp
