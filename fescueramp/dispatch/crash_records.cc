#include "fescueramp/dispatch/crash_records.h"

#include <algorithm>

namespace fescueramp {
namespace {

/// Time within which breaks at one endpoint count as one crash. It is shorter than any restart of an
/// endpoint, and longer than the delay with which nodes learn of each other's breaks.
constexpr Duration kSameCrash = std::chrono::seconds(1);
/// Announcements of one change; with a tenth of the datagrams lost, one in a thousand doesn't arrive.
constexpr int kAnnouncements = 3;
/// Time between two rounds of announcements.
constexpr Duration kRoundPeriod = std::chrono::milliseconds(500);
/// Time after which an announcement that the rate limit held back is dropped.
constexpr Duration kMaxAnnouncementDelay = std::chrono::seconds(5);
/// Announcements of single records a second, each to three nodes. Gray endpoints break many harmless
/// requests, and control traffic is limited to 3 KB a second. The burst is that of a request that crashes
/// four endpoints.
constexpr double kAnnouncementsPerSecond = 2;
constexpr double kAnnouncementBurst = 12;
/// Breaks from which a record is urgent. Single breaks are mostly those of harmless requests.
constexpr std::int64_t kMinUrgentBreaks = 2;

}  // namespace

std::int64_t CrashRecords::CountOf(const Record& record, std::int64_t limit) {
  std::int64_t alone = 0;
  std::vector<std::pair<std::string, Instant>> shared;
  for (const auto& [id, item] : record.m_breaks) {
    if (id.m_shared)
      shared.emplace_back(item.m_endpoint, item.m_at);
    else
      ++alone;
  }
  std::sort(shared.begin(), shared.end());
  std::int64_t crashes = 0;
  for (std::size_t i = 0; i < shared.size(); ++i) {
    const bool same = i > 0 && shared[i].first == shared[i - 1].first &&
                      shared[i].second - shared[i - 1].second <= kSameCrash;
    crashes += same ? 0 : 1;
  }
  // The break that reaches the limit counts only if the request ran alone and thus caused it.
  return std::min(crashes, limit - 1) + alone;
}

bool CrashRecords::IsUrgent(const Record& record) {
  const std::int64_t count = CountOf(record, record.m_limit);
  return count >= std::max(kMinUrgentBreaks, record.m_limit - 1);
}

std::int64_t CrashRecords::CountOf(std::uint64_t fingerprint, std::int64_t limit) const {
  if (m_records.empty()) return 0;
  const auto found = m_records.find(fingerprint);
  return found == m_records.end() ? 0 : CountOf(found->second, limit);
}

CrashRecords::Rank CrashRecords::RankOf(std::uint64_t fingerprint, const Record& record) {
  const std::int64_t count = CountOf(record, record.m_limit);
  return {count >= record.m_limit && record.m_limit > 0, count, record.m_changed, fingerprint};
}

void CrashRecords::Erase(std::uint64_t fingerprint) {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end()) return;
  m_ranks.erase(RankOf(fingerprint, found->second));
  m_break_count -= found->second.m_breaks.size();
  m_records.erase(found);
  m_to_announce.erase(fingerprint);
  m_to_gossip.erase(fingerprint);
}

bool CrashRecords::IsAtLimit(const Record& record) {
  return record.m_limit > 0 && CountOf(record, record.m_limit) >= record.m_limit;
}

void CrashRecords::QueueGossip(std::uint64_t fingerprint, bool was_at_limit, bool at_limit) {
  const auto queued = m_to_gossip.find(fingerprint);
  const bool unsent = queued != m_to_gossip.end() && queued->second == 0;
  if (at_limit)
    m_to_gossip[fingerprint] = 0;
  else if (unsent)
    m_to_gossip.erase(queued);
  else if (was_at_limit)
    m_to_gossip[fingerprint] = 0;  // Other nodes may refuse the request until they know that it was cleared.
}

void CrashRecords::Store(std::uint64_t fingerprint, Record record, bool news) {
  const auto known = m_records.find(fingerprint);
  const bool was_at_limit = known != m_records.end() && IsAtLimit(known->second);
  if (known != m_records.end()) {
    m_ranks.erase(RankOf(fingerprint, known->second));
    m_break_count -= known->second.m_breaks.size();
  }
  if (news) QueueGossip(fingerprint, was_at_limit, IsAtLimit(record));
  if (news && IsAtLimit(record)) ++m_generation;
  m_break_count += record.m_breaks.size();
  m_ranks.insert(RankOf(fingerprint, record));
  m_records.insert_or_assign(fingerprint, std::move(record));
  while (m_records.size() > kMaxRecords || m_break_count > kMaxBreaks)
    Erase(std::get<std::uint64_t>(*m_ranks.begin()));
}

