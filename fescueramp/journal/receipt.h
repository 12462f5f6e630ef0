#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Facts of one decision that a caller keeps with its answer.
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

/// Makes a receipt that holds up after every node is gone: the facts with a code made with `key`.
std::string MakeReceipt(const DecisionRecord& record, std::string_view key);

/// Facts of a receipt made with one of `keys`; nothing when it was altered or made with another key.
std::optional<Receipt> VerifyReceipt(std::string_view text, const std::vector<std::string>& keys);

/// What a receipt tells of a decision when the dispatcher's own record is gone: no class states, nobody
/// passed over.
DecisionRecord RecordFromReceipt(const Receipt& receipt);

}  // namespace fescueramp
