#include "unit_tests/fixtures.h"

#include "fescueramp/config/object_set.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {

std::string SmallObjectSetJson(int endpoints, int slots, bool by_belief, double hedge_quantile) {
  json::object set;
  json::array names;
  json::object bodies;
  for (int i = 0; i < endpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    names.push_back(json::string(name));
    bodies[name] = {{"address", "127.0.0.1"}, {"port", 9000 + i}, {"zone", "az" + std::to_string(i % 4)}};
  }
  set["endpoints"] = std::move(bodies);
  set["pools"] = {{"work", {{"endpoints", names}, {"slots", slots}}}};
  set["services"] = {
      {"work",
       {{"pool", "work"}, {"floor", 0.5}, {"by_belief", by_belief}, {"hedge_quantile", hedge_quantile}}}};
  set["priorities"] = {{"filing", {{"rank", 0}, {"max_wait_ms", 1000}}},
                       {"short", {{"rank", 1}, {"max_wait_ms", 1000}}},
                       {"long", {{"rank", 5}, {"max_wait_ms", 60000}}}};
  set["limits"] = {{"small", {{"rate", 10}, {"burst", 5}, {"max_concurrent", 3}}}};
  set["accounts"] = {{"alice", {{"key_sha256", std::string(64, 'a')}, {"weight", 1}}},
                     {"bob", {{"key_sha256", std::string(64, 'b')}, {"weight", 2}}},
                     {"limited", {{"key_sha256", std::string(64, 'c')}, {"limit", "small"}}}};
  const auto route = [](const char* method, const char* prefix, const char* priority, bool repeatable) {
    return json::value{{"method", method},     {"path_prefix", prefix},    {"service", "work"},
                       {"priority", priority}, {"repeatable", repeatable}, {"deadline_ms", 10000}};
  };
  set["routes"] = {{"read", route("GET", "/read", "short", true)},
                   {"archive", route("GET", "/long", "long", true)},
                   {"file", route("POST", "/file", "filing", false)}};
  return json::serialize(set);
}

std::shared_ptr<const RouteTable> SmallRouteTable(int endpoints, int slots, bool by_belief,
                                                  double hedge_quantile, std::int64_t revision) {
  return std::make_shared<RouteTable>(
      revision, ParseObjectSet(SmallObjectSetJson(endpoints, slots, by_belief, hedge_quantile)).m_set);
}

}  // namespace fescueramp
