#include "fescueramp/config/object_set.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <set>
#include <sstream>

#include "fescueramp/config/schema.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxNameLength = 128;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::int64_t kMaxWeight = 1'000'000;  ///< Largest weight of a split.

bool IsValidName(std::string_view name) {
  const auto valid = [](unsigned char c) {
    return std::isalnum(c) || c == '.' || c == '_' || c == '-' || c == '/';
  };
  return !name.empty() && name.size() <= kMaxNameLength && std::all_of(name.begin(), name.end(), valid);
}

/// Reads and validates a set, and collects all mistakes in it.
class ObjectSetReader {
 public:
  /// Reads the objects of one JSON text, which may be part of a set.
  void Read(const json::value& root) {
    const auto* object = root.if_object();
    if (!object) return AddMistake("", "", "the set is not an object", "an object with one member per kind");
    RejectUnknownKinds(*object);
    ForEachKind(m_result.m_set,
                [&](std::string_view kind, auto& objects) { ReadKind(*object, kind, objects); });
  }

  /// Validates references and rules that span objects, and returns the result.
  ParsedObjectSet Finish() {
    CheckSet();
    return std::move(m_result);
  }

 private:
  void AddMistake(std::string object, std::string_view field, std::string problem, std::string accepted) {
    m_result.m_mistakes.push_back(
        {std::move(object), std::string(field), std::move(problem), std::move(accepted)});
  }

  void RejectUnknownKinds(const json::object& root) {
    std::set<std::string_view> known_kinds;
    std::string accepted;
    ForEachKind(m_result.m_set, [&](std::string_view kind, auto&) {
      known_kinds.insert(kind);
      accepted += std::string(accepted.empty() ? "" : ", ") + std::string(kind);
    });
    for (const auto& [key, value] : root) {
      if (!known_kinds.contains(key)) AddMistake(std::string(key), "", "unknown kind of object", accepted);
    }
  }

  template <typename T>
  void ReadKind(const json::object& root, std::string_view kind, std::map<std::string, T>& objects) {
    const auto* value = root.if_contains(kind);
    if (!value) return;
    if (!value->is_object()) return AddMistake(std::string(kind), "", "not an object", "objects by name");
    for (const auto& [name, body] : value->get_object()) {
      const std::string id = std::string(kind) + "/" + std::string(name);
      if (!IsValidName(name)) AddMistake(id, "", "invalid name", "1 to 128 letters, digits and . _ - /");
      if (!body.is_object()) {
        AddMistake(id, "", "not an object", "an object with the fields of its kind");
        continue;
      }
      ReadFields(id, body.get_object(), objects[std::string(name)]);
    }
  }

  template <typename T>
  void ReadFields(const std::string& id, const json::object& body, T& object) {
    for (const auto& member : body) {
      const std::string_view key = member.key();
      const json::value& value = member.value();
      const auto& fields = Schema<T>();
      const auto field =
          std::find_if(fields.begin(), fields.end(), [&](const auto& f) { return f.m_name == key; });
      if (field == fields.end()) {
        AddMistake(id, key, "unknown field", FieldNames<T>());
      } else {
        std::visit([&](auto pointer) { ReadValue(id, *field, value, object.*pointer); }, field->m_member);
      }
    }
    for (const auto& field : Schema<T>()) {
      if (field.m_required && !body.contains(field.m_name)) {
        AddMistake(id, field.m_name, "missing", std::string(field.m_unit));
      }
    }
  }

  template <typename T>
  static std::string FieldNames() {
    std::string names;
    for (const auto& field : Schema<T>()) {
      names += std::string(names.empty() ? "" : ", ") + std::string(field.m_name);
    }
    return names;
  }

  template <typename T, typename Value>
  void ReadValue(const std::string& id, const FieldSpec<T>& field, const json::value& json_value,
                 Value& value) {
    try {
      value = FromJson<Value>(json_value);
    } catch (const Error&) {
      std::string accepted(field.m_unit);
      if constexpr (std::is_floating_point_v<Value> || std::is_same_v<Value, std::int64_t>) {
        accepted = "a number, " + RangeText(field);
      }
      return AddMistake(id, field.m_name, "wrong type or name: " + json::serialize(json_value).substr(0, 60),
                        accepted);
    }
    if constexpr (std::is_floating_point_v<Value> || std::is_same_v<Value, std::int64_t>) {
      const auto number = static_cast<double>(value);
      if (!std::isfinite(number) || number < field.m_min || number > field.m_max) {
        AddMistake(id, field.m_name, "out of range: " + json::serialize(json_value), RangeText(field));
      }
    }
  }

  template <typename T>
  static std::string RangeText(const FieldSpec<T>& field) {
    std::ostringstream text;
    text << field.m_min << " to " << field.m_max << " " << field.m_unit;
    return text.str();
  }

