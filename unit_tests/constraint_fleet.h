#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/node/node_reducer.h"

namespace fescueramp {

/// How endpoints that state a constraint respond to requests.
enum class ConstrainedResponse {
  kSuccess,
  kHalfErrors,   ///< Half of the requests run and fail.
  kHalfRefused,  ///< Half of the requests are refused and not run.
  kHalfBroken,   ///< Half of the connections break.
  kHalfHanging,  ///< Half of the requests get no response until their deadline.
  kPausing,      ///< Requests are refused and a pause is asked for in a part of each period.
};

/// Nodes that dispatch requests at a time in seconds.
std::vector<int> OneDispatcher(double time);
std::vector<int> TwoDispatchers(double time);
std::vector<int> ThreeDispatchers(double time);
std::vector<int> DispatcherChangesOnce(double time);
std::vector<int> DispatcherChangesOften(double time);
/// The old dispatcher goes on for 4 s after the new one has begun.
std::vector<int> DispatchersOverlap(double time);

/// Load on the endpoints of one service, some of which state a constraint, by default a request limit.
struct ConstraintPattern {
  int m_nodes = 4;
  int m_endpoints = 8;
  int m_constrained_endpoints = 2;
  double m_limit_per_s = 4;
  double m_arrivals_per_s = 40;
  bool m_leaving = false;      ///< Whether these endpoints state that they are leaving, and no limit.
  double m_stated_from = 6;    ///< Time from which the constraint is stated, seconds.
  double m_stated_until = 26;  ///< Time from which responses state none, seconds.
  /// Time at which these endpoints restart and are listed with a new start time, seconds; 0: never.
  double m_endpoints_restart_at = 0;
  double m_seconds = 32;
  bool m_repeatable = true;
  ConstrainedResponse m_response = ConstrainedResponse::kSuccess;
  /// Nodes that dispatch requests at a time in seconds; requests are spread over them.
  std::function<std::vector<int>(double)> m_dispatchers = OneDispatcher;
  double m_restart_at = 0;       ///< Time at which node 0 restarts and loses its state, seconds; 0: never.
  double m_datagram_loss = 0.1;  ///< Share of datagrams between nodes that are lost.
  Duration m_datagram_delay = std::chrono::milliseconds(40);  ///< Longest delay; datagrams may be reordered.
  unsigned m_seed = 1;
};

/// What the endpoints of a ConstraintFleet saw.
struct ConstraintResult {
  std::map<std::string, std::vector<double>> m_arrivals;  ///< Times of requests by endpoint, seconds.
  std::map<std::string, double> m_first_stated;  ///< Time of the first statement by endpoint, seconds.
  /// Requests that a node sent to an endpoint 2 s or more after it had got the endpoint's statement.
  std::map<std::string, int> m_sent_after_statement;
  int m_pauses = 0;  ///< Refusals that asked for a pause.
  /// Most requests that one node sent to an endpoint from 0.5 s after such a refusal to the end of the pause.
  int m_most_in_pause = 0;
  int m_requests = 0;
  int m_served = 0;
  int m_refused = 0;
  int m_slow_refusals = 0;             ///< Refusals that took more than an eighth of the target.
  std::size_t m_constraint_bytes = 0;  ///< Bytes of datagrams between nodes that carry constraints.

  /// Largest number of requests, of all nodes together, that an endpoint got within `window` seconds from
  /// `from` to `until`.
  int MaxArrivals(const std::string& endpoint, double window, double from, double until) const;
};

/// Runs NodeReducers with one clock, models of endpoints that state constraints, and datagrams that are lost,
/// delayed and reordered. All endpoints are listed as ready at any time. Deterministic for a seed.
class ConstraintFleet {
 public:
  explicit ConstraintFleet(ConstraintPattern pattern);
  ConstraintResult Run();

 private:
  struct EndingAttempt {
    int m_node = 0;
    AttemptEnded m_event;
  };
  struct Datagram {
    int m_to = 0;
    GossipReceived m_event;
  };

  double Seconds() const { return ToSeconds(m_now - m_start); }
  double UniformRandom() { return std::generate_canonical<double, 32>(m_random); }
  void StartNode(int node);
  EndpointsListed ListEndpoints() const;
  void Post(int node, const Event& event);
  void Send(int node);
  void CountInPauses(const std::string& endpoint, int node);
  void RecordStatement(const std::string& endpoint, int node, double at);
  void Apply(int node, const StartAttempt& effect);
  void Apply(int node, const SendGossip& effect);
  void Finish(const std::string& request_id, bool served);
  AttemptOutcome DrawOutcome(bool constrained);

  ConstraintPattern m_pattern;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
  Instant m_start = m_now;
  std::mt19937 m_random;
  std::vector<std::unique_ptr<NodeReducer>> m_nodes;
  std::multimap<Instant, EndingAttempt> m_endings;
  std::multimap<Instant, Datagram> m_datagrams;
  std::map<std::string, Instant> m_open_requests;  ///< Arrival times by request id.
  int m_next_request = 0;
  Instant m_next_list{};
  /// Times of the first statement by endpoint and the node that got it, seconds.
  std::map<std::pair<std::string, int>, double> m_stated_to;

  /// A pause that an endpoint asked for in a refusal.
  struct Pause {
    Instant m_from{};
    Instant m_until{};
    int m_requests = 0;
  };
  std::map<std::pair<std::string, int>, std::vector<Pause>>
      m_pauses;  ///< By endpoint and the node that got it.
  ConstraintResult m_result;
};

}  // namespace fescueramp
