#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/node/trace.h"
#include "unit_tests/fake_store.h"

namespace fescueramp {

/// Runs several NodeReducers in one process, with a fake store and datagrams that arrive without delay.
/// Deterministic: there are no sockets, and all nodes share one clock.
class NodeGroup {
 public:
  explicit NodeGroup(int count);

  /// Advances time in steps of 50 ms, with a tick for every node in each.
  void Run(Duration span);

  /// Applies one event and returns its effects; datagrams and store operations among them are carried out.
  Effects Post(int node, const Event& event);

  /// Advances time like Run and returns all effects of one node.
  Effects RunAndCollect(int node, Duration span);

  /// Gives a configuration revision to a node.
  void Load(int node, std::int64_t revision, const std::string& text);
  void Kill(int node) { m_nodes[Index(node)].m_reducer.reset(); }
  void Restart(int node);
  void Pause(int node, bool paused) { m_nodes[Index(node)].m_paused = paused; }

  /// Drops every datagram from one node to another.
  void BlockLink(int from, int to) { m_blocked_links.insert({from, to}); }
  void UnblockLinks() { m_blocked_links.clear(); }
  void SetStoreDown(bool down) { m_store.SetDown(down); }

  /// Restarts a node and writes its trace from the first event on.
  void Record(int node, std::ostream& out);

  NodeReducer& Node(int node) { return *m_nodes[Index(node)].m_reducer; }

  /// Names of the nodes that one node regards as alive.
  std::vector<std::string> AliveMembers(int node);

  /// Number of member changes that all nodes have reported so far.
  int MemberReports() const { return m_member_reports; }
  Instant Now() const { return m_now; }

 private:
  struct NodeState {
    std::unique_ptr<NodeReducer> m_reducer;
    std::unique_ptr<TraceWriter> m_trace;
    std::string m_text;  ///< JSON text of the object set in force.
    bool m_paused = false;
  };
  struct Datagram {
    int m_from = 0;
    int m_to = 0;
    GossipMessage m_message;
  };

  static std::size_t Index(int node) { return static_cast<std::size_t>(node); }
  static int PortOf(int node) { return 100 + node; }
  NodeSettings MakeSettings(int node) const;
  void ApplyEffects(int node, const Effects& effects);
  void DeliverDatagrams();

  Instant m_now{std::chrono::seconds(1'700'000'000)};
  std::vector<NodeState> m_nodes;
  std::deque<Datagram> m_datagrams;
  std::set<std::pair<int, int>> m_blocked_links;
  FakeStore m_store;
  int m_member_reports = 0;
  int m_collect_node = -1;
  Effects m_collected;
};

}  // namespace fescueramp
