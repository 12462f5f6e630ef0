#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Last decisions of a dispatcher and last receipts of an entry host, in bounded memory.
class Journal {
 public:
  /// @param capacity Records kept, and receipts kept; older ones are forgotten.
  explicit Journal(std::size_t capacity) : m_capacity(capacity) {}

  void Add(DecisionRecord record);

  /// Records of one request in order of decision; those of its later forwards included.
  std::vector<DecisionRecord> Find(const std::string& request_id) const;

  /// Keeps the receipt that went to a caller with its answer.
  void AddReceipt(const std::string& request_id, const std::string& receipt);

  /// Receipt of one request, or an empty text.
  std::string FindReceipt(const std::string& request_id) const;

  std::size_t Size() const { return m_order.size(); }

 private:
  std::size_t m_capacity;
  std::unordered_map<std::string, std::vector<DecisionRecord>> m_records;
  std::deque<std::string> m_order;
  std::unordered_map<std::string, std::string> m_receipts;
  std::deque<std::string> m_receipt_order;
};

}  // namespace fescueramp
