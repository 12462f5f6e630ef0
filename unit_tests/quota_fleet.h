#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fescueramp/node/node_reducer.h"

namespace fescueramp {

/// Load of one client account.
struct QuotaAccount {
  std::string m_name;
  double m_usual_rate = 1;  ///< Requests/s.
  double m_limit_rate = 1.6;
  std::int64_t m_burst = 10;
  double m_hot_factor = 1;  ///< Factor on the usual rate while the account is hot.
  double m_hot_from = 0;    ///< Seconds.
  double m_hot_until = 0;
  /// Nodes that dispatch its requests at a time in seconds; all dispatchers if empty.
  std::function<std::vector<int>(double)> m_dispatchers = nullptr;
};

/// A fault of a node: it ends and restarts, or freezes and wakes.
struct QuotaFault {
  enum class Kind { kEnd, kFreeze, kLeave };
  Kind m_kind = Kind::kEnd;
  int m_node = 0;
  double m_at = 0;  ///< Seconds.
  double m_for = 1;
};

/// Accounts with quotas in a fleet, and the faults of the fleet.
struct QuotaPattern {
  int m_nodes = 16;
  int m_dispatchers = 12;
  std::vector<QuotaAccount> m_accounts;
  std::vector<QuotaFault> m_faults;
  double m_seconds = 22;
  double m_load_from = 4;
  double m_load_until = 20;
  double m_partition_from = 0;  ///< Time from which nodes of different parity lose their datagrams; 0: never.
  double m_partition_until = 0;
  double m_lowered_at = 0;    ///< Time at which a configuration with lower limits is sent out; 0: never.
  double m_lowered_to = 0.4;  ///< Factor on the rates and bursts.
  double m_datagram_loss = 0.01;
  double m_least_delay = 0.0005;  ///< Of datagrams, seconds.
  double m_most_delay = 0.004;
  unsigned m_seed = 1;
};

/// What became of the requests of one account.
struct QuotaAccountResult {
  std::vector<double> m_arrivals;  ///< Seconds.
  std::vector<double> m_runs;      ///< Starts of first attempts, seconds.
  int m_refused = 0;
  int m_other_ends = 0;
  double m_longest_wait = 0;  ///< From arrival to the first attempt, seconds.
  int m_waited = 0;           ///< Requests whose first attempt did not start at once.
};

struct QuotaResult {
  std::map<std::string, QuotaAccountResult> m_accounts;
  std::map<int, std::size_t> m_bytes;  ///< Bytes of gossip sent during the load, by node.
  int m_false_not_run = 0;             ///< Requests that ran although they were refused.
};

/// Runs NodeReducers with one clock, with datagrams that are lost, delayed and reordered, and with nodes that
/// end, restart and freeze. Requests arrive at the dispatchers. Deterministic for a seed.
class QuotaFleet {
 public:
  explicit QuotaFleet(QuotaPattern pattern);
  QuotaResult Run();

 private:
  struct NodeState {
    std::unique_ptr<NodeReducer> m_reducer;
    int m_life = 0;
    bool m_frozen = false;
    std::deque<Event> m_frozen_events;
  };
  struct OpenRequest {
    std::string m_account;
    double m_arrived = 0;
    bool m_ran = false;
    int m_node = 0;
  };

  double Seconds() const { return ToSeconds(m_now - m_start); }
  double UniformRandom() { return std::generate_canonical<double, 32>(m_random); }
  void At(double at, std::function<void()> action);
  void After(double delay, std::function<void()> action) { At(Seconds() + delay, std::move(action)); }
  void StartNode(int node);
  void EndNode(int node);
  void FreezeNode(int node, bool frozen);
  void Configure(int node);
  void Discover(int node);
  void Post(int node, const Event& event);
  void ScheduleArrival(std::size_t account);
  void Arrive(std::size_t account);
  std::string ObjectSetText() const;
  void Apply(int node, const StartAttempt& effect);
  void Apply(int node, const ReportConfiguration& effect);
  void Apply(int node, const FinishRequest& effect);
  void Apply(int node, const DeliverResponse& effect);
  void Apply(int node, const SendGossip& effect);
  template <typename T>
  void Apply(int, const T&) {}

  QuotaPattern m_pattern;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
  Instant m_start = m_now;
  std::mt19937 m_random;
  std::vector<NodeState> m_nodes;
  std::multimap<Instant, std::function<void()>> m_actions;
  std::map<std::string, OpenRequest> m_open;
  int m_next_request = 0;
  std::int64_t m_revision = 1;
  QuotaResult m_result;
};

}  // namespace fescueramp
