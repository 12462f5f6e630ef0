#include "fescueramp/dispatch/idle_time_limit.h"

namespace fescueramp {
namespace {

constexpr Duration kLongIdle = std::chrono::milliseconds(250);  ///< Servers keep idle connections far longer.
constexpr Duration kNoBound = std::chrono::hours(1);
/// Share of resets that shows forgotten connections. A sound endpoint that begins to fail by itself resets
/// one in ten after 3 s without work.
constexpr double kForgottenShare = 0.3;
constexpr double kLeastBroken = 1.5;  ///< Resets a second below which the share says nothing.

}  // namespace

void IdleTrust::Note(Duration idle, bool broke_at_once, Instant now) {
  if (idle < kLongIdle) return;
  m_sent.Add(now);
  if (broke_at_once) m_broke.Add(now);
}

Duration IdleTrust::MostIdle(Instant now) const {
  const double broke = m_broke.PerSecond(now);
  return broke >= kLeastBroken && broke > kForgottenShare * m_sent.PerSecond(now) ? kLongIdle : kNoBound;
}

}  // namespace fescueramp
