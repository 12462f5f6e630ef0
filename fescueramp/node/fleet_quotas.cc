#include "fescueramp/node/fleet_quotas.h"

#include <algorithm>

#include "fescueramp/core/hash.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {
namespace {

/// Groups of accounts that share a grantor, so that a dispatcher's asks for several accounts share datagrams.
constexpr std::uint64_t kGroups = 32;
constexpr std::uint64_t kGroupSeed = 11;
/// Nodes that are asked in turn before this node grants a little itself.
constexpr std::size_t kGrantors = 3;
/// Time after its start in which a node learns of the others. Until then it would grant beside them.
constexpr Duration kStartTime = std::chrono::milliseconds(700);
/// The same for a node that joins running ones, where the earlier grantor goes on meanwhile.
constexpr Duration kJoinTime = std::chrono::seconds(2);
/// Time after a pause in which a node learns whether others regard it as lost.
constexpr Duration kPauseTime = std::chrono::seconds(1);
/// Difference of start times from which other nodes count as running before.
constexpr std::int64_t kEarlierStartMs = 3000;
/// Share of reached nodes below which losses may be those of a partition, and the time without a loss after
/// which the view has settled.
constexpr double kPartitionShare = 0.9;
constexpr Duration kSettlingTime = std::chrono::milliseconds(1500);
/// Time in which most nodes learn of a change of another one.
constexpr Duration kViewTime = std::chrono::seconds(1);
/// Time after the loss of a node in which a node that takes over is cautious.
constexpr Duration kLossTime = std::chrono::seconds(3);
constexpr std::size_t kMaxPerDatagram = 20;
constexpr Duration kReportPeriod = std::chrono::seconds(1);
/// Time without a refusal after which an account counts as back below its limit.
constexpr Duration kBackTime = std::chrono::seconds(2);
constexpr std::size_t kMaxExcessAccounts = 1024;

}  // namespace

QuotaLimit FleetQuotas::LimitOf(const std::shared_ptr<const RouteTable>& table, const std::string& account) {
  if (!table || account.empty()) return {};
  const ObjectSet& set = table->Set();
  const auto object = set.m_accounts.find(account);
  if (object == set.m_accounts.end() || object->second.m_limit.empty()) return {};
  return QuotaLimit(set.m_limits.at(object->second.m_limit));
}

void FleetQuotas::NoteMember(const Member& member, Instant now) {
  m_view_changed = true;
  m_last_change = now;
  // A dead node was suspected before, as a rule.
  const bool lost = member.m_state == MemberState::kSuspect;
  if (lost && member.m_node != m_membership.Self().m_node) m_last_loss = now;
}

void FleetQuotas::NotePause(Instant now) {
  m_paused = now;
  m_grantor.Reset();
}

bool FleetQuotas::JoinedRunningFleet() const {
  const Member& self = m_membership.Self();
  std::int64_t earlier = 0;
  std::int64_t others = 0;
  for (const auto& [name, member] : m_membership.Members()) {
    if (member.m_state != MemberState::kAlive || name == self.m_node) continue;
    ++others;
    // Incarnations begin with the start time, ms.
    if (member.m_incarnation < self.m_incarnation - kEarlierStartMs) ++earlier;
  }
  return 2 * earlier > others;
}

bool FleetQuotas::Ready(Instant now) const {
  if (m_membership.Self().m_state == MemberState::kLeaving) return false;
  if (m_paused != Instant{} && now - m_paused < kPauseTime) return false;
  return now - m_started >= (m_joined ? kJoinTime : kStartTime);
}

void FleetQuotas::UpdateView(Instant now) {
  if (m_started == Instant{}) m_started = now;
  if (!std::exchange(m_view_changed, false)) return;
  m_orders.clear();
  double reached = 0;
  double lost = 0;
  for (const auto& [name, member] : m_membership.Members()) {
    if (member.m_state == MemberState::kAlive) ++reached;
    if (member.m_state == MemberState::kSuspect || member.m_state == MemberState::kDead) ++lost;
  }
  if (now - m_started < kJoinTime) m_joined = JoinedRunningFleet();
  m_share = reached > 0 ? reached / (reached + lost) : 1;
  m_grantor.UpdateFirst([this](const std::string& account) { return IsFirst(account); }, now);
}

const std::vector<std::string>& FleetQuotas::OrderOf(const std::string& account) {
  const std::uint64_t group = Hash64(account, kGroupSeed) % kGroups;
  const auto [found, added] = m_orders.try_emplace(group);
  if (!added) return found->second;
  std::vector<std::string> alive;
  for (const auto& name : m_membership.OwnerCandidates()) {
    if (m_membership.Members().at(name).m_state == MemberState::kAlive) alive.push_back(name);
  }
  std::vector<std::string> order = RendezvousOrder("quota/" + std::to_string(group), alive);
  if (order.size() > kGrantors) order.resize(kGrantors);
  const std::string& self = m_membership.Self().m_node;
  if (std::find(order.begin(), order.end(), self) == order.end()) order.push_back(self);
  found->second = std::move(order);
  return found->second;
}

bool FleetQuotas::IsFirst(const std::string& account) {
  return OrderOf(account).front() == m_membership.Self().m_node;
}

