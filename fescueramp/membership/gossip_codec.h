#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/membership/member.h"

namespace fescueramp {

/// Encodes a datagram, preceded by its HMAC-SHA-256 with `key`, cut to 128 bits.
std::string EncodeGossip(const GossipMessage& message, std::string_view key);

/// Decodes a datagram; returns nothing when it is malformed or authenticated with none of `keys`.
/// Several keys allow a fleet to change its key without a restart.
std::optional<GossipMessage> DecodeGossip(std::string_view datagram, const std::vector<std::string>& keys);

}  // namespace fescueramp
