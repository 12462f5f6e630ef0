#include "unit_tests/constraint_fleet.h"

#include <algorithm>
#include <cmath>

#include "fescueramp/membership/gossip_codec.h"
#include "unit_tests/discovery_node.h"

namespace fescueramp {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kServiceTime = 0.4;  ///< Median service time, seconds.
constexpr double kSpread = 0.25;      ///< Standard deviation of the logarithm of the service times.
constexpr Duration kTarget = std::chrono::milliseconds(1500);
constexpr int kSlots = 6;
constexpr std::int64_t kGossipPort = 7000;
constexpr double kStatementTime = 2;  ///< Time in which a node must act on a statement, seconds.
constexpr double kPausePeriod = 6;    ///< Time between the first refusals of pausing endpoints, seconds.
constexpr double kRefusalTime = 0.5;  ///< Part of the period in which pausing endpoints refuse, seconds.
constexpr Duration kPause = std::chrono::seconds(2);
constexpr Duration kPauseNotice = std::chrono::milliseconds(500);  ///< Time in which a node must act on it.
constexpr Duration kListPeriod = std::chrono::seconds(1);
constexpr std::int64_t kEndpointStartMs = 1'700'000'000'000;

int IndexOf(const std::string& endpoint) { return std::stoi(endpoint.substr(2)); }

std::string ObjectSetText() {
  return R"({"pools":{"work":{"discovered":true,"slots":6}},
    "services":{"work":{"pool":"work","part_endpoints":1000,"by_belief":true,"hedge_quantile":0.93}},
    "priorities":{"work":{"rank":0,"max_wait_ms":3600000}},
    "routes":{"work":{"method":"GET","path_prefix":"/","service":"work","priority":"work",
                      "max_attempts":2,"target_latency_ms":1500}}})";
}

}  // namespace

std::vector<int> OneDispatcher(double) { return {0}; }
std::vector<int> TwoDispatchers(double) { return {0, 1}; }
std::vector<int> ThreeDispatchers(double) { return {0, 1, 2}; }
std::vector<int> DispatcherChangesOnce(double time) { return {time < 14 ? 0 : 1}; }
std::vector<int> DispatcherChangesOften(double time) { return {static_cast<int>(time / 1.5) % 3}; }
std::vector<int> DispatchersOverlap(double time) {
  return time < 12 ? std::vector<int>{0} : (time < 16 ? std::vector<int>{0, 1} : std::vector<int>{1});
}

int ConstraintResult::MaxArrivals(const std::string& endpoint, double window, double from,
                                  double until) const {
  std::vector<double> times;
  if (const auto arrivals = m_arrivals.find(endpoint); arrivals != m_arrivals.end()) {
    std::copy_if(arrivals->second.begin(), arrivals->second.end(), std::back_inserter(times),
                 [&](double time) { return time >= from && time < until; });
  }
  int most = 0;
  for (auto first = times.begin(), last = times.begin(); last != times.end(); ++last) {
    while (*last - *first >= window) ++first;
    most = std::max(most, static_cast<int>(last - first) + 1);
  }
  return most;
}

ConstraintFleet::ConstraintFleet(ConstraintPattern pattern)
    : m_pattern(std::move(pattern)), m_random(m_pattern.m_seed) {
  m_nodes.resize(static_cast<std::size_t>(m_pattern.m_nodes));
  for (int node = 0; node < m_pattern.m_nodes; ++node) StartNode(node);
}

void ConstraintFleet::StartNode(int node) {
  const auto make_member = [&](int index) {
    Member member = DiscoveryNode::Node(index);
    member.m_gossip_port = kGossipPort + index;
    member.m_incarnation = m_now.time_since_epoch().count();
    return member;
  };
  NodeSettings settings;
  settings.m_self = make_member(node);
  settings.m_claims = false;
  settings.m_discovery = true;
  settings.m_random_seed = node + 1;
  m_nodes[static_cast<std::size_t>(node)] = std::make_unique<NodeReducer>(settings);
  NodesFound found;
  for (int i = 0; i < m_pattern.m_nodes; ++i) found.m_members.push_back(make_member(i));
  Post(node, found);
  Post(node, ConfigurationLoaded{1, {ObjectSetText()}});
  Post(node, ListEndpoints());
}

