#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "fescueramp/membership/member.h"

namespace fescueramp {

/// Times and bounds of the membership protocol.
struct MembershipSettings {
  Duration m_period = std::chrono::seconds(1);              ///< One probe is started per period.
  Duration m_ack_timeout = std::chrono::milliseconds(300);  ///< Wait for an ack before others are asked.
  int m_indirect_probes = 3;                                ///< Nodes asked to probe on one's behalf.
  Duration m_min_suspicion = std::chrono::seconds(3);  ///< Time to refute a suspicion, for a small fleet.
  int m_updates_per_message = 6;                       ///< Members carried by one datagram.
  int m_announce_fanout = 4;                           ///< Nodes told at once of important updates.
  int m_revision_rounds = 3;                           ///< Times that a new revision is announced.
  int m_zone_fanout = 3;  ///< Nodes of the own zone told of a new revision in each round.
  int m_far_fanout = 2;   ///< Nodes anywhere told of it in each round.
  Duration m_revision_pause = std::chrono::milliseconds(200);  ///< Time between two rounds.
  int m_spread_factor = 3;      ///< Updates are sent this many times the logarithm of the fleet's size.
  int m_members_per_list = 10;  ///< Members in one datagram of a whole list.
  Duration m_forget_dead = std::chrono::minutes(10);  ///< Time after which a dead node is forgotten.
};

/// A seed address, from the settings or the platform's host list.
struct SeedAddress {
  std::string m_address;
  std::int64_t m_port = 0;
};
BOOST_DESCRIBE_STRUCT(SeedAddress, (), (m_address, m_port))

using MembershipEffect = std::variant<SendGossip, ReportMember>;

/// Knows which nodes are alive, at a cost per node that does not grow with the fleet.
/// Source: A. Das, I. Gupta, A. Motivala, "SWIM", 2002; A. Dadgar, J. Phillips, J. Currey, "Lifeguard", 2018.
class Membership {
 public:
  Membership(Member self, std::vector<SeedAddress> seeds, MembershipSettings settings,
             std::uint32_t random_seed);

  /// Sets what every datagram tells about the configuration in force, and tells some nodes at once and again:
  /// told once, a tenth of a fleet that is partly cut off would not hear of it.
  void AnnounceRevision(std::int64_t revision, Instant now);

  /// Last time at which a datagram of another node came in.
  Instant LastHeard() const { return m_last_heard; }

  /// Sets the list of leaving endpoints if it is newer; returns whether it was.
  bool SetLeaving(std::int64_t version, std::vector<std::string> endpoints);
  const std::vector<std::string>& LeavingEndpoints() const { return m_leaving_endpoints; }

  /// Adds nodes that were found in the store and are not known yet.
  void AddFound(const std::vector<Member>& members, Instant now);

  /// Takes a datagram. The sender's revision is left to the caller.
  void Receive(const GossipMessage& message, const std::string& address, std::int64_t port, Instant now);

  /// Starts probes and judges those without an ack.
  void Tick(Instant now);

  /// Tells some nodes at once, for updates that must not wait for the next probe.
  void AnnounceNow(Instant now);

  /// Announces that this node takes no new work, or that it is gone.
  void Leave(MemberState state, Instant now);

  std::vector<MembershipEffect> TakeEffects() { return std::exchange(m_effects, {}); }

  /// All nodes known, this one included, by name.
  const std::map<std::string, Member>& Members() const { return m_members; }

  /// Nodes that may own services: alive or under suspicion, not leaving.
  const std::vector<std::string>& OwnerCandidates() const { return m_candidates; }

  const Member& Self() const { return m_members.at(m_self); }

  /// Changes of the candidates so far.
  std::int64_t CandidatesVersion() const { return m_candidates_version; }

 private:
  struct Probe {
    std::int64_t m_number = 0;
    std::string m_target;
    Instant m_started{};
    bool m_asked_others = false;
  };

  /// A probe done for another node.
  struct RelayedProbe {
    std::string m_for;
    std::int64_t m_their_number = 0;
    Instant m_started{};
  };

  GossipMessage NewMessage(GossipKind kind);
  void Send(const Member& to, GossipMessage message);
  void SendTo(const std::string& address, std::int64_t port, GossipMessage message);
  void Merge(const Member& update, Instant now);
  void Refute(const Member& update);
  void Spread(const std::string& node);
  void SetState(Member& member, MemberState state, Instant now);
  void RebuildCandidates();
  void UpdateDigest();

  /// Asks the sender for its whole list when the two lists have differed for a while.
  void CompareDigest(const GossipMessage& message, const std::string& address, std::int64_t port,
                     Instant now);
  void StartProbe(Instant now);
  void JudgeProbe(Instant now);
  /// Probes a node believed dead, so that two sides of a healed cut find one another.
  void ProbeDead();
  void ExpireSuspects(Instant now);
  void AnnounceRevisionAgain(Instant now);
  void SendMemberList(const std::string& address, std::int64_t port);
  std::vector<std::string> RandomPeers(std::size_t count, const std::string& except);
  Duration SuspicionTime() const;

  std::string m_self;
  std::vector<SeedAddress> m_seeds;
  MembershipSettings m_settings;
  boost::random::mt19937 m_random;
  std::map<std::string, Member> m_members;
  std::map<std::string, Instant> m_changed;  ///< Time of the last change of state, by node.
  std::map<std::string, int> m_updates;      ///< Times that updates of a node were sent, while they spread.
  std::vector<std::string> m_candidates;
  std::int64_t m_candidates_version = 0;
  std::vector<std::string> m_probe_order;
  std::size_t m_probe_index = 0;
  std::int64_t m_next_probe = 1;
  Probe m_probe;
  std::map<std::int64_t, RelayedProbe> m_relayed_probes;  ///< By own probe number.
  Instant m_next_period{};
  std::int64_t m_periods = 0;
  int m_local_health = 0;  ///< Missed acks of late; a slow node gives others more time.
  std::int64_t m_digest = 0;
  int m_mismatches = 0;   ///< Messages in a row whose digest differed.
  Instant m_next_sync{};  ///< Earliest time of the next request for a whole list.
  std::int64_t m_revision = 0;
  std::map<std::string, std::int64_t> m_peer_revisions;  ///< Revision that each node told of last.
  int m_revision_rounds_left = 0;
  Instant m_next_revision_round{};
  Instant m_last_heard{};
  std::int64_t m_leaving_version = 0;
  std::vector<std::string> m_leaving_endpoints;
  std::vector<MembershipEffect> m_effects;
};

}  // namespace fescueramp
