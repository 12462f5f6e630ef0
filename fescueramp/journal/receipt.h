#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Fields of one decision that a caller gets with its response.
struct Receipt {
  std::string m_request_id;
  std::string m_dispatcher;
  std::int64_t m_sequence = 0;
  std::int64_t m_revision = 0;
  Instant m_arrival{};
  Instant m_decided{};
  std::string m_service;
  std::string m_class_name;
  OrderRule m_rule = OrderRule::kArrival;
  std::string m_endpoint;
};
BOOST_DESCRIBE_STRUCT(Receipt, (),
                      (m_request_id, m_dispatcher, m_sequence, m_revision, m_arrival, m_decided, m_class_name,
                       m_rule, m_endpoint))

/// Makes a receipt from the fields of a decision and their HMAC-SHA-256 under `key`. Only the key is needed
/// to verify it, so a receipt outlives all nodes.
std::string MakeReceipt(const DecisionRecord& record, std::string_view key);

/// Parses a receipt made with one of `keys`; nothing if it was altered or made with another key.
std::optional<Receipt> VerifyReceipt(std::string_view text, const std::vector<std::string>& keys);

/// Partial decision record for when the dispatcher's record is lost. A receipt holds no class states and no
/// requests that were passed over.
DecisionRecord RecordFromReceipt(const Receipt& receipt);

}  // namespace fescueramp
