#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/memory_budget.h"

namespace fescueramp {

/// Request body that is read from its source once and buffered for retries.
/// The buffer is bounded; a body that exceeds it can be sent only once.
class ReplayBody : public std::enable_shared_from_this<ReplayBody> {
 public:
  using Source = std::function<asio::awaitable<std::string>()>;

  /// @param max_bytes Size limit of the body.
  ReplayBody(const asio::any_io_executor& executor, std::int64_t max_bytes);

  /// Starts reading. `source` returns the next part, empty at the end of the body; `on_end` is called after a
  /// complete body.
  void Start(Source source, std::function<void()> on_end);

  /// Counts the buffer in an account. Call this before the start.
  /// @param expected_bytes Bytes that count from the start on, until the body has been read.
  void Charge(std::shared_ptr<MemoryAccount> account, std::size_t expected_bytes);

  /// Bytes that a body adds to what a node holds.
  /// @param content_length Length of the body; -1 when unknown.
  static std::size_t ExpectedBytes(std::int64_t content_length);

  /// Marks an empty body.
  void SetEmpty() { m_ended = true; }

  /// Reads the next part at byte offset `cursor` and advances it; empty at the end of the body.
  /// @throws std::runtime_error when the source failed, the body exceeds a limit or the part was discarded.
  asio::awaitable<std::string> Read(std::size_t& cursor);

  /// Waits for the first part or the end of the body.
  /// @throws std::runtime_error when the source failed or the body exceeds a limit.
  asio::awaitable<void> WaitForStart();

  /// Whether the body can still be sent from its start.
  bool Replayable() const { return m_discarded_bytes == 0; }

  /// Whether the complete body has been read from the source.
  bool Ended() const { return m_ended; }

  /// Whether the body exceeded its size limit.
  bool TooLong() const { return m_too_long; }

  /// Whether the source failed.
  bool Failed() const { return m_failed; }

  /// Whether the body exceeded another limit than that of its size.
  bool Refused() const { return m_refused; }

 private:
  void UpdateCharge();
  asio::awaitable<void> ReadLoop(Source source, std::function<void()> on_end);

  asio::any_io_executor m_executor;
  std::int64_t m_max_bytes;
  std::string m_data;
  std::size_t m_discarded_bytes = 0;  ///< Bytes discarded from the start of the body.
  bool m_ended = false;
  bool m_failed = false;
  bool m_too_long = false;
  bool m_refused = false;
  AsyncCondition m_changed;
  MemoryCharge m_charge;
  std::size_t m_expected_bytes = 0;  ///< Bytes that count at least until the body has been read.
};

}  // namespace fescueramp
