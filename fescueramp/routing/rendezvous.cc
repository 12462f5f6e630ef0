#include "fescueramp/routing/rendezvous.h"

#include <algorithm>
#include <cmath>

#include "fescueramp/core/hash.h"

namespace fescueramp {
namespace {

/// Upper bound of 53-bit hashes, which a double holds exactly.
constexpr double kHashRange = 9007199254740993.0;

struct HashedNode {
  std::uint64_t m_weight;
  const std::string* m_node;

  bool operator<(const HashedNode& other) const {
    return m_weight != other.m_weight ? m_weight > other.m_weight : *m_node < *other.m_node;
  }
};

HashedNode HashNode(std::uint64_t key_hash, const std::string& node) {
  return {Hash64(node, key_hash), &node};
}

}  // namespace

std::vector<std::string> RendezvousOrder(std::string_view key, const std::vector<std::string>& nodes) {
  const std::uint64_t key_hash = Hash64(key);
  std::vector<HashedNode> hashed;
  hashed.reserve(nodes.size());
  for (const auto& node : nodes) hashed.push_back(HashNode(key_hash, node));
  std::sort(hashed.begin(), hashed.end());
  std::vector<std::string> order;
  order.reserve(nodes.size());
  for (const auto& item : hashed) order.push_back(*item.m_node);
  return order;
}

std::vector<std::string> WeightedRendezvousOrder(std::string_view key,
                                                 const std::vector<WeightedNode>& nodes) {
  const std::uint64_t key_hash = Hash64(key);
  std::vector<std::pair<double, std::string>> scores;
  scores.reserve(nodes.size());
  for (const auto& node : nodes) {
    const double hash = static_cast<double>(Hash64(node.m_node, key_hash) >> 11) + 1;
    scores.emplace_back(-std::log(hash / kHashRange) / node.m_weight, node.m_node);
  }
  std::sort(scores.begin(), scores.end());
  std::vector<std::string> order;
  order.reserve(scores.size());
  for (auto& [score, node] : scores) order.push_back(std::move(node));
  return order;
}

std::string RendezvousOwner(std::string_view key, const std::vector<std::string>& nodes) {
  const std::uint64_t key_hash = Hash64(key);
  std::string owner;
  HashedNode best{0, nullptr};
  for (const auto& node : nodes) {
    if (const HashedNode candidate = HashNode(key_hash, node); !best.m_node || candidate < best)
      best = candidate;
  }
  return best.m_node ? *best.m_node : owner;
}

}  // namespace fescueramp
