#include <algorithm>
#include <limits>

#include "fescueramp/core/hash.h"
#include "fescueramp/dispatch/fair_dispatcher.h"
#include "fescueramp/dispatch/retry_after_delay.h"

/// How requests wait: who is let in, who goes elsewhere or is refused, and when that is looked at again.
namespace fescueramp {
namespace {

constexpr double kBacklogToMove = 0.25;  ///< Requests that wait per sound slot above which another part is
                                         ///< asked: a quarter of a service time.

/// Time at which a request that waits ends: its caller shall still hear that it was not run, and work that
/// can't be done in the time left helps nobody. Work that runs has its whole time.
Instant QueuedUntil(const DispatchRequest& request, double usual_time) {
  constexpr Duration kAnswerTime = std::chrono::milliseconds(12);  ///< Round trip to callers and some more.
  constexpr double kTimeNeeded = 0.5;  ///< Share of the usual time below which work is not begun.
  return request.m_deadline - std::max(kAnswerTime, FromSeconds(usual_time * kTimeNeeded));
}

}  // namespace

AdmissionLoad FairDispatcher::LoadOf(const ClassState& state, Instant now) const {
  AdmissionLoad load;
  double work = 0;
  double all = 0;
  for (const auto& [name, other] : m_classes) {
    if (other.m_priority.m_rank > state.m_priority.m_rank) continue;
    const auto in_time = static_cast<double>(other.m_queue.Size());
    const auto late = static_cast<double>(other.m_late_queue.Size());
    // The class's own late requests go behind; those of more urgent classes go before.
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
  const std::int64_t working = m_endpoints.WorkingSlots();
  const auto slots = static_cast<double>(working > 0 ? working : m_endpoints.TotalUsable());
  const double possible = slots / service_time;
  // While work waits, what was begun of late is what can be.
  const bool measured = m_backlogged != Instant{} && now - m_backlogged > kStartMemory;
  return measured ? std::min(possible, m_starts.PerSecond(now)) : possible;
}

AdmissionTime FairDispatcher::TimeOf(const Pending& pending, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  AdmissionTime time;
  time.m_work = RouteServiceTime(request);
  time.m_deadline = ToSeconds(request.m_deadline - now);
  if (request.m_target_latency_ms > 0) {
    const Instant target = pending.m_arrival + std::chrono::milliseconds(request.m_target_latency_ms);
    // A target that has passed leaves no time, which is not the same as none being set.
    time.m_target = std::max(std::numeric_limits<double>::min(), ToSeconds(target - now));
  }
  return time;
}

Duration FairDispatcher::ExpectedWait(const ClassState& state, Instant now) const {
  const AdmissionLoad load = LoadOf(state, now);
  return load.m_capacity_per_s > 0 ? FromSeconds(load.m_waiting / load.m_capacity_per_s) : Duration(0);
}

Duration FairDispatcher::TimeToReturn(const Pending& pending, Instant now) const {
  const auto state = m_classes.find(pending.m_request.m_class_name);
  if (state == m_classes.end()) return Duration(0);
  const Duration service_time = FromSeconds(state->second.m_demand.MeanServiceTime());
  return RetryAfterDelay(ExpectedWait(state->second, now), service_time,
                         Hash64(pending.m_request.m_request_id));
}

void FairDispatcher::Queue(Pending& pending, Instant now) {
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  const DispatchRequest& request = pending.m_request;
  pending.m_start_tag = state.QueueOf(pending).Push(request.m_request_id, request.m_account, pending.m_weight,
                                                    pending.m_arrival_sequence);
  pending.m_look = NextLook(pending, now);
  m_looks.emplace(pending.m_look, request.m_request_id);
}

Instant FairDispatcher::NextLook(const Pending& pending, Instant now) const {
  const DispatchRequest& request = pending.m_request;
  const double usual = RouteServiceTime(request);
  const Instant end = QueuedUntil(request, usual);
  if (pending.m_late || request.m_target_latency_ms <= 0) return end;
  const Instant in_time =
      pending.m_arrival + std::chrono::milliseconds(request.m_target_latency_ms) - FromSeconds(usual);
  return std::min(end, std::max(in_time, now));
}

std::int64_t FairDispatcher::Queued() const {
  std::int64_t queued = 0;
  for (const auto& [name, state] : m_classes) queued += state.Waiting();
  return queued;
}

bool FairDispatcher::MoveElsewhere(const Pending& pending, Instant now, DispatchEffects& out) {
  if (!pending.m_request.m_may_move || !m_listed) return false;
  const auto sound_slots = static_cast<double>(m_endpoints.SoundSlots());
  if (sound_slots > 0 && static_cast<double>(Queued()) <= sound_slots * kBacklogToMove) return false;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = GetResultInfo(ResultCode::kOtherPart).m_name;
  out.emplace_back(FinishRequest{pending.m_request.m_request_id,
                                 static_cast<std::int64_t>(ResultCode::kOtherPart), 0, 0, false,
                                 std::move(record)});
  return true;
}

bool FairDispatcher::WouldBeLate(const Pending& pending, const ClassState& state, Instant now) const {
  // Before the first list nothing is known of what waits; the queue is given back if none comes.
  if (m_pool.m_discovered && !m_listed) return false;
  const Duration wait = ExpectedWait(state, now);
  return m_endpoints.All().empty() || wait > std::chrono::milliseconds(state.m_priority.m_max_wait_ms) ||
         Admit(LoadOf(state, now), TimeOf(pending, now)) == Admission::kRefuse;
}

bool FairDispatcher::RefuseEarly(const Pending& pending, const ClassState& state, Instant now,
                                 DispatchEffects& out) {
  ResultCode code = ResultCode::kOk;
  if (m_suspects.IsQuarantined(pending.m_request.m_fingerprint)) {
    code = ResultCode::kQuarantined;
  } else if (state.Waiting() >= m_settings.m_max_queued || WouldBeLate(pending, state, now)) {
    code = ResultCode::kNotRun;
  }
  if (code == ResultCode::kOk) return false;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_outcome = GetResultInfo(code).m_name;
  NoteOutcome(false, now);
  out.emplace_back(FinishRequest{pending.m_request.m_request_id, static_cast<std::int64_t>(code),
                                 TimeToReturn(pending, now).count() / 1000, 0, false, record});
  return true;
}

void FairDispatcher::DropQueued(Pending& pending) {
  assert(pending.m_running.empty());
  ClassState& state = ClassOf(pending.m_request.m_class_name);
  state.QueueOf(pending).Remove(pending.m_start_tag, pending.m_arrival_sequence);
  m_looks.erase({pending.m_look, pending.m_request.m_request_id});
}

void FairDispatcher::Requeue(Pending& pending, Instant now) {
  const DispatchRequest& request = pending.m_request;
  const auto target = std::chrono::milliseconds(request.m_target_latency_ms);
  // Its full value is lost already: those that can still be answered in time go before it.
  pending.m_late =
      target > Duration(0) && now + FromSeconds(RouteServiceTime(request)) > pending.m_arrival + target;
  if (pending.m_late) {
    pending.m_arrival_sequence = m_next_arrival++;
    Queue(pending, now);
  } else {
    // It keeps its place; it has waited its turn already.
    ClassOf(request.m_class_name)
        .m_queue.PutBack(request.m_request_id, pending.m_start_tag, pending.m_arrival_sequence);
    pending.m_look = NextLook(pending, now);
    m_looks.emplace(pending.m_look, request.m_request_id);
  }
  // When every endpoint has failed it once, any may be tried again.
  if (pending.m_failed_endpoints.size() >= m_endpoints.All().size()) pending.m_failed_endpoints.clear();
  UpdateBounds(now);
}

void FairDispatcher::ExpireQueued(Instant now, DispatchEffects& out) {
  while (!m_looks.empty() && m_looks.begin()->first <= now) {
    Demote(m_pending.at(m_looks.begin()->second), now, out);
  }
}

void FairDispatcher::TrimQueues(Instant now, DispatchEffects& out) {
  for (auto& [name, state] : m_classes) {
    while (!state.m_queue.Empty()) {
      Pending& last = m_pending.at(state.m_queue.InOrder().rbegin()->m_request_id);
      AdmissionLoad load = LoadOf(state, now);
      --load.m_waiting;  // Itself.
      if (Admit(load, TimeOf(last, now)) == Admission::kInTime) break;
      Demote(last, now, out);
    }
  }
}

void FairDispatcher::Demote(Pending& pending, Instant now, DispatchEffects& out) {
  DropQueued(pending);
  const bool over = now >= QueuedUntil(pending.m_request, RouteServiceTime(pending.m_request));
  const ClassState& state = ClassOf(pending.m_request.m_class_name);
  if (over || Admit(LoadOf(state, now), TimeOf(pending, now)) == Admission::kRefuse) {
    return FinishFailed(pending, now, out);
  }
  pending.m_late = true;
  Queue(pending, now);
}

void FairDispatcher::FinishQuarantined(std::uint64_t fingerprint, Instant now, DispatchEffects& out) {
  std::vector<std::string> queued;
  for (const auto& [id, pending] : m_pending) {
    if (pending.m_running.empty() && pending.m_request.m_fingerprint == fingerprint) queued.push_back(id);
  }
  for (const auto& id : queued) {
    Pending& pending = m_pending.at(id);
    DropQueued(pending);
    Finish(pending, ResultCode::kQuarantined, Duration(0), now, out);
  }
}

std::vector<std::string> FairDispatcher::ReleaseQueue() {
  std::vector<std::string> released;
  for (auto& [id, pending] : m_pending) {
    const bool claimed = pending.m_request.m_claim_key != 0;
    if (!pending.m_running.empty() || pending.m_maybe_ran || claimed) continue;
    DropQueued(pending);
    released.push_back(id);
  }
  for (const auto& id : released) m_pending.erase(id);
  return released;
}

}  // namespace fescueramp
