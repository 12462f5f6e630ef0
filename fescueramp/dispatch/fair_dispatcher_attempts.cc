#include <algorithm>

#include "fescueramp/dispatch/fair_dispatcher.h"

/// Handling of ended attempts: retries, hedges and final results.
namespace fescueramp {
namespace {

/// Maximum number of refusals and failed connects of one request before it ends.
constexpr std::int64_t kMaxRefusals = 50;
constexpr double kSlowFactor = 3;  ///< Multiple of the expected time from which a response counts as slow.
/// Minimum time left for another attempt, in multiples of the mean service time.
constexpr double kMinTimeLeftFactor = 0.5;
constexpr std::int64_t kRetriesReserved = 8;  ///< Retries that hedging leaves for failed requests.
/// Gray-failure probability of an endpoint below which a reset is attributed to the idle time of the
/// connection.
constexpr double kMaxIdleUseGrayProbability = 0.2;
/// Time within which a reset counts as immediate: several round trips, but less than any service time.
constexpr Duration kImmediateReset = std::chrono::milliseconds(50);
/// Gray-failure probability above which an endpoint gets no hedges.
constexpr double kMaxHedgeGrayProbability = 0.5;

bool CertainlyDidNotRun(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kMisdirected || outcome == AttemptOutcome::kUnreachable;
}

/// Whether the endpoint accepted the request and sent no response. The time without a response is the
/// evidence.
bool GotNoResponse(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnresponsive || outcome == AttemptOutcome::kTimedOut ||
         outcome == AttemptOutcome::kCancelled;
}

/// Whether the network path to the endpoint may have failed.
bool PathMayHaveFailed(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kUnreachable || outcome == AttemptOutcome::kUnacknowledged;
}

Evidence EvidenceOf(AttemptOutcome outcome, double relative_time) {
  switch (outcome) {
    case AttemptOutcome::kResponded:
      return relative_time > kSlowFactor ? Evidence::kSlow : Evidence::kGood;
    case AttemptOutcome::kServerError:
      return Evidence::kError;
    default:
      return Evidence::kFailed;
  }
}

}  // namespace

std::optional<FairDispatcher::Attempt> FairDispatcher::RemoveAttempt(const AttemptResult& result) {
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

void FairDispatcher::RemoveAlone(const Attempt& attempt) {
  const auto running = m_alone_since.find(attempt.m_fingerprint);
  running->second.erase(running->second.find(attempt.m_started));
  if (running->second.empty()) m_alone_since.erase(running);
}

void FairDispatcher::EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) {
  const std::optional<Attempt> attempt = RemoveAttempt(result);
  if (!attempt) return;
  if (attempt->m_alone) RemoveAlone(*attempt);
  ClassState& state = ClassOf(attempt->m_class_name);
  --state.m_running;
  ApplyStatement(*attempt, result, now, out);
  const auto found = m_pending.find(result.m_request_id);
  if (found == m_pending.end()) {
    // The request has ended, so only the slot is released.
    m_endpoints.Release(attempt->m_endpoint, attempt->m_class_name, attempt->m_ticket, now);
    return StartQueued(now, out);
  }
  Pending& pending = found->second;
  RecordIdleUse(*attempt, result, now);
  ObserveHealth(pending, *attempt, result, now, out);
  m_endpoints.Release(attempt->m_endpoint, attempt->m_class_name, attempt->m_ticket, now);
  if (result.m_outcome == AttemptOutcome::kResponded) {
    const bool measured = attempt->m_started >= m_last_pause;
    if (measured) {
      state.m_demand.AddServiceTime(result.m_latency);
      m_hedges.AddLatency(pending.m_request.m_route, result.m_latency);
    }
    if (measured) m_endpoints.Times().AddResponse(pending.m_request.m_route, result.m_latency);
    m_crash_records->Clear(pending.m_request.m_fingerprint, PartName(m_part), now);
    m_endpoints.ResetBackOff(attempt->m_endpoint);
    m_paths.RecordReachable(attempt->m_endpoint);
    m_hedge_counts.m_won += attempt->m_hedge ? 1 : 0;
    Deliver(pending, attempt->m_number, now, out);
  } else {
    EndFailedAttempt(pending, *attempt, result, now, out);
  }
  if (PathMayHaveFailed(result.m_outcome) && PathsFailing(now)) HandBack(now, out);
  StartQueued(now, out);
}

void FairDispatcher::ApplyStatement(const Attempt& attempt, const AttemptResult& result, Instant now,
                                    DispatchEffects& out) {
  if (!m_endpoints.ApplyStatement(attempt.m_endpoint, result.m_statement, attempt.m_started, now)) return;
  const auto& constraint = m_endpoints.All().at(attempt.m_endpoint).m_constraint;
  out.emplace_back(ReportConstraint{PartName(m_part), attempt.m_endpoint, constraint.m_limit_per_s,
                                    constraint.m_leaving, WholeMilliseconds(constraint.PauseLeft(now)),
                                    m_node});
}

bool FairDispatcher::PathsFailing(Instant now) { return m_paths.Failing(m_endpoints.All().size(), now); }

void FairDispatcher::HandBack(Instant now, DispatchEffects& out) {
  std::vector<std::string> waiting;
  for (const auto& [id, pending] : m_pending) {
    const DispatchRequest& request = pending.m_request;
    const bool unstarted = pending.m_running.empty() && !pending.m_maybe_ran;
    // Claims belong to this node, so requests with a claim stay.
    const bool transferable = request.m_claim_key == 0 && request.m_forwards <= kMaxHandBacks;
    if (unstarted && transferable) waiting.push_back(id);
  }
  for (const auto& id : waiting) {
    Pending& pending = m_pending.at(id);
    RemoveFromQueue(pending);
    Finish(pending, ResultCode::kNotReady, Duration(0), now, out);
  }
}

void FairDispatcher::RecordIdleUse(const Attempt& attempt, const AttemptResult& result, Instant now) {
  const bool reset_at_once =
      result.m_outcome == AttemptOutcome::kBroken && result.m_latency < kImmediateReset;
  if (attempt.m_gray_probability < kMaxIdleUseGrayProbability)
    m_idle_time_limit.RecordOutcome(result.m_idle, reset_at_once, now);
}

void FairDispatcher::ObserveHealth(const Pending& pending, const Attempt& attempt,
                                   const AttemptResult& result, Instant now, DispatchEffects& out) {
  // An attempt that spans a pause of this node's process is no evidence about the endpoint.
  if (attempt.m_started < m_last_pause) return;
  if (result.m_outcome == AttemptOutcome::kShed) {
    m_endpoints.RecordRefusal(attempt.m_endpoint, now);
  } else if (GotNoResponse(result.m_outcome)) {
    m_endpoints.RecordNoResponse(attempt.m_endpoint, attempt.m_ticket, now);
    if (result.m_outcome != AttemptOutcome::kCancelled) m_endpoints.Times().AddFailure(true);
  } else {
    if (result.m_outcome == AttemptOutcome::kBroken) m_endpoints.Times().AddFailure(false);
    const double expected = RouteServiceTime(pending.m_request);
    const double relative = expected > 0 ? ToSeconds(result.m_latency) / expected : 0;
    const Evidence evidence = EvidenceOf(result.m_outcome, relative);
    const bool timed = evidence == Evidence::kGood || evidence == Evidence::kSlow;
    m_endpoints.Observe(attempt.m_endpoint, evidence, timed ? relative : 0, attempt.m_started, now);
  }
  const std::string& work = pending.m_request.m_route;
  // An endpoint that warms up is slow for a known reason.
  const bool cold = m_endpoints.Cold(attempt.m_endpoint, attempt.m_started);
  const Duration latency = cold ? Duration(0) : result.m_latency;
  ReportChanges(m_health.Observe(attempt.m_endpoint, work, result.m_outcome, latency, now), out);
}

void FairDispatcher::ReportChanges(const std::vector<HealthChange>& changes, DispatchEffects& out) {
  for (const auto& change : changes) out.emplace_back(ReportHealth{PartName(m_part), change});
}

void FairDispatcher::Deliver(Pending& pending, std::int64_t attempt, Instant now, DispatchEffects& out) {
  RecordRequestOutcome(attempt != pending.m_error_response_attempt, now);
  const std::string request_id = pending.m_request.m_request_id;
  AbandonAttempts(pending, now, out);
  out.emplace_back(DeliverResponse{request_id, attempt});
  m_pending.erase(request_id);
}

void FairDispatcher::AbandonAttempts(Pending& pending, Instant now, DispatchEffects& out) {
  const std::string& request_id = pending.m_request.m_request_id;
  for (auto& attempt : pending.m_running) {
    m_endpoints.RecordNoResponse(attempt.m_endpoint, attempt.m_ticket, now);
    out.emplace_back(CancelAttempt{request_id, attempt.m_number});
    m_hedge_counts.m_cancelled += attempt.m_hedge ? 1 : 0;
    m_abandoned.emplace(std::pair(request_id, attempt.m_number), std::move(attempt));
  }
  pending.m_running.clear();
}

bool FairDispatcher::MayRetry(const Pending& pending, const AttemptResult& result, Instant now) {
  const Duration service_time =
      FromSeconds(ClassOf(pending.m_request.m_class_name).m_demand.MeanServiceTime() * kMinTimeLeftFactor);
  if (result.m_answer_started || !result.m_body_replayable || pending.m_cancelled) return false;
  if (now + service_time > pending.m_request.m_deadline) return false;
  if (CertainlyDidNotRun(result.m_outcome)) {
    if (pending.m_attempts >= kMaxRefusals) return false;
    // A failed connect does not reach the endpoint and needs no retry from the budget.
    const bool arrived = result.m_outcome != AttemptOutcome::kConnectFailed &&
                         result.m_outcome != AttemptOutcome::kUnreachable;
    return !arrived || m_retry_budget.Take(now);
  }
  if (!pending.m_may_run_again || pending.m_runs >= pending.m_request.m_max_attempts) return false;
  if (IsQuarantined(pending.m_request)) return false;
  return m_retry_budget.Take(now);
}

void FairDispatcher::EndFailedAttempt(Pending& pending, const Attempt& attempt, const AttemptResult& result,
                                      Instant now, DispatchEffects& out) {
  const bool did_not_run = CertainlyDidNotRun(result.m_outcome);
  if (did_not_run) --pending.m_runs;
  pending.m_maybe_ran = pending.m_maybe_ran || !did_not_run;
  if (result.m_outcome == AttemptOutcome::kBroken) {
    m_crash_records->AddBreak(pending.m_request.m_fingerprint, attempt.m_endpoint, attempt.m_alone,
                              m_settings.m_quarantine_breaks, PartName(m_part), now);
  }
  const bool refused = result.m_outcome == AttemptOutcome::kShed;
  if ((did_not_run && !refused) || PathMayHaveFailed(result.m_outcome))
    m_endpoints.BackOff(attempt.m_endpoint, now);
  if (PathMayHaveFailed(result.m_outcome)) m_paths.RecordUnreachable(attempt.m_endpoint, now);
  pending.m_failed_endpoints.insert(attempt.m_endpoint);
  if (result.m_outcome == AttemptOutcome::kServerError) pending.m_error_response_attempt = attempt.m_number;
  // While another attempt is in progress, its outcome decides.
  if (!pending.m_running.empty()) return;
  if (result.m_outcome != AttemptOutcome::kCancelled && MayRetry(pending, result, now)) {
    pending.m_retries += did_not_run ? 0 : 1;
    return Requeue(pending, now);
  }
  FinishFailed(pending, now, out);
}

void FairDispatcher::FinishFailed(Pending& pending, Instant now, DispatchEffects& out) {
  if (pending.m_error_response_attempt > 0)
    return Deliver(pending, pending.m_error_response_attempt, now, out);
  ResultCode code = CodeForUnserved(pending);
  if (code == ResultCode::kResponseIncomplete && IsQuarantined(pending.m_request)) {
    code = ResultCode::kQuarantined;
    ReportQuarantineOf(pending.m_request, now, out);
  } else if (code == ResultCode::kResponseIncomplete && now >= pending.m_request.m_deadline) {
    code = ResultCode::kDeadlineExceeded;
  }
  Finish(pending, code, code == ResultCode::kNotRun ? RetryAfterFor(pending, now) : Duration(0), now, out);
}

void FairDispatcher::HedgeOverdueAttempts(Instant now, DispatchEffects& out) {
  std::vector<std::string> overdue;
  for (auto& [id, pending] : m_pending) {
    const bool single = pending.m_running.size() == 1 && pending.m_may_run_again;
    if (!single || pending.m_cancelled || pending.m_runs >= pending.m_request.m_max_attempts) continue;
    const Duration target = std::chrono::milliseconds(pending.m_request.m_target_latency_ms);
    if (now - pending.m_running.front().m_started >= m_hedges.Delay(pending.m_request.m_route, target)) {
      overdue.push_back(id);
    }
  }
  if (overdue.empty()) return;
  SlotUse use;
  if (HedgesLimited()) use = {Queued(), m_endpoints.ReliableSlots(), m_endpoints.FreeReliableSlots(now)};
  for (const auto& id : overdue) {
    if (Hedge(m_pending.at(id), use, now, out)) --use.m_free_slots;
  }
}

std::optional<FairDispatcher::HedgeDenial> FairDispatcher::HedgeDenialOf(const ClassState& state,
                                                                         const SlotUse& use, Instant now) {
  // Queued requests take precedence over hedges.
  if (state.Waiting() > 0 || state.m_running >= state.m_bound) return HedgeDenial::kCapacity;
  if (HedgesLimited() && !HasSpareCapacity(use)) return HedgeDenial::kCapacity;
  if (HedgesLimited() && m_hedge_budget.Remaining(now) < 1) return HedgeDenial::kBudget;
  if (m_retry_budget.Remaining(now) <= kRetriesReserved) return HedgeDenial::kRetryBudget;
  return std::nullopt;
}

void FairDispatcher::CountHedgeDenial(Pending& pending, HedgeDenial denial) {
  if (pending.m_hedge_denial == denial) return;
  pending.m_hedge_denial = denial;
  switch (denial) {
    case HedgeDenial::kBudget:
      ++m_hedge_counts.m_denied_budget;
      break;
    case HedgeDenial::kRetryBudget:
      ++m_hedge_counts.m_denied_retry_budget;
      break;
    case HedgeDenial::kCapacity:
      ++m_hedge_counts.m_denied_capacity;
      break;
    case HedgeDenial::kEndpoint:
      ++m_hedge_counts.m_denied_endpoint;
      break;
  }
}

bool FairDispatcher::Hedge(Pending& pending, const SlotUse& use, Instant now, DispatchEffects& out) {
  const Duration needed = FromSeconds(RouteServiceTime(pending.m_request));
  if (now + needed > pending.m_request.m_deadline) return false;
  EndpointTable::Need need = NeedOf(pending, now);
  // A second run of a suspect could only crash a second endpoint.
  if (need.m_alone) return false;
  const ClassState& state = ClassOf(pending.m_request.m_class_name);
  if (const auto denial = HedgeDenialOf(state, use, now)) {
    CountHedgeDenial(pending, *denial);
    return false;
  }
  std::set<std::string> avoid = pending.m_failed_endpoints;
  avoid.insert(pending.m_running.front().m_endpoint);
  need.m_avoid = &avoid;
  auto* slots = m_endpoints.Choose(need, now);
  if (!slots || m_endpoints.GrayProbability(slots->m_name, now) > kMaxHedgeGrayProbability) {
    CountHedgeDenial(pending, HedgeDenial::kEndpoint);
    return false;
  }
  if (HedgesLimited() && !m_hedge_budget.Take(now)) return false;
  if (!m_retry_budget.Take(now)) return false;
  ++pending.m_retries;
  ++m_hedge_counts.m_started;
  DecisionRecord record = MakeRecord(pending, now);
  record.m_rule = OrderRule::kRetry;
  StartOn(pending, *slots, need.m_alone, std::move(record), now, out);
  return true;
}

}  // namespace fescueramp
