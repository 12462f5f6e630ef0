#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fescueramp {

/// 64-bit xxHash (XXH64) of a text, which is the same on every node.
std::uint64_t Hash64(std::string_view text, std::uint64_t seed = 0);

/// Lower-case hexadecimal SHA-256 of a text.
std::string Sha256Hex(std::string_view text);

/// Lower-case hexadecimal HMAC-SHA-256 of a text, truncated to `hex_digits` digits.
std::string HmacHex(std::string_view key, std::string_view text, std::size_t hex_digits = 64);

/// Compares two texts in time that depends only on their lengths.
bool EqualInConstantTime(std::string_view a, std::string_view b);

}  // namespace fescueramp
