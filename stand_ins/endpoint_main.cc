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

/// How one endpoint misbehaves.
struct EndpointFaults {
  double m_error_rate = 0;           ///< Share of real work that fails; health checks pass.
  double m_slow_factor = 1;          ///< Multiple of the service time.
  std::int64_t m_flap_ms = 0;        ///< Period in which the faults are on for one half; 0 for always on.
  std::string m_crash_on;            ///< Part of a target whose work makes the endpoint crash.
  std::int64_t m_restart_ms = 3000;  ///< Time from a crash until it listens again, ms.
  bool m_draining = false;
  double m_shed_rate = 0;  ///< Share of work refused without running.
  bool m_hang = false;     ///< Real work never ends; health checks pass.
};
BOOST_DESCRIBE_STRUCT(EndpointFaults, (),
                      (m_error_rate, m_slow_factor, m_flap_ms, m_crash_on, m_restart_ms, m_draining,
                       m_shed_rate, m_hang))

/// Log of everything that ran, the oracle of the tests. Written through at once.
class RunLog {
 public:
  explicit RunLog(const std::string& path) : m_file(path, std::ios::app) {}

  void Write(const std::string& what, std::size_t endpoint, const RequestHead& head, std::int64_t status) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const json::object line{{"t_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
                            {"what", what},
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

/// One endpoint with its slots, which queues what is above them.
class EndpointStandIn {
 public:
  EndpointStandIn(asio::io_context& io, std::size_t index, const std::string& address, std::uint16_t port,
                  std::int64_t slots, std::chrono::milliseconds delay, RunLog* log, std::uint32_t seed)
      : m_io(io),
        m_index(index),
        m_address(address),
        m_port(port),
        m_slots(slots),
        m_delay(delay),
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
        [this](std::shared_ptr<HttpExchange> exchange) { return Handle(std::move(exchange)); });
  }

  /// Whether the faults are on in this half of the period.
  bool FaultsOn() const {
    if (m_faults.m_flap_ms == 0) return true;
    const auto since = std::chrono::steady_clock::now() - m_faults_since;
    return (since / std::chrono::milliseconds(m_faults.m_flap_ms) * 2) % 4 == 0;
  }

  bool Chance(double share) {
    boost::random::uniform_real_distribution<double> any(0, 1);
    return share > 0 && any(m_random) < share;
  }

  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange) {
    const std::int64_t life = m_life;
    m_open.push_back(exchange);
    std::string body = co_await ReadWholeBody(*exchange);
    if (exchange->Head().m_target == "/health") {
      std::vector<HeaderField> none;
      co_await exchange->Send(200, std::move(none), "well\n");
      co_return;
    }
    co_await Sleep(m_delay);
    if (m_faults.m_draining || Chance(m_faults.m_shed_rate)) {
      std::vector<HeaderField> headers;
      headers.push_back({"Endpoint-Shed", "1"});
      if (m_faults.m_draining) headers.push_back({"Endpoint-Draining", "1"});
      co_await exchange->Send(503, std::move(headers), "shed\n");
      co_return;
    }
    co_await TakeSlot();
    if (life != m_life) co_return;
    co_await Work(exchange, std::move(body), life);
  }

  asio::awaitable<void> TakeSlot() {
    if (m_busy < m_slots) {
      ++m_busy;
      co_return;
    }
    const auto turn = std::make_shared<AsyncCondition>(m_io.get_executor());
    m_waiting.push_back(turn);
    co_await turn->Wait();
  }

  void GiveSlot(std::int64_t life) {
    if (life != m_life) return;
    if (m_waiting.empty()) {
      --m_busy;
      return;
    }
    const auto next = m_waiting.front();
    m_waiting.pop_front();
    next->Notify();
  }

