#pragma once

#include <algorithm>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Token bucket that refills at a constant rate up to a burst size. It starts full.
class TokenBucket {
 public:
  /// Takes one token; false if none is available.
  bool Take(Instant now, double rate_per_second, double burst) {
    Refill(now, rate_per_second, burst);
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }

  /// Time from the last call of Take until one token is available; the maximum duration if the rate is not
  /// positive.
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
