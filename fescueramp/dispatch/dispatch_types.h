#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/config/service_part.h"
#include "fescueramp/core/result_code.h"
#include "fescueramp/core/time.h"
#include "fescueramp/health/health_monitor.h"
#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// A request as its dispatcher knows it. The body stays with the sockets.
struct DispatchRequest {
  std::string m_request_id;
  std::string m_entry_node;
  std::string m_service;
  std::string m_route;
  std::string m_class_name;
  std::string m_account;
  bool m_repeatable = true;
  std::uint64_t m_claim_key = 0;    ///< Hash of service, account and idempotency key; 0 when there is none.
  std::uint64_t m_fingerprint = 0;  ///< Hash of what the request asks; the same when it is sent again.
  Instant m_deadline{};
  std::string m_caller_id;               ///< Id that the caller gave the request; empty when it gave none.
  std::int64_t m_target_latency_ms = 0;  ///< Time within which an answer has its full value; 0 for none.
  std::int64_t m_max_attempts = 4;       ///< Endpoints that may run it.
  std::int64_t m_forwards = 1;           ///< Dispatchers tried or passed over, this one included.
  std::int64_t m_revision = 0;           ///< Configuration by which the entry host chose the service.
  std::string m_part_zone;  ///< Zone of the service's part that shall serve it; empty for the whole service.
  bool m_may_move = false;  ///< Whether another part may serve it when this one is full.
  std::int64_t m_split_version = 0;  ///< Of the view of the service's split by which the part was chosen.
  std::uint64_t m_split_digest = 0;  ///< Of the same view.
  /// Requests that might have gone to this service and ended at the entry host since its last forward there.
  std::int64_t m_served_since = 0;
  std::int64_t m_unserved_since = 0;
};
BOOST_DESCRIBE_STRUCT(DispatchRequest, (),
                      (m_request_id, m_entry_node, m_service, m_route, m_class_name, m_account, m_repeatable,
                       m_claim_key, m_fingerprint, m_deadline, m_caller_id, m_target_latency_ms,
                       m_max_attempts, m_forwards, m_revision, m_part_zone, m_may_move, m_split_version,
                       m_split_digest, m_served_since, m_unserved_since))

/// Dispatchers that may give a request back for paths in trouble; the next one keeps it, as the endpoints
/// themselves are then likely to be down.
inline constexpr std::int64_t kMaxHandBacks = 2;

/// Part of its service that shall serve a request.
inline ServicePart PartOf(const DispatchRequest& request) { return {request.m_service, request.m_part_zone}; }

/// Orders an attempt of a request on an endpoint.
struct StartAttempt {
  static constexpr const char* kType = "start_attempt";
  std::string m_request_id;
  std::int64_t m_attempt = 0;  ///< Counts from 1.
  std::string m_endpoint;
  std::string m_address;
  std::int64_t m_port = 0;
  std::int64_t m_max_connections = 0;
  Duration m_progress_timeout{};
  Instant m_deadline{};
  bool m_fresh_connection = false;  ///< Whether the attempt needs a connection that was not long idle.
  Duration m_most_idle{};           ///< Idle time above which no kept connection is used.
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
  std::int64_t m_recorded_status =
      0;                     ///< HTTP status that earlier work with the key ended with; 0 if not known.
  bool m_maybe_ran = false;  ///< Whether an attempt may have run.
  DecisionRecord m_record;
  SplitView m_split = {};    ///< For OTHER_PART: how the service is split.
  bool m_part_full = false;  ///< For OTHER_PART: whether the part that was asked has no room.
};
BOOST_DESCRIBE_STRUCT(FinishRequest, (),
                      (m_request_id, m_code, m_retry_after_ms, m_recorded_status, m_maybe_ran, m_record,
                       m_split, m_part_full))

/// Lets the answer of the current attempt go to the caller.
struct DeliverAnswer {
  static constexpr const char* kType = "deliver_answer";
  std::string m_request_id;
  std::int64_t m_attempt = 0;
};
BOOST_DESCRIBE_STRUCT(DeliverAnswer, (), (m_request_id, m_attempt))

/// Gives up a running attempt.
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

/// How an attempt ended, as the shell saw it.
struct AttemptResult {
  std::string m_request_id;
  std::string m_part;  ///< Name of the part of the service.
  std::int64_t m_attempt = 0;
  AttemptOutcome m_outcome = AttemptOutcome::kAnswered;
  std::int64_t m_status = 0;      ///< HTTP status of the answer; 0 when there is none.
  Duration m_latency{};           ///< From the send to the end of the answer.
  bool m_body_replayable = true;  ///< Whether the request body can be sent again.
  bool m_answer_started = false;  ///< Whether part of the answer has gone to the caller.
  bool m_draining = false;        ///< Whether the endpoint said that it is leaving.
  Duration m_idle{};              ///< Time for which the connection was idle before; 0 for a new one.
};
BOOST_DESCRIBE_STRUCT(AttemptResult, (),
                      (m_request_id, m_part, m_attempt, m_outcome, m_status, m_latency, m_body_replayable,
                       m_answer_started, m_draining, m_idle))

}  // namespace fescueramp
