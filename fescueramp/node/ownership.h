#pragma once

#include <map>
#include <string>
#include <vector>

#include "fescueramp/config/service_part.h"
#include "fescueramp/core/time.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {

/// Says which node dispatches a service: the first live one in rendezvous order that this node can reach.
/// Soft state: two nodes that differ for a moment cost slots and order, never safety.
class Ownership {
 public:
  /// @param alone Whether this node owns every service itself.
  Ownership(const Membership& membership, std::int64_t groups, bool alone)
      : m_membership(membership), m_groups(groups), m_alone(alone) {}

  /// Group of services that share a dispatcher and a claim log.
  std::string GroupOf(const std::string& service) const;

  /// Owner by membership alone. A zone's part belongs to a node of that zone as long as it has one.
  std::string Owner(const ServicePart& part) const;

  /// The first node in order that is not known to be out of reach; empty when there is none.
  /// A node out of reach gets one request as a trial now and then; the others pass it by until that is
  /// answered.
  std::string ReachableOwner(const ServicePart& part, Instant now);

  /// Nodes before this one in the order of the part.
  std::int64_t NodesBefore(const ServicePart& part, const std::string& node) const;

  /// Notes that a node could not be reached from here. The mark lasts while others suspect the node as well.
  void MarkUnreachable(const std::string& node, Instant now) { m_unreachable[node] = now + kUnreachableTime; }
  void MarkReachable(const std::string& node) { m_unreachable.erase(node); }

 private:
  static constexpr Duration kUnreachableTime = std::chrono::seconds(3);

  bool Reachable(const std::string& node, Instant now);
  std::vector<WeightedNode> Candidates() const;
  std::vector<std::string> MakeOrder(const std::string& group, const std::string& zone) const;
  const std::vector<std::string>& OrderOf(const ServicePart& part) const;

  const Membership& m_membership;
  std::int64_t m_groups;
  bool m_alone;
  std::map<std::string, Instant> m_unreachable;
  mutable std::int64_t m_version = -1;
  mutable std::map<std::string, std::vector<std::string>>
      m_orders;  ///< By group and zone, for one version of the members.
};

}  // namespace fescueramp
