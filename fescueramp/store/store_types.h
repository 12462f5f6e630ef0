#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

#include "fescueramp/core/enum_table.h"

/// Operations on the platform's key-value store: effects that request them and the event with the response.
namespace fescueramp {

/// Outcome of a store operation.
enum class StoreStatus {
  kOk,
  kConflict,     ///< The version was not the expected one; nothing was written.
  kNotFound,     ///< There is no such key.
  kUnavailable,  ///< No response; a write may have taken effect or may still do so.
};

template <>
struct EnumTable<StoreStatus> {
  static constexpr std::array<std::string_view, 4> kNames = {"ok", "conflict", "not_found", "unavailable"};
};

/// Reads a key.
struct StoreGet {
  static constexpr const char* kType = "store_get";
  std::int64_t m_operation = 0;
  std::string m_key;
};
BOOST_DESCRIBE_STRUCT(StoreGet, (), (m_operation, m_key))

/// Writes a key if its version is the expected one.
struct StorePut {
  static constexpr const char* kType = "store_put";
  std::int64_t m_operation = 0;
  std::string m_key;
  std::int64_t m_expected_version = 0;  ///< 0 if the key must not exist.
  std::string m_value;
};
BOOST_DESCRIBE_STRUCT(StorePut, (), (m_operation, m_key, m_expected_version, m_value))

/// Deletes a key regardless of its version.
struct StoreDelete {
  static constexpr const char* kType = "store_delete";
  std::int64_t m_operation = 0;
  std::string m_key;
};
BOOST_DESCRIBE_STRUCT(StoreDelete, (), (m_operation, m_key))

/// Response to one operation.
struct StoreResponded {
  static constexpr const char* kType = "store_answered";
  std::int64_t m_operation = 0;
  StoreStatus m_status = StoreStatus::kOk;
  std::int64_t m_version = 0;  ///< Version after the operation, or the one found on a conflict.
  std::string m_value;         ///< Value that was read by a StoreGet.
};
BOOST_DESCRIBE_STRUCT(StoreResponded, (), (m_operation, m_status, m_version, m_value))

}  // namespace fescueramp
