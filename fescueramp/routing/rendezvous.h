#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace fescueramp {

/// Orders nodes by highest-random-weight hashing, the owner of `key` first.
/// A join or leave moves only the keys of the node concerned.
/// Source: D. Thaler, C. Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
std::vector<std::string> RendezvousOrder(std::string_view key, const std::vector<std::string>& nodes);

/// The first node of RendezvousOrder, or an empty name when there is none.
std::string RendezvousOwner(std::string_view key, const std::vector<std::string>& nodes);

}  // namespace fescueramp
