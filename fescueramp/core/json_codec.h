#pragma once

#include <boost/describe.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/error.h"
#include "fescueramp/core/time.h"

/// Conversion of structs in Boost.Describe lists to and from JSON. Keys are member names without the `m_`
/// prefix.
namespace fescueramp {

namespace json = boost::json;

template <typename T>
json::value ToJson(const T& value);
template <typename T>
T FromJson(const json::value& value);

namespace json_codec_detail {

template <typename T>
struct IsVector : std::false_type {};
template <typename T>
struct IsVector<std::vector<T>> : std::true_type {};
template <typename T>
struct IsOptional : std::false_type {};
template <typename T>
struct IsOptional<std::optional<T>> : std::true_type {};
template <typename T>
struct IsMap : std::false_type {};
template <typename T>
struct IsMap<std::map<std::string, T>> : std::true_type {};
template <typename T>
struct IsDuration : std::false_type {};
template <typename R, typename P>
struct IsDuration<std::chrono::duration<R, P>> : std::true_type {};

/// JSON key of a member: the member's name without the `m_` prefix.
inline std::string_view KeyOf(const char* member) {
  std::string_view name(member);
  return name.substr(0, 2) == "m_" ? name.substr(2) : name;
}

template <typename T>
using Members =
    boost::describe::describe_members<T, boost::describe::mod_public | boost::describe::mod_inherited>;

}  // namespace json_codec_detail

/// Converts a value to JSON.
template <typename T>
json::value ToJson(const T& value) {
  namespace detail = json_codec_detail;
  if constexpr (std::is_same_v<T, json::value>) {
    return value;
  } else if constexpr (std::is_enum_v<T>) {
    return json::string(EnumName(value));
  } else if constexpr (detail::IsVector<T>::value) {
    json::array array;
    array.reserve(value.size());
    for (const auto& item : value) array.push_back(ToJson(item));
    return array;
  } else if constexpr (detail::IsOptional<T>::value) {
    return value ? ToJson(*value) : json::value(nullptr);
  } else if constexpr (detail::IsMap<T>::value) {
    json::object object;
    for (const auto& [key, item] : value) object[key] = ToJson(item);
    return object;
  } else if constexpr (detail::IsDuration<T>::value) {
    return value.count();
  } else if constexpr (std::is_same_v<T, Instant>) {
    return value.time_since_epoch().count();
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    json::object object;
    boost::mp11::mp_for_each<detail::Members<T>>(
        [&](auto member) { object[detail::KeyOf(member.name)] = ToJson(value.*member.pointer); });
    return object;
  } else if constexpr (std::is_unsigned_v<T> && !std::is_same_v<T, bool>) {
    return static_cast<std::uint64_t>(value);
  } else {
    return json::value(value);
  }
}

/// Converts a value to JSON in which described structs are arrays of their members in order. It is a third of
/// the size of ToJson and is used for messages between nodes. New members must be added at the end of a
/// struct, because their position identifies them.
template <typename T>
json::value ToCompactJson(const T& value) {
  namespace detail = json_codec_detail;
  if constexpr (detail::IsVector<T>::value) {
    json::array array;
    for (const auto& item : value) array.push_back(ToCompactJson(item));
    return array;
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    json::array array;
    boost::mp11::mp_for_each<detail::Members<T>>(
        [&](auto member) { array.push_back(ToCompactJson(value.*member.pointer)); });
    return array;
  } else {
    return ToJson(value);
  }
}

/// Converts JSON from ToJson or ToCompactJson to a value. Absent members keep their defaults.
/// @throws Error with kMalformedRequest if a value has the wrong type.
template <typename T>
T FromJson(const json::value& value) {
  namespace detail = json_codec_detail;
  if constexpr (std::is_same_v<T, json::value>) {
    return value;
  } else if constexpr (std::is_enum_v<T>) {
    const auto* text = value.if_string();
    const auto parsed = text ? EnumFromName<T>(std::string_view(*text)) : std::nullopt;
    if (!parsed) throw Error(ResultCode::kMalformedRequest, "unknown value " + json::serialize(value));
    return *parsed;
  } else if constexpr (detail::IsVector<T>::value) {
    const auto* array = value.if_array();
    if (!array) throw Error(ResultCode::kMalformedRequest, "expected an array");
    T items;
    items.reserve(array->size());
    for (const auto& item : *array) items.push_back(FromJson<typename T::value_type>(item));
    return items;
  } else if constexpr (detail::IsOptional<T>::value) {
    if (value.is_null()) return std::nullopt;
    return FromJson<typename T::value_type>(value);
  } else if constexpr (detail::IsMap<T>::value) {
    const auto* object = value.if_object();
    if (!object) throw Error(ResultCode::kMalformedRequest, "expected an object");
    T items;
    for (const auto& [key, item] : *object) items[std::string(key)] = FromJson<typename T::mapped_type>(item);
    return items;
  } else if constexpr (detail::IsDuration<T>::value) {
    return T(FromJson<std::int64_t>(value));
  } else if constexpr (std::is_same_v<T, Instant>) {
    return Instant(Duration(FromJson<std::int64_t>(value)));
  } else if constexpr (boost::describe::has_describe_members<T>::value) {
    const auto* object = value.if_object();
    const auto* array = value.if_array();
    if (!object && !array) throw Error(ResultCode::kMalformedRequest, "expected an object");
    T result{};
    std::size_t index = 0;
    boost::mp11::mp_for_each<detail::Members<T>>([&](auto member) {
      const auto* item =
          object ? object->if_contains(detail::KeyOf(member.name)) : array->if_contains(index++);
      if (item) {
        using Member = std::remove_reference_t<decltype(result.*member.pointer)>;
        result.*member.pointer = FromJson<Member>(*item);
      }
    });
    return result;
  } else {
    boost::json::error_code ec;
    if constexpr (std::is_same_v<T, bool>) {
      if (const auto* flag = value.if_bool()) return *flag;
    } else if constexpr (std::is_floating_point_v<T>) {
      if (const auto number = value.to_number<T>(ec); !ec) return number;
    } else if constexpr (std::is_integral_v<T>) {
      if (const auto number = value.to_number<T>(ec); !ec) return number;
    } else {
      if (const auto* text = value.if_string()) return T(*text);
    }
    throw Error(ResultCode::kMalformedRequest,
                "value of the wrong type: " + json::serialize(value).substr(0, 80));
  }
}

/// Converts a variant of described structs to an object whose "type" is the `kType` of the alternative.
template <typename V>
json::value VariantToJson(const V& variant) {
  return std::visit(
      [](const auto& item) {
        json::value value = ToJson(item);
        value.as_object()["type"] = std::decay_t<decltype(item)>::kType;
        return value;
      },
      variant);
}

/// Inverse of VariantToJson.
/// @throws Error with kMalformedRequest if "type" is not the `kType` of an alternative.
template <typename V, std::size_t I = 0>
V VariantFromJson(const json::value& value) {
  if constexpr (I == std::variant_size_v<V>) {
    throw Error(ResultCode::kMalformedRequest, "unknown type in " + json::serialize(value).substr(0, 80));
  } else {
    using Item = std::variant_alternative_t<I, V>;
    const auto* object = value.if_object();
    const auto* type = object ? object->if_contains("type") : nullptr;
    if (type && type->is_string() && type->get_string() == Item::kType) return FromJson<Item>(value);
    return VariantFromJson<V, I + 1>(value);
  }
}

/// Parses JSON text, which may contain comments and trailing commas.
/// @throws Error with `code` and the line number if the text is not valid JSON.
json::value ParseJson(std::string_view text, ResultCode code = ResultCode::kMalformedRequest);

}  // namespace fescueramp
