#pragma once

#include <cmath>
#include <cstdint>

namespace fescueramp {

/// Streaming estimate of one quantile of a positive quantity, on a logarithmic scale.
/// Source: H. Robbins, S. Monro, "A Stochastic Approximation Method", 1951.
class QuantileTracker {
 public:
  explicit QuantileTracker(double quantile) : m_quantile(quantile) {}

  /// Adds a sample greater than 0.
  void Add(double sample) {
    const double value = std::log(sample);
    if (m_count == 0) m_log_estimate = value;
    ++m_count;
    const double gain = std::max(kMinGain, kInitialGain / std::sqrt(static_cast<double>(m_count)));
    m_log_estimate += value > m_log_estimate ? gain * m_quantile : -gain * (1 - m_quantile);
  }

  /// Current estimate; meaningless before the first sample.
  double Value() const { return std::exp(m_log_estimate); }
  std::int64_t Count() const { return m_count; }

 private:
  static constexpr double kInitialGain = 0.5;
  static constexpr double kMinGain = 0.02;

  double m_quantile;
  double m_log_estimate = 0;
  std::int64_t m_count = 0;
};

}  // namespace fescueramp
