#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/config/service_part.h"
#include "fescueramp/core/result_code.h"
#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/announced_crash_record.h"
#include "fescueramp/dispatch/endpoint_statement.h"
#include "fescueramp/health/health_monitor.h"
#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// A request as its dispatcher handles it. The body stays with the sockets.
struct DispatchRequest {
  std::string m_request_id;
  std::string m_entry_node;
  std::string m_service;
  std::string m_route;
  std::string m_class_name;
  std::string m_account;
  bool m_repeatable = true;
  std::uint64_t m_claim_key = 0;    ///< Hash of service, account and idempotency key; 0 when there is none.
  std::uint64_t m_fingerprint = 0;  ///< Hash of the request's contents; the same when it is sent again.
  Instant m_deadline{};
  std::string m_caller_id;               ///< Request id assigned by the caller; empty if none.
  std::int64_t m_target_latency_ms = 0;  ///< Target latency; 0 if there is none.
  std::int64_t m_max_attempts = 4;       ///< Maximum number of attempts that may run.
  std::int64_t m_forwards = 1;           ///< Number of dispatchers tried or skipped, including this one.
  std::int64_t m_revision = 0;  ///< Configuration revision with which the entry host chose the service.
  std::string m_part_zone;  ///< Zone of the service part that is to serve it; empty for the whole service.
  bool m_may_move = false;  ///< Whether another part of the service may serve it when this one is full.
  std::int64_t m_split_version = 0;  ///< Version of the service's split with which the part was chosen.
  std::uint64_t m_split_digest = 0;  ///< Digest of the same view of the split.
  /// Requests that could have used this service and were served (`m_served_since`) or not
  /// (`m_unserved_since`) since the entry host last forwarded a request to it.
  std::int64_t m_served_since = 0;
  std::int64_t m_unserved_since = 0;
  bool m_maybe_ran = false;  ///< Whether an attempt of another dispatcher may have run.
};
BOOST_DESCRIBE_STRUCT(DispatchRequest, (),
                      (m_request_id, m_entry_node, m_service, m_route, m_class_name, m_account, m_repeatable,
                       m_claim_key, m_fingerprint, m_deadline, m_caller_id, m_target_latency_ms,
                       m_max_attempts, m_forwards, m_revision, m_part_zone, m_may_move, m_split_version,
                       m_split_digest, m_served_since, m_unserved_since, m_maybe_ran))

/// Maximum number of dispatchers that may hand back a request because of failing network paths. After that
/// the dispatcher keeps the request, as the endpoints themselves are then likely to be down.
inline constexpr std::int64_t kMaxHandBacks = 2;

/// Returns the part of the service that is to serve a request.
inline ServicePart PartOf(const DispatchRequest& request) { return {request.m_service, request.m_part_zone}; }

/// Starts an attempt of a request on an endpoint.
struct StartAttempt {
  static constexpr const char* kType = "start_attempt";
  std::string m_request_id;
  std::int64_t m_attempt = 0;  ///< Attempt number, from 1.
  std::string m_endpoint;
  std::string m_address;
  std::int64_t m_port = 0;
  std::int64_t m_max_connections = 0;
  Duration m_progress_timeout{};
  Instant m_deadline{};
  /// Whether the attempt needs a connection that is new or was used recently.
  bool m_fresh_connection = false;
  Duration m_most_idle{};  ///< Maximum idle time of a kept connection that may be used.
  DecisionRecord m_record;
};
BOOST_DESCRIBE_STRUCT(StartAttempt, (),
                      (m_request_id, m_attempt, m_endpoint, m_address, m_port, m_max_connections,
                       m_progress_timeout, m_deadline, m_fresh_connection, m_most_idle, m_record))

