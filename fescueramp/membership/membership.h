#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "fescueramp/membership/member.h"

namespace fescueramp {

/// Timing and limits of the membership protocol.
struct MembershipSettings {
  Duration m_period = std::chrono::seconds(1);  ///< One probe is started per period.
  Duration m_ack_timeout =
      std::chrono::milliseconds(300);                  ///< Wait for an ack before indirect probes are sent.
  int m_indirect_probes = 3;                           ///< Nodes that receive a ping request for one target.
  Duration m_min_suspicion = std::chrono::seconds(3);  ///< Time to refute a suspicion in a small fleet.
  int m_updates_per_message = 6;                       ///< Members carried by one datagram.
  int m_constraints_per_message = 20;                  ///< Constraints carried by one datagram.
  int m_crash_records_per_message = 8;                 ///< Crash records carried by one datagram.
  int m_announce_fanout = 4;                           ///< Nodes to which urgent updates are sent at once.
  int m_revision_rounds = 3;                           ///< Rounds in which a new revision is announced.
  int m_zone_fanout = 3;      ///< Nodes of the same zone that receive a new revision in each round.
  int m_any_zone_fanout = 2;  ///< Further nodes, of any zone, that receive a new revision in each round.
  Duration m_revision_interval = std::chrono::milliseconds(200);  ///< Time between two rounds of a revision.
  int m_retransmit_factor = 3;  ///< Transmissions of an update, in multiples of log2 of the fleet's size.
  int m_members_per_sync_message = 10;                   ///< Members per datagram when the full list is sent.
  Duration m_dead_retention = std::chrono::minutes(10);  ///< Time after which a dead node is removed.
};

/// Address of a node to join through, from the settings or the platform's host list.
struct SeedAddress {
  std::string m_address;
  std::int64_t m_port = 0;
};
BOOST_DESCRIBE_STRUCT(SeedAddress, (), (m_address, m_port))

using MembershipEffect = std::variant<SendGossip, ReportMember>;

/// Tracks which nodes are alive, at a cost per node that does not grow with the fleet.
/// Source: A. Das, I. Gupta, A. Motivala, "SWIM", 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard", 2018.
class Membership {
 public:
  Membership(Member self, std::vector<SeedAddress> seeds, MembershipSettings settings,
             std::uint32_t random_seed);

  /// Sets the revision in force that every datagram carries, and announces it to some nodes in several
  /// rounds, the first one at once. With one round, a tenth of a partitioned fleet would not receive it.
  void AnnounceRevision(std::int64_t revision, Instant now);

  /// Time of the last datagram from another node.
  Instant LastDatagramTime() const { return m_last_datagram; }

  /// Sets the list of leaving endpoints if it is newer; returns whether it was.
  bool SetLeaving(std::int64_t version, std::vector<std::string> endpoints);
  /// Names of the endpoints that are leaving.
  const std::vector<std::string>& LeavingEndpoints() const { return m_leaving_endpoints; }

  /// Adds nodes that were found in the store, unless they are known at the same or a newer incarnation.
  void AddDiscovered(const std::vector<Member>& members, Instant now);

  /// Handles a datagram. Fetching a newer revision that the sender reports is left to the calling code.
  void Receive(const GossipMessage& message, const std::string& address, std::int64_t port, Instant now);

  /// Starts probes, suspects members that don't acknowledge them and expires suspect and dead members.
  void Tick(Instant now);

  /// Sends updates to some nodes at once instead of with the next probe.
  void AnnounceNow(Instant now);

  /// Sends constraints of endpoints to another node; does nothing if the node is not known.
  void SendConstraints(const std::string& node, const std::vector<AnnouncedConstraint>& constraints,
                       Instant now);

  /// Sends crash records to another node; does nothing if the node is not known.
  void SendCrashRecords(const std::string& node, const std::vector<AnnouncedCrashRecord>& records);

  /// Sends crash records to the address of a datagram that has arrived.
  void SendCrashRecordsTo(const std::string& address, std::int64_t port,
                          const std::vector<AnnouncedCrashRecord>& records);

  /// Sends messages about quotas to another node, without other news, as they are frequent; does nothing if
  /// the node is not known.
  void SendQuotas(const std::string& node, std::vector<QuotaAsk> asks, std::vector<QuotaGrant> grants);

