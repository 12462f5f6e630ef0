#pragma once

#include <algorithm>
#include <cmath>

namespace fescueramp {

/// One-sided cumulative sum test on yes/no answers: is the rate of "yes" p1 rather than p0?
/// With threshold h the mean number of answers between false alarms is at least e^h.
/// Source: E. S. Page, "Continuous Inspection Schemes", 1954; bound by G. Lorden, 1971.
class Cusum {
 public:
  /// Adds one answer judged against the rates `p0` (well) and `p1` (ill), 0 < p0 < p1 < 1.
  void Add(bool bad, double p0, double p1) {
    const double step = bad ? std::log(p1 / p0) : std::log((1 - p1) / (1 - p0));
    m_sum = std::clamp(m_sum + step, 0.0, kHighestSum);
  }

  double Sum() const { return m_sum; }
  void Reset() { m_sum = 0; }

 private:
  static constexpr double kHighestSum = 30;  ///< Bounds how long a recovered endpoint stays under suspicion.

  double m_sum = 0;
};

}  // namespace fescueramp
