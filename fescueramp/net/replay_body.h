#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fescueramp/net/async_condition.h"

namespace fescueramp {

/// Request body that is read from its source once and can be sent again while it is short.
/// Holds at most a bounded part in memory; a longer body can be sent once.
class ReplayBody : public std::enable_shared_from_this<ReplayBody> {
 public:
  using Source = std::function<asio::awaitable<std::string>()>;

  /// @param max_bytes Longest body accepted.
  ReplayBody(const asio::any_io_executor& executor, std::int64_t max_bytes);

  /// Starts reading; `source` gives parts and an empty text at the end.
  void Start(Source source, std::function<void()> at_end);

  /// Marks an empty body.
  void SetEmpty() { m_ended = true; }

  /// Next part from `cursor` on, and moves the cursor; empty at the end.
  /// @throws std::runtime_error when the source broke off or the body is too long.
  asio::awaitable<std::string> Read(std::size_t& cursor);

  /// Waits until the first part or the end has come. @throws std::runtime_error when the source broke off.
  asio::awaitable<void> WaitForStart();

  /// Whether the whole body can still be sent from its start.
  bool Replayable() const { return m_dropped == 0; }
  bool Ended() const { return m_ended; }
  bool TooLong() const { return m_too_long; }
  bool Failed() const { return m_failed; }

 private:
  asio::awaitable<void> ReadLoop(Source source, std::function<void()> at_end);

  asio::any_io_executor m_executor;
  std::int64_t m_max_bytes;
  std::string m_data;
  std::size_t m_dropped = 0;  ///< Bytes no longer held.
  bool m_ended = false;
  bool m_failed = false;
  bool m_too_long = false;
  AsyncCondition m_changed;
};

}  // namespace fescueramp
