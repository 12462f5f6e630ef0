#include "fescueramp/membership/membership.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "fescueramp/core/hash.h"

namespace fescueramp {
namespace {

constexpr int kMaxHealthMultiplier = 4;
constexpr int kMaxTransmissions = 60;  ///< Transmissions of one update.
constexpr std::size_t kMaxRelayedPings = 256;
constexpr int kMismatchesToSync = 3;  ///< Differing digests in a row before the full list is requested.
constexpr Duration kSyncPeriod = std::chrono::seconds(1);
constexpr Duration kSyncPeriodPerMember = std::chrono::milliseconds(100);
constexpr std::int64_t kPeriodsPerDeadProbe = 5;  ///< One dead node is probed per this many periods.

bool IsOwnerCandidate(const Member& member) {
  return member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
}

bool IsActive(const Member& member) {
  return IsOwnerCandidate(member) || member.m_state == MemberState::kLeaving;
}

}  // namespace

Membership::Membership(Member self, std::vector<SeedAddress> seeds, MembershipSettings settings,
                       std::uint32_t random_seed)
    : m_self(self.m_node), m_seeds(std::move(seeds)), m_settings(settings), m_random(random_seed) {
  m_members.emplace(m_self, std::move(self));
  QueueUpdate(m_self);
  RebuildCandidates();
}

bool Membership::SetLeaving(std::int64_t version, std::vector<std::string> endpoints) {
  if (version <= m_leaving_version) return false;
  m_leaving_version = version;
  m_leaving_endpoints = std::move(endpoints);
  return true;
}

void Membership::UpdateDigest() {
  std::uint64_t digest = 0;
  for (const auto& [name, member] : m_members) {
    if (IsActive(member)) digest ^= Hash64(name, static_cast<std::uint64_t>(member.m_incarnation));
  }
  m_digest = static_cast<std::int64_t>(digest >> 1);
}

void Membership::CompareDigest(const GossipMessage& message, const std::string& address, std::int64_t port,
                               Instant now) {
  m_mismatches = message.m_digest == m_digest ? 0 : m_mismatches + 1;
  if (m_mismatches < kMismatchesToSync || now < m_next_sync_allowed) return;
  m_mismatches = 0;
  // The full list grows with the fleet, so larger fleets request it less often.
  m_next_sync_allowed =
      now + kSyncPeriod + kSyncPeriodPerMember * static_cast<std::int64_t>(m_members.size());
  SendTo(address, port, MakeMessage(GossipKind::kJoin));
}

void Membership::RebuildCandidates() {
  UpdateDigest();
  std::vector<std::string> candidates;
  for (const auto& [name, member] : m_members) {
    if (IsOwnerCandidate(member)) candidates.push_back(name);
  }
  if (candidates == m_candidates) return;
  m_candidates = std::move(candidates);
  ++m_candidates_version;
}

void Membership::QueueUpdate(const std::string& node) { m_pending_updates[node] = 0; }

GossipMessage Membership::MakeMessage(GossipKind kind) {
  GossipMessage message;
  message.m_kind = kind;
  message.m_from = m_self;
  message.m_revision = m_revision;
  message.m_digest = m_digest;
  message.m_leaving_version = m_leaving_version;
  message.m_leaving_endpoints = m_leaving_endpoints;
  // Updates with the fewest transmissions go first.
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [node, sent] : m_pending_updates) order.emplace_back(sent, node);
  std::sort(order.begin(), order.end());
  if (order.size() > static_cast<std::size_t>(m_settings.m_updates_per_message)) {
    order.resize(static_cast<std::size_t>(m_settings.m_updates_per_message));
  }
  const int max_transmissions = MaxTransmissions();
  for (const auto& [sent, node] : order) {
    if (const auto member = m_members.find(node); member != m_members.end())
      message.m_updates.push_back(member->second);
    if (sent + 1 >= max_transmissions)
      m_pending_updates.erase(node);
    else
      ++m_pending_updates[node];
  }
  return message;
}

int Membership::MaxTransmissions() const {
  const double fleet_size = static_cast<double>(m_members.size());
  return std::min(kMaxTransmissions,
                  m_settings.m_retransmit_factor * static_cast<int>(std::ceil(std::log2(fleet_size + 1))));
}

void Membership::SendTo(const std::string& address, std::int64_t port, GossipMessage message) {
  m_effects.emplace_back(SendGossip{address, port, std::move(message)});
}

void Membership::Send(const Member& to, GossipMessage message) {
  SendTo(to.m_address, to.m_gossip_port, std::move(message));
}

