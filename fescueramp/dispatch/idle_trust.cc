#include "fescueramp/dispatch/idle_trust.h"

namespace fescueramp {
namespace {

constexpr Duration kLongIdle = std::chrono::milliseconds(250);  ///< Servers keep idle connections far longer.
constexpr Duration kNoLimit = std::chrono::hours(1);
/// Share of resets that shows forgotten connections. A sound endpoint that begins to fail by itself resets
/// one in ten after 3 s without work.
constexpr double kStaleResetShare = 0.3;
constexpr double kMinResetsPerSecond = 1.5;  ///< Resets a second below which the share says nothing.

}  // namespace

void IdleTimeLimit::RecordOutcome(Duration idle, bool reset_at_once, Instant now) {
  if (idle < kLongIdle) return;
  m_sent.Add(now);
  if (reset_at_once) m_resets.Add(now);
}

Duration IdleTimeLimit::MaxIdleTime(Instant now) const {
  const double broke = m_resets.PerSecond(now);
  return broke >= kMinResetsPerSecond && broke > kStaleResetShare * m_sent.PerSecond(now) ? kLongIdle
                                                                                          : kNoLimit;
}

}  // namespace fescueramp
