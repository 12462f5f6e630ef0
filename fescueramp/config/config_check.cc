#include "fescueramp/config/config_check.h"

#include <algorithm>
#include <limits>
#include <set>
#include <sstream>
#include <utility>

#include "fescueramp/config/caller_listener.h"
#include "fescueramp/config/object_set.h"
#include "fescueramp/config/schema.h"
#include "fescueramp/core/error.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/core/text.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {
namespace {

constexpr std::size_t kKeyHashLength = 64;   ///< Digits of a SHA-256 in hexadecimal.
constexpr std::size_t kKeyPrefixLength = 8;  ///< Digits of a key hash that are shown.
constexpr std::size_t kMaxTextLength = 200;  ///< Characters of an old or new value that are shown.
constexpr unsigned char kDelete = 0x7f;      ///< Control character outside the range below the space.

/// Kinds whose objects have an effect only when another object names them.
struct ReferredKind {
  std::string_view m_kind;
  std::string_view m_unused;  ///< Text of the finding.
};

constexpr ReferredKind kReferredKinds[] = {
    {"endpoints", "no pool lists it"},
    {"pools", "no service uses it"},
    {"services", "no route sends requests to it"},
    {"priorities", "no route uses it"},
    {"limits", "nothing uses it"},
    {"splits", "no route uses it"},
};

std::string Quoted(std::string_view text) { return "\"" + std::string(text) + "\""; }

bool IsKeyHash(std::string_view text) {
  return text.size() == kKeyHashLength &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

std::string KeyPrefix(std::string_view hash) { return std::string(hash.substr(0, kKeyPrefixLength)) + "..."; }

/// Largest value that the schema accepts for a field.
template <typename T>
std::int64_t LargestAccepted(std::int64_t T::*member) {
  for (const auto& field : Schema<T>()) {
    if (field.m_member == MemberPointer<T>(member)) return static_cast<std::int64_t>(field.m_max);
  }
  return std::numeric_limits<std::int64_t>::max();
}

/// Services that get requests of a route.
std::vector<std::string> UsedServices(const ObjectSet& set, const Route& route) {
  if (route.m_split.empty()) return {route.m_service};
  const Split& split = set.m_splits.at(route.m_split);
  std::vector<std::string> used;
  for (std::size_t i = 0; i < split.m_services.size(); ++i) {
    if (split.m_weights[i] > 0) used.push_back(split.m_services[i]);
  }
  return used;
}

/// Finds entries without an effect and contradictions in one valid set.
class WarningFinder {
 public:
  explicit WarningFinder(const ObjectSet& set) : m_set(set) {}

  std::vector<Finding> Find() {
    for (const auto& [name, route] : m_set.m_routes) CheckRoute("routes/" + name, route);
    FindUnused();
    for (const auto& [name, split] : m_set.m_splits) CheckSplit("splits/" + name, split);
    for (const auto& [name, priority] : m_set.m_priorities) CheckPriority(name, priority);
    for (const auto& [name, service] : m_set.m_services) CheckService(name, service);
    for (const auto& [name, listener] : m_set.m_listeners) CheckListener(name, listener);
    return std::move(m_findings);
  }

 private:
  using Reference = std::pair<std::string_view, std::string>;  ///< Kind and name.

  void Warn(std::string object, std::string_view field, std::string text) {
    m_findings.push_back({FindingSeverity::kWarning, std::move(object), std::string(field), std::move(text)});
  }

  void CheckRoute(const std::string& id, const Route& route) {
    CheckMatch(id, route);
    if (route.m_target_latency_ms > route.m_deadline_ms) {
      Warn(id, "target_latency_ms",
           "above deadline_ms: " + std::to_string(route.m_target_latency_ms) + " > " +
               std::to_string(route.m_deadline_ms));
    }
    if (route.m_max_attempts == Route().m_max_attempts) return;
    for (const auto& service : UsedServices(m_set, route)) CheckAttempts(id, route, service);
  }

  /// Reports what no request can match. Routes can't take all requests from one another: for the path that
  /// equals its prefix, a route with a method is chosen first, and one without a method is chosen for the
  /// methods that have no route, whose number is unlimited; so is the number of hosts.
  void CheckMatch(const std::string& id, const Route& route) {
    if (route.m_host != ToLower(route.m_host))
      Warn(id, "host", "never matches: host names of requests are converted to lower case");
    if (route.m_host.find(':') != std::string::npos)
      Warn(id, "host", "never matches: host names of requests are compared without port");
    const std::string_view method = route.m_method;
    if (std::any_of(method.begin(), method.end(), [](char c) { return c >= 'a' && c <= 'z'; }))
      Warn(id, "method",
           "lower-case letters: methods are compared with case, and the methods of HTTP are upper-case");
    const std::string_view prefix = route.m_path_prefix;
    if (prefix.find('?') != std::string_view::npos)
      Warn(id, "path_prefix", "never matches: paths are compared without the query");
    const auto in_no_path = [](unsigned char c) { return c <= ' ' || c == kDelete; };
    if (std::any_of(prefix.begin(), prefix.end(), in_no_path))
      Warn(id, "path_prefix", "never matches: a request has no spaces or control characters in its path");
  }

  void CheckAttempts(const std::string& id, const Route& route, const std::string& service) {
    const std::string& pool_name = m_set.m_services.at(service).m_pool;
    const Pool& pool = m_set.m_pools.at(pool_name);
    const auto endpoints = static_cast<std::int64_t>(pool.m_endpoints.size());
    if (pool.m_discovered || route.m_max_attempts <= endpoints) return;
    Warn(id, "max_attempts",
         std::to_string(route.m_max_attempts) + " attempts, but pool " + Quoted(pool_name) + " has " +
             std::to_string(endpoints) + " endpoints");
  }

  void FindUnused() {
    std::set<Reference> used;
    AddReferences(m_set.m_routes, used);
    // What an unused split names gets no requests from it.
    std::map<std::string, Split> used_splits;
    for (const auto& [name, split] : m_set.m_splits) {
      if (used.contains({"splits", name})) used_splits.emplace(name, split);
    }
    AddReferences(used_splits, used);
    ForEachKind(m_set, [&](std::string_view kind, const auto& objects) {
      if (kind != "splits") AddReferences(objects, used);
    });
    ForEachKind(m_set, [&](std::string_view kind, const auto& objects) {
      for (const auto& referred : kReferredKinds) {
        if (referred.m_kind == kind) ReportUnused(referred, objects, used);
      }
    });
  }

  template <typename T>
  static void AddReferences(const std::map<std::string, T>& objects, std::set<Reference>& used) {
    for (const auto& field : Schema<T>()) {
      if (field.m_refers_to.empty()) continue;
      std::visit(
          [&](auto member) {
            for (const auto& [name, object] : objects) AddNames(field.m_refers_to, object.*member, used);
          },
          field.m_member);
    }
  }

  template <typename Value>
  static void AddNames(std::string_view kind, const Value& value, std::set<Reference>& used) {
    if constexpr (std::is_same_v<Value, std::string>) {
      used.emplace(kind, value);
    } else if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
      for (const auto& name : value) used.emplace(kind, name);
    }
  }

  template <typename T>
  void ReportUnused(const ReferredKind& referred, const std::map<std::string, T>& objects,
                    const std::set<Reference>& used) {
    for (const auto& [name, object] : objects) {
      if (used.contains({referred.m_kind, name})) continue;
      Warn(std::string(referred.m_kind) + "/" + name, "", "unused: " + std::string(referred.m_unused));
    }
  }

  void CheckSplit(const std::string& id, const Split& split) {
    for (std::size_t i = 0; i < split.m_services.size(); ++i) {
      if (split.m_weights[i] != 0) continue;
      Warn(id, "weights", "0 for service " + Quoted(split.m_services[i]) + ", which gets no requests");
    }
  }

  /// The largest accepted wait is the way to leave the wait to the deadline, and isn't reported.
  void CheckPriority(const std::string& name, const Priority& priority) {
    std::int64_t longest = 0;
    for (const auto& [route_name, route] : m_set.m_routes) {
      if (route.m_priority == name) longest = std::max(longest, route.m_deadline_ms);
    }
    if (longest == 0 || priority.m_max_wait_ms <= longest) return;
    if (priority.m_max_wait_ms == LargestAccepted(&Priority::m_max_wait_ms)) return;
    Warn("priorities/" + name, "max_wait_ms",
         std::to_string(priority.m_max_wait_ms) +
             " is above the deadline of each route that uses it, at most " + std::to_string(longest));
  }

  void CheckService(const std::string& name, const Service& service) {
    std::string retried;  // A route whose requests may run twice.
    bool routed = false;
    for (const auto& [route_name, route] : m_set.m_routes) {
      const auto services = UsedServices(m_set, route);
      if (std::find(services.begin(), services.end(), name) == services.end()) continue;
      routed = true;
      if (retried.empty() && route.m_repeatable && route.m_max_attempts > 1) retried = route_name;
    }
    const std::string id = "services/" + name;
    const bool no_retries = service.m_retry_ratio == 0 && service.m_retry_burst == 0;
    if (no_retries && !retried.empty())
      Warn(id, "retry_burst",
           "no retries, as retry_ratio is 0 too, but max_attempts of route " + Quoted(retried) + " is " +
               std::to_string(m_set.m_routes.at(retried).m_max_attempts));
    if (service.m_hedge_quantile <= 0 || !routed) return;
    if (no_retries) Warn(id, "hedge_quantile", "never hedged: retry_ratio and retry_burst are 0");
    if (retried.empty())
      Warn(id, "hedge_quantile", "never hedged: no route is repeatable with max_attempts above 1");
  }

  void CheckListener(const std::string& name, const Listener& listener) {
    const std::string id = "listeners/" + name;
    if (name != kCallerListener)
      return Warn(id, "", "unused: only " + Quoted(kCallerListener) + " has an effect");
    for (const auto& [route_name, route] : m_set.m_routes) {
      const auto needed = static_cast<std::int64_t>(LeastHeaderBytes(route));
      if (needed <= listener.m_max_header_bytes) continue;
      Warn(id, "max_header_bytes",
           std::to_string(listener.m_max_header_bytes) + " is below the " + std::to_string(needed) +
               " bytes of the shortest request for route " + Quoted(route_name));
    }
  }

  /// Size of the shortest header that a route matches.
  static std::size_t LeastHeaderBytes(const Route& route) {
    const std::string method = route.m_method.empty() ? "M" : route.m_method;
    std::string header = method + " " + route.m_path_prefix + " HTTP/1.1\r\n";
    if (!route.m_host.empty()) header += "Host:" + route.m_host + "\r\n";
    return (header + "\r\n").size();
  }

  const ObjectSet& m_set;
  std::vector<Finding> m_findings;
};

/// Finds the differences between two valid sets.
class SetComparison {
 public:
  SetComparison(const ObjectSet& before, const ObjectSet& after) : m_before(1, before), m_after(2, after) {}

