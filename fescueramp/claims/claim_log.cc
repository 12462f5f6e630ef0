#include "fescueramp/claims/claim_log.h"

#include <algorithm>
#include <cassert>
#include <iterator>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

/// Longest time for which a write without an answer may still take effect.
constexpr Duration kLateWriteMemory = std::chrono::minutes(10);

std::int64_t UnixSeconds(Instant now) {
  return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
}

/// Parses stored text; text that can't be read counts as absent knowledge and is refused by the caller.
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
  // A request can reach two dispatchers under one id, so the node is part of the claim's name.
  return Hash64(m_node + "/" + request_id);
}

std::int64_t ClaimLog::ExpiryOf(Instant now) const { return UnixSeconds(now + m_settings.m_window); }

void ClaimLog::Answer(const Waiting& claim, ClaimVerdict verdict, std::int64_t status) {
  m_answers.push_back({claim.m_request_id, verdict, status});
}

void ClaimLog::Claim(std::uint64_t key, const std::string& request_id, Instant now) {
  const auto same_key = [&](const Waiting& other) { return other.m_key == key && !other.m_given_up; };
  const Waiting claim{key, request_id, now, false};
  if (std::any_of(m_waiting.begin(), m_waiting.end(), same_key) ||
      std::any_of(m_writing.begin(), m_writing.end(), same_key)) {
    return Answer(claim, ClaimVerdict::kInProgress);
  }
  m_waiting.push_back(claim);
}

void ClaimLog::Complete(std::uint64_t key, const std::string& request_id, std::int64_t status, Instant now) {
  m_updates.push_back({key, ClaimId(request_id), ClaimState::kDone, status, ExpiryOf(now)});
  Apply({m_updates.back()});
}

void ClaimLog::Release(std::uint64_t key, const std::string& request_id, Instant now) {
  m_updates.push_back({key, ClaimId(request_id), ClaimState::kReleased, 0, ExpiryOf(now)});
  Apply({m_updates.back()});
}

void ClaimLog::Apply(const std::vector<ClaimEntry>& entries) {
  for (const auto& entry : entries) {
    auto [known, added] = m_known.try_emplace(entry.m_key, entry);
    if (added) continue;
    // A claim moves on once, from claimed to its end, and only a released key can be claimed anew.
    const bool same_claim = known->second.m_claim == entry.m_claim;
    const ClaimState replaceable = same_claim ? ClaimState::kClaimed : ClaimState::kReleased;
    if (known->second.m_state == replaceable) known->second = entry;
  }
}

void ClaimLog::BeginLoad() {
  m_phase = Phase::kReadingHead;
  m_pending_operation = ++m_operations;
  m_effects.emplace_back(StoreGet{m_pending_operation, HeadKey()});
}

void ClaimLog::Unload(Instant retry_at) {
  m_phase = Phase::kUnloaded;
  m_pending_operation = 0;
  m_not_before = retry_at;
}

void ClaimLog::OnStoreAnswer(const StoreAnswered& answer, Instant now) {
  if (m_pending_operation == 0 || answer.m_operation != m_pending_operation) return;
  m_pending_operation = 0;
  switch (m_phase) {
    case Phase::kReadingHead:
      return OnHeadRead(answer, now);
    case Phase::kReadingSegment:
      return OnSegmentRead(answer, now);
    case Phase::kSealing:
    case Phase::kWriting:
      return OnWritten(answer, now);
    case Phase::kUnloaded:
    case Phase::kReady:
      return;
  }
}

void ClaimLog::OnHeadRead(const StoreAnswered& answer, Instant now) {
  if (answer.m_status == StoreStatus::kNotFound) {
    m_record = {};
    m_version = 0;
  } else if (answer.m_status == StoreStatus::kOk) {
    auto record = TryParse<ClaimRecord>(answer.m_value);
    // Without the log nothing can be granted, so a head that can't be read is tried again.
    if (!record) return Unload(now + m_settings.m_retry_interval);
    m_record = std::move(*record);
    m_version = answer.m_version;
  } else {
    return Unload(now + m_settings.m_retry_interval);
  }
  m_segments_to_read.clear();
  for (const auto& segment : m_record.m_segments) {
    if (!m_loaded_segments.contains(segment.m_id)) m_segments_to_read.push_back(segment.m_id);
  }
  // The oldest is read first, from the back.
  std::reverse(m_segments_to_read.begin(), m_segments_to_read.end());
  m_segments_to_read.empty() ? FinishLoad(now) : ReadNextSegment();
}

void ClaimLog::ReadNextSegment() {
  m_phase = Phase::kReadingSegment;
  m_pending_operation = ++m_operations;
  m_effects.emplace_back(StoreGet{m_pending_operation, SegmentKey(m_segments_to_read.back())});
}

void ClaimLog::OnSegmentRead(const StoreAnswered& answer, Instant now) {
  const auto entries =
      answer.m_status == StoreStatus::kOk ? TryParse<std::vector<ClaimEntry>>(answer.m_value) : std::nullopt;
  if (!entries) return Unload(now + m_settings.m_retry_interval);
  Apply(*entries);
  m_loaded_segments.insert(m_segments_to_read.back());
  m_segments_to_read.pop_back();
  m_segments_to_read.empty() ? FinishLoad(now) : ReadNextSegment();
}

