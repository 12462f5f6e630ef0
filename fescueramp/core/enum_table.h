#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace fescueramp {

/// Table of names of an enumeration; specialise it with `kNames`, indexed by enumerator value.
template <typename E>
struct EnumTable;

/// Name of an enumerator, or "invalid" when the value is outside the table.
template <typename E>
constexpr std::string_view EnumName(E value) {
  const auto index = static_cast<std::size_t>(value);
  return index < EnumTable<E>::kNames.size() ? EnumTable<E>::kNames[index] : std::string_view("invalid");
}

/// Enumerator with the given name, or nothing when no enumerator has it.
template <typename E>
constexpr std::optional<E> EnumFromName(std::string_view name) {
  for (std::size_t i = 0; i < EnumTable<E>::kNames.size(); ++i) {
    if (EnumTable<E>::kNames[i] == name) return static_cast<E>(i);
  }
  return std::nullopt;
}

}  // namespace fescueramp
