#pragma once

#include <string>
#include <variant>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/membership/member.h"
#include "fescueramp/store/store_types.h"

/// Events: the inputs of NodeReducer.
namespace fescueramp {

/// A periodic timer has fired.
struct Tick {
  static constexpr const char* kType = "tick";
};
BOOST_DESCRIBE_STRUCT(Tick, (), ())

/// A caller's request has been read up to its body.
struct RequestReceived {
  static constexpr const char* kType = "request_received";
  std::string m_request_id;
  std::string m_method;
  std::string m_path;
  std::string m_key_sha256;        ///< Hash of the API key; empty when there is none.
  std::string m_idempotency_key;   ///< Empty when there is none.
  std::int64_t m_body_bytes = 0;   ///< Declared length; 0 when it is not known.
  std::string m_host = {};         ///< Host named in the request; empty when there is none.
  std::string m_caller_id = {};    ///< Request id set by the caller; empty when there is none.
  std::int64_t m_patience_ms = 0;  ///< Time that the caller waits, ms; 0 when it set none.
};
BOOST_DESCRIBE_STRUCT(RequestReceived, (),
                      (m_request_id, m_method, m_path, m_key_sha256, m_idempotency_key, m_body_bytes, m_host,
                       m_caller_id, m_patience_ms))

/// How a forward to a dispatcher ended.
enum class ForwardOutcome {
  kResponded,      ///< The response was sent to the caller, complete or cut off; nothing is left to do.
  kConnectFailed,  ///< No connection to the dispatcher; nothing was sent.
  kLinkLost,       ///< The stream ended before the response.
  kHandedBack,     ///< The dispatcher returned the request without running it.
  kRedirected,     ///< Another part of the service is to serve the request; it did not run.
  kTimedOut,       ///< The deadline passed.
  kCallerLeft,     ///< The caller closed its connection.
};

template <>
struct EnumTable<ForwardOutcome> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "answered", "connect_failed", "link_lost", "handed_back", "redirected", "timed_out", "caller_left"};
};

/// A forward to a dispatcher has ended.
struct ForwardEnded {
  static constexpr const char* kType = "forward_ended";
  std::string m_request_id;
  std::string m_node;
  ForwardOutcome m_outcome = ForwardOutcome::kResponded;
  bool m_body_replayable = true;
  bool m_permitted = true;      ///< Whether the dispatcher had a permit to start the work.
  std::int64_t m_attempts = 0;  ///< Attempts that the dispatcher reported.
  SplitView m_split = {};       ///< When redirected: how the service is split.
  bool m_part_full = false;     ///< When redirected: whether the part is full.
  bool m_served = false;        ///< With kResponded: whether the caller received a successful response.
  bool m_silent = false;  ///< Whether the dispatcher was unresponsive; one more attempt may have started.
  /// When handed back or redirected: whether an attempt may have run at a node that it was relayed to.
  bool m_maybe_ran = false;
  /// With kResponded: retry delay in a response that the account is over its quota, ms; 0 in other cases.
  std::int64_t m_rate_limited_ms = 0;
};
BOOST_DESCRIBE_STRUCT(ForwardEnded, (),
                      (m_request_id, m_node, m_outcome, m_body_replayable, m_permitted, m_attempts, m_split,
                       m_part_full, m_served, m_silent, m_maybe_ran, m_rate_limited_ms))

/// Another node has forwarded or relayed a request to this node.
struct DispatchArrived {
  static constexpr const char* kType = "dispatch_arrived";
  DispatchRequest m_request;
  std::int64_t m_hops = 0;  ///< Nodes that have relayed it, the entry host not counted.
};
BOOST_DESCRIBE_STRUCT(DispatchArrived, (), (m_request, m_hops))

/// The node that sent a request to this node has cancelled it.
struct DispatchCancelled {
  static constexpr const char* kType = "dispatch_cancelled";
  std::string m_request_id;
};
BOOST_DESCRIBE_STRUCT(DispatchCancelled, (), (m_request_id))

