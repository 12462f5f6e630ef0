#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/announced_constraint.h"
#include "fescueramp/dispatch/endpoint_statement.h"

namespace fescueramp {

/// What endpoints have stated about the requests that they take, as one node knows it.
///
/// All attempts of the node are subject to it, whichever dispatcher starts them and why. They draw on one
/// pace per endpoint, which follows from its request limit. A limit holds until the endpoint states otherwise
/// in the response to a request that was sent after the limit was received; responses in progress may be
/// older. Nodes that send to the same endpoint announce it to one another and share its limit evenly. An
/// endpoint that states that it is leaving gets no more requests until it has restarted, and one that asked
/// for a pause none until the pause is over.
class EndpointConstraints {
 public:
  /// Constraint on requests to one endpoint.
  struct Constraint {
    std::optional<double> m_limit_per_s;  ///< Requests a second of all nodes together; nothing: no limit.
    bool m_leaving = false;               ///< Whether the endpoint has stated that it is leaving.
    Instant m_paused_until{};             ///< Time until which it takes no requests.

    /// Time until the endpoint takes requests again; 0 if it does.
    Duration PauseLeft(Instant now) const { return std::max(Duration(0), m_paused_until - now); }
  };

  /// Applies the statement of a response.
  /// @param started_ms Start time of the endpoint, Unix ms; a statement doesn't outlive a restart of its
  /// endpoint.
  /// @param sent Time at which the request of the response was sent.
  /// @return Whether a constraint changed.
  bool Observe(const std::string& endpoint, std::int64_t started_ms, const EndpointStatement& statement,
               Instant sent, Instant now);

  /// Applies the announcement of another node that dispatches to an endpoint. It may set or lower a limit;
  /// only the endpoint's own responses raise or end it.
  /// @param version Grows with each announcement of the node; an older announcement is ignored.
  /// @return Whether a constraint changed.
  bool Merge(const AnnouncedConstraint& constraint, const std::string& node, std::int64_t version,
             Instant now);

  /// Constraint to announce to other nodes; nothing if there is none. A limit is announced only if the
  /// endpoint got a request from here lately.
  std::optional<AnnouncedConstraint> ToAnnounce(const std::string& endpoint, Instant now) const;

  /// Nodes that have announced lately that they send requests to an endpoint with a limit.
  std::set<std::string> Senders(Instant now) const;

  /// Whether no endpoint has stated a constraint.
  bool Empty() const { return m_entries.empty(); }

  /// Whether an endpoint may get a request now.
  /// @param started_ms Start time of the endpoint, as listed; what an earlier process of it stated is
  /// ignored.
  bool MaySend(const std::string& endpoint, std::int64_t started_ms, Instant now) const;

  /// Constraint on requests to an endpoint, without the pace of its limit.
  Constraint Get(const std::string& endpoint, std::int64_t started_ms) const;

  /// Records that a request was sent to an endpoint.
  void RecordSend(const std::string& endpoint, Instant now);

  /// Removes what is known of endpoints that have not been used for a minute, and of those that state that
  /// they are leaving after an hour, or after a minute if their start time is not known.
  void Expire(Instant now);

 private:
  /// Last announcement of another node.
  struct Sender {
    std::int64_t m_version = 0;
    Instant m_received{};
    bool m_has_limit = false;  ///< Whether the node sends requests and keeps to a share of the limit.
  };

  struct Entry {
    Constraint m_constraint;
    std::int64_t m_started_ms = 0;
    Instant m_received{};  ///< Time at which the limit in force was received.
    Instant m_leaving_since{};
    Instant m_own_pause_until{};  ///< As the endpoint stated in a response to this node.
    Instant m_last_sent{};
    Instant
        m_pace{};  ///< Time from which the next interval counts; at most `kCatchUp` before the last request.
    std::map<std::string, Sender> m_senders;  ///< Other nodes that send to the endpoint, by name.
  };

  /// Entry that holds for an endpoint; null if there is none.
  const Entry* Find(const std::string& endpoint, std::int64_t started_ms) const;

  /// Clears what an earlier process of the endpoint stated.
  static void Restart(Entry& entry, std::int64_t started_ms);

  /// Applies the limit of a statement; returns whether the limit changed.
  static bool ObserveLimit(Entry& entry, const EndpointStatement& statement, Instant sent, Instant now);

  /// Applies an announced limit; returns whether the limit changed.
  static bool MergeLimit(Entry& entry, double limit, Instant now);

  /// Sets an entry to leaving; returns whether it was not before.
  static bool SetLeaving(Entry& entry, Instant now);

  /// Prolongs the pause of an entry; returns whether it is longer than before.
  static bool Pause(Entry& entry, Instant until);

  /// Whether a node has announced lately that it sends requests to an endpoint.
  static bool IsSender(const Sender& sender, Instant now);

  /// Shortest time between two requests to an endpoint.
  static Duration IntervalOf(const Entry& entry, Instant now);

  std::unordered_map<std::string, Entry> m_entries;  ///< Endpoints that stated a constraint, by name.
};

}  // namespace fescueramp
