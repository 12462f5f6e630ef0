#include "unit_tests/load_simulator.h"

#include <algorithm>
#include <cmath>

#include "fescueramp/config/object_set.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(10);
constexpr double kHangShare = 0.75;
constexpr double kRefuseShare = 0.5;
constexpr double kResetShare = 0.85;

std::shared_ptr<const RouteTable> Table(const LoadPattern& pattern) {
  json::array names;
  json::object endpoints;
  for (int i = 0; i < pattern.m_endpoints; ++i) {
    const std::string name = "e" + std::to_string(i);
    names.push_back(json::string(name));
    endpoints[name] = {{"address", "127.0.0.1"}, {"port", 9000 + i}, {"zone", "az0"}};
  }
  json::object set;
  set["endpoints"] = std::move(endpoints);
  set["pools"] = {{"work", {{"endpoints", names}, {"slots", pattern.m_slots}}}};
  json::object service = {{"pool", "work"}, {"floor", 0.7}, {"by_belief", true}, {"hedge_quantile", 0.93}};
  if (pattern.m_hedge_ratio > 0) service["hedge_ratio"] = pattern.m_hedge_ratio;
  set["services"] = {{"work", std::move(service)}};
  set["priorities"] = {{"work", {{"rank", 0}, {"max_wait_ms", 3600000}}}};
  set["routes"] = {{"work",
                    {{"method", "POST"},
                     {"path_prefix", "/"},
                     {"service", "work"},
                     {"priority", "work"},
                     {"repeatable", pattern.m_repeatable}}}};
  return std::make_shared<RouteTable>(1, ParseObjectSet(json::serialize(set)).m_set);
}

}  // namespace

LoadSimulator::LoadSimulator(LoadPattern pattern)
    : m_pattern(std::move(pattern)), m_random(m_pattern.m_seed) {
  m_dispatcher = std::make_unique<FairDispatcher>(ServicePart{"work", {}}, "n0", "az0");
  m_start = m_clock.Now();
  DispatchEffects out;
  m_dispatcher->Configure(Table(m_pattern), out, m_clock.Now());
}

LoadResult LoadSimulator::Run() {
  double pending_arrivals = 0;
  const double all = m_pattern.m_seconds + ToSeconds(m_pattern.m_patience);
  while (Seconds() < all) {
    m_clock.Advance(kTickInterval);
    EndDueAttempts();
    DispatchEffects out;
    m_dispatcher->Tick(m_clock.Now(), out);
    Apply(out);
    while (!m_scheduled_retries.empty() && m_scheduled_retries.begin()->first <= m_clock.Now()) {
      const int caller = m_scheduled_retries.begin()->second;
      m_scheduled_retries.erase(m_scheduled_retries.begin());
      SendRequest(caller);
    }
    if (Seconds() >= m_pattern.m_seconds) continue;
    pending_arrivals += m_pattern.m_arrivals_per_s(Seconds()) * ToSeconds(kTickInterval);
    for (; pending_arrivals >= 1; --pending_arrivals) {
      m_callers.push_back({m_clock.Now(), m_clock.Now(), 0});
      ++m_result.m_requests;
      SendRequest(static_cast<int>(m_callers.size()) - 1);
    }
  }
  return m_result;
}

int LoadSimulator::CallerOf(const std::string& request_id) const {
  return std::stoi(request_id.substr(1, request_id.find('.') - 1));
}

void LoadSimulator::SendRequest(int caller) {
  Caller& state = m_callers[static_cast<std::size_t>(caller)];
  state.m_sent_at = m_clock.Now();
  DispatchRequest request;
  request.m_request_id = "r" + std::to_string(caller) + "." + std::to_string(++state.m_tries);
  request.m_service = "work";
  request.m_route = "work";
  request.m_class_name = "work";
  request.m_repeatable = m_pattern.m_repeatable;
  request.m_fingerprint = static_cast<std::uint64_t>(caller) + 1;
  request.m_target_latency_ms = m_pattern.m_target.count() / 1000;
  request.m_max_attempts = 2;
  request.m_deadline =
      std::min(m_clock.Now() + m_pattern.m_timeout, state.m_first_sent + m_pattern.m_patience);
  DispatchEffects out;
  m_dispatcher->Enqueue(request, m_clock.Now(), out);
  Apply(out);
}

void LoadSimulator::Apply(const DispatchEffects& effects) {
  for (const auto& effect : effects) {
    std::visit([&](const auto& item) { Apply(item); }, effect);
  }
}

