#include "fescueramp/core/text.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fescueramp {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMillisecondsPerSecond = 1000;
/// About 31 years; the sum with any time of a clock stays in the range of Duration.
constexpr double kMaxMilliseconds = 1e12;

}  // namespace

std::string ToLower(std::string_view text) {
  std::string lower(text);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return lower;
}

std::optional<double> ParseMilliseconds(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc{}) return std::nullopt;
  const std::string_view unit(parsed, static_cast<std::size_t>(end - parsed));
  if (unit == "s")
    value *= kMillisecondsPerSecond;
  else if (unit != "ms")
    return std::nullopt;
  const bool valid = value >= 0 && value <= kMaxMilliseconds;
  return valid ? std::optional(value) : std::nullopt;
}

std::optional<double> ParseDecimal(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value, std::chars_format::fixed);
  const bool valid = error == std::errc{} && parsed == end && std::isfinite(value) && !std::signbit(value);
  return valid ? std::optional(value) : std::nullopt;
}

std::optional<SocketAddress> ParseSocketAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return std::nullopt;
  SocketAddress socket;
  socket.m_address = std::string(text.substr(0, colon));
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, socket.m_port);
  if (error != std::errc{} || parsed != end || socket.m_port < 1 || socket.m_port > kMaxPort)
    return std::nullopt;
  return socket;
}

}  // namespace fescueramp
