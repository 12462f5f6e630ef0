#include "fescueramp/dispatch/endpoint_constraints.h"

#include <algorithm>
#include <cmath>
#include <utility>

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
/// Exceeds the time for which an endpoint that is leaving may stay listed.
constexpr Duration kLeavingRetention = std::chrono::hours(1);

}  // namespace

bool EndpointConstraints::Observe(const std::string& endpoint, std::int64_t started_ms,
                                  const EndpointStatement& statement, Instant sent, Instant now) {
  if (statement.m_kind == StatementKind::kNone) return false;
  const auto found = m_entries.find(endpoint);
  const bool constrains = statement.m_limit_per_s || statement.m_leaving || statement.m_pause > Duration(0);
  if (found == m_entries.end() && !constrains) return false;
  Entry& entry = found == m_entries.end() ? m_entries[endpoint] : found->second;
  Restart(entry, started_ms);
  const bool starts_leaving = statement.m_leaving && SetLeaving(entry, now);
  const bool pauses = statement.m_pause > Duration(0) && Pause(entry, now + statement.m_pause);
  if (pauses) entry.m_own_pause_until = entry.m_constraint.m_paused_until;
  return ObserveLimit(entry, statement, sent, now) || starts_leaving || pauses;
}

bool EndpointConstraints::ObserveLimit(Entry& entry, const EndpointStatement& statement, Instant sent,
                                       Instant now) {
  const std::optional<double> limit = statement.m_limit_per_s;
  // A field that can't be read may have been the limit, so its absence means nothing.
  if (statement.m_kind != StatementKind::kValid && !limit) return false;
  const bool lower =
      limit && (!entry.m_constraint.m_limit_per_s || *limit < *entry.m_constraint.m_limit_per_s);
  if (!lower && sent <= entry.m_received) return false;
  const bool changed = limit != entry.m_constraint.m_limit_per_s;
  // A request has just been answered, so the first interval begins now.
  if (limit && !entry.m_constraint.m_limit_per_s) entry.m_pace = now;
  entry.m_constraint.m_limit_per_s = limit;
  entry.m_received = now;
  entry.m_last_sent = std::max(entry.m_last_sent, sent);
  return changed;
}

void EndpointConstraints::Restart(Entry& entry, std::int64_t started_ms) {
  if (entry.m_started_ms >= started_ms) return;
  entry = {};
  entry.m_started_ms = started_ms;
}

bool EndpointConstraints::SetLeaving(Entry& entry, Instant now) {
  if (std::exchange(entry.m_constraint.m_leaving, true)) return false;
  entry.m_leaving_since = now;
  return true;
}

bool EndpointConstraints::Pause(Entry& entry, Instant until) {
  if (until <= entry.m_constraint.m_paused_until) return false;
  entry.m_constraint.m_paused_until = until;
  return true;
}

bool EndpointConstraints::Merge(const AnnouncedConstraint& constraint, const std::string& node,
                                std::int64_t version, Instant now) {
  const std::optional<double> limit = constraint.m_limit_per_s;
  if (limit && (!std::isfinite(*limit) || *limit < 0)) return false;
  Entry& entry = m_entries[constraint.m_endpoint];
  if (constraint.m_started_ms < entry.m_started_ms) return false;
  Restart(entry, constraint.m_started_ms);
  Sender& sender = entry.m_senders[node];
  if (version <= sender.m_version && now - sender.m_received < kSenderTimeout) return false;
  sender = {version, now, limit.has_value()};
  const bool starts_leaving = constraint.m_leaving && SetLeaving(entry, now);
  const auto pause = std::chrono::milliseconds(
      std::clamp<std::int64_t>(constraint.m_pause_ms, 0, WholeMilliseconds(kMaxPause)));
  const bool pauses = pause.count() > 0 && Pause(entry, now + pause);
  return (limit && MergeLimit(entry, *limit, now)) || starts_leaving || pauses;
}

bool EndpointConstraints::MergeLimit(Entry& entry, double limit, Instant now) {
  const bool unlimited = !entry.m_constraint.m_limit_per_s;
  if (unlimited ? now - entry.m_received < kResponsePrecedence : limit >= *entry.m_constraint.m_limit_per_s)
    return false;
  if (unlimited) entry.m_pace = now;
  entry.m_constraint.m_limit_per_s = limit;
  entry.m_received = now;
  return true;
}

