#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescueramp {

/// Lower-case copy of an ASCII text.
std::string ToLower(std::string_view text);

/// Parses a duration such as "1500ms" or "2.5s" to milliseconds; nothing if the text has another form or the
/// duration is longer than 1e12 ms.
std::optional<double> ParseMilliseconds(std::string_view text);

/// Parses a decimal number of 0 or more, such as "3" or "0.25", without sign and exponent; nothing if the
/// text has another form or the number is not finite.
std::optional<double> ParseDecimal(std::string_view text);

/// IP address and TCP port of a socket.
struct SocketAddress {
  std::string m_address;
  std::int64_t m_port = 0;
};

/// Parses "ADDRESS:PORT"; nothing if the text has another form.
std::optional<SocketAddress> ParseSocketAddress(std::string_view text);

}  // namespace fescueramp
