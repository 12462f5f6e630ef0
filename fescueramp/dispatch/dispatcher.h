#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/dispatch/announced_constraint.h"
#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/dispatch/endpoint_coverage.h"
#include "fescueramp/dispatch/hedge_counts.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Effects that a dispatcher requests, in order.
using DispatchEffect = std::variant<StartAttempt, FinishRequest, DeliverResponse, CancelAttempt, ReportHealth,
                                    ReportConstraint, ReportQuarantine>;
using DispatchEffects = std::vector<DispatchEffect>;

/// Load of a dispatcher, for status and metrics.
struct DispatcherLoad {
  std::string m_service;
  std::int64_t m_queued = 0;
  std::int64_t m_running = 0;
  std::int64_t m_slots = 0;
  std::int64_t m_slots_in_service = 0;
  std::int64_t m_floor_slots = 0;
  std::int64_t m_endpoints = 0;       ///< Endpoints in service, ejected ones included.
  std::int64_t m_endpoints_used = 0;  ///< Endpoints in service sent a request within `kCoverageWindow`.
  /// Endpoints in service that were not used and are probably in a gray failure.
  std::int64_t m_endpoints_avoided = 0;
  double m_unserved_share = 0;  ///< Share of the requests that ended recently which were not served, 0 to 1.
  std::int64_t m_endpoints_limited = 0;  ///< Endpoints that state a request limit.
  std::int64_t m_endpoints_paused = 0;   ///< Endpoints that have asked for a pause.
  HedgeCounts m_hedges;
};
BOOST_DESCRIBE_STRUCT(DispatcherLoad, (),
                      (m_service, m_queued, m_running, m_slots, m_slots_in_service, m_floor_slots,
                       m_endpoints, m_endpoints_used, m_endpoints_avoided, m_unserved_share,
                       m_endpoints_limited, m_endpoints_paused, m_hedges))

/// State of one endpoint, for status.
struct EndpointStatus {
  std::string m_endpoint;
  HealthState m_state = HealthState::kHealthy;
  bool m_in_service = true;
  std::int64_t m_busy = 0;
  std::int64_t m_usable_slots = 0;
  double m_error_rate = 0;
  double m_error_evidence = 0;
  double m_latency_evidence = 0;
  std::int64_t m_ejections = 0;
  std::string m_reason;
  double m_doubt = 0;  ///< Gray-failure probability of the endpoint, 0 to 1.
  std::optional<double>
      m_limit_per_s;              ///< Requests a second that it takes from all hosts; nothing: no limit.
  bool m_states_leaving = false;  ///< Whether it has stated itself that it is leaving.
  std::int64_t m_pause_ms = 0;    ///< Time for which it takes no requests, as it asked for a pause, ms.
};
BOOST_DESCRIBE_STRUCT(EndpointStatus, (),
                      (m_endpoint, m_state, m_in_service, m_busy, m_usable_slots, m_error_rate,
                       m_error_evidence, m_latency_evidence, m_ejections, m_reason, m_doubt, m_limit_per_s,
                       m_states_leaving, m_pause_ms))

/// Queues the requests of one service and chooses when and where each runs.
/// Deterministic: the same calls give the same effects.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  /// Applies a new revision of the configuration objects.
  virtual void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) = 0;

  /// Sets the endpoints assigned to this dispatcher, for a service whose endpoints announce themselves.
  /// @param parts Number of dispatchers among which the service's endpoints are split.
  virtual void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                                DispatchEffects& out) = 0;

  /// Accepts a request. It ends with exactly one FinishRequest or DeliverResponse, unless `ReleaseQueue`
  /// returns it.
  virtual void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) = 0;

  /// Cancels a request whose caller left.
  virtual void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) = 0;

  /// Handles the end of an attempt.
  virtual void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) = 0;

  /// Ends queued requests whose deadline has passed and updates time-dependent state.
  virtual void Tick(Instant now, DispatchEffects& out) = 0;

  /// Handles a pause of this node's process: time measured across it must not count against endpoints.
  virtual void HandlePause(Instant now) = 0;

  /// Marks an endpoint as leaving or staying, as listed by the platform.
  virtual void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) = 0;

  /// Removes and returns queued requests that never ran, so that another node can take them. Requests with a
  /// claim stay, as the claims belong to this node.
  virtual std::vector<DispatchRequest> ReleaseQueue() = 0;

  /// Returns the current load.
  virtual DispatcherLoad Load(Instant now) const = 0;
  /// Returns the state of every endpoint.
  virtual std::vector<EndpointStatus> Endpoints(Instant now) const = 0;

  /// Constraints on requests to the endpoints of this dispatcher that other nodes should know.
  virtual std::vector<AnnouncedConstraint> ConstraintsToAnnounce(Instant now) const = 0;

  /// Whether network paths from this node to endpoints seem to fail, so that another node may still reach
  /// them.
  virtual bool PathsFailing(Instant now) = 0;

  /// Whether nothing is queued or running.
  virtual bool Idle() const = 0;
};

}  // namespace fescueramp
