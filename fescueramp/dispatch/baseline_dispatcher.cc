#include "fescueramp/dispatch/baseline_dispatcher.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>

namespace fescueramp {
namespace {

constexpr std::int64_t kErrorsToEject = 5;
constexpr Duration kEjectionTime = std::chrono::seconds(30);
constexpr std::int64_t kMaxAttempts = 2;

}  // namespace

BaselineDispatcher::BaselineDispatcher(std::string service, std::string node, std::uint32_t seed)
    : m_service(std::move(service)), m_node(std::move(node)), m_random(seed) {}

void BaselineDispatcher::Configure(std::shared_ptr<const RouteTable> table, DispatchEffects&, Instant) {
  m_table = std::move(table);
  const ObjectSet& set = m_table->Set();
  const Pool& pool = set.m_pools.at(set.m_services.at(m_service).m_pool);
  for (const auto& name : pool.m_endpoints) m_endpoints[name].m_endpoint = set.m_endpoints.at(name);
}

std::string BaselineDispatcher::Pick(Instant now) {
  std::vector<std::string> names;
  for (const auto& [name, state] : m_endpoints) {
    if (state.m_ejected_until <= now) names.push_back(name);
  }
  if (names.empty()) {
    for (const auto& [name, state] : m_endpoints) names.push_back(name);
  }
  boost::random::uniform_int_distribution<std::size_t> any(0, names.size() - 1);
  const std::string& a = names[any(m_random)];
  const std::string& b = names[any(m_random)];
  return m_endpoints[a].m_outstanding <= m_endpoints[b].m_outstanding ? a : b;
}

void BaselineDispatcher::Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) {
  auto& pending = m_pending[request.m_request_id];
  pending.m_request = request;
  pending.m_arrival = now;
  Start(pending, now, out);
}

void BaselineDispatcher::Start(Pending& pending, Instant now, DispatchEffects& out) {
  pending.m_endpoint = Pick(now);
  ++pending.m_attempts;
  EndpointState& state = m_endpoints[pending.m_endpoint];
  ++state.m_outstanding;
  const Pool& pool = m_table->Set().m_pools.at(m_table->Set().m_services.at(m_service).m_pool);
  DecisionRecord record;
  record.m_request_id = pending.m_request.m_request_id;
  record.m_dispatcher = m_node;
  record.m_sequence = m_next_sequence++;
  record.m_service = m_service;
  record.m_arrival = pending.m_arrival;
  record.m_decided = now;
  record.m_endpoint = pending.m_endpoint;
  const Duration left = pending.m_request.m_deadline - now;
  out.emplace_back(StartAttempt{pending.m_request.m_request_id, pending.m_attempts, pending.m_endpoint,
                                state.m_endpoint.m_address, state.m_endpoint.m_port, pool.m_max_connections,
                                left, pending.m_request.m_deadline, false, std::chrono::hours(1),
                                std::move(record)});
}

void BaselineDispatcher::Cancel(const std::string& request_id, Instant, DispatchEffects& out) {
  if (const auto found = m_pending.find(request_id); found != m_pending.end()) {
    out.emplace_back(CancelAttempt{request_id, found->second.m_attempts});
  }
}

void BaselineDispatcher::EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) {
  const auto found = m_pending.find(result.m_request_id);
  if (found == m_pending.end() || found->second.m_attempts != result.m_attempt) return;
  Pending& pending = found->second;
  EndpointState& state = m_endpoints[pending.m_endpoint];
  --state.m_outstanding;
  const bool good = result.m_outcome == AttemptOutcome::kResponded;
  state.m_errors_in_row = good ? 0 : state.m_errors_in_row + 1;
  if (state.m_errors_in_row >= kErrorsToEject) {
    state.m_errors_in_row = 0;
    state.m_ejected_until = now + kEjectionTime;
    ++state.m_ejections;
    out.emplace_back(
        ReportHealth{m_service, {pending.m_endpoint, HealthState::kEjected, "five errors in a row", 0, 0}});
  }
  const bool give_up = result.m_outcome == AttemptOutcome::kCancelled || result.m_answer_started ||
                       !result.m_body_replayable || pending.m_attempts >= kMaxAttempts;
  if (!good && !give_up) return Start(pending, now, out);
  if (result.m_status > 0) {
    out.emplace_back(DeliverResponse{result.m_request_id, result.m_attempt});
  } else {
    const bool repeatable = pending.m_request.m_repeatable;
    const auto code = repeatable ? ResultCode::kResponseIncomplete : ResultCode::kOutcomeUnknown;
    out.emplace_back(FinishRequest{result.m_request_id, static_cast<std::int64_t>(code), 1, 0, true, {}});
  }
  m_pending.erase(found);
}

void BaselineDispatcher::Tick(Instant, DispatchEffects&) {}

void BaselineDispatcher::SetLeaving(const std::string& endpoint, bool leaving, Instant now,
                                    DispatchEffects&) {
  if (leaving) m_endpoints[endpoint].m_ejected_until = now + kEjectionTime;
}

DispatcherLoad BaselineDispatcher::Load(Instant) const {
  DispatcherLoad load;
  load.m_service = m_service;
  load.m_running = static_cast<std::int64_t>(m_pending.size());
  return load;
}

std::vector<EndpointStatus> BaselineDispatcher::Endpoints(Instant now) const {
  std::vector<EndpointStatus> statuses;
  for (const auto& [name, state] : m_endpoints) {
    EndpointStatus status;
    status.m_endpoint = name;
    status.m_state = state.m_ejected_until > now ? HealthState::kEjected : HealthState::kHealthy;
    status.m_busy = state.m_outstanding;
    status.m_ejections = state.m_ejections;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace fescueramp
