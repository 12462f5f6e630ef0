#pragma once

#include <map>
#include <optional>
#include <string>

#include "fescueramp/claims/claim_log.h"

namespace fescueramp {

/// In-memory store with compare-and-swap that can be unavailable or lose the response to a write.
class FakeStore {
 public:
  /// Applies an operation and returns its response; a lost response is returned as kUnavailable.
  std::optional<StoreResponded> Apply(const StoreEffect& effect) {
    return std::visit([&](const auto& item) { return Run(item); }, effect);
  }

  void SetDown(bool down) { m_down = down; }
  void LoseNextResponse() { m_lose_next_response = true; }
  void Set(const std::string& key, const std::string& text) { m_values[key] = {++m_version, text}; }
  int Writes() const { return m_writes; }
  std::size_t Keys() const { return m_values.size(); }

 private:
  struct Value {
    std::int64_t m_version = 0;
    std::string m_text;
  };

  std::optional<StoreResponded> Run(const StoreGet& get) {
    if (m_down) return StoreResponded{get.m_operation, StoreStatus::kUnavailable, 0, {}};
    const auto found = m_values.find(get.m_key);
    if (found == m_values.end()) return StoreResponded{get.m_operation, StoreStatus::kNotFound, 0, {}};
    return StoreResponded{get.m_operation, StoreStatus::kOk, found->second.m_version, found->second.m_text};
  }

  std::optional<StoreResponded> Run(const StorePut& put) {
    if (m_down) return StoreResponded{put.m_operation, StoreStatus::kUnavailable, 0, {}};
    ++m_writes;
    const auto found = m_values.find(put.m_key);
    const std::int64_t version = found == m_values.end() ? 0 : found->second.m_version;
    if (version != put.m_expected_version)
      return StoreResponded{put.m_operation, StoreStatus::kConflict, version, {}};
    m_values[put.m_key] = {++m_version, put.m_value};
    if (std::exchange(m_lose_next_response, false))
      return StoreResponded{put.m_operation, StoreStatus::kUnavailable, 0, {}};
    return StoreResponded{put.m_operation, StoreStatus::kOk, m_version, {}};
  }

  std::optional<StoreResponded> Run(const StoreDelete& erase) {
    if (m_down) return StoreResponded{erase.m_operation, StoreStatus::kUnavailable, 0, {}};
    m_values.erase(erase.m_key);
    return StoreResponded{erase.m_operation, StoreStatus::kOk, 0, {}};
  }

  std::map<std::string, Value> m_values;
  std::int64_t m_version = 0;
  int m_writes = 0;
  bool m_down = false;
  bool m_lose_next_response = false;
};

}  // namespace fescueramp
