#include "fescueramp/dispatch/fair_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fescueramp {
namespace {

constexpr std::int64_t kMaxRetries = 3;
constexpr std::int64_t kMaxRefusals = 50;       ///< Sheds and failed connects of one request before it ends.
constexpr std::int64_t kStarvationPeriod = 20;  ///< A starved class gets one of this many free slots.
constexpr std::size_t kMaxLookAhead = 8;        ///< Requests of one class looked at for a free slot.
constexpr double kProgressFactor = 8;  ///< Multiple of the mean service time that counts as progress.
constexpr std::size_t kMaxRoutesTracked = 10000;

bool CertainlyDidNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kConnectFailed;
}

}  // namespace

FairDispatcher::FairDispatcher(std::string service, std::string node, const std::string& zone,
                               HealthSettings health)
    : m_service(std::move(service)), m_node(std::move(node)), m_health(health), m_endpoints(m_health, zone) {}

void FairDispatcher::Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) {
  m_table = std::move(table);
  const ObjectSet& set = m_table->Set();
  m_settings = set.m_services.at(m_service);
  m_pool = set.m_pools.at(m_settings.m_pool);
  m_retry_budget.SetRatio(m_settings.m_retry_ratio);
  m_endpoints.Configure(set, m_pool, m_settings.m_floor, now);
  for (auto& [name, state] : m_classes) {
    if (const auto found = set.m_priorities.find(name); found != set.m_priorities.end()) {
      state.m_priority = found->second;
    }
  }
  Pump(now, out);
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

std::vector<FairDispatcher::ClassState*> FairDispatcher::ByRank() {
  std::vector<ClassState*> classes;
  for (auto& [name, state] : m_classes) classes.push_back(&state);
  std::stable_sort(classes.begin(), classes.end(),
                   [](const auto* a, const auto* b) { return a->m_priority.m_rank < b->m_priority.m_rank; });
  return classes;
}

void FairDispatcher::UpdateBounds(Instant now) {
  const std::int64_t usable = m_endpoints.TotalUsable();
  for (auto& [name, state] : m_classes) {
    // Long work leaves the slots that shorter, more urgent work needs; the rest of its share is lent to it.
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

Duration FairDispatcher::ExpectedWait(const ClassState& state) const {
  const double usable = static_cast<double>(std::max<std::int64_t>(1, m_endpoints.TotalUsable()));
  double seconds = static_cast<double>(state.m_queue.Size()) * state.m_demand.MeanServiceTime() /
                   static_cast<double>(std::max<std::int64_t>(1, state.m_bound));
  for (const auto& [name, other] : m_classes) {
    if (other.m_priority.m_rank >= state.m_priority.m_rank) continue;
    seconds += static_cast<double>(other.m_queue.Size()) * other.m_demand.MeanServiceTime() / usable;
  }
  return FromSeconds(seconds);
}

bool FairDispatcher::RefuseEarly(const Pending& pending, const ClassState& state, Instant now,
                                 DispatchEffects& out) {
  ResultCode code = ResultCode::kOk;
  const Duration wait = ExpectedWait(state);
  const bool too_long = wait > std::chrono::milliseconds(state.m_priority.m_max_wait_ms);
  const Duration service_time = FromSeconds(state.m_demand.MeanServiceTime());
  if (m_suspects.IsQuarantined(pending.m_request.m_fingerprint)) {
    code = ResultCode::kQuarantined;
  } else if (state.m_queue.Size() >= m_settings.m_max_queued || too_long ||
             now + wait + service_time > pending.m_request.m_deadline) {
    code = ResultCode::kNotRun;
  }
  if (code == ResultCode::kOk) return false;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = Info(code).m_name;
  const auto retry_ms = std::max<std::int64_t>(1, wait.count() / 1000);
  out.emplace_back(
      FinishRequest{pending.m_request.m_request_id, static_cast<std::int64_t>(code), retry_ms, 0, record});
  return true;
}

void FairDispatcher::Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) {
  if (m_pending.contains(request.m_request_id)) return;
  ClassState& state = ClassOf(request.m_class_name);
  Pending pending;
  pending.m_request = request;
  pending.m_arrival = now;
  pending.m_arrival_sequence = m_next_arrival++;
  const auto& accounts = m_table->Set().m_accounts;
  if (const auto account = accounts.find(request.m_account); account != accounts.end()) {
    pending.m_weight = account->second.m_weight;
  }
  state.m_demand.AddArrival(now);
  UpdateBounds(now);
  if (RefuseEarly(pending, state, now, out)) return;
  pending.m_start_tag = state.m_queue.Push(request.m_request_id, request.m_account, pending.m_weight,
                                           pending.m_arrival_sequence);
  m_deadlines.emplace(request.m_deadline, request.m_request_id);
  m_pending.emplace(request.m_request_id, std::move(pending));
  Pump(now, out);
}

void FairDispatcher::Pump(Instant now, DispatchEffects& out) {
  ExpireQueued(now, out);
  if (!m_endpoints.AnyFree()) return;
  UpdateBounds(now);
  while (const auto choice = ChooseNext(now)) Start(*choice, now, out);
}

std::optional<FairDispatcher::Choice> FairDispatcher::ChooseNext(Instant now) {
  if (!m_endpoints.AnyFree()) return std::nullopt;
  const std::vector<ClassState*> classes = ByRank();
  // A class that has waited too long gets its turn first, though within its bound.
  for (ClassState* state : classes) {
    if (state->m_queue.Empty() || state->m_picks_of_others < kStarvationPeriod - 1) continue;
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
  std::size_t looked_at = 0;
  for (const auto& entry : state.m_queue.InOrder()) {
    const Pending& pending = m_pending.at(entry.m_request_id);
    const EndpointTable::Need need{state.m_name, state.m_priority.m_max_share,
                                   m_suspects.IsSuspect(pending.m_request.m_fingerprint),
                                   pending.m_request.m_repeatable, &pending.m_failed_endpoints};
    if (auto* slots = m_endpoints.Choose(need, now)) return Choice{&state, entry, slots};
    if (++looked_at >= kMaxLookAhead) break;
  }
  return std::nullopt;
}

void FairDispatcher::Start(const Choice& choice, Instant now, DispatchEffects& out) {
  const RequestQueue::Entry entry = choice.m_entry;
  Pending& pending = m_pending.at(entry.m_request_id);
  assert(!pending.m_running);
  // Explain first, while the queue still shows what was passed over.
  ++pending.m_attempts;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_endpoint = choice.m_slots->m_name;
  AddPassedOver(choice, pending, record);
  // Take the slot.
  choice.m_class->m_queue.Serve(entry);
  m_deadlines.erase({pending.m_request.m_deadline, entry.m_request_id});
  pending.m_running = true;
  pending.m_started = now;
  pending.m_alone = m_suspects.IsSuspect(pending.m_request.m_fingerprint);
  pending.m_endpoint = choice.m_slots->m_name;
  m_endpoints.Take(*choice.m_slots, choice.m_class->m_name, pending.m_alone);
  ++choice.m_class->m_running;
  record.m_busy = m_endpoints.TotalBusy();
  for (auto& [name, state] : m_classes) ++state.m_picks_of_others;
  choice.m_class->m_picks_of_others = 0;
  // Send.
  const Endpoint& endpoint = choice.m_slots->m_endpoint;
  out.emplace_back(StartAttempt{entry.m_request_id, pending.m_attempts, choice.m_slots->m_name,
                                endpoint.m_address, endpoint.m_port, m_pool.m_max_connections,
                                ProgressTimeout(pending), pending.m_request.m_deadline,
                                !pending.m_request.m_repeatable || pending.m_retries > 0, std::move(record)});
}

Duration FairDispatcher::ProgressTimeout(const Pending& pending) {
  const auto floor = std::chrono::milliseconds(m_settings.m_progress_timeout_ms);
  // Work that must not repeat is waited for until its deadline: giving it up early gains nothing.
  if (!pending.m_request.m_repeatable) return std::chrono::hours(1);
  const auto found = m_route_service_time.find(pending.m_request.m_route);
  if (found == m_route_service_time.end()) return floor;
  return std::max<Duration>(floor, FromSeconds(found->second.Value() * kProgressFactor));
}

DecisionRecord FairDispatcher::MakeRecord(const Pending& pending, Instant now) {
  DecisionRecord record;
  record.m_request_id = pending.m_request.m_request_id;
  record.m_entry_node = pending.m_request.m_entry_node;
  record.m_dispatcher = m_node;
  record.m_sequence = m_next_sequence++;
  record.m_revision = m_table->Revision();
  record.m_service = m_service;
  record.m_route = pending.m_request.m_route;
  record.m_class_name = pending.m_request.m_class_name;
  record.m_account = pending.m_request.m_account;
  record.m_weight = pending.m_weight;
  record.m_arrival = pending.m_arrival;
  record.m_decided = now;
  record.m_arrival_sequence = pending.m_arrival_sequence;
  record.m_start_tag = pending.m_start_tag;
  record.m_attempt = pending.m_attempts;
  record.m_slots = m_endpoints.TotalUsable();
  record.m_busy = m_endpoints.TotalBusy();
  for (const auto& [name, state] : m_classes) {
    record.m_classes.push_back({name, state.m_priority.m_rank, state.m_queue.Size(), state.m_running,
                                state.m_bound, state.m_reserve});
  }
  return record;
}

void FairDispatcher::AddPassedOver(const Choice& choice, const Pending& pending, DecisionRecord& record) {
  record.m_rule = choice.m_starved ? OrderRule::kStarvation : OrderRule::kArrival;
  for (const auto& [name, state] : m_classes) {
    if (state.m_queue.Empty()) continue;
    const auto& [arrival_sequence, request_id] = *state.m_queue.ByArrival().begin();
    if (arrival_sequence >= pending.m_arrival_sequence) continue;
    const OrderRule rule = WhyPassedOver(choice, state, m_pending.at(request_id));
    record.m_passed_over.push_back({request_id, name, rule});
    record.m_rule = rule;
  }
}

OrderRule FairDispatcher::WhyPassedOver(const Choice& choice, const ClassState& other,
                                        const Pending& older) const {
  if (choice.m_starved) return OrderRule::kStarvation;
  if (m_suspects.IsSuspect(older.m_request.m_fingerprint)) return OrderRule::kIsolation;
  if (!older.m_failed_endpoints.empty()) return OrderRule::kRetry;
  if (&other == choice.m_class) return OrderRule::kFairShare;
  if (other.m_priority.m_rank > choice.m_class->m_priority.m_rank) return OrderRule::kPriority;
  if (other.m_running < other.m_bound) return OrderRule::kClassShare;
  return other.m_reserve > 0 ? OrderRule::kSlotReserve : OrderRule::kClassShare;
}

void FairDispatcher::DropQueued(Pending& pending) {
  assert(!pending.m_running);
  ClassOf(pending.m_request.m_class_name).m_queue.Remove(pending.m_start_tag, pending.m_arrival_sequence);
  m_deadlines.erase({pending.m_request.m_deadline, pending.m_request.m_request_id});
}

void FairDispatcher::Finish(Pending& pending, ResultCode code, Duration retry_after, Instant now,
                            DispatchEffects& out) {
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = Info(code).m_name;
  record.m_endpoint = pending.m_endpoint;
  const std::string request_id = pending.m_request.m_request_id;
  out.emplace_back(FinishRequest{request_id, static_cast<std::int64_t>(code),
                                 std::max<std::int64_t>(1, retry_after.count() / 1000), 0,
                                 std::move(record)});
  m_pending.erase(request_id);
}

void FairDispatcher::Deliver(Pending& pending, DispatchEffects& out) {
  m_retry_budget.AddFinished();
  const std::string request_id = pending.m_request.m_request_id;
  out.emplace_back(DeliverAnswer{request_id, pending.m_attempts});
  m_pending.erase(request_id);
}

void FairDispatcher::Requeue(Pending& pending, Instant now) {
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  // A retry keeps its place; it has waited its turn already.
  state.m_queue.PutBack(pending.m_request.m_request_id, pending.m_start_tag, pending.m_arrival_sequence);
  m_deadlines.emplace(pending.m_request.m_deadline, pending.m_request.m_request_id);
  // When every endpoint has failed it once, any may be tried again.
  if (static_cast<std::int64_t>(pending.m_failed_endpoints.size()) >=
      static_cast<std::int64_t>(m_pool.m_endpoints.size())) {
    pending.m_failed_endpoints.clear();
  }
  UpdateBounds(now);
}

void FairDispatcher::Cancel(const std::string& request_id, Instant now, DispatchEffects& out) {
  const auto found = m_pending.find(request_id);
  if (found == m_pending.end()) return;
  Pending& pending = found->second;
  if (!pending.m_running) {
    DropQueued(pending);
    Finish(pending, pending.m_maybe_ran ? ResultCode::kOutcomeUnknown : ResultCode::kNotRun, Duration(0), now,
           out);
  } else if (pending.m_request.m_repeatable) {
    // The slot stays taken until the endpoint is known to have stopped.
    out.emplace_back(CancelAttempt{request_id, pending.m_attempts});
  }
}

void FairDispatcher::EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) {
  const auto found = m_pending.find(result.m_request_id);
  if (found == m_pending.end() || !found->second.m_running || found->second.m_attempts != result.m_attempt)
    return;
  Pending& pending = found->second;
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  pending.m_running = false;
  --state.m_running;
  ObserveHealth(pending, result, now, out);
  m_endpoints.Release(pending.m_endpoint, state.m_name, now);
  if (result.m_outcome == AttemptOutcome::kAnswered) {
    const bool measured = pending.m_started >= m_last_pause;
    if (measured) state.m_demand.AddServiceTime(result.m_latency);
    if (measured && m_route_service_time.size() < kMaxRoutesTracked) {
      m_route_service_time.try_emplace(pending.m_request.m_route, 0.02)
          .first->second.Add(ToSeconds(result.m_latency));
    }
    m_suspects.Clear(pending.m_request.m_fingerprint);
    m_endpoints.Accepted(pending.m_endpoint);
    Deliver(pending, out);
  } else {
    EndFailedAttempt(pending, result, now, out);
  }
  Pump(now, out);
}

void FairDispatcher::ObserveHealth(const Pending& pending, const AttemptResult& result, Instant now,
                                   DispatchEffects& out) {
  if (result.m_draining) m_endpoints.SetLeaving(pending.m_endpoint, true, now);
  // An attempt that spans a pause of this node says nothing about the endpoint.
  if (pending.m_started < m_last_pause) return;
  const std::string& work = pending.m_request.m_route;
  ReportChanges(m_health.Observe(pending.m_endpoint, work, result.m_outcome, result.m_latency, now), out);
}

void FairDispatcher::ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out) {
  for (const auto& change : changes) out.emplace_back(ReportHealth{m_service, change});
}

bool FairDispatcher::MayRetry(const Pending& pending, const AttemptResult& result, Instant now) {
  const Duration service_time =
      FromSeconds(ClassOf(pending.m_request.m_class_name).m_demand.MeanServiceTime());
  if (result.m_answer_started || !result.m_body_replayable) return false;
  if (now + service_time > pending.m_request.m_deadline) return false;
  if (CertainlyDidNotRun(result.m_outcome)) return pending.m_attempts < kMaxRefusals;
  if (!pending.m_request.m_repeatable || pending.m_retries >= kMaxRetries) return false;
  if (m_suspects.IsQuarantined(pending.m_request.m_fingerprint)) return false;
  // Work lost to a connection that went silent says nothing about load, so it costs no budget.
  return result.m_outcome == AttemptOutcome::kSilent || m_retry_budget.Take();
}

void FairDispatcher::EndFailedAttempt(Pending& pending, const AttemptResult& result, Instant now,
                                      DispatchEffects& out) {
  const bool not_run = CertainlyDidNotRun(result.m_outcome);
  pending.m_maybe_ran = pending.m_maybe_ran || !not_run;
  if (result.m_outcome == AttemptOutcome::kBroken) {
    m_suspects.AddBreak(pending.m_request.m_fingerprint, pending.m_alone, now);
  }
  if (not_run) m_endpoints.BackOff(pending.m_endpoint, now);
  if (result.m_outcome != AttemptOutcome::kShed) pending.m_failed_endpoints.insert(pending.m_endpoint);
  if (result.m_outcome != AttemptOutcome::kCancelled && MayRetry(pending, result, now)) {
    pending.m_retries += not_run ? 0 : 1;
    return Requeue(pending, now);
  }
  if (result.m_outcome == AttemptOutcome::kServerError) return Deliver(pending, out);
  ResultCode code = ResultCode::kAnswerIncomplete;
  if (!pending.m_maybe_ran) {
    code = ResultCode::kNotRun;
  } else if (!pending.m_request.m_repeatable) {
    code = ResultCode::kOutcomeUnknown;
  } else if (m_suspects.IsQuarantined(pending.m_request.m_fingerprint)) {
    code = ResultCode::kQuarantined;
  } else if (now >= pending.m_request.m_deadline) {
    code = ResultCode::kDeadlineExceeded;
  }
  const std::uint64_t fingerprint = pending.m_request.m_fingerprint;
  Finish(pending, code, Duration(0), now, out);
  if (m_suspects.IsQuarantined(fingerprint)) FinishQuarantined(fingerprint, now, out);
}

void FairDispatcher::ExpireQueued(Instant now, DispatchEffects& out) {
  while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
    Pending& pending = m_pending.at(m_deadlines.begin()->second);
    DropQueued(pending);
    Finish(pending, pending.m_maybe_ran ? ResultCode::kDeadlineExceeded : ResultCode::kNotRun, Duration(0),
           now, out);
  }
}

