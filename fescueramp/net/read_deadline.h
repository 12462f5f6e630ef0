#pragma once

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>

namespace fescueramp {

namespace asio = boost::asio;

/// Cancels one read after a time. A timeout of the stream would close the connection instead, on which the
/// responses to earlier requests are due.
class ReadDeadline {
 public:
  ReadDeadline(const asio::any_io_executor& executor, std::chrono::steady_clock::duration span)
      : m_signal(std::make_shared<asio::cancellation_signal>()), m_timer(executor, span) {
    m_timer.async_wait([weak = std::weak_ptr(m_signal)](const boost::system::error_code& ec) {
      const auto signal = weak.lock();
      if (!ec && signal) signal->emit(asio::cancellation_type::terminal);
    });
  }

  /// Whether the time has passed. A read that starts later is not cancelled.
  bool Expired() const { return m_timer.expiry() <= std::chrono::steady_clock::now(); }

  /// Completion token of the read. A read that is cancelled fails with operation_aborted.
  auto Token(boost::system::error_code& ec) {
    return asio::bind_cancellation_slot(m_signal->slot(), asio::redirect_error(asio::use_awaitable, ec));
  }

 private:
  std::shared_ptr<asio::cancellation_signal> m_signal;
  asio::steady_timer m_timer;
};

}  // namespace fescueramp
