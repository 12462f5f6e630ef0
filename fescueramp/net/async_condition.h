#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace fescueramp {

namespace asio = boost::asio;

/// Wakes coroutines that wait for a condition, which they check again themselves. Not thread-safe.
class AsyncCondition {
 public:
  explicit AsyncCondition(const asio::any_io_executor& executor) : m_timer(executor) {
    m_timer.expires_at(asio::steady_timer::time_point::max());
  }

  /// Wakes every coroutine that waits now.
  void Notify() { m_timer.cancel(); }

  /// Waits for the next Notify.
  asio::awaitable<void> Wait() {
    boost::system::error_code ec;
    co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
  }

 private:
  asio::steady_timer m_timer;
};

/// Waits for a time.
inline asio::awaitable<void> Sleep(std::chrono::steady_clock::duration span) {
  asio::steady_timer timer(co_await asio::this_coro::executor, span);
  boost::system::error_code ec;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

}  // namespace fescueramp
