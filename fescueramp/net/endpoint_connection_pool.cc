#include "fescueramp/net/endpoint_connection_pool.h"

namespace fescueramp {
namespace {

constexpr std::chrono::milliseconds kDefaultIdleTimeout{8000};  ///< Used when the endpoint sends no limit.
constexpr double kIdleTimeoutShare = 0.8;  ///< Share of the limit; endpoints may close early.
constexpr double kFreshIdleShare = 0.5;    ///< Share of the idle limit within which a connection is fresh.
constexpr std::size_t kMaxIdlePerEndpoint = 32;
constexpr std::size_t kMaxRecentRequestIds = 8;  ///< Per connection; few requests pass before a retry.

}  // namespace

std::shared_ptr<EndpointConnection> EndpointConnectionPool::Take(const std::string& address,
                                                                 std::uint16_t port,
                                                                 const std::string& request,
                                                                 bool require_fresh,
                                                                 BootClock::duration max_idle) {
  std::shared_ptr<EndpointConnection> connection =
      TakeIdle(m_idle[{address, port}], request, require_fresh, max_idle);
  if (!connection) connection = std::make_shared<EndpointConnection>(m_executor, address, port);
  connection->m_recent_request_ids.push_back(request);
  if (connection->m_recent_request_ids.size() > kMaxRecentRequestIds)
    connection->m_recent_request_ids.pop_front();
  return connection;
}

std::shared_ptr<EndpointConnection> EndpointConnectionPool::TakeIdle(IdleConnections& idle,
                                                                     const std::string& request,
                                                                     bool require_fresh,
                                                                     BootClock::duration max_idle) {
  const auto now = BootClock::now();
  while (!idle.empty() && now - idle.front()->m_last_used > idle.front()->m_idle_limit) idle.pop_front();
  // Search from the most recently used connection, which is the most likely to work.
  for (std::size_t index = idle.size(); index-- > 0;) {
    const std::shared_ptr<EndpointConnection> connection = idle[index];
    const auto idle_time = now - connection->m_last_used;
    // All connections before this one have been idle for longer.
    if (idle_time > max_idle || (require_fresh && idle_time >= connection->m_idle_limit * kFreshIdleShare))
      return nullptr;
    if (connection->CarriedRecently(request)) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    if (!connection->m_connection.StillOpen()) continue;
    connection->m_reused = true;
    connection->m_idle_before_use = idle_time;
    return connection;
  }
  return nullptr;
}

void EndpointConnectionPool::Return(const std::string& address, std::uint16_t port,
                                    std::shared_ptr<EndpointConnection> connection,
                                    std::chrono::milliseconds keep_alive) {
  if (!connection->m_connection.Reusable()) return;
  connection->m_last_used = BootClock::now();
  const auto limit = keep_alive.count() > 0 ? keep_alive : kDefaultIdleTimeout;
  connection->m_idle_limit = std::chrono::duration_cast<BootClock::duration>(limit * kIdleTimeoutShare);
  auto& idle = m_idle[{address, port}];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdlePerEndpoint) idle.pop_front();
}

void EndpointConnectionPool::Drop(const std::string& address, std::uint16_t port) {
  m_idle.erase({address, port});
}

}  // namespace fescueramp
