#pragma once

#include <string>
#include <variant>
#include <vector>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/membership/member.h"
#include "fescueramp/node/endpoint_list.h"
#include "fescueramp/quota/quota_report.h"
#include "fescueramp/store/store_types.h"

/// Effects: the actions that NodeReducer returns for the daemon to carry out.
namespace fescueramp {

/// Forwards a caller's request to a dispatcher.
struct ForwardRequest {
  static constexpr const char* kType = "forward_request";
  std::string m_request_id;  ///< Id at the entry host; `m_request` has a separate id for each forward.
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
  std::string m_group;  ///< Caller group, for metrics.
  std::int64_t m_max_body_bytes = 0;
  bool m_withhold_permit = false;  ///< Whether the dispatcher must obtain a permit before the first attempt.
  DispatchRequest m_request;
};
BOOST_DESCRIBE_STRUCT(ForwardRequest, (),
                      (m_request_id, m_node, m_address, m_port, m_group, m_max_body_bytes, m_withhold_permit,
                       m_request))

/// Refuses a caller's request with a result code.
struct RefuseRequest {
  static constexpr const char* kType = "refuse_request";
  std::string m_request_id;
  std::int64_t m_code = 0;  ///< Number of a ResultCode.
  std::int64_t m_retry_after_ms = 0;
  bool m_maybe_ran = false;  ///< Whether the work may have run.
};
BOOST_DESCRIBE_STRUCT(RefuseRequest, (), (m_request_id, m_code, m_retry_after_ms, m_maybe_ran))

/// Relays a request to the node that owns its service.
struct RelayRequest {
  static constexpr const char* kType = "relay_request";
  std::string m_request_id;
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
};
BOOST_DESCRIBE_STRUCT(RelayRequest, (), (m_request_id, m_node, m_address, m_port))

/// Fetches a configuration revision from another node.
struct FetchConfiguration {
  static constexpr const char* kType = "fetch_configuration";
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
  bool m_near = false;          ///< Whether the node is in the same availability zone.
  std::int64_t m_revision = 0;  ///< Revision that the node announced.
};
BOOST_DESCRIBE_STRUCT(FetchConfiguration, (), (m_node, m_address, m_port, m_near, m_revision))

/// Reports that a revision is in force, or why it was refused.
struct ReportConfiguration {
  static constexpr const char* kType = "report_configuration";
  std::int64_t m_revision = 0;
  std::string m_problem;  ///< Empty when the revision is in force.
};
BOOST_DESCRIBE_STRUCT(ReportConfiguration, (), (m_revision, m_problem))

/// What a node watches in the store itself; it receives the rest from other nodes.
struct WatchScope {
  bool m_configuration = false;
  bool m_endpoints = false;  ///< Lists of live endpoints, or of leaving ones.

  bool operator==(const WatchScope&) const = default;
};
BOOST_DESCRIBE_STRUCT(WatchScope, (), (m_configuration, m_endpoints))

/// Replaces the scope that the node watches in the store.
struct SetWatchScope {
  static constexpr const char* kType = "set_watching";
  WatchScope m_scope;
};
BOOST_DESCRIBE_STRUCT(SetWatchScope, (), (m_scope))

/// Reports that the node may use its list of endpoints differently from now on.
struct ReportEndpointList {
  static constexpr const char* kType = "report_endpoint_list";
  EndpointListState m_state = EndpointListState::kNone;
  std::int64_t m_version = 0;  ///< Store version of the list; 0 without one.
};
BOOST_DESCRIBE_STRUCT(ReportEndpointList, (), (m_state, m_version))

/// Reports that no requests or claims are pending any more, so that the node can exit.
struct ShutdownComplete {
  static constexpr const char* kType = "shutdown_complete";
};
BOOST_DESCRIBE_STRUCT(ShutdownComplete, (), ())

using Effect =
    std::variant<ForwardRequest, RefuseRequest, RelayRequest, StartAttempt, FinishRequest, DeliverResponse,
                 CancelAttempt, ReportHealth, ReportConstraint, ReportQuarantine, SendGossip, ReportMember,
                 StoreGet, StorePut, StoreDelete, FetchConfiguration, ReportConfiguration, SetWatchScope,
                 ShutdownComplete, ReportQuota, ReportEndpointList>;
using Effects = std::vector<Effect>;

}  // namespace fescueramp
