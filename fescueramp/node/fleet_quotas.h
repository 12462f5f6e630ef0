#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueramp/dispatch/dispatch_types.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/quota/quota_client.h"
#include "fescueramp/quota/quota_grantor.h"
#include "fescueramp/quota/quota_report.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Quotas of client accounts over the whole fleet, as one node takes part in them: as the grantor of some
/// accounts and as a client for the requests that it dispatches.
class FleetQuotas {
 public:
  FleetQuotas(Membership& membership, std::int64_t epoch) : m_membership(membership), m_client(epoch) {}

  /// Limit of an account over the fleet; without a rate if it has none.
  static QuotaLimit LimitOf(const std::shared_ptr<const RouteTable>& table, const std::string& account);

  /// Takes credit for a request that arrives at its dispatcher. One that waits is returned by TakeOutcomes.
  QuotaVerdict Take(const DispatchRequest& request, Instant now, Duration& retry_after);

  /// Records the first attempt of a request.
  void Start(const std::string& request_id) { m_client.Start(request_id); }

  /// Records the end of a request, which gives its credit back if it has not run.
  void End(const std::string& request_id) {
    m_waiting.erase(request_id);
    m_client.End(request_id);
  }

  /// Records a change of a member.
  void NoteMember(const Member& member, Instant now);

  /// Records a pause of this process, in which another node may have become the grantor.
  void NotePause(Instant now);

  /// Handles what another node asks and grants.
  void Receive(const GossipMessage& message, const std::shared_ptr<const RouteTable>& table, Instant now);

  /// Sends what is due.
  void Advance(const std::shared_ptr<const RouteTable>& table, Instant now);

  /// A request that has waited, and how the wait ended.
  struct Ended {
    DispatchRequest m_request;
    bool m_granted = false;
    Duration m_retry_after{};
  };
  std::vector<Ended> TakeEnded(Instant now);

  /// Removes and returns a request that waits.
  std::optional<DispatchRequest> TakeWaiting(const std::string& request_id);

  /// Removes and returns all requests that wait, for example because the node leaves.
  std::vector<DispatchRequest> ReleaseWaiting();

  /// Reports that are due about refusals at this node.
  std::vector<ReportQuota> TakeReports(const std::shared_ptr<const RouteTable>& table, Instant now);

  void Expire(Instant now);
  bool Idle() const { return m_waiting.empty(); }
  const QuotaClient& Client() const { return m_client; }
  const QuotaGrantor& Grantor() const { return m_grantor; }

 private:
  /// Refusals of an account that is over its limit.
  struct Excess {
    std::int64_t m_refused = 0;
    Instant m_last{};
    Instant m_next_report{};
    bool m_reported = false;
  };

  void UpdateView(Instant now);
  const std::vector<std::string>& OrderOf(const std::string& account);
  bool IsFirst(const std::string& account);
  /// Whether this node grants credit yet.
  bool Ready(Instant now) const;
  /// Whether most other nodes had been running when this one started.
  bool JoinedRunningFleet() const;
  QuotaGrant Grant(const std::string& from, const QuotaAsk& ask,
                   const std::shared_ptr<const RouteTable>& table, Instant now);
  void CountRefusal(const std::string& account, Instant now);

  Membership& m_membership;
  QuotaClient m_client;
  QuotaGrantor m_grantor;
  std::map<std::string, DispatchRequest> m_waiting;            ///< By request id.
  std::map<std::uint64_t, std::vector<std::string>> m_orders;  ///< First grantors by group of accounts.
  std::map<std::string, Excess> m_excess;                      ///< By account.
  bool m_view_changed = true;
  Instant m_started{};
  Instant m_paused{};
  bool m_joined = false;  ///< Result of JoinedRunningFleet.
  Instant m_last_loss{};
  Instant m_last_change{};  ///< Of any member.
  double m_share = 1;
  bool m_active = false;  ///< Whether an account with a quota has been met.
};

}  // namespace fescueramp
