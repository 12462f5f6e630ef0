#include "fescueramp/dispatch/endpoint_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace fescueramp {
namespace {

/// Cost of crossing zones: the response crosses a zone boundary once more.
constexpr double kCrossZoneCost = 0.03;
/// Gray-failure probability above which an endpoint's slots don't count as capacity.
constexpr double kMaxCountedGrayProbability = 0.6;
/// Gray-failure probability above which an endpoint gets one request at a time. A single overdue request,
/// which may just be long, stays below it.
constexpr double kTrialGrayProbability = 0.35;
constexpr std::size_t kMaxScan = 256;  ///< Maximum number of endpoints examined for one request.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(40);  ///< After the first failed connect.
/// A slot usually becomes free within a few such pauses.
constexpr Duration kRefusalPause = std::chrono::milliseconds(10);
constexpr std::int64_t kMaxBackoffDoublings = 5;
constexpr double kHungLikelihoodRatio = 8;  ///< Likelihood ratio from which an attempt counts as hanging.
/// Limit of the combined likelihood ratio of an endpoint's attempts in progress.
constexpr double kMaxLikelihoodRatio = 1000;

}  // namespace

void EndpointTable::Configure(const std::vector<LiveEndpoint>& endpoints, double floor, Instant now) {
  std::map<std::string, std::int64_t> slots;
  for (const auto& endpoint : endpoints) slots[endpoint.m_name] = endpoint.m_slots;
  m_health.Configure(slots, floor);
  m_free.clear();
  for (auto& [name, state] : m_slots) state.m_in_free_set = false;
  for (const auto& endpoint : endpoints) {
    Slots& state = m_slots[endpoint.m_name];
    if (state.m_started_ms != endpoint.m_started_ms) {
      // The endpoint restarted under the same name, so earlier observations no longer apply.
      state.m_placement = {};
      state.m_connect_failures = 0;
      state.m_backoff_until = {};
      state.m_process_since = now;
    }
    state.m_name = endpoint.m_name;
    state.m_started_ms = endpoint.m_started_ms;
    state.m_endpoint.m_address = endpoint.m_address;
    state.m_endpoint.m_port = endpoint.m_port;
    state.m_endpoint.m_zone = endpoint.m_zone;
    state.m_total = endpoint.m_slots;
    state.m_leaving = endpoint.m_leaving;
    state.m_placement.SetWarmAt(endpoint.m_warm_at);
  }
  // Endpoints that left the pool have no slots and stay in the table until their last request ends.
  Refresh(now);
  std::erase_if(m_slots,
                [&](const auto& item) { return !slots.contains(item.first) && item.second.m_busy == 0; });
}

void EndpointTable::SetAdminState(const std::string& endpoint, AdminState state, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end() || found->second.m_endpoint.m_admin_state == state) return;
  found->second.m_endpoint.m_admin_state = state;
  Update(found->second, now);
}

void EndpointTable::Refresh(Instant now) {
  for (auto& [name, state] : m_slots) {
    UpdateLikelihoodRatio(state, now);
    Update(state, now);
  }
  CountReliableSlots(now);
}

void EndpointTable::CountReliableSlots(Instant now) {
  m_reliable_slots = 0;
  m_responsive_slots = 0;
  Instant all_paused_until = Instant::max();
  for (const auto& [name, state] : m_slots) {
    if (state.m_usable > 0) all_paused_until = std::min(all_paused_until, state.m_constraint.m_paused_until);
    if (!TakesRequests(state, now)) continue;
    const std::int64_t reliable = AllowedSlots(state, kMaxCountedGrayProbability, now);
    const std::int64_t responsive = std::max<std::int64_t>(0, reliable - state.m_hung);
    const double within_limit = SlotsWithinLimit(state);
    m_reliable_slots += std::min(static_cast<double>(reliable), within_limit);
    m_responsive_slots += std::min(static_cast<double>(responsive), within_limit);
  }
  m_all_paused_until = all_paused_until == Instant::max() ? Instant{} : all_paused_until;
}

