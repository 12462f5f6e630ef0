#include "fescueramp/node/node_reducer.h"

#include <algorithm>

#include "fescueramp/config/object_set.h"
#include "fescueramp/dispatch/baseline_dispatcher.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {
namespace {

constexpr Duration kFetchTimeout = std::chrono::seconds(1);  ///< Another fetch may start after this.
/// Time without a datagram of another node after which a node watches the store itself. Two probes a second
/// normally arrive.
constexpr Duration kIsolationTimeout = std::chrono::milliseconds(1500);
/// Gap between events that means that the process was paused.
constexpr Duration kPauseThreshold = std::chrono::milliseconds(400);
constexpr std::int64_t kMaxHops = 1;  ///< Relays of one request.
/// Time without work after which the dispatcher of a part that another node owns is removed.
constexpr Duration kDispatcherIdleTimeout = std::chrono::seconds(5);
/// Less gossip is needed where nodes also find one another in the store.
constexpr int kDiscoveryRetransmitFactor = 1;
/// Time allowed for reading the list of endpoints.
constexpr Duration kEndpointListTimeout = std::chrono::milliseconds(250);
/// Time allowed for nodes to find one another.
constexpr Duration kWatchStartDelay = std::chrono::milliseconds(1500);
/// Time between two announcements of constraints; a third of the time for which an announcement counts.
constexpr Duration kConstraintAnnouncementPeriod = std::chrono::seconds(1);
/// First nodes of the owner order that receive constraints: the owner and those that take over from it.
constexpr std::size_t kConstraintReceivers = 3;
/// First nodes of the owner order that receive crash records: this node, as a rule, and the three that take
/// over.
constexpr std::size_t kCrashRecordReceivers = 4;
/// Crash records that a datagram which is sent anyway carries in addition: some 0.25 KB.
constexpr std::size_t kCrashRecordsPerGossip = 1;
/// Crash records for a node that has joined, some 2 KB, and how often they may be sent.
constexpr std::size_t kMaxCrashRecordsForNewNode = 8;
constexpr double kNewNodesPerSecond = 2;
constexpr double kNewNodeBurst = 12;
/// Time after its first datagram in which a node gets crash records with each response, as some are lost.
constexpr Duration kNewNodeTime = std::chrono::seconds(3);
/// Crash records a second that are sent back because the sender of a record lacked breaks.
constexpr double kCrashRepliesPerSecond = 2;
constexpr double kCrashReplyBurst = 20;
/// Longest time for which a node that has just started refuses callers because it knows no other node. The
/// answer to its join takes a round trip between regions at most.
constexpr Duration kJoinTimeout = std::chrono::milliseconds(300);
constexpr Duration kQuotaExpiryPeriod = std::chrono::seconds(1);
/// Longest search for other nodes before this node is ready.
constexpr Duration kDiscoveryTimeout = std::chrono::seconds(2);

MembershipSettings MembershipSettingsFor(const NodeSettings& settings) {
  MembershipSettings membership;
  if (settings.m_discovery) membership.m_retransmit_factor = kDiscoveryRetransmitFactor;
  return membership;
}

}  // namespace

