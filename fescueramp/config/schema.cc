#include "fescueramp/config/schema.h"

#include <sstream>

namespace fescueramp {
namespace {

constexpr double kMaxCount = 1e9;  ///< Limit on fields that have no other one.

template <typename T>
std::string DefaultText(const FieldSpec<T>& field) {
  const T defaults;
  std::ostringstream text;
  std::visit(
      [&](auto member) {
        using Value = std::decay_t<decltype(defaults.*member)>;
        const Value& value = defaults.*member;
        if constexpr (std::is_same_v<Value, std::vector<std::string>> ||
                      std::is_same_v<Value, std::vector<std::int64_t>>) {
          text << "[]";
        } else if constexpr (std::is_same_v<Value, std::string>) {
          text << '"' << value << '"';
        } else if constexpr (std::is_enum_v<Value>) {
          text << '"' << EnumName(value) << '"';
        } else if constexpr (std::is_same_v<Value, bool>) {
          text << (value ? "true" : "false");
        } else {
          text << value;
        }
      },
      field.m_member);
  return text.str();
}

template <typename T>
void WriteKind(std::ostringstream& out, std::string_view kind) {
  out << "\n## " << kind << "\n\n| field | unit | default | limits | meaning |\n|---|---|---|---|---|\n";
  for (const auto& field : Schema<T>()) {
    out << "| `" << field.m_name << "` | " << field.m_unit << " | "
        << (field.m_required ? "required" : DefaultText(field)) << " | ";
    if (field.m_max > field.m_min) out << field.m_min << " to " << field.m_max;
    if (!field.m_refers_to.empty()) out << "a name in `" << field.m_refers_to << "`";
    out << " | " << field.m_doc << " |\n";
  }
}

}  // namespace

template <>
const std::vector<FieldSpec<Endpoint>>& Schema<Endpoint>() {
  static const std::vector<FieldSpec<Endpoint>> kFields = {
      {"address", &Endpoint::m_address, "IP number", 0, 0, true, "", "Where the endpoint listens."},
      {"port", &Endpoint::m_port, "TCP port", 1, 65535, true, "", "Port on which it listens."},
      {"zone", &Endpoint::m_zone, "name", 0, 0, true, "", "Availability zone it is in."},
      {"admin_state", &Endpoint::m_admin_state, "in_service, draining or ejected", 0, 0, false, "",
       "What the operator wants: draining and ejected endpoints get no new work."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Pool>>& Schema<Pool>() {
  static const std::vector<FieldSpec<Pool>> kFields = {
      {"endpoints", &Pool::m_endpoints, "names", 0, 0, false, "endpoints",
       "Endpoints of the pool; none when they are discovered."},
      {"slots", &Pool::m_slots, "requests", 1, 1024, false, "", "Requests that one endpoint runs at once."},
      {"max_connections", &Pool::m_max_connections, "connections", 1, 100000, false, "",
       "Connections that one endpoint accepts."},
      {"discovered", &Pool::m_discovered, "true or false", 0, 0, false, "",
       "Whether the endpoints announce themselves in the list of live endpoints."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Service>>& Schema<Service>() {
  static const std::vector<FieldSpec<Service>> kFields = {
      {"pool", &Service::m_pool, "name", 0, 0, true, "pools", "Pool that does the work."},
      {"floor", &Service::m_floor, "share of slots", 0.1, 1, false, "",
       "Ejections never leave less than this share of the slots in service."},
      {"retry_ratio", &Service::m_retry_ratio, "retries per request", 0, 1, false, "",
       "Retries allowed per request within the retry window."},
      {"retry_burst", &Service::m_retry_burst, "retries", 0, 1000000, false, "",
       "Retries allowed in one window beside the ratio."},
      {"retry_window_ms", &Service::m_retry_window_ms, "ms", 100, 600000, false, "",
       "Window over which retries are counted."},
      {"hedge_quantile", &Service::m_hedge_quantile, "quantile", 0, 0.999, false, "",
       "Repeatable work that takes longer than this quantile is sent to a second endpoint; 0 for never."},
      {"part_endpoints", &Service::m_part_endpoints, "endpoints", 0, 1000000, false, "",
       "Endpoints in an availability zone from which they get a dispatcher of their own there; 0 for one "
       "dispatcher for the whole service."},
      {"by_belief", &Service::m_by_belief, "true or false", 0, 0, false, "",
       "Whether work goes to the endpoint that is least likely to fail it, also ahead of an ejection; "
       "otherwise "
       "evenly to all that are not ejected."},
      {"quarantine_breaks", &Service::m_quarantine_breaks, "endpoints", 2, 100, false, "",
       "Endpoints that a request may break off before requests like it are refused."},
      {"progress_timeout_ms", &Service::m_progress_timeout_ms, "ms", 50, 600000, false, "",
       "Silence on a connection after which the attempt is given up."},
      {"max_queued", &Service::m_max_queued, "requests", 1, 1000000, false, "", "Requests queued at once."},
      {"store_away", &Service::m_store_away, "refuse", 0, 0, false, "",
       "What happens to non-repeatable work while the store is away."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Priority>>& Schema<Priority>() {
  static const std::vector<FieldSpec<Priority>> kFields = {
      {"rank", &Priority::m_rank, "order", 0, 100, true, "", "Lower ranks are served first."},
      {"max_share", &Priority::m_max_share, "share of slots", 0.01, 1, false, "",
       "Share of a service's slots, and of each endpoint's, that the class may hold."},
      {"max_wait_ms", &Priority::m_max_wait_ms, "ms", 1, 3600000, false, "",
       "Expected wait above which a request is refused at once."},
      {"starvation_ms", &Priority::m_starvation_ms, "ms", 10, 3600000, false, "",
       "Wait after which the class gets one of every 20 free slots."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Limit>>& Schema<Limit>() {
  static const std::vector<FieldSpec<Limit>> kFields = {
      {"rate", &Limit::m_rate, "requests/s", 0, 1e6, false, "",
       "Requests a second per entry host; 0 for no bound."},
      {"burst", &Limit::m_burst, "requests", 1, 1e6, false, "", "Requests above the rate at once."},
      {"max_concurrent", &Limit::m_max_concurrent, "requests", 0, 1e6, false, "",
       "Requests open at once per entry host; 0 for no bound."},
      {"fleet_rate", &Limit::m_fleet_rate, "requests/s", 0, 1e6, false, "",
       "Requests a second over all nodes together; 0 for no bound."},
      {"fleet_burst", &Limit::m_fleet_burst, "requests", 0, 1e6, false, "",
       "Requests above that rate at once, over all nodes together."},
      {"window_ms", &Limit::m_window_ms, "ms", 5000, 600000, false, "",
       "Window in which no more requests run than (fleet_rate x window + fleet_burst) x (1 + overshoot) + "
       "slack."},
      {"overshoot", &Limit::m_overshoot, "ratio", 0, 1, false, "",
       "Share by which a window may exceed fleet_rate x window + fleet_burst."},
      {"slack", &Limit::m_slack, "requests", 0, 1e6, false, "",
       "Requests by which a window may exceed it in addition."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Account>>& Schema<Account>() {
  static const std::vector<FieldSpec<Account>> kFields = {
      {"key_sha256", &Account::m_key_sha256, "hexadecimal", 0, 0, false, "",
       "SHA-256 of the API key; empty for callers that present none."},
      {"group", &Account::m_group, "name", 0, 0, false, "",
       "Group under which the account appears in metrics."},
      {"weight", &Account::m_weight, "ratio", 0.01, 1000, false, "",
       "Share of slots relative to the other accounts of a class."},
      {"limit", &Account::m_limit, "name", 0, 0, false, "limits", "Limit of the account; empty for none."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Split>>& Schema<Split>() {
  static const std::vector<FieldSpec<Split>> kFields = {
      {"services", &Split::m_services, "names", 0, 0, true, "services", "Services that share the requests."},
      {"weights", &Split::m_weights, "shares", 0, 0, true, "", "Share of each service, in the same order."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Listener>>& Schema<Listener>() {
  static const std::vector<FieldSpec<Listener>> kFields = {
      {"max_header_bytes", &Listener::m_max_header_bytes, "bytes", 256, 1048576, false, "",
       "Largest request header."},
      {"header_timeout_ms", &Listener::m_header_timeout_ms, "ms", 10, 3600000, false, "",
       "Longest time from the first byte of a header to its end."},
      {"idle_timeout_ms", &Listener::m_idle_timeout_ms, "ms", 10, 3600000, false, "",
       "Longest time that an open connection may stay unused."},
  };
  return kFields;
}

template <>
const std::vector<FieldSpec<Route>>& Schema<Route>() {
  static const std::vector<FieldSpec<Route>> kFields = {
      {"host", &Route::m_host, "host name", 0, 0, false, "", "Host that callers name; empty for any."},
      {"method", &Route::m_method, "HTTP method", 0, 0, false, "",
       "Method that the route matches; empty for any."},
      {"path_prefix", &Route::m_path_prefix, "path", 0, 0, true, "", "The longest matching prefix wins."},
      {"service", &Route::m_service, "name", 0, 0, false, "services", "Service that does the work."},
      {"split", &Route::m_split, "name", 0, 0, false, "splits",
       "Services that share the requests; instead of one service."},
      {"priority", &Route::m_priority, "name", 0, 0, true, "priorities", "Class of the requests."},
      {"repeatable", &Route::m_repeatable, "true or false", 0, 0, false, "",
       "Whether running the work twice does no harm."},
      {"deadline_ms", &Route::m_deadline_ms, "ms", 10, 3600000, false, "",
       "Time from arrival to the end of the answer."},
      {"target_latency_ms", &Route::m_target_latency_ms, "ms", 0, 3600000, false, "",
       "Time within which an answer has its full value; 0 for none."},
      {"max_attempts", &Route::m_max_attempts, "endpoints", 1, 100, false, "",
       "Endpoints that may run one request."},
      {"max_body_bytes", &Route::m_max_body_bytes, "bytes", 0, kMaxCount, false, "", "Largest request body."},
  };
  return kFields;
}

std::string SchemaMarkdown() {
  std::ostringstream out;
  ObjectSet set;
  ForEachKind(set, [&](std::string_view kind, const auto& objects) {
    WriteKind<typename std::decay_t<decltype(objects)>::mapped_type>(out, kind);
  });
  return out.str();
}

}  // namespace fescueramp
