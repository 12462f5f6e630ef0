#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/url.hpp>
#include <iostream>
#include <map>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_server.h"
#include "stand_ins/run_until_signal.h"

namespace fescueramp {
namespace {

/// Faults that the platform simulates.
struct Faults {
  bool m_down = false;              ///< Every call's connection is accepted, then aborted.
  std::int64_t m_slow_ms = 0;       ///< Delay added to every call, ms.
  std::int64_t m_lose_answers = 0;  ///< Every n-th write is applied without a response; 0 for none.
};
BOOST_DESCRIBE_STRUCT(Faults, (), (m_down, m_slow_ms, m_lose_answers))

/// Calls since the start, by kind.
struct Counters {
  std::int64_t m_reads = 0;
  std::int64_t m_writes = 0;
  std::int64_t m_watches = 0;
  std::int64_t m_host_lists = 0;
};
BOOST_DESCRIBE_STRUCT(Counters, (), (m_reads, m_writes, m_watches, m_host_lists))

/// Change of one host's state. The host list shows it after the configured lag.
struct HostChange {
  std::string m_name;
  bool m_leaving = false;
  std::chrono::steady_clock::time_point m_visible_from;
};

/// Key-value store with compare-and-swap, leases and watches, and a host list that lags behind changes.
class Platform {
 public:
  explicit Platform(std::int64_t lag_ms) : m_host_list_lag_ms(lag_ms) {}

  asio::awaitable<void> HandleRequest(std::shared_ptr<HttpExchange> exchange) {
    std::string body = co_await ReadWholeBody(*exchange);
    const auto url = boost::urls::parse_origin_form(exchange->Head().m_target);
    if (!url) {
      co_await Reply(exchange, 400, {});
      co_return;
    }
    const std::string path(url->encoded_path());
    std::map<std::string, std::string> query;
    for (const auto& param : url->params()) query[param.key] = param.value;
    if (path == "/control") {
      ApplyControlCommand(body);
      co_await Reply(exchange, 200, {});
      co_return;
    }
    if (path == "/counters") {
      co_await Reply(exchange, 200, json::serialize(ToJson(m_counters)));
      co_return;
    }
    if (m_faults.m_slow_ms > 0) co_await Sleep(std::chrono::milliseconds(m_faults.m_slow_ms));
    if (m_faults.m_down) {
      exchange->Abort();
      co_return;
    }
    if (path == "/hosts")
      co_await ListHosts(exchange);
    else if (path == "/lease")
      co_await GrantLease(exchange, query);
    else if (path.starts_with("/kv/"))
      co_await HandleKeyValue(exchange, path.substr(4), query, std::move(body));
    else
      co_await Reply(exchange, 404, {});
  }

 private:
  struct Value {
    std::int64_t m_version = 0;
    std::string m_text;
    std::chrono::steady_clock::time_point m_expires = std::chrono::steady_clock::time_point::max();
  };

  static constexpr std::size_t kMaxValueBytes = 1024 * 1024;

  asio::awaitable<void> Reply(std::shared_ptr<HttpExchange> exchange, std::int64_t status, std::string body,
                              std::int64_t version = 0) {
    std::vector<HeaderField> headers;
    headers.push_back({"Kv-Version", std::to_string(version)});
    co_await exchange->Send(status, std::move(headers), std::move(body));
  }

  void ApplyControlCommand(const std::string& body) {
    const json::value value = ParseJson(body.empty() ? "{}" : body);
    const json::object& object = value.as_object();
    if (object.contains("faults")) m_faults = FromJson<Faults>(object.at("faults"));
    if (object.contains("leaving")) {
      for (const auto& name : FromJson<std::vector<std::string>>(object.at("leaving")))
        AddHostChange(name, true);
    }
    if (object.contains("staying")) {
      for (const auto& name : FromJson<std::vector<std::string>>(object.at("staying")))
        AddHostChange(name, false);
    }
  }

  void AddHostChange(const std::string& name, bool leaving) {
    m_host_changes.push_back(
        {name, leaving, std::chrono::steady_clock::now() + std::chrono::milliseconds(m_host_list_lag_ms)});
  }

  asio::awaitable<void> ListHosts(std::shared_ptr<HttpExchange> exchange) {
    ++m_counters.m_host_lists;
    std::map<std::string, bool> leaving_by_host;
    std::int64_t version = 1;
    for (const auto& change : m_host_changes) {
      if (change.m_visible_from > std::chrono::steady_clock::now()) break;
      leaving_by_host[change.m_name] = change.m_leaving;
      ++version;
    }
    json::array leaving;
    for (const auto& [name, is_leaving] : leaving_by_host) {
      if (is_leaving) leaving.push_back(json::string(name));
    }
    json::object list;
    list["version"] = version;
    list["leaving"] = std::move(leaving);
    co_await Reply(exchange, 200, json::serialize(list));
  }

