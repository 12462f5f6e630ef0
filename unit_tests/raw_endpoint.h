#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <limits>
#include <ostream>
#include <string>

namespace fescueramp {

namespace asio = boost::asio;

/// Limit of repeated bytes for tests of memory: a client without a limit of its own ends before it fills the
/// memory of the machine.
inline constexpr std::size_t kMemoryTestBytes = 64 * 1024 * 1024;

/// What the endpoint does after it has written its bytes.
enum class After { kKeepsOpen, kCloses, kResets };

std::ostream& operator<<(std::ostream& out, After after);

/// Server on loopback that reads one request and then writes given bytes.
class RawEndpoint {
 public:
  /// @param first Bytes written after the request.
  /// @param repeated Bytes written repeatedly until the client closes the connection; may be empty.
  /// @param max_repeated_bytes Repeated bytes after which the connection is closed.
  RawEndpoint(std::string first, std::string repeated, After after = After::kKeepsOpen,
              std::size_t max_repeated_bytes = std::numeric_limits<std::size_t>::max());

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
  std::size_t m_max_repeated_bytes;
  After m_after;
};

}  // namespace fescueramp
