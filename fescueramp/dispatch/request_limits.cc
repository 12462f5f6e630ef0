#include "fescueramp/dispatch/request_limits.h"

#include <algorithm>

namespace fescueramp {
namespace {

/// Longest time without a request to an endpoint. A response is the only way to learn that a limit has ended.
constexpr Duration kMaxInterval = std::chrono::seconds(5);
/// Delay of requests that later ones may make up for. Queued requests start with ticks, which are less
/// frequent than the requests that a high limit allows.
constexpr Duration kCatchUp = std::chrono::milliseconds(100);
constexpr Duration kRetention = std::chrono::minutes(1);

}  // namespace

bool RequestLimits::Observe(const std::string& endpoint, std::int64_t started_ms,
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
  return changed;
}

Duration RequestLimits::IntervalOf(const Entry& entry) {
  const double limit = *entry.m_limit_per_s;
  return limit * ToSeconds(kMaxInterval) > 1 ? FromSeconds(1 / limit) : kMaxInterval;
}

bool RequestLimits::MaySend(const std::string& endpoint, Instant now) const {
  if (m_entries.empty()) return true;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end() || !found->second.m_limit_per_s) return true;
  return now - found->second.m_pace >= IntervalOf(found->second);
}

void RequestLimits::RecordSend(const std::string& endpoint, Instant now) {
  if (m_entries.empty()) return;
  const auto found = m_entries.find(endpoint);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  entry.m_last_sent = now;
  if (entry.m_limit_per_s) entry.m_pace = std::max(entry.m_pace + IntervalOf(entry), now - kCatchUp);
}

std::optional<double> RequestLimits::LimitOf(const std::string& endpoint) const {
  const auto found = m_entries.find(endpoint);
  return found == m_entries.end() ? std::nullopt : found->second.m_limit_per_s;
}

void RequestLimits::Expire(Instant now) {
  std::erase_if(m_entries, [&](const auto& item) {
    return now - std::max(item.second.m_received, item.second.m_last_sent) > kRetention;
  });
}

}  // namespace fescueramp
