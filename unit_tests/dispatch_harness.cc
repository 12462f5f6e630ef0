#include "unit_tests/dispatch_harness.h"

namespace fescueramp {

DispatchHarness::DispatchHarness(int endpoints, int slots, std::unique_ptr<Dispatcher> dispatcher,
                                 bool by_belief, double hedge_quantile)
    : m_slots(slots),
      m_by_belief(by_belief),
      m_hedge_quantile(hedge_quantile),
      m_dispatcher(std::move(dispatcher)) {
  if (!m_dispatcher) m_dispatcher = std::make_unique<FairDispatcher>(ServicePart{"work", {}}, "n0", "az0");
  DispatchEffects out;
  m_dispatcher->Configure(SmallRouteTable(endpoints, slots, m_by_belief, m_hedge_quantile), out,
                          m_clock.Now());
  Apply(std::move(out));
}

std::string DispatchHarness::Send(const std::string& class_name, const std::string& account, bool repeatable,
                                  Duration deadline, std::uint64_t fingerprint) {
  DispatchRequest request;
  request.m_request_id = "r" + std::to_string(m_next_id++);
  request.m_entry_node = "n1";
  request.m_service = "work";
  request.m_route = class_name;
  request.m_class_name = class_name;
  request.m_account = account;
  request.m_repeatable = repeatable;
  request.m_revision = m_entry_revision;
  request.m_fingerprint = fingerprint != 0 ? fingerprint : static_cast<std::uint64_t>(m_next_id) + 1'000'000;
  request.m_deadline = m_clock.Now() + deadline;
  m_repeatable[request.m_request_id] = repeatable;
  DispatchEffects out;
  m_dispatcher->Enqueue(request, m_clock.Now(), out);
  Apply(std::move(out));
  return request.m_request_id;
}

void DispatchHarness::End(const std::string& request_id, AttemptOutcome outcome, Duration latency,
                          const EndpointStatement& statement) {
  const StartAttempt attempt = m_running.at(request_id);
  m_running.erase(request_id);
  ApplyResult(attempt, outcome, latency, statement);
}

void DispatchHarness::EndOlder(const std::string& request_id, AttemptOutcome outcome) {
  const StartAttempt attempt = m_older.at(request_id);
  m_older.erase(request_id);
  ApplyResult(attempt, outcome, std::chrono::milliseconds(20), {});
}

void DispatchHarness::ApplyResult(const StartAttempt& attempt, AttemptOutcome outcome, Duration latency,
                                  const EndpointStatement& statement) {
  const std::string& request_id = attempt.m_request_id;
  --m_busy[attempt.m_endpoint];
  if (statement.m_leaving) m_leaving.insert(attempt.m_endpoint);
  const bool did_not_run = outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kConnectFailed ||
                           outcome == AttemptOutcome::kMisdirected || outcome == AttemptOutcome::kUnreachable;
  if (!did_not_run) m_maybe_ran[request_id] = true;
  AttemptResult result;
  result.m_request_id = request_id;
  result.m_attempt = attempt.m_attempt;
  result.m_outcome = outcome;
  result.m_latency = latency;
  result.m_statement = statement;
  DispatchEffects out;
  m_dispatcher->EndAttempt(result, m_clock.Now(), out);
  Apply(std::move(out));
}

void DispatchHarness::Cancel(const std::string& request_id) {
  DispatchEffects out;
  m_dispatcher->Cancel(request_id, m_clock.Now(), out);
  Apply(std::move(out));
}

void DispatchHarness::Advance(Duration span) {
  m_clock.Advance(span);
  DispatchEffects out;
  m_dispatcher->Tick(m_clock.Now(), out);
  Apply(std::move(out));
}

void DispatchHarness::Reconfigure(int endpoints, std::int64_t revision) {
  DispatchEffects out;
  m_dispatcher->Configure(SmallRouteTable(endpoints, m_slots, m_by_belief, m_hedge_quantile, revision), out,
                          m_clock.Now());
  Apply(std::move(out));
}

void DispatchHarness::Pause(Duration span) {
  m_clock.Advance(span);
  m_dispatcher->HandlePause(m_clock.Now());
}

void DispatchHarness::Leave(const std::string& endpoint, bool leaving) {
  if (leaving)
    m_leaving.insert(endpoint);
  else
    m_leaving.erase(endpoint);
  DispatchEffects out;
  m_dispatcher->SetLeaving(endpoint, leaving, m_clock.Now(), out);
  Apply(std::move(out));
}

std::string DispatchHarness::EndpointOf(const std::string& request_id) const {
  return m_running.at(request_id).m_endpoint;
}

void DispatchHarness::Apply(DispatchEffects effects) {
  for (const auto& effect : effects) {
    std::visit([&](const auto& item) { Apply(item); }, effect);
  }
  CheckFloor();
}

void DispatchHarness::Apply(const StartAttempt& effect) {
  const std::string& id = effect.m_request_id;
  if (m_ended.contains(id)) m_violations.push_back(id + " started after its end");
  if (auto running = m_running.extract(id); !running.empty()) {
    if (m_hedge_quantile == 0) m_violations.push_back(id + " runs twice at once");
    if (m_older.contains(id)) m_violations.push_back(id + " runs three times at once");
    m_older[id] = std::move(running.mapped());
  }
  if (!m_repeatable[id] && m_maybe_ran[id]) m_violations.push_back(id + " is not repeatable and ran again");
  if (++m_busy[effect.m_endpoint] > m_slots)
    m_violations.push_back(effect.m_endpoint + " has more work than slots");
  if (m_leaving.contains(effect.m_endpoint))
    m_violations.push_back(effect.m_endpoint + " is leaving and got work");
  if (effect.m_attempt == 1) m_start_order.push_back(id);
  m_records.push_back(effect.m_record);
  m_running[id] = effect;
}

void DispatchHarness::ApplyEnd(const std::string& request_id, ResultCode code) {
  if (!m_ended.emplace(request_id, code).second) m_violations.push_back(request_id + " ended twice");
  if (code == ResultCode::kNotRun && m_maybe_ran[request_id]) {
    m_violations.push_back(request_id + " was reported as not run but may have run");
  }
}

void DispatchHarness::CheckFloor() {
  const DispatcherLoad load = m_dispatcher->Load(m_clock.Now());
  // Endpoints that leave or are taken out by operators don't count as ejections.
  if (m_leaving.empty() && load.m_slots_in_service < load.m_floor_slots) {
    m_violations.push_back("slots in service are below the floor");
  }
}

}  // namespace fescueramp
