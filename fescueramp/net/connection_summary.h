#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/net/framing_limits.h"

namespace fescueramp {

/// Why a server connection ended.
enum class ConnectionEnd {
  kClientClosed,     ///< The client closed it, or it broke.
  kIdle,             ///< No request was pending.
  kLastResponse,     ///< A response announced the close.
  kResponseMissing,  ///< A request ended without a complete response.
  kMemory,           ///< Closed because the node held too much, and its client made no progress.
};

template <>
struct EnumTable<ConnectionEnd> {
  static constexpr std::array<std::string_view, 5> kNames = {"client_closed", "idle", "last_response",
                                                             "response_missing", "memory"};
};

/// What a server connection carried.
struct ConnectionSummary {
  std::uint64_t m_connection = 0;  ///< Number of the connection at its server.
  ConnectionEnd m_end = ConnectionEnd::kClientClosed;
  std::int64_t m_requests = 0;        ///< Requests that were accepted.
  std::int64_t m_responses = 0;       ///< Complete responses that were written.
  std::size_t m_discarded_bytes = 0;  ///< Bytes that came behind the last request and were not read as one.
  ExceededLimit m_exceeded_limit = ExceededLimit::kNone;  ///< Limit that its last request exceeds.
};

}  // namespace fescueramp
