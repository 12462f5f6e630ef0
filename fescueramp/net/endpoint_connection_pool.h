#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// A connection to an endpoint with its age and what it carried.
struct EndpointConnection {
  EndpointConnection(const asio::any_io_executor& executor, const std::string& address, std::uint16_t port)
      : m_connection(executor, address, port) {}

  /// Whether a second copy of an answer to a request may still come on it.
  bool Carried(const std::string& request) const {
    return std::find(m_carried.begin(), m_carried.end(), request) != m_carried.end();
  }

  HttpConnection m_connection;
  std::deque<std::string> m_carried;  ///< Ids of the requests that it carried last.
  BootClock::time_point m_opened = BootClock::now();
  BootClock::time_point m_last_used = BootClock::now();
  BootClock::duration m_idle_limit{};       ///< Time for which it may stay unused.
  BootClock::duration m_idle_before_use{};  ///< Time for which it was unused before it was taken.
  bool m_reused = false;                    ///< Whether it carried a request before the current one.
};

/// Idle connections to endpoints.
class EndpointConnectionPool {
 public:
  explicit EndpointConnectionPool(const asio::any_io_executor& executor) : m_executor(executor) {}

  /// An idle connection used lately, or a new one that is not connected yet. None that carried the request
  /// before: a second copy of the answer to an earlier attempt could not be told from the new answer.
  /// @param request Id by which the endpoint tells whose answer it is.
  /// @param fresh Whether only a connection used a moment ago will do.
  /// @param most_idle Idle time above which none is used.
  std::shared_ptr<EndpointConnection> Take(const std::string& address, std::uint16_t port,
                                           const std::string& request, bool fresh,
                                           BootClock::duration most_idle);

  /// Gives a connection back after a whole answer.
  /// @param kept Time for which the endpoint keeps it open unused; 0 when it did not say.
  void Return(const std::string& address, std::uint16_t port, std::shared_ptr<EndpointConnection> connection,
              std::chrono::milliseconds kept);

  /// Drops the idle connections to an endpoint: one of them went silent, so the others are not trusted.
  void Drop(const std::string& address, std::uint16_t port);

 private:
  using Key = std::pair<std::string, std::uint16_t>;
  using Idle = std::deque<std::shared_ptr<EndpointConnection>>;

  std::shared_ptr<EndpointConnection> TakeIdle(Idle& idle, const std::string& request, bool fresh,
                                               BootClock::duration most_idle);

  asio::any_io_executor m_executor;
  std::map<Key, Idle> m_idle;
};

}  // namespace fescueramp
