#include <algorithm>

#include "fescueramp/dispatch/fair_dispatcher.h"

/// How attempts end, and what follows: retries, second attempts beside the first, and final results.
namespace fescueramp {
namespace {

constexpr std::int64_t kMaxRefusals = 50;  ///< Sheds and failed connects of one request before it ends.
constexpr double kSlowFactor = 3;          ///< Multiple of the usual time that counts as slow.
constexpr double kTimeNeeded =
    0.5;  ///< Share of the usual time that must be left for an attempt to be of use.
constexpr std::int64_t kRetriesKept = 8;  ///< Retries kept from hedging, for work that has failed.
constexpr double kLittleDoubt =
    0.2;  ///< Doubt below which a reset is laid to the connection, if that was idle.
constexpr Duration kAtOnce = std::chrono::milliseconds(50);  ///< Several round trips; work takes longer.
constexpr double kMostDoubt = 0.5;  ///< Doubt above which an endpoint gets no second attempts.

bool CertainlyDidNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kMisdirected || outcome == AttemptOutcome::kUnreachable;
}

/// Whether the endpoint took the work and was not heard of again; how long that lasted is the evidence.
bool WentUnanswered(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kSilent || outcome == AttemptOutcome::kTimedOut ||
         outcome == AttemptOutcome::kCancelled;
}

/// Whether the way to the endpoint may be to blame.
bool PathFailed(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnreachable || outcome == AttemptOutcome::kUnacknowledged;
}

Evidence EvidenceOf(AttemptOutcome outcome, double relative_time) {
  switch (outcome) {
    case AttemptOutcome::kAnswered:
      return relative_time > kSlowFactor ? Evidence::kSlow : Evidence::kGood;
    case AttemptOutcome::kServerError:
      return Evidence::kError;
    default:
      return Evidence::kFailed;
  }
}

}  // namespace

std::optional<FairDispatcher::Attempt> FairDispatcher::TakeAttempt(const AttemptResult& result) {
  const auto abandoned = m_abandoned.extract({result.m_request_id, result.m_attempt});
  if (!abandoned.empty()) return abandoned.mapped();
  const auto found = m_pending.find(result.m_request_id);
  if (found == m_pending.end()) return std::nullopt;
  auto& running = found->second.m_running;
  const auto attempt = std::find_if(running.begin(), running.end(), [&](const auto& candidate) {
    return candidate.m_number == result.m_attempt;
  });
  if (attempt == running.end()) return std::nullopt;
  const Attempt taken = *attempt;
  running.erase(attempt);
  return taken;
}

void FairDispatcher::EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) {
  const std::optional<Attempt> attempt = TakeAttempt(result);
  if (!attempt) return;
  ClassState& state = ClassOf(attempt->m_class_name);
  --state.m_running;
  const auto found = m_pending.find(result.m_request_id);
  if (found == m_pending.end()) {
    // Its request has ended; only the slot is left to give back.
    m_endpoints.Release(attempt->m_endpoint, attempt->m_class_name, attempt->m_ticket, now);
    return Pump(now, out);
  }
  Pending& pending = found->second;
  NoteIdleUse(*attempt, result, now);
  ObserveHealth(pending, *attempt, result, now, out);
  m_endpoints.Release(attempt->m_endpoint, attempt->m_class_name, attempt->m_ticket, now);
  if (result.m_outcome == AttemptOutcome::kAnswered) {
    const bool measured = attempt->m_started >= m_last_pause;
    if (measured) {
      state.m_demand.AddServiceTime(result.m_latency);
      m_hedges.AddLatency(pending.m_request.m_route, result.m_latency);
    }
    if (measured) m_endpoints.Times().AddAnswer(pending.m_request.m_route, result.m_latency);
    m_suspects.Clear(pending.m_request.m_fingerprint);
    m_endpoints.Accepted(attempt->m_endpoint);
    m_paths.NoteReached(attempt->m_endpoint);
    Deliver(pending, attempt->m_number, now, out);
  } else {
    EndFailedAttempt(pending, *attempt, result, now, out);
  }
  if (PathFailed(result.m_outcome) && PathsFailing(now)) HandBack(now, out);
  Pump(now, out);
}

bool FairDispatcher::PathsFailing(Instant now) { return m_paths.Troubled(m_endpoints.All().size(), now); }

