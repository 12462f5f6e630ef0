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

  /// @param keys The first signs; all are accepted. @throws boost::system::system_error when the port is
  /// taken.
  GossipSocket(const asio::any_io_executor& executor, const std::string& address, std::uint16_t port,
               std::vector<std::string> keys, Handler handler);

  void Send(const std::string& address, std::int64_t port, const GossipMessage& message);

  std::int64_t BytesSent() const { return m_bytes_sent; }
  std::int64_t BytesReceived() const { return m_bytes_received; }
  std::int64_t Refused() const { return m_refused; }

  /// Replaces the keys, without losing datagrams made with keys that stay.
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
