#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"

/// Named objects that operators publish. They refer to one another by name.
namespace fescueramp {

/// State of an endpoint that the operator sets.
enum class AdminState { kInService, kDraining, kEjected };

template <>
struct EnumTable<AdminState> {
  static constexpr std::array<std::string_view, 3> kNames = {"in_service", "draining", "ejected"};
};

/// What happens to non-repeatable work while the platform's store is unavailable.
enum class StoreUnavailablePolicy { kRefuse };

template <>
struct EnumTable<StoreUnavailablePolicy> {
  static constexpr std::array<std::string_view, 1> kNames = {"refuse"};
};

/// Whether the requests of a route need the API key of an account.
enum class AccountCheck {
  kOptional,  ///< A request without a key is accepted, one with an unknown key is refused.
  kRequired,  ///< A request without the key of an account is refused.
  kIgnored,   ///< The route is public: keys are not looked at, and requests belong to no account.
};

template <>
struct EnumTable<AccountCheck> {
  static constexpr std::array<std::string_view, 3> kNames = {"optional", "required", "ignored"};
};

/// One server that runs work.
struct Endpoint {
  std::string m_address;                              ///< IP address.
  std::int64_t m_port = 0;                            ///< TCP port.
  std::string m_zone;                                 ///< Availability zone.
  AdminState m_admin_state = AdminState::kInService;  ///< State that the operator sets.
};

/// Equivalent endpoints, any of which can run the same work.
struct Pool {
  std::vector<std::string> m_endpoints;  ///< Names of endpoints; none when they are discovered.
  std::int64_t m_slots = 2;              ///< Requests that one endpoint runs at once.
  std::int64_t m_max_connections = 330;  ///< Connections that one endpoint accepts.
  bool m_discovered = false;             ///< Whether the endpoints announce themselves.
};

/// Work that one pool does for callers.
struct Service {
  std::string m_pool;                      ///< Name of a pool.
  double m_floor = 0.5;                    ///< Least share of slots in service that ejections must leave.
  double m_retry_ratio = 0.1;              ///< Retries allowed per request within the retry window.
  std::int64_t m_retry_burst = 50;         ///< Retries allowed in one window in addition to the ratio.
  std::int64_t m_retry_window_ms = 10000;  ///< Length of the window over which retries are counted, ms.
  double m_hedge_quantile = 0;  ///< Quantile of service times after which work is hedged, that is, sent to a
                                ///< second endpoint; 0 for never.
  double m_hedge_ratio = 0;  ///< Share of the requests that may be hedged within the retry window, and only
                             ///< while capacity is spare; 0 for no limit but that of retries.
  std::int64_t m_part_endpoints = 0;  ///< Least endpoints for which a zone becomes a part; 0 for never.
  bool m_by_belief = false;  ///< Whether endpoints are chosen by gray-failure probability, not evenly.
  std::int64_t m_quarantine_breaks = 2;  ///< Endpoints that a request may break off before its quarantine.
  std::int64_t m_progress_timeout_ms = 2000;  ///< Least time without a byte that ends an attempt, ms.
  std::int64_t m_max_queued = 10000;          ///< Requests queued at once.
  /// Non-repeatable work while the store is unavailable.
  StoreUnavailablePolicy m_store_away = StoreUnavailablePolicy::kRefuse;
};

/// Class of requests, with its rank, its share of slots and its longest wait.
struct Priority {
  std::int64_t m_rank = 0;              ///< Lower ranks are served first.
  double m_max_share = 1.0;             ///< Share of slots that the class may hold.
  std::int64_t m_max_wait_ms = 300;     ///< Expected wait above which requests are refused, ms.
  std::int64_t m_starvation_ms = 5000;  ///< Wait after which the class gets one of every 20 free slots, ms.
};

/// Limits on the requests of one client account.
struct Limit {
  double m_rate = 0;                  ///< Requests a second per entry host; 0 for no limit.
  std::int64_t m_burst = 100;         ///< Requests above the rate at once.
  std::int64_t m_max_concurrent = 0;  ///< Requests open at once per entry host; 0 for no limit.
  double m_fleet_rate = 0;            ///< Requests a second over all nodes; 0 for no limit.
  std::int64_t m_fleet_burst = 0;     ///< Requests above that rate at once, over all nodes.
  std::int64_t m_window_ms = 5000;    ///< Window in which the fleet's limit is checked, ms.
  double m_overshoot = 0.1;           ///< Share by which a window may exceed the fleet's limit.
  std::int64_t m_slack = 20;          ///< Requests by which a window may exceed it in addition.
};

/// Client account.
struct Account {
  /// SHA-256 of the API key, hexadecimal; empty for callers without one, or if there are several keys.
  std::string m_key_sha256;
  std::vector<std::string> m_key_sha256s;  ///< SHA-256 of further API keys, hexadecimal.
  std::string m_priority;           ///< Name of a priority that replaces that of the route; empty for none.
  std::string m_group = "default";  ///< Group under which the account appears in metrics.
  double m_weight = 1.0;            ///< Share of slots relative to the other accounts of a class.
  std::string m_limit;              ///< Name of a limit; empty for none.
};

/// Weighted services that share the requests of a route.
struct Split {
  std::vector<std::string> m_services;  ///< Names of services.
  std::vector<std::int64_t> m_weights;  ///< Share of each service, in the same order.
};

/// Limits on the connections of callers.
struct Listener {
  std::int64_t m_max_header_bytes = 16384;   ///< Largest request header, bytes.
  std::int64_t m_header_timeout_ms = 20000;  ///< Longest time from the first byte of a header to its end, ms.
  std::int64_t m_idle_timeout_ms = 20000;    ///< Longest time that an open connection may stay unused, ms.
};

/// Rule that sends requests to a service.
struct Route {
  std::string m_host;                                ///< Host named in the request; empty for any.
  std::string m_method;                              ///< HTTP method; empty for any.
  std::string m_path_prefix = "/";                   ///< Longest matching prefix wins.
  std::string m_service;                             ///< Name of a service; empty when there is a split.
  std::string m_split;                               ///< Name of a split; empty when there is a service.
  std::string m_priority;                            ///< Name of a priority.
  AccountCheck m_account = AccountCheck::kOptional;  ///< Whether requests need the key of an account.
  bool m_repeatable = true;                          ///< Whether running the work twice does no harm.
  std::int64_t m_deadline_ms = 10000;                ///< Time from arrival to the end of the response, ms.
  std::int64_t m_target_latency_ms = 0;  ///< Time within which a response has its full value, ms; 0 for none.
  std::int64_t m_max_attempts = 4;       ///< Endpoints that may run one request.
  std::int64_t m_max_body_bytes = 67108864;  ///< Largest request body, bytes.
};

/// All objects of one revision, by kind and name.
struct ObjectSet {
  std::map<std::string, Endpoint> m_endpoints;
  std::map<std::string, Pool> m_pools;
  std::map<std::string, Service> m_services;
  std::map<std::string, Priority> m_priorities;
  std::map<std::string, Limit> m_limits;
  std::map<std::string, Account> m_accounts;
  std::map<std::string, Split> m_splits;
  std::map<std::string, Listener> m_listeners;
  std::map<std::string, Route> m_routes;
};

}  // namespace fescueramp