  std::vector<Finding> Compare() {
    std::set<Probe> probes;
    for (const auto* set : {&m_before.Set(), &m_after.Set()}) {
      for (const auto& [name, route] : set->m_routes)
        probes.insert({route.m_host, route.m_method, route.m_path_prefix});
    }
    for (const auto& probe : probes) CompareRouting(probe);
    CompareAccounts();
    for (const auto& difference : DiffObjectSets(m_before.Set(), m_after.Set())) AddChange(difference);
    return std::move(m_findings);
  }

 private:
  /// Request that a route matches first of all.
  struct Probe {
    std::string m_host;
    std::string m_method;
    std::string m_path;

    auto operator<=>(const Probe&) const = default;

    std::string Text() const {
      return (m_method.empty() ? "" : m_method + " ") + (m_host.empty() ? "" : m_host + " ") + m_path;
    }
  };

  void Add(FindingSeverity severity, std::string object, std::string_view field, std::string text) {
    m_findings.push_back({severity, std::move(object), std::string(field), std::move(text)});
  }

  void Risk(std::string object, std::string_view field, std::string text) {
    Add(FindingSeverity::kRisk, std::move(object), field, std::move(text));
  }

  void CompareRouting(const Probe& probe) {
    const auto before = m_before.FindRoute(probe.m_host, probe.m_method, probe.m_path);
    const auto after = m_after.FindRoute(probe.m_host, probe.m_method, probe.m_path);
    if (!before.m_route) return;
    if (!after.m_route) return Risk("routes/" + before.m_name, "", "no route for " + probe.Text());
    const Route& old_route = *before.m_route;
    const Route& new_route = *after.m_route;
    const std::string id = "routes/" + after.m_name;
    const bool same_match = old_route.m_host == new_route.m_host &&
                            old_route.m_method == new_route.m_method &&
                            old_route.m_path_prefix == new_route.m_path_prefix;
    const bool removed = !m_after.Set().m_routes.contains(before.m_name);
    if (removed && !same_match)
      Risk("routes/" + before.m_name, "",
           "removed: route " + Quoted(after.m_name) + " takes " + probe.Text());
    if (old_route.m_repeatable && !new_route.m_repeatable)
      Risk(id, "repeatable", probe.Text() + " becomes non-repeatable");
    const std::string old_services = ServicesText(m_before, old_route);
    const std::string new_services = ServicesText(m_after, new_route);
    if (old_services != new_services)
      Risk(id, new_route.m_split.empty() ? "service" : "split",
           probe.Text() + " moves from " + old_services + " to " + new_services);
  }

