#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <deque>
#include <fstream>
#include <iostream>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_server.h"
#include "stand_ins/run_until_signal.h"

namespace fescueramp {
namespace {

/// Faults that one endpoint simulates.
struct EndpointFaults {
  double m_error_rate = 0;     ///< Share of requests that fail with status 500; health checks pass.
  double m_slow_factor = 1;    ///< Factor on the service time.
  std::int64_t m_flap_ms = 0;  ///< Period, ms; the faults are active for half of it. 0: always active.
  std::string m_crash_on;      ///< The endpoint crashes on requests whose target contains this; empty: none.
  std::int64_t m_restart_ms = 3000;  ///< Time from a crash until the endpoint listens again, ms.
  bool m_draining = false;  ///< Requests are rejected and the response announces that the endpoint drains.
  double m_shed_rate = 0;   ///< Share of requests that are rejected without running.
  bool m_hang = false;      ///< Requests hang until the caller closes; health checks pass.
  std::optional<double> m_limit_per_s;  ///< Request limit that responses state; it is not enforced.
  bool m_leaving = false;               ///< Responses state that the endpoint is leaving; it serves on.
  std::optional<double> m_pause_s;      ///< Pause that rejections ask for, seconds.
};
BOOST_DESCRIBE_STRUCT(EndpointFaults, (),
                      (m_error_rate, m_slow_factor, m_flap_ms, m_crash_on, m_restart_ms, m_draining,
                       m_shed_rate, m_hang, m_limit_per_s, m_leaving, m_pause_s))

/// Log of the requests that the endpoints ran, against which tests check responses. Flushed after each line.
class RunLog {
 public:
  explicit RunLog(const std::string& path) : m_file(path, std::ios::app) {}

  void Write(const std::string& event, std::size_t endpoint, const RequestHead& head, std::int64_t status) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const json::object line{{"t_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
                            {"what", event},
                            {"endpoint", endpoint},
                            {"request_id", FindHeader(head.m_headers, "fescue-request-id")},
                            {"key", FindHeader(head.m_headers, "idempotency-key")},
                            {"method", head.m_method},
                            {"target", head.m_target},
                            {"status", status}};
    m_file << json::serialize(line) << std::endl;
  }

 private:
  std::ofstream m_file;
};

/// One endpoint with a fixed number of slots. Requests above that number wait in a FIFO queue.
class EndpointStandIn {
 public:
  EndpointStandIn(asio::io_context& io, std::size_t index, const std::string& address, std::uint16_t port,
                  std::int64_t slots, std::chrono::milliseconds one_way_delay, RunLog* log,
                  std::uint32_t seed)
      : m_io(io),
        m_index(index),
        m_address(address),
        m_port(port),
        m_slots(slots),
        m_one_way_delay(one_way_delay),
        m_log(log),
        m_random(seed) {
    Listen();
  }

  void SetFaults(const EndpointFaults& faults) {
    m_faults = faults;
    m_faults_since = std::chrono::steady_clock::now();
  }

 private:
  void Listen() {
    HttpServerSettings settings;
    settings.m_address = m_address;
    settings.m_port = m_port;
    settings.m_header_timeout = std::chrono::seconds(600);
    settings.m_idle_timeout = std::chrono::seconds(600);
    settings.m_body_timeout = std::chrono::seconds(120);
    m_server = std::make_unique<HttpServer>(
        m_io.get_executor(), settings,
        [this](std::shared_ptr<HttpExchange> exchange) { return HandleRequest(std::move(exchange)); });
  }

  void AddStatements(std::vector<HeaderField>& headers) const {
    if (m_faults.m_limit_per_s)
      headers.push_back({"Endpoint-Limit", std::to_string(*m_faults.m_limit_per_s)});
    if (m_faults.m_draining || m_faults.m_leaving) headers.push_back({"Endpoint-Draining", "1"});
  }

  /// Whether intermittent faults are active now.
  bool FaultsOn() const {
    if (m_faults.m_flap_ms == 0) return true;
    const auto elapsed = std::chrono::steady_clock::now() - m_faults_since;
    return (elapsed / std::chrono::milliseconds(m_faults.m_flap_ms) * 2) % 4 == 0;
  }

