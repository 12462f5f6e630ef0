#include "fescueramp/store/pooled_http_client.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::size_t kMaxIdleConnections = 4;  ///< Idle connections that are kept open.
constexpr std::int64_t kStatusUnavailable = 503;

}  // namespace

PooledHttpClient::PooledHttpClient(const asio::any_io_executor& executor, const Clock& clock,
                                   PooledHttpClientSettings settings)
    : m_executor(executor), m_clock(clock), m_settings(std::move(settings)) {}

asio::awaitable<void> PooledHttpClient::WaitForBudget() {
  while (!m_call_budget.Take(m_clock.Now(), m_settings.m_calls_per_s, m_settings.m_call_burst)) {
    const Duration wait = m_call_budget.UntilNext(m_settings.m_calls_per_s);
    co_await Sleep(std::chrono::duration_cast<std::chrono::milliseconds>(wait) +
                   std::chrono::milliseconds(1));
  }
}

asio::awaitable<HttpResponse> PooledHttpClient::Call(std::string method, std::string target, std::string body,
                                                     std::chrono::milliseconds timeout) {
  co_await WaitForBudget();
  ++m_calls;
  std::unique_ptr<HttpConnection> connection;
  while (!m_idle_connections.empty() && !connection) {
    connection = std::move(m_idle_connections.back());
    m_idle_connections.pop_back();
    if (!connection->StillOpen()) connection.reset();
  }
  if (!connection) {
    connection = std::make_unique<HttpConnection>(m_executor, m_settings.m_address, m_settings.m_port);
  }
  RequestHead head;
  head.m_method = std::move(method);
  head.m_target = std::move(target);
  if (!body.empty()) head.m_headers.push_back({"Content-Type", "application/json"});
  HttpResponse response;
  try {
    co_await connection->Connect(std::min(m_settings.m_connect_timeout, timeout));
    response = co_await connection->Request(std::move(head), std::move(body), timeout, m_settings.m_response);
    m_available = response.m_status != kStatusUnavailable;
    if (connection->Reusable() && m_idle_connections.size() < kMaxIdleConnections)
      m_idle_connections.push_back(std::move(connection));
  } catch (const HttpError& error) {
    m_available = false;
    m_last_problem = error.what();
    response.m_status = 0;
    // The cause of the error may affect the other idle connections too.
    m_idle_connections.clear();
  }
  co_return response;
}

}  // namespace fescueramp
