#include "fescueramp/dispatch/fair_dispatcher.h"

/// Decision records and status of a dispatcher.
namespace fescueramp {

DecisionRecord FairDispatcher::MakeRecord(const Pending& pending, Instant now) {
  DecisionRecord record;
  record.m_request_id = pending.m_request.m_request_id;
  record.m_entry_node = pending.m_request.m_entry_node;
  record.m_dispatcher = m_node;
  record.m_sequence = m_next_sequence++;
  record.m_revision = m_table->Revision();
  record.m_service = m_part.m_service;
  record.m_part_zone = m_part.m_zone;
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
    record.m_classes.push_back(
        {name, state.m_priority.m_rank, state.Waiting(), state.m_running, state.m_bound, state.m_reserve});
  }
  return record;
}

void FairDispatcher::AddPassedOver(const Choice& choice, const Pending& pending, DecisionRecord& record) {
  record.m_rule = choice.m_starved ? OrderRule::kStarvation : OrderRule::kArrival;
  for (const auto& [name, state] : m_classes) {
    const RequestQueue& queue = state.m_queue.Empty() ? state.m_late_queue : state.m_queue;
    if (queue.Empty()) continue;
    const auto& [arrival_sequence, request_id] = *queue.ByArrival().begin();
    if (arrival_sequence >= pending.m_arrival_sequence) continue;
    const OrderRule rule = PassOverRule(choice, state, m_pending.at(request_id));
    record.m_passed_over.push_back({request_id, name, rule});
    record.m_rule = rule;
  }
}

OrderRule FairDispatcher::PassOverRule(const Choice& choice, const ClassState& other,
                                       const Pending& older) const {
  if (choice.m_starved) return OrderRule::kStarvation;
  if (IsSuspect(older.m_request)) return OrderRule::kIsolation;
  if (!older.m_failed_endpoints.empty()) return OrderRule::kRetry;
  if (&other == choice.m_class) return OrderRule::kFairShare;
  if (other.m_priority.m_rank > choice.m_class->m_priority.m_rank) return OrderRule::kPriority;
  if (other.m_running < other.m_bound) return OrderRule::kClassShare;
  return other.m_reserve > 0 ? OrderRule::kSlotReserve : OrderRule::kClassShare;
}

DispatcherLoad FairDispatcher::Load(Instant now) const {
  DispatcherLoad load;
  load.m_service = PartName(m_part);
  load.m_queued = Queued();
  load.m_running = m_endpoints.TotalBusy();
  load.m_slots = m_endpoints.TotalUsable();
  load.m_slots_in_service = m_health.SlotsInService();
  load.m_floor_slots = m_health.FloorSlots();
  const EndpointCoverage coverage = m_endpoints.Coverage(now);
  load.m_endpoints = coverage.m_in_service;
  load.m_endpoints_used = coverage.m_used;
  load.m_endpoints_avoided = coverage.m_avoided;
  load.m_unserved_share = UnservedShare(now);
  for (const auto& [name, slots] : m_endpoints.All()) {
    load.m_endpoints_limited += slots.m_constraint.m_limit_per_s ? 1 : 0;
    load.m_endpoints_paused += slots.m_constraint.PauseLeft(now) > Duration(0) ? 1 : 0;
  }
  load.m_hedges = m_hedge_counts;
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
      const EndpointConstraints::Constraint& constraint = slots->second.m_constraint;
      status.m_busy = slots->second.m_busy;
      status.m_limit_per_s = constraint.m_limit_per_s;
      status.m_states_leaving = constraint.m_leaving;
      status.m_pause_ms = WholeMilliseconds(constraint.PauseLeft(now));
    }
    status.m_usable_slots = m_health.UsableSlots(name, now);
    status.m_error_rate = record.m_error_rate.Value();
    status.m_error_evidence = record.m_errors.Sum();
    status.m_latency_evidence = record.m_latency.Sum();
    status.m_ejections = record.m_ejections;
    status.m_doubt = m_endpoints.GrayProbability(name, now);
    status.m_reason = record.m_reason;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace fescueramp
