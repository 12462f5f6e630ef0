#include "fescueramp/net/memory_decision.h"

#include <algorithm>

namespace fescueramp {
namespace {

using std::chrono::milliseconds;

// Shares of the budget. Bodies come first, since one holds up to 256 KiB here and at the dispatcher, and a
// request without one a few KiB. The rest is for the responses to requests accepted before.
constexpr double kRefuseBodiesShare = 0.5;
constexpr double kRefuseAllShare = 0.75;
constexpr double kCloseShare = 0.9;

/// Time without progress after which a connection may be closed while all new requests are refused: the
/// callers refused meanwhile lose more.
constexpr milliseconds kStallWhileRefusing{5000};
/// The same past the share at which connections are closed: longer than TCP's first retransmissions.
constexpr milliseconds kStallWhileClosing{1000};
/// The same when nothing is left of the budget: a round trip between regions.
constexpr milliseconds kStallWhenFull{200};

bool Exceeds(std::size_t bytes, const MemoryLoad& load, double share) {
  return load.m_budget > 0 && static_cast<double>(bytes) > share * static_cast<double>(load.m_budget);
}

milliseconds MinStall(const MemoryLoad& load) {
  if (Exceeds(load.m_held, load, 1)) return kStallWhenFull;
  return Exceeds(load.m_held, load, kCloseShare) ? kStallWhileClosing : kStallWhileRefusing;
}

double Rank(const HeldConnection& connection) {
  return static_cast<double>(connection.m_held) * static_cast<double>(connection.m_stalled.count());
}

}  // namespace

MemoryAdmission DecideAdmission(const MemoryLoad& load, std::size_t added_bytes, bool has_body) {
  const std::size_t bytes = load.m_held + added_bytes;
  if (Exceeds(bytes, load, kRefuseAllShare)) return MemoryAdmission::kRefuseAll;
  if (has_body && Exceeds(bytes, load, kRefuseBodiesShare)) return MemoryAdmission::kRefuseBodies;
  return MemoryAdmission::kAdmit;
}

bool MayPipeline(const MemoryLoad& load) {
  return !Exceeds(load.m_held + load.m_reserved + kExpectedResponseBytes, load, kRefuseBodiesShare);
}

bool MustWatchConnections(const MemoryLoad& load) { return Exceeds(load.m_held, load, kRefuseAllShare); }

std::vector<std::uint64_t> ChooseConnectionsToClose(const MemoryLoad& load,
                                                    std::vector<HeldConnection> connections) {
  std::vector<std::uint64_t> chosen;
  if (!MustWatchConnections(load)) return chosen;
  const milliseconds min_stall = MinStall(load);
  std::erase_if(connections, [&](const HeldConnection& connection) {
    return !connection.m_waits_for_client || connection.m_held == 0 || connection.m_stalled < min_stall;
  });
  std::stable_sort(connections.begin(), connections.end(),
                   [](const auto& a, const auto& b) { return Rank(a) > Rank(b); });
  // Closes until new requests are accepted again.
  std::size_t held = load.m_held;
  for (const auto& connection : connections) {
    if (!Exceeds(held, load, kRefuseAllShare)) break;
    chosen.push_back(connection.m_id);
    held -= std::min(held, connection.m_held);
  }
  return chosen;
}

}  // namespace fescueramp
