#pragma once

#include <cstdint>

namespace fescueramp {

/// Number of bytes that the peer's system has sent and acknowledged on a connection; 0 if that is unknown.
/// Grows as long as the peer sends, or reads what is sent to it.
std::uint64_t ClientBytes(int socket);

}  // namespace fescueramp
