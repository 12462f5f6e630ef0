#include "fescueramp/dispatch/fair_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fescueramp {
namespace {

constexpr std::int64_t kStarvationPeriod = 20;  ///< A starved class gets one of this many free slots.
/// Maximum number of requests of one class examined for a free slot.
constexpr std::size_t kMaxLookAhead = 8;
constexpr double kProgressFactor = 8;  ///< Progress timeout in multiples of the mean service time.
/// Gray-failure probability above which a request waits for another endpoint, if the queue is nearly empty.
constexpr double kMaxGrayProbabilityWithoutBacklog = 0.35;
/// Gray-failure probability above which a request waits for another endpoint, if the backlog just fits into
/// the target latency.
constexpr double kMaxGrayProbabilityAtBacklog = 0.65;
constexpr double kMillisecondsPerSecond = 1000;
/// Expected service time as a share of the target, before the first response.
constexpr double kDefaultWorkTargetShare = 0.33;
/// Part of the target reserved for the service itself, in multiples of the expected time.
constexpr double kTargetTimeFactor = 1.5;
constexpr double kRetryWaitFactor = 1.2;  ///< As `kWaitFactor`, for a request that has failed once.
/// Time left until the deadline that allows a request to wait, in multiples of the expected time.
constexpr double kWaitFactor = 3;
constexpr double kPermille = 1000;
/// Time without repeatable requests after which a non-repeatable one may be a canary request.
constexpr Duration kRepeatableTrialWait = std::chrono::seconds(2);

/// Quantile of service times after which requests are hedged. With a small ratio it is higher, as the budget
/// would otherwise be spent on requests that are only a little late.
double HedgeQuantile(const Service& settings) {
  const bool limited = settings.m_hedge_quantile > 0 && settings.m_hedge_ratio > 0;
  return limited ? std::max(settings.m_hedge_quantile, 1 - settings.m_hedge_ratio)
                 : settings.m_hedge_quantile;
}

}  // namespace

FairDispatcher::FairDispatcher(ServicePart part, std::string node, const std::string& zone,
                               HealthSettings health, std::shared_ptr<EndpointConstraints> constraints,
                               std::shared_ptr<CrashRecords> crash_records)
    : m_part(std::move(part)),
      m_node(std::move(node)),
      m_health(health),
      m_endpoints(m_health, zone,
                  constraints ? std::move(constraints) : std::make_shared<EndpointConstraints>()),
      m_crash_records(crash_records ? std::move(crash_records) : std::make_shared<CrashRecords>(m_node)) {}

void FairDispatcher::Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) {
  m_table = std::move(table);
  const ObjectSet& set = m_table->Set();
  m_settings = set.m_services.at(m_part.m_service);
  m_pool = set.m_pools.at(m_settings.m_pool);
  ConfigureRetries();
  m_hedges.SetQuantile(HedgeQuantile(m_settings));
  m_health.LimitEjectionTime(m_settings.m_by_belief ? kLikelyGraySpreadInterval : Duration::max());
  ApplyEndpoints(m_pool.m_discovered ? m_live_endpoints : PoolEndpoints(set), now);
  for (const auto& name : m_pool.m_endpoints) {
    m_endpoints.SetAdminState(name, set.m_endpoints.at(name).m_admin_state, now);
  }
  for (auto& [name, state] : m_classes) {
    if (const auto found = set.m_priorities.find(name); found != set.m_priorities.end()) {
      state.m_priority = found->second;
    }
  }
  StartQueued(now, out);
}

std::vector<LiveEndpoint> FairDispatcher::PoolEndpoints(const ObjectSet& set) const {
  std::vector<LiveEndpoint> endpoints;
  for (const auto& name : m_pool.m_endpoints) {
    const Endpoint& object = set.m_endpoints.at(name);
    LiveEndpoint endpoint;
    endpoint.m_name = name;
    endpoint.m_service = m_part.m_service;
    endpoint.m_address = object.m_address;
    endpoint.m_port = object.m_port;
    endpoint.m_zone = object.m_zone;
    endpoint.m_slots = m_pool.m_slots;
    endpoint.m_leaving = m_endpoints.ListedAsLeaving(name);
    endpoints.push_back(std::move(endpoint));
  }
  return endpoints;
}

