#include "fescueramp/membership/membership.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "fescueramp/core/hash.h"

namespace fescueramp {
namespace {

constexpr int kMaxLocalHealth = 4;
constexpr int kMaxSpread = 60;
constexpr std::size_t kMaxRelayedProbes = 256;
constexpr int kMismatchesToSync = 3;
constexpr Duration kSyncPeriod = std::chrono::seconds(1);
constexpr Duration kSyncPeriodPerMember = std::chrono::milliseconds(100);
constexpr std::int64_t kPeriodsPerRevival = 5;  ///< One dead node is probed per this many periods.

bool MayOwn(const Member& member) {
  return member.m_state == MemberState::kAlive || member.m_state == MemberState::kSuspect;
}

bool Reachable(const Member& member) { return MayOwn(member) || member.m_state == MemberState::kLeaving; }

}  // namespace

Membership::Membership(Member self, std::vector<SeedAddress> seeds, MembershipSettings settings,
                       std::uint32_t random_seed)
    : m_self(self.m_node), m_seeds(std::move(seeds)), m_settings(settings), m_random(random_seed) {
  m_members.emplace(m_self, std::move(self));
  Spread(m_self);
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
    if (Reachable(member)) digest ^= Hash64(name, static_cast<std::uint64_t>(member.m_incarnation));
  }
  m_digest = static_cast<std::int64_t>(digest >> 1);
}

void Membership::CompareDigest(const GossipMessage& message, const std::string& address, std::int64_t port,
                               Instant now) {
  m_mismatches = message.m_digest == m_digest ? 0 : m_mismatches + 1;
  if (m_mismatches < kMismatchesToSync || now < m_next_sync) return;
  m_mismatches = 0;
  // A whole list grows with the fleet, so the larger the fleet, the rarer it is asked for.
  m_next_sync = now + kSyncPeriod + kSyncPeriodPerMember * static_cast<std::int64_t>(m_members.size());
  SendTo(address, port, NewMessage(GossipKind::kJoin));
}

void Membership::RebuildCandidates() {
  UpdateDigest();
  std::vector<std::string> candidates;
  for (const auto& [name, member] : m_members) {
    if (MayOwn(member)) candidates.push_back(name);
  }
  if (candidates == m_candidates) return;
  m_candidates = std::move(candidates);
  ++m_candidates_version;
}

void Membership::Spread(const std::string& node) { m_updates[node] = 0; }

GossipMessage Membership::NewMessage(GossipKind kind) {
  GossipMessage message;
  message.m_kind = kind;
  message.m_from = m_self;
  message.m_revision = m_revision;
  message.m_digest = m_digest;
  message.m_leaving_version = m_leaving_version;
  message.m_leaving_endpoints = m_leaving_endpoints;
  // The updates that were sent least go first.
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [node, sent] : m_updates) order.emplace_back(sent, node);
  std::sort(order.begin(), order.end());
  if (order.size() > static_cast<std::size_t>(m_settings.m_updates_per_message)) {
    order.resize(static_cast<std::size_t>(m_settings.m_updates_per_message));
  }
  const double fleet = static_cast<double>(m_members.size());
  const int enough =
      std::min(kMaxSpread, m_settings.m_spread_factor * static_cast<int>(std::ceil(std::log2(fleet + 1))));
  for (const auto& [sent, node] : order) {
    if (const auto member = m_members.find(node); member != m_members.end())
      message.m_updates.push_back(member->second);
    if (sent + 1 >= enough)
      m_updates.erase(node);
    else
      ++m_updates[node];
  }
  return message;
}

void Membership::SendTo(const std::string& address, std::int64_t port, GossipMessage message) {
  m_effects.emplace_back(SendGossip{address, port, std::move(message)});
}

void Membership::Send(const Member& to, GossipMessage message) {
  SendTo(to.m_address, to.m_gossip_port, std::move(message));
}

void Membership::SetState(Member& member, MemberState state, Instant now) {
  member.m_state = state;
  m_changed[member.m_node] = now;
  Spread(member.m_node);
  m_effects.emplace_back(ReportMember{member});
  RebuildCandidates();
}

void Membership::Refute(const Member& update) {
  Member& self = m_members.at(m_self);
  const bool accurate = update.m_state == self.m_state || update.m_state == MemberState::kAlive;
  if (accurate || update.m_incarnation < self.m_incarnation) return;
  self.m_incarnation = update.m_incarnation + 1;
  UpdateDigest();
  Spread(m_self);
}

