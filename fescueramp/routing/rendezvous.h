#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fescueramp {

/// Orders nodes by highest-random-weight hashing, the owner of `key` first.
/// A join or leave moves only the keys of the node concerned.
/// Source: D. Thaler, C. Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
std::vector<std::string> RendezvousOrder(std::string_view key, const std::vector<std::string>& nodes);

/// A node with its weight.
struct WeightedNode {
  std::string m_node;
  double m_weight = 1;  ///< Above 0.
};

/// Orders nodes by weighted rendezvous hashing: each is first for a share of the keys proportional to its
/// weight. Source: J. Resch, "New Hashing Algorithms for Data Storage", 2015 (weighted rendezvous hashing).
std::vector<std::string> WeightedRendezvousOrder(std::string_view key,
                                                 const std::vector<WeightedNode>& nodes);

/// The first node of RendezvousOrder, or an empty name when there is none.
std::string RendezvousOwner(std::string_view key, const std::vector<std::string>& nodes);

}  // namespace fescueramp
