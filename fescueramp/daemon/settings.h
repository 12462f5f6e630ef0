#pragma once

#include <boost/describe.hpp>
#include <string>
#include <vector>

#include "fescueramp/config/object_set.h"
#include "fescueramp/node/node_reducer.h"
#include "fescueramp/store/store_client.h"

namespace fescueramp {

/// Permissions of an operator's token.
enum class OperatorRole { kRead, kPublish };

template <>
struct EnumTable<OperatorRole> {
  static constexpr std::array<std::string_view, 2> kNames = {"read", "publish"};
};

/// Token of an operator or program that uses the administration API.
struct OperatorToken {
  std::string m_name;
  std::string m_token_sha256;  ///< SHA-256 hash of the token, in hexadecimal.
  OperatorRole m_role = OperatorRole::kRead;
};
BOOST_DESCRIBE_STRUCT(OperatorToken, (), (m_name, m_token_sha256, m_role))

/// Limits for services whose configuration source has none.
struct ServiceDefaults {
  double m_floor = 0.5;                    ///< Share of slots that ejections must leave in service.
  double m_retry_ratio = 0.1;              ///< Retries per request allowed within the retry window.
  std::int64_t m_retry_burst = 50;         ///< Retries allowed per window in addition to the ratio.
  std::int64_t m_retry_window_ms = 10000;  ///< Window over which retries are counted, ms.
  double m_hedge_quantile = 0;  ///< Quantile of service times after which a request is hedged; 0 for never.
  double m_hedge_ratio = 0;     ///< Share of requests that may be hedged; 0 for no limit but that of retries.
  std::int64_t m_part_endpoints = 0;  ///< Endpoints from which a zone gets its own dispatcher; 0 for never.
  std::int64_t m_quota_window_ms = 5000;  ///< Window in which the quotas of accounts are checked, ms.
  double m_quota_overshoot = 0.1;         ///< Share by which a window may exceed the quota of an account.
  std::int64_t m_quota_slack = 20;        ///< Requests by which a window may exceed it in addition.
};
BOOST_DESCRIBE_STRUCT(ServiceDefaults, (),
                      (m_floor, m_retry_ratio, m_retry_burst, m_retry_window_ms, m_hedge_quantile,
                       m_hedge_ratio, m_part_endpoints, m_quota_window_ms, m_quota_overshoot, m_quota_slack))

/// Settings of one node.
struct Settings {
  std::string m_node;                         ///< Node name, unique in the fleet.
  std::string m_region = "default";           ///< Region of the host.
  std::string m_zone;                         ///< Availability zone of the host.
  std::string m_address = "127.0.0.1";        ///< IP address at which other nodes reach this host.
  std::string m_adapter;                      ///< Name of the deployment's adapter; empty for none.
  std::string m_caller_address;               ///< "IP:PORT" for callers; replaces address and caller_port.
  std::string m_ready_address;                ///< "IP:PORT" of the readiness check for load balancers.
  std::vector<std::string> m_seed_hosts;      ///< "IP:PORT" of other nodes, which use the same gossip port.
  std::int64_t m_caller_port = 0;             ///< TCP port for callers.
  std::int64_t m_link_port = 0;               ///< TCP port for other nodes.
  std::int64_t m_gossip_port = 0;             ///< UDP port for other nodes.
  std::int64_t m_admin_port = 0;              ///< TCP port for operators, load balancers and metrics.
  std::int64_t m_advertised_link_port = 0;    ///< Link port that other nodes connect to; 0 for link_port.
  std::int64_t m_advertised_gossip_port = 0;  ///< Gossip port that other nodes send to; 0 for gossip_port.
  PlatformSettings m_platform;                ///< Access to the platform's store.
  std::vector<SeedAddress> m_seeds;           ///< Gossip addresses of nodes to join through.
  std::vector<std::string> m_link_keys;     ///< Keys of links and gossip; the first signs, all are accepted.
  std::vector<std::string> m_receipt_keys;  ///< Keys of receipts; the first signs, all are accepted.
  std::vector<OperatorToken> m_operators;   ///< Tokens accepted by the administration API.
  PolicyKind m_policy = PolicyKind::kFair;  ///< Dispatch policy.
  std::int64_t m_claim_groups = 64;  ///< Groups of services with a claim log each; the same on all nodes.
  std::int64_t m_claim_window_s = 86400;  ///< Time for which idempotency keys are kept, seconds.
  std::int64_t m_claim_batch_ms = 20;     ///< Shortest time between writes of one claim log, ms.
  std::int64_t m_journal_records = 8192;  ///< Decision records kept in memory.
  std::int64_t m_shutdown_grace_s = 60;   ///< Longest wait for requests in flight at shutdown, seconds.
  std::int64_t m_leave_notice_ms = 300;   ///< Time from notice of leaving until callers' port closes, ms.
  bool m_claims = true;                   ///< Whether idempotency keys are claimed in the store.
  bool m_receipts = true;                 ///< Whether responses carry receipts of decisions.
  bool m_discovery = false;               ///< Whether endpoints announce themselves.
  ServiceDefaults m_service_defaults;     ///< Limits of services; used with an adapter only.
  double m_cpu_share = 1;     ///< Processor share of the node, cores; the same unit on every host.
  double m_link_mbps = 1000;  ///< Bandwidth of the host's link, Mbit/s.
  std::int64_t m_max_chunk_line_bytes = 16384;     ///< Longest line before a chunk of a body, bytes.
  std::int64_t m_max_trailer_bytes = 16384;        ///< Longest trailer section of a message, bytes.
  std::int64_t m_max_framing_bytes = 262144;       ///< Framing of a body beside that of its data, bytes.
  std::int64_t m_max_admin_body_bytes = 67108864;  ///< Longest object set sent to the admin port, bytes.
  std::int64_t m_memory_mb = 0;                    ///< Memory of the host, MiB; 0 for no limit.
  std::string m_trace_file;                        ///< File for the event trace; empty for none.
};
BOOST_DESCRIBE_STRUCT(Settings, (),
                      (m_node, m_region, m_zone, m_address, m_adapter, m_caller_address, m_ready_address,
                       m_seed_hosts, m_caller_port, m_link_port, m_gossip_port, m_admin_port,
                       m_advertised_link_port, m_advertised_gossip_port, m_platform, m_seeds, m_link_keys,
                       m_receipt_keys, m_operators, m_policy, m_claim_groups, m_claim_window_s,
                       m_claim_batch_ms, m_journal_records, m_shutdown_grace_s, m_leave_notice_ms, m_claims,
                       m_receipts, m_discovery, m_service_defaults, m_cpu_share, m_link_mbps, m_memory_mb,
                       m_max_chunk_line_bytes, m_max_trailer_bytes, m_max_framing_bytes,
                       m_max_admin_body_bytes, m_trace_file))

/// Parses and checks settings, JSON with comments. Appends every mistake to `mistakes`.
/// @throws Error with kInvalidSettings when the text is not a JSON object.
Settings ParseSettings(std::string_view text, std::vector<Mistake>& mistakes);

/// Reads and checks a settings file. @throws Error with kInvalidSettings and the list of all mistakes.
Settings LoadSettings(const std::string& path);

/// Settings of the reducer. The incarnation is `now` in ms since the epoch.
NodeSettings ToNodeSettings(const Settings& settings, Instant now);

}  // namespace fescueramp
