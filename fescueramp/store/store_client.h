#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/store/pooled_http_client.h"
#include "fescueramp/store/store_types.h"

namespace fescueramp {

/// Address of the platform's service, timeouts and rate limit of the calls to it.
struct PlatformSettings {
  std::string m_address = "127.0.0.1";
  std::int64_t m_port = 0;
  std::int64_t m_timeout_ms = 500;  ///< Timeout of one call, ms.
  std::int64_t m_watch_ms = 20000;  ///< Maximum duration of one watch, ms.
  double m_calls_per_s = 100;  ///< Maximum rate of calls by this node, per second; further calls are delayed.
  double m_call_burst = 200;   ///< Calls that may exceed the rate at once.
};
BOOST_DESCRIBE_STRUCT(PlatformSettings, (),
                      (m_address, m_port, m_timeout_ms, m_watch_ms, m_calls_per_s, m_call_burst))

/// Result of one read of the platform's list of hosts.
struct HostList {
  bool m_available = false;  ///< False if the read failed; the other members are not set then.
  std::int64_t m_version = 0;
  std::vector<std::string> m_leaving;  ///< Names of the hosts that are leaving the platform.
};

/// Client of the platform's key-value store and host list.
class StoreClient {
 public:
  StoreClient(const asio::any_io_executor& executor, const Clock& clock, PlatformSettings settings);

  /// Runs one operation and returns its response; kUnavailable if there is none.
  asio::awaitable<StoreResponded> Run(StoreGet request);
  asio::awaitable<StoreResponded> Run(StorePut request);
  asio::awaitable<StoreResponded> Run(StoreDelete request);

  /// Waits until the key's version exceeds `after`, at most for the maximum duration of a watch.
  asio::awaitable<StoreResponded> Watch(std::string key, std::int64_t after);

  /// Reads the platform's list of hosts.
  asio::awaitable<HostList> Hosts();

  /// Number of calls made.
  std::int64_t Calls() const { return m_http.Calls(); }

  /// Whether the last call got a response with a status other than 503.
  bool Available() const { return m_http.Available(); }

 private:
  PlatformSettings m_settings;
  PooledHttpClient m_http;
};

}  // namespace fescueramp
