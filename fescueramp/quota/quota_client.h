#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/quota/announced_quota.h"
#include "fescueramp/quota/quota_limit.h"

namespace fescueramp {

/// Whether a request may be dispatched as far as the quota of its account is concerned.
enum class QuotaVerdict { kGranted, kWait, kRefused };

/// A request that has waited for credit, and how the wait ended.
struct QuotaOutcome {
  std::string m_request_id;
  bool m_granted = false;
  Duration m_retry_after{};  ///< If refused.
};

/// An ask for a grantor.
struct AddressedAsk {
  std::string m_node;
  QuotaAsk m_ask;
};

/// Credit of client accounts at a dispatching node: asks for it ahead of demand and spends one for each
/// request.
class QuotaClient {
 public:
  struct Counts {
    std::int64_t m_used = 0;
    std::int64_t m_returned = 0;  ///< Credit of requests that ended without having run.
    std::int64_t m_expired = 0;
    std::int64_t m_refused = 0;
  };
  /// Returns the grantors of an account in the order in which they are asked.
  using GrantorsOf = std::function<std::vector<std::string>(const std::string& account)>;

  /// @param epoch Start of this process.
  explicit QuotaClient(std::int64_t epoch) : m_epoch(epoch) {}

  /// Takes credit for a request, which waits for it if there is none.
  /// @param retry_after Set if the request is refused.
  QuotaVerdict Take(const std::string& account, const std::string& request_id, Instant now,
                    Duration& retry_after);

  /// Records that the first attempt of a request starts: its credit is used.
  void Start(const std::string& request_id);

  /// Records that a request has ended: gives its credit back unless an attempt has started, and ends its
  /// wait.
  void End(const std::string& request_id);

  /// Returns the asks that are due.
  std::vector<AddressedAsk> TakeAsks(const GrantorsOf& grantors_of, Instant now);

  /// Applies a reply of a node.
  void Apply(const std::string& from, const QuotaGrant& grant, Instant now);

  /// Returns the requests whose wait has ended.
  std::vector<QuotaOutcome> TakeOutcomes(Instant now);

  /// Forgets expired credit, and accounts without requests.
  void Expire(Instant now);

  const Counts& Totals() const { return m_counts; }
  std::size_t Accounts() const { return m_accounts.size(); }
  bool Waiting() const { return !m_waiting_account.empty(); }

 private:
  struct WaitingRequest {
    std::string m_request_id;
    Instant m_since{};
  };
  struct Account {
    std::int64_t m_unspent = 0;
    std::int64_t m_accepted = 0;  ///< Requests that have credit and have not started.
    std::deque<WaitingRequest> m_waiting;
    double m_rate = 0;  ///< Requests/s that arrive here.
    Instant m_last_request{};
    Instant m_lease_until{};
    std::string m_grantor;  ///< Node that was asked; empty when no ask is open.
    QuotaAsk m_ask;
    Instant m_first_sent{};
    Instant m_last_sent{};
    int m_sent = 0;
    Instant m_next_ask{};        ///< For requests that wait.
    Instant m_next_ahead_ask{};  ///< For credit ahead of demand.
    Instant m_short_until{};     ///< Time for which the grantor has no credit.
    std::int64_t m_last_credit = 0;
    bool m_unanswered = false;  ///< Whether the last grantor gave no reply or wasn't ready.
  };

  static std::int64_t TargetOf(const Account& account, Instant now);
  static void CountArrival(Account& account, Instant now);
  void ExpireCredit(Account& account, Instant now);
  static bool IsAskDue(const Account& account, Instant now);
  void StartAsk(const std::string& name, Account& account, const GrantorsOf& grantors_of, Instant now);
  std::string ChooseGrantor(const std::vector<std::string>& grantors, Instant now) const;
  void Accept(const std::string& name, Account& account, const std::string& request_id);
  void AcceptWaiting(const std::string& name, Account& account);
  void AskIfDue(const std::string& name, Account& account, const GrantorsOf& grantors_of, Instant now,
                std::vector<AddressedAsk>& asks);
  void RefuseWaiting(Account& account, Duration retry_after);

  std::int64_t m_epoch;
  std::int64_t m_last_number = 0;
  std::unordered_map<std::string, Account> m_accounts;
  std::unordered_map<std::string, std::string> m_accepted_account;  ///< By request id.
  std::unordered_map<std::string, std::string> m_waiting_account;   ///< By request id.
  std::unordered_map<std::string, Instant> m_avoid_until;           ///< Grantors without a reply.
  std::set<std::string> m_touched;  ///< Accounts that changed since the last call of TakeAsks.
  Instant m_next_scan{};            ///< When TakeAsks looks at all accounts again.
  std::vector<QuotaOutcome> m_outcomes;
  Counts m_counts;
};

}  // namespace fescueramp
