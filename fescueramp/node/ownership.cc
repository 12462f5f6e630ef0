#include "fescueramp/node/ownership.h"

#include <algorithm>

#include "fescueramp/core/hash.h"

namespace fescueramp {

std::string Ownership::GroupOf(const std::string& service) const {
  return std::to_string(Hash64(service) % static_cast<std::uint64_t>(m_groups));
}

std::vector<WeightedNode> Ownership::Candidates() const {
  std::vector<WeightedNode> nodes;
  for (const auto& name : m_membership.OwnerCandidates()) {
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, m_membership.Members().at(name).m_capacity));
    // A host that bears twice as much is four times as likely: few services share one, and some are large.
    nodes.push_back({name, capacity * capacity});
  }
  return nodes;
}

std::vector<std::string> Ownership::MakeOrder(const std::string& group, const std::string& zone) const {
  std::vector<std::string> order = WeightedRendezvousOrder("group/" + group, Candidates());
  if (zone.empty()) return order;
  std::stable_partition(order.begin(), order.end(), [&](const std::string& node) {
    return m_membership.Members().at(node).m_zone == zone;
  });
  return order;
}

const std::vector<std::string>& Ownership::OrderOf(const ServicePart& part) const {
  if (m_version != m_membership.CandidatesVersion()) {
    m_orders.clear();
    m_version = m_membership.CandidatesVersion();
  }
  const std::string group = GroupOf(part.m_service);
  const auto [found, added] = m_orders.try_emplace(PartName({group, part.m_zone}));
  if (added) found->second = MakeOrder(group, part.m_zone);
  return found->second;
}

std::string Ownership::Owner(const ServicePart& part) const {
  if (m_alone) return m_membership.Self().m_node;
  const auto& order = OrderOf(part);
  return order.empty() ? std::string() : order.front();
}

std::int64_t Ownership::NodesBefore(const ServicePart& part, const std::string& node) const {
  if (m_alone) return 0;
  const auto& order = OrderOf(part);
  return std::find(order.begin(), order.end(), node) - order.begin();
}

bool Ownership::Reachable(const std::string& node, Instant now) {
  const auto mark = m_unreachable.find(node);
  if (mark == m_unreachable.end()) return true;
  const auto member = m_membership.Members().find(node);
  const bool suspect =
      member != m_membership.Members().end() && member->second.m_state == MemberState::kSuspect;
  if (mark->second > now || suspect) return false;
  mark->second = now + kUnreachableTime;
  return true;
}

std::string Ownership::ReachableOwner(const ServicePart& part, Instant now) {
  if (m_alone) return m_membership.Self().m_node;
  for (const auto& node : OrderOf(part)) {
    if (Reachable(node, now)) return node;
  }
  return {};
}

}  // namespace fescueramp
