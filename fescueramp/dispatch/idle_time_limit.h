#pragma once

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Limits the idle time of kept connections that may be reused.
///
/// Addresses endpoints that drop idle connections sooner than they advertise. A request sent on such a
/// connection is reset, and the outcome of a non-repeatable request is then unknown. A new connection costs
/// little in comparison.
class IdleTimeLimit {
 public:
  /// Records the outcome of a request sent on a kept connection. Only endpoints with a low gray-failure
  /// probability count, as others reset connections for their own reasons.
  /// @param reset_at_once Whether the connection was reset before the endpoint could have processed the
  /// request.
  void RecordOutcome(Duration idle, bool reset_at_once, Instant now);

  /// Maximum idle time of a connection that may be reused.
  Duration MaxIdleTime(Instant now) const;

 private:
  static constexpr Duration kTimeConstant = std::chrono::seconds(2);

  RateEstimate m_sent{kTimeConstant};    ///< Requests sent on connections after a long idle time.
  RateEstimate m_resets{kTimeConstant};  ///< Those of `m_sent` that were reset at once.
};

}  // namespace fescueramp
