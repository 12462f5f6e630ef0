#include "fescueramp/dispatch/path_monitor.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

/// Share of unreachable endpoints from which the paths count as failing.
constexpr double kFailingShare = 0.15;
/// A single unreachable endpoint is more likely to be down itself.
constexpr std::size_t kMinUnreachable = 2;
constexpr Duration kUnreachableTtl = std::chrono::seconds(2);  ///< Time for which a failed connect counts.
constexpr Duration kFailingHold = std::chrono::seconds(6);     ///< Time until the paths are tried again.

}  // namespace

void PathMonitor::RecordUnreachable(const std::string& endpoint, Instant now) {
  m_unreachable[endpoint] = now;
}

bool PathMonitor::Failing(std::size_t endpoints, Instant now) {
  std::erase_if(m_unreachable, [&](const auto& item) { return now - item.second > kUnreachableTtl; });
  const auto share = static_cast<std::size_t>(std::ceil(kFailingShare * static_cast<double>(endpoints)));
  if (m_unreachable.size() >= std::max(kMinUnreachable, share)) m_failing_until = now + kFailingHold;
  return now < m_failing_until;
}

}  // namespace fescueramp