void FairDispatcher::ApplyEndpoints(const std::vector<LiveEndpoint>& endpoints, Instant now) {
  m_endpoints.Configure(endpoints, m_settings.m_floor, now);
}

void FairDispatcher::ConfigureRetries() {
  // The burst is that of the whole service, so its parts share it.
  m_retry_budget.Configure(m_settings.m_retry_ratio, m_settings.m_retry_burst / m_parts,
                           std::chrono::milliseconds(m_settings.m_retry_window_ms));
  m_hedge_budget.Configure(m_settings.m_hedge_ratio, 0,
                           std::chrono::milliseconds(m_settings.m_retry_window_ms));
}

void FairDispatcher::SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts,
                                      Instant now, DispatchEffects& out) {
  m_endpoints_received = true;
  m_parts = parts;
  m_live_endpoints = endpoints;
  if (!m_pool.m_discovered) return;
  ConfigureRetries();
  ApplyEndpoints(m_live_endpoints, now);
  StartQueued(now, out);
}

FairDispatcher::ClassState& FairDispatcher::ClassOf(const std::string& name) {
  auto [found, added] = m_classes.try_emplace(name);
  if (added) {
    found->second.m_name = name;
    const auto& priorities = m_table->Set().m_priorities;
    if (const auto priority = priorities.find(name); priority != priorities.end()) {
      found->second.m_priority = priority->second;
    }
  }
  return found->second;
}

std::vector<FairDispatcher::ClassState*> FairDispatcher::ClassesByRank() {
  std::vector<ClassState*> classes;
  for (auto& [name, state] : m_classes) classes.push_back(&state);
  std::stable_sort(classes.begin(), classes.end(),
                   [](const auto* a, const auto* b) { return a->m_priority.m_rank < b->m_priority.m_rank; });
  return classes;
}

void FairDispatcher::UpdateBounds(Instant now) {
  const std::int64_t usable = m_endpoints.TotalUsable();
  for (auto& [name, state] : m_classes) {
    // Long requests leave the slots that shorter, more urgent classes need and may use all others of their
    // share.
    state.m_reserve = 0;
    for (const auto& [other_name, other] : m_classes) {
      const bool goes_before = other.m_priority.m_rank < state.m_priority.m_rank;
      if (goes_before && other.m_demand.MuchShorterThan(state.m_demand)) {
        state.m_reserve += other.m_demand.SlotsNeeded(now);
      }
    }
    const auto share = static_cast<std::int64_t>(state.m_priority.m_max_share * static_cast<double>(usable));
    state.m_bound = std::max<std::int64_t>(1, std::min(share, usable - state.m_reserve));
  }
}

void FairDispatcher::Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) {
  if (m_pending.contains(request.m_request_id)) return;
  ClassState& state = ClassOf(request.m_class_name);
  Pending pending;
  pending.m_request = request;
  pending.m_arrival = now;
  // Requests in traces of older versions carry no revision.
  const bool outdated = request.m_revision > 0 && request.m_revision < m_table->Revision();
  pending.m_may_run_again = request.m_repeatable && !outdated;
  if (RedirectToOtherPart(pending, now, out)) return;
  pending.m_arrival_sequence = m_next_arrival++;
  const auto& accounts = m_table->Set().m_accounts;
  if (const auto account = accounts.find(request.m_account); account != accounts.end()) {
    pending.m_weight = account->second.m_weight;
  }
  state.m_demand.AddArrival(now);
  m_reported_served.Add(now, request.m_served_since);
  m_reported_unserved.Add(now, request.m_unserved_since);
  m_retry_budget.AddRequest(now);
  if (request.m_repeatable) m_last_repeatable = now;
  UpdateBounds(now);
  if (RefuseEarly(pending, state, now, out)) return;
  pending.m_late = Admit(AdmissionLoadOf(state, now), AdmissionTimeOf(pending, now)) == Admission::kLate;
  AddToQueue(pending, now);
  m_pending.emplace(request.m_request_id, std::move(pending));
  StartQueued(now, out);
}

