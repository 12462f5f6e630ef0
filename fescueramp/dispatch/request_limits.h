#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/endpoint_statement.h"

namespace fescueramp {

/// Request limits that endpoints state, as one node knows them, and the pace that follows from them.
///
/// All attempts of the node draw on one pace per endpoint, whichever dispatcher starts them and why. A limit
/// holds until the endpoint states otherwise in the response to a request that was sent after the limit was
/// received; responses in progress may be older.
class RequestLimits {
 public:
  /// Applies the statement of a response.
  /// @param started_ms Start time of the endpoint, Unix ms; a limit doesn't outlive a restart of its
  /// endpoint.
  /// @param sent Time at which the request of the response was sent.
  /// @return Whether the limit changed.
  bool Observe(const std::string& endpoint, std::int64_t started_ms, const EndpointStatement& statement,
               Instant sent, Instant now);

  /// Whether the pace allows a request to an endpoint now.
  bool MaySend(const std::string& endpoint, Instant now) const;

  /// Records that a request was sent to an endpoint.
  void RecordSend(const std::string& endpoint, Instant now);

  /// Limit of an endpoint in requests a second; nothing if it has none.
  std::optional<double> LimitOf(const std::string& endpoint) const;

  /// Removes what is known of endpoints that have not been used for a minute.
  void Expire(Instant now);

 private:
  struct Entry {
    std::optional<double> m_limit_per_s;
    std::int64_t m_started_ms = 0;
    Instant m_received{};  ///< Time at which the statement in force was received.
    Instant m_last_sent{};
    Instant
        m_pace{};  ///< Time from which the next interval counts; at most `kCatchUp` before the last request.
  };

  /// Shortest time between two requests to an endpoint.
  static Duration IntervalOf(const Entry& entry);

  std::unordered_map<std::string, Entry> m_entries;  ///< Endpoints that stated a limit, by name.
};

}  // namespace fescueramp
