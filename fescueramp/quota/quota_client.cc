#include "fescueramp/quota/quota_client.h"

#include <algorithm>
#include <cmath>

#include "fescueramp/core/hash.h"
#include "fescueramp/dispatch/retry_after_delay.h"

namespace fescueramp {
namespace {

/// Demand that unspent credit covers, seconds.
constexpr double kAheadTime = 0.8;
constexpr double kRateTime = 2;  ///< Time constant of the arrival rate, seconds.
/// Time after the last request in which a node keeps credit for the next one.
constexpr Duration kStandbyTime = std::chrono::seconds(8);
constexpr Duration kRenewalMargin = std::chrono::seconds(1);
/// Time after which an ask is repeated; replies take up to 16 ms.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(40);
constexpr int kMaxSends = 4;
constexpr Duration kAvoidTime = std::chrono::seconds(1);            ///< After missing replies.
constexpr Duration kNotReadyTime = std::chrono::milliseconds(300);  ///< After a reply that says so.
/// Time between asks while the grantor has no credit. It keeps the datagrams for a hot account low, and is
/// short enough that the grantor's capacity holds the credit of this time.
constexpr Duration kShortAskPeriod = std::chrono::milliseconds(150);
constexpr Duration kAheadAskPeriod = std::chrono::milliseconds(150);
constexpr Duration kRefusedAheadPeriod = std::chrono::milliseconds(800);
/// Wait for credit that is worth while for a caller.
constexpr Duration kMaxWait = std::chrono::milliseconds(300);
/// Wait while no grantor replies or is ready.
constexpr Duration kMaxUnansweredWait = std::chrono::seconds(1);
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(300);
/// Time between two looks at all accounts; those with news are looked at at once.
constexpr Duration kScanPeriod = std::chrono::milliseconds(20);
constexpr Duration kIdleTime = std::chrono::minutes(1);

}  // namespace

std::int64_t QuotaClient::TargetOf(const Account& account, Instant now) {
  if (now - account.m_last_request > kStandbyTime) return 0;
  const double rate = account.m_rate * std::exp(-ToSeconds(now - account.m_last_request) / kRateTime);
  return std::max<std::int64_t>(1, static_cast<std::int64_t>(std::ceil(rate * kAheadTime)));
}

void QuotaClient::CountArrival(Account& account, Instant now) {
  const double elapsed = ToSeconds(now - account.m_last_request);
  account.m_rate = account.m_rate * std::exp(-elapsed / kRateTime) + 1 / kRateTime;
  account.m_last_request = now;
}

void QuotaClient::ExpireCredit(Account& account, Instant now) {
  if (account.m_unspent == 0 || now < account.m_lease_until) return;
  m_counts.m_expired += std::exchange(account.m_unspent, 0);
}

void QuotaClient::Accept(const std::string& name, Account& account, const std::string& request_id) {
  --account.m_unspent;
  ++account.m_accepted;
  ++m_counts.m_used;
  m_accepted_account[request_id] = name;
}

void QuotaClient::AcceptWaiting(const std::string& name, Account& account) {
  while (account.m_unspent > 0 && !account.m_waiting.empty()) {
    const std::string id = account.m_waiting.front().m_request_id;
    account.m_waiting.pop_front();
    m_waiting_account.erase(id);
    Accept(name, account, id);
    m_outcomes.push_back({id, true, {}});
  }
}

QuotaVerdict QuotaClient::Take(const std::string& name, const std::string& request_id, Instant now,
                               Duration& retry_after) {
  m_touched.insert(name);
  Account& account = m_accounts[name];
  CountArrival(account, now);
  ExpireCredit(account, now);
  if (account.m_unspent > 0) {
    Accept(name, account, request_id);
    return QuotaVerdict::kGranted;
  }
  // More requests than the next reply may serve aren't kept waiting.
  const std::int64_t may_wait = 2 * account.m_last_credit + 2;
  if (now < account.m_short_until && std::ssize(account.m_waiting) >= may_wait) {
    retry_after = RetryAfterDelay(account.m_short_until - now, Duration(0), Hash64(request_id));
    ++m_counts.m_refused;
    return QuotaVerdict::kRefused;
  }
  account.m_waiting.push_back({request_id, now});
  m_waiting_account[request_id] = name;
  return QuotaVerdict::kWait;
}

void QuotaClient::Start(const std::string& request_id) {
  const auto accepted = m_accepted_account.extract(request_id);
  if (!accepted.empty()) --m_accounts.at(accepted.mapped()).m_accepted;
}

void QuotaClient::End(const std::string& request_id) {
  if (const auto accepted = m_accepted_account.extract(request_id); !accepted.empty()) {
    Account& account = m_accounts.at(accepted.mapped());
    --account.m_accepted;
    ++account.m_unspent;
    ++m_counts.m_returned;
    AcceptWaiting(accepted.mapped(), account);
  }
  if (const auto waiting = m_waiting_account.extract(request_id); !waiting.empty()) {
    std::erase_if(m_accounts.at(waiting.mapped()).m_waiting,
                  [&](const WaitingRequest& request) { return request.m_request_id == request_id; });
  }
}

bool QuotaClient::IsAskDue(const Account& account, Instant now) {
  if (!account.m_waiting.empty()) return now >= account.m_next_ask;
  const std::int64_t target = TargetOf(account, now);
  if (target == 0 || now < account.m_next_ahead_ask) return false;
  const bool renew = account.m_unspent > 0 && now > account.m_lease_until - kRenewalMargin;
  return renew || account.m_unspent < (target + 2) / 3;
}

std::string QuotaClient::ChooseGrantor(const std::vector<std::string>& grantors, Instant now) const {
  for (const auto& node : grantors) {
    const auto avoid = m_avoid_until.find(node);
    if (avoid == m_avoid_until.end() || avoid->second <= now) return node;
  }
  return grantors.empty() ? std::string() : grantors.front();
}

void QuotaClient::StartAsk(const std::string& name, Account& account, const GrantorsOf& grantors_of,
                           Instant now) {
  account.m_grantor = ChooseGrantor(grantors_of(name), now);
  if (account.m_grantor.empty()) return;
  ExpireCredit(account, now);
  account.m_ask.m_account = name;
  account.m_ask.m_epoch = m_epoch;
  account.m_ask.m_number = ++m_last_number;
  account.m_ask.m_held = account.m_unspent + account.m_accepted;
  account.m_ask.m_need = std::ssize(account.m_waiting);
  account.m_ask.m_ahead = std::max<std::int64_t>(0, TargetOf(account, now) - account.m_unspent);
  account.m_first_sent = now;
  account.m_sent = 0;
}

void QuotaClient::AskIfDue(const std::string& name, Account& account, const GrantorsOf& grantors_of,
                           Instant now, std::vector<AddressedAsk>& asks) {
  const bool unanswered = !account.m_grantor.empty() && now - account.m_last_sent >= kReplyTimeout;
  if (unanswered && account.m_sent >= kMaxSends) {
    m_avoid_until[account.m_grantor] = now + kAvoidTime;
    account.m_grantor.clear();
    account.m_unanswered = true;
  }
  if (account.m_grantor.empty() && IsAskDue(account, now)) StartAsk(name, account, grantors_of, now);
  if (account.m_grantor.empty()) return;
  if (account.m_sent > 0 && now - account.m_last_sent < kReplyTimeout) return;
  ++account.m_sent;
  account.m_last_sent = now;
  asks.push_back({account.m_grantor, account.m_ask});
}

std::vector<AddressedAsk> QuotaClient::TakeAsks(const GrantorsOf& grantors_of, Instant now) {
  std::vector<AddressedAsk> asks;
  const std::set<std::string> touched = std::exchange(m_touched, {});
  if (now >= m_next_scan) {
    m_next_scan = now + kScanPeriod;
    for (auto& [name, account] : m_accounts) AskIfDue(name, account, grantors_of, now, asks);
  } else {
    for (const auto& name : touched) {
      const auto account = m_accounts.find(name);
      if (account != m_accounts.end()) AskIfDue(name, account->second, grantors_of, now, asks);
    }
  }
  // The order of an unordered map differs between standard libraries.
  std::sort(asks.begin(), asks.end(), [](const AddressedAsk& a, const AddressedAsk& b) {
    return a.m_ask.m_account < b.m_ask.m_account;
  });
  return asks;
}

void QuotaClient::RefuseWaiting(Account& account, Duration retry_after) {
  for (const WaitingRequest& request : account.m_waiting) {
    const std::string& id = request.m_request_id;
    m_waiting_account.erase(id);
    ++m_counts.m_refused;
    m_outcomes.push_back({id, false, RetryAfterDelay(retry_after, Duration(0), Hash64(id))});
  }
  account.m_waiting.clear();
}

void QuotaClient::Apply(const std::string& from, const QuotaGrant& grant, Instant now) {
  const auto found = m_accounts.find(grant.m_account);
  if (found == m_accounts.end()) return;
  Account& account = found->second;
  if (account.m_grantor != from || account.m_ask.m_number != grant.m_number) return;
  account.m_grantor.clear();
  account.m_unanswered = !grant.m_ready;
  m_touched.insert(grant.m_account);
  if (!grant.m_ready) {
    m_avoid_until[from] = now + kNotReadyTime;
    account.m_next_ask = now;
    return;
  }
  m_avoid_until.erase(from);
  ExpireCredit(account, now);
  account.m_lease_until = account.m_first_sent + kQuotaLease;
  // A reply that took longer than the lease, as this process was frozen, has nothing left to spend.
  if (now >= account.m_lease_until) return;
  account.m_unspent += grant.m_credit;
  account.m_last_credit = grant.m_credit;
  AcceptWaiting(grant.m_account, account);
  const bool satisfied = account.m_ask.m_ahead == 0 || grant.m_credit > account.m_ask.m_need;
  account.m_next_ahead_ask = now + (satisfied ? kAheadAskPeriod : kRefusedAheadPeriod);
  if (grant.m_credit >= account.m_ask.m_need) {
    account.m_next_ask = now;
    return;
  }
  const Duration wait = std::chrono::milliseconds(grant.m_wait_ms);
  account.m_next_ask = now + std::clamp(wait, kReplyTimeout / 4, kShortAskPeriod);
  account.m_short_until = now + wait;
  if (wait > kMaxWait) RefuseWaiting(account, wait);
}

std::vector<QuotaOutcome> QuotaClient::TakeOutcomes(Instant now) {
  std::set<std::string> names;
  for (const auto& [id, name] : m_waiting_account) names.insert(name);
  for (const auto& name : names) {
    Account& account = m_accounts.at(name);
    const Duration most = account.m_unanswered || !account.m_grantor.empty() ? kMaxUnansweredWait : kMaxWait;
    while (!account.m_waiting.empty() && now - account.m_waiting.front().m_since > most) {
      const std::string id = account.m_waiting.front().m_request_id;
      account.m_waiting.pop_front();
      m_waiting_account.erase(id);
      ++m_counts.m_refused;
      m_outcomes.push_back({id, false, RetryAfterDelay(kDefaultRetryDelay, Duration(0), Hash64(id))});
    }
  }
  std::sort(m_outcomes.begin(), m_outcomes.end(),
            [](const QuotaOutcome& a, const QuotaOutcome& b) { return a.m_request_id < b.m_request_id; });
  return std::exchange(m_outcomes, {});
}

void QuotaClient::Expire(Instant now) {
  for (auto& [name, account] : m_accounts) ExpireCredit(account, now);
  std::erase_if(m_accounts, [&](const auto& item) {
    const Account& account = item.second;
    return account.m_accepted == 0 && account.m_waiting.empty() && account.m_grantor.empty() &&
           now - account.m_last_request > kIdleTime;
  });
  std::erase_if(m_avoid_until, [&](const auto& item) { return item.second <= now; });
}

}  // namespace fescueramp