void FairDispatcher::StartQueued(Instant now, DispatchEffects& out) {
  FinishQuarantined(now, out);
  ExpireQueued(now, out);
  if (!m_endpoints.AnyFree()) return;
  UpdateBounds(now);
  while (const auto choice = ChooseNext(now)) Start(*choice, now, out);
  if (Queued() == 0)
    m_backlog_since = {};
  else if (m_backlog_since == Instant{})
    m_backlog_since = now;
}

std::optional<FairDispatcher::Choice> FairDispatcher::ChooseNext(Instant now) {
  if (!m_endpoints.AnyFree()) return std::nullopt;
  const std::vector<ClassState*> classes = ClassesByRank();
  // A starved class goes first, within its bound.
  for (ClassState* state : classes) {
    if (state->m_queue.Empty() || state->m_starts_of_other_classes < kStarvationPeriod - 1) continue;
    const Pending& oldest = m_pending.at(state->m_queue.ByArrival().begin()->second);
    if (now - oldest.m_arrival < std::chrono::milliseconds(state->m_priority.m_starvation_ms)) continue;
    if (auto choice = ChooseIn(*state, now)) {
      choice->m_starved = true;
      return choice;
    }
  }
  for (ClassState* state : classes) {
    if (auto choice = ChooseIn(*state, now)) return choice;
  }
  return std::nullopt;
}

std::optional<FairDispatcher::Choice> FairDispatcher::ChooseIn(ClassState& state, Instant now) {
  if (state.m_running >= state.m_bound) return std::nullopt;
  if (auto choice = ChooseFrom(state, state.m_queue, now)) return choice;
  return ChooseFrom(state, state.m_late_queue, now);
}

std::optional<FairDispatcher::Choice> FairDispatcher::ChooseFrom(ClassState& state, RequestQueue& queue,
                                                                 Instant now) {
  std::size_t examined = 0;
  for (const auto& entry : queue.InOrder()) {
    const Pending& pending = m_pending.at(entry.m_request_id);
    const EndpointTable::Need need = NeedOf(pending, now);
    const bool waits = need.m_alone && MustWaitAsSuspect(pending.m_request, now);
    if (auto* slots = waits ? nullptr : m_endpoints.Choose(need, now))
      return Choice{&state, &queue, entry, slots, need.m_alone};
    if (++examined >= kMaxLookAhead) break;
  }
  return std::nullopt;
}

EndpointTable::Need FairDispatcher::NeedOf(const Pending& pending, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  const auto state = m_classes.find(request.m_class_name);
  EndpointTable::Need need;
  need.m_class_name = request.m_class_name;
  need.m_max_share = state == m_classes.end() ? 1 : state->second.m_priority.m_max_share;
  need.m_alone = IsSuspect(request);
  need.m_repeatable = request.m_repeatable;
  // Without repeatable requests, a non-repeatable one must be the canary request.
  need.m_canary = request.m_repeatable || now - m_last_repeatable > kRepeatableTrialWait;
  need.m_expected_time = RouteServiceTime(request);
  need.m_by_belief = m_settings.m_by_belief;
  if (need.m_by_belief) need.m_max_gray_probability = MaxGrayProbability(pending, ExpectedTime(request), now);
  need.m_avoid = &pending.m_failed_endpoints;
  return need;
}

