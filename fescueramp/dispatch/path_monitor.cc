#include "fescueramp/dispatch/path_monitor.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

constexpr double kTroubleShare = 0.15;      ///< Share of the endpoints that can't be reached in trouble.
constexpr std::size_t kLeastEndpoints = 2;  ///< A single endpoint is more likely to be down itself.
constexpr Duration kMemory = std::chrono::seconds(2);       ///< Time for which a failed connect counts.
constexpr Duration kTroubleTime = std::chrono::seconds(6);  ///< Time before the paths are tried again.

}  // namespace

void PathWatch::NoteUnreachable(const std::string& endpoint, Instant now) { m_unreachable[endpoint] = now; }

bool PathWatch::Troubled(std::size_t endpoints, Instant now) {
  std::erase_if(m_unreachable, [&](const auto& item) { return now - item.second > kMemory; });
  const auto share = static_cast<std::size_t>(std::ceil(kTroubleShare * static_cast<double>(endpoints)));
  if (m_unreachable.size() >= std::max(kLeastEndpoints, share)) m_troubled_until = now + kTroubleTime;
  return now < m_troubled_until;
}

}  // namespace fescueramp
