#include "unit_tests/crash_fleet.h"

#include <algorithm>

#include "fescueramp/membership/gossip_codec.h"

namespace fescueramp {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr double kServiceTime = 0.02;  ///< Seconds.
constexpr double kCrashDelay = 0.005;  ///< Time from the start of a run to the crash, seconds.
constexpr double kEndpointDown = 2;    ///< Time for which a crashed endpoint refuses connections, seconds.
constexpr double kLinkDelay = 0.001;   ///< Seconds.
constexpr double kPause = 0.1;         ///< Time between two requests of a caller, seconds.
constexpr double kOrdinaryFrom = 2;    ///< Time of the first requests, seconds.
constexpr Duration kStabilityWindow = std::chrono::seconds(3);
constexpr std::int64_t kGossipPort = 7000;
constexpr std::int64_t kLimit = 3;

std::string ObjectSetText(const CrashPattern& pattern) {
  json::array names;
  json::object endpoints;
  for (int i = 0; i < pattern.m_endpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    names.push_back(json::string(name));
    endpoints[name] = {{"address", "127.0.0.1"}, {"port", 9000 + i}, {"zone", "az" + std::to_string(i % 4)}};
  }
  json::object set;
  set["endpoints"] = std::move(endpoints);
  set["pools"] = {{"work", {{"endpoints", names}, {"slots", pattern.m_slots}}}};
  set["services"] = {{"work", {{"pool", "work"}, {"floor", 0.5}, {"quarantine_breaks", kLimit}}}};
  set["priorities"] = {{"short", {{"rank", 1}, {"max_wait_ms", 1000}}}};
  set["routes"] = {{"read",
                    {{"method", "GET"},
                     {"path_prefix", "/"},
                     {"service", "work"},
                     {"priority", "short"},
                     {"repeatable", true},
                     {"deadline_ms", 5000}}}};
  return json::serialize(set);
}

}  // namespace

int CrashResult::CountLate(const std::vector<double>& runs) const {
  if (m_crashes.size() < 3) return 0;
  const double from = m_crashes[2] + 3;
  return static_cast<int>(std::count_if(runs.begin(), runs.end(), [&](double time) { return time > from; }));
}

CrashFleet::CrashFleet(CrashPattern pattern) : m_pattern(std::move(pattern)), m_random(m_pattern.m_seed) {
  m_nodes.resize(static_cast<std::size_t>(m_pattern.m_nodes));
  for (int node = 0; node < m_pattern.m_nodes; ++node) StartNode(node);
  const auto add = [&](int count, const std::string& path, bool crash, bool popular) {
    for (int i = 0; i < count; ++i) {
      const int index = static_cast<int>(m_callers.size());
      m_callers.push_back({path, crash, popular, index % m_pattern.m_nodes});
      const double spread = m_pattern.m_crash_callers_at_once && crash ? 0 : UniformRandom() * kPause;
      At((crash ? m_pattern.m_crash_callers_from : kOrdinaryFrom) + spread, [this, index] { Send(index); });
    }
  };
  add(m_pattern.m_crash_callers, "/crash/", true, false);
  add(m_pattern.m_ordinary_callers, "/ordinary/", false, false);
  add(m_pattern.m_popular_callers, "/popular", false, true);
  ScheduleFaults();
}

void CrashFleet::ScheduleFaults() {
  const auto stop = [this](int node) {
    if (Node(node).Leaving()) return;
    if (!m_pattern.m_graceful) return EndNode(node);
    Post(node, ShutdownRequested{});
    At(1, [this, node] { EndNode(node); });
  };
  int turn = 0;
  for (double at = m_pattern.m_crash_callers_from + m_pattern.m_restart_period;
       m_pattern.m_restart_period > 0 && at < m_pattern.m_seconds; at += m_pattern.m_restart_period) {
    const int node = turn++ % m_pattern.m_nodes;
    At(at, [=] { stop(node); });
    At(at + m_pattern.m_down + (m_pattern.m_graceful ? 1 : 0), [this, node] { StartNode(node); });
  }
  if (m_pattern.m_all_but_one_lost_at > 0) {
    for (int node = 0; node + 1 < m_pattern.m_nodes; ++node) {
      At(m_pattern.m_all_but_one_lost_at, [this, node] { EndNode(node); });
      At(m_pattern.m_all_but_one_lost_at + m_pattern.m_down, [this, node] { StartNode(node); });
    }
  }
  for (std::size_t i = 0; i < m_pattern.m_other_crashes.size(); ++i) {
    const std::string endpoint = "e" + std::to_string(i % static_cast<std::size_t>(m_pattern.m_endpoints));
    At(m_pattern.m_other_crashes[i], [this, endpoint] { CrashEndpoint(endpoint); });
  }
}

