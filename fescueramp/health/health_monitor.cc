#include "fescueramp/health/health_monitor.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace fescueramp {
namespace {

constexpr double kMaxUnhealthyRate = 0.95;  ///< Upper bound of the rates assumed for an unhealthy endpoint.
constexpr double kUnhealthyToNormalRatio =
    8;  ///< Error rate of an unhealthy endpoint, at least this multiple of the others'.
constexpr double kOutlierFactor = 3;  ///< Rate of bad responses of an outlier, in multiples of the others'.

bool IsError(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kServerError || outcome == AttemptOutcome::kBroken ||
         outcome == AttemptOutcome::kTimedOut || outcome == AttemptOutcome::kConnectFailed ||
         outcome == AttemptOutcome::kUnreachable;
}

/// Mean of rates in ascending order without the highest quarter, which may belong to unhealthy endpoints too.
double TrimmedMeanRate(const std::vector<double>& rates) {
  const std::size_t count = (rates.size() * 3 + 3) / 4;
  if (count == 0) return 0;
  return std::accumulate(rates.begin(), rates.begin() + static_cast<std::ptrdiff_t>(count), 0.0) /
         static_cast<double>(count);
}

/// Whether the health state admits ordinary requests, not only canary requests.
bool Serves(const HealthMonitor::EndpointRecord& record) {
  return record.m_state == HealthState::kHealthy || record.m_state == HealthState::kRamping;
}

/// Whether an outcome is no evidence about the health of the endpoint.
bool IsNeutral(AttemptOutcome outcome) {
  return outcome == AttemptOutcome::kShed || outcome == AttemptOutcome::kMisdirected ||
         outcome == AttemptOutcome::kCancelled || outcome == AttemptOutcome::kUnresponsive ||
         outcome == AttemptOutcome::kUnacknowledged;
}

}  // namespace

void HealthMonitor::Configure(const std::map<std::string, std::int64_t>& slots, double floor) {
  m_floor = floor;
  std::erase_if(m_endpoints, [&](const auto& item) { return !slots.contains(item.first); });
  for (const auto& [name, count] : slots) m_endpoints[name].m_slots = count;
}

void HealthMonitor::SetInService(const std::string& endpoint, bool in_service) {
  if (const auto found = m_endpoints.find(endpoint); found != m_endpoints.end()) {
    found->second.m_in_service = in_service;
  }
}

std::int64_t HealthMonitor::SlotsInService() const {
  std::int64_t slots = 0;
  for (const auto& [name, record] : m_endpoints) {
    if (record.m_in_service && Serves(record)) slots += record.m_slots;
  }
  return slots;
}

std::int64_t HealthMonitor::SlotsNotEjected() const {
  std::int64_t slots = 0;
  for (const auto& [name, record] : m_endpoints) slots += Serves(record) ? record.m_slots : 0;
  return slots;
}

std::int64_t HealthMonitor::FloorSlots() const {
  double total = 0;
  for (const auto& [name, record] : m_endpoints) total += static_cast<double>(record.m_slots);
  return static_cast<std::int64_t>(std::ceil(total * m_floor - 1e-9));
}

HealthState HealthMonitor::State(const std::string& endpoint) const {
  const auto found = m_endpoints.find(endpoint);
  return found == m_endpoints.end() ? HealthState::kEjected : found->second.m_state;
}

std::int64_t HealthMonitor::UsableSlots(const std::string& endpoint, Instant now) const {
  const auto found = m_endpoints.find(endpoint);
  if (found == m_endpoints.end() || !found->second.m_in_service) return 0;
  const EndpointRecord& record = found->second;
  switch (record.m_state) {
    case HealthState::kHealthy:
      return record.m_slots;
    case HealthState::kEjected:
      return 0;
    case HealthState::kCanary:
      return 1;
    case HealthState::kRamping:
      break;
  }
  const double share = ToSeconds(now - record.m_state_since) / ToSeconds(m_settings.m_ramp);
  const auto slots = static_cast<std::int64_t>(share * static_cast<double>(record.m_slots));
  return std::clamp<std::int64_t>(slots, 1, record.m_slots);
}

