#include "fescueramp/journal/receipt.h"

#include <boost/algorithm/string.hpp>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMacDigits = 32;
constexpr std::size_t kFieldCount = 11;  ///< Format version and ten fields of the decision.

std::int64_t UnixMicroseconds(Instant instant) { return instant.time_since_epoch().count(); }

}  // namespace

std::string MakeReceipt(const DecisionRecord& record, std::string_view key) {
  const std::vector<std::string> fields = {"v1",
                                           record.m_request_id,
                                           record.m_dispatcher,
                                           std::to_string(record.m_sequence),
                                           std::to_string(record.m_revision),
                                           std::to_string(UnixMicroseconds(record.m_arrival)),
                                           std::to_string(UnixMicroseconds(record.m_decided)),
                                           record.m_service,
                                           record.m_class_name,
                                           std::string(EnumName(record.m_rule)),
                                           record.m_endpoint};
  const std::string text = boost::algorithm::join(fields, ";");
  return text + ";" + HmacHex(key, text, kMacDigits);
}

std::optional<Receipt> VerifyReceipt(std::string_view text, const std::vector<std::string>& keys) {
  const std::size_t cut = text.rfind(';');
  if (cut == std::string_view::npos) return std::nullopt;
  const std::string_view signed_text = text.substr(0, cut);
  const bool authentic = std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return EqualInConstantTime(text.substr(cut + 1), HmacHex(key, signed_text, kMacDigits));
  });
  if (!authentic) return std::nullopt;
  std::vector<std::string> fields;
  boost::algorithm::split(fields, signed_text, [](char c) { return c == ';'; });
  if (fields.size() != kFieldCount || fields[0] != "v1") return std::nullopt;
  Receipt receipt;
  receipt.m_request_id = fields[1];
  receipt.m_dispatcher = fields[2];
  receipt.m_sequence = std::stoll(fields[3]);
  receipt.m_revision = std::stoll(fields[4]);
  receipt.m_arrival = Instant(Duration(std::stoll(fields[5])));
  receipt.m_decided = Instant(Duration(std::stoll(fields[6])));
  receipt.m_service = fields[7];
  receipt.m_class_name = fields[8];
  receipt.m_rule = EnumFromName<OrderRule>(fields[9]).value_or(OrderRule::kArrival);
  receipt.m_endpoint = fields[10];
  return receipt;
}

DecisionRecord RecordFromReceipt(const Receipt& receipt) {
  DecisionRecord record;
  record.m_request_id = receipt.m_request_id;
  record.m_dispatcher = receipt.m_dispatcher;
  record.m_sequence = receipt.m_sequence;
  record.m_revision = receipt.m_revision;
  record.m_arrival = receipt.m_arrival;
  record.m_decided = receipt.m_decided;
  record.m_service = receipt.m_service;
  record.m_class_name = receipt.m_class_name;
  record.m_rule = receipt.m_rule;
  record.m_endpoint = receipt.m_endpoint;
  return record;
}

}  // namespace fescueramp
