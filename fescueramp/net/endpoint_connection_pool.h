#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// A connection to an endpoint, with its idle times and the requests it recently carried.
struct EndpointConnection {
  EndpointConnection(const asio::any_io_executor& executor, const std::string& address, std::uint16_t port)
      : m_connection(executor, address, port) {}

  /// Whether a duplicate response to an earlier attempt of the request may still arrive on this connection.
  bool CarriedRecently(const std::string& request) const {
    return std::find(m_recent_request_ids.begin(), m_recent_request_ids.end(), request) !=
           m_recent_request_ids.end();
  }

  HttpConnection m_connection;
  std::deque<std::string> m_recent_request_ids;  ///< IDs of the last requests sent on it, oldest first.
  BootClock::time_point m_opened = BootClock::now();
  BootClock::time_point m_last_used = BootClock::now();
  BootClock::duration m_idle_limit{};       ///< Longest time that it may stay idle.
  BootClock::duration m_idle_before_use{};  ///< Idle time before it was taken from the pool.
  bool m_reused = false;                    ///< Whether it carried a request before the current one.
};

/// Idle connections to endpoints.
class EndpointConnectionPool {
 public:
  explicit EndpointConnectionPool(const asio::any_io_executor& executor) : m_executor(executor) {}

  /// Takes the most recently used idle connection, or a new one that is not connected yet. Skips connections
  /// that carried the request before: a duplicate response to an earlier attempt could not be told from the
  /// response to the new one.
  /// @param request ID that the endpoint's response carries.
  /// @param require_fresh Whether to skip connections idle for half of their limit or longer.
  /// @param max_idle Longest idle time of a connection that is reused.
  std::shared_ptr<EndpointConnection> Take(const std::string& address, std::uint16_t port,
                                           const std::string& request, bool require_fresh,
                                           BootClock::duration max_idle);

  /// Returns a connection to the pool after a complete response; drops it unless it is reusable.
  /// @param keep_alive Idle time after which the endpoint closes it; 0 when unknown.
  void Return(const std::string& address, std::uint16_t port, std::shared_ptr<EndpointConnection> connection,
              std::chrono::milliseconds keep_alive);

  /// Drops the idle connections to an endpoint. For use when one of them became unresponsive, since the
  /// others are likely to be broken too.
  void Drop(const std::string& address, std::uint16_t port);

 private:
  using Key = std::pair<std::string, std::uint16_t>;
  using IdleConnections = std::deque<std::shared_ptr<EndpointConnection>>;

  std::shared_ptr<EndpointConnection> TakeIdle(IdleConnections& idle, const std::string& request,
                                               bool require_fresh, BootClock::duration max_idle);

  asio::any_io_executor m_executor;
  std::map<Key, IdleConnections> m_idle;
};

}  // namespace fescueramp
