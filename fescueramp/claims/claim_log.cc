#include "fescueramp/claims/claim_log.h"

#include <algorithm>
#include <cassert>
#include <iterator>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

/// A store write without a response may take effect up to this long after the claim was requested.
constexpr Duration kMaxLateWriteDelay = std::chrono::minutes(10);

std::int64_t UnixSeconds(Instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

/// Parses stored JSON text; nothing if it is malformed.
template <typename T>
std::optional<T> TryParse(const std::string& text) {
  try {
    return FromJson<T>(ParseJson(text));
  } catch (const Error&) {
    return std::nullopt;
  }
}

}  // namespace

ClaimLog::ClaimLog(std::string group, std::string node, ClaimSettings settings, std::int64_t& operations)
    : m_group(std::move(group)), m_node(std::move(node)), m_settings(settings), m_operations(operations) {}

std::uint64_t ClaimLog::ClaimId(const std::string& request_id) const {
  // The hash includes the node, since a request can reach two dispatchers under the same request id.
  return Hash64(m_node + "/" + request_id);
}

std::int64_t ClaimLog::ExpiryOf(Instant now) const { return UnixSeconds(now + m_settings.m_window); }

void ClaimLog::Respond(const PendingClaim& claim, ClaimVerdict verdict, std::int64_t status) {
  m_responses.push_back({claim.m_request_id, verdict, status});
}

void ClaimLog::Claim(std::uint64_t key, const std::string& request_id, Instant now) {
  const auto same_key = [&](const PendingClaim& other) { return other.m_key == key && !other.m_timed_out; };
  const PendingClaim claim{key, request_id, now, false};
  if (std::any_of(m_pending_claims.begin(), m_pending_claims.end(), same_key) ||
      std::any_of(m_writing_claims.begin(), m_writing_claims.end(), same_key)) {
    return Respond(claim, ClaimVerdict::kInProgress);
  }
  m_pending_claims.push_back(claim);
}

void ClaimLog::Complete(std::uint64_t key, const std::string& request_id, std::int64_t status, Instant now) {
  m_pending_updates.push_back({key, ClaimId(request_id), ClaimState::kDone, status, ExpiryOf(now)});
  Apply({m_pending_updates.back()});
}

void ClaimLog::Release(std::uint64_t key, const std::string& request_id, Instant now) {
  m_pending_updates.push_back({key, ClaimId(request_id), ClaimState::kReleased, 0, ExpiryOf(now)});
  Apply({m_pending_updates.back()});
}

void ClaimLog::Apply(const std::vector<ClaimEntry>& entries) {
  for (const auto& entry : entries) {
    auto [found, added] = m_entry_by_key.try_emplace(entry.m_key, entry);
    if (added) continue;
    // A claim changes state once, from claimed to done or released, and only a released key can be claimed
    // again.
    const bool same_claim = found->second.m_claim == entry.m_claim;
    const ClaimState replaceable = same_claim ? ClaimState::kClaimed : ClaimState::kReleased;
    if (found->second.m_state == replaceable) found->second = entry;
  }
}

void ClaimLog::BeginLoad() {
  m_phase = Phase::kReadingHead;
  m_pending_operation = ++m_operations;
  m_effects.emplace_back(StoreGet{m_pending_operation, HeadKey()});
}

void ClaimLog::ScheduleReload(Instant retry_at) {
  m_phase = Phase::kUnloaded;
  m_pending_operation = 0;
  m_not_before = retry_at;
}

void ClaimLog::HandleStoreResponse(const StoreResponded& response, Instant now) {
  if (m_pending_operation == 0 || response.m_operation != m_pending_operation) return;
  m_pending_operation = 0;
  switch (m_phase) {
    case Phase::kReadingHead:
      return HandleHeadRead(response, now);
    case Phase::kReadingSegment:
      return HandleSegmentRead(response, now);
    case Phase::kSealing:
    case Phase::kWriting:
      return HandleWritten(response, now);
    case Phase::kUnloaded:
    case Phase::kReady:
      return;
  }
}

