#include "unit_tests/raw_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace fescueramp {

asio::awaitable<std::string> ExchangeBytes(std::uint16_t port, std::string bytes) {
  using tcp = asio::ip::tcp;
  tcp::socket socket(co_await asio::this_coro::executor);
  boost::system::error_code ec;
  const tcp::endpoint server(asio::ip::address_v4::loopback(), port);
  co_await socket.async_connect(server, asio::redirect_error(asio::use_awaitable, ec));
  co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ec));
  socket.shutdown(tcp::socket::shutdown_send, ec);
  std::string received;
  co_await asio::async_read(socket, asio::dynamic_buffer(received),
                            asio::redirect_error(asio::use_awaitable, ec));
  co_return received;
}

}  // namespace fescueramp
