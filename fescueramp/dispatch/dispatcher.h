#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Effects that a dispatcher asks for, in order.
using DispatchEffect = std::variant<StartAttempt, FinishRequest, DeliverAnswer, CancelAttempt, ReportHealth>;
using DispatchEffects = std::vector<DispatchEffect>;

/// Load of a dispatcher, for status and metrics.
struct DispatcherLoad {
  std::string m_service;
  std::int64_t m_queued = 0;
  std::int64_t m_running = 0;
  std::int64_t m_slots = 0;
  std::int64_t m_slots_in_service = 0;
  std::int64_t m_floor_slots = 0;
};
BOOST_DESCRIBE_STRUCT(DispatcherLoad, (),
                      (m_service, m_queued, m_running, m_slots, m_slots_in_service, m_floor_slots))

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
  double m_doubt = 0;  ///< Probability that the endpoint is in a gray failure.
};
BOOST_DESCRIBE_STRUCT(EndpointStatus, (),
                      (m_endpoint, m_state, m_in_service, m_busy, m_usable_slots, m_error_rate,
                       m_error_evidence, m_latency_evidence, m_ejections, m_reason, m_doubt))

/// Queues the requests of one service and chooses when and where each runs.
/// Deterministic: the same calls give the same effects.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;

  /// Takes over a new revision of the objects.
  virtual void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) = 0;

  /// Sets the endpoints of a service whose endpoints announce themselves, as far as they are this
  /// dispatcher's.
  /// @param parts Dispatchers among which the service's endpoints are split.
  virtual void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                                DispatchEffects& out) = 0;

  /// Takes a request in. It ends with exactly one FinishRequest or DeliverAnswer.
  virtual void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) = 0;

  /// Drops a request whose caller left.
  virtual void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) = 0;

  /// Takes the end of an attempt.
  virtual void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) = 0;

  /// Ends queued requests whose deadline has passed and moves time-driven state on.
  virtual void Tick(Instant now, DispatchEffects& out) = 0;

  /// Notes that this node did not run for a while: times measured across the pause are its own fault.
  virtual void HandlePause(Instant now) = 0;

  /// Marks an endpoint as leaving or staying, by the platform's list.
  virtual void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) = 0;

  /// Returns queued requests that never ran and forgets them, so that another node can take them.
  /// Claimed work stays: its claims are this node's.
  virtual std::vector<std::string> ReleaseQueue() = 0;

  virtual DispatcherLoad Load(Instant now) const = 0;
  virtual std::vector<EndpointStatus> Endpoints(Instant now) const = 0;

  /// Whether endpoints are out of reach from here that another node may reach.
  virtual bool PathsFailing(Instant now) = 0;

  /// Whether nothing is queued or running.
  virtual bool Idle() const = 0;
};

}  // namespace fescueramp