void Membership::SetState(Member& member, MemberState state, Instant now) {
  member.m_state = state;
  m_state_changed[member.m_node] = now;
  QueueUpdate(member.m_node);
  m_effects.emplace_back(ReportMember{member});
  RebuildCandidates();
}

void Membership::Refute(const Member& update) {
  Member& self = m_members.at(m_self);
  const bool accurate = update.m_state == self.m_state || update.m_state == MemberState::kAlive;
  if (accurate || update.m_incarnation < self.m_incarnation) return;
  self.m_incarnation = update.m_incarnation + 1;
  UpdateDigest();
  QueueUpdate(m_self);
}

void Membership::Merge(const Member& update, Instant now) {
  if (update.m_node == m_self) return Refute(update);
  auto [found, added] = m_members.try_emplace(update.m_node, update);
  Member& known = found->second;
  if (added) {
    m_state_changed[update.m_node] = now;
    QueueUpdate(update.m_node);
    m_effects.emplace_back(ReportMember{known});
    return RebuildCandidates();
  }
  const bool newer = update.m_incarnation > known.m_incarnation ||
                     (update.m_incarnation == known.m_incarnation && update.m_state > known.m_state);
  if (!newer) return;
  const bool state_changed = update.m_state != known.m_state;
  known = update;
  UpdateDigest();
  if (state_changed)
    SetState(known, update.m_state, now);
  else
    QueueUpdate(update.m_node);
}

void Membership::AddDiscovered(const std::vector<Member>& members, Instant now) {
  for (const auto& member : members) {
    if (member.m_node == m_self) continue;
    const auto known = m_members.find(member.m_node);
    if (known != m_members.end() && known->second.m_incarnation >= member.m_incarnation) continue;
    Merge(member, now);
    // Not sent to others, because they find the node in the store too.
    m_pending_updates.erase(member.m_node);
  }
}

void Membership::Receive(const GossipMessage& message, const std::string& address, std::int64_t port,
                         Instant now) {
  if (message.m_from == m_self) return;
  m_last_datagram = now;
  m_peer_revisions[message.m_from] = message.m_revision;
  for (const auto& update : message.m_updates) Merge(update, now);
  switch (message.m_kind) {
    case GossipKind::kPing: {
      if (message.m_target != m_self && !message.m_target.empty()) return;
      CompareDigest(message, address, port, now);
      // A sender that is suspected or declared dead receives its own state with the ack, to refute it.
      if (const auto sender = m_members.find(message.m_from);
          sender != m_members.end() && sender->second.m_state != MemberState::kAlive) {
        QueueUpdate(message.m_from);
      }
      GossipMessage ack = MakeMessage(GossipKind::kAck);
      ack.m_probe = message.m_probe;
      ack.m_target = m_self;
      return SendTo(address, port, std::move(ack));
    }
    case GossipKind::kAck: {
      CompareDigest(message, address, port, now);
      if (message.m_probe == m_probe.m_number) {
        m_probe.m_number = 0;
        m_health_multiplier = std::max(0, m_health_multiplier - 1);
      }
      const auto relayed = m_relayed_pings.find(message.m_probe);
      if (relayed == m_relayed_pings.end()) return;
      if (const auto origin = m_members.find(relayed->second.m_origin); origin != m_members.end()) {
        GossipMessage ack = MakeMessage(GossipKind::kAck);
        ack.m_probe = relayed->second.m_origin_number;
        ack.m_target = message.m_target;
        Send(origin->second, std::move(ack));
      }
      m_relayed_pings.erase(relayed);
      return;
    }
    case GossipKind::kPingRequest: {
      const auto target = m_members.find(message.m_target);
      if (target == m_members.end() || m_relayed_pings.size() >= kMaxRelayedPings) return;
      GossipMessage ping = MakeMessage(GossipKind::kPing);
      ping.m_probe = m_next_probe++;
      ping.m_target = message.m_target;
      m_relayed_pings[ping.m_probe] = {message.m_from, message.m_probe, now};
      return Send(target->second, std::move(ping));
    }
    case GossipKind::kJoin:
      return SendMemberList(address, port);
    case GossipKind::kAnnounce:
      return;
  }
}

void Membership::SendMemberList(const std::string& address, std::int64_t port) {
  GossipMessage part = MakeMessage(GossipKind::kAnnounce);
  part.m_updates.clear();
  for (const auto& [name, member] : m_members) {
    part.m_updates.push_back(member);
    if (part.m_updates.size() < static_cast<std::size_t>(m_settings.m_members_per_sync_message)) continue;
    SendTo(address, port, part);
    part.m_updates.clear();
  }
  SendTo(address, port, std::move(part));
}