void FairDispatcher::HandBack(Instant now, DispatchEffects& out) {
  std::vector<std::string> waiting;
  for (const auto& [id, pending] : m_pending) {
    const DispatchRequest& request = pending.m_request;
    const bool unstarted = pending.m_running.empty() && !pending.m_maybe_ran;
    // A claim is this node's.
    const bool free = request.m_claim_key == 0 && request.m_forwards <= kMaxHandBacks;
    if (unstarted && free) waiting.push_back(id);
  }
  for (const auto& id : waiting) {
    Pending& pending = m_pending.at(id);
    DropQueued(pending);
    Finish(pending, ResultCode::kNotReady, Duration(0), now, out);
  }
}

void FairDispatcher::NoteIdleUse(const Attempt& attempt, const AttemptResult& result, Instant now) {
  const bool broke = result.m_outcome == AttemptOutcome::kBroken && result.m_latency < kAtOnce;
  if (attempt.m_doubt < kLittleDoubt) m_idle_trust.Note(result.m_idle, broke, now);
}

void FairDispatcher::ObserveHealth(const Pending& pending, const Attempt& attempt,
                                   const AttemptResult& result, Instant now, DispatchEffects& out) {
  if (result.m_draining) m_endpoints.SetLeaving(attempt.m_endpoint, true, now);
  // An attempt that spans a pause of this node says nothing about the endpoint.
  if (attempt.m_started < m_last_pause) return;
  if (result.m_outcome == AttemptOutcome::kShed) {
    m_endpoints.NoteRefused(attempt.m_endpoint, now);
  } else if (WentUnanswered(result.m_outcome)) {
    m_endpoints.NoteUnanswered(attempt.m_endpoint, attempt.m_ticket, now);
    if (result.m_outcome != AttemptOutcome::kCancelled) m_endpoints.Times().AddFailure(true);
  } else {
    if (result.m_outcome == AttemptOutcome::kBroken) m_endpoints.Times().AddFailure(false);
    const double usual = RouteServiceTime(pending.m_request);
    const double relative = usual > 0 ? ToSeconds(result.m_latency) / usual : 0;
    const Evidence evidence = EvidenceOf(result.m_outcome, relative);
    const bool timed = evidence == Evidence::kGood || evidence == Evidence::kSlow;
    m_endpoints.Observe(attempt.m_endpoint, evidence, timed ? relative : 0, attempt.m_started, now);
  }
  const std::string& work = pending.m_request.m_route;
  ReportChanges(m_health.Observe(attempt.m_endpoint, work, result.m_outcome, result.m_latency, now), out);
}

void FairDispatcher::ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out) {
  for (const auto& change : changes) out.emplace_back(ReportHealth{PartName(m_part), change});
}

void FairDispatcher::Deliver(Pending& pending, std::int64_t attempt, Instant now, DispatchEffects& out) {
  NoteOutcome(attempt != pending.m_answered_with, now);
  const std::string request_id = pending.m_request.m_request_id;
  AbandonAttempts(pending, now, out);
  out.emplace_back(DeliverAnswer{request_id, attempt});
  m_pending.erase(request_id);
}

void FairDispatcher::AbandonAttempts(Pending& pending, Instant now, DispatchEffects& out) {
  const std::string& request_id = pending.m_request.m_request_id;
  for (auto& attempt : pending.m_running) {
    m_endpoints.NoteUnanswered(attempt.m_endpoint, attempt.m_ticket, now);
    out.emplace_back(CancelAttempt{request_id, attempt.m_number});
    m_abandoned.emplace(std::pair(request_id, attempt.m_number), std::move(attempt));
  }
  pending.m_running.clear();
}

bool FairDispatcher::MayRetry(const Pending& pending, const AttemptResult& result, Instant now) {
  const Duration service_time =
      FromSeconds(ClassOf(pending.m_request.m_class_name).m_demand.MeanServiceTime() * kTimeNeeded);
  if (result.m_answer_started || !result.m_body_replayable || pending.m_cancelled) return false;
  if (now + service_time > pending.m_request.m_deadline) return false;
  if (CertainlyDidNotRun(result.m_outcome)) {
    if (pending.m_attempts >= kMaxRefusals) return false;
    // A failed connect is no arrival at an endpoint.
    const bool arrived = result.m_outcome != AttemptOutcome::kConnectFailed &&
                         result.m_outcome != AttemptOutcome::kUnreachable;
    return !arrived || m_retry_budget.Take(now);
  }
  if (!pending.m_request.m_repeatable || pending.m_runs >= pending.m_request.m_max_attempts) return false;
  if (m_suspects.IsQuarantined(pending.m_request.m_fingerprint)) return false;
  return m_retry_budget.Take(now);
}