  asio::awaitable<void> Work(std::shared_ptr<HttpExchange> exchange, std::string body, std::int64_t life) {
    const RequestHead& head = exchange->Head();
    m_log->Write("started", m_index, head, 0);
    if (!m_faults.m_crash_on.empty() && head.m_target.find(m_faults.m_crash_on) != std::string::npos) {
      co_await Sleep(std::chrono::milliseconds(5));
      Crash();
      co_return;
    }
    const bool on = FaultsOn();
    const std::string work_ms(FindHeader(head.m_headers, "work-ms"));
    const double factor = on ? m_faults.m_slow_factor : 1;
    const auto work =
        std::chrono::microseconds(static_cast<std::int64_t>(std::atof(work_ms.c_str()) * 1000 * factor));
    bool cancelled = false;
    const auto left = std::make_shared<AsyncCondition>(m_io.get_executor());
    exchange->WatchForClose([&cancelled, left] {
      cancelled = true;
      left->Notify();
    });
    if (on && m_faults.m_hang) co_await left->Wait();
    asio::steady_timer timer(m_io, work);
    boost::system::error_code ec;
    if (!cancelled) co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    if (life != m_life) co_return;
    GiveSlot(life);
    const bool fails = on && Chance(m_faults.m_error_rate);
    const std::int64_t status = fails ? 500 : 200;
    m_log->Write("ended", m_index, head, status);
    co_await Sleep(m_delay);
    std::vector<HeaderField> headers;
    headers.push_back({"Work-Token", std::string(FindHeader(head.m_headers, "work-token"))});
    headers.push_back({"Content-Type", "application/octet-stream"});
    const std::string answer_bytes(FindHeader(head.m_headers, "answer-bytes"));
    if (!answer_bytes.empty()) {
      body.assign(static_cast<std::size_t>(std::atoll(answer_bytes.c_str())), 'x');
    }
    co_await exchange->Send(status, std::move(headers), std::move(body));
  }

  /// Ends as a crashed process does: every connection breaks, nothing listens, work in flight is gone.
  void Crash() {
    ++m_life;
    ++m_crashes;
    m_log->Write("crashed", m_index, {}, m_crashes);
    m_server->Stop();
    for (const auto& weak : m_open) {
      if (const auto exchange = weak.lock()) exchange->Abort();
    }
    m_open.clear();
    for (const auto& turn : std::exchange(m_waiting, {})) turn->Notify();
    m_busy = 0;
    m_restart = std::make_unique<asio::steady_timer>(m_io, std::chrono::milliseconds(m_faults.m_restart_ms));
    m_restart->async_wait([this](const boost::system::error_code& ec) {
      if (!ec) Listen();
    });
  }

  asio::io_context& m_io;
  std::size_t m_index;
  std::string m_address;
  std::uint16_t m_port;
  std::int64_t m_slots;
  std::chrono::milliseconds m_delay;
  RunLog* m_log;
  boost::random::mt19937 m_random;
  EndpointFaults m_faults;
  std::chrono::steady_clock::time_point m_faults_since;
  std::int64_t m_busy = 0;
  std::deque<std::shared_ptr<AsyncCondition>> m_waiting;
  std::int64_t m_life = 0;
  std::int64_t m_crashes = 0;
  std::deque<std::weak_ptr<HttpExchange>> m_open;
  std::unique_ptr<HttpServer> m_server;
  std::unique_ptr<asio::steady_timer> m_restart;
};

/// Command line of the stand-in.
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
                                    const json::value order = ParseJson(body);
                                    const auto index = FromJson<std::int64_t>(order.at("endpoint"));
                                    const auto faults = FromJson<EndpointFaults>(order.at("faults"));
                                    for (std::size_t i = 0; i < endpoints.size(); ++i) {
                                      if (index < 0 || static_cast<std::size_t>(index) == i)
                                        endpoints[i]->SetFaults(faults);
                                    }
                                    std::vector<HeaderField> none;
                                    co_await exchange->Send(200, std::move(none), "done\n");
                                  });
  RunUntilSignal(io);
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Stand-in for endpoints on loopback: slots, faults and a log of all that ran."};
  fescueramp::Options options;
  app.add_option("--address", options.m_address, "IP number");
  app.add_option("--base-port", options.m_base_port, "TCP port of the first endpoint")->required();
  app.add_option("--control-port", options.m_control_port, "TCP port for orders")->required();
  app.add_option("--count", options.m_count, "Endpoints on consecutive ports");
  app.add_option("--slots", options.m_slots, "Requests run at once by one endpoint");
  app.add_option("--delay-ms", options.m_delay_ms, "One-way delay to the endpoint, ms");
  app.add_option("--log", options.m_log, "File for the log of runs");
  app.add_option("--seed", options.m_seed, "Seed of the random numbers");
  CLI11_PARSE(app, argc, argv);
  return fescueramp::Run(options);
}
