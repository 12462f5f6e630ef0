#pragma once

namespace fescueramp {

/// What becomes of a request that can't start at once.
enum class Admission {
  kInTime,  ///< It waits: it can be answered within its target.
  kLate,    ///< It waits behind all that can: slots will be left over for it before its deadline.
  kRefuse,  ///< It is refused now, as no slot will be free for it.
};

/// Load of a service as a request of one class sees it: all that goes before it.
struct AdmissionLoad {
  double m_capacity_per_s = 0;  ///< Requests that the endpoints can begin a second; 0 when it is not known.
  double m_waiting = 0;         ///< Requests that go before it and can still be answered in time.
  double m_waiting_late = 0;    ///< Requests that wait behind these.
  double m_arrivals_per_s = 0;  ///< Requests that arrive and go before late ones.
};

/// Time that a request has, seconds.
struct AdmissionTime {
  double m_work_time = 0;  ///< That its work usually takes.
  double m_target = 0;     ///< Until an answer loses its full value; 0 when there is no such time.
  double m_deadline = 0;   ///< Until nobody waits any more.
};

/// Decides by when a slot will be free.
///
/// Answers the load pattern of a crest above the capacity of the sound endpoints: a queue that is longer than
/// the target less the work makes everybody late and serves nobody more. Work that would be late goes behind
/// all that can be in time, as far as capacity is left over for it; what nothing is left over for hears at
/// once that it has not run.
Admission Admit(const AdmissionLoad& load, const AdmissionTime& time);

/// Time until a slot is free for a request that would be late, seconds; infinite when none is left over.
double LateRequestWait(const AdmissionLoad& load);

}  // namespace fescueramp