std::vector<std::string> Membership::RandomPeers(std::size_t count, const std::string& except) {
  std::vector<std::string> peers;
  for (const auto& [name, member] : m_members) {
    if (name != m_self && name != except && IsActive(member)) peers.push_back(name);
  }
  for (std::size_t i = 0; i < std::min(count, peers.size()); ++i) {
    boost::random::uniform_int_distribution<std::size_t> index_distribution(i, peers.size() - 1);
    std::swap(peers[i], peers[index_distribution(m_random)]);
  }
  if (peers.size() > count) peers.resize(count);
  return peers;
}

void Membership::AnnounceNow(Instant) {
  for (const auto& peer : RandomPeers(static_cast<std::size_t>(m_settings.m_announce_fanout), {})) {
    Send(m_members.at(peer), MakeMessage(GossipKind::kAnnounce));
  }
}

void Membership::SendConstraints(const std::string& node, const std::vector<AnnouncedConstraint>& constraints,
                                 Instant now) {
  const auto member = m_members.find(node);
  if (member == m_members.end() || node == m_self) return;
  const auto step = static_cast<std::size_t>(m_settings.m_constraints_per_message);
  for (std::size_t first = 0; first < constraints.size(); first += step) {
    GossipMessage message = MakeMessage(GossipKind::kAnnounce);
    const std::size_t last = std::min(constraints.size(), first + step);
    message.m_constraints.assign(constraints.begin() + static_cast<std::ptrdiff_t>(first),
                                 constraints.begin() + static_cast<std::ptrdiff_t>(last));
    message.m_constraints_version = now.time_since_epoch().count();
    Send(member->second, std::move(message));
  }
}

void Membership::SendCrashRecords(const std::string& node, const std::vector<AnnouncedCrashRecord>& records) {
  const auto member = m_members.find(node);
  if (member == m_members.end() || node == m_self) return;
  SendCrashRecordsTo(member->second.m_address, member->second.m_gossip_port, records);
}

void Membership::SendCrashRecordsTo(const std::string& address, std::int64_t port,
                                    const std::vector<AnnouncedCrashRecord>& records) {
  const auto step = static_cast<std::size_t>(m_settings.m_crash_records_per_message);
  for (std::size_t first = 0; first < records.size(); first += step) {
    GossipMessage message = MakeMessage(GossipKind::kAnnounce);
    const std::size_t last = std::min(records.size(), first + step);
    message.m_crash_records.assign(records.begin() + static_cast<std::ptrdiff_t>(first),
                                   records.begin() + static_cast<std::ptrdiff_t>(last));
    SendTo(address, port, std::move(message));
  }
}

void Membership::SendQuotas(const std::string& node, std::vector<QuotaAsk> asks,
                            std::vector<QuotaGrant> grants) {
  const auto member = m_members.find(node);
  if (member == m_members.end() || node == m_self) return;
  GossipMessage message;
  message.m_kind = GossipKind::kAnnounce;
  message.m_from = m_self;
  message.m_revision = m_revision;
  message.m_digest = m_digest;
  message.m_quota_asks = std::move(asks);
  message.m_quota_grants = std::move(grants);
  Send(member->second, std::move(message));
}

void Membership::AnnounceRevision(std::int64_t revision, Instant now) {
  m_revision = revision;
  m_revision_rounds_left = m_settings.m_revision_rounds;
  SendRevisionRound(now);
}

void Membership::SendRevisionRound(Instant now) {
  --m_revision_rounds_left;
  m_next_revision_round = now + m_settings.m_revision_interval;
  int zone_budget = m_settings.m_zone_fanout;
  int any_zone_budget = m_settings.m_any_zone_fanout;
  for (const auto& peer : RandomPeers(m_members.size(), {})) {
    if (m_peer_revisions[peer] >= m_revision) continue;
    int& budget =
        m_members.at(peer).m_zone == Self().m_zone && zone_budget > 0 ? zone_budget : any_zone_budget;
    if (budget <= 0) continue;
    --budget;
    Send(m_members.at(peer), MakeMessage(GossipKind::kAnnounce));
  }
}

void Membership::Leave(MemberState state, Instant now) {
  Member& self = m_members.at(m_self);
  ++self.m_incarnation;
  SetState(self, state, now);
  AnnounceNow(now);
}

