#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/quota/announced_quota.h"
#include "fescueramp/quota/quota_limit.h"

namespace fescueramp {

/// How a node regards itself as grantor of an account.
struct GrantorRole {
  bool m_first = false;  ///< Whether it is the first live node in the order of the account.
  bool m_ready = true;   ///< Whether it has been running long enough to know the other nodes.
  bool m_after_loss =
      false;                ///< Whether other nodes were lost lately, so that an earlier grantor may live on.
  bool m_view_new = false;  ///< Whether the nodes have changed lately, so that others may not know of it yet.
  bool m_unsettled = false;  ///< Whether many nodes are being lost, as in a partition.
  double m_share = 1;        ///< Share of the known nodes that it reaches; it grants that share of the rate.
};

/// Grants credit of client accounts to dispatching nodes from one token bucket per account.
///
/// The credit in the bucket and the outstanding credit together stay below QuotaLimit::Capacity(). What is
/// outstanding at a node is what it held at its last ask and what it was granted since.
class QuotaGrantor {
 public:
  /// Time for which a new grantor grants little after a loss of nodes: the old one may still be granting.
  static constexpr Duration kTakeoverCaution = std::chrono::seconds(1);
  /// Time for which a grantor goes on after it has learned of a better one, which may not be ready yet.
  static constexpr Duration kHandoverTime = std::chrono::milliseconds(1800);
  /// Time after which a grantor counts as established and grants its share also while nodes are being lost.
  static constexpr Duration kEstablishedTime = std::chrono::seconds(6);

  struct Counts {
    std::int64_t m_granted = 0;
    std::int64_t m_expired = 0;  ///< Credit of nodes that have not asked again.
  };

  QuotaGrant Grant(const std::string& from, const QuotaAsk& ask, const QuotaLimit& limit,
                   const GrantorRole& role, Instant now);

  /// Updates whether this node is the first one of each account that it knows.
  template <typename IsFirst>
  void UpdateFirst(const IsFirst& is_first, Instant now) {
    for (auto& [name, account] : m_accounts) SetFirst(account, is_first(name), now);
  }

  /// Limits the credit of all accounts to that of a new grantor, as others may have granted during a pause.
  void Reset() {
    for (auto& [name, account] : m_accounts) account.m_reset = true;
  }

  /// Forgets credit that has expired and accounts that were not asked for lately.
  void Expire(Instant now);

  const Counts& Totals() const { return m_counts; }
  std::size_t Accounts() const { return m_accounts.size(); }

 private:
  struct Lease {
    std::int64_t m_epoch = 0;
    std::int64_t m_outstanding = 0;
    Instant m_until{};
    QuotaGrant m_last;  ///< Reply to the last ask, for a repetition.
  };
  struct Account {
    double m_credit = 0;
    Instant m_updated{};
    Instant m_first_since{};  ///< When this node became the grantor.
    Instant m_first_until{};  ///< When it learned of a better one.
    bool m_first = false;
    bool m_reset = false;  ///< Whether another node may have granted in the meantime.
    double m_unmet = 0;    ///< Requests that got no credit lately.
    std::int64_t m_outstanding = 0;
    std::map<std::string, Lease> m_leases;  ///< By node.
  };

  static void SetFirst(Account& account, bool first, Instant now);
  static double RateOf(const Account& account, const QuotaLimit& limit, const GrantorRole& role, Instant now);
  void ExpireLeases(Account& account, Instant now);
  static void Refill(Account& account, const QuotaLimit& limit, double rate, Instant now);
  static std::int64_t TakeCredit(Account& account, const QuotaAsk& ask, const QuotaLimit& limit);
  static Duration ExpectedWait(const Account& account, double rate, std::int64_t short_of);

  std::unordered_map<std::string, Account> m_accounts;
  Counts m_counts;
};

}  // namespace fescueramp