double FairDispatcher::MaxGrayProbability(const Pending& pending, double expected_time, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  const double reliable_slots = m_endpoints.ReliableSlots();
  if (expected_time <= 0 || reliable_slots == 0) return 1;
  // If the retry fails too, the request ends, so a retry waits as long as there is time.
  const bool retry = pending.m_runs > 0;
  const double time_to_wait = retry ? kRetryWaitFactor : kWaitFactor;
  // For a non-repeatable request, ending it as not run is better than an unknown outcome.
  if (!request.m_repeatable) {
    return std::min(kMaxGrayProbabilityAtBacklog, MaxGrayProbabilityForBacklog(request, expected_time));
  }
  if (now + FromSeconds(expected_time * time_to_wait) >= request.m_deadline) return 1;
  if (retry) return kMaxGrayProbabilityAtBacklog;
  return MaxGrayProbabilityForBacklog(request, expected_time);
}

double FairDispatcher::MaxGrayProbabilityForBacklog(const DispatchRequest& request,
                                                    double expected_time) const {
  const double reliable_slots = m_endpoints.ReliableSlots();
  // A backlog that the reliable endpoints can't process in time may also use the others.
  const double backlog = static_cast<double>(Queued() + 1) * expected_time / reliable_slots;
  const double target = static_cast<double>(request.m_target_latency_ms) / kMillisecondsPerSecond;
  const double limit = std::max(expected_time, target - expected_time * kTargetTimeFactor);
  if (backlog >= limit) return 1;
  return kMaxGrayProbabilityWithoutBacklog +
         (kMaxGrayProbabilityAtBacklog - kMaxGrayProbabilityWithoutBacklog) * backlog / limit;
}

double FairDispatcher::UnservedShare(Instant now) const {
  const auto share = [&](const RateEstimate& served, const RateEstimate& unserved) {
    const double failed = unserved.PerSecond(now);
    return failed > 0 ? failed / (failed + served.PerSecond(now)) : 0;
  };
  return std::max(share(m_served, m_unserved), share(m_reported_served, m_reported_unserved));
}

void FairDispatcher::RecordRequestOutcome(bool served, Instant now) {
  (served ? m_served : m_unserved).Add(now);
}

double FairDispatcher::ExpectedTime(const DispatchRequest& request) const {
  const double service_time = RouteServiceTime(request);
  const double target = static_cast<double>(request.m_target_latency_ms) / kMillisecondsPerSecond;
  return service_time > 0 ? service_time : target * kDefaultWorkTargetShare;
}

double FairDispatcher::RouteServiceTime(const DispatchRequest& request) const {
  return m_endpoints.Times().RouteServiceTime(request.m_route);
}

void FairDispatcher::Start(const Choice& choice, Instant now, DispatchEffects& out) {
  const RequestQueue::Entry entry = choice.m_entry;
  Pending& pending = m_pending.at(entry.m_request_id);
  assert(pending.m_running.empty());
  // Build the record first, while the queue still holds the requests that are passed over.
  DecisionRecord record = MakeRecord(pending, now);
  AddPassedOver(choice, pending, record);
  choice.m_queue->Serve(entry);
  m_reviews.erase({pending.m_next_review, entry.m_request_id});
  for (auto& [name, state] : m_classes) ++state.m_starts_of_other_classes;
  choice.m_class->m_starts_of_other_classes = 0;
  StartOn(pending, *choice.m_slots, choice.m_alone, std::move(record), now, out);
}