  bool DrawWithProbability(double probability) {
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    return probability > 0 && uniform(m_random) < probability;
  }

  asio::awaitable<void> HandleRequest(std::shared_ptr<HttpExchange> exchange) {
    const std::int64_t incarnation = m_incarnation;
    m_open_exchanges.push_back(exchange);
    std::string body = co_await ReadWholeBody(*exchange);
    if (exchange->Head().m_target == "/health") {
      std::vector<HeaderField> no_headers;
      co_await exchange->Send(200, std::move(no_headers), "well\n");
      co_return;
    }
    co_await Sleep(m_one_way_delay);
    if (m_faults.m_draining || DrawWithProbability(m_faults.m_shed_rate)) {
      std::vector<HeaderField> headers;
      headers.push_back({"Endpoint-Shed", "1"});
      AddStatements(headers);
      if (m_faults.m_pause_s) headers.push_back({"Retry-After", std::to_string(*m_faults.m_pause_s)});
      co_await exchange->Send(503, std::move(headers), "shed\n");
      co_return;
    }
    co_await AcquireSlot();
    if (incarnation != m_incarnation) co_return;
    co_await RunWork(exchange, std::move(body), incarnation);
  }

  asio::awaitable<void> AcquireSlot() {
    if (m_busy_slots < m_slots) {
      ++m_busy_slots;
      co_return;
    }
    const auto slot_free = std::make_shared<AsyncCondition>(m_io.get_executor());
    m_slot_waiters.push_back(slot_free);
    co_await slot_free->Wait();
  }

  void ReleaseSlot(std::int64_t incarnation) {
    if (incarnation != m_incarnation) return;
    if (m_slot_waiters.empty()) {
      --m_busy_slots;
      return;
    }
    const auto next = m_slot_waiters.front();
    m_slot_waiters.pop_front();
    next->Notify();
  }

  asio::awaitable<void> RunWork(std::shared_ptr<HttpExchange> exchange, std::string body,
                                std::int64_t incarnation) {
    const RequestHead& head = exchange->Head();
    m_log->Write("started", m_index, head, 0);
    if (!m_faults.m_crash_on.empty() && head.m_target.find(m_faults.m_crash_on) != std::string::npos) {
      co_await Sleep(std::chrono::milliseconds(5));
      if (incarnation == m_incarnation) Crash();
      co_return;
    }
    const bool faults_on = FaultsOn();
    const std::string work_ms(FindHeader(head.m_headers, "work-ms"));
    const double factor = faults_on ? m_faults.m_slow_factor : 1;
    const auto service_time =
        std::chrono::microseconds(static_cast<std::int64_t>(std::atof(work_ms.c_str()) * 1000 * factor));
    bool cancelled = false;
    const auto caller_closed = std::make_shared<AsyncCondition>(m_io.get_executor());
    exchange->WatchForClose([&cancelled, caller_closed] {
      cancelled = true;
      caller_closed->Notify();
    });
    if (faults_on && m_faults.m_hang) co_await caller_closed->Wait();
    asio::steady_timer timer(m_io, service_time);
    boost::system::error_code ec;
    if (!cancelled) co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (incarnation != m_incarnation) co_return;
    ReleaseSlot(incarnation);
    const bool fails = faults_on && DrawWithProbability(m_faults.m_error_rate);
    const std::int64_t status = fails ? 500 : 200;
    m_log->Write("ended", m_index, head, status);
    co_await Sleep(m_one_way_delay);
    std::vector<HeaderField> headers;
    headers.push_back({"Work-Token", std::string(FindHeader(head.m_headers, "work-token"))});
    headers.push_back({"Content-Type", "application/octet-stream"});
    AddStatements(headers);
    const std::string answer_bytes(FindHeader(head.m_headers, "answer-bytes"));
    if (!answer_bytes.empty()) {
      body.assign(static_cast<std::size_t>(std::atoll(answer_bytes.c_str())), 'x');
    }
    co_await exchange->Send(status, std::move(headers), std::move(body));
  }

