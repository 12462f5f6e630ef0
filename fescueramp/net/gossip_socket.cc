#include "fescueramp/net/gossip_socket.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fescueramp/membership/gossip_codec.h"

namespace fescueramp {
namespace {

using udp = asio::ip::udp;

constexpr std::size_t kMaxDatagramBytes = 64 * 1024;
constexpr std::int64_t kIpUdpHeaderBytes = 28;

}  // namespace

GossipSocket::GossipSocket(const asio::any_io_executor& executor, const std::string& address,
                           std::uint16_t port, std::vector<std::string> keys, Handler handler)
    : m_socket(executor, udp::endpoint(asio::ip::make_address(address), port)),
      m_keys(std::move(keys)),
      m_handler(std::move(handler)) {
  m_socket.non_blocking(true);
  asio::co_spawn(executor, ReadLoop(), asio::detached);
}

void GossipSocket::Send(const std::string& address, std::int64_t port, const GossipMessage& message) {
  const std::string datagram = EncodeGossip(message, m_keys.front());
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(address, ec);
  if (ec) return;
  // Errors are ignored: gossip tolerates lost datagrams.
  m_socket.send_to(asio::buffer(datagram), udp::endpoint(ip, static_cast<std::uint16_t>(port)), 0, ec);
  m_bytes_sent += static_cast<std::int64_t>(datagram.size()) + kIpUdpHeaderBytes;
}

asio::awaitable<void> GossipSocket::ReadLoop() {
  std::string buffer(kMaxDatagramBytes, '\0');
  while (true) {
    udp::endpoint sender;
    boost::system::error_code ec;
    const std::size_t size = co_await m_socket.async_receive_from(
        asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted || ec == asio::error::bad_descriptor) break;
    if (ec) continue;
    m_bytes_received += static_cast<std::int64_t>(size) + kIpUdpHeaderBytes;
    auto message = DecodeGossip(std::string_view(buffer).substr(0, size), m_keys);
    if (message)
      m_handler(sender.address().to_string(), sender.port(), std::move(*message));
    else
      ++m_refused;
  }
}

}  // namespace fescueramp
