#pragma once

#include <string>
#include <variant>
#include <vector>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/membership/member.h"
#include "fescueramp/store/store_types.h"

/// Everything that a node's decisions ask the shell to do.
namespace fescueramp {

/// Passes a caller's request to a dispatcher.
struct ForwardRequest {
  static constexpr const char* kType = "forward_request";
  std::string m_request_id;  ///< Id at the entry host; `m_request` has one of its own for each forward.
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
  std::string m_group;  ///< Caller group, for metrics.
  std::int64_t m_max_body_bytes = 0;
  bool m_withhold_permit = false;  ///< Whether the dispatcher must ask before it starts the work.
  DispatchRequest m_request;
};
BOOST_DESCRIBE_STRUCT(ForwardRequest, (),
                      (m_request_id, m_node, m_address, m_port, m_group, m_max_body_bytes, m_withhold_permit,
                       m_request))

/// Answers a caller with a result code.
struct RefuseRequest {
  static constexpr const char* kType = "refuse_request";
  std::string m_request_id;
  std::int64_t m_code = 0;  ///< Number of a ResultCode.
  std::int64_t m_retry_after_ms = 0;
  bool m_maybe_ran = false;  ///< Whether the work may have run.
};
BOOST_DESCRIBE_STRUCT(RefuseRequest, (), (m_request_id, m_code, m_retry_after_ms, m_maybe_ran))

/// Passes a request on to the node that owns its service.
struct RelayRequest {
  static constexpr const char* kType = "relay_request";
  std::string m_request_id;
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
};
BOOST_DESCRIBE_STRUCT(RelayRequest, (), (m_request_id, m_node, m_address, m_port))

/// Reads a revision from another node.
struct FetchConfiguration {
  static constexpr const char* kType = "fetch_configuration";
  std::string m_node;
  std::string m_address;
  std::int64_t m_port = 0;
  bool m_near = false;  ///< Whether the node is in the same availability zone.
};
BOOST_DESCRIBE_STRUCT(FetchConfiguration, (), (m_node, m_address, m_port, m_near))

/// Reports that a revision is in force, or why it was refused.
struct ReportConfiguration {
  static constexpr const char* kType = "report_configuration";
  std::int64_t m_revision = 0;
  std::string m_problem;  ///< Empty when the revision is in force.
};
BOOST_DESCRIBE_STRUCT(ReportConfiguration, (), (m_revision, m_problem))

/// What a node watches by itself; the rest it hears from others.
struct WatchScope {
  bool m_configuration = false;
  bool m_endpoints = false;  ///< Lists of live endpoints, or of leaving ones.

  bool operator==(const WatchScope&) const = default;
};
BOOST_DESCRIBE_STRUCT(WatchScope, (), (m_configuration, m_endpoints))

/// Starts or ends watching the store.
struct SetWatchScope {
  static constexpr const char* kType = "set_watching";
  WatchScope m_scope;
};
BOOST_DESCRIBE_STRUCT(SetWatchScope, (), (m_scope))

/// Reports that a shutdown has nothing left to wait for.
struct ShutdownComplete {
  static constexpr const char* kType = "shutdown_complete";
};
BOOST_DESCRIBE_STRUCT(ShutdownComplete, (), ())

using Effect =
    std::variant<ForwardRequest, RefuseRequest, RelayRequest, StartAttempt, FinishRequest, DeliverAnswer,
                 CancelAttempt, ReportHealth, SendGossip, ReportMember, StoreGet, StorePut, StoreDelete,
                 FetchConfiguration, ReportConfiguration, SetWatchScope, ShutdownComplete>;
using Effects = std::vector<Effect>;

}  // namespace fescueramp