void ClaimLog::FinishLoad(Instant now) {
  m_phase = Phase::kReady;
  m_not_before = now;
  Apply(m_record.m_entries);
  // A write whose answer was lost took effect if its claims are in the log.
  for (const auto& claim : std::exchange(m_writing, {})) {
    const auto known = m_known.find(claim.m_key);
    const bool ours = known != m_known.end() && known->second.m_claim == ClaimId(claim.m_request_id) &&
                      known->second.m_state == ClaimState::kClaimed;
    if (claim.m_given_up) {
      m_abandoned.push_back(claim);
    } else if (ours) {
      Answer(claim, ClaimVerdict::kGranted);
    } else {
      m_waiting.push_back(claim);
    }
  }
  ReleaseAbandoned(now);
  // Ends are written again; a line that is there twice changes nothing.
  m_updates.insert(m_updates.begin(), m_writing_updates.begin(), m_writing_updates.end());
  m_writing_updates.clear();
}

void ClaimLog::ReleaseAbandoned(Instant now) {
  std::erase_if(m_abandoned, [&](const Waiting& claim) {
    const auto known = m_known.find(claim.m_key);
    const bool in_log = known != m_known.end() && known->second.m_claim == ClaimId(claim.m_request_id);
    if (in_log && known->second.m_state == ClaimState::kClaimed)
      Release(claim.m_key, claim.m_request_id, now);
    return in_log || now - claim.m_asked > kLateWriteMemory;
  });
}

void ClaimLog::OnWritten(const StoreAnswered& answer, Instant now) {
  if (m_phase == Phase::kSealing) {
    // The segment's name is unique to this write, so a conflict means that it is there already.
    if (answer.m_status == StoreStatus::kUnavailable) return Unload(now + m_settings.m_retry_interval);
    m_loaded_segments.insert(m_next_record.m_segments.back().m_id);
    m_phase = Phase::kWriting;
    m_pending_operation = ++m_operations;
    m_effects.emplace_back(
        StorePut{m_pending_operation, HeadKey(), m_version, json::serialize(ToJson(m_next_record))});
    return;
  }
  if (answer.m_status != StoreStatus::kOk) {
    const bool conflict = answer.m_status == StoreStatus::kConflict;
    return Unload(conflict ? now : now + m_settings.m_retry_interval);
  }
  m_record = std::move(m_next_record);
  m_version = answer.m_version;
  m_phase = Phase::kReady;
  Apply(m_record.m_entries);
  for (const auto& claim : std::exchange(m_writing, {})) {
    if (claim.m_given_up)
      Release(claim.m_key, claim.m_request_id, now);
    else
      Answer(claim, ClaimVerdict::kGranted);
  }
  m_writing_updates.clear();
}

bool ClaimLog::AnswerFromMemory(const Waiting& claim) {
  const auto known = m_known.find(claim.m_key);
  if (known == m_known.end() || known->second.m_state == ClaimState::kReleased) return false;
  const bool done = known->second.m_state == ClaimState::kDone;
  Answer(claim, done ? ClaimVerdict::kDone : ClaimVerdict::kInProgress, known->second.m_status);
  return true;
}

void ClaimLog::BeginWrite(Instant now) {
  assert(m_writing.empty());
  m_next_record = m_record;
  if (m_record.m_holder != m_node) {
    ++m_next_record.m_epoch;
    m_next_record.m_holder = m_node;
  }
  if (m_next_record.m_entries.size() >= m_settings.m_segment_entries) Seal(now);
  // Ends go before claims: the release of a key must not undo a claim made after it.
  m_writing_updates = std::exchange(m_updates, {});
  m_next_record.m_entries.insert(m_next_record.m_entries.end(), m_writing_updates.begin(),
                                 m_writing_updates.end());
  for (auto& claim : std::exchange(m_waiting, {})) {
    if (claim.m_given_up || AnswerFromMemory(claim)) continue;
    m_next_record.m_entries.push_back(
        {claim.m_key, ClaimId(claim.m_request_id), ClaimState::kClaimed, 0, ExpiryOf(now)});
    m_writing.push_back(std::move(claim));
  }
  m_not_before = now + m_settings.m_batch_interval;
  if (m_phase == Phase::kSealing) return;
  if (m_writing.empty() && m_writing_updates.empty()) return;
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
  // Segments whose every key has expired leave the log.
  auto& segments = m_next_record.m_segments;
  for (const auto& segment : segments) {
    if (segment.m_expires_s <= UnixSeconds(now)) {
      m_effects.emplace_back(StoreDelete{++m_operations, SegmentKey(segment.m_id)});
      m_loaded_segments.erase(segment.m_id);
    }
  }
  std::erase_if(segments, [&](const auto& segment) { return segment.m_expires_s <= UnixSeconds(now); });
  segments.push_back({id, expires});
  Forget(now);
  m_phase = Phase::kSealing;
}

void ClaimLog::Forget(Instant now) {
  const std::int64_t seconds = UnixSeconds(now);
  std::erase_if(m_known, [&](const auto& item) { return item.second.m_expires_s <= seconds; });
}

void ClaimLog::GiveUpOld(Instant now) {
  const auto too_old = [&](const Waiting& claim) { return now - claim.m_asked >= m_settings.m_patience; };
  for (const auto& claim : m_waiting) {
    if (too_old(claim)) Answer(claim, ClaimVerdict::kUnavailable);
  }
  std::erase_if(m_waiting, too_old);
  // A claim that is being written may take effect; it is released once that is known.
  for (auto& claim : m_writing) {
    if (!claim.m_given_up && too_old(claim)) {
      claim.m_given_up = true;
      Answer(claim, ClaimVerdict::kUnavailable);
    }
  }
}

void ClaimLog::Advance(Instant now) {
  GiveUpOld(now);
  if (m_pending_operation != 0 || now < m_not_before || Idle()) return;
  if (m_phase == Phase::kUnloaded) return BeginLoad();
  if (m_phase == Phase::kReady) BeginWrite(now);
}

}  // namespace fescueramp
