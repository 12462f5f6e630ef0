#include "fescueramp/dispatch/admission.h"

#include <limits>

namespace fescueramp {
namespace {

constexpr double kPlannedTargetShare = 0.9;  ///< Share of the target to plan for, as service times vary.

}  // namespace

double LateRequestWait(const AdmissionLoad& load) {
  const double spare = load.m_capacity_per_s - load.m_arrivals_per_s;
  if (spare <= 0) return std::numeric_limits<double>::infinity();
  return (load.m_waiting + load.m_waiting_late + 1) / spare;
}

Admission Admit(const AdmissionLoad& load, const AdmissionTime& time) {
  if (load.m_capacity_per_s <= 0) return Admission::kInTime;
  const double wait = load.m_waiting / load.m_capacity_per_s;
  const double limit = time.m_target > 0 ? time.m_target * kPlannedTargetShare : time.m_deadline;
  if (wait + time.m_expected_service_time <= limit) return Admission::kInTime;
  return LateRequestWait(load) + time.m_expected_service_time <= time.m_deadline ? Admission::kLate
                                                                                 : Admission::kRefuse;
}

}  // namespace fescueramp
