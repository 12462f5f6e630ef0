#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Last decision records that a node made or was told of, in bounded memory.
class Journal {
 public:
  /// @param capacity Records kept; older ones are forgotten.
  explicit Journal(std::size_t capacity) : m_capacity(capacity) {}

  void Add(DecisionRecord record);

  /// Records of one request in order of decision; those of its later forwards included.
  std::vector<DecisionRecord> Find(const std::string& request_id) const;

  std::size_t Size() const { return m_order.size(); }

 private:
  std::size_t m_capacity;
  std::map<std::string, std::vector<DecisionRecord>> m_records;
  std::deque<std::string> m_order;
};

}  // namespace fescueramp