/// The dispatcher that a request was relayed to could not be reached, or was lost before it responded.
struct RelayFailed {
  static constexpr const char* kType = "relay_failed";
  std::string m_request_id;
  std::string m_node;
  std::int64_t m_attempts = 0;  ///< Attempts that the dispatcher announced.
  bool m_maybe_ran = false;     ///< Whether an attempt may have run.
};
BOOST_DESCRIBE_STRUCT(RelayFailed, (), (m_request_id, m_node, m_attempts, m_maybe_ran))

/// An attempt on an endpoint has ended.
struct AttemptEnded {
  static constexpr const char* kType = "attempt_ended";
  AttemptResult m_result;
};
BOOST_DESCRIBE_STRUCT(AttemptEnded, (), (m_result))

/// A gossip datagram with a valid authentication code has arrived.
struct GossipReceived {
  static constexpr const char* kType = "gossip_received";
  std::string m_address;
  std::int64_t m_port = 0;
  GossipMessage m_message;
};
BOOST_DESCRIBE_STRUCT(GossipReceived, (), (m_address, m_port, m_message))

/// A configuration revision has been read completely, from the store or from another node.
struct ConfigurationLoaded {
  static constexpr const char* kType = "configuration_loaded";
  std::int64_t m_revision = 0;
  std::vector<std::string> m_parts;  ///< JSON texts that together make up the object set.
};
BOOST_DESCRIBE_STRUCT(ConfigurationLoaded, (), (m_revision, m_parts))

/// Reading a configuration revision has failed.
struct ConfigurationFailed {
  static constexpr const char* kType = "configuration_failed";
};
BOOST_DESCRIBE_STRUCT(ConfigurationFailed, (), ())

/// The platform's list of hosts has been read.
struct HostsListed {
  static constexpr const char* kType = "hosts_listed";
  std::int64_t m_version = 0;
  std::vector<std::string> m_leaving;  ///< Names of endpoints that are leaving.
};
BOOST_DESCRIBE_STRUCT(HostsListed, (), (m_version, m_leaving))

/// The list of endpoints that announce themselves has been read or has changed.
struct EndpointsListed {
  static constexpr const char* kType = "endpoints_listed";
  std::int64_t m_version = 0;  ///< Store version of the list; equal on all nodes for equal lists.
  std::vector<LiveEndpoint> m_endpoints;
};
BOOST_DESCRIBE_STRUCT(EndpointsListed, (), (m_version, m_endpoints))

/// Reading the list of endpoints has failed; it will be tried again.
struct EndpointListFailed {
  static constexpr const char* kType = "endpoint_list_failed";
};
BOOST_DESCRIBE_STRUCT(EndpointListFailed, (), ())

/// Other nodes have been found in the store.
struct NodesFound {
  static constexpr const char* kType = "nodes_found";
  std::vector<Member> m_members;
};
BOOST_DESCRIBE_STRUCT(NodesFound, (), (m_members))

/// The operator or the platform has requested a shutdown of the node.
struct ShutdownRequested {
  static constexpr const char* kType = "shutdown_requested";
};
BOOST_DESCRIBE_STRUCT(ShutdownRequested, (), ())

/// The port for callers was closed during a shutdown; requests on open connections may still arrive.
struct CallerPortClosed {
  static constexpr const char* kType = "caller_port_closed";
};
BOOST_DESCRIBE_STRUCT(CallerPortClosed, (), ())

using Event = std::variant<Tick, RequestReceived, ForwardEnded, DispatchArrived, DispatchCancelled,
                           RelayFailed, AttemptEnded, GossipReceived, StoreResponded, ConfigurationLoaded,
                           ConfigurationFailed, HostsListed, EndpointsListed, EndpointListFailed, NodesFound,
                           ShutdownRequested, CallerPortClosed>;

}  // namespace fescueramp
