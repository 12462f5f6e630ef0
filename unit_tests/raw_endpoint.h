#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <ostream>
#include <string>

namespace fescueramp {

namespace asio = boost::asio;

/// What the endpoint does after it has written its bytes.
enum class After { kKeepsOpen, kCloses, kResets };

std::ostream& operator<<(std::ostream& out, After after);

/// Server on loopback that reads one request and then writes given bytes.
class RawEndpoint {
 public:
  /// Repeated bytes after which the connection is closed, so that a client without a limit ends.
  static constexpr std::size_t kMaxRepeatedBytes = 64 * 1024 * 1024;

  /// @param first Bytes written after the request.
  /// @param repeated Bytes written repeatedly until the client closes the connection; may be empty.
  RawEndpoint(std::string first, std::string repeated, After after = After::kKeepsOpen);

  /// Runs a client coroutine to completion.
  void Await(asio::awaitable<void> work);

  asio::io_context& Io() { return m_io; }
  std::uint16_t Port() const { return m_acceptor.local_endpoint().port(); }

  /// Repeated bytes that were written so far.
  std::size_t RepeatedBytes() const { return m_repeated_bytes; }

 private:
  asio::awaitable<void> Serve();

  asio::io_context m_io;
  asio::ip::tcp::acceptor m_acceptor;
  std::string m_first;
  std::string m_repeated;
  std::size_t m_repeated_bytes = 0;
  After m_after;
};

}  // namespace fescueramp
