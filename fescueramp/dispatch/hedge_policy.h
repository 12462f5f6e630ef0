#pragma once

#include <map>
#include <string>

#include "fescueramp/core/time.h"
#include "fescueramp/health/quantile_tracker.h"

namespace fescueramp {

/// Decides when a request without a response is also sent to a second endpoint.
///
/// Addresses endpoints at which some requests hang while others get responses. The first response wins. The
/// cost is bounded by the share of requests that take longer than a quantile.
/// Source: J. Dean, L. Barroso, "The Tail at Scale", 2013.
class HedgePolicy {
 public:
  /// Sets the quantile of a route's response times after which its requests are hedged; 0 disables hedging.
  void SetQuantile(double quantile);

  /// Records the time of one response.
  void AddLatency(const std::string& route, Duration latency);

  /// Time after which a request of the route is hedged. Without enough recorded responses, it is a share of
  /// the target.
  /// @param target Target latency; 0 if there is none. Such a route is not hedged until enough responses are
  /// recorded.
  Duration Delay(const std::string& route, Duration target) const;

  bool Enabled() const { return m_quantile > 0; }

 private:
  double m_quantile = 0;
  std::map<std::string, QuantileTracker> m_latency;  ///< By route.
};

}  // namespace fescueramp
