#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fescueramp {

/// Names of the enumerators of an enumeration. Specialize it with an array `kNames`, indexed by enumerator
/// value.
template <typename E>
struct EnumTable;

/// Name of an enumerator, or "invalid" if the value is outside the table.
template <typename E>
constexpr std::string_view EnumName(E value) {
  const auto index = static_cast<std::size_t>(value);
  return index < EnumTable<E>::kNames.size() ? EnumTable<E>::kNames[index] : std::string_view("invalid");
}

/// Enumerator with the given name, or nothing if there is none.
template <typename E>
constexpr std::optional<E> EnumFromName(std::string_view name) {
  for (std::size_t i = 0; i < EnumTable<E>::kNames.size(); ++i) {
    if (EnumTable<E>::kNames[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

}  // namespace fescueramp
