#pragma once

#include <map>
#include <string>
#include <vector>

#include "fescueramp/config/service_part.h"
#include "fescueramp/core/time.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {

/// Determines which node dispatches a service: the first live node in rendezvous order that is reachable from
/// here. This is soft state: nodes that briefly disagree about it may exceed slots and serve out of order,
/// but non-repeatable work stays safe.
class Ownership {
 public:
  /// @param alone Whether this node owns every service itself.
  Ownership(const Membership& membership, std::int64_t groups, bool owns_all)
      : m_membership(membership), m_groups(groups), m_owns_all(owns_all) {}

  /// Group of services that share an owner and a claim log.
  std::string GroupOf(const std::string& service) const;

  /// Owner by membership alone, reachable or not. The owner of a zone's part is a node of that zone if it has
  /// one; empty when there are no candidates.
  std::string Owner(const ServicePart& part) const;

  /// The first node in the owner order that is not marked as unreachable; empty when there is none.
  /// When the mark of a node expires, one request is sent to it as a trial and the mark is renewed, so that
  /// other requests skip the node until the trial has succeeded.
  std::string ReachableOwner(const ServicePart& part, Instant now);

  /// The first nodes in the owner order of a part, reachable or not, at most `count`.
  std::vector<std::string> FirstOwners(const ServicePart& part, std::size_t count) const;

  /// Number of nodes before `node` in the owner order of a part.
  std::int64_t OwnerRank(const ServicePart& part, const std::string& node) const;

  /// Marks a node that could not be reached from here. The mark stays while the fleet suspects the node too.
  void MarkUnreachable(const std::string& node, Instant now) {
    m_unreachable_until[node] = now + kUnreachableTimeout;
  }
  void MarkReachable(const std::string& node) { m_unreachable_until.erase(node); }

 private:
  static constexpr Duration kUnreachableTimeout = std::chrono::seconds(3);

  /// Whether a request may be sent to the node; renews an expired mark.
  bool ShouldTry(const std::string& node, Instant now);
  std::vector<WeightedNode> WeightedCandidates() const;
  std::vector<std::string> ComputeOrder(const std::string& group, const std::string& zone) const;
  const std::vector<std::string>& OwnerOrder(const ServicePart& part) const;

  const Membership& m_membership;
  std::int64_t m_groups;
  bool m_owns_all;
  std::map<std::string, Instant> m_unreachable_until;
  mutable std::int64_t m_orders_version = -1;
  /// By group and zone, for m_orders_version of the candidates.
  mutable std::map<std::string, std::vector<std::string>> m_orders;
};

}  // namespace fescueramp
