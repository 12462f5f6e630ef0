#include "unit_tests/quota_fleet.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "fescueramp/core/hash.h"
#include "fescueramp/membership/gossip_codec.h"

namespace fescueramp {
namespace {

constexpr Duration kStep = std::chrono::milliseconds(20);
constexpr double kServiceTime = 0.02;        ///< Seconds.
constexpr double kConfigurationDelay = 0.1;  ///< Time in which a node reads its configuration, seconds.
/// Times after its start at which a node reads the list of nodes in the store, seconds.
constexpr double kDiscoveryDelays[] = {0.05, 0.4};
constexpr double kMostDeliveryTime = 0.4;  ///< Time in which a new configuration gets to a node, seconds.
constexpr double kWaitTolerance = 0.001;   ///< Seconds.
constexpr std::int64_t kGossipPort = 7000;
constexpr int kEndpoints = 20;

}  // namespace

QuotaFleet::QuotaFleet(QuotaPattern pattern) : m_pattern(std::move(pattern)), m_random(m_pattern.m_seed) {
  m_nodes.resize(static_cast<std::size_t>(m_pattern.m_nodes));
  for (int node = 0; node < m_pattern.m_nodes; ++node)
    At(0.3 * UniformRandom(), [this, node] { StartNode(node); });
  for (std::size_t i = 0; i < m_pattern.m_accounts.size(); ++i)
    At(m_pattern.m_load_from, [this, i] { ScheduleArrival(i); });
  for (const QuotaFault& fault : m_pattern.m_faults) {
    const int node = fault.m_node;
    if (fault.m_kind == QuotaFault::Kind::kFreeze) {
      At(fault.m_at, [this, node] { FreezeNode(node, true); });
      At(fault.m_at + fault.m_for, [this, node] { FreezeNode(node, false); });
      continue;
    }
    const double notice = fault.m_kind == QuotaFault::Kind::kLeave ? 0.5 : 0;
    if (notice > 0) At(fault.m_at, [this, node] { Post(node, ShutdownRequested{}); });
    At(fault.m_at + notice, [this, node] { EndNode(node); });
    At(fault.m_at + notice + fault.m_for, [this, node] { StartNode(node); });
  }
  if (m_pattern.m_lowered_at > 0) {
    At(m_pattern.m_lowered_at, [this] {
      m_revision = 2;
      for (int node = 0; node < m_pattern.m_nodes; ++node)
        After(kMostDeliveryTime * UniformRandom(), [this, node] { Configure(node); });
    });
  }
}

std::string QuotaFleet::ObjectSetText() const {
  const double factor = m_revision == 1 ? 1 : m_pattern.m_lowered_to;
  json::array names;
  json::object set;
  json::object endpoints;
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    names.push_back(json::string(name));
    endpoints[name] = {{"address", "127.0.0.1"}, {"port", 9000 + i}, {"zone", "az0"}};
  }
  json::object limits;
  json::object accounts;
  for (const QuotaAccount& account : m_pattern.m_accounts) {
    limits[account.m_name] = {
        {"fleet_rate", account.m_limit_rate * factor},
        {"fleet_burst", static_cast<std::int64_t>(static_cast<double>(account.m_burst) * factor)}};
    accounts[account.m_name] = {{"key_sha256", Sha256Hex(account.m_name)}, {"limit", account.m_name}};
  }
  set["endpoints"] = std::move(endpoints);
  set["pools"] = {{"work", {{"endpoints", names}, {"slots", 100}}}};
  set["services"] = {{"work", {{"pool", "work"}}}};
  set["priorities"] = {{"short", {{"rank", 1}, {"max_wait_ms", 1000}}}};
  set["limits"] = std::move(limits);
  set["accounts"] = std::move(accounts);
  set["routes"] = {
      {"read", {{"path_prefix", "/"}, {"service", "work"}, {"priority", "short"}, {"deadline_ms", 5000}}}};
  return json::serialize(set);
}

void QuotaFleet::At(double at, std::function<void()> action) {
  m_actions.emplace(m_start + FromSeconds(at), std::move(action));
}

void QuotaFleet::StartNode(int node) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (state.m_reducer) return;
  const int life = ++state.m_life;
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
  After(kConfigurationDelay, [this, node, life] {
    if (m_nodes[static_cast<std::size_t>(node)].m_life == life) Configure(node);
  });
  for (const double delay : kDiscoveryDelays) {
    After(delay, [this, node, life] {
      if (m_nodes[static_cast<std::size_t>(node)].m_life == life) Discover(node);
    });
  }
}

void QuotaFleet::Discover(int node) {
  NodesFound found;
  for (const NodeState& state : m_nodes) {
    if (state.m_reducer) found.m_members.push_back(state.m_reducer->Members().Self());
  }
  Post(node, found);
}

void QuotaFleet::Configure(int node) { Post(node, ConfigurationLoaded{m_revision, {ObjectSetText()}}); }

void QuotaFleet::EndNode(int node) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  state.m_reducer.reset();
  state.m_frozen = false;
  state.m_frozen_events.clear();
  ++state.m_life;
  std::erase_if(m_open, [&](const auto& item) { return item.second.m_node == node; });
}

void QuotaFleet::FreezeNode(int node, bool frozen) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  state.m_frozen = frozen;
  if (frozen) return;
  for (const Event& event : std::exchange(state.m_frozen_events, {})) Post(node, event);
}

QuotaResult QuotaFleet::Run() {
  while (Seconds() < m_pattern.m_seconds) {
    const Instant next_tick = m_now + kStep;
    while (!m_actions.empty() && m_actions.begin()->first <= next_tick) {
      m_now = std::max(m_now, m_actions.begin()->first);
      const auto action = m_actions.extract(m_actions.begin()).mapped();
      action();
    }
    m_now = next_tick;
    for (int node = 0; node < m_pattern.m_nodes; ++node) {
      if (!m_nodes[static_cast<std::size_t>(node)].m_frozen) Post(node, Tick{});
    }
  }
  return m_result;
}

