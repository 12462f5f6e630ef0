#include "fescueramp/membership/gossip_codec.h"

#include <algorithm>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMacHexDigits = 32;  ///< Digits of the message authentication code: 128 bits.

/// Encodes a member as an array in a fixed order, which halves the datagram.
json::value MemberToArray(const Member& m) {
  return json::array{m.m_node,        static_cast<std::int64_t>(m.m_state),
                     m.m_incarnation, m.m_address,
                     m.m_gossip_port, m.m_link_port,
                     m.m_zone,        m.m_region,
                     m.m_capacity};
}

Member MemberFromArray(const json::value& value) {
  const json::array& a = value.as_array();
  Member m;
  m.m_node = FromJson<std::string>(a.at(0));
  const auto state = FromJson<std::int64_t>(a.at(1));
  if (state < 0 || state > static_cast<std::int64_t>(MemberState::kDead)) {
    throw Error(ResultCode::kMalformedRequest, "unknown member state");
  }
  m.m_state = static_cast<MemberState>(state);
  m.m_incarnation = FromJson<std::int64_t>(a.at(2));
  m.m_address = FromJson<std::string>(a.at(3));
  m.m_gossip_port = FromJson<std::int64_t>(a.at(4));
  m.m_link_port = FromJson<std::int64_t>(a.at(5));
  m.m_zone = FromJson<std::string>(a.at(6));
  m.m_region = FromJson<std::string>(a.at(7));
  if (a.size() > 8) m.m_capacity = FromJson<std::int64_t>(a[8]);
  return m;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message, std::string_view key) {
  json::array updates;
  for (const auto& member : message.m_updates) updates.push_back(MemberToArray(member));
  json::array body{static_cast<std::int64_t>(message.m_kind),
                   message.m_from,
                   message.m_probe,
                   message.m_target,
                   message.m_revision,
                   std::move(updates),
                   message.m_digest};
  // A field that follows others needs them, as its position identifies it.
  const bool has_quotas = !message.m_quota_asks.empty() || !message.m_quota_grants.empty();
  const bool has_crash_records = !message.m_crash_records.empty() || has_quotas;
  const bool has_constraints = !message.m_constraints.empty() || has_crash_records;
  if (message.m_leaving_version > 0 || has_constraints) {
    body.push_back(message.m_leaving_version);
    body.push_back(ToJson(message.m_leaving_endpoints));
  }
  if (has_constraints) {
    body.push_back(message.m_constraints_version);
    body.push_back(ToCompactJson(message.m_constraints));
  }
  if (has_crash_records) body.push_back(ToCompactJson(message.m_crash_records));
  if (has_quotas) {
    body.push_back(ToCompactJson(message.m_quota_asks));
    body.push_back(ToCompactJson(message.m_quota_grants));
  }
  const std::string text = json::serialize(body);
  return HmacHex(key, text, kMacHexDigits) + text;
}

std::optional<GossipMessage> DecodeGossip(std::string_view datagram, const std::vector<std::string>& keys) {
  if (datagram.size() < kMacHexDigits) return std::nullopt;
  const std::string_view mac = datagram.substr(0, kMacHexDigits);
  const std::string_view text = datagram.substr(kMacHexDigits);
  const bool authentic = std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return EqualInConstantTime(mac, HmacHex(key, text, kMacHexDigits));
  });
  if (!authentic) return std::nullopt;
  try {
    const json::value value = ParseJson(text);
    const json::array& body = value.as_array();
    GossipMessage message;
    const auto kind = FromJson<std::int64_t>(body.at(0));
    if (kind < 0 || kind > static_cast<std::int64_t>(GossipKind::kJoin)) return std::nullopt;
    message.m_kind = static_cast<GossipKind>(kind);
    message.m_from = FromJson<std::string>(body.at(1));
    message.m_probe = FromJson<std::int64_t>(body.at(2));
    message.m_target = FromJson<std::string>(body.at(3));
    message.m_revision = FromJson<std::int64_t>(body.at(4));
    for (const auto& item : body.at(5).as_array()) message.m_updates.push_back(MemberFromArray(item));
    message.m_digest = FromJson<std::int64_t>(body.at(6));
    if (body.size() > 8) {
      message.m_leaving_version = FromJson<std::int64_t>(body.at(7));
      message.m_leaving_endpoints = FromJson<std::vector<std::string>>(body.at(8));
    }
    if (body.size() > 10) {
      message.m_constraints_version = FromJson<std::int64_t>(body.at(9));
      message.m_constraints = FromJson<std::vector<AnnouncedConstraint>>(body.at(10));
    }
    if (body.size() > 11) message.m_crash_records = FromJson<std::vector<AnnouncedCrashRecord>>(body.at(11));
    if (body.size() > 13) {
      message.m_quota_asks = FromJson<std::vector<QuotaAsk>>(body.at(12));
      message.m_quota_grants = FromJson<std::vector<QuotaGrant>>(body.at(13));
    }
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace fescueramp
