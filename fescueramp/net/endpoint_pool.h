#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// A connection to an endpoint with its age.
struct EndpointConnection {
  EndpointConnection(const asio::any_io_executor& executor, const std::string& address, std::uint16_t port)
      : m_connection(executor, address, port) {}

  HttpConnection m_connection;
  std::chrono::steady_clock::time_point m_opened = std::chrono::steady_clock::now();
  std::chrono::steady_clock::time_point m_last_used = std::chrono::steady_clock::now();
  std::chrono::steady_clock::duration m_idle_limit{};  ///< Time for which it may stay unused.
  std::chrono::steady_clock::duration m_was_idle{};    ///< Time for which it was unused before it was taken.
  bool m_reused = false;  ///< Whether it carried a request before the current one.
};

/// Idle connections to endpoints.
class EndpointPool {
 public:
  explicit EndpointPool(const asio::any_io_executor& executor) : m_executor(executor) {}

  /// An idle connection used lately, or a new one that is not connected yet.
  /// @param fresh Whether only a connection used a moment ago will do.
  /// @param most_idle Idle time above which none is used.
  std::shared_ptr<EndpointConnection> Take(const std::string& address, std::uint16_t port, bool fresh,
                                           std::chrono::steady_clock::duration most_idle);

  /// Gives a connection back after a whole answer.
  /// @param kept Time for which the endpoint keeps it open unused; 0 when it did not say.
  void Return(const std::string& address, std::uint16_t port, std::shared_ptr<EndpointConnection> connection,
              std::chrono::milliseconds kept);

  /// Drops the idle connections to an endpoint: one of them went silent, so the others are not trusted.
  void Drop(const std::string& address, std::uint16_t port);

 private:
  using Key = std::pair<std::string, std::uint16_t>;

  asio::any_io_executor m_executor;
  std::map<Key, std::deque<std::shared_ptr<EndpointConnection>>> m_idle;
};

}  // namespace fescueramp