void CrashRecords::AddBreak(std::uint64_t fingerprint, const std::string& endpoint, bool alone,
                            std::int64_t limit, const std::string& part, Instant now) {
  const auto found = m_records.find(fingerprint);
  Record record = found == m_records.end() ? Record{} : found->second;
  const bool proves_nothing = !alone && CountOf(record, limit) >= limit - 1;
  // Prolongs the retention without growing the record with each break.
  if (proves_nothing && now - record.m_changed < kRetention / 2) return;
  record.m_limit = limit;
  m_last_number = std::max<std::int64_t>(m_last_number + 1, now.time_since_epoch().count());
  record.m_breaks[{!alone, m_node, m_last_number}] = {endpoint, now};
  while (record.m_breaks.size() > kMaxBreaksPerRecord)
    record.m_breaks.erase(std::prev(record.m_breaks.end()));
  record.m_changed = now;
  Store(fingerprint, std::move(record), true);
  QueueAnnouncement(fingerprint, part, now);
}

void CrashRecords::Clear(std::uint64_t fingerprint, const std::string& part, Instant now) {
  if (m_records.empty()) return;
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end() || found->second.m_breaks.empty()) return;
  Store(fingerprint, {found->second.m_version + 1, found->second.m_limit, now, {}}, true);
  QueueAnnouncement(fingerprint, part, now);
}

void CrashRecords::QueueAnnouncement(std::uint64_t fingerprint, const std::string& part, Instant now) {
  const auto record = m_records.find(fingerprint);
  if (record == m_records.end()) return;
  m_to_announce[fingerprint] = {part, kAnnouncements, now, IsUrgent(record->second)};
  if (m_to_announce.size() <= kMaxToAnnounce) return;
  const auto least =
      std::min_element(m_to_announce.begin(), m_to_announce.end(), [&](const auto& a, const auto& b) {
        return RankOf(a.first, m_records.at(a.first)) < RankOf(b.first, m_records.at(b.first));
      });
  m_to_announce.erase(least);
}

void CrashRecords::DropStaleAnnouncements(Instant now) {
  std::erase_if(m_to_announce,
                [&](const auto& item) { return now - item.second.m_since > kMaxAnnouncementDelay; });
}

std::vector<std::uint64_t> CrashRecords::DueAnnouncements(bool round) const {
  std::vector<std::uint64_t> due;
  for (const auto& [fingerprint, announcing] : m_to_announce) {
    if (round || announcing.m_immediate) due.push_back(fingerprint);
  }
  std::sort(due.begin(), due.end(), [&](std::uint64_t a, std::uint64_t b) {
    return RankOf(a, m_records.at(a)) > RankOf(b, m_records.at(b));
  });
  return due;
}

std::map<std::string, std::vector<AnnouncedCrashRecord>> CrashRecords::TakeAnnouncements(Instant now) {
  std::map<std::string, std::vector<AnnouncedCrashRecord>> taken;
  if (m_to_announce.empty()) return taken;
  DropStaleAnnouncements(now);
  const bool round = now >= m_next_round;
  for (const std::uint64_t fingerprint : DueAnnouncements(round)) {
    if (!m_announcement_rate.Take(now, kAnnouncementsPerSecond, kAnnouncementBurst)) break;
    Announcing& announcing = m_to_announce.at(fingerprint);
    announcing.m_immediate = false;
    taken[announcing.m_part].push_back(ToAnnounce(fingerprint, now));
    if (--announcing.m_left == 0) m_to_announce.erase(fingerprint);
  }
  if (round && !taken.empty()) m_next_round = now + kRoundPeriod;
  return taken;
}

std::vector<AnnouncedCrashRecord> CrashRecords::TakeGossip(std::size_t count, int transmissions,
                                                           Instant now) {
  std::vector<AnnouncedCrashRecord> taken;
  if (m_to_gossip.empty()) return taken;
  std::vector<std::pair<int, std::uint64_t>> order;
  for (const auto& [fingerprint, sent] : m_to_gossip) order.emplace_back(sent, fingerprint);
  std::sort(order.begin(), order.end());
  if (order.size() > count) order.resize(count);
  for (const auto& [sent, fingerprint] : order) {
    taken.push_back(ToAnnounce(fingerprint, now));
    if (sent + 1 >= transmissions)
      m_to_gossip.erase(fingerprint);
    else
      ++m_to_gossip[fingerprint];
  }
  return taken;
}

std::vector<AnnouncedCrashRecord> CrashRecords::ForNewNode(std::size_t count, Instant now) const {
  std::vector<AnnouncedCrashRecord> records;
  for (auto rank = m_ranks.rbegin(); rank != m_ranks.rend() && records.size() < count; ++rank) {
    const auto fingerprint = std::get<std::uint64_t>(*rank);
    if (!IsUrgent(m_records.at(fingerprint))) continue;
    records.push_back(ToAnnounce(fingerprint, now));
  }
  return records;
}

