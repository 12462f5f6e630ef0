#include <algorithm>
#include <limits>

#include "fescueramp/core/hash.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "fescueramp/dispatch/retry_after_delay.h"

/// Queueing of requests: admission, redirection, refusal, and reviews of queued requests.
namespace fescueramp {
namespace {

/// Queued requests per reliable slot above which a request is redirected to another part: a quarter of a
/// service time.
constexpr double kRedirectBacklog = 0.25;
constexpr std::int64_t kSpreadSteps = 1024;
/// Time for which a running suspect holds others back. A request that crashes endpoints mostly does so at
/// once; one that hangs must not hold up an innocent path.
constexpr Duration kSuspectWait = std::chrono::seconds(1);

/// Time at which a queued request ends. It leaves time to report to the caller that the request was not run,
/// and is early enough that a request without enough time left is not started. Attempts in progress may run
/// until the deadline.
Instant QueueDeadline(const DispatchRequest& request, double expected_time) {
  /// Round trip to callers plus a margin.
  constexpr Duration kRefusalTransitTime = std::chrono::milliseconds(12);
  /// Minimum time left to start a request, in multiples of the expected time.
  constexpr double kMinTimeLeftFactor = 0.5;
  return request.m_deadline - std::max(kRefusalTransitTime, FromSeconds(expected_time * kMinTimeLeftFactor));
}

}  // namespace

AdmissionLoad FairDispatcher::AdmissionLoadOf(const ClassState& state, Instant now) const {
  AdmissionLoad load;
  double work = 0;
  double all = 0;
  for (const auto& [name, other] : m_classes) {
    if (other.m_priority.m_rank > state.m_priority.m_rank) continue;
    const auto in_time = static_cast<double>(other.m_queue.Size());
    const auto late = static_cast<double>(other.m_late_queue.Size());
    // Late requests of the class itself are served later; those of more urgent classes are served before.
    load.m_waiting += &other == &state ? in_time : in_time + late;
    if (&other == &state) load.m_waiting_late = late;
    load.m_arrivals_per_s += other.m_demand.ArrivalsPerSecond(now);
    const double weight = in_time + late + other.m_demand.ArrivalsPerSecond(now);
    work += weight * other.m_demand.MeanServiceTime();
    all += weight;
  }
  load.m_capacity_per_s = CapacityPerSecond(all > 0 ? work / all : state.m_demand.MeanServiceTime(), now);
  return load;
}

double FairDispatcher::CapacityPerSecond(double service_time, Instant now) const {
  if (service_time <= 0) return 0;
  const double working = m_endpoints.ResponsiveSlots();
  const double slots = working > 0 ? working : static_cast<double>(m_endpoints.TotalUsable());
  const double possible = slots / service_time;
  // While requests are queued, the recent start rate shows the actual capacity.
  const bool measured = m_backlog_since != Instant{} && now - m_backlog_since > kAttemptTimeConstant;
  return measured ? std::min(possible, m_attempt_starts.PerSecond(now)) : possible;
}

AdmissionTime FairDispatcher::AdmissionTimeOf(const Pending& pending, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  const Instant first_start = now + m_endpoints.PauseLeft(now);
  AdmissionTime time;
  time.m_expected_service_time = RouteServiceTime(request);
  time.m_deadline = ToSeconds(request.m_deadline - first_start);
  if (request.m_target_latency_ms > 0) {
    const Instant target = pending.m_arrival + std::chrono::milliseconds(request.m_target_latency_ms);
    // A target that has passed leaves no time; 0 would mean that there is no target.
    time.m_target = std::max(std::numeric_limits<double>::min(), ToSeconds(target - first_start));
  }
  return time;
}

Duration FairDispatcher::ExpectedWait(const ClassState& state, Instant now) const {
  const AdmissionLoad load = AdmissionLoadOf(state, now);
  return load.m_capacity_per_s > 0 ? FromSeconds(load.m_waiting / load.m_capacity_per_s) : Duration(0);
}

Duration FairDispatcher::RetryAfterFor(const Pending& pending, Instant now) const {
  const auto state = m_classes.find(pending.m_request.m_class_name);
  if (state == m_classes.end()) return Duration(0);
  const Duration service_time = FromSeconds(state->second.m_demand.MeanServiceTime());
  const std::uint64_t draw = Hash64(pending.m_request.m_request_id);
  const Duration pause = m_endpoints.PauseLeft(now);
  // Callers that were refused throughout a pause return over a time of the same length.
  const Duration spread = pause * static_cast<std::int64_t>(draw % kSpreadSteps) / kSpreadSteps;
  return pause + spread + RetryAfterDelay(ExpectedWait(state->second, now), service_time, draw);
}

void FairDispatcher::AddToQueue(Pending& pending, Instant now) {
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  const DispatchRequest& request = pending.m_request;
  pending.m_start_tag = state.QueueOf(pending).Push(request.m_request_id, request.m_account, pending.m_weight,
                                                    pending.m_arrival_sequence);
  pending.m_next_review = NextReview(pending, now);
  m_reviews.emplace(pending.m_next_review, request.m_request_id);
}

Instant FairDispatcher::NextReview(const Pending& pending, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  const double expected = RouteServiceTime(request);
  const Instant end = QueueDeadline(request, expected);
  if (pending.m_late || request.m_target_latency_ms <= 0) return end;
  const Instant in_time =
      pending.m_arrival + std::chrono::milliseconds(request.m_target_latency_ms) - FromSeconds(expected);
  return std::min(end, std::max(in_time, now));
}

std::int64_t FairDispatcher::Queued() const {
  std::int64_t queued = 0;
  for (const auto& [name, state] : m_classes) queued += state.Waiting();
  return queued;
}

bool FairDispatcher::RedirectToOtherPart(const Pending& pending, Instant now, DispatchEffects& out) {
  if (!pending.m_request.m_may_move || !m_endpoints_received) return false;
  const double reliable_slots = m_endpoints.ReliableSlots();
  if (reliable_slots > 0 && static_cast<double>(Queued()) <= reliable_slots * kRedirectBacklog) return false;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = GetResultInfo(ResultCode::kOtherPart).m_name;
  out.emplace_back(FinishRequest{pending.m_request.m_request_id,
                                 static_cast<std::int64_t>(ResultCode::kOtherPart), 0, 0,
                                 pending.m_request.m_maybe_ran, std::move(record)});
  return true;
}

bool FairDispatcher::CannotBeServed(const Pending& pending, const ClassState& state, Instant now) const {
  // Before the first list of live endpoints, the wait is unknown. If no list arrives, the queue is handed
  // back.
  if (m_pool.m_discovered && !m_endpoints_received) return false;
  const Instant last_start = QueueDeadline(pending.m_request, RouteServiceTime(pending.m_request));
  if (now + m_endpoints.PauseLeft(now) > last_start) return true;
  const Duration wait = ExpectedWait(state, now);
  return m_endpoints.All().empty() || wait > std::chrono::milliseconds(state.m_priority.m_max_wait_ms) ||
         Admit(AdmissionLoadOf(state, now), AdmissionTimeOf(pending, now)) == Admission::kRefuse;
}

ResultCode FairDispatcher::CodeForUnserved(const Pending& pending) {
  if (!pending.MaybeRanAnywhere()) return ResultCode::kNotRun;
  return pending.m_request.m_repeatable ? ResultCode::kResponseIncomplete : ResultCode::kOutcomeUnknown;
}

bool FairDispatcher::RefuseEarly(const Pending& pending, const ClassState& state, Instant now,
                                 DispatchEffects& out) {
  ResultCode code = ResultCode::kOk;
  if (IsQuarantined(pending.m_request)) {
    code = ResultCode::kQuarantined;
    ReportQuarantineOf(pending.m_request, now, out);
  } else if (state.Waiting() >= m_settings.m_max_queued || CannotBeServed(pending, state, now)) {
    code = CodeForUnserved(pending);
  }
  if (code == ResultCode::kOk) return false;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = GetResultInfo(code).m_name;
  RecordRequestOutcome(false, now);
  out.emplace_back(FinishRequest{pending.m_request.m_request_id, static_cast<std::int64_t>(code),
                                 RetryAfterFor(pending, now).count() / 1000, 0, pending.m_request.m_maybe_ran,
                                 record});
  return true;
}

void FairDispatcher::RemoveFromQueue(Pending& pending) {
  assert(pending.m_running.empty());
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  state.QueueOf(pending).Remove(pending.m_start_tag, pending.m_arrival_sequence);
  m_reviews.erase({pending.m_next_review, pending.m_request.m_request_id});
}

void FairDispatcher::Requeue(Pending& pending, Instant now) {
  const DispatchRequest& request = pending.m_request;
  const auto target = std::chrono::milliseconds(request.m_target_latency_ms);
  // The target can no longer be met, so requests that can still meet theirs go first.
  pending.m_late =
      target > Duration(0) && now + FromSeconds(RouteServiceTime(request)) > pending.m_arrival + target;
  if (pending.m_late) {
    pending.m_arrival_sequence = m_next_arrival++;
    AddToQueue(pending, now);
  } else {
    // The request keeps its place in the queue.
    ClassOf(request.m_class_name)
        .m_queue.PutBack(request.m_request_id, pending.m_start_tag, pending.m_arrival_sequence);
    pending.m_next_review = NextReview(pending, now);
    m_reviews.emplace(pending.m_next_review, request.m_request_id);
  }
  // After every endpoint has failed the request once, any may be tried again.
  if (pending.m_failed_endpoints.size() >= m_endpoints.All().size()) pending.m_failed_endpoints.clear();
  UpdateBounds(now);
}

void FairDispatcher::ExpireQueued(Instant now, DispatchEffects& out) {
  while (!m_reviews.empty() && m_reviews.begin()->first <= now) {
    Demote(m_pending.at(m_reviews.begin()->second), now, out);
  }
}

void FairDispatcher::TrimQueues(Instant now, DispatchEffects& out) {
  for (auto& [name, state] : m_classes) {
    while (!state.m_queue.Empty()) {
      Pending& last = m_pending.at(state.m_queue.InOrder().rbegin()->m_request_id);
      AdmissionLoad load = AdmissionLoadOf(state, now);
      --load.m_waiting;  // The request itself.
      if (Admit(load, AdmissionTimeOf(last, now)) == Admission::kInTime) break;
      Demote(last, now, out);
    }
  }
}

void FairDispatcher::Demote(Pending& pending, Instant now, DispatchEffects& out) {
  RemoveFromQueue(pending);
  const bool expired = now >= QueueDeadline(pending.m_request, RouteServiceTime(pending.m_request));
  const ClassState& state = ClassOf(pending.m_request.m_class_name);
  if (expired || Admit(AdmissionLoadOf(state, now), AdmissionTimeOf(pending, now)) == Admission::kRefuse) {
    return FinishFailed(pending, now, out);
  }
  pending.m_late = true;
  AddToQueue(pending, now);
}

void FairDispatcher::ReportQuarantineOf(const DispatchRequest& request, Instant now,
                                        DispatchEffects& out) const {
  out.emplace_back(ReportQuarantine{request.m_request_id, request.m_caller_id, m_part.m_service,
                                    m_crash_records->BreaksOf(request.m_fingerprint, now)});
}

bool FairDispatcher::MustWaitAsSuspect(const DispatchRequest& request, Instant now) const {
  const auto running = m_alone_since.find(request.m_fingerprint);
  return running != m_alone_since.end() && now - *running->second.rbegin() < kSuspectWait;
}

void FairDispatcher::FinishQuarantined(Instant now, DispatchEffects& out) {
  if (m_crash_generation == m_crash_records->Generation()) return;
  m_crash_generation = m_crash_records->Generation();
  std::vector<std::string> queued;
  for (const auto& [id, pending] : m_pending) {
    if (pending.m_running.empty() && IsQuarantined(pending.m_request)) queued.push_back(id);
  }
  for (const auto& id : queued) {
    Pending& pending = m_pending.at(id);
    RemoveFromQueue(pending);
    ReportQuarantineOf(pending.m_request, now, out);
    Finish(pending, ResultCode::kQuarantined, Duration(0), now, out);
  }
}

std::vector<DispatchRequest> FairDispatcher::ReleaseQueue() {
  std::vector<DispatchRequest> released;
  for (auto& [id, pending] : m_pending) {
    const bool claimed = pending.m_request.m_claim_key != 0;
    if (!pending.m_running.empty() || pending.m_maybe_ran || claimed) continue;
    RemoveFromQueue(pending);
    released.push_back(pending.m_request);
  }
  for (const auto& request : released) m_pending.erase(request.m_request_id);
  return released;
}

}  // namespace fescueramp