void QuotaFleet::ScheduleArrival(std::size_t index) {
  const QuotaAccount& account = m_pattern.m_accounts[index];
  const bool hot = Seconds() >= account.m_hot_from && Seconds() < account.m_hot_until;
  const double rate = account.m_usual_rate * (hot ? account.m_hot_factor : 1);
  const double delay = -std::log(1 - UniformRandom()) / rate;
  After(delay, [this, index] {
    if (Seconds() > m_pattern.m_load_until) return;
    Arrive(index);
    ScheduleArrival(index);
  });
}

void QuotaFleet::Arrive(std::size_t index) {
  const QuotaAccount& account = m_pattern.m_accounts[index];
  std::vector<int> nodes;
  if (account.m_dispatchers) {
    nodes = account.m_dispatchers(Seconds());
  } else {
    for (int node = 0; node < m_pattern.m_dispatchers; ++node) nodes.push_back(node);
  }
  std::erase_if(nodes, [this](int node) {
    const NodeState& state = m_nodes[static_cast<std::size_t>(node)];
    return !state.m_reducer || state.m_frozen || !state.m_reducer->Ready();
  });
  if (nodes.empty()) return;
  const int node = nodes[static_cast<std::size_t>(UniformRandom() * static_cast<double>(nodes.size()))];
  DispatchRequest request;
  request.m_request_id = "r" + std::to_string(m_next_request++);
  request.m_entry_node = "n0";
  request.m_service = "work";
  request.m_route = "read";
  request.m_class_name = "short";
  request.m_account = account.m_name;
  request.m_fingerprint = static_cast<std::uint64_t>(m_next_request);
  request.m_deadline = m_now + std::chrono::seconds(5);
  m_result.m_accounts[account.m_name].m_arrivals.push_back(Seconds());
  m_open[request.m_request_id] = {account.m_name, Seconds(), false, node};
  Post(node, DispatchArrived{request, 1});
}

void QuotaFleet::Post(int node, const Event& event) {
  NodeState& state = m_nodes[static_cast<std::size_t>(node)];
  if (!state.m_reducer) return;
  if (state.m_frozen) {
    state.m_frozen_events.push_back(event);
    return;
  }
  for (const Effect& effect : state.m_reducer->Reduce(event, m_now)) {
    std::visit([&](const auto& item) { Apply(node, item); }, effect);
  }
}

void QuotaFleet::Apply(int node, const StartAttempt& effect) {
  const auto open = m_open.find(effect.m_request_id);
  if (open != m_open.end() && !std::exchange(open->second.m_ran, true)) {
    QuotaAccountResult& account = m_result.m_accounts[open->second.m_account];
    account.m_runs.push_back(Seconds());
    const double wait = Seconds() - open->second.m_arrived;
    account.m_longest_wait = std::max(account.m_longest_wait, wait);
    if (wait > kWaitTolerance) ++account.m_waited;
  }
  AttemptEnded ended;
  ended.m_result.m_request_id = effect.m_request_id;
  ended.m_result.m_part = "work";
  ended.m_result.m_attempt = effect.m_attempt;
  ended.m_result.m_latency = FromSeconds(kServiceTime);
  ended.m_result.m_status = 200;
  const int life = m_nodes[static_cast<std::size_t>(node)].m_life;
  After(kServiceTime, [this, node, life, ended] {
    if (m_nodes[static_cast<std::size_t>(node)].m_life == life) Post(node, ended);
  });
}

void QuotaFleet::Apply(int, const ReportConfiguration& effect) {
  if (!effect.m_problem.empty()) throw std::logic_error(effect.m_problem);
}

void QuotaFleet::Apply(int, const FinishRequest& effect) {
  const auto open = m_open.extract(effect.m_request_id);
  if (open.empty()) return;
  QuotaAccountResult& account = m_result.m_accounts[open.mapped().m_account];
  const bool limited = effect.m_code == static_cast<std::int64_t>(ResultCode::kRateLimited);
  ++(limited ? account.m_refused : account.m_other_ends);
  if (limited && open.mapped().m_ran) ++m_result.m_false_not_run;
}

void QuotaFleet::Apply(int, const DeliverResponse& effect) { m_open.erase(effect.m_request_id); }

void QuotaFleet::Apply(int node, const SendGossip& effect) {
  const std::string datagram = EncodeGossip(effect.m_message, "key");
  if (Seconds() >= m_pattern.m_load_from && Seconds() < m_pattern.m_load_until)
    m_result.m_bytes[node] += datagram.size();
  const int to = static_cast<int>(effect.m_port - kGossipPort);
  if (to < 0 || to >= m_pattern.m_nodes || UniformRandom() < m_pattern.m_datagram_loss) return;
  const bool partitioned = m_pattern.m_partition_from > 0 && Seconds() >= m_pattern.m_partition_from &&
                           Seconds() < m_pattern.m_partition_until;
  if (partitioned && node % 2 != to % 2) return;
  const double spread = m_pattern.m_most_delay - m_pattern.m_least_delay;
  const int life = m_nodes[static_cast<std::size_t>(to)].m_life;
  const GossipReceived received{"127.0.0.1", kGossipPort + node, *DecodeGossip(datagram, {"key"})};
  After(m_pattern.m_least_delay + spread * UniformRandom(), [this, to, life, received] {
    if (m_nodes[static_cast<std::size_t>(to)].m_life == life) Post(to, received);
  });
}

}  // namespace fescueramp