void ClaimLog::HandleHeadRead(const StoreResponded& response, Instant now) {
  if (response.m_status == StoreStatus::kNotFound) {
    m_record = {};
    m_version = 0;
  } else if (response.m_status == StoreStatus::kOk) {
    auto record = TryParse<ClaimRecord>(response.m_value);
    // No claim can be granted without the log, so a malformed head is read again later.
    if (!record) return ScheduleReload(now + m_settings.m_retry_interval);
    m_record = std::move(*record);
    m_version = response.m_version;
  } else {
    return ScheduleReload(now + m_settings.m_retry_interval);
  }
  m_segments_to_read.clear();
  for (const auto& segment : m_record.m_segments) {
    if (!m_loaded_segments.contains(segment.m_id)) m_segments_to_read.push_back(segment.m_id);
  }
  // Segments are read from the back of the list, the oldest first.
  std::reverse(m_segments_to_read.begin(), m_segments_to_read.end());
  m_segments_to_read.empty() ? FinishLoad(now) : ReadNextSegment();
}

void ClaimLog::ReadNextSegment() {
  m_phase = Phase::kReadingSegment;
  m_pending_operation = ++m_operations;
  m_effects.emplace_back(StoreGet{m_pending_operation, SegmentKey(m_segments_to_read.back())});
}

void ClaimLog::HandleSegmentRead(const StoreResponded& response, Instant now) {
  const auto entries = response.m_status == StoreStatus::kOk
                           ? TryParse<std::vector<ClaimEntry>>(response.m_value)
                           : std::nullopt;
  if (!entries) return ScheduleReload(now + m_settings.m_retry_interval);
  Apply(*entries);
  m_loaded_segments.insert(m_segments_to_read.back());
  m_segments_to_read.pop_back();
  m_segments_to_read.empty() ? FinishLoad(now) : ReadNextSegment();
}

void ClaimLog::FinishLoad(Instant now) {
  m_phase = Phase::kReady;
  m_not_before = now;
  Apply(m_record.m_entries);
  // A write without a response took effect if its claims are in the log.
  for (const auto& claim : std::exchange(m_writing_claims, {})) {
    const auto found = m_entry_by_key.find(claim.m_key);
    const bool claimed_by_request = found != m_entry_by_key.end() &&
                                    found->second.m_claim == ClaimId(claim.m_request_id) &&
                                    found->second.m_state == ClaimState::kClaimed;
    if (claim.m_timed_out) {
      m_timed_out_claims.push_back(claim);
    } else if (claimed_by_request) {
      Respond(claim, ClaimVerdict::kGranted);
    } else {
      m_pending_claims.push_back(claim);
    }
  }
  ReleaseTimedOut(now);
  // Completions and releases are written again; a duplicate entry has no effect.
  m_pending_updates.insert(m_pending_updates.begin(), m_writing_updates.begin(), m_writing_updates.end());
  m_writing_updates.clear();
}

void ClaimLog::ReleaseTimedOut(Instant now) {
  std::erase_if(m_timed_out_claims, [&](const PendingClaim& claim) {
    const auto found = m_entry_by_key.find(claim.m_key);
    const bool in_entries =
        found != m_entry_by_key.end() && found->second.m_claim == ClaimId(claim.m_request_id);
    if (in_entries && found->second.m_state == ClaimState::kClaimed)
      Release(claim.m_key, claim.m_request_id, now);
    return in_entries || now - claim.m_requested_at > kMaxLateWriteDelay;
  });
}

void ClaimLog::HandleWritten(const StoreResponded& response, Instant now) {
  if (m_phase == Phase::kSealing) {
    // The segment's key is unique to this write, so a conflict means that the segment is already stored.
    if (response.m_status == StoreStatus::kUnavailable)
      return ScheduleReload(now + m_settings.m_retry_interval);
    m_loaded_segments.insert(m_next_record.m_segments.back().m_id);
    m_phase = Phase::kWriting;
    m_pending_operation = ++m_operations;
    m_effects.emplace_back(
        StorePut{m_pending_operation, HeadKey(), m_version, json::serialize(ToJson(m_next_record))});
    return;
  }
  if (response.m_status != StoreStatus::kOk) {
    const bool conflict = response.m_status == StoreStatus::kConflict;
    return ScheduleReload(conflict ? now : now + m_settings.m_retry_interval);
  }
  m_record = std::move(m_next_record);
  m_version = response.m_version;
  m_phase = Phase::kReady;
  Apply(m_record.m_entries);
  for (const auto& claim : std::exchange(m_writing_claims, {})) {
    if (claim.m_timed_out)
      Release(claim.m_key, claim.m_request_id, now);
    else
      Respond(claim, ClaimVerdict::kGranted);
  }
  m_writing_updates.clear();
}

