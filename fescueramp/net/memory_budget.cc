#include "fescueramp/net/memory_budget.h"

#include <algorithm>
#include <utility>

namespace fescueramp {
namespace {

constexpr std::size_t kBytesPerMegabyte = 1024 * 1024;
constexpr std::size_t kBudgetDivisor = 2;  ///< Memory of the host per byte that may be held.
constexpr std::size_t kMinAccountsToPurge = 256;

}  // namespace

MemoryCharge::MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryKind kind, std::size_t bytes)
    : m_account(std::move(account)), m_kind(kind) {
  Resize(bytes);
}

MemoryCharge::MemoryCharge(MemoryCharge&& other) noexcept
    : m_account(std::move(other.m_account)), m_kind(other.m_kind), m_bytes(std::exchange(other.m_bytes, 0)) {}

MemoryCharge& MemoryCharge::operator=(MemoryCharge&& other) noexcept {
  if (this == &other) return *this;
  Resize(0);
  m_account = std::move(other.m_account);
  m_kind = other.m_kind;
  m_bytes = std::exchange(other.m_bytes, 0);
  return *this;
}

void MemoryCharge::Resize(std::size_t bytes) {
  if (!m_account || bytes == m_bytes) return;
  MemoryAccount::Totals& totals = *m_account->m_totals;
  const auto change = [&](std::size_t& sum) { sum = sum - m_bytes + bytes; };
  change(totals.m_by_kind[static_cast<std::size_t>(m_kind)]);
  if (m_kind == MemoryKind::kExpected) {
    change(totals.m_load.m_reserved);
  } else {
    change(totals.m_load.m_held);
    change(m_account->m_held);
  }
  m_bytes = bytes;
}

MemoryBudget::MemoryBudget(std::size_t budget_bytes)
    : m_totals(std::make_shared<MemoryAccount::Totals>()), m_accounts_to_purge(kMinAccountsToPurge) {
  m_totals->m_load.m_budget = budget_bytes;
  m_link_account = std::shared_ptr<MemoryAccount>(new MemoryAccount(m_totals));
}

std::size_t MemoryBudget::BytesOf(std::int64_t memory_mb) {
  return static_cast<std::size_t>(memory_mb) * kBytesPerMegabyte / kBudgetDivisor;
}

std::shared_ptr<MemoryAccount> MemoryBudget::OpenAccount(std::function<ClientProgress()> progress,
                                                         std::function<void()> close) {
  if (m_accounts.size() >= m_accounts_to_purge) {
    std::erase_if(m_accounts, [](const auto& account) { return account.expired(); });
    m_accounts_to_purge = std::max(kMinAccountsToPurge, 2 * m_accounts.size());
  }
  auto account = std::shared_ptr<MemoryAccount>(new MemoryAccount(m_totals));
  account->m_id = ++m_last_id;
  account->m_progress = std::move(progress);
  account->m_close = std::move(close);
  m_accounts.push_back(account);
  return account;
}

MemoryAdmission MemoryBudget::Admit(std::size_t added_bytes, bool has_body) {
  const MemoryAdmission admission = DecideAdmission(m_totals->m_load, added_bytes, has_body);
  if (admission != MemoryAdmission::kAdmit) ++m_refused[static_cast<std::size_t>(admission)];
  return admission;
}

HeldConnection MemoryBudget::Observe(MemoryAccount& account, std::chrono::steady_clock::time_point now) {
  const ClientProgress progress = account.m_progress();
  const bool watched = account.m_stalled_since != std::chrono::steady_clock::time_point{};
  if (!watched || !progress.m_waits_for_client || progress.m_bytes != account.m_last_bytes)
    account.m_stalled_since = now;
  account.m_last_bytes = progress.m_bytes;
  return {account.m_id, account.m_held, progress.m_waits_for_client,
          std::chrono::duration_cast<std::chrono::milliseconds>(now - account.m_stalled_since)};
}

std::vector<std::size_t> MemoryBudget::CloseConnections(std::chrono::steady_clock::time_point now) {
  std::vector<std::size_t> closed;
  const bool watch = MustWatchConnections(m_totals->m_load);
  if (!watch && !m_watching) return closed;
  m_watching = watch;
  std::vector<HeldConnection> connections;
  std::vector<std::shared_ptr<MemoryAccount>> accounts;
  for (const auto& weak : m_accounts) {
    const auto account = weak.lock();
    if (!account) continue;
    if (!watch) account->m_stalled_since = {};
    if (!watch || account->m_held == 0) continue;
    connections.push_back(Observe(*account, now));
    accounts.push_back(account);
  }
  const auto chosen = ChooseConnectionsToClose(m_totals->m_load, std::move(connections));
  for (const std::uint64_t id : chosen) {
    const auto account =
        std::find_if(accounts.begin(), accounts.end(), [&](const auto& item) { return item->m_id == id; });
    closed.push_back((*account)->m_held);
    (*account)->m_close();
  }
  return closed;
}

}  // namespace fescueramp