  /// Datagrams that carry each change, so that all nodes learn of it.
  int MaxTransmissions() const;

  /// Announces that this node takes no new work (kLeaving) or has left (kLeft).
  void Leave(MemberState state, Instant now);

  /// Returns the effects since the last call.
  std::vector<MembershipEffect> TakeEffects() { return std::exchange(m_effects, {}); }

  /// All known nodes by name, this one included.
  const std::map<std::string, Member>& Members() const { return m_members; }

  /// Names of the nodes that may own services: alive or suspect, not leaving.
  const std::vector<std::string>& OwnerCandidates() const { return m_candidates; }

  /// This node.
  const Member& Self() const { return m_members.at(m_self); }

  /// Number of changes of the owner candidates so far.
  std::int64_t CandidatesVersion() const { return m_candidates_version; }

 private:
  struct Probe {
    std::int64_t m_number = 0;
    std::string m_target;
    Instant m_started{};
    bool m_indirect_sent = false;  ///< Whether ping requests were sent to other nodes.
  };

  /// A ping that was sent on a ping request.
  struct RelayedPing {
    std::string m_origin;              ///< Node that sent the ping request.
    std::int64_t m_origin_number = 0;  ///< Probe number of that node.
    Instant m_started{};
  };

  GossipMessage MakeMessage(GossipKind kind);
  void Send(const Member& to, GossipMessage message);
  void SendTo(const std::string& address, std::int64_t port, GossipMessage message);
  void Merge(const Member& update, Instant now);
  /// Raises the incarnation of this node if an update about it is wrong.
  void Refute(const Member& update);
  /// Adds the state of a node to the updates that are sent with the next messages.
  void QueueUpdate(const std::string& node);
  void SetState(Member& member, MemberState state, Instant now);
  void RebuildCandidates();
  void UpdateDigest();

  /// Requests the full member list of the sender when digests have differed for several messages in a row.
  void CompareDigest(const GossipMessage& message, const std::string& address, std::int64_t port,
                     Instant now);
  void StartProbe(Instant now);
  /// Sends indirect probes or marks the target as suspect when an ack is late.
  void CheckProbe(Instant now);
  /// Probes a node that is marked as dead, so that both sides of a healed network partition merge again.
  void ProbeDeadMember();
  void ExpireMembers(Instant now);
  void SendRevisionRound(Instant now);
  void SendMemberList(const std::string& address, std::int64_t port);
  std::vector<std::string> RandomPeers(std::size_t count, const std::string& except);
  Duration SuspicionTimeout() const;

  std::string m_self;
  std::vector<SeedAddress> m_seeds;
  MembershipSettings m_settings;
  boost::random::mt19937 m_random;
  std::map<std::string, Member> m_members;
  std::map<std::string, Instant> m_state_changed;  ///< Time of the last change of state, by node.
  /// Transmissions of each update that is still being sent, by node.
  std::map<std::string, int> m_pending_updates;
  std::vector<std::string> m_candidates;
  std::int64_t m_candidates_version = 0;
  std::vector<std::string> m_probe_order;
  std::size_t m_probe_index = 0;
  std::int64_t m_next_probe = 1;
  Probe m_probe;
  std::map<std::int64_t, RelayedPing> m_relayed_pings;  ///< By probe number of this node.
  Instant m_next_period{};
  std::int64_t m_periods = 0;
  /// Local health multiplier of Lifeguard; grows with missed acks and extends the probe timeout.
  int m_health_multiplier = 0;
  std::int64_t m_digest = 0;
  int m_mismatches = 0;           ///< Messages in a row whose digest differed.
  Instant m_next_sync_allowed{};  ///< Earliest time of the next request for a full list.
  std::int64_t m_revision = 0;
  std::map<std::string, std::int64_t> m_peer_revisions;  ///< Last revision reported by each node.
  int m_revision_rounds_left = 0;
  Instant m_next_revision_round{};
  Instant m_last_datagram{};
  std::int64_t m_leaving_version = 0;
  std::vector<std::string> m_leaving_endpoints;
  std::vector<MembershipEffect> m_effects;
};

}  // namespace fescueramp
