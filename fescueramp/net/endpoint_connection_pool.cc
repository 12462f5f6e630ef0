#include "fescueramp/net/endpoint_connection_pool.h"

namespace fescueramp {
namespace {

constexpr std::chrono::milliseconds kUnsaidIdleTime{8000};  ///< Idle time where the endpoint names none.
constexpr double kIdleShare = 0.8;   ///< Share of an endpoint's own limit that is used; it may close early.
constexpr double kFreshShare = 0.5;  ///< Share of the idle time after which a connection is not fresh.
constexpr std::size_t kMaxIdlePerEndpoint = 32;
constexpr std::size_t kMostCarried = 8;  ///< Requests remembered; retries follow within few others.

}  // namespace

std::shared_ptr<EndpointConnection> EndpointConnectionPool::Take(const std::string& address,
                                                                 std::uint16_t port,
                                                                 const std::string& request, bool fresh,
                                                                 BootClock::duration most_idle) {
  std::shared_ptr<EndpointConnection> connection =
      TakeIdle(m_idle[{address, port}], request, fresh, most_idle);
  if (!connection) connection = std::make_shared<EndpointConnection>(m_executor, address, port);
  connection->m_carried.push_back(request);
  if (connection->m_carried.size() > kMostCarried) connection->m_carried.pop_front();
  return connection;
}

std::shared_ptr<EndpointConnection> EndpointConnectionPool::TakeIdle(Idle& idle, const std::string& request,
                                                                     bool fresh,
                                                                     BootClock::duration most_idle) {
  const auto now = BootClock::now();
  while (!idle.empty() && now - idle.front()->m_last_used > idle.front()->m_idle_limit) idle.pop_front();
  // The one used last is the likeliest to work.
  for (std::size_t index = idle.size(); index-- > 0;) {
    const std::shared_ptr<EndpointConnection> connection = idle[index];
    const auto unused = now - connection->m_last_used;
    // Those before it were unused for longer.
    if (unused > most_idle || (fresh && unused >= connection->m_idle_limit * kFreshShare)) return nullptr;
    if (connection->Carried(request)) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    if (!connection->m_connection.StillOpen()) continue;
    connection->m_reused = true;
    connection->m_idle_before_use = unused;
    return connection;
  }
  return nullptr;
}

void EndpointConnectionPool::Return(const std::string& address, std::uint16_t port,
                                    std::shared_ptr<EndpointConnection> connection,
                                    std::chrono::milliseconds kept) {
  if (!connection->m_connection.Reusable()) return;
  connection->m_last_used = BootClock::now();
  const auto limit = kept.count() > 0 ? kept : kUnsaidIdleTime;
  connection->m_idle_limit = std::chrono::duration_cast<BootClock::duration>(limit * kIdleShare);
  auto& idle = m_idle[{address, port}];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdlePerEndpoint) idle.pop_front();
}

void EndpointConnectionPool::Drop(const std::string& address, std::uint16_t port) {
  m_idle.erase({address, port});
}

}  // namespace fescueramp
