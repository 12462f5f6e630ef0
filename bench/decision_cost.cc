#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "fescueramp/config/object_set.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "fescueramp/membership/gossip_codec.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/routing/rendezvous.h"
#include "fescueramp/routing/route_table.h"

// Measures the cost of single operations in one process. Prints the results as one line of JSON.
namespace fescueramp {
namespace {

using SteadyClock = std::chrono::steady_clock;

/// Returns the mean duration of `count` calls, us.
template <typename Function>
double MeanMicroseconds(int count, Function function) {
  const auto start = SteadyClock::now();
  for (int i = 0; i < count; ++i) function(i);
  return std::chrono::duration<double, std::micro>(SteadyClock::now() - start).count() / count;
}

ObjectSet MakeObjectSet(int endpoints, int routes, int accounts) {
  ObjectSet set;
  Pool& pool = set.m_pools["work"];
  for (int i = 0; i < endpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    set.m_endpoints[name] = {"127.0.0.1", 1 + i, "az" + std::to_string(i % 4), AdminState::kInService};
    pool.m_endpoints.push_back(name);
  }
  set.m_services["work"].m_pool = "work";
  set.m_priorities["read"] = {1, 1.0, 3'600'000, 3'600'000};
  for (int i = 0; i < routes; ++i) {
    Route& route = set.m_routes["r" + std::to_string(i)];
    route.m_method = "GET";
    route.m_path_prefix = "/path/" + std::to_string(i);
    route.m_service = "work";
    route.m_priority = "read";
    route.m_deadline_ms = 3'600'000;
    route.m_max_body_bytes = 1000;
  }
  for (int i = 0; i < accounts; ++i) {
    set.m_accounts["a" + std::to_string(i)].m_key_sha256 = "key" + std::to_string(i);
  }
  return set;
}

/// Returns the mean time to enqueue, dispatch and complete one request while `queued` requests wait, us.
double DispatchMicroseconds(int endpoints, int queued) {
  const auto table = std::make_shared<RouteTable>(1, MakeObjectSet(endpoints, 1, 10));
  FairDispatcher dispatcher({"work", {}}, "n0", "az0");
  Instant now{std::chrono::seconds(1'700'000'000)};
  DispatchEffects effects;
  dispatcher.Configure(table, effects, now);
  std::vector<StartAttempt> running;
  const auto enqueue = [&](int i) {
    DispatchRequest request;
    request.m_request_id = "r" + std::to_string(i);
    request.m_service = "work";
    request.m_route = "r0";
    request.m_class_name = "read";
    request.m_account = "a" + std::to_string(i % 10);
    request.m_fingerprint = static_cast<std::uint64_t>(i + 1);
    request.m_deadline = now + std::chrono::hours(1);
    dispatcher.Enqueue(request, now, effects);
  };
  const auto collect_started = [&] {
    for (auto& effect : effects) {
      if (auto* start = std::get_if<StartAttempt>(&effect)) running.push_back(std::move(*start));
    }
    effects.clear();
  };
  int next = 0;
  for (; next < endpoints * 2 + queued; ++next) enqueue(next);
  collect_started();
  std::size_t oldest = 0;
  return MeanMicroseconds(20'000, [&](int) {
    now += std::chrono::microseconds(50);
    enqueue(next++);
    AttemptResult result;
    result.m_request_id = running[oldest].m_request_id;
    result.m_attempt = 1;
    result.m_latency = std::chrono::milliseconds(20);
    ++oldest;
    dispatcher.EndAttempt(result, now, effects);
    collect_started();
  });
}

double GossipCodecMicroseconds() {
  GossipMessage message;
  message.m_from = "node-0001";
  for (int i = 0; i < 6; ++i)
    message.m_updates.push_back(
        {"node-" + std::to_string(i), MemberState::kAlive, 1, "10.0.0.1", 7001, 7002, "az1", "r1"});
  return MeanMicroseconds(5000, [&](int) { DecodeGossip(EncodeGossip(message, "key"), {"key"}); });
}

int Run() {
  std::vector<std::string> nodes;
  for (int i = 0; i < 1400; ++i) nodes.push_back("node-" + std::to_string(i));
  json::object result;
  result["dispatch_us_20_endpoints"] = DispatchMicroseconds(20, 0);
  result["dispatch_us_2000_endpoints"] = DispatchMicroseconds(2000, 0);
  result["dispatch_us_20_endpoints_10000_queued"] = DispatchMicroseconds(20, 10'000);
  result["dispatch_us_2000_endpoints_10000_queued"] = DispatchMicroseconds(2000, 10'000);
  result["rendezvous_us_1400_nodes"] =
      MeanMicroseconds(200, [&](int i) { RendezvousOrder("group/" + std::to_string(i), nodes); });
  result["gossip_us_6_updates"] = GossipCodecMicroseconds();
  const std::string text = SerializeObjectSet(MakeObjectSet(1000, 5400, 100'000));
  result["set_bytes_100000_accounts"] = text.size();
  ObjectSet set;
  result["parse_ms_100000_accounts"] =
      MeanMicroseconds(1, [&](int) { set = ParseObjectSet(text).m_set; }) / 1000;
  const RouteTable table(1, set);
  result["route_us_5400_routes"] = MeanMicroseconds(
      20'000, [&](int i) { table.FindRoute("", "GET", "/path/" + std::to_string(i % 5400)); });
  result["account_us_100000_accounts"] =
      MeanMicroseconds(20'000, [&](int i) { table.FindAccount("key" + std::to_string(i)); });
  std::printf("%s\n", json::serialize(json::object{{"decision_cost", result}}).c_str());
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main() { return fescueramp::Run(); }