bool EndpointTable::TakesRequests(const Slots& state, Instant now) {
  return state.m_backoff_until <= now && state.m_constraint.m_paused_until <= now;
}

double EndpointTable::FreeReliableSlots(Instant now) const {
  double free = 0;
  for (const auto& [name, state] : m_slots) {
    if (!TakesRequests(state, now) || state.m_exclusive) continue;
    const auto reliable = static_cast<double>(AllowedSlots(state, kMaxCountedGrayProbability, now));
    const double within_limit = std::min(reliable, SlotsWithinLimit(state));
    free += std::max(0.0, within_limit - static_cast<double>(state.m_busy));
  }
  return free;
}

double EndpointTable::SlotsWithinLimit(const Slots& state) const {
  const std::optional<double>& limit = state.m_constraint.m_limit_per_s;
  if (!limit) return std::numeric_limits<double>::infinity();
  const double service_time = m_times.MeanServiceTime();
  return service_time > 0 ? *limit * service_time : std::numeric_limits<double>::infinity();
}

std::vector<AnnouncedConstraint> EndpointTable::ConstraintsToAnnounce(Instant now) const {
  std::vector<AnnouncedConstraint> constraints;
  if (m_constraints->Empty()) return constraints;
  for (const auto& [name, state] : m_slots) {
    if (auto constraint = m_constraints->ToAnnounce(name, now)) constraints.push_back(std::move(*constraint));
  }
  return constraints;
}

bool EndpointTable::ApplyStatement(const std::string& endpoint, const EndpointStatement& statement,
                                   Instant started, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return false;
  Slots& state = found->second;
  // The response is that of a process of the endpoint which has been replaced since.
  if (started < state.m_process_since) return false;
  if (!m_constraints->Observe(endpoint, state.m_started_ms, statement, started, now)) return false;
  Update(state, now);
  CountReliableSlots(now);
  return true;
}

EndpointCoverage EndpointTable::Coverage(Instant now) const {
  EndpointCoverage coverage;
  for (const auto& [name, state] : m_slots) {
    const auto health = m_health.Endpoints().find(name);
    if (health == m_health.Endpoints().end() || !health->second.m_in_service) continue;
    ++coverage.m_in_service;
    if (state.m_placement.UsedAfter(now - kCoverageWindow)) {
      ++coverage.m_used;
    } else if (!state.m_placement.LikelyHealthy(now)) {
      ++coverage.m_avoided;
    }
  }
  return coverage;
}

void EndpointTable::Update(Slots& state, Instant now) {
  state.m_constraint = m_constraints->Get(state.m_name, state.m_started_ms);
  const bool leaving = state.m_leaving || state.m_constraint.m_leaving;
  const bool in_service = state.m_endpoint.m_admin_state == AdminState::kInService && !leaving;
  m_health.SetInService(state.m_name, in_service);
  const std::int64_t usable = m_health.UsableSlots(state.m_name, now);
  m_total_usable += usable - state.m_usable;
  state.m_usable = usable;
  Reindex(state);
}

void EndpointTable::Reindex(Slots& state) {
  if (state.m_in_free_set) m_free.erase({state.m_free_key, state.m_free_last_used, &state});
  state.m_in_free_set = state.m_busy < state.m_usable && !state.m_exclusive;
  if (!state.m_in_free_set) return;
  const double zone_cost = state.m_endpoint.m_zone == m_own_zone ? 0 : kCrossZoneCost;
  state.m_free_key = static_cast<double>(state.m_busy) / static_cast<double>(state.m_usable) + zone_cost;
  state.m_free_last_used = state.m_last_used;
  m_free.insert({state.m_free_key, state.m_free_last_used, &state});
}

