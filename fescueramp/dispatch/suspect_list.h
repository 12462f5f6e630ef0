#pragma once

#include <cstdint>
#include <map>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Requests that may crash endpoints, by fingerprint: those running when an endpoint's connection broke. One
/// break short of the limit, a request runs alone on an endpoint; at the limit, it is quarantined. A good
/// response removes it from the list.
class SuspectList {
 public:
  /// Sets the number of breaks after which a request is quarantined, 2 or more.
  void SetLimit(std::int64_t breaks) { m_limit = breaks; }

  /// Records that the connection broke while the request was running.
  /// @param alone Whether the request ran alone on the endpoint, which makes it the cause.
  void AddBreak(std::uint64_t fingerprint, bool alone, Instant now);

  /// Removes a request that got a good response.
  void Clear(std::uint64_t fingerprint);

  /// Whether the request must run alone on an endpoint.
  bool IsSuspect(std::uint64_t fingerprint) const;

  /// Whether the request must be refused.
  bool IsQuarantined(std::uint64_t fingerprint) const;

  /// Removes entries without a recent break.
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
