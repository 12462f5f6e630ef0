#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "fescueramp/claims/claim_record.h"
#include "fescueramp/core/time.h"
#include "fescueramp/store/store_types.h"

namespace fescueramp {

/// Limits and intervals of a claim log.
struct ClaimSettings {
  Duration m_batch_interval = std::chrono::milliseconds(20);  ///< Minimum time between two writes.
  Duration m_max_wait =
      std::chrono::milliseconds(1500);  ///< Time after which a waiting claim gets kUnavailable.
  Duration m_retry_interval =
      std::chrono::milliseconds(200);          ///< Time between attempts while the store is unavailable.
  Duration m_window = std::chrono::hours(24);  ///< Time until a key expires.
  std::size_t m_max_segment_entries = 256;     ///< Entries at which the head is moved to a segment.
};

/// Result of one claim.
enum class ClaimVerdict {
  kGranted,      ///< The key is claimed exclusively for this request; the request may run.
  kInProgress,   ///< Another request with the key may be running or may have run.
  kDone,         ///< A request with the key has run.
  kUnavailable,  ///< The store was unavailable; the request must not run.
};

template <>
struct EnumTable<ClaimVerdict> {
  static constexpr std::array<std::string_view, 4> kNames = {"granted", "in_progress", "done", "unavailable"};
};

/// Response to one claim.
struct ClaimResponse {
  std::string m_request_id;
  ClaimVerdict m_verdict = ClaimVerdict::kGranted;
  std::int64_t m_recorded_status = 0;  ///< HTTP status with which a kDone request ended; otherwise 0.
};

using StoreEffect = std::variant<StoreGet, StorePut, StoreDelete>;

/// Claims idempotency keys in the platform's store before their requests run; one write holds many claims.
///
/// A claim reserves a key for one request. It is granted only after a compare-and-swap that was based on
/// every earlier claim has taken effect, so that two nodes that write the same log concurrently never both
/// grant the same key. If the response to a write is lost, the log is read again before any further claim is
/// granted.
class ClaimLog {
 public:
  /// @param group Group of services whose claims share one log.
  /// @param node Name of this node.
  /// @param operations Counter of store operations, shared by all logs of the node.
  ClaimLog(std::string group, std::string node, ClaimSettings settings, std::int64_t& operations);

  /// Claims a key for a request. The response follows through TakeResponses.
  void Claim(std::uint64_t key, const std::string& request_id, Instant now);

  /// Records that the request of a granted claim has run, with its HTTP status.
  void Complete(std::uint64_t key, const std::string& request_id, std::int64_t status, Instant now);

  /// Records that the request of a granted claim has not run and will not run; the key becomes free.
  void Release(std::uint64_t key, const std::string& request_id, Instant now);

  /// Handles the response to one of this log's operations; responses to other operations are ignored.
  void HandleStoreResponse(const StoreResponded& response, Instant now);

  /// Starts the next store operation if it is due, and responds kUnavailable to claims that waited too long.
  void Advance(Instant now);

  /// Moves out the responses to claims since the last call.
  std::vector<ClaimResponse> TakeResponses() { return std::exchange(m_responses, {}); }

  /// Moves out the store operations to run since the last call.
  std::vector<StoreEffect> TakeEffects() { return std::exchange(m_effects, {}); }

  /// Whether no claim, completion or release waits for the store.
  bool Idle() const {
    return m_pending_claims.empty() && m_writing_claims.empty() && m_pending_updates.empty();
  }

  /// Number of known keys, including expired keys that are not removed yet.
  std::size_t KeyCount() const { return m_entry_by_key.size(); }

 private:
  enum class Phase { kUnloaded, kReadingHead, kReadingSegment, kReady, kSealing, kWriting };

  struct PendingClaim {
    std::uint64_t m_key = 0;
    std::string m_request_id;
    Instant m_requested_at{};
    bool m_timed_out = false;
  };

  void Respond(const PendingClaim& claim, ClaimVerdict verdict, std::int64_t status = 0);
  void BeginLoad();
  void ReadNextSegment();
  void FinishLoad(Instant now);
  void ReleaseTimedOut(Instant now);
  void HandleHeadRead(const StoreResponded& response, Instant now);
  void HandleSegmentRead(const StoreResponded& response, Instant now);
  void HandleWritten(const StoreResponded& response, Instant now);
  void ScheduleReload(Instant retry_at);
  bool RespondFromEntries(const PendingClaim& claim);
  void BeginWrite(Instant now);
  void Seal(Instant now);
  void Apply(const std::vector<ClaimEntry>& entries);
  void RemoveExpired(Instant now);
  void TimeOutClaims(Instant now);
  std::uint64_t ClaimId(const std::string& request_id) const;
  std::int64_t ExpiryOf(Instant now) const;
  std::string HeadKey() const { return "claims/" + m_group; }
  std::string SegmentKey(const std::string& id) const { return "claims/" + m_group + "/" + id; }

  std::string m_group;
  std::string m_node;
  ClaimSettings m_settings;
  std::int64_t& m_operations;

  Phase m_phase = Phase::kUnloaded;
  std::int64_t m_pending_operation = 0;
  Instant m_not_before{};      ///< Earliest time of the next operation.
  std::int64_t m_version = 0;  ///< Store version of `m_record`.
  ClaimRecord m_record;        ///< Last known head of the log.
  ClaimRecord m_next_record;   ///< Head that the write in progress would store.
  std::unordered_map<std::uint64_t, ClaimEntry> m_entry_by_key;  ///< Effective entry of each key.
  std::set<std::string> m_loaded_segments;
  std::vector<std::string> m_segments_to_read;
  std::vector<PendingClaim> m_pending_claims;  ///< Claims that are not part of a write yet.
  std::vector<PendingClaim> m_writing_claims;  ///< Claims of a write whose result is unknown.
  std::vector<ClaimEntry> m_pending_updates;   ///< Completions and releases not part of a write yet.
  std::vector<ClaimEntry> m_writing_updates;
  std::vector<PendingClaim> m_timed_out_claims;  ///< Timed-out claims whose write may still take effect.
  std::vector<ClaimResponse> m_responses;
  std::vector<StoreEffect> m_effects;
};

}  // namespace fescueramp