std::optional<AnnouncedConstraint> EndpointConstraints::ToAnnounce(const std::string& endpoint,
                                                                   Instant now) const {
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return std::nullopt;
  const Entry& entry = found->second;
  AnnouncedConstraint constraint{endpoint, entry.m_started_ms};
  if (now - entry.m_last_sent < kSenderTimeout) constraint.m_limit_per_s = entry.m_constraint.m_limit_per_s;
  // Nodes that don't notice a restart would keep telling each other that the endpoint is leaving.
  constraint.m_leaving = entry.m_constraint.m_leaving && entry.m_started_ms > 0;
  // Only what the endpoint stated to this node, as nodes would prolong each other's pauses otherwise.
  constraint.m_pause_ms = std::max<std::int64_t>(0, WholeMilliseconds(entry.m_own_pause_until - now));
  const bool constrains = constraint.m_limit_per_s || constraint.m_leaving || constraint.m_pause_ms > 0;
  if (!constrains) return std::nullopt;
  return constraint;
}

bool EndpointConstraints::IsSender(const Sender& sender, Instant now) {
  return sender.m_has_limit && now - sender.m_received < kSenderTimeout;
}

std::set<std::string> EndpointConstraints::Senders(Instant now) const {
  std::set<std::string> nodes;
  for (const auto& [endpoint, entry] : m_entries) {
    for (const auto& [node, sender] : entry.m_senders) {
      if (IsSender(sender, now)) nodes.insert(node);
    }
  }
  return nodes;
}

Duration EndpointConstraints::IntervalOf(const Entry& entry, Instant now) {
  const auto others = std::count_if(entry.m_senders.begin(), entry.m_senders.end(),
                                    [&](const auto& item) { return IsSender(item.second, now); });
  const double limit = *entry.m_constraint.m_limit_per_s / static_cast<double>(others + 1);
  return limit * ToSeconds(kMaxInterval) > 1 ? FromSeconds(1 / limit) : kMaxInterval;
}

const EndpointConstraints::Entry* EndpointConstraints::Find(const std::string& endpoint,
                                                            std::int64_t started_ms) const {
  if (m_entries.empty()) return nullptr;
  const auto found = m_entries.find(endpoint);
  return found == m_entries.end() || found->second.m_started_ms < started_ms ? nullptr : &found->second;
}

bool EndpointConstraints::MaySend(const std::string& endpoint, std::int64_t started_ms, Instant now) const {
  const Entry* entry = Find(endpoint, started_ms);
  if (!entry) return true;
  if (entry->m_constraint.m_leaving || now < entry->m_constraint.m_paused_until) return false;
  return !entry->m_constraint.m_limit_per_s || now - entry->m_pace >= IntervalOf(*entry, now);
}

EndpointConstraints::Constraint EndpointConstraints::Get(const std::string& endpoint,
                                                         std::int64_t started_ms) const {
  const Entry* entry = Find(endpoint, started_ms);
  return entry ? entry->m_constraint : Constraint{};
}

void EndpointConstraints::RecordSend(const std::string& endpoint, Instant now) {
  if (m_entries.empty()) return;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.m_last_sent = now;
  if (entry.m_constraint.m_limit_per_s)
    entry.m_pace = std::max(entry.m_pace + IntervalOf(entry, now), now - kCatchUp);
}

void EndpointConstraints::Expire(Instant now) {
  std::erase_if(m_entries, [&](const auto& item) {
    const Entry& entry = item.second;
    // Without its start time, a restart of the endpoint would not be noticed.
    if (entry.m_constraint.m_leaving)
      return now - entry.m_leaving_since > (entry.m_started_ms > 0 ? kLeavingRetention : kRetention);
    Instant last = std::max({entry.m_received, entry.m_last_sent, entry.m_constraint.m_paused_until});
    for (const auto& [node, sender] : entry.m_senders) last = std::max(last, sender.m_received);
    return now - last > kRetention;
  });
}

}  // namespace fescueramp