void LoadSimulator::Apply(const StartAttempt& effect) {
  const int endpoint = std::stoi(effect.m_endpoint.substr(1));
  const EndpointMode mode = m_pattern.m_mode ? m_pattern.m_mode(endpoint, Seconds()) : EndpointMode::kHealthy;
  Running running{effect, AttemptOutcome::kResponded, m_clock.Now()};
  m_result.m_starts[endpoint].push_back(Seconds());
  RecordStart(effect);
  std::normal_distribution<double> normal;
  double seconds = ToSeconds(m_pattern.m_service_time) * std::exp(normal(m_random) * m_pattern.m_spread);
  if (UniformRandom() < m_pattern.m_tail_share) seconds *= m_pattern.m_tail_factor;
  if (mode == EndpointMode::kRefuses && UniformRandom() < kRefuseShare) {
    running.m_outcome = AttemptOutcome::kShed;
    seconds = ToSeconds(kTickInterval);
  } else {
    if (!m_ran.insert(effect.m_request_id).second && !m_pattern.m_repeatable)
      m_result.m_violations.push_back(effect.m_request_id + " ran twice");
    if (mode == EndpointMode::kResets && UniformRandom() < kResetShare) {
      running.m_outcome = AttemptOutcome::kBroken;
      seconds = ToSeconds(kTickInterval);
      m_result.m_resets[endpoint].push_back(Seconds());
    }
    if (mode == EndpointMode::kHangs && UniformRandom() < kHangShare)
      seconds = ToSeconds(m_pattern.m_patience);
    if (mode == EndpointMode::kHangsRarely && UniformRandom() < m_pattern.m_rare_hang_share)
      seconds = ToSeconds(m_pattern.m_patience);
  }
  Instant end = m_clock.Now() + FromSeconds(seconds);
  const Instant limit = std::min(effect.m_deadline, m_clock.Now() + effect.m_progress_timeout);
  if (end > limit) {
    end = limit;
    running.m_outcome = AttemptOutcome::kTimedOut;
  }
  m_attempt_ends.emplace(end, running);
}

void LoadSimulator::RecordStart(const StartAttempt& effect) {
  if (effect.m_attempt == 1) m_result.m_first_starts.push_back(Seconds());
  if (m_open_attempts[effect.m_request_id]++ == 0) return;
  m_result.m_hedge_starts.push_back(Seconds());
  std::int64_t waiting = 0;
  for (const auto& state : effect.m_record.m_classes) waiting += state.m_queued;
  m_result.m_hedges_at_queue += waiting > 0 ? 1 : 0;
  if (!m_pattern.m_repeatable) m_result.m_violations.push_back(effect.m_request_id + " was hedged");
}

void LoadSimulator::EndDueAttempts() {
  while (!m_attempt_ends.empty() && m_attempt_ends.begin()->first <= m_clock.Now()) {
    const Running running = m_attempt_ends.begin()->second;
    m_attempt_ends.erase(m_attempt_ends.begin());
    AttemptResult result;
    result.m_request_id = running.m_start.m_request_id;
    result.m_attempt = running.m_start.m_attempt;
    result.m_outcome = running.m_outcome;
    result.m_latency = m_clock.Now() - running.m_started;
    --m_open_attempts[result.m_request_id];
    const bool lost = running.m_outcome == AttemptOutcome::kTimedOut;
    if (lost) ++m_result.m_lost_at[running.m_start.m_endpoint];
    DispatchEffects out;
    m_dispatcher->EndAttempt(result, m_clock.Now(), out);
    Apply(out);
  }
}

void LoadSimulator::Apply(const FinishRequest& effect) {
  const int caller = CallerOf(effect.m_request_id);
  const Caller& state = m_callers[static_cast<std::size_t>(caller)];
  if (effect.m_maybe_ran) {
    ++m_result.m_lost;
    return;
  }
  if (m_ran.contains(effect.m_request_id))
    m_result.m_violations.push_back(effect.m_request_id + " was reported as not run but ran");
  if (m_clock.Now() - state.m_sent_at > m_pattern.m_target / 8) ++m_result.m_slow_refusals;
  // Callers wait for the retry delay, but at most a third of the time they have left.
  const Duration left = state.m_first_sent + m_pattern.m_patience - m_clock.Now();
  const Duration wait = std::min<Duration>(std::chrono::milliseconds(effect.m_retry_after_ms), left / 3);
  const bool returns = m_pattern.m_callers_retry && left - wait > m_pattern.m_service_time;
  if (returns)
    m_scheduled_retries.emplace(m_clock.Now() + wait, caller);
  else
    ++m_result.m_refused;
}

void LoadSimulator::Apply(const DeliverResponse& effect) {
  const Caller& state = m_callers[static_cast<std::size_t>(CallerOf(effect.m_request_id))];
  m_result.m_response_times.push_back(ToSeconds(m_clock.Now() - state.m_first_sent));
  const bool in_target = m_clock.Now() - state.m_first_sent <= m_pattern.m_target;
  ++(in_target ? m_result.m_in_target : m_result.m_late);
}

void LoadSimulator::Apply(const CancelAttempt& effect) {
  for (auto item = m_attempt_ends.begin(); item != m_attempt_ends.end(); ++item) {
    const StartAttempt& start = item->second.m_start;
    if (start.m_request_id != effect.m_request_id || start.m_attempt != effect.m_attempt) continue;
    Running running = item->second;
    running.m_outcome = AttemptOutcome::kCancelled;
    m_attempt_ends.erase(item);
    m_attempt_ends.emplace(m_clock.Now() + kTickInterval, running);
    return;
  }
}

}  // namespace fescueramp
