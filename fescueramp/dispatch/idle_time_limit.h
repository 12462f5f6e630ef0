#pragma once

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Says for how long a connection may have been idle when work is sent on it.
///
/// Answers the load pattern in which endpoints forget idle connections sooner than they say: whatever is sent
/// on one is reset, and work that must not repeat is lost with it. A new connection costs little beside that.
class IdleTrust {
 public:
  /// Notes how work fared that was sent on a kept connection, to an endpoint in no doubt: others fail for
  /// reasons of their own.
  /// @param broke_at_once Whether it was reset before an endpoint could have done anything.
  void Note(Duration idle, bool broke_at_once, Instant now);

  /// Longest idle time of a connection that may be used.
  Duration MostIdle(Instant now) const;

 private:
  static constexpr Duration kMemory = std::chrono::seconds(2);

  RateEstimate m_sent{kMemory};   ///< Work sent on connections that were idle for long.
  RateEstimate m_broke{kMemory};  ///< What of it was reset at once.
};

}  // namespace fescueramp