NodeReducer::NodeReducer(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_membership(m_settings.m_self, m_settings.m_seeds, MembershipSettingsFor(m_settings),
                   static_cast<std::uint32_t>(m_settings.m_random_seed)),
      m_ownership(m_membership, m_settings.m_claim_groups, m_settings.m_policy == PolicyKind::kBaseline),
      m_quotas(m_membership, m_settings.m_self.m_incarnation),
      m_crash_records(std::make_shared<CrashRecords>(m_settings.m_self.m_node)),
      m_entry(m_membership, m_ownership, m_settings.m_claims, m_crash_records),
      m_discovery_done(!m_settings.m_discovery) {}

Effects NodeReducer::Reduce(const Event& event, Instant now) {
  DetectPause(now);
  if (m_started == Instant{}) m_started = now;
  std::visit([&](const auto& item) { Handle(item, now); }, event);
  AdvanceClaimLogs(now);
  AdvanceQuotas(now);
  InformNewOwners(now);
  AnnounceCrashRecords(now);
  TakeMembershipEffects(now);
  CheckShutdown(now);
  return std::exchange(m_effects, {});
}

void NodeReducer::DetectPause(Instant now) {
  // Ticks arrive far more often than kPauseThreshold, so a longer gap means that this process did not run.
  const bool paused = m_last_event != Instant{} && now - m_last_event > kPauseThreshold;
  m_last_event = now;
  if (!paused) return;
  m_quotas.NotePause(now);
  for (auto& [service, dispatcher] : m_dispatchers) dispatcher->HandlePause(now);
}

void NodeReducer::Handle(const Tick&, Instant now) {
  m_membership.Tick(now);
  m_constraints->Expire(now);
  m_crash_records->Expire(now);
  AnnounceConstraints(now);
  for (auto& [service, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    dispatcher->Tick(now, out);
    ApplyDispatchEffects(std::move(out), now);
  }
  if (m_first_event == Instant{}) m_first_event = now;
  m_discovery_done = m_discovery_done || !m_settings.m_discovery || now - m_first_event > kDiscoveryTimeout;
  if (m_discovery_done) OpenOwnedDispatchers(now);
  if (m_settings.m_discovery) {
    CloseUnusedDispatchers(now);
    ReleaseQueuesWithoutEndpoints(now);
  }
  // Nodes that start together know few others at first; without the delay all of them would watch the store.
  const bool may_watch =
      !m_settings.m_discovery || !m_dispatchers.empty() || now - m_first_event > kWatchStartDelay;
  if (may_watch) UpdateWatching(now);
}

void NodeReducer::Handle(const RequestReceived& event, Instant now) {
  if (m_caller_port_closed) {
    // What is left of the grace time may be too short for new work. Other nodes take it at once.
    m_effects.emplace_back(
        RefuseRequest{event.m_request_id, static_cast<std::int64_t>(ResultCode::kNotReady), 0, false});
    return;
  }
  m_entry.Receive(event, m_table, Joining(now), now, m_effects);
}

bool NodeReducer::Joining(Instant now) const {
  const bool may_find_others = m_settings.m_discovery || !m_settings.m_seeds.empty();
  return may_find_others && m_membership.Members().size() <= 1 && now - m_started < kJoinTimeout;
}

void NodeReducer::Handle(const ForwardEnded& event, Instant now) {
  m_entry.EndForward(event, now, m_effects);
}

void NodeReducer::Handle(const DispatchArrived& event, Instant now) {
  // A relay would end with this node, however long the work takes.
  if (m_leaving) return FinishUnstarted(event.m_request, ResultCode::kNotReady);
  const std::string& self = m_settings.m_self.m_node;
  const std::string owner = m_ownership.ReachableOwner(PartOf(event.m_request), now);
  // A request that another dispatcher handed back is not relayed, because that dispatcher may be the owner.
  const bool may_relay = event.m_hops < kMaxHops && event.m_request.m_forwards <= 1;
  if (owner != self && !owner.empty() && may_relay) {
    // The sender can't reach the owner or has another view of membership. Relaying the request to the owner
    // keeps one queue for the service.
    const Member& member = m_membership.Members().at(owner);
    m_relayed[event.m_request.m_request_id] = event.m_request;
    m_effects.emplace_back(
        RelayRequest{event.m_request.m_request_id, owner, member.m_address, member.m_link_port});
    return;
  }
  AcceptDispatch(event.m_request, now);
}

void NodeReducer::Handle(const RelayFailed& event, Instant now) {
  m_ownership.MarkUnreachable(event.m_node, now);
  const auto relayed = m_relayed.extract(event.m_request_id);
  if (relayed.empty()) return;
  DispatchRequest& request = relayed.mapped();
  request.m_maybe_ran = request.m_maybe_ran || event.m_maybe_ran;
  // Of non-repeatable work, the claim or the permit shows whether it has started.
  if (request.m_repeatable) request.m_max_attempts -= event.m_attempts;
  if (request.m_max_attempts <= 0) return FinishUnstarted(request, ResultCode::kResponseIncomplete);
  AcceptDispatch(request, now);
}

void NodeReducer::AcceptDispatch(const DispatchRequest& request, Instant now) {
  if (m_table && HasOutdatedSplit(request)) return FinishRedirected(request);
  Dispatcher* dispatcher = FindOrCreateDispatcher(PartOf(request), now);
  if (!dispatcher || m_leaving) return FinishUnstarted(request, ResultCode::kNotReady);
  const bool paths_failing = request.m_forwards <= kMaxHandBacks &&
                             m_membership.OwnerCandidates().size() > 1 && dispatcher->PathsFailing(now);
  const bool hands_back = paths_failing || MayHaveNewerListElsewhere(request);
  if (hands_back) return FinishUnstarted(request, ResultCode::kNotReady);
  if (TakeQuota(request, now)) StartAccepted(request, now);
}

bool NodeReducer::MayHaveNewerListElsewhere(const DispatchRequest& request) const {
  const std::int64_t other_nodes = std::ssize(m_membership.OwnerCandidates()) - 1;
  return m_endpoint_list.State() == EndpointListState::kLastKnown &&
         request.m_forwards <= std::min(kMaxHandBacks, other_nodes);
}

bool NodeReducer::TakeQuota(const DispatchRequest& request, Instant now) {
  // A request that may have run at another dispatcher was taken from the quota there.
  if (request.m_maybe_ran || !FleetQuotas::LimitOf(m_table, request.m_account).Limits()) return true;
  Duration retry_after{};
  const QuotaVerdict verdict = m_quotas.Take(request, now, retry_after);
  if (verdict == QuotaVerdict::kRefused) FinishUnstarted(request, ResultCode::kRateLimited, 0, retry_after);
  return verdict == QuotaVerdict::kGranted;
}

void NodeReducer::AdvanceQuotas(Instant now) {
  m_quotas.Advance(m_table, now);
  for (const FleetQuotas::Ended& ended : m_quotas.TakeEnded(now)) {
    if (!ended.m_granted) {
      FinishUnstarted(ended.m_request, ResultCode::kRateLimited, 0, ended.m_retry_after);
    } else if (m_leaving || !FindOrCreateDispatcher(PartOf(ended.m_request), now)) {
      FinishUnstarted(ended.m_request, ResultCode::kNotReady);
    } else {
      StartAccepted(ended.m_request, now);
    }
  }
  for (ReportQuota& report : m_quotas.TakeReports(m_table, now)) m_effects.emplace_back(std::move(report));
  if (now < m_next_quota_expiry) return;
  m_next_quota_expiry = now + kQuotaExpiryPeriod;
  m_quotas.Expire(now);
}

void NodeReducer::StartAccepted(const DispatchRequest& request, Instant now) {
  const bool claims =
      m_settings.m_claims && !request.m_repeatable && m_settings.m_policy == PolicyKind::kFair;
  if (claims) {
    m_claims[request.m_request_id] = {request, false, false, 0};
    return FindOrCreateClaimLog(request.m_service).Claim(request.m_claim_key, request.m_request_id, now);
  }
  m_part_by_request[request.m_request_id] = PartName(PartOf(request));
  DispatchEffects out;
  FindOrCreateDispatcher(PartOf(request), now)->Enqueue(request, now, out);
  ApplyDispatchEffects(std::move(out), now);
}

bool NodeReducer::HasOutdatedSplit(const DispatchRequest& request) {
  // A request that another dispatcher handed back is not redirected.
  if (request.m_forwards > 1 || !m_endpoint_list.Usable()) return false;
  const SplitView view = CurrentSplitView(request.m_service);
  // An entry host with a newer split made the better choice. One with an older split may not know of a new
  // part, whose endpoints would then get no work.
  return view.m_version > request.m_split_version && SplitDigest(view) != request.m_split_digest;
}

SplitView NodeReducer::CurrentSplitView(const std::string& service) {
  return {m_endpoint_list.Version(), CurrentSplit(service).Zones()};
}

const ServiceSplit& NodeReducer::CurrentSplit(const std::string& service) {
  CachedSplit& cached = m_splits[service];
  const std::int64_t generation = m_endpoint_list.Generation();
  if (cached.m_list_generation == generation && cached.m_revision == Revision()) return cached.m_split;
  cached.m_list_generation = generation;
  cached.m_revision = Revision();
  const auto object = m_table->Set().m_services.find(service);
  const bool exists = object != m_table->Set().m_services.end();
  cached.m_split.Update(m_endpoint_list.Endpoints(), service, exists ? object->second.m_part_endpoints : 0);
  return cached.m_split;
}

void NodeReducer::UpdateEndpoints(const OpenPart& open, Dispatcher& dispatcher, Instant now,
                                  DispatchEffects& out) {
  if (!m_endpoint_list.Usable()) return;
  const ServiceSplit& split = CurrentSplit(open.m_part.m_service);
  const auto parts = std::max<std::int64_t>(1, std::ssize(split.Zones()));
  dispatcher.SetLiveEndpoints(split.EndpointsOf(open.m_part, m_endpoint_list.Endpoints()), parts, now, out);
}

void NodeReducer::FinishRedirected(const DispatchRequest& request) {
  FinishUnstarted(request, ResultCode::kOtherPart);
  std::get<FinishRequest>(m_effects.back()).m_split = CurrentSplitView(request.m_service);
}

void NodeReducer::FinishUnstarted(const DispatchRequest& request, ResultCode code,
                                  std::int64_t recorded_status, Duration retry_after) {
  m_quotas.End(request.m_request_id);
  DecisionRecord record;
  record.m_request_id = request.m_request_id;
  record.m_dispatcher = m_settings.m_self.m_node;
  record.m_revision = Revision();
  record.m_outcome = GetResultInfo(code).m_name;
  m_effects.emplace_back(FinishRequest{request.m_request_id, static_cast<std::int64_t>(code),
                                       WholeMilliseconds(retry_after), recorded_status, request.m_maybe_ran,
                                       record});
}

Dispatcher* NodeReducer::FindOrCreateDispatcher(const ServicePart& part, Instant now) {
  if (!m_table || !m_table->Set().m_services.contains(part.m_service)) return nullptr;
  const std::string name = PartName(part);
  OpenPart& open = m_parts.try_emplace(name, OpenPart{part, now, now}).first->second;
  open.m_last_used = now;
  auto& dispatcher = m_dispatchers[name];
  if (!dispatcher) {
    const Member& self = m_settings.m_self;
    if (m_settings.m_policy == PolicyKind::kBaseline) {
      const auto seed = static_cast<std::uint32_t>(m_settings.m_random_seed);
      dispatcher = std::make_unique<BaselineDispatcher>(part.m_service, self.m_node, seed);
    } else {
      dispatcher = std::make_unique<FairDispatcher>(part, self.m_node, self.m_zone, HealthSettings{},
                                                    m_constraints, m_crash_records);
    }
    DispatchEffects out;
    dispatcher->Configure(m_table, out, now);
    UpdateEndpoints(open, *dispatcher, now, out);
    for (const auto& endpoint : m_membership.LeavingEndpoints())
      dispatcher->SetLeaving(endpoint, true, now, out);
    // Requests wait for the list of endpoints, so the watch doesn't wait for the next tick.
    if (m_settings.m_discovery) UpdateWatching(now);
  }
  return dispatcher.get();
}

ClaimLog& NodeReducer::FindOrCreateClaimLog(const std::string& service) {
  const std::string group = m_ownership.GroupOf(service);
  auto& claim_log = m_claim_logs[group];
  if (!claim_log) {
    ClaimSettings settings;
    settings.m_window = std::chrono::seconds(m_settings.m_claim_window_s);
    settings.m_batch_interval = std::chrono::milliseconds(m_settings.m_claim_batch_ms);
    claim_log = std::make_unique<ClaimLog>(group, m_settings.m_self.m_node, settings, m_store_operations);
  }
  return *claim_log;
}

void NodeReducer::Handle(const DispatchCancelled& event, Instant now) {
  m_relayed.erase(event.m_request_id);
  if (const auto waiting = m_quotas.TakeWaiting(event.m_request_id))
    return FinishUnstarted(*waiting, ResultCode::kNotRun);
  if (const auto claim = m_claims.find(event.m_request_id);
      claim != m_claims.end() && !claim->second.m_granted) {
    claim->second.m_cancelled = true;
    return;
  }
  const auto part = m_part_by_request.find(event.m_request_id);
  if (part == m_part_by_request.end()) return;
  DispatchEffects out;
  m_dispatchers.at(part->second)->Cancel(event.m_request_id, now, out);
  ApplyDispatchEffects(std::move(out), now);
}

void NodeReducer::Handle(const AttemptEnded& event, Instant now) {
  // The request may have ended already; its attempt still holds a slot.
  const auto dispatcher = m_dispatchers.find(event.m_result.m_part);
  if (dispatcher == m_dispatchers.end()) return;
  if (const auto claim = m_claims.find(event.m_result.m_request_id); claim != m_claims.end()) {
    claim->second.m_status = event.m_result.m_status;
  }
  DispatchEffects out;
  dispatcher->second->EndAttempt(event.m_result, now, out);
  ApplyDispatchEffects(std::move(out), now);
}

void NodeReducer::ApplyDispatchEffects(DispatchEffects effects, Instant now) {
  for (auto& effect : effects) {
    if (const auto* start = std::get_if<StartAttempt>(&effect)) m_quotas.Start(start->m_request_id);
    if (auto* finish = std::get_if<FinishRequest>(&effect)) {
      if (finish->m_code == static_cast<std::int64_t>(ResultCode::kOtherPart)) {
        finish->m_split = CurrentSplitView(finish->m_record.m_service);
        finish->m_part_full = true;
      }
      m_quotas.End(finish->m_request_id);
      FinishClaim(finish->m_request_id, false, finish->m_code, now);
      m_part_by_request.erase(finish->m_request_id);
    } else if (const auto* deliver = std::get_if<DeliverResponse>(&effect)) {
      m_quotas.End(deliver->m_request_id);
      FinishClaim(deliver->m_request_id, true, 0, now);
      m_part_by_request.erase(deliver->m_request_id);
    }
    std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
  }
}

void NodeReducer::FinishClaim(const std::string& request_id, bool delivered, std::int64_t code, Instant now) {
  const auto claim = m_claims.find(request_id);
  if (claim == m_claims.end()) return;
  const DispatchRequest& request = claim->second.m_request;
  ClaimLog& claim_log = FindOrCreateClaimLog(request.m_service);
  const auto result = static_cast<ResultCode>(code);
  if (delivered) {
    claim_log.Complete(request.m_claim_key, request_id, claim->second.m_status, now);
  } else if (result == ResultCode::kNotRun || result == ResultCode::kQuarantined) {
    claim_log.Release(request.m_claim_key, request_id, now);
  }
  // With any other result the claim stays, because the work may have run.
  m_claims.erase(claim);
}

void NodeReducer::AdvanceClaimLogs(Instant now) {
  for (auto& [group, claim_log] : m_claim_logs) {
    claim_log->Advance(now);
    for (const auto& response : claim_log->TakeResponses()) ApplyClaimResponse(response, now);
    for (auto& effect : claim_log->TakeEffects()) {
      std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
    }
  }
}

void NodeReducer::ApplyClaimResponse(const ClaimResponse& response, Instant now) {
  const auto claim = m_claims.find(response.m_request_id);
  if (claim == m_claims.end()) return;
  if (response.m_verdict == ClaimVerdict::kGranted) return StartClaimed(claim->second, now);
  ResultCode code = ResultCode::kOutcomeUnknown;
  if (response.m_verdict == ClaimVerdict::kDone) code = ResultCode::kAlreadyRun;
  const DispatchRequest request = claim->second.m_request;
  if (response.m_verdict == ClaimVerdict::kUnavailable && !request.m_maybe_ran)
    code = ResultCode::kAttemptNotRun;
  m_claims.erase(claim);
  FinishUnstarted(request, code, response.m_recorded_status);
}

void NodeReducer::StartClaimed(RequestClaim& claim, Instant now) {
  DispatchRequest request = claim.m_request;
  // Another dispatcher that had started the work would hold the claim.
  request.m_maybe_ran = false;
  claim.m_granted = true;
  Dispatcher* dispatcher = claim.m_cancelled ? nullptr : FindOrCreateDispatcher(PartOf(request), now);
  if (!dispatcher) {
    // The caller has left or the service was removed, so the claim is released.
    FinishClaim(request.m_request_id, false, static_cast<std::int64_t>(ResultCode::kNotRun), now);
    return FinishUnstarted(request, ResultCode::kNotRun);
  }
  m_part_by_request[request.m_request_id] = PartName(PartOf(request));
  DispatchEffects out;
  dispatcher->Enqueue(request, now, out);
  ApplyDispatchEffects(std::move(out), now);
}

void NodeReducer::Handle(const GossipReceived& event, Instant now) {
  const GossipMessage& message = event.m_message;
  m_membership.Receive(message, event.m_address, event.m_port, now);
  if (m_membership.SetLeaving(message.m_leaving_version, message.m_leaving_endpoints)) {
    ApplyLeavingEndpoints(now);
    m_membership.AnnounceNow(now);
  }
  MergeConstraints(message, now);
  m_quotas.Receive(message, m_table, now);
  MergeCrashRecords(event, now);
  SendCrashRecordsToNewNode(event, now);
  const auto sender = m_membership.Members().find(message.m_from);
  if (message.m_revision <= Revision() || now < m_fetch_until || sender == m_membership.Members().end())
    return;
  m_fetch_until = now + kFetchTimeout;
  const bool near = sender->second.m_zone == m_settings.m_self.m_zone;
  m_effects.emplace_back(FetchConfiguration{message.m_from, sender->second.m_address,
                                            sender->second.m_link_port, near, message.m_revision});
}

void NodeReducer::MergeConstraints(const GossipMessage& message, Instant now) {
  for (const AnnouncedConstraint& constraint : message.m_constraints) {
    if (!m_constraints->Merge(constraint, message.m_from, message.m_constraints_version, now)) continue;
    m_effects.emplace_back(
        ReportConstraint{{},
                         constraint.m_endpoint,
                         m_constraints->Get(constraint.m_endpoint, constraint.m_started_ms).m_limit_per_s,
                         constraint.m_leaving,
                         constraint.m_pause_ms,
                         message.m_from});
  }
}

void NodeReducer::MergeCrashRecords(const GossipReceived& event, Instant now) {
  std::vector<AnnouncedCrashRecord> replies;
  for (const AnnouncedCrashRecord& record : event.m_message.m_crash_records) {
    if (m_crash_records->Merge(record, now).m_sender_lacks &&
        m_crash_replies.Take(now, kCrashRepliesPerSecond, kCrashReplyBurst))
      replies.push_back(m_crash_records->ToAnnounce(record.m_fingerprint, now));
  }
  m_membership.SendCrashRecordsTo(event.m_address, event.m_port, replies);
}

void NodeReducer::SendCrashRecordsToNewNode(const GossipReceived& event, Instant now) {
  const auto sender = m_membership.Members().find(event.m_message.m_from);
  if (sender == m_membership.Members().end()) return;
  auto& [incarnation, since] = m_heard_nodes[event.m_message.m_from];
  if (std::exchange(incarnation, sender->second.m_incarnation) != sender->second.m_incarnation) since = now;
  const bool is_new = now - since < kNewNodeTime || event.m_message.m_kind == GossipKind::kJoin;
  if (m_crash_records->Empty() || !is_new) return;
  if (!m_new_nodes.Take(now, kNewNodesPerSecond, kNewNodeBurst)) return;
  m_membership.SendCrashRecordsTo(event.m_address, event.m_port,
                                  m_crash_records->ForNewNode(kMaxCrashRecordsForNewNode, now));
}

void NodeReducer::InformNewOwners(Instant now) {
  if (m_informed_candidates_version == m_membership.CandidatesVersion()) return;
  m_informed_candidates_version = m_membership.CandidatesVersion();
  if (m_crash_records->Empty()) return;
  std::set<std::string> owners;
  for (const auto& [name, open] : m_parts) owners.insert(m_ownership.Owner(open.m_part));
  for (const auto& node : owners)
    m_membership.SendCrashRecords(node, m_crash_records->ForNewNode(kMaxCrashRecordsForNewNode, now));
}

void NodeReducer::AnnounceCrashRecords(Instant now) {
  for (const auto& [name, records] : m_crash_records->TakeAnnouncements(now)) {
    const auto open = m_parts.find(name);
    if (open == m_parts.end()) continue;
    for (const auto& node : m_ownership.FirstOwners(open->second.m_part, kCrashRecordReceivers))
      m_membership.SendCrashRecords(node, records);
  }
}

void NodeReducer::AnnounceConstraints(Instant now) {
  if (m_constraints->Empty() || now < m_next_constraint_announcement) return;
  m_next_constraint_announcement = now + kConstraintAnnouncementPeriod;
  const std::set<std::string> senders = m_constraints->Senders(now);
  for (const auto& [name, dispatcher] : m_dispatchers) {
    const std::vector<AnnouncedConstraint> constraints = dispatcher->ConstraintsToAnnounce(now);
    if (constraints.empty()) continue;
    std::set<std::string> receivers = senders;
    for (auto& node : m_ownership.FirstOwners(m_parts.at(name).m_part, kConstraintReceivers))
      receivers.insert(std::move(node));
    for (const auto& node : receivers) m_membership.SendConstraints(node, constraints, now);
  }
}

void NodeReducer::Handle(const StoreResponded& event, Instant now) {
  for (auto& [group, claim_log] : m_claim_logs) claim_log->HandleStoreResponse(event, now);
}

void NodeReducer::Handle(const ConfigurationLoaded& event, Instant now) {
  m_fetch_until = {};
  // An older revision never replaces a newer one.
  if (event.m_revision <= Revision()) return;
  try {
    ParsedObjectSet parsed = ParseObjectSetParts(event.m_parts);
    if (!parsed.m_mistakes.empty()) {
      const Mistake& first = parsed.m_mistakes.front();
      m_effects.emplace_back(ReportConfiguration{event.m_revision, first.m_object + ": " + first.m_problem});
      return;
    }
    m_table = std::make_shared<RouteTable>(event.m_revision, std::move(parsed.m_set));
  } catch (const Error& error) {
    m_effects.emplace_back(ReportConfiguration{event.m_revision, error.what()});
    return;
  }
  m_effects.emplace_back(ReportConfiguration{event.m_revision, {}});
  const auto& services = m_table->Set().m_services;
  for (auto& [name, dispatcher] : m_dispatchers) {
    // The dispatcher of a removed service finishes its requests with the previous configuration.
    if (!services.contains(m_parts.at(name).m_part.m_service)) continue;
    DispatchEffects out;
    dispatcher->Configure(m_table, out, now);
    UpdateEndpoints(m_parts.at(name), *dispatcher, now, out);
    ApplyDispatchEffects(std::move(out), now);
  }
  CloseDispatchersIf([&](const OpenPart& open, const Dispatcher& dispatcher) {
    return !services.contains(open.m_part.m_service) && dispatcher.Idle();
  });
  m_membership.AnnounceRevision(event.m_revision, now);
}

void NodeReducer::Handle(const ConfigurationFailed&, Instant) { m_fetch_until = {}; }

void NodeReducer::Handle(const HostsListed& event, Instant now) {
  if (!m_membership.SetLeaving(event.m_version, event.m_leaving)) return;
  ApplyLeavingEndpoints(now);
  m_membership.AnnounceNow(now);
}

void NodeReducer::ApplyLeavingEndpoints(Instant now) {
  const auto& leaving = m_membership.LeavingEndpoints();
  for (auto& [service, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    for (const auto& status : dispatcher->Endpoints(now)) {
      const bool leaves = std::find(leaving.begin(), leaving.end(), status.m_endpoint) != leaving.end();
      dispatcher->SetLeaving(status.m_endpoint, leaves, now, out);
    }
    ApplyDispatchEffects(std::move(out), now);
  }
}

void NodeReducer::Handle(const EndpointsListed& event, Instant now) {
  bool taken = false;
  ChangeEndpointList([&] { taken = m_endpoint_list.Set(event.m_version, event.m_endpoints); });
  if (taken) ApplyEndpointList(now);
}

void NodeReducer::ApplyEndpointList(Instant now) {
  for (auto& [name, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    UpdateEndpoints(m_parts.at(name), *dispatcher, now, out);
    ApplyDispatchEffects(std::move(out), now);
  }
}

void NodeReducer::Handle(const EndpointListFailed&, Instant now) {
  if (ChangeEndpointList([&] { m_endpoint_list.HandleReadFailure(now); })) ApplyEndpointList(now);
}

template <typename Change>
bool NodeReducer::ChangeEndpointList(const Change& change) {
  const EndpointListState previous = m_endpoint_list.State();
  change();
  if (m_endpoint_list.State() == previous) return false;
  m_effects.emplace_back(ReportEndpointList{m_endpoint_list.State(), m_endpoint_list.Version()});
  return true;
}

void NodeReducer::Handle(const NodesFound& event, Instant now) {
  m_membership.AddDiscovered(event.m_members, now);
  m_discovery_done = true;
}

void NodeReducer::Handle(const ShutdownRequested&, Instant now) {
  if (m_leaving) return;
  m_leaving = true;
  m_membership.Leave(MemberState::kLeaving, now);
  for (const auto& request : m_quotas.ReleaseWaiting()) FinishUnstarted(request, ResultCode::kNotReady);
  for (auto& [service, dispatcher] : m_dispatchers) {
    for (const auto& request : dispatcher->ReleaseQueue()) {
      m_part_by_request.erase(request.m_request_id);
      FinishUnstarted(request, ResultCode::kNotReady);
    }
  }
}

void NodeReducer::Handle(const CallerPortClosed&, Instant) { m_caller_port_closed = true; }

void NodeReducer::CheckShutdown(Instant now) {
  if (!m_leaving || m_shutdown_reported) return;
  const bool idle =
      m_entry.Empty() && m_part_by_request.empty() && m_claims.empty() && m_quotas.Idle() &&
      std::all_of(m_claim_logs.begin(), m_claim_logs.end(), [](const auto& k) { return k.second->Idle(); });
  if (!idle) return;
  m_shutdown_reported = true;
  m_membership.Leave(MemberState::kLeft, now);
  TakeMembershipEffects(now);
  m_effects.emplace_back(ShutdownComplete{});
}

void NodeReducer::TakeMembershipEffects(Instant now) {
  for (auto& effect : m_membership.TakeEffects()) {
    if (const auto* report = std::get_if<ReportMember>(&effect)) m_quotas.NoteMember(report->m_member, now);
    auto* gossip = std::get_if<SendGossip>(&effect);
    if (gossip && gossip->m_message.m_crash_records.empty()) {
      gossip->m_message.m_crash_records =
          m_crash_records->TakeGossip(kCrashRecordsPerGossip, m_membership.MaxTransmissions(), now);
    }
    std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
  }
}

void NodeReducer::OpenOwnedDispatchers(Instant now) {
  const std::int64_t members = m_membership.CandidatesVersion();
  if (!m_table || (m_opened_candidates_version == members && m_opened_revision == Revision())) return;
  m_opened_candidates_version = members;
  m_opened_revision = Revision();
  for (const auto& [service, object] : m_table->Set().m_services) {
    if (m_ownership.Owner({service, {}}) == m_settings.m_self.m_node)
      FindOrCreateDispatcher({service, {}}, now);
  }
}

void NodeReducer::CloseDispatchersIf(
    const std::function<bool(const OpenPart& open, const Dispatcher& dispatcher)>& should_close) {
  std::erase_if(m_dispatchers,
                [&](const auto& item) { return should_close(m_parts.at(item.first), *item.second); });
  std::erase_if(m_parts, [&](const auto& item) { return !m_dispatchers.contains(item.first); });
}

void NodeReducer::CloseUnusedDispatchers(Instant now) {
  CloseDispatchersIf([&](const OpenPart& open, const Dispatcher& dispatcher) {
    const bool unused = now - open.m_last_used > kDispatcherIdleTimeout;
    return unused && dispatcher.Idle() && m_ownership.Owner(open.m_part) != m_settings.m_self.m_node;
  });
}

void NodeReducer::ReleaseQueuesWithoutEndpoints(Instant now) {
  if (m_endpoint_list.Usable() || m_membership.OwnerCandidates().size() <= 1) return;
  for (auto& [name, dispatcher] : m_dispatchers) {
    if (now - m_parts.at(name).m_opened < kEndpointListTimeout) continue;
    for (const auto& request : dispatcher->ReleaseQueue()) {
      m_part_by_request.erase(request.m_request_id);
      FinishUnstarted(request, ResultCode::kNotReady);
    }
  }
}

bool NodeReducer::IsWatcher() const {
  std::vector<std::string> region;
  for (const auto& name : m_membership.OwnerCandidates()) {
    if (m_membership.Members().at(name).m_region == m_settings.m_self.m_region) region.push_back(name);
  }
  const auto order = RendezvousOrder("watchers", region);
  const auto end = order.begin() + std::min<std::ptrdiff_t>(m_settings.m_watchers, std::ssize(order));
  return std::find(order.begin(), end, m_settings.m_self.m_node) != end;
}

void NodeReducer::UpdateWatching(Instant now) {
  const bool same_members = m_watch_candidates_version == m_membership.CandidatesVersion();
  const bool isolated = m_settings.m_discovery && now - m_membership.LastDatagramTime() > kIsolationTimeout;
  if (same_members && m_watch_dispatcher_count == m_dispatchers.size() && isolated == m_isolated) return;
  m_watch_candidates_version = m_membership.CandidatesVersion();
  m_watch_dispatcher_count = m_dispatchers.size();
  m_isolated = isolated;
  // Dispatchers depend on the list of live endpoints, so a node that has any watches that list itself.
  const bool dispatches = m_settings.m_discovery && !m_dispatchers.empty();
  WatchScope scope;
  scope.m_configuration = dispatches || isolated || IsWatcher();
  scope.m_endpoints = m_settings.m_discovery ? dispatches : scope.m_configuration;
  if (scope == m_watching) return;
  if (m_watching.m_endpoints != scope.m_endpoints) {
    ChangeEndpointList([&] {
      scope.m_endpoints ? m_endpoint_list.HandleWatchStart(now) : m_endpoint_list.HandleWatchEnd();
    });
  }
  m_watching = scope;
  m_effects.emplace_back(SetWatchScope{scope});
}

}  // namespace fescueramp
