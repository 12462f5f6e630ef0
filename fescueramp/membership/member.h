#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/announced_constraint.h"
#include "fescueramp/dispatch/announced_crash_record.h"
#include "fescueramp/quota/announced_quota.h"

namespace fescueramp {

/// State of a node in the fleet. At the same incarnation, a later enumerator replaces an earlier one.
enum class MemberState { kAlive, kSuspect, kLeaving, kLeft, kDead };

template <>
struct EnumTable<MemberState> {
  static constexpr std::array<std::string_view, 5> kNames = {"alive", "suspect", "leaving", "left", "dead"};
};

/// One node as known to the fleet.
struct Member {
  std::string m_node;
  MemberState m_state = MemberState::kAlive;
  std::int64_t m_incarnation = 0;  ///< Grows when the node restarts or refutes a suspicion.
  std::string m_address;           ///< IP address.
  std::int64_t m_gossip_port = 0;  ///< UDP port.
  std::int64_t m_link_port = 0;    ///< TCP port for streams between nodes.
  std::string m_zone;
  std::string m_region;
  std::int64_t m_capacity = 1;  ///< Capacity of the host, relative to the other hosts.
};
BOOST_DESCRIBE_STRUCT(Member, (),
                      (m_node, m_state, m_incarnation, m_address, m_gossip_port, m_link_port, m_zone,
                       m_region, m_capacity))

/// Kinds of gossip datagrams.
enum class GossipKind {
  kPing,
  kAck,
  kPingRequest,  ///< Requests that the receiver pings `m_target` on behalf of the sender.
  kAnnounce,     ///< Carries updates only; is not acknowledged.
  kJoin,         ///< Requests the full member list.
};

template <>
struct EnumTable<GossipKind> {
  static constexpr std::array<std::string_view, 5> kNames = {"ping", "ack", "ping_request", "announce",
                                                             "join"};
};

/// One gossip datagram between nodes.
struct GossipMessage {
  GossipKind m_kind = GossipKind::kPing;
  std::string m_from;
  std::int64_t m_probe = 0;     ///< Number of the probe that the message belongs to.
  std::string m_target;         ///< Receiver of a ping; for an ack, the node that responded.
  std::int64_t m_revision = 0;  ///< Configuration revision that the sender has in force.
  std::vector<Member> m_updates;
  std::vector<std::string> m_leaving_endpoints;  ///< Endpoints that the platform lists as leaving.
  std::int64_t m_leaving_version = 0;            ///< Version of that list.
  std::int64_t m_digest = 0;  ///< Hash of the alive, suspect and leaving members known to the sender.
  std::vector<AnnouncedConstraint> m_constraints;  ///< Constraints on requests to endpoints.
  std::int64_t m_constraints_version = 0;  ///< Grows with each message of the sender that has constraints.
  std::vector<AnnouncedCrashRecord> m_crash_records;  ///< Breaks of requests that may crash endpoints.
  std::vector<QuotaAsk> m_quota_asks;                 ///< Requests for credit of client accounts.
  std::vector<QuotaGrant> m_quota_grants;             ///< Credit of client accounts.
};
BOOST_DESCRIBE_STRUCT(GossipMessage, (),
                      (m_kind, m_from, m_probe, m_target, m_revision, m_updates, m_leaving_endpoints,
                       m_leaving_version, m_digest, m_constraints, m_constraints_version, m_crash_records,
                       m_quota_asks, m_quota_grants))

/// Sends one gossip datagram.
struct SendGossip {
  static constexpr const char* kType = "send_gossip";
  std::string m_address;
  std::int64_t m_port = 0;
  GossipMessage m_message;
};
BOOST_DESCRIBE_STRUCT(SendGossip, (), (m_address, m_port, m_message))

/// Reports a change of a member's state.
struct ReportMember {
  static constexpr const char* kType = "report_member";
  Member m_member;
};
BOOST_DESCRIBE_STRUCT(ReportMember, (), (m_member))

}  // namespace fescueramp