EndpointsListed ConstraintFleet::ListEndpoints() const {
  const double restart_at = m_pattern.m_endpoints_restart_at;
  const bool restarted = restart_at > 0 && Seconds() >= restart_at;
  EndpointsListed listed{restarted ? 2 : 1, {}};
  for (int i = 0; i < m_pattern.m_endpoints; ++i) {
    LiveEndpoint endpoint = MakeLiveEndpoint("i-" + std::to_string(i));
    endpoint.m_slots = kSlots;
    endpoint.m_started_ms = kEndpointStartMs + (restarted && i < m_pattern.m_constrained_endpoints ? 1 : 0);
    listed.m_endpoints.push_back(endpoint);
  }
  return listed;
}

ConstraintResult ConstraintFleet::Run() {
  double pending_arrivals = 0;
  bool restarted = m_pattern.m_restart_at <= 0;
  while (Seconds() < m_pattern.m_seconds) {
    m_now += kStep;
    while (!m_datagrams.empty() && m_datagrams.begin()->first <= m_now) {
      const Datagram datagram = m_datagrams.extract(m_datagrams.begin()).mapped();
      Post(datagram.m_to, datagram.m_event);
    }
    while (!m_endings.empty() && m_endings.begin()->first <= m_now) {
      const EndingAttempt ending = m_endings.extract(m_endings.begin()).mapped();
      Post(ending.m_node, ending.m_event);
    }
    if (!restarted && Seconds() >= m_pattern.m_restart_at) {
      restarted = true;
      std::erase_if(m_endings, [](const auto& item) { return item.second.m_node == 0; });
      std::erase_if(m_stated_to, [](const auto& item) { return item.first.second == 0; });
      std::erase_if(m_pauses, [](const auto& item) { return item.first.second == 0; });
      StartNode(0);
    }
    if (m_now >= m_next_list) {
      m_next_list = m_now + kListPeriod;
      for (int node = 0; node < m_pattern.m_nodes; ++node) Post(node, ListEndpoints());
    }
    for (int node = 0; node < m_pattern.m_nodes; ++node) Post(node, Tick{});
    pending_arrivals += m_pattern.m_arrivals_per_s * ToSeconds(kStep);
    const std::vector<int> dispatchers = m_pattern.m_dispatchers(Seconds());
    for (; pending_arrivals >= 1; --pending_arrivals) {
      Send(dispatchers[static_cast<std::size_t>(m_next_request) % dispatchers.size()]);
    }
  }
  return m_result;
}

void ConstraintFleet::Send(int node) {
  DispatchRequest request;
  request.m_request_id = "r" + std::to_string(m_next_request++);
  request.m_service = "work";
  request.m_route = "work";
  request.m_class_name = "work";
  request.m_repeatable = m_pattern.m_repeatable;
  request.m_fingerprint = static_cast<std::uint64_t>(m_next_request);
  request.m_deadline = m_now + std::chrono::seconds(4);
  request.m_max_attempts = 2;
  request.m_target_latency_ms = std::chrono::duration_cast<std::chrono::milliseconds>(kTarget).count();
  ++m_result.m_requests;
  m_open_requests[request.m_request_id] = m_now;
  // Relayed once already, so that the node does not pass it on to the node that it takes for the owner.
  Post(node, DispatchArrived{request, 1});
}

void ConstraintFleet::Post(int node, const Event& event) {
  for (const Effect& effect : m_nodes[static_cast<std::size_t>(node)]->Reduce(event, m_now)) {
    if (const auto* start = std::get_if<StartAttempt>(&effect)) Apply(node, *start);
    if (const auto* gossip = std::get_if<SendGossip>(&effect)) Apply(node, *gossip);
    if (const auto* finish = std::get_if<FinishRequest>(&effect)) Finish(finish->m_request_id, false);
    if (const auto* deliver = std::get_if<DeliverResponse>(&effect)) Finish(deliver->m_request_id, true);
  }
}

void ConstraintFleet::Finish(const std::string& request_id, bool served) {
  const auto open = m_open_requests.find(request_id);
  if (open == m_open_requests.end()) return;
  ++(served ? m_result.m_served : m_result.m_refused);
  if (!served && m_now - open->second > kTarget / 8) ++m_result.m_slow_refusals;
  m_open_requests.erase(open);
}

