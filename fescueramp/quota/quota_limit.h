#pragma once

#include <algorithm>
#include <cstdint>

#include "fescueramp/config/objects.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Time for which granted credit may be spent. Below the shortest usual window, so that credit granted under
/// an older configuration has expired one window after a lower limit.
inline constexpr Duration kQuotaLease = std::chrono::milliseconds(4500);

/// Limit of one account over the whole fleet, and how far it may be exceeded.
///
/// The bound of a window is (rate x window + burst) x (1 + overshoot) + slack. A grantor keeps its own credit
/// and the credit that is outstanding below Capacity(), so that at most rate x window + Capacity() requests
/// run in a window. What the bound leaves above that covers changes of the grantor.
struct QuotaLimit {
  double m_rate = 0;      ///< Requests/s.
  double m_burst = 0;     ///< Requests.
  double m_window_s = 5;  ///< Seconds.
  double m_overshoot = 0.1;
  double m_slack = 20;  ///< Requests.

  QuotaLimit() = default;
  explicit QuotaLimit(const Limit& limit)
      : m_rate(limit.m_fleet_rate),
        m_burst(static_cast<double>(limit.m_fleet_burst)),
        m_window_s(static_cast<double>(limit.m_window_ms) / 1000),
        m_overshoot(limit.m_overshoot),
        m_slack(static_cast<double>(limit.m_slack)) {}

  bool Limits() const { return m_rate > 0; }

  /// Largest sum of the grantor's credit and of outstanding credit.
  double Capacity() const {
    constexpr double kOvershootShare = 0.4;  ///< The rest covers two grantors at the same time.
    constexpr double kSlackShare = 0.7;      ///< The rest is the initial credit of three grantors.
    return std::max(1.0, m_burst * (1 + m_overshoot) + kOvershootShare * m_overshoot * m_rate * m_window_s +
                             kSlackShare * m_slack);
  }

  /// Credit with which a new grantor starts, so that requests of small accounts need not wait.
  double InitialCredit() const {
    constexpr double kSlackShare = 0.1;
    return std::min(Capacity(), kSlackShare * m_slack);
  }

  /// Rate of a grantor that another one may be granting beside.
  double CautiousRate() const {
    constexpr double kShare = 0.05;  ///< Half of the usual overshoot.
    constexpr double kMinRate = 2;   ///< Requests/s; the slack covers it for the time of a takeover.
    return std::min(m_rate, std::max(kMinRate, kShare * m_rate));
  }
};

}  // namespace fescueramp
