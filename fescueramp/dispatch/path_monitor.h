#pragma once

#include <map>
#include <string>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Detects failures of the network paths from this node to endpoints, as opposed to failures of the
/// endpoints.
///
/// Addresses a host that loses connectivity to endpoints that other hosts still reach: the service loses
/// their slots as long as this host dispatches it. Other hosts can't detect this, so a request is handed
/// back, at most `kMaxHandBacks` times, for another dispatcher that tries its own paths.
class PathMonitor {
 public:
  /// Records that an endpoint's host did not respond to a connect or did not acknowledge sent data.
  void RecordUnreachable(const std::string& endpoint, Instant now);

  /// Records that an endpoint responded.
  void RecordReachable(const std::string& endpoint) { m_unreachable.erase(endpoint); }

  /// Whether the paths seem to fail, by the share of unreachable endpoints. The result holds for a few
  /// seconds, as endpoints without work give no evidence.
  /// @param endpoints Number of endpoints of the service.
  bool Failing(std::size_t endpoints, Instant now);

 private:
  std::map<std::string, Instant> m_unreachable;  ///< Last failure by endpoint.
  Instant m_failing_until{};
};

}  // namespace fescueramp
