#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/membership/member.h"

namespace fescueramp {

/// Encodes a datagram and appends a code of authenticity made with `key`.
std::string EncodeGossip(const GossipMessage& message, std::string_view key);

/// Decodes a datagram; nothing when it is malformed or made with none of `keys`.
/// Several keys let a fleet change its key without a restart.
std::optional<GossipMessage> DecodeGossip(std::string_view datagram, const std::vector<std::string>& keys);

}  // namespace fescueramp