void FairDispatcher::StartOn(Pending& pending, EndpointTable::Slots& slots, bool alone, DecisionRecord record,
                             Instant now, DispatchEffects& out) {
  const DispatchRequest& request = pending.m_request;
  const bool hedge = !pending.m_running.empty();
  ++pending.m_attempts;
  ++pending.m_runs;
  // A request that started at another dispatcher extended the budget there.
  if (pending.m_attempts == 1 && !request.m_maybe_ran) m_hedge_budget.AddRequest(now);
  m_attempt_starts.Add(now);
  pending.m_endpoint = slots.m_name;
  const std::int64_t ticket = m_endpoints.Take(slots, request.m_class_name, alone, request.m_route, now);
  pending.m_running.push_back({pending.m_attempts, slots.m_name, request.m_class_name, ticket, now,
                               slots.m_placement.GrayProbability(now), alone, request.m_fingerprint, hedge});
  if (alone) m_alone_since[request.m_fingerprint].insert(now);
  ++ClassOf(request.m_class_name).m_running;
  record.m_attempt = pending.m_attempts;
  record.m_endpoint = slots.m_name;
  record.m_busy = m_endpoints.TotalBusy();
  record.m_doubt_permille = std::llround(slots.m_placement.GrayProbability(now) * kPermille);
  const Endpoint& endpoint = slots.m_endpoint;
  out.emplace_back(StartAttempt{request.m_request_id, pending.m_attempts, slots.m_name, endpoint.m_address,
                                endpoint.m_port, m_pool.m_max_connections, ProgressTimeout(pending),
                                request.m_deadline, !request.m_repeatable || pending.m_retries > 0,
                                m_idle_time_limit.MaxIdleTime(now), std::move(record)});
}

Duration FairDispatcher::ProgressTimeout(const Pending& pending) {
  const auto floor = std::chrono::milliseconds(m_settings.m_progress_timeout_ms);
  // A non-repeatable attempt may run until its deadline: abandoning it early gains nothing.
  if (!pending.m_request.m_repeatable) return std::chrono::hours(1);
  return std::max<Duration>(floor, FromSeconds(RouteServiceTime(pending.m_request) * kProgressFactor));
}

void FairDispatcher::Finish(Pending& pending, ResultCode code, Duration retry_after, Instant now,
                            DispatchEffects& out) {
  RecordRequestOutcome(false, now);
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = GetResultInfo(code).m_name;
  record.m_endpoint = pending.m_endpoint;
  record.m_retries_left = m_retry_budget.Remaining(now);
  const std::string request_id = pending.m_request.m_request_id;
  AbandonAttempts(pending, now, out);
  out.emplace_back(FinishRequest{request_id, static_cast<std::int64_t>(code),
                                 std::max<std::int64_t>(1, retry_after.count() / 1000), 0,
                                 pending.MaybeRanAnywhere(), std::move(record)});
  m_pending.erase(request_id);
}

void FairDispatcher::Cancel(const std::string& request_id, Instant now, DispatchEffects& out) {
  const auto found = m_pending.find(request_id);
  if (found == m_pending.end()) return;
  Pending& pending = found->second;
  if (pending.m_running.empty()) {
    RemoveFromQueue(pending);
    Finish(pending, pending.MaybeRanAnywhere() ? ResultCode::kOutcomeUnknown : ResultCode::kNotRun,
           Duration(0), now, out);
  } else if (pending.m_request.m_repeatable) {
    // The slots stay taken until the attempts are known to have ended.
    pending.m_cancelled = true;
    for (const auto& attempt : pending.m_running)
      out.emplace_back(CancelAttempt{request_id, attempt.m_number});
  }
}

void FairDispatcher::Tick(Instant now, DispatchEffects& out) {
  ReportChanges(m_health.Tick(now), out);
  m_endpoints.Refresh(now);
  HedgeOverdueAttempts(now, out);
  StartQueued(now, out);
  TrimQueues(now, out);
}

void FairDispatcher::HandlePause(Instant now) {
  m_last_pause = now;
  m_endpoints.HandlePause(now);
}

void FairDispatcher::SetLeaving(const std::string& endpoint, bool leaving, Instant now,
                                DispatchEffects& out) {
  m_endpoints.SetLeaving(endpoint, leaving, now);
  StartQueued(now, out);
}

}  // namespace fescueramp
