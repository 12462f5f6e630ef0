#include "fescueramp/dispatch/endpoint_constraints.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

/// Longest time without a request to an endpoint. A response is the only way to learn that a limit has ended.
constexpr Duration kMaxInterval = std::chrono::seconds(5);
/// Delay of requests that later ones may make up for. Queued requests start with ticks, which are less
/// frequent than the requests that a high limit allows.
constexpr Duration kCatchUp = std::chrono::milliseconds(100);
/// Time after the last request or announcement for which a node counts as a sender.
constexpr Duration kSenderTimeout = std::chrono::seconds(3);
/// Time for which a response without a limit goes before announcements, which may have been sent earlier.
constexpr Duration kResponsePrecedence = std::chrono::seconds(1);
constexpr Duration kRetention = std::chrono::minutes(1);

}  // namespace

bool EndpointConstraints::Observe(const std::string& endpoint, std::int64_t started_ms,
                                  const EndpointStatement& statement, Instant sent, Instant now) {
  if (statement.m_kind != StatementKind::kValid) return false;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end() && !statement.m_limit_per_s) return false;
  Entry& entry = found == m_entries.end() ? m_entries[endpoint] : found->second;
  if (entry.m_started_ms != started_ms) entry = {};
  entry.m_started_ms = started_ms;
  const std::optional<double> limit = statement.m_limit_per_s;
  const bool lower = limit && (!entry.m_limit_per_s || *limit < *entry.m_limit_per_s);
  if (!lower && sent <= entry.m_received) return false;
  const bool changed = limit != entry.m_limit_per_s;
  // A request has just been answered, so the first interval begins now.
  if (limit && !entry.m_limit_per_s) entry.m_pace = now;
  entry.m_limit_per_s = limit;
  entry.m_received = now;
  entry.m_last_sent = std::max(entry.m_last_sent, sent);
  return changed;
}

bool EndpointConstraints::Merge(const AnnouncedConstraint& limit, const std::string& node,
                                std::int64_t version, Instant now) {
  if (!std::isfinite(limit.m_per_s) || limit.m_per_s < 0) return false;
  Entry& entry = m_entries[limit.m_endpoint];
  if (limit.m_started_ms < entry.m_started_ms) return false;
  if (limit.m_started_ms > entry.m_started_ms) entry = {};
  entry.m_started_ms = limit.m_started_ms;
  Sender& sender = entry.m_senders[node];
  if (version <= sender.m_version && now - sender.m_received < kSenderTimeout) return false;
  sender = {version, now};
  const bool unlimited = !entry.m_limit_per_s;
  if (unlimited ? now - entry.m_received < kResponsePrecedence : limit.m_per_s >= *entry.m_limit_per_s)
    return false;
  if (unlimited) entry.m_pace = now;
  entry.m_limit_per_s = limit.m_per_s;
  entry.m_received = now;
  return true;
}

std::optional<AnnouncedConstraint> EndpointConstraints::ToAnnounce(const std::string& endpoint,
                                                                   Instant now) const {
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return std::nullopt;
  const Entry& entry = found->second;
  if (!entry.m_limit_per_s || now - entry.m_last_sent >= kSenderTimeout) return std::nullopt;
  return AnnouncedConstraint{endpoint, entry.m_started_ms, *entry.m_limit_per_s};
}

std::set<std::string> EndpointConstraints::Senders(Instant now) const {
  std::set<std::string> nodes;
  for (const auto& [endpoint, entry] : m_entries) {
    for (const auto& [node, sender] : entry.m_senders) {
      if (now - sender.m_received < kSenderTimeout) nodes.insert(node);
    }
  }
  return nodes;
}

Duration EndpointConstraints::IntervalOf(const Entry& entry, Instant now) {
  const auto others = std::count_if(entry.m_senders.begin(), entry.m_senders.end(), [&](const auto& item) {
    return now - item.second.m_received < kSenderTimeout;
  });
  const double limit = *entry.m_limit_per_s / static_cast<double>(others + 1);
  return limit * ToSeconds(kMaxInterval) > 1 ? FromSeconds(1 / limit) : kMaxInterval;
}

bool EndpointConstraints::MaySend(const std::string& endpoint, Instant now) const {
  if (m_entries.empty()) return true;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end() || !found->second.m_limit_per_s) return true;
  return now - found->second.m_pace >= IntervalOf(found->second, now);
}

void EndpointConstraints::RecordSend(const std::string& endpoint, Instant now) {
  if (m_entries.empty()) return;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.m_last_sent = now;
  if (entry.m_limit_per_s) entry.m_pace = std::max(entry.m_pace + IntervalOf(entry, now), now - kCatchUp);
}

std::optional<double> EndpointConstraints::LimitOf(const std::string& endpoint) const {
  const auto found = m_entries.find(endpoint);
  return found == m_entries.end() ? std::nullopt : found->second.m_limit_per_s;
}

void EndpointConstraints::Expire(Instant now) {
  std::erase_if(m_entries, [&](const auto& item) {
    Instant last = std::max(item.second.m_received, item.second.m_last_sent);
    for (const auto& [node, sender] : item.second.m_senders) last = std::max(last, sender.m_received);
    return now - last > kRetention;
  });
}

}  // namespace fescueramp
