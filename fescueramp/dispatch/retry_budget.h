#pragma once

#include <algorithm>

namespace fescueramp {

/// Bounds retries to a share of the requests that finish, so that retries can't multiply an overload.
class RetryBudget {
 public:
  /// Sets the retries allowed per finished request.
  void SetRatio(double ratio) { m_ratio = ratio; }

  void AddFinished() { m_tokens = std::min(kMaxTokens, m_tokens + m_ratio); }

  /// Takes one retry, if there is one.
  bool Take() {
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

 private:
  static constexpr double kMaxTokens = 50;

  double m_ratio = 0.1;
  double m_tokens = kMaxTokens;
};

}  // namespace fescueramp
