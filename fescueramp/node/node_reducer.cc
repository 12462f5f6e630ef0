#include "fescueramp/node/node_reducer.h"

#include <algorithm>

#include "fescueramp/config/object_set.h"
#include "fescueramp/dispatch/baseline_dispatcher.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "fescueramp/routing/rendezvous.h"

namespace fescueramp {
namespace {

constexpr Duration kFetchTime = std::chrono::seconds(1);  ///< After this another fetch may start.
/// Time without a word of other nodes after which a node watches by itself: two probes of others a second
/// come.
constexpr Duration kUnheardTime = std::chrono::milliseconds(1500);
constexpr Duration kPauseLimit = std::chrono::milliseconds(400);
constexpr std::int64_t kMaxHops = 1;
constexpr Duration kUnusedDispatcherTime =
    std::chrono::seconds(5);  ///< Time without work after which another node's service is let go.
constexpr int kSpreadFactorWhenListed =
    1;  ///< Nodes that are listed in the store need less gossip to be known.
constexpr Duration kBlindTime =
    std::chrono::milliseconds(250);  ///< Time in which the list of endpoints is read.
constexpr Duration kWatchDelay =
    std::chrono::milliseconds(1500);  ///< Time in which members find one another.
constexpr Duration kSettleTime =
    std::chrono::seconds(2);  ///< Longest time in which other nodes are looked for.

MembershipSettings MembershipOf(const NodeSettings& settings) {
  MembershipSettings membership;
  if (settings.m_discovery) membership.m_spread_factor = kSpreadFactorWhenListed;
  return membership;
}

}  // namespace

NodeReducer::NodeReducer(NodeSettings settings)
    : m_settings(std::move(settings)),
      m_membership(m_settings.m_self, m_settings.m_seeds, MembershipOf(m_settings),
                   static_cast<std::uint32_t>(m_settings.m_random_seed)),
      m_ownership(m_membership, m_settings.m_claim_groups, m_settings.m_policy == PolicyKind::kBaseline),
      m_entry(m_membership, m_ownership, m_settings.m_claims),
      m_settled(!m_settings.m_discovery) {}

Effects NodeReducer::Reduce(const Event& event, Instant now) {
  HandlePause(now);
  std::visit([&](const auto& item) { On(item, now); }, event);
  CollectClaims(now);
  CollectMembership();
  CheckShutdown(now);
  return std::exchange(m_effects, {});
}

void NodeReducer::HandlePause(Instant now) {
  // Ticks come far more often than this, so a longer silence means that the node itself did not run.
  const bool paused = m_last_event != Instant{} && now - m_last_event > kPauseLimit;
  m_last_event = now;
  if (!paused) return;
  for (auto& [service, dispatcher] : m_dispatchers) dispatcher->HandlePause(now);
}

void NodeReducer::On(const Tick&, Instant now) {
  m_membership.Tick(now);
  for (auto& [service, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    dispatcher->Tick(now, out);
    Run(std::move(out), now);
  }
  if (m_first_event == Instant{}) m_first_event = now;
  m_settled = m_settled || !m_settings.m_discovery || now - m_first_event > kSettleTime;
  if (m_settled) OpenOwnedServices(now);
  if (m_settings.m_discovery) {
    CloseUnusedServices(now);
    ReleaseBlindQueues(now);
  }
  // Hosts that start together each know few others at first; without this all of them would watch.
  const bool may_watch =
      !m_settings.m_discovery || !m_dispatchers.empty() || now - m_first_event > kWatchDelay;
  if (may_watch) UpdateWatching(now);
}

void NodeReducer::On(const RequestReceived& event, Instant now) {
  m_entry.Receive(event, m_table, now, m_effects);
}

void NodeReducer::On(const ForwardEnded& event, Instant now) { m_entry.EndForward(event, now, m_effects); }

void NodeReducer::On(const DispatchArrived& event, Instant now) {
  const std::string& self = m_settings.m_self.m_node;
  const std::string owner = m_ownership.ReachableOwner(PartOf(event.m_request), now);
  // What another dispatcher gave back stays here; that one may be the owner.
  const bool pass_on = event.m_hops < kMaxHops && event.m_request.m_forwards <= 1;
  if (owner != self && !owner.empty() && pass_on) {
    // The sender can't reach the owner, or sees another one: one order of service is kept by passing it on.
    const Member& member = m_membership.Members().at(owner);
    m_relayed[event.m_request.m_request_id] = event.m_request;
    m_effects.emplace_back(
        RelayRequest{event.m_request.m_request_id, owner, member.m_address, member.m_link_port});
    return;
  }
  Accept(event.m_request, now);
}

void NodeReducer::On(const RelayFailed& event, Instant now) {
  m_ownership.MarkUnreachable(event.m_node, now);
  const auto relayed = m_relayed.extract(event.m_request_id);
  if (!relayed.empty()) Accept(relayed.mapped(), now);
}

void NodeReducer::Accept(const DispatchRequest& request, Instant now) {
  if (m_table && Misplaced(request)) return FinishRedirected(request);
  Dispatcher* dispatcher = DispatcherOf(PartOf(request), now);
  if (!dispatcher || m_leaving) return FinishAtDispatcher(request.m_request_id, ResultCode::kNotReady);
  const bool declines = request.m_forwards <= kMaxHandBacks && m_membership.OwnerCandidates().size() > 1 &&
                        dispatcher->PathsFailing(now);
  if (declines) return FinishAtDispatcher(request.m_request_id, ResultCode::kNotReady);
  const bool claims =
      m_settings.m_claims && !request.m_repeatable && m_settings.m_policy == PolicyKind::kFair;
  if (claims) {
    m_claims[request.m_request_id] = {request, false, false, 0};
    return ClaimLogOf(request.m_service).Claim(request.m_claim_key, request.m_request_id, now);
  }
  m_part_of[request.m_request_id] = PartName(PartOf(request));
  DispatchEffects out;
  dispatcher->Enqueue(request, now, out);
  Run(std::move(out), now);
}

bool NodeReducer::Misplaced(const DispatchRequest& request) {
  // What another dispatcher gave back stays here, as in every other case.
  if (request.m_forwards > 1 || m_live_version == 0) return false;
  const SplitView view = ViewOf(request.m_service);
  // The entry host may know more than this node, and then chose well. One that knows less may not know of a
  // part at all, whose endpoints would get nothing.
  return view.m_version > request.m_split_version && DigestOf(view) != request.m_split_digest;
}

SplitView NodeReducer::ViewOf(const std::string& service) {
  return {m_live_version, SplitOf(service).Zones()};
}

const ServiceSplit& NodeReducer::SplitOf(const std::string& service) {
  KnownSplit& known = m_splits[service];
  if (known.m_lists == m_lists && known.m_revision == Revision()) return known.m_split;
  known.m_lists = m_lists;
  known.m_revision = Revision();
  const auto object = m_table->Set().m_services.find(service);
  const bool exists = object != m_table->Set().m_services.end();
  known.m_split.Update(m_live_endpoints, service, exists ? object->second.m_part_endpoints : 0);
  return known.m_split;
}

void NodeReducer::GiveEndpoints(const OpenPart& open, Dispatcher& dispatcher, Instant now,
                                DispatchEffects& out) {
  if (m_live_version == 0) return;
  const ServiceSplit& split = SplitOf(open.m_part.m_service);
  const auto parts = std::max<std::int64_t>(1, std::ssize(split.Zones()));
  dispatcher.SetLiveEndpoints(split.EndpointsOf(open.m_part, m_live_endpoints), parts, now, out);
}

void NodeReducer::FinishRedirected(const DispatchRequest& request) {
  FinishAtDispatcher(request.m_request_id, ResultCode::kOtherPart);
  std::get<FinishRequest>(m_effects.back()).m_split = ViewOf(request.m_service);
}

void NodeReducer::FinishAtDispatcher(const std::string& request_id, ResultCode code,
                                     std::int64_t recorded_status) {
  DecisionRecord record;
  record.m_request_id = request_id;
  record.m_dispatcher = m_settings.m_self.m_node;
  record.m_revision = Revision();
  record.m_outcome = GetResultInfo(code).m_name;
  m_effects.emplace_back(
      FinishRequest{request_id, static_cast<std::int64_t>(code), 0, recorded_status, false, record});
}

Dispatcher* NodeReducer::DispatcherOf(const ServicePart& part, Instant now) {
  if (!m_table || !m_table->Set().m_services.contains(part.m_service)) return nullptr;
  const std::string name = PartName(part);
  OpenPart& open = m_parts.try_emplace(name, OpenPart{part, now, now}).first->second;
  open.m_used = now;
  auto& dispatcher = m_dispatchers[name];
  if (!dispatcher) {
    const Member& self = m_settings.m_self;
    if (m_settings.m_policy == PolicyKind::kBaseline) {
      const auto seed = static_cast<std::uint32_t>(m_settings.m_random_seed);
      dispatcher = std::make_unique<BaselineDispatcher>(part.m_service, self.m_node, seed);
    } else {
      dispatcher = std::make_unique<FairDispatcher>(part, self.m_node, self.m_zone);
    }
    DispatchEffects out;
    dispatcher->Configure(m_table, out, now);
    GiveEndpoints(open, *dispatcher, now, out);
    for (const auto& endpoint : m_membership.LeavingEndpoints())
      dispatcher->SetLeaving(endpoint, true, now, out);
  }
  return dispatcher.get();
}

ClaimLog& NodeReducer::ClaimLogOf(const std::string& service) {
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

void NodeReducer::On(const DispatchCancelled& event, Instant now) {
  m_relayed.erase(event.m_request_id);
  if (const auto claim = m_claims.find(event.m_request_id);
      claim != m_claims.end() && !claim->second.m_granted) {
    claim->second.m_cancelled = true;
    return;
  }
  const auto part = m_part_of.find(event.m_request_id);
  if (part == m_part_of.end()) return;
  DispatchEffects out;
  m_dispatchers.at(part->second)->Cancel(event.m_request_id, now, out);
  Run(std::move(out), now);
}

void NodeReducer::On(const AttemptEnded& event, Instant now) {
  // The request may have ended already; its attempt still holds a slot.
  const auto dispatcher = m_dispatchers.find(event.m_result.m_part);
  if (dispatcher == m_dispatchers.end()) return;
  if (const auto claim = m_claims.find(event.m_result.m_request_id); claim != m_claims.end()) {
    claim->second.m_status = event.m_result.m_status;
  }
  DispatchEffects out;
  dispatcher->second->EndAttempt(event.m_result, now, out);
  Run(std::move(out), now);
}

void NodeReducer::Run(DispatchEffects effects, Instant now) {
  for (auto& effect : effects) {
    if (auto* finish = std::get_if<FinishRequest>(&effect)) {
      if (finish->m_code == static_cast<std::int64_t>(ResultCode::kOtherPart)) {
        finish->m_split = ViewOf(finish->m_record.m_service);
        finish->m_part_full = true;
      }
      SettleClaim(finish->m_request_id, false, finish->m_code, now);
      m_part_of.erase(finish->m_request_id);
    } else if (const auto* deliver = std::get_if<DeliverAnswer>(&effect)) {
      SettleClaim(deliver->m_request_id, true, 0, now);
      m_part_of.erase(deliver->m_request_id);
    }
    std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
  }
}

void NodeReducer::SettleClaim(const std::string& request_id, bool delivered, std::int64_t code, Instant now) {
  const auto claim = m_claims.find(request_id);
  if (claim == m_claims.end()) return;
  const DispatchRequest& request = claim->second.m_request;
  ClaimLog& claim_log = ClaimLogOf(request.m_service);
  const auto result = static_cast<ResultCode>(code);
  if (delivered) {
    claim_log.Complete(request.m_claim_key, request_id, claim->second.m_status, now);
  } else if (result == ResultCode::kNotRun || result == ResultCode::kQuarantined) {
    claim_log.Release(request.m_claim_key, request_id, now);
  }
  // Any other end leaves the claim: the work may have run.
  m_claims.erase(claim);
}

void NodeReducer::CollectClaims(Instant now) {
  for (auto& [group, claim_log] : m_claim_logs) {
    claim_log->Advance(now);
    for (const auto& answer : claim_log->TakeAnswers()) ApplyClaim(answer, now);
    for (auto& effect : claim_log->TakeEffects()) {
      std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
    }
  }
}

void NodeReducer::ApplyClaim(const ClaimAnswer& answer, Instant now) {
  const auto claim = m_claims.find(answer.m_request_id);
  if (claim == m_claims.end()) return;
  if (answer.m_verdict == ClaimVerdict::kGranted) return StartClaimed(claim->second, now);
  ResultCode code = ResultCode::kOutcomeUnknown;
  if (answer.m_verdict == ClaimVerdict::kDone) code = ResultCode::kAlreadyRun;
  if (answer.m_verdict == ClaimVerdict::kUnavailable) code = ResultCode::kAttemptNotRun;
  m_claims.erase(claim);
  FinishAtDispatcher(answer.m_request_id, code, answer.m_recorded_status);
}

void NodeReducer::StartClaimed(HeldClaim& claim, Instant now) {
  const DispatchRequest request = claim.m_request;
  claim.m_granted = true;
  Dispatcher* dispatcher = claim.m_cancelled ? nullptr : DispatcherOf(PartOf(request), now);
  if (!dispatcher) {
    // Nobody waits for it, or its service is gone: the claim is given back.
    SettleClaim(request.m_request_id, false, static_cast<std::int64_t>(ResultCode::kNotRun), now);
    return FinishAtDispatcher(request.m_request_id, ResultCode::kNotRun);
  }
  m_part_of[request.m_request_id] = PartName(PartOf(request));
  DispatchEffects out;
  dispatcher->Enqueue(request, now, out);
  Run(std::move(out), now);
}

void NodeReducer::On(const GossipReceived& event, Instant now) {
  const GossipMessage& message = event.m_message;
  m_membership.Receive(message, event.m_address, event.m_port, now);
  if (m_membership.SetLeaving(message.m_leaving_version, message.m_leaving_endpoints)) {
    ApplyLeaving(now);
    m_membership.AnnounceNow(now);
  }
  const auto sender = m_membership.Members().find(message.m_from);
  if (message.m_revision <= Revision() || now < m_fetch_until || sender == m_membership.Members().end())
    return;
  m_fetch_until = now + kFetchTime;
  const bool near = sender->second.m_zone == m_settings.m_self.m_zone;
  m_effects.emplace_back(
      FetchConfiguration{message.m_from, sender->second.m_address, sender->second.m_link_port, near});
}

void NodeReducer::On(const StoreAnswered& event, Instant now) {
  for (auto& [group, claim_log] : m_claim_logs) claim_log->OnStoreAnswer(event, now);
}

void NodeReducer::On(const ConfigurationLoaded& event, Instant now) {
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
    // A service that was removed finishes what it has under the objects it had.
    if (!services.contains(m_parts.at(name).m_part.m_service)) continue;
    DispatchEffects out;
    dispatcher->Configure(m_table, out, now);
    GiveEndpoints(m_parts.at(name), *dispatcher, now, out);
    Run(std::move(out), now);
  }
  CloseDispatchers([&](const OpenPart& open, const Dispatcher& dispatcher) {
    return !services.contains(open.m_part.m_service) && dispatcher.Idle();
  });
  m_membership.AnnounceRevision(event.m_revision, now);
}

void NodeReducer::On(const ConfigurationFailed&, Instant) { m_fetch_until = {}; }

void NodeReducer::On(const HostsListed& event, Instant now) {
  if (!m_membership.SetLeaving(event.m_version, event.m_leaving)) return;
  ApplyLeaving(now);
  m_membership.AnnounceNow(now);
}

void NodeReducer::ApplyLeaving(Instant now) {
  const auto& leaving = m_membership.LeavingEndpoints();
  for (auto& [service, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    for (const auto& status : dispatcher->Endpoints(now)) {
      const bool leaves = std::find(leaving.begin(), leaving.end(), status.m_endpoint) != leaving.end();
      dispatcher->SetLeaving(status.m_endpoint, leaves, now, out);
    }
    Run(std::move(out), now);
  }
}

void NodeReducer::On(const EndpointsListed& event, Instant now) {
  if (event.m_version < m_live_version) return;
  m_live_version = event.m_version;
  ++m_lists;
  m_live_endpoints = event.m_endpoints;
  for (auto& [name, dispatcher] : m_dispatchers) {
    DispatchEffects out;
    GiveEndpoints(m_parts.at(name), *dispatcher, now, out);
    Run(std::move(out), now);
  }
}

void NodeReducer::On(const NodesFound& event, Instant now) {
  m_membership.AddFound(event.m_members, now);
  m_settled = true;
}

void NodeReducer::On(const ShutdownRequested&, Instant now) {
  if (m_leaving) return;
  m_leaving = true;
  m_membership.Leave(MemberState::kLeaving, now);
  for (auto& [service, dispatcher] : m_dispatchers) {
    for (const auto& request_id : dispatcher->ReleaseQueue()) {
      m_part_of.erase(request_id);
      FinishAtDispatcher(request_id, ResultCode::kNotReady);
    }
  }
}

void NodeReducer::CheckShutdown(Instant now) {
  if (!m_leaving || m_shutdown_reported) return;
  const bool idle =
      m_entry.Empty() && m_part_of.empty() && m_claims.empty() &&
      std::all_of(m_claim_logs.begin(), m_claim_logs.end(), [](const auto& k) { return k.second->Idle(); });
  if (!idle) return;
  m_shutdown_reported = true;
  m_membership.Leave(MemberState::kLeft, now);
  CollectMembership();
  m_effects.emplace_back(ShutdownComplete{});
}

void NodeReducer::CollectMembership() {
  for (auto& effect : m_membership.TakeEffects()) {
    std::visit([&](auto& item) { m_effects.emplace_back(std::move(item)); }, effect);
  }
}

void NodeReducer::OpenOwnedServices(Instant now) {
  const std::int64_t members = m_membership.CandidatesVersion();
  if (!m_table || (m_opened_members == members && m_opened_revision == Revision())) return;
  m_opened_members = members;
  m_opened_revision = Revision();
  for (const auto& [service, object] : m_table->Set().m_services) {
    if (m_ownership.Owner({service, {}}) == m_settings.m_self.m_node) DispatcherOf({service, {}}, now);
  }
}

void NodeReducer::CloseDispatchers(
    const std::function<bool(const OpenPart& open, const Dispatcher& dispatcher)>& closes) {
  std::erase_if(m_dispatchers,
                [&](const auto& item) { return closes(m_parts.at(item.first), *item.second); });
  std::erase_if(m_parts, [&](const auto& item) { return !m_dispatchers.contains(item.first); });
}

void NodeReducer::CloseUnusedServices(Instant now) {
  CloseDispatchers([&](const OpenPart& open, const Dispatcher& dispatcher) {
    const bool unused = now - open.m_used > kUnusedDispatcherTime;
    return unused && dispatcher.Idle() && m_ownership.Owner(open.m_part) != m_settings.m_self.m_node;
  });
}

void NodeReducer::ReleaseBlindQueues(Instant now) {
  if (m_live_version > 0 || m_membership.OwnerCandidates().size() <= 1) return;
  for (auto& [name, dispatcher] : m_dispatchers) {
    if (now - m_parts.at(name).m_opened < kBlindTime) continue;
    for (const auto& request_id : dispatcher->ReleaseQueue()) {
      m_part_of.erase(request_id);
      FinishAtDispatcher(request_id, ResultCode::kNotReady);
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
  const bool same_members = m_watchers_version == m_membership.CandidatesVersion();
  const bool unheard = m_settings.m_discovery && now - m_membership.LastHeard() > kUnheardTime;
  if (same_members && m_watchers_dispatchers == m_dispatchers.size() && unheard == m_unheard) return;
  m_watchers_version = m_membership.CandidatesVersion();
  m_watchers_dispatchers = m_dispatchers.size();
  m_unheard = unheard;
  // A dispatcher acts on the list of live endpoints, so it follows that list itself.
  const bool dispatches = m_settings.m_discovery && !m_dispatchers.empty();
  WatchScope scope;
  scope.m_configuration = dispatches || unheard || IsWatcher();
  scope.m_endpoints = m_settings.m_discovery ? dispatches : scope.m_configuration;
  if (scope == m_watching) return;
  m_watching = scope;
  m_effects.emplace_back(SetWatchScope{scope});
}

}  // namespace fescueramp
