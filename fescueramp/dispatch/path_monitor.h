#pragma once

#include <map>
#include <string>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Says when the paths from this node to the endpoints are in doubt rather than the endpoints.
///
/// Answers the load pattern in which one host loses the way to some endpoints that others still reach: their
/// slots are lost to a service as long as this host dispatches it. Another host can't know, so the work is
/// handed to one that tries for itself, once per request.
class PathWatch {
 public:
  /// Notes that an endpoint's host did not answer a connect or acknowledge what was sent.
  void NoteUnreachable(const std::string& endpoint, Instant now);

  /// Notes that an endpoint answered.
  void NoteReached(const std::string& endpoint) { m_unreachable.erase(endpoint); }

  /// Judges by the number of endpoints in service. Once paths are in trouble they stay so for a while, as
  /// nothing is heard of endpoints that get no work.
  bool Troubled(std::size_t endpoints, Instant now);

 private:
  std::map<std::string, Instant> m_unreachable;  ///< Last time, by endpoint.
  Instant m_troubled_until{};
};

}  // namespace fescueramp