  static std::string ServicesText(const RouteTable& table, const Route& route) {
    std::vector<std::string> names = UsedServices(table.Set(), route);
    std::sort(names.begin(), names.end());
    std::string text;
    for (const auto& name : names) text += (text.empty() ? "" : ", ") + name;
    return text;
  }

  void CompareAccounts() {
    const auto& accounts = m_after.Set().m_accounts;
    const auto new_owners = KeyOwners(m_after.Set());
    for (const auto& [name, account] : m_before.Set().m_accounts) {
      if (!accounts.contains(name)) Risk("accounts/" + name, "", "removed");
    }
    for (const auto& [key, owner] : KeyOwners(m_before.Set())) {
      const auto found = new_owners.find(key);
      const std::string id = "accounts/" + owner;
      if (found == new_owners.end()) {
        if (accounts.contains(owner)) Risk(id, "", "key " + KeyPrefix(key) + " is no longer accepted");
      } else if (found->second != owner) {
        Risk(id, "", "key " + KeyPrefix(key) + " moves to account " + Quoted(found->second));
      }
    }
  }

  /// Account by key hash, from all fields of accounts that hold hashes.
  static std::map<std::string, std::string> KeyOwners(const ObjectSet& set) {
    std::map<std::string, std::string> owners;
    const auto add = [&owners](const std::string& hash, const std::string& owner) {
      if (IsKeyHash(hash)) owners.emplace(hash, owner);
    };
    for (const auto& field : Schema<Account>()) {
      for (const auto& [name, account] : set.m_accounts) {
        if (const auto* text = std::get_if<std::string Account::*>(&field.m_member))
          add(account.**text, name);
        if (const auto* texts = std::get_if<std::vector<std::string> Account::*>(&field.m_member)) {
          for (const auto& hash : account.**texts) add(hash, name);
        }
      }
    }
    return owners;
  }

