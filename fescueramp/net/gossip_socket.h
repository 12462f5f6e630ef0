#pragma once

#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "fescueramp/membership/member.h"
#include "fescueramp/net/async_condition.h"

namespace fescueramp {

/// UDP socket for authenticated datagrams between nodes.
class GossipSocket {
 public:
  using Handler = std::function<void(const std::string& address, std::int64_t port, GossipMessage message)>;

  /// @param keys The first key signs; all of them verify.
  /// @throws boost::system::system_error when the address can't be bound.
  GossipSocket(const asio::any_io_executor& executor, const std::string& address, std::uint16_t port,
               std::vector<std::string> keys, Handler handler);

  /// Sends a datagram without waiting; it is lost when the socket's buffer is full.
  void Send(const std::string& address, std::int64_t port, const GossipMessage& message);

  /// Bytes sent, including IP and UDP headers.
  std::int64_t BytesSent() const { return m_bytes_sent; }
  /// Bytes received, including IP and UDP headers.
  std::int64_t BytesReceived() const { return m_bytes_received; }
  /// Number of datagrams that were malformed or failed authentication.
  std::int64_t Refused() const { return m_refused; }

  /// Replaces the keys. Datagrams signed with a key that remains are still accepted.
  void SetKeys(std::vector<std::string> keys) { m_keys = std::move(keys); }

 private:
  asio::awaitable<void> ReadLoop();

  asio::ip::udp::socket m_socket;
  std::vector<std::string> m_keys;
  Handler m_handler;
  std::int64_t m_bytes_sent = 0;
  std::int64_t m_bytes_received = 0;
  std::int64_t m_refused = 0;
};

}  // namespace fescueramp