  void CheckSet() {
    ForEachKind(m_result.m_set, [&](std::string_view kind, auto& objects) {
      for (const auto& [name, object] : objects) CheckReferences(std::string(kind) + "/" + name, object);
    });
    for (const auto& [name, endpoint] : m_result.m_set.m_endpoints)
      CheckEndpoint("endpoints/" + name, endpoint);
    for (const auto& [name, pool] : m_result.m_set.m_pools) CheckPool("pools/" + name, pool);
    for (const auto& [name, service] : m_result.m_set.m_services) CheckFloor("services/" + name, service);
    for (const auto& [name, split] : m_result.m_set.m_splits) CheckSplit("splits/" + name, split);
    CheckAccounts();
    CheckRoutes();
  }

  template <typename T>
  void CheckReferences(const std::string& id, const T& object) {
    for (const auto& field : Schema<T>()) {
      if (field.m_refers_to.empty()) continue;
      std::visit(
          [&](auto member) {
            using Value = std::decay_t<decltype(object.*member)>;
            if constexpr (std::is_same_v<Value, std::string>) {
              if (!(object.*member).empty())
                CheckReference(id, field.m_name, field.m_refers_to, object.*member);
            } else if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
              for (const auto& name : object.*member)
                CheckReference(id, field.m_name, field.m_refers_to, name);
            }
          },
          field.m_member);
    }
  }

  void CheckReference(const std::string& id, std::string_view field, std::string_view kind,
                      const std::string& name) {
    bool found = false;
    ForEachKind(m_result.m_set, [&](std::string_view other, const auto& objects) {
      found = found || (other == kind && objects.contains(name));
    });
    if (!found) {
      AddMistake(id, field, "\"" + name + "\" does not exist in " + std::string(kind),
                 "a name in " + std::string(kind));
    }
  }

  void CheckEndpoint(const std::string& id, const Endpoint& endpoint) {
    boost::system::error_code ec;
    boost::asio::ip::make_address(endpoint.m_address, ec);
    if (ec && !endpoint.m_address.empty()) {
      AddMistake(id, "address", "\"" + endpoint.m_address + "\" is not an IP address",
                 "an IPv4 or IPv6 address");
    }
    const std::string socket = endpoint.m_address + " port " + std::to_string(endpoint.m_port);
    if (!m_used_sockets.insert(socket).second)
      AddMistake(id, "port", "another endpoint uses " + socket, "an unused address and port");
  }

  void CheckPool(const std::string& id, const Pool& pool) {
    if (pool.m_endpoints.empty() == !pool.m_discovered) {
      AddMistake(id, "endpoints", pool.m_discovered ? "listed although the pool is discovered" : "empty",
                 "at least one endpoint, or none when discovered is true");
    }
    if (pool.m_max_connections < pool.m_slots) {
      AddMistake(id, "max_connections", "fewer connections than slots", "at least the number of slots");
    }
    for (const auto& name : pool.m_endpoints) {
      if (!m_pooled_endpoints.insert(name).second) {
        AddMistake(id, "endpoints", "\"" + name + "\" is listed twice or in two pools",
                   "each endpoint in one pool, once");
      }
    }
  }

  void CheckSplit(const std::string& id, const Split& split) {
    if (split.m_services.empty()) AddMistake(id, "services", "empty", "at least one service");
    if (split.m_weights.size() != split.m_services.size()) {
      AddMistake(id, "weights", "not one weight for each service", "as many weights as services");
    }
    std::int64_t sum = 0;
    for (const std::int64_t weight : split.m_weights) {
      if (weight < 0 || weight > kMaxWeight) AddMistake(id, "weights", "out of range", "0 to 1000000 each");
      sum += std::clamp<std::int64_t>(weight, 0, kMaxWeight);
    }
    if (sum == 0) AddMistake(id, "weights", "all are 0", "at least one above 0");
  }

  /// Checks that the endpoints in service satisfy the floor; draining and ejected ones count as out of
  /// service.
  void CheckFloor(const std::string& id, const Service& service) {
    if (!m_used_pools.insert(service.m_pool).second) {
      AddMistake(id, "pool", "another service uses pool \"" + service.m_pool + "\"",
                 "a pool that no other service uses");
    }
    const auto pool = m_result.m_set.m_pools.find(service.m_pool);
    if (pool == m_result.m_set.m_pools.end()) return;
    double in_service = 0;
    for (const auto& name : pool->second.m_endpoints) {
      const auto endpoint = m_result.m_set.m_endpoints.find(name);
      if (endpoint == m_result.m_set.m_endpoints.end()) return;
      in_service += endpoint->second.m_admin_state == AdminState::kInService ? 1 : 0;
    }
    if (in_service < service.m_floor * static_cast<double>(pool->second.m_endpoints.size())) {
      AddMistake(id, "floor", "too few endpoints of the pool are in service for the floor",
                 "a lower floor, or more endpoints with admin_state in_service");
    }
  }

  void CheckAccounts() {
    std::map<std::string, std::string> first_users;
    for (const auto& [name, account] : m_result.m_set.m_accounts) {
      if (!account.m_key_sha256.empty() || account.m_key_sha256s.empty())
        CheckKey(name, "key_sha256", account.m_key_sha256, first_users);
      for (const auto& key : account.m_key_sha256s) CheckKey(name, "key_sha256s", key, first_users);
    }
  }

  void CheckKey(const std::string& account, std::string_view field, const std::string& key,
                std::map<std::string, std::string>& first_users) {
    const std::string id = "accounts/" + account;
    const bool may_be_empty = field == "key_sha256";
    const bool is_hex = key.find_first_not_of("0123456789abcdef") == std::string::npos;
    const bool is_hash = key.size() == kSha256HexLength && is_hex;
    if (!is_hash && !(may_be_empty && key.empty())) {
      AddMistake(id, field, "not a SHA-256 hash", "64 lower-case hexadecimal digits");
    }
    if (const auto [owner, added] = first_users.emplace(key, account); !added) {
      AddMistake(id, field, "the same key as account \"" + owner->second + "\"",
                 "a key that no other account uses");
    }
  }

  void CheckRoutes() {
    std::map<std::string, std::string> first_users;
    for (const auto& [name, route] : m_result.m_set.m_routes) {
      const std::string id = "routes/" + name;
      if (!route.m_path_prefix.starts_with('/'))
        AddMistake(id, "path_prefix", "does not begin with /", "a path");
      if (route.m_service.empty() == route.m_split.empty()) {
        AddMistake(id, "service", "not exactly one of service and split", "a service or a split");
      }
      const std::string match = route.m_host + " " + route.m_method + " " + route.m_path_prefix;
      if (const auto [owner, added] = first_users.emplace(match, name); !added) {
        AddMistake(id, "path_prefix", "matches the same requests as route \"" + owner->second + "\"",
                   "another host, method or path prefix");
      }
    }
  }

  ParsedObjectSet m_result;
  std::set<std::string> m_used_sockets;
  std::set<std::string> m_pooled_endpoints;
  std::set<std::string> m_used_pools;
};