QuotaVerdict FleetQuotas::Take(const DispatchRequest& request, Instant now, Duration& retry_after) {
  m_active = true;
  UpdateView(now);
  const QuotaVerdict verdict = m_client.Take(request.m_account, request.m_request_id, now, retry_after);
  if (verdict == QuotaVerdict::kWait) m_waiting[request.m_request_id] = request;
  if (verdict == QuotaVerdict::kRefused) CountRefusal(request.m_account, now);
  return verdict;
}

QuotaGrant FleetQuotas::Grant(const std::string& from, const QuotaAsk& ask,
                              const std::shared_ptr<const RouteTable>& table, Instant now) {
  GrantorRole role;
  role.m_first = IsFirst(ask.m_account);
  role.m_ready = table != nullptr && Ready(now);
  role.m_after_loss = m_last_loss != Instant{} && now - m_last_loss < kLossTime;
  role.m_view_new = m_last_change != Instant{} && now - m_last_change < kViewTime;
  role.m_unsettled =
      m_share < kPartitionShare && m_last_loss != Instant{} && now - m_last_loss < kSettlingTime;
  role.m_share = m_share;
  const QuotaLimit limit = LimitOf(table, ask.m_account);
  return m_grantor.Grant(from, ask, limit, role, now);
}

void FleetQuotas::Receive(const GossipMessage& message, const std::shared_ptr<const RouteTable>& table,
                          Instant now) {
  if (message.m_quota_asks.empty() && message.m_quota_grants.empty()) return;
  m_active = true;
  UpdateView(now);
  std::vector<QuotaGrant> grants;
  for (const QuotaAsk& ask : message.m_quota_asks) grants.push_back(Grant(message.m_from, ask, table, now));
  if (!grants.empty()) m_membership.SendQuotas(message.m_from, {}, std::move(grants));
  for (const QuotaGrant& grant : message.m_quota_grants) m_client.Apply(message.m_from, grant, now);
}

void FleetQuotas::Advance(const std::shared_ptr<const RouteTable>& table, Instant now) {
  if (m_started == Instant{}) m_started = now;
  if (!m_active) return;
  UpdateView(now);
  const std::string& self = m_membership.Self().m_node;
  std::map<std::string, std::vector<QuotaAsk>> by_node;
  for (auto& [node, ask] :
       m_client.TakeAsks([this](const std::string& name) { return OrderOf(name); }, now)) {
    if (node == self) {
      m_client.Apply(self, Grant(self, ask, table, now), now);
      continue;
    }
    std::vector<QuotaAsk>& asks = by_node[node];
    asks.push_back(std::move(ask));
    if (asks.size() >= kMaxPerDatagram) m_membership.SendQuotas(node, std::exchange(asks, {}), {});
  }
  for (auto& [node, asks] : by_node) {
    if (!asks.empty()) m_membership.SendQuotas(node, std::move(asks), {});
  }
}

std::vector<FleetQuotas::Ended> FleetQuotas::TakeEnded(Instant now) {
  std::vector<Ended> ended;
  if (!m_active) return ended;
  for (const QuotaOutcome& outcome : m_client.TakeOutcomes(now)) {
    auto waiting = m_waiting.extract(outcome.m_request_id);
    if (waiting.empty()) continue;
    if (!outcome.m_granted) CountRefusal(waiting.mapped().m_account, now);
    ended.push_back({std::move(waiting.mapped()), outcome.m_granted, outcome.m_retry_after});
  }
  return ended;
}

std::optional<DispatchRequest> FleetQuotas::TakeWaiting(const std::string& request_id) {
  auto waiting = m_waiting.extract(request_id);
  if (waiting.empty()) return std::nullopt;
  m_client.End(request_id);
  return std::move(waiting.mapped());
}

std::vector<DispatchRequest> FleetQuotas::ReleaseWaiting() {
  std::vector<DispatchRequest> requests;
  for (auto& [id, request] : std::exchange(m_waiting, {})) {
    m_client.End(id);
    requests.push_back(std::move(request));
  }
  return requests;
}

void FleetQuotas::CountRefusal(const std::string& account, Instant now) {
  if (m_excess.size() >= kMaxExcessAccounts && !m_excess.contains(account)) return;
  Excess& excess = m_excess[account];
  ++excess.m_refused;
  excess.m_last = now;
}

std::vector<ReportQuota> FleetQuotas::TakeReports(const std::shared_ptr<const RouteTable>& table,
                                                  Instant now) {
  std::vector<ReportQuota> reports;
  for (auto& [name, excess] : m_excess) {
    const bool ended = now - excess.m_last >= kBackTime;
    if (!ended && (excess.m_refused == 0 || now < excess.m_next_report)) continue;
    ReportQuota report;
    report.m_account = name;
    if (table) {
      const auto object = table->Set().m_accounts.find(name);
      if (object != table->Set().m_accounts.end()) report.m_group = object->second.m_group;
    }
    report.m_refused = std::exchange(excess.m_refused, 0);
    report.m_began = !std::exchange(excess.m_reported, true);
    report.m_ended = ended;
    excess.m_next_report = now + kReportPeriod;
    reports.push_back(std::move(report));
  }
  std::erase_if(m_excess, [&](const auto& item) { return now - item.second.m_last >= kBackTime; });
  return reports;
}

void FleetQuotas::Expire(Instant now) {
  m_client.Expire(now);
  m_grantor.Expire(now);
}

}  // namespace fescueramp
