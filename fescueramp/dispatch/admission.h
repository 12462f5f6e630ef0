#pragma once

namespace fescueramp {

/// Admission decision for a request that can't start at once.
enum class Admission {
  kInTime,  ///< Queued: expected to be served within its target latency.
  kLate,    ///< Queued behind all on-time requests: spare capacity should reach it before its deadline.
  kRefuse,  ///< Refused at once: no slot is expected to be free before its deadline.
};

/// Load of a service that competes with a request of one class, from the same and more urgent classes.
struct AdmissionLoad {
  double m_capacity_per_s = 0;  ///< Requests a second that the endpoints can start; 0 if unknown.
  double m_waiting = 0;         ///< Queued requests that are served before an on-time request.
  double m_waiting_late = 0;    ///< Queued late requests, which are served after all of `m_waiting`.
  double m_arrivals_per_s = 0;  ///< Arrival rate of requests that are served before late ones.
};

/// Expected service time of a request and the time it has left, seconds.
struct AdmissionTime {
  double m_expected_service_time = 0;  ///< Expected service time.
  double m_target = 0;    ///< Time left until the target latency has passed; 0 if there is no target.
  double m_deadline = 0;  ///< Time left until the deadline of the request.
};

/// Decides whether to queue or refuse a request, by the expected time until a slot is free.
///
/// Addresses bursts above the capacity of the healthy endpoints. A queue that is longer than the target minus
/// the service time makes every response late without serving more requests. A request that would be late
/// therefore waits behind all on-time requests and uses only spare capacity. If no spare capacity is expected
/// before its deadline, it is refused at once as not run.
Admission Admit(const AdmissionLoad& load, const AdmissionTime& time);

/// Expected wait of a late request for a slot, seconds; infinite when there is no spare capacity.
double LateRequestWait(const AdmissionLoad& load);

}  // namespace fescueramp
