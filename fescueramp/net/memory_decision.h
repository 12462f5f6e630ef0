#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "fescueramp/core/enum_table.h"

namespace fescueramp {

/// What a node holds for others and what it may hold.
struct MemoryLoad {
  std::size_t m_held = 0;      ///< Bytes held.
  std::size_t m_reserved = 0;  ///< Bytes that the responses to requests in progress may add.
  std::size_t m_budget = 0;    ///< Bytes that may be held; 0 for no budget.
};

/// Whether a new request is accepted.
enum class MemoryAdmission {
  kAdmit,         ///< The request is accepted.
  kRefuseBodies,  ///< Requests with a body are refused.
  kRefuseAll,     ///< All new requests are refused.
};

template <>
struct EnumTable<MemoryAdmission> {
  static constexpr std::array<std::string_view, 3> kNames = {"admit", "refuse_bodies", "refuse_all"};
};

/// Bytes that a response may hold before it begins.
inline constexpr std::size_t kExpectedResponseBytes = 256 * 1024;

/// Decides about a new request. Answers the load of many callers that send bodies slowly, or don't read their
/// responses: each holds little, so that only the sum can be limited.
/// @param added_bytes Bytes that the request adds to what is held.
MemoryAdmission DecideAdmission(const MemoryLoad& load, std::size_t added_bytes, bool has_body);

/// Whether a connection may have a further request in progress. Answers callers that send many requests at
/// once without reading the responses; the requests are all accepted before the first response is held.
bool MayPipeline(const MemoryLoad& load);

/// Whether connections may have to be closed, so that their progress must be watched.
bool MustWatchConnections(const MemoryLoad& load);

/// A caller's connection, as far as the choice of connections to close needs it.
struct HeldConnection {
  std::uint64_t m_id = 0;
  std::size_t m_held = 0;                  ///< Bytes held for it.
  bool m_waits_for_client = false;         ///< Whether the next step is the client's: to send or to read.
  std::chrono::milliseconds m_stalled{0};  ///< Time for which the client has neither sent nor read.
};

/// Chooses the connections to close, those first that hold most and have been without progress longest.
/// Answers the load of callers whose requests are accepted and who then stop to send or to read. Never
/// chooses a connection that waits for this node or an endpoint, or whose client makes progress.
std::vector<std::uint64_t> ChooseConnectionsToClose(const MemoryLoad& load,
                                                    std::vector<HeldConnection> connections);

}  // namespace fescueramp
