#include "fescueramp/dispatch/idle_time_limit.h"

namespace fescueramp {
namespace {

/// Idle time that counts as long; servers normally keep idle connections far longer.
constexpr Duration kLongIdle = std::chrono::milliseconds(250);
constexpr Duration kNoLimit = std::chrono::hours(1);
/// Share of resets above which endpoints are assumed to drop idle connections. A healthy endpoint that starts
/// to fail by itself resets one in ten after 3 s without work.
constexpr double kStaleResetShare = 0.3;
constexpr double kMinResetsPerSecond = 1.5;  ///< Minimum resets a second for a meaningful share.

}  // namespace

void IdleTimeLimit::RecordOutcome(Duration idle, bool reset_at_once, Instant now) {
  if (idle < kLongIdle) return;
  m_sent.Add(now);
  if (reset_at_once) m_resets.Add(now);
}

Duration IdleTimeLimit::MaxIdleTime(Instant now) const {
  const double resets = m_resets.PerSecond(now);
  return resets >= kMinResetsPerSecond && resets > kStaleResetShare * m_sent.PerSecond(now) ? kLongIdle
                                                                                            : kNoLimit;
}

}  // namespace fescueramp