std::vector<HealthChange> HealthMonitor::Observe(const std::string& endpoint, const std::string& work,
                                                 AttemptOutcome outcome, Duration latency, Instant now) {
  const auto found = m_endpoints.find(endpoint);
  if (found == m_endpoints.end() || IsNeutral(outcome)) return {};
  EndpointRecord& record = found->second;
  const bool error = IsError(outcome);
  // Attempts that started before the ejection still end afterwards; the ejection already accounts for them.
  if (record.m_state == HealthState::kEjected) return {};
  AddErrorEvidence(record, error);
  bool slow = false;
  if (!error && latency > Duration(0))
    slow = AddLatencyEvidence(record, work, static_cast<double>(latency.count()));
  if (record.m_state == HealthState::kCanary) return EvaluateCanary(endpoint, record, !error && !slow, now);
  return EvaluateEvidence(endpoint, record, now);
}

void HealthMonitor::AddErrorEvidence(EndpointRecord& record, bool error) {
  const double normal =
      std::max(m_settings.m_min_error_rate,
               TrimmedMeanRate(RatesOfOtherEndpoints(record, &EndpointRecord::m_error_rate)));
  const double unhealthy = std::min(
      kMaxUnhealthyRate, std::max(m_settings.m_unhealthy_error_rate, normal * kUnhealthyToNormalRatio));
  // If the other endpoints fail nearly as often, errors are no evidence against this endpoint.
  if (normal < unhealthy) record.m_errors.Add(error, normal, unhealthy);
  record.m_error_rate.Add(error ? 1 : 0);
  RecordResponse(error, record.m_errors, record.m_error_window, m_all_errors);
}

bool HealthMonitor::AddLatencyEvidence(EndpointRecord& record, const std::string& work, double latency) {
  auto& baseline =
      m_baselines.try_emplace(work, Baseline{QuantileTracker(m_settings.m_slow_quantile)}).first->second;
  const bool slow = baseline.m_slow_latency.Count() >= m_settings.m_min_latency_samples &&
                    latency > baseline.m_slow_latency.Value();
  if (baseline.m_slow_latency.Count() >= m_settings.m_min_latency_samples) {
    const double trimmed_mean = TrimmedMeanRate(RatesOfOtherEndpoints(record, &EndpointRecord::m_slow_rate));
    const double normal = std::max(1 - m_settings.m_slow_quantile, trimmed_mean);
    const double unhealthy =
        std::min(kMaxUnhealthyRate, std::max(m_settings.m_unhealthy_slow_rate, normal * kOutlierFactor));
    if (normal < unhealthy) record.m_latency.Add(slow, normal, unhealthy);
    record.m_slow_rate.Add(slow ? 1 : 0);
    RecordResponse(slow, record.m_latency, record.m_slow_window, m_all_slow);
  }
  baseline.m_slow_latency.Add(latency);
  baseline.m_mean.Add(latency);
  return slow && latency > 2 * baseline.m_slow_latency.Value();
}

std::vector<double> HealthMonitor::RatesOfOtherEndpoints(const EndpointRecord& except,
                                                         MovingAverage EndpointRecord::*rate) const {
  std::vector<double> rates;
  for (const auto& [name, record] : m_endpoints) {
    if (&record != &except && record.m_state != HealthState::kEjected)
      rates.push_back((record.*rate).Value());
  }
  std::sort(rates.begin(), rates.end());
  return rates;
}

bool HealthMonitor::CauseIsShared(const EndpointRecord& record) const {
  // A fault that affects most other endpoints too lies in a dependency or in the requests, not in this
  // endpoint.
  const bool failing = record.m_errors.Sum() >= m_settings.m_error_threshold;
  const bool slow = record.m_latency.Sum() >= m_settings.m_latency_threshold;
  return !(failing &&
           IsOutlier(record, &EndpointRecord::m_error_rate, record.m_error_window, m_all_errors)) &&
         !(slow && IsOutlier(record, &EndpointRecord::m_slow_rate, record.m_slow_window, m_all_slow));
}

void HealthMonitor::RecordResponse(bool bad, const Cusum& evidence, Window& window, Tally& all) {
  for (Tally* tally : {&window.m_own, &all}) {
    ++tally->m_responses;
    tally->m_bad += bad ? 1 : 0;
  }
  if (evidence.Sum() > 0) return;
  window.m_own_at_start = window.m_own;
  window.m_all_at_start = all;
}