void CrashFleet::At(double delay, std::function<void()> action) {
  m_actions.emplace(m_now + FromSeconds(delay), std::move(action));
}

void CrashFleet::PostLater(double delay, int node, Event event) {
  const int life = m_nodes[static_cast<std::size_t>(node)].m_life;
  At(delay, [this, node, life, event = std::move(event)] {
    if (m_nodes[static_cast<std::size_t>(node)].m_life == life) Post(node, event);
  });
}

void CrashFleet::StartNode(int node) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  ++state.m_life;
  state.m_started = m_now;
  NodeSettings settings;
  settings.m_self = {"n" + std::to_string(node),
                     MemberState::kAlive,
                     std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count(),
                     "127.0.0.1",
                     kGossipPort + node,
                     0,
                     "az" + std::to_string(node % 4),
                     "region"};
  for (int seed = 0; seed < 3; ++seed) {
    if (seed != node) settings.m_seeds.push_back({"127.0.0.1", kGossipPort + seed});
  }
  settings.m_random_seed = node + 1;
  settings.m_claims = false;
  state.m_reducer = std::make_unique<NodeReducer>(settings);
  PostLater(m_pattern.m_configuration_delay, node, ConfigurationLoaded{1, {ObjectSetText(m_pattern)}});
}

void CrashFleet::EndNode(int node) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (!state.m_reducer) return;
  state.m_reducer.reset();
  ++state.m_life;
  std::vector<std::string> lost;
  for (const auto& [id, forward] : m_forwards) {
    if (forward.m_dispatcher == node || forward.m_entry == node) lost.push_back(id);
  }
  for (const auto& id : lost) {
    const Forward forward = m_forwards.at(id);
    if (forward.m_entry != node) {
      EndForward(id, ForwardOutcome::kLinkLost, false, false);
    } else {
      m_forwards.erase(id);
      PostLater(kLinkDelay, forward.m_dispatcher, DispatchCancelled{id});
    }
  }
  std::vector<std::string> ended;
  for (const auto& [id, open] : m_open) {
    if (open.m_entry == node) ended.push_back(id);
  }
  for (const auto& id : ended) EndRequest(id, ResultCode::kOutcomeUnknown, true);
}

CrashResult CrashFleet::Run() {
  while (Seconds() < m_pattern.m_seconds) {
    const Instant next_tick = m_now + kStep;
    while (!m_actions.empty() && m_actions.begin()->first <= next_tick) {
      m_now = std::max(m_now, m_actions.begin()->first);
      const auto action = m_actions.extract(m_actions.begin()).mapped();
      action();
    }
    m_now = next_tick;
    for (int node = 0; node < m_pattern.m_nodes; ++node) Post(node, Tick{});
  }
  for (const NodeState& state : m_nodes) {
    for (const auto& [second, bytes] : state.m_bytes_by_second)
      m_result.m_most_bytes_in_second = std::max(m_result.m_most_bytes_in_second, bytes);
  }
  return m_result;
}

