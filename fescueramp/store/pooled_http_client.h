#pragma once

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/core/token_bucket.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// Where a store listens, and how it may be used.
struct PooledHttpClientSettings {
  std::string m_address;
  std::uint16_t m_port = 0;
  double m_calls_per_s = 100;  ///< Calls a second that this node may make; more wait their turn.
  double m_call_burst = 200;   ///< Calls above that rate at once.
};

/// HTTP calls of a store over kept connections, within a budget of calls. Counts them.
class PooledHttpClient {
 public:
  PooledHttpClient(const asio::any_io_executor& executor, const Clock& clock,
                   PooledHttpClientSettings settings);

  /// Makes one call. Without an answer the status is 0: the call may have taken effect, or may yet do so.
  asio::awaitable<HttpResponse> Call(std::string method, std::string target, std::string body,
                                     std::chrono::milliseconds timeout);

  std::int64_t Calls() const { return m_calls; }

  /// Whether the last call was answered, with another status than "unavailable".
  bool Available() const { return m_available; }

 private:
  asio::awaitable<void> WaitForBudget();

  asio::any_io_executor m_executor;
  const Clock& m_clock;
  PooledHttpClientSettings m_settings;
  std::vector<std::unique_ptr<HttpConnection>> m_idle;
  TokenBucket m_budget;
  std::int64_t m_calls = 0;
  bool m_available = true;
};

}  // namespace fescueramp
