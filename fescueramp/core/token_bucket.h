#pragma once

#include <algorithm>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Bucket of tokens that fills at a steady rate up to a burst.
class TokenBucket {
 public:
  /// Takes one token if there is one.
  bool Take(Instant now, double rate_per_second, double burst) {
    Refill(now, rate_per_second, burst);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

  /// Time until the next token, given the rate.
  Duration UntilNext(double rate_per_second) const {
    return rate_per_second <= 0 ? Duration::max()
                                : FromSeconds(std::max(0.0, 1 - m_tokens) / rate_per_second);
  }

 private:
  void Refill(Instant now, double rate_per_second, double burst) {
    if (m_updated == Instant{})
      m_tokens = burst;
    else
      m_tokens = std::min(burst, m_tokens + ToSeconds(now - m_updated) * rate_per_second);
    m_updated = now;
  }

  double m_tokens = 0;
  Instant m_updated{};
};

}  // namespace fescueramp