void CrashFleet::Send(int index) {
  Caller& caller = m_callers[static_cast<std::size_t>(index)];
  int node = caller.m_next_node;
  for (int i = 0; i < m_pattern.m_nodes && !m_nodes[static_cast<std::size_t>(node)].m_reducer; ++i)
    node = (node + 1) % m_pattern.m_nodes;
  caller.m_next_node = (node + 1) % m_pattern.m_nodes;
  if (!m_nodes[static_cast<std::size_t>(node)].m_reducer) return At(kPause, [this, index] { Send(index); });
  const int number = m_next_request++;
  const std::string id = "r" + std::to_string(number);
  std::string path = caller.m_path;
  if (caller.m_crash) path += std::to_string(number % m_pattern.m_crash_paths);
  if (!caller.m_crash && !caller.m_popular) path += std::to_string(number);
  m_open[id] = {index, node, false};
  if (!caller.m_crash) ++(caller.m_popular ? m_result.m_popular_sent : m_result.m_ordinary_sent);
  Post(node, RequestReceived{id, "GET", path, "", "", 0});
}

void CrashFleet::EndRequest(const std::string& id, ResultCode code, bool maybe_ran) {
  const auto open = m_open.extract(id);
  if (open.empty()) return;
  const int index = open.mapped().m_caller;
  const Caller& caller = m_callers[static_cast<std::size_t>(index)];
  if (code == ResultCode::kOk && !caller.m_crash)
    ++(caller.m_popular ? m_result.m_popular_served : m_result.m_ordinary_served);
  if (code == ResultCode::kQuarantined)
    ++(caller.m_crash ? m_result.m_crash_refused : m_result.m_innocent_quarantined);
  if (code != ResultCode::kOk && !maybe_ran && open.mapped().m_ran) ++m_result.m_false_not_run;
  if (caller.m_crash && m_pattern.m_crash_callers_at_once) return;
  At(kPause, [this, index] { Send(index); });
}

void CrashFleet::EndForward(const std::string& id, ForwardOutcome outcome, bool served, bool maybe_ran) {
  const auto found = m_forwards.extract(id);
  if (found.empty()) return;
  const Forward& forward = found.mapped();
  ForwardEnded ended;
  ended.m_request_id = forward.m_entry_request;
  ended.m_node = "n" + std::to_string(forward.m_dispatcher);
  ended.m_outcome = outcome;
  ended.m_attempts = forward.m_attempts;
  ended.m_served = served;
  ended.m_maybe_ran = maybe_ran;
  PostLater(kLinkDelay, forward.m_entry, ended);
}

void CrashFleet::Post(int node, const Event& event) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (!state.m_reducer) return;
  for (const Effect& effect : state.m_reducer->Reduce(event, m_now)) {
    std::visit([&](const auto& item) { Apply(node, item); }, effect);
  }
}

void CrashFleet::Apply(int node, const ForwardRequest& effect) {
  const int to = std::stoi(effect.m_node.substr(1));
  const std::string& id = effect.m_request.m_request_id;
  const auto open = m_open.find(effect.m_request_id);
  const bool crash =
      open != m_open.end() && m_callers[static_cast<std::size_t>(open->second.m_caller)].m_crash;
  m_forwards[id] = {effect.m_request_id, node, to, 0, crash};
  if (!m_nodes[static_cast<std::size_t>(to)].m_reducer || Separated(node, to))
    return EndForward(id, ForwardOutcome::kConnectFailed, false, false);
  PostLater(kLinkDelay, to, DispatchArrived{effect.m_request, 0});
}

void CrashFleet::Apply(int node, const RelayRequest& effect) {
  // The relay is refused, so that the relaying node dispatches the request itself.
  PostLater(kLinkDelay, node, RelayFailed{effect.m_request_id, effect.m_node, 0, false});
}