bool HealthMonitor::IsOutlier(const EndpointRecord& record, MovingAverage EndpointRecord::*rate,
                              const Window& window, const Tally& all) const {
  const std::vector<double> others = RatesOfOtherEndpoints(record, rate);
  if (others.empty()) return false;
  if ((record.*rate).Value() < others[others.size() / 2] * kOutlierFactor) return false;
  // Both rates cover the same period, which starts when this endpoint's CUSUM was last zero.
  const auto own_responses =
      static_cast<double>(window.m_own.m_responses - window.m_own_at_start.m_responses);
  const auto own_bad = static_cast<double>(window.m_own.m_bad - window.m_own_at_start.m_bad);
  const double others_responses =
      static_cast<double>(all.m_responses - window.m_all_at_start.m_responses) - own_responses;
  const double others_bad = static_cast<double>(all.m_bad - window.m_all_at_start.m_bad) - own_bad;
  return own_bad / own_responses >= kOutlierFactor * (others_bad + 1) / (others_responses + 1);
}

bool HealthMonitor::MayEject(const EndpointRecord& record) const {
  if (!Serves(record)) return true;
  if (record.m_in_service && SlotsInService() - record.m_slots < FloorSlots()) return false;
  // Endpoints out of service count here too: they may return to service while this endpoint is ejected.
  return SlotsNotEjected() - record.m_slots >= FloorSlots();
}

HealthChange HealthMonitor::ChangeState(const std::string& name, EndpointRecord& record, HealthState state,
                                        Instant now) {
  record.m_state = state;
  record.m_state_since = now;
  HealthChange change{name, state, record.m_reason, record.m_errors.Sum(), record.m_latency.Sum()};
  record.m_errors.Reset();
  record.m_latency.Reset();
  return change;
}

HealthChange HealthMonitor::Eject(const std::string& name, EndpointRecord& record, std::string reason,
                                  Instant now) {
  assert(MayEject(record));
  if (now - record.m_state_since > m_settings.m_ejection_count_reset_time) record.m_ejections = 0;
  // Each ejection soon after another doubles the ejection time, so that flapping endpoints stay out longer.
  record.m_ejection_time =
      std::min({m_settings.m_max_ejection_time, m_ejection_time_limit,
                m_settings.m_base_ejection_time * (1 << std::min<std::int64_t>(record.m_ejections, 8))});
  ++record.m_ejections;
  record.m_canary_successes = 0;
  record.m_reason = std::move(reason);
  record.m_error_rate = MovingAverage(kRecentWeight);
  record.m_slow_rate = MovingAverage(kRecentWeight);
  return ChangeState(name, record, HealthState::kEjected, now);
}

std::vector<HealthChange> HealthMonitor::EvaluateEvidence(const std::string& name, EndpointRecord& record,
                                                          Instant now) {
  const bool failing = record.m_errors.Sum() >= m_settings.m_error_threshold;
  const bool slow = record.m_latency.Sum() >= m_settings.m_latency_threshold;
  if (!failing && !slow) return {};
  if (CauseIsShared(record)) {
    // Evidence from a shared cause is dropped; otherwise it could eject the endpoint after the cause is gone.
    record.m_errors.Reset();
    record.m_latency.Reset();
    return {};
  }
  if (!MayEject(record)) return {};
  return {Eject(name, record, failing ? "fails real work" : "slow at real work", now)};
}

std::vector<HealthChange> HealthMonitor::EvaluateCanary(const std::string& name, EndpointRecord& record,
                                                        bool good, Instant now) {
  if (!good) {
    // If the other endpoints fail often too, a failed canary request is no evidence against this endpoint.
    const double trimmed_mean = TrimmedMeanRate(RatesOfOtherEndpoints(record, &EndpointRecord::m_error_rate));
    if (trimmed_mean * kOutlierFactor >= 1) return {};
    return {Eject(name, record, "failed a canary request", now)};
  }
  if (++record.m_canary_successes < m_settings.m_canary_successes) return {};
  record.m_reason = "canary requests succeeded";
  return {ChangeState(name, record, HealthState::kRamping, now)};
}

std::vector<HealthChange> HealthMonitor::Tick(Instant now) {
  std::vector<HealthChange> changes;
  for (auto& [name, record] : m_endpoints) {
    if (record.m_state == HealthState::kEjected && now - record.m_state_since >= record.m_ejection_time) {
      record.m_reason = "stay is over";
      changes.push_back(ChangeState(name, record, HealthState::kCanary, now));
    } else if (record.m_state == HealthState::kRamping && now - record.m_state_since >= m_settings.m_ramp) {
      record.m_reason = "ramp is over";
      changes.push_back(ChangeState(name, record, HealthState::kHealthy, now));
    }
  }
  return changes;
}

}  // namespace fescueramp
