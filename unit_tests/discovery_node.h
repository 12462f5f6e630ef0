#pragma once

#include <optional>
#include <string>
#include <vector>

#include "fescueramp/node/node_reducer.h"

namespace fescueramp {

/// One NodeReducer with discovery and without claims, where entry hosts permit non-repeatable work. The other
/// members exist only in its member list.
class DiscoveryNode {
 public:
  explicit DiscoveryNode(int others) {
    NodeSettings settings;
    settings.m_self = Node(0);
    settings.m_claims = false;
    settings.m_discovery = true;
    m_reducer.emplace(settings);
    NodesFound found;
    for (int i = 1; i <= others; ++i) found.m_members.push_back(Node(i));
    Post(found);
    Post(ConfigurationLoaded{1, {ObjectSetText()}});
  }

  Effects Post(const Event& event) { return m_reducer->Reduce(event, m_now); }

  /// Advances time in steps of 50 ms and returns the effects of type `T`.
  template <typename T>
  std::vector<T> Run(Duration span) {
    std::vector<T> found;
    for (const Instant end = m_now + span; m_now < end;) {
      m_now += std::chrono::milliseconds(50);
      for (auto& item : Select<T>(Post(Tick{}))) found.push_back(std::move(item));
    }
    return found;
  }

  /// Returns the effects of type `T`.
  template <typename T>
  static std::vector<T> Select(const Effects& effects) {
    std::vector<T> found;
    for (const auto& effect : effects) {
      if (const auto* item = std::get_if<T>(&effect)) found.push_back(*item);
    }
    return found;
  }

  /// Posts a non-repeatable request of class "filing" and returns its first forward.
  ForwardRequest SubmitFiling(const std::string& id) {
    RequestReceived request{id, "POST", "/file", "", "", 0};
    request.m_caller_id = "caller-" + id;
    request.m_patience_ms = 3000;
    return Select<ForwardRequest>(Post(request)).at(0);
  }

  static Member Node(int index) {
    Member member;
    member.m_node = "n" + std::to_string(index);
    member.m_address = "10.0.0." + std::to_string(index + 1);
    member.m_link_port = 7200;
    member.m_zone = "az" + std::to_string(index % 4);
    member.m_region = "region";
    return member;
  }

  Instant Now() const { return m_now; }
  NodeReducer& Reducer() { return *m_reducer; }

 private:
  static std::string ObjectSetText() {
    return R"({"pools":{"work":{"discovered":true,"slots":1}},"services":{"work":{"pool":"work","part_endpoints":10,"by_belief":true}},
      "priorities":{"filing":{"rank":0,"max_wait_ms":3600000}},
      "routes":{"file":{"method":"POST","path_prefix":"/file","service":"work","priority":"filing",
                        "repeatable":false,"max_attempts":2,"target_latency_ms":600},
                "read":{"method":"GET","path_prefix":"/read","service":"work","priority":"filing",
                        "max_attempts":2,"target_latency_ms":600}}})";
  }

  Instant m_now{std::chrono::seconds(1'700'000'000)};
  std::optional<NodeReducer> m_reducer;
};

/// Makes a non-repeatable request of class "filing" as a dispatcher receives it.
inline DispatchRequest MakeFilingRequest(const std::string& id, Instant now, std::int64_t forwards = 1) {
  DispatchRequest request;
  request.m_request_id = id;
  request.m_service = "work";
  request.m_route = "file";
  request.m_class_name = "filing";
  request.m_repeatable = false;
  request.m_deadline = now + std::chrono::seconds(3);
  request.m_max_attempts = 2;
  request.m_target_latency_ms = 600;
  request.m_forwards = forwards;
  return request;
}

inline LiveEndpoint MakeLiveEndpoint(const std::string& name, bool leaving = false) {
  LiveEndpoint endpoint;
  endpoint.m_name = name;
  endpoint.m_service = "work";
  endpoint.m_address = "10.1.0.1";
  endpoint.m_port = 8000;
  endpoint.m_slots = 2;
  endpoint.m_leaving = leaving;
  return endpoint;
}

}  // namespace fescueramp
