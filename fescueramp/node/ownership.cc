#include "fescueramp/node/ownership.h"

#include "fescueramp/core/hash.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {

std::string Ownership::GroupOf(const std::string& service) const {
  return std::to_string(Hash64(service) % static_cast<std::uint64_t>(m_groups));
}

const std::vector<std::string>& Ownership::OrderOf(const std::string& service) const {
  if (m_version != m_membership.CandidatesVersion()) {
    m_orders.clear();
    m_version = m_membership.CandidatesVersion();
  }
  const auto [found, added] = m_orders.try_emplace(GroupOf(service));
  if (added) found->second = RendezvousOrder("group/" + found->first, m_membership.OwnerCandidates());
  return found->second;
}

std::string Ownership::Owner(const std::string& service) const {
  if (m_alone) return m_membership.Self().m_node;
  const auto& order = OrderOf(service);
  return order.empty() ? std::string() : order.front();
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

std::string Ownership::ReachableOwner(const std::string& service, Instant now) {
  if (m_alone) return m_membership.Self().m_node;
  for (const auto& node : OrderOf(service)) {
    if (Reachable(node, now)) return node;
  }
  return {};
}

}  // namespace fescueramp