void FairDispatcher::FinishQuarantined(std::uint64_t fingerprint, Instant now, DispatchEffects& out) {
  std::vector<std::string> queued;
  for (const auto& [id, pending] : m_pending) {
    if (!pending.m_running && pending.m_request.m_fingerprint == fingerprint) queued.push_back(id);
  }
  for (const auto& id : queued) {
    Pending& pending = m_pending.at(id);
    DropQueued(pending);
    Finish(pending, ResultCode::kQuarantined, Duration(0), now, out);
  }
}

void FairDispatcher::Tick(Instant now, DispatchEffects& out) {
  ReportChanges(m_health.Tick(now), out);
  m_suspects.Expire(now);
  m_endpoints.Refresh(now);
  Pump(now, out);
}

void FairDispatcher::SetLeaving(const std::string& endpoint, bool leaving, Instant now,
                                DispatchEffects& out) {
  m_endpoints.SetLeaving(endpoint, leaving, now);
  Pump(now, out);
}

std::vector<std::string> FairDispatcher::ReleaseQueue() {
  std::vector<std::string> released;
  for (auto& [id, pending] : m_pending) {
    if (pending.m_running || pending.m_maybe_ran || !pending.m_request.m_repeatable) continue;
    DropQueued(pending);
    released.push_back(id);
  }
  for (const auto& id : released) m_pending.erase(id);
  return released;
}

