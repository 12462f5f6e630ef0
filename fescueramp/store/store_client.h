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

/// Where the platform's service listens, and how long to wait for it.
struct PlatformSettings {
  std::string m_address = "127.0.0.1";
  std::int64_t m_port = 0;
  std::int64_t m_timeout_ms = 500;  ///< Longest wait for one answer, ms.
  std::int64_t m_watch_ms = 20000;  ///< Longest time one watch waits, ms.
  double m_calls_per_s = 100;       ///< Calls a second that this node may make; more wait their turn.
  double m_call_burst = 200;        ///< Calls above that rate at once.
};
BOOST_DESCRIBE_STRUCT(PlatformSettings, (),
                      (m_address, m_port, m_timeout_ms, m_watch_ms, m_calls_per_s, m_call_burst))

/// One read of the platform's list of hosts.
struct HostList {
  bool m_available = false;
  std::int64_t m_version = 0;
  std::vector<std::string> m_leaving;
};

/// Client of the platform's key-value store and host list. Counts its calls.
class StoreClient {
 public:
  StoreClient(const asio::any_io_executor& executor, const Clock& clock, PlatformSettings settings);

  asio::awaitable<StoreAnswered> Run(StoreGet request);
  asio::awaitable<StoreAnswered> Run(StorePut request);
  asio::awaitable<StoreAnswered> Run(StoreDelete request);

  /// Waits until the key's version is above `after`, or for the longest time of a watch.
  asio::awaitable<StoreAnswered> Watch(std::string key, std::int64_t after);

  /// Reads the platform's list of hosts.
  asio::awaitable<HostList> Hosts();

  std::int64_t Calls() const { return m_calls.Calls(); }
  bool Available() const { return m_calls.Available(); }

 private:
  PlatformSettings m_settings;
  PooledHttpClient m_calls;
};

}  // namespace fescueramp