  /// Adds one line of DiffObjectSets, or the changed fields of its object.
  void AddChange(const std::string& difference) {
    const std::size_t space = difference.find(' ');
    const std::string mark = difference.substr(0, space);
    const std::string id = difference.substr(space + 1);
    if (mark != "changed") return Add(FindingSeverity::kChange, id, "", mark);
    ForEachKind(m_before.Set(), [&](std::string_view kind, const auto& objects) {
      const std::string start = std::string(kind) + "/";
      if (id.starts_with(start)) AddChangedFields(kind, id.substr(start.size()), objects);
    });
  }

  template <typename T>
  void AddChangedFields(std::string_view kind, const std::string& name,
                        const std::map<std::string, T>& old_objects) {
    ForEachKind(m_after.Set(), [&](std::string_view new_kind, const auto& new_objects) {
      if constexpr (std::is_same_v<std::decay_t<decltype(new_objects)>, std::map<std::string, T>>) {
        if (kind == new_kind)
          CompareFields(std::string(kind) + "/" + name, old_objects.at(name), new_objects.at(name));
      }
    });
  }

  template <typename T>
  void CompareFields(const std::string& id, const T& before, const T& after) {
    for (const auto& field : Schema<T>()) {
      std::visit(
          [&](auto member) {
            if (before.*member == after.*member) return;
            Add(FindingSeverity::kChange, id, field.m_name,
                ValueText(ToJson(before.*member)) + " -> " + ValueText(ToJson(after.*member)));
          },
          field.m_member);
    }
  }

