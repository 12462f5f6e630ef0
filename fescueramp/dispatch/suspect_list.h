#pragma once

#include <cstdint>
#include <map>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Requests that were running when an endpoint broke off, by fingerprint.
/// One break short of quarantine it runs alone, the next break quarantines it, a good answer clears it.
class SuspectList {
 public:
  /// Sets the breaks after which a request is quarantined, 2 or more.
  void SetLimit(std::int64_t breaks) { m_limit = breaks; }

  /// Notes that a request was running when its endpoint broke off.
  /// @param alone Whether nothing else ran there, which makes it the cause.
  void AddBreak(std::uint64_t fingerprint, bool alone, Instant now);

  /// Notes that a request was answered.
  void Clear(std::uint64_t fingerprint);

  /// Whether the request must run alone on an endpoint.
  bool IsSuspect(std::uint64_t fingerprint) const;

  /// Whether the request must be refused.
  bool IsQuarantined(std::uint64_t fingerprint) const;

  /// Forgets old entries.
  void Expire(Instant now);

 private:
  static constexpr std::size_t kMaxSuspects = 4096;
  static constexpr Duration kRetention = std::chrono::minutes(10);

  struct Suspect {
    std::int64_t m_breaks = 0;
    Instant m_last{};
  };

  std::int64_t m_limit = 2;
  std::map<std::uint64_t, Suspect> m_suspects;
};

}  // namespace fescueramp