AnnouncedCrashRecord CrashRecords::Announce(std::uint64_t fingerprint, const Record& record, Instant now) {
  AnnouncedCrashRecord announced{
      fingerprint, record.m_version, record.m_limit, WholeMilliseconds(now - record.m_changed), {}};
  for (const auto& [id, item] : record.m_breaks) {
    announced.m_breaks.push_back(
        {id.m_node, id.m_number, item.m_endpoint, WholeMilliseconds(now - item.m_at), !id.m_shared});
  }
  return announced;
}

AnnouncedCrashRecord CrashRecords::ToAnnounce(std::uint64_t fingerprint, Instant now) const {
  const auto found = m_records.find(fingerprint);
  return Announce(fingerprint, found == m_records.end() ? Record{} : found->second, now);
}

std::vector<AnnouncedBreak> CrashRecords::BreaksOf(std::uint64_t fingerprint, Instant now) const {
  const auto found = m_records.find(fingerprint);
  if (found == m_records.end()) return {};
  return Announce(fingerprint, found->second, now).m_breaks;
}

CrashRecords::Record CrashRecords::FromAnnounced(const AnnouncedCrashRecord& announced, Instant now) {
  const auto at = [&](std::int64_t age_ms) {
    return now -
           std::chrono::milliseconds(std::clamp<std::int64_t>(age_ms, 0, WholeMilliseconds(kRetention)));
  };
  Record record{announced.m_version, announced.m_limit, at(announced.m_age_ms), {}};
  for (const AnnouncedBreak& item : announced.m_breaks) {
    if (item.m_age_ms >= WholeMilliseconds(kRetention)) continue;
    record.m_breaks[{!item.m_alone, item.m_node, item.m_number}] = {item.m_endpoint, at(item.m_age_ms)};
    if (record.m_breaks.size() > kMaxBreaksPerRecord) record.m_breaks.erase(std::prev(record.m_breaks.end()));
  }
  if (!record.m_breaks.empty()) record.m_changed = LatestBreak(record);
  return record;
}

bool CrashRecords::Unite(const Record& from, Record& into) {
  const std::map<BreakId, Break> before = into.m_breaks;
  // The age of a break grows by the delay of each datagram that carries it, so the largest is the most exact.
  for (const auto& [id, item] : from.m_breaks) {
    const auto [known, added] = into.m_breaks.try_emplace(id, item);
    if (!added) known->second.m_at = std::min(known->second.m_at, item.m_at);
  }
  while (into.m_breaks.size() > kMaxBreaksPerRecord) into.m_breaks.erase(std::prev(into.m_breaks.end()));
  into.m_limit = std::max(into.m_limit, from.m_limit);
  into.m_changed = std::max(into.m_changed, from.m_changed);
  if (!into.m_breaks.empty()) into.m_changed = LatestBreak(into);
  return !std::equal(before.begin(), before.end(), into.m_breaks.begin(), into.m_breaks.end(),
                     [](const auto& a, const auto& b) { return a.first == b.first; });
}

Instant CrashRecords::LatestBreak(const Record& record) {
  Instant latest{};
  for (const auto& [id, item] : record.m_breaks) latest = std::max(latest, item.m_at);
  return latest;
}

CrashRecords::MergeResult CrashRecords::Merge(const AnnouncedCrashRecord& announced, Instant now) {
  const bool valid = announced.m_limit >= 2 && announced.m_version >= 0;
  if (!valid || announced.m_age_ms >= WholeMilliseconds(kRetention)) return {};
  Record theirs = FromAnnounced(announced, now);
  const auto found = m_records.find(announced.m_fingerprint);
  if (found != m_records.end() && theirs.m_version < found->second.m_version) return {false, true};
  if (found == m_records.end() || theirs.m_version > found->second.m_version) {
    Store(announced.m_fingerprint, std::move(theirs), true);
    return {true, false};
  }
  Record merged = found->second;
  const bool changed = Unite(theirs, merged);
  const bool sender_lacks = Unite(found->second, theirs);
  Store(announced.m_fingerprint, std::move(merged), changed);
  return {changed, sender_lacks};
}

void CrashRecords::Expire(Instant now) {
  if (m_records.empty()) return;
  std::vector<std::uint64_t> expired;
  for (const auto& [fingerprint, record] : m_records) {
    if (now - record.m_changed >= kRetention) expired.push_back(fingerprint);
  }
  for (const std::uint64_t fingerprint : expired) Erase(fingerprint);
}

std::size_t CrashRecords::QuarantinedCount() const {
  return static_cast<std::size_t>(std::count_if(m_records.begin(), m_records.end(), [](const auto& item) {
    return CountOf(item.second, item.second.m_limit) >= item.second.m_limit;
  }));
}

}  // namespace fescueramp