void FairDispatcher::EndFailedAttempt(Pending& pending, const Attempt& attempt, const AttemptResult& result,
                                      Instant now, DispatchEffects& out) {
  const bool not_run = CertainlyDidNotRun(result.m_outcome);
  if (not_run) --pending.m_runs;
  pending.m_maybe_ran = pending.m_maybe_ran || !not_run;
  if (result.m_outcome == AttemptOutcome::kBroken) {
    m_suspects.AddBreak(pending.m_request.m_fingerprint, pending.m_alone, now);
  }
  const bool refused = result.m_outcome == AttemptOutcome::kShed;
  if ((not_run && !refused) || PathFailed(result.m_outcome)) m_endpoints.BackOff(attempt.m_endpoint, now);
  if (PathFailed(result.m_outcome)) m_paths.NoteUnreachable(attempt.m_endpoint, now);
  pending.m_failed_endpoints.insert(attempt.m_endpoint);
  if (result.m_outcome == AttemptOutcome::kServerError) pending.m_answered_with = attempt.m_number;
  // While another attempt runs, its answer decides.
  if (!pending.m_running.empty()) return;
  if (result.m_outcome != AttemptOutcome::kCancelled && MayRetry(pending, result, now)) {
    pending.m_retries += not_run ? 0 : 1;
    return Requeue(pending, now);
  }
  FinishFailed(pending, now, out);
}

void FairDispatcher::FinishFailed(Pending& pending, Instant now, DispatchEffects& out) {
  if (pending.m_answered_with > 0) return Deliver(pending, pending.m_answered_with, now, out);
  const std::uint64_t fingerprint = pending.m_request.m_fingerprint;
  ResultCode code = ResultCode::kAnswerIncomplete;
  if (!pending.m_maybe_ran) {
    code = ResultCode::kNotRun;
  } else if (!pending.m_request.m_repeatable) {
    code = ResultCode::kOutcomeUnknown;
  } else if (m_suspects.IsQuarantined(fingerprint)) {
    code = ResultCode::kQuarantined;
  } else if (now >= pending.m_request.m_deadline) {
    code = ResultCode::kDeadlineExceeded;
  }
  Finish(pending, code, code == ResultCode::kNotRun ? TimeToReturn(pending, now) : Duration(0), now, out);
  if (m_suspects.IsQuarantined(fingerprint)) FinishQuarantined(fingerprint, now, out);
}

void FairDispatcher::WatchAttempts(Instant now, DispatchEffects& out) {
  std::vector<std::string> late;
  for (auto& [id, pending] : m_pending) {
    const bool single = pending.m_running.size() == 1 && pending.m_request.m_repeatable;
    if (!single || pending.m_cancelled || pending.m_runs >= pending.m_request.m_max_attempts) continue;
    const Duration target = std::chrono::milliseconds(pending.m_request.m_target_latency_ms);
    if (now - pending.m_running.front().m_started >= m_hedges.Delay(pending.m_request.m_route, target)) {
      late.push_back(id);
    }
  }
  for (const auto& id : late) Hedge(m_pending.at(id), now, out);
}

void FairDispatcher::Hedge(Pending& pending, Instant now, DispatchEffects& out) {
  const ClassState& state = ClassOf(pending.m_request.m_class_name);
  const Duration needed = FromSeconds(RouteServiceTime(pending.m_request));
  // A slot that work waits for is worth more to that work.
  if (state.Waiting() > 0 || state.m_running >= state.m_bound) return;
  if (now + needed > pending.m_request.m_deadline || m_retry_budget.Left(now) <= kRetriesKept) return;
  std::set<std::string> avoid = pending.m_failed_endpoints;
  avoid.insert(pending.m_running.front().m_endpoint);
  EndpointTable::Need need = NeedOf(pending, now);
  need.m_avoid = &avoid;
  auto* slots = m_endpoints.Choose(need, now);
  if (!slots || m_endpoints.Doubt(slots->m_name, now) > kMostDoubt || !m_retry_budget.Take(now)) return;
  ++pending.m_retries;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_rule = OrderRule::kRetry;
  StartOn(pending, *slots, std::move(record), now, out);
}

}  // namespace fescueramp