  static std::string ValueText(const json::value& value) {
    std::ostringstream text;
    if (const auto* number = value.if_double())
      text << *number;
    else
      text << json::serialize(WithShortKeys(value));
    std::string shown = text.str();
    return shown.size() <= kMaxTextLength ? shown : shown.substr(0, kMaxTextLength) + "...";
  }

  static json::value WithShortKeys(json::value value) {
    if (auto* text = value.if_string(); text && IsKeyHash(*text)) return json::string(KeyPrefix(*text));
    if (auto* array = value.if_array()) {
      for (auto& item : *array) item = WithShortKeys(item);
    }
    return value;
  }

  RouteTable m_before;
  RouteTable m_after;
  std::vector<Finding> m_findings;
};

}  // namespace

CheckedObjectSet CheckObjectSetText(std::string_view text) {
  CheckedObjectSet checked;
  try {
    ParsedObjectSet parsed = ParseObjectSet(text);
    for (const auto& mistake : parsed.m_mistakes)
      checked.m_findings.push_back({FindingSeverity::kError, mistake.m_object, mistake.m_field,
                                    mistake.m_problem + "; accepted: " + mistake.m_accepted});
    checked.m_set = std::move(parsed.m_set);
  } catch (const Error& error) {
    checked.m_findings.push_back({FindingSeverity::kError, "", "", error.what()});
  }
  if (checked.m_findings.empty()) checked.m_findings = FindWarnings(checked.m_set);
  return checked;
}

std::vector<Finding> FindWarnings(const ObjectSet& set) { return WarningFinder(set).Find(); }

std::vector<Finding> CompareObjectSets(const ObjectSet& before, const ObjectSet& after) {
  return SetComparison(before, after).Compare();
}

bool HasErrors(const std::vector<Finding>& findings) {
  return std::any_of(findings.begin(), findings.end(),
                     [](const Finding& finding) { return finding.m_severity == FindingSeverity::kError; });
}

std::string FindingLine(const Finding& finding) {
  std::string line(EnumName(finding.m_severity));
  if (!finding.m_object.empty()) line += " " + finding.m_object;
  if (!finding.m_field.empty()) line += "." + finding.m_field;
  return line + ": " + finding.m_text;
}

}  // namespace fescueramp
