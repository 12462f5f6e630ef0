#pragma once

#include <algorithm>
#include <cmath>

namespace fescueramp {

/// One-sided cumulative sum (CUSUM) test for a change of the rate of bad samples from p0 to p1.
/// With a threshold h on the sum, the mean number of samples between false alarms is at least e^h.
/// Source: E. S. Page, "Continuous Inspection Schemes", 1954; bound by G. Lorden, 1971.
class Cusum {
 public:
  /// Adds one sample, given the rates of bad samples `p0` (healthy) and `p1` (unhealthy), 0 < p0 < p1 < 1.
  void Add(bool bad, double p0, double p1) {
    const double step = bad ? std::log(p1 / p0) : std::log((1 - p1) / (1 - p0));
    m_sum = std::clamp(m_sum + step, 0.0, kMaxSum);
  }

  double Sum() const { return m_sum; }
  void Reset() { m_sum = 0; }

 private:
  static constexpr double kMaxSum =
      30;  ///< Bounds the time until the sum falls below a threshold after recovery.

  double m_sum = 0;
};

}  // namespace fescueramp
