#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/core/token_bucket.h"
#include "fescueramp/dispatch/announced_crash_record.h"

namespace fescueramp {

/// Requests that may crash endpoints, by fingerprint, as one node knows them: those that ran when the
/// connection to an endpoint broke.
///
/// All dispatchers of a node and its entry side share one object. One break short of the limit, a request
/// runs alone on an endpoint; at the limit, it is quarantined. A good response clears its record. Nodes
/// announce their records to one another and merge them. Merging is commutative, associative and idempotent:
/// the higher version wins, and at equal versions the breaks are united, so none counts twice.
class CrashRecords {
 public:
  /// Bounds of the table. A record with three breaks takes some 0.6 KB.
  static constexpr std::size_t kMaxRecords = 4096;
  static constexpr std::size_t kMaxBreaks = 8192;
  /// Largest limit of the schema.
  static constexpr std::size_t kMaxBreaksPerRecord = 100;
  /// Records that wait to be announced. What a rate-limited node can't announce soon is of little use.
  static constexpr std::size_t kMaxToAnnounce = 256;
  static constexpr Duration kRetention = std::chrono::minutes(10);

  /// Result of a merge.
  struct MergeResult {
    bool m_changed = false;       ///< Whether this node learned something.
    bool m_sender_lacks = false;  ///< Whether the sender lacks something that this node knows.
  };

  /// @param node Name of the node, which its breaks bear.
  explicit CrashRecords(std::string node = {}) : m_node(std::move(node)) {}

  /// Records that the connection to an endpoint broke while a request ran there.
  /// @param alone Whether the request ran alone on the endpoint, which makes it the cause.
  /// @param limit Breaks at which the request is quarantined, 2 or more.
  /// @param part Name of the part whose next owners must know it.
  void AddBreak(std::uint64_t fingerprint, const std::string& endpoint, bool alone, std::int64_t limit,
                const std::string& part, Instant now);

  /// Clears the record of a request that got a good response.
  void Clear(std::uint64_t fingerprint, const std::string& part, Instant now);

  /// Whether the request must run alone on an endpoint.
  bool IsSuspect(std::uint64_t fingerprint, std::int64_t limit) const {
    return CountOf(fingerprint, limit) >= limit - 1;
  }

  /// Whether the request must be refused.
  bool IsQuarantined(std::uint64_t fingerprint, std::int64_t limit) const {
    return CountOf(fingerprint, limit) >= limit;
  }

  /// Breaks that are known of a request.
  std::vector<AnnouncedBreak> BreaksOf(std::uint64_t fingerprint, Instant now) const;

  /// Applies the record that another node announced.
  MergeResult Merge(const AnnouncedCrashRecord& announced, Instant now);

  /// Record to announce; without breaks if there is none.
  AnnouncedCrashRecord ToAnnounce(std::uint64_t fingerprint, Instant now) const;

  /// Takes the records that must be announced to the next owners of their parts now, by part. The first
  /// announcement of a record that is urgent is due at once; others wait for the next round. Each record is
  /// repeated in some rounds against loss, and the rate is limited.
  std::map<std::string, std::vector<AnnouncedCrashRecord>> TakeAnnouncements(Instant now);

  /// Takes up to `count` records to add to a datagram that is sent anyway.
  /// @param transmissions Number of datagrams that carry each change of a record.
  std::vector<AnnouncedCrashRecord> TakeGossip(std::size_t count, int transmissions, Instant now);

  /// Urgent records for a node that has just joined, at most `count`; the latest first.
  std::vector<AnnouncedCrashRecord> ForNewNode(std::size_t count, Instant now) const;

  /// Removes records without a recent break.
  void Expire(Instant now);

  bool Empty() const { return m_records.empty(); }
  std::size_t Size() const { return m_records.size(); }
  std::size_t BreakCount() const { return m_break_count; }
  /// Whether nothing waits to be announced or added to datagrams.
  bool Settled() const { return m_to_announce.empty() && m_to_gossip.empty(); }
  /// Records of requests that are at their limit.
  std::size_t QuarantinedCount() const;
  /// Number of changes by which a request may have come to its limit.
  std::int64_t Generation() const { return m_generation; }

 private:
  /// Orders the breaks of a record; those that prove most come first and are kept if there are too many.
  struct BreakId {
    bool m_shared = false;  ///< Whether other requests ran on the endpoint.
    std::string m_node;
    std::int64_t m_number = 0;

    auto operator<=>(const BreakId&) const = default;
  };
  struct Break {
    std::string m_endpoint;
    Instant m_at{};
  };
  struct Record {
    std::int64_t m_version = 0;
    std::int64_t m_limit = 0;
    Instant m_changed{};  ///< Time of the last break or of the good response.
    std::map<BreakId, Break> m_breaks;
  };
  /// Announcements of a record that are still to be made.
  struct Announcing {
    std::string m_part;
    int m_left = 0;
    Instant m_since{};
    bool m_immediate = false;  ///< Whether the first one need not wait for the next round.
  };
  /// Rank of a record when the table is full; the lowest goes first.
  using Rank = std::tuple<bool, std::int64_t, Instant, std::uint64_t>;

  static std::int64_t CountOf(const Record& record, std::int64_t limit);
  /// Whether the nodes that may dispatch the request must know the record at once: it is at the limit or one
  /// break short of it, with two breaks or more.
  static bool IsUrgent(const Record& record);
  /// Whether the request is refused, so that all nodes must know the record.
  static bool IsAtLimit(const Record& record);
  static Instant LatestBreak(const Record& record);
  static Rank RankOf(std::uint64_t fingerprint, const Record& record);
  static AnnouncedCrashRecord Announce(std::uint64_t fingerprint, const Record& record, Instant now);
  /// Record with the breaks of an announcement that are recent enough.
  static Record FromAnnounced(const AnnouncedCrashRecord& announced, Instant now);
  /// Unites the breaks of two records of the same version; returns whether `into` changed.
  static bool Unite(const Record& from, Record& into);
  std::int64_t CountOf(std::uint64_t fingerprint, std::int64_t limit) const;
  /// Replaces the record of a request and keeps the bounds of the table.
  /// @param news Whether its breaks or its version changed.
  void Store(std::uint64_t fingerprint, Record record, bool news);
  void QueueGossip(std::uint64_t fingerprint, bool was_at_limit, bool at_limit);
  void Erase(std::uint64_t fingerprint);
  void QueueAnnouncement(std::uint64_t fingerprint, const std::string& part, Instant now);
  void DropStaleAnnouncements(Instant now);
  std::vector<std::uint64_t> DueAnnouncements(bool round) const;

  std::string m_node;
  std::map<std::uint64_t, Record> m_records;
  std::set<Rank> m_ranks;  ///< One for each record.
  std::size_t m_break_count = 0;
  std::map<std::uint64_t, Announcing> m_to_announce;
  std::map<std::uint64_t, int> m_to_gossip;  ///< Datagrams that carried the record's last change so far.
  TokenBucket m_announcement_rate;
  Instant m_next_round{};
  std::int64_t m_last_number = 0;
  std::int64_t m_generation = 0;
};

}  // namespace fescueramp
