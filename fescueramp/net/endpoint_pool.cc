#include "fescueramp/net/endpoint_pool.h"

namespace fescueramp {
namespace {

constexpr std::chrono::milliseconds kUnsaidIdleTime{8000};  ///< Idle time where the endpoint names none.
constexpr double kIdleShare = 0.8;   ///< Share of an endpoint's own limit that is used; it may close early.
constexpr double kFreshShare = 0.5;  ///< Share of the idle time after which a connection is not fresh.
constexpr std::size_t kMaxIdlePerEndpoint = 32;

}  // namespace

std::shared_ptr<EndpointConnection> EndpointPool::Take(const std::string& address, std::uint16_t port,
                                                       bool fresh,
                                                       std::chrono::steady_clock::duration most_idle) {
  auto& idle = m_idle[{address, port}];
  const auto now = std::chrono::steady_clock::now();
  while (!idle.empty() && now - idle.front()->m_last_used > idle.front()->m_idle_limit) idle.pop_front();
  while (!idle.empty() && !idle.back()->m_connection.StillOpen()) idle.pop_back();
  // The one used last is the likeliest to work.
  const bool usable = [&] {
    if (idle.empty()) return false;
    const auto unused = now - idle.back()->m_last_used;
    return unused <= most_idle && (!fresh || unused < idle.back()->m_idle_limit * kFreshShare);
  }();
  if (!usable) return std::make_shared<EndpointConnection>(m_executor, address, port);
  auto connection = std::move(idle.back());
  idle.pop_back();
  connection->m_reused = true;
  connection->m_was_idle = now - connection->m_last_used;
  return connection;
}

void EndpointPool::Return(const std::string& address, std::uint16_t port,
                          std::shared_ptr<EndpointConnection> connection, std::chrono::milliseconds kept) {
  if (!connection->m_connection.Reusable()) return;
  connection->m_last_used = std::chrono::steady_clock::now();
  const auto limit = kept.count() > 0 ? kept : kUnsaidIdleTime;
  connection->m_idle_limit =
      std::chrono::duration_cast<std::chrono::steady_clock::duration>(limit * kIdleShare);
  auto& idle = m_idle[{address, port}];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdlePerEndpoint) idle.pop_front();
}

void EndpointPool::Drop(const std::string& address, std::uint16_t port) { m_idle.erase({address, port}); }

}  // namespace fescueramp
