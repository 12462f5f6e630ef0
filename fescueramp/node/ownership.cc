#include "fescueramp/node/ownership.h"

#include <algorithm>

#include "fescueramp/core/hash.h"

namespace fescueramp {

std::string Ownership::GroupOf(const std::string& service) const {
  return std::to_string(Hash64(service) % static_cast<std::uint64_t>(m_groups));
}

std::vector<WeightedNode> Ownership::WeightedCandidates() const {
  std::vector<WeightedNode> nodes;
  for (const auto& name : m_membership.OwnerCandidates()) {
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, m_membership.Members().at(name).m_capacity));
    // A host of twice the capacity is four times as likely to be the owner, because few services share a host
    // and some of them are large.
    nodes.push_back({name, capacity * capacity});
  }
  return nodes;
}

std::vector<std::string> Ownership::ComputeOrder(const std::string& group, const std::string& zone) const {
  std::vector<std::string> order = WeightedRendezvousOrder("group/" + group, WeightedCandidates());
  if (zone.empty()) return order;
  std::stable_partition(order.begin(), order.end(), [&](const std::string& node) {
    return m_membership.Members().at(node).m_zone == zone;
  });
  return order;
}

const std::vector<std::string>& Ownership::OwnerOrder(const ServicePart& part) const {
  if (m_orders_version != m_membership.CandidatesVersion()) {
    m_orders.clear();
    m_orders_version = m_membership.CandidatesVersion();
  }
  const std::string group = GroupOf(part.m_service);
  const auto [found, added] = m_orders.try_emplace(PartName({group, part.m_zone}));
  if (added) found->second = ComputeOrder(group, part.m_zone);
  return found->second;
}

std::string Ownership::Owner(const ServicePart& part) const {
  if (m_owns_all) return m_membership.Self().m_node;
  const auto& order = OwnerOrder(part);
  return order.empty() ? std::string() : order.front();
}

std::vector<std::string> Ownership::FirstOwners(const ServicePart& part, std::size_t count) const {
  if (m_owns_all) return {m_membership.Self().m_node};
  const auto& order = OwnerOrder(part);
  return {order.begin(), order.begin() + static_cast<std::ptrdiff_t>(std::min(count, order.size()))};
}

std::int64_t Ownership::OwnerRank(const ServicePart& part, const std::string& node) const {
  if (m_owns_all) return 0;
  const auto& order = OwnerOrder(part);
  return std::find(order.begin(), order.end(), node) - order.begin();
}

bool Ownership::ShouldTry(const std::string& node, Instant now) {
  const auto mark = m_unreachable_until.find(node);
  if (mark == m_unreachable_until.end()) return true;
  const auto member = m_membership.Members().find(node);
  const bool suspect =
      member != m_membership.Members().end() && member->second.m_state == MemberState::kSuspect;
  if (mark->second > now || suspect) return false;
  mark->second = now + kUnreachableTimeout;
  return true;
}

std::string Ownership::ReachableOwner(const ServicePart& part, Instant now) {
  if (m_owns_all) return m_membership.Self().m_node;
  for (const auto& node : OwnerOrder(part)) {
    if (ShouldTry(node, now)) return node;
  }
  return {};
}

}  // namespace fescueramp
