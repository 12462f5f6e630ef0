#include "unit_tests/raw_endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace fescueramp {

using tcp = asio::ip::tcp;

std::ostream& operator<<(std::ostream& out, After after) {
  return out << (after == After::kCloses ? "closed" : "reset");
}

RawEndpoint::RawEndpoint(std::string first, std::string repeated, After after, std::size_t max_repeated_bytes)
    : m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      m_first(std::move(first)),
      m_repeated(std::move(repeated)),
      m_max_repeated_bytes(max_repeated_bytes),
      m_after(after) {
  asio::co_spawn(m_io, Serve(), asio::detached);
}

void RawEndpoint::Await(asio::awaitable<void> work) {
  bool done = false;
  asio::co_spawn(m_io, std::move(work), [&](std::exception_ptr error) {
    done = true;
    if (error) std::rethrow_exception(error);
  });
  while (!done) m_io.run_one();
}

asio::awaitable<void> RawEndpoint::Serve() {
  boost::system::error_code ec;
  tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
  std::string request(4096, '\0');
  co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, ec));
  co_await asio::async_write(socket, asio::buffer(m_first), asio::redirect_error(asio::use_awaitable, ec));
  while (!ec && !m_repeated.empty()) {
    if (m_repeated_bytes >= m_max_repeated_bytes) co_return socket.close();
    m_repeated_bytes += co_await asio::async_write(socket, asio::buffer(m_repeated),
                                                   asio::redirect_error(asio::use_awaitable, ec));
  }
  if (m_after == After::kResets) socket.set_option(asio::socket_base::linger(true, 0));
  if (m_after != After::kKeepsOpen) co_return socket.close();
  // Keep the connection open until the client closes it.
  while (!ec) {
    co_await socket.async_read_some(asio::buffer(request), asio::redirect_error(asio::use_awaitable, ec));
  }
}

}  // namespace fescueramp
