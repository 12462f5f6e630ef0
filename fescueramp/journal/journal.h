#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Most recent decisions of a dispatcher and most recent receipts of an entry host, in bounded memory.
class Journal {
 public:
  /// @param capacity Maximum number of records, and also of receipts; the oldest are removed first.
  explicit Journal(std::size_t capacity) : m_capacity(capacity) {}

  /// Adds a record, unless the journal holds a record of the same decision.
  void Add(DecisionRecord record);

  /// Records of one request and of its later forwards, in the order in which they were added.
  std::vector<DecisionRecord> Find(const std::string& request_id) const;

  /// Adds the receipt that a caller got with its response, unless the journal holds one for the request.
  void AddReceipt(const std::string& request_id, const std::string& receipt);

  /// Receipt of one request; empty if the journal holds none.
  std::string FindReceipt(const std::string& request_id) const;

  /// Number of decision records.
  std::size_t Size() const { return m_order.size(); }

 private:
  std::size_t m_capacity;
  std::unordered_map<std::string, std::vector<DecisionRecord>> m_records;  ///< By request id without suffix.
  std::deque<std::string> m_order;                          ///< Request id of each record, the oldest first.
  std::unordered_map<std::string, std::string> m_receipts;  ///< By request id.
  std::deque<std::string> m_receipt_order;                  ///< Request id of each receipt, the oldest first.
};

}  // namespace fescueramp
