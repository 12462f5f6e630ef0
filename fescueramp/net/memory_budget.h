#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "fescueramp/net/memory_decision.h"

namespace fescueramp {

/// What bytes are held for.
enum class MemoryKind {
  kHead,         ///< Heads of requests.
  kBody,         ///< Bodies of requests, kept for retries; from the start with their announced length.
  kReadBuffer,   ///< Buffers of reads that wait for data.
  kResponse,     ///< Responses that are collected, or wait for their reader.
  kLinkSend,     ///< Data that a link has not sent yet.
  kLinkReceive,  ///< Data from a link that has not been read yet.
  kExpected,     ///< Reserve for responses that haven't begun; doesn't count as held.
};

template <>
struct EnumTable<MemoryKind> {
  static constexpr std::array<std::string_view, 7> kNames = {
      "heads", "bodies", "read_buffers", "responses", "link_send", "link_receive", "expected"};
};

inline constexpr std::size_t kMemoryKinds = EnumTable<MemoryKind>::kNames.size();

/// Progress of the client of a connection.
struct ClientProgress {
  std::uint64_t m_bytes = 0;        ///< Bytes that the client has sent and acknowledged.
  bool m_waits_for_client = false;  ///< Whether the next step is the client's.
};

/// Bytes held for one caller's connection, or for the links of the node.
class MemoryAccount {
 public:
  std::size_t Held() const { return m_held; }

 private:
  friend class MemoryBudget;
  friend class MemoryCharge;

  /// Sums of the node. Charges can outlive the budget.
  struct Totals {
    std::array<std::size_t, kMemoryKinds> m_by_kind{};
    MemoryLoad m_load;
  };

  explicit MemoryAccount(std::shared_ptr<Totals> totals) : m_totals(std::move(totals)) {}

  std::shared_ptr<Totals> m_totals;
  std::size_t m_held = 0;
  std::uint64_t m_id = 0;
  std::function<ClientProgress()> m_progress;
  std::function<void()> m_close;
  std::uint64_t m_last_bytes = 0;
  std::chrono::steady_clock::time_point m_stalled_since;  ///< Zero if the client isn't watched yet.
};

/// Bytes counted in an account until the object ends. Without an account nothing is counted.
class MemoryCharge {
 public:
  MemoryCharge() = default;
  MemoryCharge(std::shared_ptr<MemoryAccount> account, MemoryKind kind, std::size_t bytes);
  ~MemoryCharge() { Resize(0); }
  MemoryCharge(MemoryCharge&& other) noexcept;
  MemoryCharge& operator=(MemoryCharge&& other) noexcept;

  /// Changes the number of bytes.
  void Resize(std::size_t bytes);

 private:
  std::shared_ptr<MemoryAccount> m_account;
  MemoryKind m_kind = MemoryKind::kHead;
  std::size_t m_bytes = 0;
};

/// Counts the bytes that a node holds for others, and limits them. Single-threaded.
class MemoryBudget {
 public:
  /// @param budget_bytes Bytes that may be held; 0 for no limit.
  explicit MemoryBudget(std::size_t budget_bytes);

  /// Part of a host's memory that may be held for others, bytes. The other half is for the process itself
  /// (5 to 45 MB), the allocator's overhead and copies that aren't counted.
  static std::size_t BytesOf(std::int64_t memory_mb);

  /// Account of a caller's connection.
  /// @param progress Returns the progress of its client.
  /// @param close Closes the connection.
  std::shared_ptr<MemoryAccount> OpenAccount(std::function<ClientProgress()> progress,
                                             std::function<void()> close);

  /// Account for what is held for other nodes.
  const std::shared_ptr<MemoryAccount>& LinkAccount() const { return m_link_account; }

  /// Decides about a new request and counts refusals.
  MemoryAdmission Admit(std::size_t added_bytes, bool has_body);

  /// Whether a connection may have a further request in progress.
  bool MayPipelineMore() const { return MayPipeline(m_totals->m_load); }

  /// Closes connections if too much is held. To be called several times a second.
  /// @return Bytes that were held for each connection closed.
  std::vector<std::size_t> CloseConnections(std::chrono::steady_clock::time_point now);

  const MemoryLoad& Load() const { return m_totals->m_load; }

  /// Bytes of one kind.
  std::size_t Held(MemoryKind kind) const { return m_totals->m_by_kind[static_cast<std::size_t>(kind)]; }

  /// Number of refusals so far.
  std::int64_t Refused(MemoryAdmission admission) const {
    return m_refused[static_cast<std::size_t>(admission)];
  }

 private:
  HeldConnection Observe(MemoryAccount& account, std::chrono::steady_clock::time_point now);

  std::shared_ptr<MemoryAccount::Totals> m_totals;
  std::shared_ptr<MemoryAccount> m_link_account;
  std::vector<std::weak_ptr<MemoryAccount>> m_accounts;  ///< Of callers' connections.
  std::size_t m_accounts_to_purge;                       ///< Size of `m_accounts` at which it is purged.
  std::uint64_t m_last_id = 0;
  bool m_watching = false;  ///< Whether the progress of clients is watched.
  std::array<std::int64_t, EnumTable<MemoryAdmission>::kNames.size()> m_refused{};
};

}  // namespace fescueramp