void Membership::Merge(const Member& update, Instant now) {
  if (update.m_node == m_self) return Refute(update);
  auto [found, added] = m_members.try_emplace(update.m_node, update);
  Member& known = found->second;
  if (added) {
    m_changed[update.m_node] = now;
    Spread(update.m_node);
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
    Spread(update.m_node);
}

void Membership::AddFound(const std::vector<Member>& members, Instant now) {
  for (const auto& member : members) {
    if (member.m_node == m_self) continue;
    const auto known = m_members.find(member.m_node);
    if (known != m_members.end() && known->second.m_incarnation >= member.m_incarnation) continue;
    Merge(member, now);
    // The others find it in the store as well.
    m_updates.erase(member.m_node);
  }
}

void Membership::Receive(const GossipMessage& message, const std::string& address, std::int64_t port,
                         Instant now) {
  if (message.m_from == m_self) return;
  m_last_heard = now;
  m_peer_revisions[message.m_from] = message.m_revision;
  for (const auto& update : message.m_updates) Merge(update, now);
  switch (message.m_kind) {
    case GossipKind::kPing: {
      if (message.m_target != m_self && !message.m_target.empty()) return;
      CompareDigest(message, address, port, now);
      // A node that wrongly thinks itself in the fleet learns what the fleet believes of it.
      if (const auto sender = m_members.find(message.m_from);
          sender != m_members.end() && sender->second.m_state != MemberState::kAlive) {
        Spread(message.m_from);
      }
      GossipMessage ack = NewMessage(GossipKind::kAck);
      ack.m_probe = message.m_probe;
      ack.m_target = m_self;
      return SendTo(address, port, std::move(ack));
    }
    case GossipKind::kAck: {
      CompareDigest(message, address, port, now);
      if (message.m_probe == m_probe.m_number) {
        m_probe.m_number = 0;
        m_local_health = std::max(0, m_local_health - 1);
      }
      const auto relayed = m_relayed_probes.find(message.m_probe);
      if (relayed == m_relayed_probes.end()) return;
      if (const auto asker = m_members.find(relayed->second.m_for); asker != m_members.end()) {
        GossipMessage ack = NewMessage(GossipKind::kAck);
        ack.m_probe = relayed->second.m_their_number;
        ack.m_target = message.m_target;
        Send(asker->second, std::move(ack));
      }
      m_relayed_probes.erase(relayed);
      return;
    }
    case GossipKind::kPingRequest: {
      const auto target = m_members.find(message.m_target);
      if (target == m_members.end() || m_relayed_probes.size() >= kMaxRelayedProbes) return;
      GossipMessage ping = NewMessage(GossipKind::kPing);
      ping.m_probe = m_next_probe++;
      ping.m_target = message.m_target;
      m_relayed_probes[ping.m_probe] = {message.m_from, message.m_probe, now};
      return Send(target->second, std::move(ping));
    }
    case GossipKind::kJoin:
      return SendMemberList(address, port);
    case GossipKind::kAnnounce:
      return;
  }
}

void Membership::SendMemberList(const std::string& address, std::int64_t port) {
  GossipMessage part = NewMessage(GossipKind::kAnnounce);
  part.m_updates.clear();
  for (const auto& [name, member] : m_members) {
    part.m_updates.push_back(member);
    if (part.m_updates.size() < static_cast<std::size_t>(m_settings.m_members_per_list)) continue;
    SendTo(address, port, part);
    part.m_updates.clear();
  }
  SendTo(address, port, std::move(part));
}

std::vector<std::string> Membership::RandomPeers(std::size_t count, const std::string& except) {
  std::vector<std::string> peers;
  for (const auto& [name, member] : m_members) {
    if (name != m_self && name != except && Reachable(member)) peers.push_back(name);
  }
  for (std::size_t i = 0; i < std::min(count, peers.size()); ++i) {
    boost::random::uniform_int_distribution<std::size_t> any(i, peers.size() - 1);
    std::swap(peers[i], peers[any(m_random)]);
  }
  if (peers.size() > count) peers.resize(count);
  return peers;
}

void Membership::AnnounceNow(Instant) {
  for (const auto& peer : RandomPeers(static_cast<std::size_t>(m_settings.m_announce_fanout), {})) {
    Send(m_members.at(peer), NewMessage(GossipKind::kAnnounce));
  }
}

void Membership::AnnounceRevision(std::int64_t revision, Instant now) {
  m_revision = revision;
  m_revision_rounds_left = m_settings.m_revision_rounds;
  AnnounceRevisionAgain(now);
}

void Membership::AnnounceRevisionAgain(Instant now) {
  --m_revision_rounds_left;
  m_next_revision_round = now + m_settings.m_revision_pause;
  int near = m_settings.m_zone_fanout;
  int far = m_settings.m_far_fanout;
  for (const auto& peer : RandomPeers(m_members.size(), {})) {
    if (m_peer_revisions[peer] >= m_revision) continue;
    int& left = m_members.at(peer).m_zone == Self().m_zone && near > 0 ? near : far;
    if (left <= 0) continue;
    --left;
    Send(m_members.at(peer), NewMessage(GossipKind::kAnnounce));
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
    if (target == m_members.end() || !Reachable(target->second) || target->first == m_self) continue;
    m_probe = {m_next_probe++, target->first, now, false};
    GossipMessage ping = NewMessage(GossipKind::kPing);
    ping.m_probe = m_probe.m_number;
    ping.m_target = target->first;
    return Send(target->second, std::move(ping));
  }
  // A new round probes everyone once, in random order.
  m_probe_order = RandomPeers(m_members.size(), {});
  m_probe_index = 0;
}

void Membership::JudgeProbe(Instant now) {
  if (m_probe.m_number == 0) return;
  const Duration waited = now - m_probe.m_started;
  if (waited >= m_settings.m_ack_timeout && !m_probe.m_asked_others) {
    m_probe.m_asked_others = true;
    for (const auto& peer :
         RandomPeers(static_cast<std::size_t>(m_settings.m_indirect_probes), m_probe.m_target)) {
      GossipMessage request = NewMessage(GossipKind::kPingRequest);
      request.m_probe = m_probe.m_number;
      request.m_target = m_probe.m_target;
      Send(m_members.at(peer), std::move(request));
    }
  }
  // A node that misses many acks is likely the slow one itself, and waits longer.
  if (waited < m_settings.m_period * (1 + m_local_health) * 9 / 10) return;
  m_local_health = std::min(kMaxLocalHealth, m_local_health + 1);
  if (const auto target = m_members.find(m_probe.m_target);
      target != m_members.end() && target->second.m_state == MemberState::kAlive) {
    SetState(target->second, MemberState::kSuspect, now);
  }
  m_probe.m_number = 0;
}

Duration Membership::SuspicionTime() const {
  const double growth = std::max(1.0, std::log10(static_cast<double>(m_members.size())));
  return FromSeconds(ToSeconds(m_settings.m_min_suspicion) * growth);
}

void Membership::ExpireSuspects(Instant now) {
  std::vector<std::string> forgotten;
  for (auto& [name, member] : m_members) {
    if (name == m_self) continue;
    const Duration age = now - m_changed[name];
    if (member.m_state == MemberState::kSuspect && age >= SuspicionTime())
      SetState(member, MemberState::kDead, now);
    const bool gone = member.m_state == MemberState::kDead || member.m_state == MemberState::kLeft;
    if (gone && now - m_changed[name] >= m_settings.m_forget_dead) forgotten.push_back(name);
  }
  for (const auto& name : forgotten) {
    m_members.erase(name);
    m_peer_revisions.erase(name);
    m_changed.erase(name);
    m_updates.erase(name);
  }
  std::erase_if(m_relayed_probes,
                [&](const auto& item) { return now - item.second.m_started > 2 * m_settings.m_period; });
}

void Membership::Tick(Instant now) {
  JudgeProbe(now);
  if (m_revision_rounds_left > 0 && now >= m_next_revision_round) AnnounceRevisionAgain(now);
  if (now < m_next_period) return;
  m_next_period = now + m_settings.m_period;
  ExpireSuspects(now);
  if (m_candidates.size() <= 1) {
    // Alone: ask the seeds who is there.
    for (const auto& seed : m_seeds) SendTo(seed.m_address, seed.m_port, NewMessage(GossipKind::kJoin));
    return;
  }
  if (m_probe.m_number == 0) StartProbe(now);
  if (++m_periods % kPeriodsPerRevival == 0) ProbeDead();
}

void Membership::ProbeDead() {
  std::vector<std::string> gone;
  for (const auto& [name, member] : m_members) {
    if (member.m_state == MemberState::kDead) gone.push_back(name);
  }
  if (gone.empty()) return;
  boost::random::uniform_int_distribution<std::size_t> any(0, gone.size() - 1);
  const std::string& target = gone[any(m_random)];
  // The ping carries the updates of its own death, which a live node refutes.
  Spread(target);
  GossipMessage ping = NewMessage(GossipKind::kPing);
  ping.m_target = target;
  Send(m_members.at(target), std::move(ping));
}

}  // namespace fescueramp