/// Omits fields that have their default value, which keeps large sets small.
template <typename T>
json::value ObjectToJson(const T& object) {
  const T defaults;
  json::object body;
  for (const auto& field : Schema<T>()) {
    std::visit(
        [&](auto member) {
          if (field.m_required || object.*member != defaults.*member)
            body[field.m_name] = ToJson(object.*member);
        },
        field.m_member);
  }
  return body;
}

}  // namespace

ParsedObjectSet ParseObjectSet(std::string_view text) {
  ObjectSetReader reader;
  reader.Read(ParseJson(text, ResultCode::kInvalidObjectSet));
  return reader.Finish();
}

ParsedObjectSet ParseObjectSetParts(const std::vector<std::string>& parts) {
  ObjectSetReader reader;
  for (const auto& part : parts) reader.Read(ParseJson(part, ResultCode::kInvalidObjectSet));
  return reader.Finish();
}

std::string SerializeObjectSet(const ObjectSet& set) {
  json::object root;
  ForEachKind(set, [&](std::string_view kind, const auto& objects) {
    json::object body;
    for (const auto& [name, object] : objects) body[name] = ObjectToJson(object);
    root[kind] = std::move(body);
  });
  return json::serialize(root);
}

std::vector<std::string> DiffObjectSets(const ObjectSet& before, const ObjectSet& after) {
  const json::value old_root = ParseJson(SerializeObjectSet(before));
  const json::value new_root = ParseJson(SerializeObjectSet(after));
  std::vector<std::string> differences;
  for (const auto& [kind, new_objects] : new_root.as_object()) {
    const auto& old_objects = old_root.at(kind).as_object();
    for (const auto& [name, body] : new_objects.as_object()) {
      const auto* old_body = old_objects.if_contains(name);
      if (old_body && *old_body == body) continue;
      const std::string mark = old_body ? "changed " : "added ";
      differences.push_back(mark + std::string(kind) + "/" + std::string(name));
    }
    for (const auto& [name, body] : old_objects) {
      if (!new_objects.as_object().contains(name)) {
        differences.push_back("removed " + std::string(kind) + "/" + std::string(name));
      }
    }
  }
  std::sort(differences.begin(), differences.end());
  return differences;
}

}  // namespace fescueramp
