#include "fescueramp/net/endpoint_pool.h"

namespace fescueramp {
namespace {

constexpr auto kMaxIdleTime = std::chrono::seconds(30);
constexpr auto kFreshIdleTime = std::chrono::seconds(2);
constexpr std::size_t kMaxIdlePerEndpoint = 32;

}  // namespace

std::shared_ptr<EndpointConnection> EndpointPool::Take(const std::string& address, std::uint16_t port,
                                                       bool fresh) {
  auto& idle = m_idle[{address, port}];
  const auto now = std::chrono::steady_clock::now();
  while (!idle.empty() && now - idle.front()->m_last_used > kMaxIdleTime) idle.pop_front();
  while (!idle.empty() && !idle.back()->m_connection.StillOpen()) idle.pop_back();
  // The one used last is the likeliest to work.
  if (!idle.empty() && (!fresh || now - idle.back()->m_last_used < kFreshIdleTime)) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    connection->m_reused = true;
    return connection;
  }
  return std::make_shared<EndpointConnection>(m_executor, address, port);
}

void EndpointPool::Return(const std::string& address, std::uint16_t port,
                          std::shared_ptr<EndpointConnection> connection) {
  if (!connection->m_connection.Reusable()) return;
  connection->m_last_used = std::chrono::steady_clock::now();
  auto& idle = m_idle[{address, port}];
  idle.push_back(std::move(connection));
  if (idle.size() > kMaxIdlePerEndpoint) idle.pop_front();
}

void EndpointPool::Drop(const std::string& address, std::uint16_t port) { m_idle.erase({address, port}); }

}  // namespace fescueramp