  /// Simulates a process crash: aborts all connections, stops listening and drops the requests in flight.
  /// Listens again after `m_restart_ms`.
  void Crash() {
    ++m_incarnation;
    ++m_crash_count;
    m_log->Write("crashed", m_index, {}, m_crash_count);
    m_server->Stop();
    for (const auto& weak : m_open_exchanges) {
      if (const auto exchange = weak.lock()) exchange->Abort();
    }
    m_open_exchanges.clear();
    for (const auto& slot_free : std::exchange(m_slot_waiters, {})) slot_free->Notify();
    m_busy_slots = 0;
    m_restart_timer =
        std::make_unique<asio::steady_timer>(m_io, std::chrono::milliseconds(m_faults.m_restart_ms));
    m_restart_timer->async_wait([this](const boost::system::error_code& ec) {
      if (!ec) Listen();
    });
  }

  asio::io_context& m_io;
  std::size_t m_index;
  std::string m_address;
  std::uint16_t m_port;
  std::int64_t m_slots;
  std::chrono::milliseconds m_one_way_delay;
  RunLog* m_log;
  boost::random::mt19937 m_random;
  EndpointFaults m_faults;
  std::chrono::steady_clock::time_point m_faults_since;
  std::int64_t m_busy_slots = 0;
  std::deque<std::shared_ptr<AsyncCondition>> m_slot_waiters;
  std::int64_t m_incarnation = 0;
  std::int64_t m_crash_count = 0;
  std::deque<std::weak_ptr<HttpExchange>> m_open_exchanges;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<asio::steady_timer> m_restart_timer;
};

/// Command-line options.
struct Options {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_base_port = 0;
  std::uint16_t m_control_port = 0;
  std::size_t m_count = 1;
  std::int64_t m_slots = 2;
  std::int64_t m_delay_ms = 1;
  std::string m_log = "/dev/null";
  std::uint32_t m_seed = 1;
};

int Run(const Options& options) {
  asio::io_context io(1);
  RunLog log(options.m_log);
  std::vector<std::unique_ptr<EndpointStandIn>> endpoints;
  for (std::size_t i = 0; i < options.m_count; ++i) {
    endpoints.push_back(std::make_unique<EndpointStandIn>(
        io, i, options.m_address, static_cast<std::uint16_t>(options.m_base_port + i), options.m_slots,
        std::chrono::milliseconds(options.m_delay_ms), &log, options.m_seed + static_cast<std::uint32_t>(i)));
  }
  HttpServerSettings control;
  control.m_address = options.m_address;
  control.m_port = options.m_control_port;
  const HttpServer control_server(io.get_executor(), control,
                                  [&](std::shared_ptr<HttpExchange> exchange) -> asio::awaitable<void> {
                                    std::string body = co_await ReadWholeBody(*exchange);
                                    const json::value command = ParseJson(body);
                                    const auto index = FromJson<std::int64_t>(command.at("endpoint"));
                                    const auto faults = FromJson<EndpointFaults>(command.at("faults"));
                                    for (std::size_t i = 0; i < endpoints.size(); ++i) {
                                      if (index < 0 || static_cast<std::size_t>(index) == i)
                                        endpoints[i]->SetFaults(faults);
                                    }
                                    std::vector<HeaderField> no_headers;
                                    co_await exchange->Send(200, std::move(no_headers), "done\n");
                                  });
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Simulated endpoints on loopback with slots, faults and a log of the requests that ran."};
  fescueramp::Options options;
  app.add_option("--address", options.m_address, "IP number");
  app.add_option("--base-port", options.m_base_port, "TCP port of the first endpoint")->required();
  app.add_option("--control-port", options.m_control_port, "TCP port for control commands")->required();
  app.add_option("--count", options.m_count, "Endpoints on consecutive ports");
  app.add_option("--slots", options.m_slots, "Requests that one endpoint runs concurrently");
  app.add_option("--delay-ms", options.m_delay_ms, "One-way delay to the endpoint, ms");
  app.add_option("--log", options.m_log, "File to log the requests that ran");
  app.add_option("--seed", options.m_seed, "Seed of the random number generators");
  CLI11_PARSE(app, argc, argv);
  return fescueramp::Run(options);
}