AttemptOutcome ConstraintFleet::DrawOutcome(bool constrained) {
  if (!constrained || m_pattern.m_response == ConstrainedResponse::kSuccess)
    return AttemptOutcome::kResponded;
  if (m_pattern.m_response == ConstrainedResponse::kPausing) {
    const bool refuses = std::fmod(Seconds(), kPausePeriod) < kRefusalTime;
    return refuses ? AttemptOutcome::kShed : AttemptOutcome::kResponded;
  }
  if (UniformRandom() < 0.5) return AttemptOutcome::kResponded;
  switch (m_pattern.m_response) {
    case ConstrainedResponse::kHalfErrors:
      return AttemptOutcome::kServerError;
    case ConstrainedResponse::kHalfRefused:
      return AttemptOutcome::kShed;
    case ConstrainedResponse::kHalfBroken:
      return AttemptOutcome::kBroken;
    default:
      return AttemptOutcome::kTimedOut;
  }
}

void ConstraintFleet::CountInPauses(const std::string& endpoint, int node) {
  for (Pause& pause : m_pauses[{endpoint, node}]) {
    if (m_now < pause.m_from || m_now >= pause.m_until) continue;
    m_result.m_most_in_pause = std::max(m_result.m_most_in_pause, ++pause.m_requests);
  }
}

void ConstraintFleet::RecordStatement(const std::string& endpoint, int node, double at) {
  const auto [first, added] = m_result.m_first_stated.try_emplace(endpoint, at);
  if (!added) first->second = std::min(first->second, at);
  const auto [to_node, to_node_added] = m_stated_to.try_emplace({endpoint, node}, at);
  if (!to_node_added) to_node->second = std::min(to_node->second, at);
}

void ConstraintFleet::Apply(int node, const StartAttempt& effect) {
  const bool constrained = IndexOf(effect.m_endpoint) < m_pattern.m_constrained_endpoints;
  m_result.m_arrivals[effect.m_endpoint].push_back(Seconds());
  CountInPauses(effect.m_endpoint, node);
  const auto stated = m_stated_to.find({effect.m_endpoint, node});
  if (stated != m_stated_to.end() && Seconds() >= stated->second + kStatementTime)
    ++m_result.m_sent_after_statement[effect.m_endpoint];
  EndingAttempt ending{node, {}};
  AttemptResult& result = ending.m_event.m_result;
  result.m_request_id = effect.m_request_id;
  result.m_part = "work";
  result.m_attempt = effect.m_attempt;
  result.m_outcome = DrawOutcome(constrained);
  std::normal_distribution<double> normal;
  Duration latency = FromSeconds(kServiceTime * std::exp(normal(m_random) * kSpread));
  if (result.m_outcome == AttemptOutcome::kShed || result.m_outcome == AttemptOutcome::kBroken)
    latency = kStep;
  if (result.m_outcome == AttemptOutcome::kTimedOut)
    latency = std::min<Duration>(effect.m_deadline - m_now, effect.m_progress_timeout);
  result.m_latency = latency;
  const bool answers =
      result.m_outcome != AttemptOutcome::kBroken && result.m_outcome != AttemptOutcome::kTimedOut;
  if (answers) {
    const double at = Seconds() + ToSeconds(latency);
    result.m_statement.m_kind = StatementKind::kValid;
    if (m_pattern.m_response == ConstrainedResponse::kPausing) {
      if (result.m_outcome == AttemptOutcome::kShed) {
        result.m_statement.m_pause = kPause;
        const Instant refused = m_now + latency;
        m_pauses[{effect.m_endpoint, node}].push_back({refused + kPauseNotice, refused + kPause, 0});
        ++m_result.m_pauses;
      }
    } else if (constrained && at >= m_pattern.m_stated_from && at < m_pattern.m_stated_until) {
      result.m_statement.m_leaving = m_pattern.m_leaving;
      if (!m_pattern.m_leaving) result.m_statement.m_limit_per_s = m_pattern.m_limit_per_s;
      RecordStatement(effect.m_endpoint, node, at);
    }
  }
  m_endings.emplace(m_now + latency, ending);
}

void ConstraintFleet::Apply(int node, const SendGossip& effect) {
  if (!effect.m_message.m_constraints.empty())
    m_result.m_constraint_bytes += EncodeGossip(effect.m_message, {}).size();
  const int to = static_cast<int>(effect.m_port - kGossipPort);
  if (to < 0 || to >= m_pattern.m_nodes || UniformRandom() < m_pattern.m_datagram_loss) return;
  const GossipReceived event{DiscoveryNode::Node(node).m_address, kGossipPort + node, effect.m_message};
  m_datagrams.emplace(m_now + FromSeconds(ToSeconds(m_pattern.m_datagram_delay) * UniformRandom()),
                      Datagram{to, event});
}

}  // namespace fescueramp
