#include "fescueramp/quota/quota_grantor.h"

#include <algorithm>
#include <cmath>

namespace fescueramp {
namespace {

constexpr Duration kIdleTime = std::chrono::minutes(1);  ///< Time after which an account is forgotten.
/// Time in which most nodes learn of another grantor; until then some get credit from the earlier one.
constexpr Duration kViewTime = std::chrono::milliseconds(400);
constexpr Duration kMaxWait = std::chrono::seconds(10);
constexpr double kUnmetTime = 1;  ///< Time constant of the count of unmet requests, seconds.
/// Divisor of the capacity that is kept for requests that wait.
constexpr double kReserveDivisor = 4;
/// Divisor of the credit above the reserve that one ask ahead of demand may take, so that it is left to
/// several.
constexpr double kAheadDivisor = 3;

}  // namespace

void QuotaGrantor::SetFirst(Account& account, bool first, Instant now) {
  if (account.m_first == first) return;
  account.m_first = first;
  account.m_reset = true;
  (first ? account.m_first_since : account.m_first_until) = now;
}

double QuotaGrantor::RateOf(const Account& account, const QuotaLimit& limit, const GrantorRole& role,
                            Instant now) {
  const bool hands_over = account.m_first_until != Instant{} && now - account.m_first_until < kHandoverTime;
  if (!account.m_first && !hands_over) return limit.CautiousRate() * role.m_share;
  const Duration since = now - account.m_first_since;
  const bool cautious = (role.m_view_new && since < kViewTime) ||
                        (role.m_after_loss && since < kTakeoverCaution) ||
                        (role.m_unsettled && account.m_first && since < kEstablishedTime);
  return (cautious ? limit.CautiousRate() : limit.m_rate) * role.m_share;
}

void QuotaGrantor::ExpireLeases(Account& account, Instant now) {
  std::erase_if(account.m_leases, [&](const auto& item) {
    if (item.second.m_until > now) return false;
    account.m_outstanding -= item.second.m_outstanding;
    m_counts.m_expired += item.second.m_outstanding;
    return true;
  });
}

void QuotaGrantor::Refill(Account& account, const QuotaLimit& limit, double rate, Instant now) {
  const double elapsed = ToSeconds(now - account.m_updated);
  const bool hands_over = !account.m_first && now - account.m_first_until < kHandoverTime;
  if (account.m_reset && !hands_over) {
    // Another node has granted, or grants, from a bucket of its own.
    account.m_credit = std::min(account.m_credit, limit.InitialCredit());
    account.m_reset = false;
  } else {
    account.m_credit += elapsed * rate;
  }
  const double most = limit.Capacity() - static_cast<double>(account.m_outstanding);
  account.m_credit = std::max(0.0, std::min(account.m_credit, most));
  account.m_unmet *= std::exp(-elapsed / kUnmetTime);
  account.m_updated = now;
}

std::int64_t QuotaGrantor::TakeCredit(Account& account, const QuotaAsk& ask, const QuotaLimit& limit) {
  const auto whole = [](double credit) {
    return std::max<std::int64_t>(0, static_cast<std::int64_t>(credit));
  };
  const std::int64_t needed = std::clamp<std::int64_t>(ask.m_need, 0, whole(account.m_credit));
  account.m_credit -= static_cast<double>(needed);
  account.m_unmet += static_cast<double>(ask.m_need - needed);
  const double spare = account.m_credit - limit.Capacity() / kReserveDivisor;
  const std::int64_t ahead =
      std::clamp<std::int64_t>(ask.m_ahead, 0, whole(std::ceil(spare / kAheadDivisor)));
  const std::int64_t granted_ahead = std::min(ahead, whole(account.m_credit));
  account.m_credit -= static_cast<double>(granted_ahead);
  return needed + granted_ahead;
}

Duration QuotaGrantor::ExpectedWait(const Account& account, double rate, std::int64_t short_of) {
  if (short_of <= 0) return Duration(0);
  if (rate <= 0) return kMaxWait;
  const double missing = std::max(1.0, account.m_unmet) - account.m_credit;
  return std::min(kMaxWait, FromSeconds(missing / rate));
}

QuotaGrant QuotaGrantor::Grant(const std::string& from, const QuotaAsk& ask, const QuotaLimit& limit,
                               const GrantorRole& role, Instant now) {
  QuotaGrant grant;
  grant.m_account = ask.m_account;
  grant.m_number = ask.m_number;
  if (!role.m_ready) {
    grant.m_ready = false;
    return grant;
  }
  const auto [found, added] = m_accounts.try_emplace(ask.m_account);
  Account& account = found->second;
  if (added) {
    account.m_credit = limit.InitialCredit();
    account.m_first = role.m_first;
    account.m_first_since = now;
    account.m_updated = now;
  }
  ExpireLeases(account, now);
  Lease& lease = account.m_leases[from];
  const bool stale = ask.m_epoch < lease.m_epoch;
  if (stale || (ask.m_epoch == lease.m_epoch && ask.m_number <= lease.m_last.m_number)) {
    // A repetition gets the same reply; an ask that was overtaken gets none that counts.
    grant = lease.m_last;
    if (stale) grant.m_number = 0;
    return grant;
  }
  account.m_outstanding += ask.m_held - lease.m_outstanding;
  lease.m_outstanding = ask.m_held;
  const double rate = RateOf(account, limit, role, now);
  Refill(account, limit, rate, now);
  grant.m_credit = TakeCredit(account, ask, limit);
  grant.m_wait_ms = WholeMilliseconds(ExpectedWait(account, rate, ask.m_need - grant.m_credit));
  account.m_outstanding += grant.m_credit;
  lease.m_outstanding += grant.m_credit;
  lease.m_epoch = ask.m_epoch;
  lease.m_until = now + kQuotaLease;
  lease.m_last = grant;
  m_counts.m_granted += grant.m_credit;
  return grant;
}

void QuotaGrantor::Expire(Instant now) {
  for (auto& [name, account] : m_accounts) ExpireLeases(account, now);
  std::erase_if(m_accounts, [&](const auto& item) {
    return item.second.m_leases.empty() && now - item.second.m_updated > kIdleTime;
  });
}

}  // namespace fescueramp