/// Ends a request at its dispatcher without a further attempt.
struct FinishRequest {
  static constexpr const char* kType = "finish_request";
  std::string m_request_id;
  std::int64_t m_code = 0;  ///< Number of a ResultCode.
  std::int64_t m_retry_after_ms = 0;
  /// HTTP status with which an earlier request with the same idempotency key ended; 0 if unknown.
  std::int64_t m_recorded_status = 0;
  bool m_maybe_ran = false;  ///< Whether an attempt may have run.
  DecisionRecord m_record;
  SplitView m_split = {};    ///< For OTHER_PART: how the service is split.
  bool m_part_full = false;  ///< For OTHER_PART: whether the addressed part is full.
};
BOOST_DESCRIBE_STRUCT(FinishRequest, (),
                      (m_request_id, m_code, m_retry_after_ms, m_recorded_status, m_maybe_ran, m_record,
                       m_split, m_part_full))

/// Forwards the response of an attempt to the caller.
struct DeliverResponse {
  static constexpr const char* kType = "deliver_answer";
  std::string m_request_id;
  std::int64_t m_attempt = 0;
};
BOOST_DESCRIBE_STRUCT(DeliverResponse, (), (m_request_id, m_attempt))

/// Reports which breaks led to the refusal of a request as crash-causing.
struct ReportQuarantine {
  static constexpr const char* kType = "report_quarantine";
  std::string m_request_id;
  std::string m_caller_id;  ///< Request id assigned by the caller; empty if none.
  std::string m_service;
  std::vector<AnnouncedBreak> m_breaks;
};
BOOST_DESCRIBE_STRUCT(ReportQuarantine, (), (m_request_id, m_caller_id, m_service, m_breaks))

/// Abandons a running attempt.
struct CancelAttempt {
  static constexpr const char* kType = "cancel_attempt";
  std::string m_request_id;
  std::int64_t m_attempt = 0;
};
BOOST_DESCRIBE_STRUCT(CancelAttempt, (), (m_request_id, m_attempt))

/// Reports a change of an endpoint's health, for logs and metrics.
struct ReportHealth {
  static constexpr const char* kType = "report_health";
  std::string m_service;
  HealthChange m_change;
};
BOOST_DESCRIBE_STRUCT(ReportHealth, (), (m_service, m_change))

/// Reports that a constraint on requests to an endpoint changed, for logs.
struct ReportConstraint {
  static constexpr const char* kType = "report_constraint";
  std::string m_service;
  std::string m_endpoint;
  std::optional<double> m_limit_per_s;  ///< Nothing if the endpoint has no limit any more.
  bool m_leaving = false;               ///< Whether the endpoint has stated that it is leaving.
  std::int64_t m_pause_ms = 0;          ///< Time for which the endpoint takes no requests, ms.
  std::string m_source;                 ///< Node that received the endpoint's statement.
};
BOOST_DESCRIBE_STRUCT(ReportConstraint, (),
                      (m_service, m_endpoint, m_limit_per_s, m_leaving, m_pause_ms, m_source))

/// How an attempt ended, as the daemon observed it.
struct AttemptResult {
  std::string m_request_id;
  std::string m_part;  ///< Name of the part of the service.
  std::int64_t m_attempt = 0;
  AttemptOutcome m_outcome = AttemptOutcome::kResponded;
  std::int64_t m_status = 0;           ///< HTTP status of the response; 0 if there is none.
  Duration m_latency{};                ///< From sending the request to the end of the response.
  bool m_body_replayable = true;       ///< Whether the request body can be sent again.
  bool m_answer_started = false;       ///< Whether part of the response was already forwarded to the caller.
  Duration m_idle{};                   ///< Idle time of the connection before the attempt; 0 for a new one.
  EndpointStatement m_statement = {};  ///< From the head of the response, whether or not its body is whole.
};
BOOST_DESCRIBE_STRUCT(AttemptResult, (),
                      (m_request_id, m_part, m_attempt, m_outcome, m_status, m_latency, m_body_replayable,
                       m_answer_started, m_idle, m_statement))

}  // namespace fescueramp
