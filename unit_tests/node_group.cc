#include "unit_tests/node_group.h"

namespace fescueramp {

NodeGroup::NodeGroup(int count) {
  m_nodes.resize(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) Restart(i);
}

NodeSettings NodeGroup::MakeSettings(int node) const {
  NodeSettings settings;
  const auto incarnation =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_now.time_since_epoch()).count();
  settings.m_self = {"n" + std::to_string(node),
                     MemberState::kAlive,
                     incarnation,
                     "127.0.0.1",
                     PortOf(node),
                     0,
                     "az" + std::to_string(node % 4),
                     "region"};
  settings.m_seeds = {{"127.0.0.1", PortOf(0)}, {"127.0.0.1", PortOf(1)}};
  settings.m_random_seed = node + 1;
  return settings;
}

void NodeGroup::Restart(int node) {
  NodeState& item = m_nodes[Index(node)];
  item.m_reducer = std::make_unique<NodeReducer>(MakeSettings(node));
  item.m_text.clear();
}

void NodeGroup::Record(int node, std::ostream& out) {
  Restart(node);
  m_nodes[Index(node)].m_trace = std::make_unique<TraceWriter>(out, MakeSettings(node));
}

Effects NodeGroup::Post(int node, const Event& event) {
  NodeState& item = m_nodes[Index(node)];
  if (!item.m_reducer) return {};
  const Effects effects = item.m_reducer->Reduce(event, m_now);
  if (item.m_trace) item.m_trace->Write(event, m_now, effects);
  if (node == m_collect_node) m_collected.insert(m_collected.end(), effects.begin(), effects.end());
  ApplyEffects(node, effects);
  return effects;
}

void NodeGroup::ApplyEffects(int node, const Effects& effects) {
  for (const auto& effect : effects) {
    if (const auto* send = std::get_if<SendGossip>(&effect)) {
      m_datagrams.push_back({node, static_cast<int>(send->m_port) - PortOf(0), send->m_message});
    } else if (std::holds_alternative<ReportMember>(effect)) {
      ++m_member_reports;
    } else if (const auto* fetch = std::get_if<FetchConfiguration>(&effect)) {
      const NodeState& source = m_nodes[Index(std::stoi(fetch->m_node.substr(1)))];
      if (source.m_reducer && source.m_reducer->Revision() > 0) {
        Load(node, source.m_reducer->Revision(), std::string(source.m_text));
      } else {
        Post(node, ConfigurationFailed{});
      }
    } else if (const auto* get = std::get_if<StoreGet>(&effect)) {
      if (const auto response = m_store.Apply(*get)) Post(node, *response);
    } else if (const auto* put = std::get_if<StorePut>(&effect)) {
      if (const auto response = m_store.Apply(*put)) Post(node, *response);
    }
  }
}

void NodeGroup::Load(int node, std::int64_t revision, const std::string& text) {
  NodeState& item = m_nodes[Index(node)];
  const std::int64_t before = item.m_reducer->Revision();
  if (revision > before) item.m_text = text;
  Post(node, ConfigurationLoaded{revision, {text}});
}

void NodeGroup::DeliverDatagrams() {
  while (!m_datagrams.empty()) {
    const Datagram datagram = std::move(m_datagrams.front());
    m_datagrams.pop_front();
    if (Index(datagram.m_to) >= m_nodes.size()) continue;
    const bool lost =
        m_blocked_links.contains({datagram.m_from, datagram.m_to}) || m_nodes[Index(datagram.m_to)].m_paused;
    if (!lost) Post(datagram.m_to, GossipReceived{"127.0.0.1", PortOf(datagram.m_from), datagram.m_message});
  }
}

void NodeGroup::Run(Duration span) {
  const Instant end = m_now + span;
  while (m_now < end) {
    m_now += std::chrono::milliseconds(50);
    for (int i = 0; i < static_cast<int>(m_nodes.size()); ++i) {
      if (!m_nodes[Index(i)].m_paused) Post(i, Tick{});
    }
    DeliverDatagrams();
  }
}

Effects NodeGroup::RunAndCollect(int node, Duration span) {
  m_collect_node = node;
  Run(span);
  m_collect_node = -1;
  return std::exchange(m_collected, {});
}

std::vector<std::string> NodeGroup::AliveMembers(int node) {
  std::vector<std::string> alive;
  for (const auto& [name, member] : Node(node).Members().Members()) {
    if (member.m_state == MemberState::kAlive) alive.push_back(name);
  }
  return alive;
}

}  // namespace fescueramp
