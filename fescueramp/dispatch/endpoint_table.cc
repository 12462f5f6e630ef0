#include "fescueramp/dispatch/endpoint_table.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace fescueramp {
namespace {

constexpr double kOtherZoneCost = 0.01;  ///< Load added to endpoints of other zones; orders equals only.
constexpr std::size_t kMaxScan = 64;     ///< Endpoints looked at for one request.
constexpr Duration kFirstBackoff = std::chrono::milliseconds(20);
constexpr std::int64_t kMaxBackoffDoublings = 4;

}  // namespace

void EndpointTable::Configure(const ObjectSet& set, const Pool& pool, double floor, Instant now) {
  std::map<std::string, std::int64_t> slots;
  for (const auto& name : pool.m_endpoints) slots[name] = pool.m_slots;
  m_health.Configure(slots, floor);
  m_free.clear();
  for (auto& [name, state] : m_slots) state.m_in_free_set = false;
  for (const auto& name : pool.m_endpoints) {
    Slots& state = m_slots[name];
    state.m_name = name;
    state.m_endpoint = set.m_endpoints.at(name);
    state.m_total = pool.m_slots;
  }
  // Endpoints that left the pool have no slots any more, and stay known until their last request ends.
  Refresh(now);
  std::erase_if(m_slots,
                [&](const auto& item) { return !slots.contains(item.first) && item.second.m_busy == 0; });
}

void EndpointTable::Refresh(Instant now) {
  for (auto& [name, state] : m_slots) Update(state, now);
}

void EndpointTable::Update(Slots& state, Instant now) {
  const bool in_service = state.m_endpoint.m_admin_state == AdminState::kInService && !state.m_leaving;
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
  const double zone_cost = state.m_endpoint.m_zone == m_own_zone ? 0 : kOtherZoneCost;
  state.m_free_key = static_cast<double>(state.m_busy) / static_cast<double>(state.m_usable) + zone_cost;
  state.m_free_last_used = state.m_last_used;
  m_free.insert({state.m_free_key, state.m_free_last_used, &state});
}

bool EndpointTable::Meets(const Slots& state, const Need& need, Instant now) const {
  if (state.m_backoff_until > now) return false;
  if (need.m_alone && state.m_busy > 0) return false;
  if (need.m_avoid && need.m_avoid->contains(state.m_name)) return false;
  if (!need.m_repeatable && m_health.State(state.m_name) == HealthState::kCanary) return false;
  const auto held = state.m_busy_by_class.find(need.m_class_name);
  if (held == state.m_busy_by_class.end()) return true;
  const auto cap =
      static_cast<std::int64_t>(std::floor(need.m_max_share * static_cast<double>(state.m_total) + 1e-9));
  return held->second < std::max<std::int64_t>(1, cap);
}

EndpointTable::Slots* EndpointTable::Choose(const Need& need, Instant now) {
  std::size_t scanned = 0;
  for (const FreeKey& key : m_free) {
    if (Meets(*key.m_slots, need, now)) return key.m_slots;
    if (++scanned >= kMaxScan) break;
  }
  return nullptr;
}

void EndpointTable::Take(Slots& state, const std::string& class_name, bool exclusive) {
  assert(state.m_busy < state.m_usable);
  assert(!exclusive || state.m_busy == 0);
  ++state.m_busy;
  ++m_total_busy;
  ++state.m_busy_by_class[class_name];
  state.m_exclusive = exclusive;
  state.m_last_used = ++m_use_counter;
  Reindex(state);
}

void EndpointTable::Release(const std::string& endpoint, const std::string& class_name, Instant now) {
  const auto found = m_slots.find(endpoint);
  assert(found != m_slots.end() && found->second.m_busy > 0);
  Slots& state = found->second;
  --state.m_busy;
  --m_total_busy;
  if (--state.m_busy_by_class[class_name] == 0) state.m_busy_by_class.erase(class_name);
  if (state.m_busy == 0) state.m_exclusive = false;
  Update(state, now);
}

void EndpointTable::BackOff(const std::string& endpoint, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end()) return;
  Slots& state = found->second;
  const std::int64_t doublings = std::min(state.m_refusals, kMaxBackoffDoublings);
  state.m_backoff_until = now + kFirstBackoff * (1 << doublings);
  ++state.m_refusals;
}

void EndpointTable::Accepted(const std::string& endpoint) {
  if (const auto found = m_slots.find(endpoint); found != m_slots.end()) found->second.m_refusals = 0;
}

void EndpointTable::SetLeaving(const std::string& endpoint, bool leaving, Instant now) {
  const auto found = m_slots.find(endpoint);
  if (found == m_slots.end() || found->second.m_leaving == leaving) return;
  found->second.m_leaving = leaving;
  Update(found->second, now);
}

}  // namespace fescueramp