DispatcherLoad FairDispatcher::Load(Instant) const {
  DispatcherLoad load;
  load.m_service = m_service;
  for (const auto& [name, state] : m_classes) load.m_queued += state.m_queue.Size();
  load.m_running = m_endpoints.TotalBusy();
  load.m_slots = m_endpoints.TotalUsable();
  load.m_slots_in_service = m_health.SlotsInService();
  load.m_floor_slots = m_health.FloorSlots();
  return load;
}

std::vector<EndpointStatus> FairDispatcher::Endpoints(Instant now) const {
  std::vector<EndpointStatus> statuses;
  for (const auto& [name, record] : m_health.Endpoints()) {
    EndpointStatus status;
    status.m_endpoint = name;
    status.m_state = record.m_state;
    status.m_in_service = record.m_in_service;
    if (const auto slots = m_endpoints.All().find(name); slots != m_endpoints.All().end()) {
      status.m_busy = slots->second.m_busy;
    }
    status.m_usable_slots = m_health.UsableSlots(name, now);
    status.m_error_rate = record.m_error_rate.Value();
    status.m_error_evidence = record.m_errors.Sum();
    status.m_latency_evidence = record.m_latency.Sum();
    status.m_ejections = record.m_ejections;
    status.m_reason = record.m_reason;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace fescueramp