void Membership::StartProbe(Instant now) {
  while (m_probe_index < m_probe_order.size()) {
    const auto target = m_members.find(m_probe_order[m_probe_index++]);
    if (target == m_members.end() || !IsActive(target->second) || target->first == m_self) continue;
    m_probe = {m_next_probe++, target->first, now, false};
    GossipMessage ping = MakeMessage(GossipKind::kPing);
    ping.m_probe = m_probe.m_number;
    ping.m_target = target->first;
    return Send(target->second, std::move(ping));
  }
  // A new round probes every node once, in random order.
  m_probe_order = RandomPeers(m_members.size(), {});
  m_probe_index = 0;
}

void Membership::CheckProbe(Instant now) {
  if (m_probe.m_number == 0) return;
  const Duration waited = now - m_probe.m_started;
  if (waited >= m_settings.m_ack_timeout && !m_probe.m_indirect_sent) {
    m_probe.m_indirect_sent = true;
    for (const auto& peer :
         RandomPeers(static_cast<std::size_t>(m_settings.m_indirect_probes), m_probe.m_target)) {
      GossipMessage request = MakeMessage(GossipKind::kPingRequest);
      request.m_probe = m_probe.m_number;
      request.m_target = m_probe.m_target;
      Send(m_members.at(peer), std::move(request));
    }
  }
  // A node that misses many acks is probably slow itself, so it waits longer.
  if (waited < m_settings.m_period * (1 + m_health_multiplier) * 9 / 10) return;
  m_health_multiplier = std::min(kMaxHealthMultiplier, m_health_multiplier + 1);
  if (const auto target = m_members.find(m_probe.m_target);
      target != m_members.end() && target->second.m_state == MemberState::kAlive) {
    SetState(target->second, MemberState::kSuspect, now);
  }
  m_probe.m_number = 0;
}

Duration Membership::SuspicionTimeout() const {
  const double growth = std::max(1.0, std::log10(static_cast<double>(m_members.size())));
  return FromSeconds(ToSeconds(m_settings.m_min_suspicion) * growth);
}

void Membership::ExpireMembers(Instant now) {
  std::vector<std::string> expired;
  for (auto& [name, member] : m_members) {
    if (name == m_self) continue;
    const Duration age = now - m_state_changed[name];
    if (member.m_state == MemberState::kSuspect && age >= SuspicionTimeout())
      SetState(member, MemberState::kDead, now);
    const bool removable = member.m_state == MemberState::kDead || member.m_state == MemberState::kLeft;
    if (removable && now - m_state_changed[name] >= m_settings.m_dead_retention) expired.push_back(name);
  }
  for (const auto& name : expired) {
    m_members.erase(name);
    m_peer_revisions.erase(name);
    m_state_changed.erase(name);
    m_pending_updates.erase(name);
  }
  std::erase_if(m_relayed_pings,
                [&](const auto& item) { return now - item.second.m_started > 2 * m_settings.m_period; });
}

void Membership::Tick(Instant now) {
  CheckProbe(now);
  if (m_revision_rounds_left > 0 && now >= m_next_revision_round) SendRevisionRound(now);
  if (now < m_next_period) return;
  m_next_period = now + m_settings.m_period;
  ExpireMembers(now);
  if (m_candidates.size() <= 1) {
    // No other node is known: request member lists from the seeds. Answers may be lost, and a node that has
    // just started is of no use before it has one.
    if (m_fast_joins < m_settings.m_fast_joins) {
      ++m_fast_joins;
      m_next_period = now + m_settings.m_fast_join_period;
    }
    for (const auto& seed : m_seeds) SendTo(seed.m_address, seed.m_port, MakeMessage(GossipKind::kJoin));
    return;
  }
  if (m_probe.m_number == 0) StartProbe(now);
  if (++m_periods % kPeriodsPerDeadProbe == 0) ProbeDeadMember();
}

void Membership::ProbeDeadMember() {
  std::vector<std::string> dead;
  for (const auto& [name, member] : m_members) {
    if (member.m_state == MemberState::kDead) dead.push_back(name);
  }
  if (dead.empty()) return;
  boost::random::uniform_int_distribution<std::size_t> index_distribution(0, dead.size() - 1);
  const std::string& target = dead[index_distribution(m_random)];
  // The ping carries the update that declares the target dead, which a live target refutes.
  QueueUpdate(target);
  GossipMessage ping = MakeMessage(GossipKind::kPing);
  ping.m_target = target;
  Send(m_members.at(target), std::move(ping));
}

}  // namespace fescueramp
