#include "fescueramp/journal/journal.h"

#include <algorithm>
#include <utility>

namespace fescueramp {
namespace {

/// Request id that the entry host assigned, without the suffix that numbers the forwards.
std::string BaseId(const std::string& request_id) { return request_id.substr(0, request_id.find('.')); }

}  // namespace

void Journal::Add(DecisionRecord record) {
  const std::string id = BaseId(record.m_request_id);
  auto& records = m_records[id];
  const auto same = [&](const DecisionRecord& other) {
    return other.m_dispatcher == record.m_dispatcher && other.m_sequence == record.m_sequence;
  };
  if (std::any_of(records.begin(), records.end(), same)) return;
  records.push_back(std::move(record));
  m_order.push_back(id);
  if (m_order.size() <= m_capacity) return;
  const auto oldest = m_records.find(m_order.front());
  oldest->second.erase(oldest->second.begin());
  if (oldest->second.empty()) m_records.erase(oldest);
  m_order.pop_front();
}

std::vector<DecisionRecord> Journal::Find(const std::string& request_id) const {
  const auto found = m_records.find(BaseId(request_id));
  return found == m_records.end() ? std::vector<DecisionRecord>() : found->second;
}

void Journal::AddReceipt(const std::string& request_id, const std::string& receipt) {
  if (!m_receipts.emplace(request_id, receipt).second) return;
  m_receipt_order.push_back(request_id);
  if (m_receipt_order.size() <= m_capacity) return;
  m_receipts.erase(m_receipt_order.front());
  m_receipt_order.pop_front();
}

std::string Journal::FindReceipt(const std::string& request_id) const {
  const auto found = m_receipts.find(request_id);
  return found == m_receipts.end() ? std::string() : found->second;
}

}  // namespace fescueramp
