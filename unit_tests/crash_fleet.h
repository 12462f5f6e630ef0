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

/// Load on one service, with callers of a path that crashes each endpoint that begins to run it.
struct CrashPattern {
  int m_nodes = 6;
  int m_endpoints = 24;
  int m_slots = 2;
  int m_crash_callers = 3;     ///< Callers that send the crash-causing path again and again.
  int m_crash_paths = 1;       ///< Different crash-causing paths; callers take them in turn.
  int m_ordinary_callers = 8;  ///< Callers of other paths.
  int m_popular_callers = 0;   ///< Callers of one innocent path.
  double m_seconds = 40;
  double m_restart_period = 3;         ///< Time between the ends of nodes in turn, seconds; 0: none ends.
  double m_down = 0.3;                 ///< Time until a node that ended is started again, seconds.
  double m_configuration_delay = 0.1;  ///< Time in which a node reads its configuration, seconds.
  bool m_graceful = false;             ///< Whether nodes are told to stop 1 s before they end.
  /// Times at which an endpoint crashes for a reason of its own, seconds.
  std::vector<double> m_other_crashes = {};
  double m_all_but_one_lost_at = 0;  ///< Time at which all nodes but the last end at once, seconds; 0: never.
  double m_partition_from = 0;       ///< Time from which the nodes are in two halves, seconds; 0: never.
  double m_partition_until = 0;      ///< Time at which the partition heals, seconds.
  double m_crash_callers_from = 4;   ///< Time of the first crash-causing requests, seconds.
  double m_datagram_loss = 0.1;      ///< Share of datagrams between nodes that are lost.
  double m_datagram_delay = 0.04;    ///< Longest delay of a datagram, seconds; they may be reordered.
  bool m_crash_callers_at_once = false;  ///< Whether all of them send at the same time, and only then.
  unsigned m_seed = 1;
};

/// What the endpoints and the callers of a CrashFleet saw.
struct CrashResult {
  std::vector<double> m_crashes;  ///< Times at which the crash-causing path crashed an endpoint, seconds.
  std::vector<double> m_connected_runs;  ///< As m_crash_runs, of nodes that had run for 3 s.
  std::vector<double> m_crash_runs;      ///< Times at which the crash-causing path began to run, seconds.
  int m_ordinary_sent = 0;
  int m_ordinary_served = 0;
  int m_popular_sent = 0;
  int m_popular_served = 0;
  int m_innocent_quarantined = 0;  ///< Innocent requests that were refused as crash-causing.
  int m_crash_refused = 0;         ///< Crash-causing requests that were refused as such.
  int m_false_not_run = 0;         ///< Refusals as certainly not run of requests that had begun to run.
  /// Gossip bytes that one node sent at most within a second, and the total of all nodes.
  std::size_t m_most_bytes_in_second = 0;
  std::size_t m_bytes = 0;

  /// Runs of the crash-causing path that began more than 3 s after its third crash.
  int LateRuns() const { return CountLate(m_crash_runs); }
  int LateRunsOfConnectedNodes() const { return CountLate(m_connected_runs); }

 private:
  int CountLate(const std::vector<double>& runs) const;
};

/// Runs NodeReducers as entry hosts and dispatchers with one clock, models of endpoints and callers, and
/// datagrams that are lost, delayed and reordered. Deterministic for a seed.
class CrashFleet {
 public:
  explicit CrashFleet(CrashPattern pattern);
  CrashResult Run();

  NodeReducer& Node(int node) { return *m_nodes[static_cast<std::size_t>(node)].m_reducer; }

 private:
  struct NodeState {
    std::unique_ptr<NodeReducer> m_reducer;
    int m_life = 0;  ///< Number of starts.
    Instant m_started{};
    std::map<int, std::size_t> m_bytes_by_second;
  };
  struct Caller {
    std::string m_path;
    bool m_crash = false;
    bool m_popular = false;
    int m_next_node = 0;
  };
  struct Open {
    int m_caller = 0;
    int m_entry = 0;
    bool m_ran = false;
  };
  /// A request at a dispatcher.
  struct Forward {
    std::string m_entry_request;
    int m_entry = 0;
    int m_dispatcher = 0;
    std::int64_t m_attempts = 0;
    bool m_crash = false;
  };
  struct Running {
    int m_node = 0;
    int m_life = 0;
    AttemptResult m_result;
    Instant m_started{};
  };

  double Seconds() const { return ToSeconds(m_now - m_start); }
  double UniformRandom() { return std::generate_canonical<double, 32>(m_random); }
  void At(double delay, std::function<void()> action);
  void PostLater(double delay, int node, Event event);
  void StartNode(int node);
  void EndNode(int node);
  void Post(int node, const Event& event);
  void ScheduleFaults();
  void Send(int caller);
  void EndRequest(const std::string& id, ResultCode code, bool maybe_ran);
  void EndForward(const std::string& id, ForwardOutcome outcome, bool served, bool maybe_ran);
  void Apply(int node, const ForwardRequest& effect);
  void Apply(int node, const RelayRequest& effect);
  void Apply(int node, const StartAttempt& effect);
  void Apply(int node, const FinishRequest& effect);
  void Apply(int node, const DeliverResponse& effect);
  void Apply(int node, const RefuseRequest& effect);
  void Apply(int node, const SendGossip& effect);
  template <typename T>
  void Apply(int, const T&) {}
  void CrashEndpoint(const std::string& endpoint);
  void EndAttempt(const std::string& endpoint, std::int64_t ticket, AttemptOutcome outcome);
  bool Separated(int a, int b) const;

  CrashPattern m_pattern;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
  Instant m_start = m_now;
  std::mt19937 m_random;
  std::vector<NodeState> m_nodes;
  std::vector<Caller> m_callers;
  std::multimap<Instant, std::function<void()>> m_actions;
  std::map<std::string, Open> m_open;
  std::map<std::string, Forward> m_forwards;
  std::map<std::string, std::map<std::int64_t, Running>> m_running;  ///< By endpoint and ticket.
  std::map<std::string, Instant> m_down_until;                       ///< Endpoints that crashed.
  std::int64_t m_next_ticket = 1;
  int m_next_request = 1;
  CrashResult m_result;
};

}  // namespace fescueramp