bool EndpointTable::Meets(const Slots& state, const Need& need, Instant now) const {
  if (state.m_backoff_until > now || !m_constraints->MaySend(state.m_name, state.m_started_ms, now))
    return false;
  if (need.m_alone && state.m_busy > 0) return false;
  if (need.m_avoid && need.m_avoid->contains(state.m_name)) return false;
  if (!need.m_canary && m_health.State(state.m_name) == HealthState::kCanary) return false;
  const auto held = state.m_busy_by_class.find(need.m_class_name);
  if (held == state.m_busy_by_class.end()) return true;
  const auto cap =
      static_cast<std::int64_t>(std::floor(need.m_max_share * static_cast<double>(state.m_total) + 1e-9));
  return held->second < std::max<std::int64_t>(1, cap);
}

std::int64_t EndpointTable::AllowedSlots(const Slots& state, double max_gray_probability, Instant now) {
  const double probability = state.m_placement.GrayProbability(now);
  if (probability > max_gray_probability) return 0;
  // One trial request is as good evidence as several and risks less. Hanging attempts give no further
  // evidence, so they don't count as trials.
  const bool trial = probability > kTrialGrayProbability || !state.m_placement.HasResponded();
  return trial ? std::min(1 + state.m_hung, state.m_usable) : state.m_usable;
}

EndpointTable::Slots* EndpointTable::Choose(const Need& need, Instant now) {
  std::size_t scanned = 0;
  Slots* best = nullptr;
  double min_cost = 0;
  for (const FreeKey& key : m_free) {
    if (++scanned > kMaxScan) break;
    if (!Meets(*key.m_slots, need, now)) continue;
    if (!need.m_by_belief) return key.m_slots;
    const PlacementState::Load load{key.m_slots->m_busy, key.m_slots->m_usable, 0};
    const bool due = key.m_slots->m_placement.DueForRequest(load, now);
    const bool can_wait = need.m_max_gray_probability < 1 && !due;
    if (can_wait && key.m_slots->m_busy >= AllowedSlots(*key.m_slots, need.m_max_gray_probability, now))
      continue;
    const double cost = CostOf(*key.m_slots, need, now);
    if (best && cost >= min_cost) continue;
    best = key.m_slots;
    min_cost = cost;
  }
  return best;
}

double EndpointTable::CostOf(const Slots& state, const Need& need, Instant now) const {
  PlacementState::Load load{state.m_busy, state.m_usable, 0};
  if (need.m_expected_time > 0) {
    for (const auto& [ticket, running] : state.m_running) {
      load.m_longest_running =
          std::max(load.m_longest_running, ToSeconds(now - running.m_started) / need.m_expected_time);
    }
  }
  const double zone_cost = state.m_endpoint.m_zone == m_own_zone ? 0 : kCrossZoneCost;
  return state.m_placement.Cost(need.m_repeatable, load, now) + zone_cost;
}

std::int64_t EndpointTable::Take(Slots& state, const std::string& class_name, bool exclusive,
                                 const std::string& route, Instant now) {
  assert(state.m_busy < state.m_usable);
  assert(!exclusive || state.m_busy == 0);
  ++state.m_busy;
  ++m_total_busy;
  ++state.m_busy_by_class[class_name];
  state.m_exclusive = exclusive;
  state.m_last_used = ++m_use_counter;
  state.m_placement.RecordUse(now);
  m_constraints->RecordSend(state.m_name, now);
  state.m_running.emplace(m_use_counter, Running{now, route, false});
  Reindex(state);
  return m_use_counter;
}

double EndpointTable::LikelihoodRatioOf(const Slots& state, const Running& running, Instant now) const {
  if (running.m_no_response_recorded) return 1;
  const PlacementState& placement = state.m_placement;
  const double ratio =
      m_times.HangLikelihoodRatio(running.m_route, now - running.m_started,
                                  placement.Slowness(running.m_started), placement.GrayFailureRate());
  return std::max(1.0, ratio * running.m_later_response_ratio);
}

