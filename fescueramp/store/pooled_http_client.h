#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/core/token_bucket.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// Longest body of a response of a store, bytes. Values have up to 1 MiB, and lists are read page by page.
inline constexpr std::size_t kMaxStoreResponseBytes = 8 * 1024 * 1024;

/// Address of a store and limits of the calls to it.
struct PooledHttpClientSettings {
  std::string m_address;
  std::uint16_t m_port = 0;
  double m_calls_per_s = 100;  ///< Maximum rate of calls by this node, per second; further calls are delayed.
  double m_call_burst = 200;   ///< Calls that may exceed the rate at once.
  ResponseLimits m_response{kMaxStoreResponseBytes, std::chrono::seconds(10)};  ///< Of one call.
  /// Longest time for a new connection, if it is shorter than the timeout of the call.
  std::chrono::milliseconds m_connect_timeout = std::chrono::milliseconds::max();
};

/// HTTP client of a store that reuses connections and limits the rate of calls.
class PooledHttpClient {
 public:
  PooledHttpClient(const asio::any_io_executor& executor, const Clock& clock,
                   PooledHttpClientSettings settings);

  /// Makes one call. Without a response, or with one beyond the limits, the status is 0; the call may have
  /// taken effect or may still do so.
  asio::awaitable<HttpResponse> Call(std::string method, std::string target, std::string body,
                                     std::chrono::milliseconds timeout);

  /// Number of calls made.
  std::int64_t Calls() const { return m_calls; }

  /// Whether the last call got a response with a status other than 503.
  bool Available() const { return m_available; }

  /// Why the last call without a response got none; empty if all calls got one.
  const std::string& LastProblem() const { return m_last_problem; }

 private:
  asio::awaitable<void> WaitForBudget();

  asio::any_io_executor m_executor;
  const Clock& m_clock;
  PooledHttpClientSettings m_settings;
  std::vector<std::unique_ptr<HttpConnection>> m_idle_connections;
  TokenBucket m_call_budget;
  std::int64_t m_calls = 0;
  bool m_available = true;
  std::string m_last_problem;
};

}  // namespace fescueramp
