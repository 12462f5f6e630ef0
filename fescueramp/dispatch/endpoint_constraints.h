#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/announced_constraint.h"
#include "fescueramp/dispatch/endpoint_statement.h"

namespace fescueramp {

/// Request limits that endpoints state, as one node knows them, and the pace that follows from them.
///
/// All attempts of the node draw on one pace per endpoint, whichever dispatcher starts them and why. A limit
/// holds until the endpoint states otherwise in the response to a request that was sent after the limit was
/// received; responses in progress may be older. Nodes that send to the same endpoint announce it to one
/// another and share its limit evenly.
class EndpointConstraints {
 public:
  /// Applies the statement of a response.
  /// @param started_ms Start time of the endpoint, Unix ms; a limit doesn't outlive a restart of its
  /// endpoint.
  /// @param sent Time at which the request of the response was sent.
  /// @return Whether the limit changed.
  bool Observe(const std::string& endpoint, std::int64_t started_ms, const EndpointStatement& statement,
               Instant sent, Instant now);

  /// Applies the announcement of another node that sends requests to an endpoint. It may set or lower a
  /// limit; only the endpoint's own responses raise or end it.
  /// @param version Grows with each announcement of the node; an older announcement is ignored.
  /// @return Whether the limit changed.
  bool Merge(const AnnouncedConstraint& limit, const std::string& node, std::int64_t version, Instant now);

  /// Limit to announce to other nodes; nothing if the endpoint has none or got no request from here lately.
  std::optional<AnnouncedConstraint> ToAnnounce(const std::string& endpoint, Instant now) const;

  /// Nodes that have announced lately that they send requests to an endpoint with a limit.
  std::set<std::string> Senders(Instant now) const;

  /// Whether no endpoint has stated a limit.
  bool Empty() const { return m_entries.empty(); }

  /// Whether the pace allows a request to an endpoint now.
  bool MaySend(const std::string& endpoint, Instant now) const;

  /// Records that a request was sent to an endpoint.
  void RecordSend(const std::string& endpoint, Instant now);

  /// Limit of an endpoint in requests a second; nothing if it has none.
  std::optional<double> LimitOf(const std::string& endpoint) const;

  /// Removes what is known of endpoints that have not been used for a minute.
  void Expire(Instant now);

 private:
  /// Last announcement of another node.
  struct Sender {
    std::int64_t m_version = 0;
    Instant m_received{};
  };

  struct Entry {
    std::optional<double> m_limit_per_s;
    std::int64_t m_started_ms = 0;
    Instant m_received{};  ///< Time at which the statement in force was received.
    Instant m_last_sent{};
    Instant
        m_pace{};  ///< Time from which the next interval counts; at most `kCatchUp` before the last request.
    std::map<std::string, Sender> m_senders;  ///< Other nodes that send to the endpoint, by name.
  };

  /// Shortest time between two requests to an endpoint.
  static Duration IntervalOf(const Entry& entry, Instant now);

  std::unordered_map<std::string, Entry> m_entries;  ///< Endpoints that stated a limit, by name.
};

}  // namespace fescueramp