void CrashFleet::Apply(int node, const StartAttempt& effect) {
  const auto forward = m_forwards.find(effect.m_request_id);
  const std::string endpoint = effect.m_endpoint;
  const std::int64_t ticket = m_next_ticket++;
  Running& running = m_running[endpoint][ticket];
  running.m_node = node;
  running.m_life = m_nodes[static_cast<std::size_t>(node)].m_life;
  running.m_started = m_now;
  running.m_result.m_request_id = effect.m_request_id;
  running.m_result.m_part = "work";
  running.m_result.m_attempt = effect.m_attempt;
  if (m_down_until[endpoint] > m_now)
    return At(kLinkDelay, [=, this] { EndAttempt(endpoint, ticket, AttemptOutcome::kConnectFailed); });
  bool crash = false;
  if (forward != m_forwards.end()) {
    ++forward->second.m_attempts;
    crash = forward->second.m_crash;
    if (const auto open = m_open.find(forward->second.m_entry_request); open != m_open.end())
      open->second.m_ran = true;
  }
  if (!crash)
    return At(kServiceTime, [=, this] { EndAttempt(endpoint, ticket, AttemptOutcome::kResponded); });
  m_result.m_crash_runs.push_back(Seconds());
  if (m_now - m_nodes[static_cast<std::size_t>(node)].m_started >= kStabilityWindow)
    m_result.m_connected_runs.push_back(Seconds());
  At(kCrashDelay, [=, this] {
    if (!m_running[endpoint].contains(ticket)) return;
    m_result.m_crashes.push_back(Seconds());
    CrashEndpoint(endpoint);
  });
}

void CrashFleet::CrashEndpoint(const std::string& endpoint) {
  m_down_until[endpoint] = m_now + FromSeconds(kEndpointDown);
  std::vector<std::int64_t> tickets;
  for (const auto& [ticket, running] : m_running[endpoint]) tickets.push_back(ticket);
  for (const std::int64_t ticket : tickets) EndAttempt(endpoint, ticket, AttemptOutcome::kBroken);
}

void CrashFleet::EndAttempt(const std::string& endpoint, std::int64_t ticket, AttemptOutcome outcome) {
  const auto found = m_running[endpoint].extract(ticket);
  if (found.empty()) return;
  Running& running = found.mapped();
  running.m_result.m_outcome = outcome;
  running.m_result.m_latency = m_now - running.m_started;
  if (m_nodes[static_cast<std::size_t>(running.m_node)].m_life != running.m_life) return;
  Post(running.m_node, AttemptEnded{running.m_result});
}

void CrashFleet::Apply(int, const FinishRequest& effect) {
  const auto code = static_cast<ResultCode>(effect.m_code);
  if (code == ResultCode::kNotReady)
    return EndForward(effect.m_request_id, ForwardOutcome::kHandedBack, false, effect.m_maybe_ran);
  const auto forward = m_forwards.find(effect.m_request_id);
  if (forward == m_forwards.end()) return;
  const std::string entry_request = forward->second.m_entry_request;
  EndForward(effect.m_request_id, ForwardOutcome::kResponded, false, false);
  EndRequest(entry_request, code, effect.m_maybe_ran);
}

void CrashFleet::Apply(int, const DeliverResponse& effect) {
  const auto forward = m_forwards.find(effect.m_request_id);
  if (forward == m_forwards.end()) return;
  const std::string entry_request = forward->second.m_entry_request;
  EndForward(effect.m_request_id, ForwardOutcome::kResponded, true, false);
  EndRequest(entry_request, ResultCode::kOk, true);
}

void CrashFleet::Apply(int, const RefuseRequest& effect) {
  EndRequest(effect.m_request_id, static_cast<ResultCode>(effect.m_code), effect.m_maybe_ran);
}

bool CrashFleet::Separated(int a, int b) const {
  const bool partitioned = m_pattern.m_partition_from > 0 && Seconds() >= m_pattern.m_partition_from &&
                           Seconds() < m_pattern.m_partition_until;
  return partitioned && a % 2 != b % 2;
}

void CrashFleet::Apply(int node, const SendGossip& effect) {
  const std::string datagram = EncodeGossip(effect.m_message, "key");
  m_result.m_bytes += datagram.size();
  m_nodes[static_cast<std::size_t>(node)].m_bytes_by_second[static_cast<int>(Seconds())] += datagram.size();
  const int to = static_cast<int>(effect.m_port - kGossipPort);
  if (to < 0 || to >= m_pattern.m_nodes || UniformRandom() < m_pattern.m_datagram_loss) return;
  if (Separated(node, to)) return;
  PostLater(m_pattern.m_datagram_delay * UniformRandom(), to,
            GossipReceived{"127.0.0.1", kGossipPort + node, *DecodeGossip(datagram, {"key"})});
}

}  // namespace fescueramp