  asio::awaitable<void> GrantLease(std::shared_ptr<HttpExchange> exchange,
                                   std::map<std::string, std::string> query) {
    ++m_counters.m_writes;
    const std::int64_t id = ++m_last_version;
    m_leases[id] =
        std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoll(query["ttl_ms"].c_str()));
    co_await Reply(exchange, 200, std::to_string(id));
  }

  Value* FindUnexpired(const std::string& key) {
    const auto found = m_values.find(key);
    if (found == m_values.end()) return nullptr;
    if (found->second.m_expires > std::chrono::steady_clock::now()) return &found->second;
    m_values.erase(found);
    return nullptr;
  }

  asio::awaitable<void> HandleKeyValue(std::shared_ptr<HttpExchange> exchange, std::string key,
                                       std::map<std::string, std::string> query, std::string body) {
    const std::string& method = exchange->Head().m_method;
    if (method == "GET")
      co_await Read(exchange, std::move(key), std::move(query));
    else if (method == "PUT")
      co_await Write(exchange, key, query, std::move(body));
    else if (method == "DELETE")
      co_await Erase(exchange, key);
    else
      co_await Reply(exchange, 405, {});
  }

  asio::awaitable<void> Read(std::shared_ptr<HttpExchange> exchange, std::string key,
                             std::map<std::string, std::string> query) {
    if (query.contains("after")) {
      ++m_counters.m_watches;
      const std::int64_t after = std::atoll(query["after"].c_str());
      const auto until =
          std::chrono::steady_clock::now() + std::chrono::milliseconds(std::atoll(query["wait_ms"].c_str()));
      while (std::chrono::steady_clock::now() < until) {
        const Value* value = FindUnexpired(key);
        if (value && value->m_version > after) break;
        co_await Sleep(std::chrono::milliseconds(10));
        if (m_faults.m_down) {
          exchange->Abort();
          co_return;
        }
      }
    } else {
      ++m_counters.m_reads;
    }
    const Value* value = FindUnexpired(key);
    if (value)
      co_await Reply(exchange, 200, value->m_text, value->m_version);
    else
      co_await Reply(exchange, 404, {});
  }

  asio::awaitable<void> Write(std::shared_ptr<HttpExchange> exchange, const std::string& key,
                              std::map<std::string, std::string>& query, std::string body) {
    ++m_counters.m_writes;
    const Value* value = FindUnexpired(key);
    const std::int64_t version = value ? value->m_version : 0;
    if (body.size() > kMaxValueBytes) {
      co_await Reply(exchange, 413, {});
      co_return;
    }
    if (query.contains("expect") && std::atoll(query["expect"].c_str()) != version) {
      co_await Reply(exchange, 409, {}, version);
      co_return;
    }
    Value& target = m_values[key];
    target.m_version = ++m_last_version;
    target.m_text = std::move(body);
    if (query.contains("lease")) target.m_expires = m_leases[std::atoll(query["lease"].c_str())];
    if (m_faults.m_lose_answers > 0 && ++m_writes_since_lost_response >= m_faults.m_lose_answers) {
      m_writes_since_lost_response = 0;
      exchange->Abort();
      co_return;
    }
    co_await Reply(exchange, 200, {}, target.m_version);
  }

  asio::awaitable<void> Erase(std::shared_ptr<HttpExchange> exchange, const std::string& key) {
    ++m_counters.m_writes;
    const bool found = m_values.erase(key) > 0;
    co_await Reply(exchange, found ? 200 : 404, {});
  }

  std::int64_t m_host_list_lag_ms;
  Faults m_faults;
  Counters m_counters;
  std::map<std::string, Value> m_values;
  std::map<std::int64_t, std::chrono::steady_clock::time_point> m_leases;
  std::vector<HostChange> m_host_changes;
  std::int64_t m_last_version = 0;
  std::int64_t m_writes_since_lost_response = 0;
};

int Run(const std::string& address, std::uint16_t port, std::int64_t lag_ms) {
  asio::io_context io(1);
  Platform platform(lag_ms);
  HttpServerSettings settings;
  settings.m_address = address;
  settings.m_port = port;
  settings.m_header_timeout = std::chrono::seconds(600);
  settings.m_idle_timeout = std::chrono::seconds(600);
  settings.m_body_timeout = std::chrono::seconds(120);
  HttpServer server(io.get_executor(), settings, [&](std::shared_ptr<HttpExchange> exchange) {
    return platform.HandleRequest(std::move(exchange));
  });
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Simulated platform on loopback for tests: key-value store and host list."};
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::int64_t lag_ms = 2000;
  app.add_option("--address", address, "IP number");
  app.add_option("--port", port, "TCP port")->required();
  app.add_option("--lag-ms", lag_ms, "Lag of the host list, ms");
  CLI11_PARSE(app, argc, argv);
  return fescueramp::Run(address, port, lag_ms);
}