bool ClaimLog::RespondFromEntries(const PendingClaim& claim) {
  const auto found = m_entry_by_key.find(claim.m_key);
  if (found == m_entry_by_key.end() || found->second.m_state == ClaimState::kReleased) return false;
  const bool done = found->second.m_state == ClaimState::kDone;
  Respond(claim, done ? ClaimVerdict::kDone : ClaimVerdict::kInProgress, found->second.m_status);
  return true;
}

void ClaimLog::BeginWrite(Instant now) {
  assert(m_writing_claims.empty());
  m_next_record = m_record;
  if (m_record.m_holder != m_node) {
    ++m_next_record.m_epoch;
    m_next_record.m_holder = m_node;
  }
  if (m_next_record.m_entries.size() >= m_settings.m_max_segment_entries) Seal(now);
  // Completions and releases precede claims, so that the release of a key does not undo a later claim.
  m_writing_updates = std::exchange(m_pending_updates, {});
  m_next_record.m_entries.insert(m_next_record.m_entries.end(), m_writing_updates.begin(),
                                 m_writing_updates.end());
  for (auto& claim : std::exchange(m_pending_claims, {})) {
    if (claim.m_timed_out || RespondFromEntries(claim)) continue;
    m_next_record.m_entries.push_back(
        {claim.m_key, ClaimId(claim.m_request_id), ClaimState::kClaimed, 0, ExpiryOf(now)});
    m_writing_claims.push_back(std::move(claim));
  }
  m_not_before = now + m_settings.m_batch_interval;
  if (m_phase == Phase::kSealing) return;
  if (m_writing_claims.empty() && m_writing_updates.empty()) return;
  m_phase = Phase::kWriting;
  m_pending_operation = ++m_operations;
  m_effects.emplace_back(
      StorePut{m_pending_operation, HeadKey(), m_version, json::serialize(ToJson(m_next_record))});
}

void ClaimLog::Seal(Instant now) {
  std::int64_t expires = 0;
  for (const auto& entry : m_next_record.m_entries) expires = std::max(expires, entry.m_expires_s);
  m_pending_operation = ++m_operations;
  const std::string id =
      std::to_string(m_next_record.m_epoch) + "-" + std::to_string(m_version) + "-" + m_node;
  m_effects.emplace_back(
      StorePut{m_pending_operation, SegmentKey(id), 0, json::serialize(ToJson(m_next_record.m_entries))});
  m_next_record.m_entries.clear();
  // Segments in which all keys have expired are deleted.
  auto& segments = m_next_record.m_segments;
  for (const auto& segment : segments) {
    if (segment.m_expires_s <= UnixSeconds(now)) {
      m_effects.emplace_back(StoreDelete{++m_operations, SegmentKey(segment.m_id)});
      m_loaded_segments.erase(segment.m_id);
    }
  }
  std::erase_if(segments, [&](const auto& segment) { return segment.m_expires_s <= UnixSeconds(now); });
  segments.push_back({id, expires});
  RemoveExpired(now);
  m_phase = Phase::kSealing;
}

void ClaimLog::RemoveExpired(Instant now) {
  const std::int64_t seconds = UnixSeconds(now);
  std::erase_if(m_entry_by_key, [&](const auto& item) { return item.second.m_expires_s <= seconds; });
}

void ClaimLog::TimeOutClaims(Instant now) {
  const auto overdue = [&](const PendingClaim& claim) {
    return now - claim.m_requested_at >= m_settings.m_max_wait;
  };
  for (const auto& claim : m_pending_claims) {
    if (overdue(claim)) Respond(claim, ClaimVerdict::kUnavailable);
  }
  std::erase_if(m_pending_claims, overdue);
  // A claim that is being written may still take effect; it is released once the result of the write is
  // known.
  for (auto& claim : m_writing_claims) {
    if (!claim.m_timed_out && overdue(claim)) {
      claim.m_timed_out = true;
      Respond(claim, ClaimVerdict::kUnavailable);
    }
  }
}

void ClaimLog::Advance(Instant now) {
  TimeOutClaims(now);
  if (m_pending_operation != 0 || now < m_not_before || Idle()) return;
  if (m_phase == Phase::kUnloaded) return BeginLoad();
  if (m_phase == Phase::kReady) BeginWrite(now);
}

}  // namespace fescueramp