void EndpointTable::UpdateLikelihoodRatio(Slots& state, Instant now) {
  double ratio = 1;
  Instant since{};
  state.m_hung = 0;
  for (const auto& [ticket, running] : state.m_running) {
    const double attempt_ratio = LikelihoodRatioOf(state, running, now);
    state.m_hung += attempt_ratio >= kHungLikelihoodRatio ? 1 : 0;
    ratio *= attempt_ratio;
    if (attempt_ratio > 1) since = std::max(since, running.m_started);
  }
  state.m_placement.SetRunningLikelihoodRatio(std::min(ratio, kMaxLikelihoodRatio), since);
}

void EndpointTable::RecordNoResponse(const std::string& endpoint, std::int64_t ticket, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return;
  Slots& state = found->second;
  const auto running = state.m_running.find(ticket);
  if (running == state.m_running.end()) return;
  state.m_placement.ObserveHung(LikelihoodRatioOf(state, running->second, now), running->second.m_started,
                                now);
  running->second.m_no_response_recorded = true;
  UpdateLikelihoodRatio(state, now);
}

void EndpointTable::HandlePause(Instant now) {
  for (auto& [name, state] : m_slots) {
    for (auto& [ticket, running] : state.m_running) running.m_started = now;
    UpdateLikelihoodRatio(state, now);
  }
}

void EndpointTable::Observe(const std::string& endpoint, Evidence evidence, double relative_time,
                            Instant started, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return;
  Slots& state = found->second;
  state.m_placement.Observe(evidence, relative_time, started, now);
  if (evidence == Evidence::kGood) {
    // A long-running attempt is weaker evidence against an endpoint that responded to requests started later.
    for (auto& [ticket, running] : state.m_running) {
      if (running.m_started < started)
        running.m_later_response_ratio *= state.m_placement.GoodResponseLikelihoodRatio();
    }
    UpdateLikelihoodRatio(state, now);
  }
  CountReliableSlots(now);
}

bool EndpointTable::Cold(const std::string& endpoint, Instant at) const {
  const auto found = m_slots.find(endpoint);
  return found != m_slots.end() && found->second.m_placement.Cold(at);
}

bool EndpointTable::ListedAsLeaving(const std::string& endpoint) const {
  const auto found = m_slots.find(endpoint);
  return found != m_slots.end() && found->second.m_leaving;
}

double EndpointTable::GrayProbability(const std::string& endpoint, Instant now) const {
  const auto found = m_slots.find(endpoint);
  return found == m_slots.end() ? 1 : found->second.m_placement.GrayProbability(now);
}

void EndpointTable::Release(const std::string& endpoint, const std::string& class_name, std::int64_t ticket,
                            Instant now) {
  const auto found = m_slots.find(endpoint);
  assert(found != m_slots.end() && found->second.m_busy > 0);
  Slots& state = found->second;
  state.m_running.erase(ticket);
  --state.m_busy;
  --m_total_busy;
  if (--state.m_busy_by_class[class_name] == 0) state.m_busy_by_class.erase(class_name);
  if (state.m_busy == 0) state.m_exclusive = false;
  UpdateLikelihoodRatio(state, now);
  Update(state, now);
}

void EndpointTable::BackOff(const std::string& endpoint, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return;
  Slots& state = found->second;
  const std::int64_t doublings = std::min(state.m_connect_failures, kMaxBackoffDoublings);
  state.m_backoff_until = now + kFirstBackoff * (1 << doublings);
  ++state.m_connect_failures;
}

void EndpointTable::RecordRefusal(const std::string& endpoint, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return;
  found->second.m_placement.RecordRefusal(now);
  found->second.m_backoff_until = std::max(found->second.m_backoff_until, now + kRefusalPause);
}

void EndpointTable::ResetBackOff(const std::string& endpoint) {
  if (const auto found = m_slots.find(endpoint); found != m_slots.end()) found->second.m_connect_failures = 0;
}

void EndpointTable::SetLeaving(const std::string& endpoint, bool leaving, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end() || found->second.m_leaving == leaving) return;
  found->second.m_leaving = leaving;
  Update(found->second, now);
}

}  // namespace fescueramp
