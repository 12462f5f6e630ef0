#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <cmath>
#include <deque>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {
namespace {

/// Request rate from a point in time until the next phase.
struct Phase {
  double m_at_s = 0;  ///< Start, s after the start of the run.
  double m_rate = 0;  ///< Requests per second.
};
BOOST_DESCRIBE_STRUCT(Phase, (), (m_at_s, m_rate))

/// Requests of one kind, sent in an open loop with Poisson arrivals.
struct StreamPlan {
  std::string m_name;
  std::string m_method = "GET";
  std::string m_target = "/";  ///< "{n}" is replaced by the number of the request.
  std::string m_api_key;
  std::vector<Phase> m_phases;
  double m_work_ms = 10;                  ///< Mean service time, ms.
  std::string m_work_shape = "constant";  ///< Distribution: "constant", "exponential" or "lognormal".
  std::int64_t m_body_bytes = 0;
  bool m_keyed = false;        ///< Whether each request has a unique idempotency key.
  std::int64_t m_resends = 0;  ///< Maximum retries of a request that did not run or has no known outcome.
  std::int64_t m_timeout_ms = 30000;
};
BOOST_DESCRIBE_STRUCT(StreamPlan, (),
                      (m_name, m_method, m_target, m_api_key, m_phases, m_work_ms, m_work_shape, m_body_bytes,
                       m_keyed, m_resends, m_timeout_ms))

/// Server that receives requests.
struct Target {
  std::string m_address = "127.0.0.1";
  std::int64_t m_port = 0;
};
BOOST_DESCRIBE_STRUCT(Target, (), (m_address, m_port))

/// Configuration of one run of the client.
struct Plan {
  std::vector<Target> m_targets;
  std::vector<StreamPlan> m_streams;
  double m_duration_s = 5;
  double m_grace_s = 15;   ///< Maximum wait for responses after the last request, s.
  std::string m_outcomes;  ///< File that receives one JSON line per attempt; empty for none.
  std::int64_t m_seed = 1;
  std::string m_run = "r";  ///< Prefix that keeps keys and tokens unique across runs.
};
BOOST_DESCRIBE_STRUCT(Plan, (), (m_targets, m_streams, m_duration_s, m_grace_s, m_outcomes, m_seed, m_run))

/// Results of one stream.
struct StreamReport {
  std::int64_t m_sent = 0;
  std::int64_t m_answered = 0;  ///< Complete endpoint responses with status 200.
  std::int64_t m_wrong = 0;     ///< Responses that were incomplete or belonged to another request.
  std::int64_t m_lost = 0;      ///< Requests whose last attempt got no complete response.
  std::int64_t m_resent = 0;
  double m_p50_ms = 0;
  double m_p99_ms = 0;
  double m_max_ms = 0;
  std::map<std::string, std::int64_t> m_codes;  ///< Requests by result name, or by "HTTP n" of endpoints.
  std::vector<std::int64_t> m_answered_per_100ms;
  std::vector<double> m_p99_ms_per_s;  ///< By the second in which the request was due.
};
BOOST_DESCRIBE_STRUCT(StreamReport, (),
                      (m_sent, m_answered, m_wrong, m_lost, m_resent, m_p50_ms, m_p99_ms, m_max_ms, m_codes,
                       m_answered_per_100ms, m_p99_ms_per_s))

/// Further targets that a request is sent to after a refused connection.
constexpr int kMaxConnectRetries = 4;

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto index = static_cast<std::size_t>(quantile * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

/// Open-loop client that checks that each response is complete and belongs to its request.
class LoadClient {
 public:
  LoadClient(asio::io_context& io, Plan plan) : m_io(io), m_plan(std::move(plan)) {
    if (!m_plan.m_outcomes.empty()) m_outcomes.open(m_plan.m_outcomes, std::ios::app);
    m_random.seed(static_cast<std::uint32_t>(m_plan.m_seed));
  }

  void Start() {
    m_start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < m_plan.m_streams.size(); ++i) {
      m_stream_states.emplace_back();
      asio::co_spawn(m_io, SendLoop(i), asio::detached);
    }
    asio::co_spawn(m_io, StopWhenDone(), asio::detached);
  }

  json::value MakeReport() {
    json::object report;
    for (std::size_t i = 0; i < m_plan.m_streams.size(); ++i) {
      StreamState& state = m_stream_states[i];
      StreamReport& stream_report = state.m_report;
      stream_report.m_lost += state.m_open_requests;
      stream_report.m_p50_ms = Quantile(state.m_latencies, 0.5);
      stream_report.m_p99_ms = Quantile(state.m_latencies, 0.99);
      stream_report.m_max_ms = Quantile(state.m_latencies, 1);
      for (const auto& second : state.m_latencies_by_second)
        stream_report.m_p99_ms_per_s.push_back(Quantile(second, 0.99));
      report[m_plan.m_streams[i].m_name] = ToJson(stream_report);
    }
    return report;
  }

 private:
  struct StreamState {
    StreamReport m_report;
    std::vector<double> m_latencies;
    std::vector<std::vector<double>> m_latencies_by_second;
    std::int64_t m_open_requests = 0;
  };

  struct IdleConnection {
    std::unique_ptr<HttpConnection> m_connection;
    std::chrono::steady_clock::time_point m_idle_since;
  };

  static constexpr auto kMaxIdleTime = std::chrono::seconds(5);

  /// Observed state of a target, as a load balancer in front of the entry hosts would keep it.
  struct TargetState {
    std::int64_t m_open_requests = 0;
    std::chrono::steady_clock::time_point m_last_activity;
    std::chrono::steady_clock::time_point m_avoid_until;
    bool m_refused = false;
  };

  static constexpr auto kRefusedTargetAvoidTime = std::chrono::milliseconds(500);
  static constexpr auto kUnresponsiveTime = std::chrono::milliseconds(1500);

  /// Returns the next target, round robin, that neither refused a connection recently nor is unresponsive. If
  /// there is none, returns the next target.
  std::size_t ChooseTarget() {
    const auto now = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < m_plan.m_targets.size(); ++i) {
      const std::size_t target = m_next_target++ % m_plan.m_targets.size();
      const TargetState& state = m_target_states[target];
      const bool unresponsive = state.m_open_requests > 0 && now - state.m_last_activity > kUnresponsiveTime;
      if (now >= state.m_avoid_until && !unresponsive) return target;
    }
    return m_next_target++ % m_plan.m_targets.size();
  }

  double ElapsedSeconds() const {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - m_start).count();
  }

  double RateAt(const StreamPlan& plan, double elapsed_s) const {
    double rate = 0;
    for (const auto& phase : plan.m_phases) {
      if (elapsed_s >= phase.m_at_s) rate = phase.m_rate;
    }
    return rate;
  }

  asio::awaitable<void> SendLoop(std::size_t stream) {
    const StreamPlan& plan = m_plan.m_streams[stream];
    double due_s = 0;
    std::int64_t number = 0;
    while (due_s < m_plan.m_duration_s) {
      const double rate = RateAt(plan, due_s);
      if (rate <= 0) {
        due_s += 0.05;
        continue;
      }
      due_s += boost::random::exponential_distribution<double>(rate)(m_random);
      if (const double wait = due_s - ElapsedSeconds(); wait > 0.0005) {
        co_await Sleep(std::chrono::microseconds(static_cast<std::int64_t>(wait * 1e6)));
      }
      if (due_s >= m_plan.m_duration_s) break;
      asio::co_spawn(m_io, SendRequest(stream, number++, due_s), asio::detached);
    }
    ++m_streams_done;
  }

  asio::awaitable<void> StopWhenDone() {
    while (m_streams_done < m_plan.m_streams.size()) co_await Sleep(std::chrono::milliseconds(20));
    const double until = ElapsedSeconds() + m_plan.m_grace_s;
    while (ElapsedSeconds() < until) {
      const bool open = std::any_of(m_stream_states.begin(), m_stream_states.end(),
                                    [](const StreamState& s) { return s.m_open_requests > 0; });
      if (!open) break;
      co_await Sleep(std::chrono::milliseconds(20));
    }
    m_io.stop();
  }

  double SampleServiceTimeMs(const StreamPlan& plan) {
    if (plan.m_work_shape == "exponential") {
      return boost::random::exponential_distribution<double>(1 / plan.m_work_ms)(m_random);
    }
    if (plan.m_work_shape == "lognormal") {
      return plan.m_work_ms * boost::random::lognormal_distribution<double>(-0.5, 1)(m_random);
    }
    return plan.m_work_ms;
  }

  std::unique_ptr<HttpConnection> TakeConnection(std::size_t target) {
    auto& idle = m_idle[target];
    // Servers close idle connections, so connections idle for longer than kMaxIdleTime are not reused.
    const auto now = std::chrono::steady_clock::now();
    while (!idle.empty() && now - idle.front().m_idle_since > kMaxIdleTime) idle.pop_front();
    while (!idle.empty() && !idle.back().m_connection->StillOpen()) idle.pop_back();
    if (!idle.empty()) {
      auto connection = std::move(idle.back().m_connection);
      idle.pop_back();
      return connection;
    }
    const Target& to = m_plan.m_targets[target];
    return std::make_unique<HttpConnection>(m_io.get_executor(), to.m_address,
                                            static_cast<std::uint16_t>(to.m_port));
  }

  /// Sends one attempt and returns the name of its outcome.
  asio::awaitable<std::string> SendAttempt(std::size_t stream, RequestHead head, std::string body,
                                           std::string token, std::string key) {
    const StreamPlan& plan = m_plan.m_streams[stream];
    StreamReport& report = m_stream_states[stream].m_report;
    const std::size_t target = ChooseTarget();
    TargetState& target_state = m_target_states[target];
    auto connection = TakeConnection(target);
    ++target_state.m_open_requests;
    if (target_state.m_open_requests == 1) target_state.m_last_activity = std::chrono::steady_clock::now();
    std::string outcome = "CONNECTION_LOST";
    std::string request_id;
    std::int64_t status = 0;
    bool sent = true;
    try {
      const std::string expected = plan.m_body_bytes > 0 ? body : std::string();
      const HttpResponse response = co_await connection->Request(
          std::move(head), std::move(body), std::chrono::milliseconds(plan.m_timeout_ms));
      status = response.m_status;
      request_id = std::string(FindHeader(response.m_headers, "fescue-request-id"));
      const std::string code(FindHeader(response.m_headers, "fescue-code"));
      if (code.empty() || code == "0") {
        outcome = "HTTP " + std::to_string(status);
        const bool token_matches = FindHeader(response.m_headers, "work-token") == token;
        if (!token_matches || response.m_body != expected) ++report.m_wrong;
      } else {
        outcome = std::string(GetResultInfo(static_cast<ResultCode>(std::atoi(code.c_str()))).m_name);
      }
      if (connection->Reusable())
        m_idle[target].push_back({std::move(connection), std::chrono::steady_clock::now()});
    } catch (const HttpError& error) {
      sent = error.MaybeSent();
      if (!sent) outcome = "CONNECT_FAILED";
    }
    --target_state.m_open_requests;
    target_state.m_last_activity = std::chrono::steady_clock::now();
    target_state.m_refused = outcome == "CONNECT_FAILED";
    if (target_state.m_refused)
      target_state.m_avoid_until = target_state.m_last_activity + kRefusedTargetAvoidTime;
    if (m_outcomes.is_open()) {
      const auto now = std::chrono::system_clock::now().time_since_epoch();
      const json::object line{{"t_ms", std::chrono::duration_cast<std::chrono::milliseconds>(now).count()},
                              {"stream", plan.m_name},
                              {"request_id", request_id},
                              {"key", key},
                              {"outcome", outcome},
                              {"status", status}};
      m_outcomes << json::serialize(line) << '\n';
    }
    co_return outcome;
  }

  asio::awaitable<void> SendRequest(std::size_t stream, std::int64_t number, double due_s) {
    const StreamPlan& plan = m_plan.m_streams[stream];
    StreamState& state = m_stream_states[stream];
    ++state.m_report.m_sent;
    ++state.m_open_requests;
    const std::string request_token = m_plan.m_run + "-" + plan.m_name + "-" + std::to_string(number);
    RequestHead head;
    head.m_method = plan.m_method;
    head.m_target = plan.m_target;
    if (const auto placeholder = head.m_target.find("{n}"); placeholder != std::string::npos) {
      head.m_target.replace(placeholder, 3, std::to_string(number));
    }
    head.m_headers.push_back({"Work-Token", request_token});
    head.m_headers.push_back({"Work-Ms", std::to_string(SampleServiceTimeMs(plan))});
    if (!plan.m_api_key.empty()) head.m_headers.push_back({"X-Api-Key", plan.m_api_key});
    if (plan.m_keyed) head.m_headers.push_back({"Idempotency-Key", request_token});
    std::string body;
    while (static_cast<std::int64_t>(body.size()) < plan.m_body_bytes) body += request_token + ";";
    body.resize(static_cast<std::size_t>(plan.m_body_bytes));
    std::string key;
    if (plan.m_keyed) key = request_token;
    std::string outcome;
    for (std::int64_t attempt = 0; attempt <= plan.m_resends; ++attempt) {
      if (attempt > 0) {
        ++state.m_report.m_resent;
        co_await Sleep(std::chrono::milliseconds(200));
      }
      outcome = co_await SendAttempt(stream, head, body, request_token, key);
      // Nothing was sent on a refused connection, so a load balancer would try the next host.
      for (int retry = 0; retry < kMaxConnectRetries && outcome == "CONNECT_FAILED"; ++retry) {
        outcome = co_await SendAttempt(stream, head, body, request_token, key);
      }
      // Retry with the same key when the request did not run or its outcome is unknown.
      const bool resend = outcome == "CONNECTION_LOST" || outcome == "CONNECT_FAILED" ||
                          outcome == "NOT_RUN" || outcome == "ATTEMPT_NOT_RUN";
      if (!resend) break;
    }
    --state.m_open_requests;
    ++state.m_report.m_codes[outcome];
    if (outcome == "CONNECTION_LOST" || outcome == "CONNECT_FAILED") ++state.m_report.m_lost;
    if (outcome != "HTTP 200") co_return;
    RecordResponse(state, due_s);
  }

  void RecordResponse(StreamState& state, double due_s) {
    ++state.m_report.m_answered;
    const double latency_ms = (ElapsedSeconds() - due_s) * 1000;
    state.m_latencies.push_back(latency_ms);
    const auto second = static_cast<std::size_t>(due_s);
    if (state.m_latencies_by_second.size() <= second) state.m_latencies_by_second.resize(second + 1);
    state.m_latencies_by_second[second].push_back(latency_ms);
    auto& buckets = state.m_report.m_answered_per_100ms;
    const auto bucket = static_cast<std::size_t>(ElapsedSeconds() * 10);
    if (buckets.size() <= bucket) buckets.resize(bucket + 1);
    ++buckets[bucket];
  }

  asio::io_context& m_io;
  Plan m_plan;
  std::ofstream m_outcomes;
  boost::random::mt19937 m_random;
  std::chrono::steady_clock::time_point m_start;
  std::deque<StreamState> m_stream_states;
  std::map<std::size_t, std::deque<IdleConnection>> m_idle;
  std::map<std::size_t, TargetState> m_target_states;
  std::size_t m_next_target = 0;
  std::size_t m_streams_done = 0;
};

int Run(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  asio::io_context io(1);
  LoadClient client(io, FromJson<Plan>(ParseJson(text.str())));
  client.Start();
  io.run();
  std::cout << json::serialize(client.MakeReport()) << std::endl;
  return 0;
}

}  // namespace
}  // namespace fescueramp

int main(int argc, char** argv) {
  CLI::App app{"Open-loop load client for tests and measurements on loopback."};
  std::string plan;
  app.add_option("plan", plan, "File with the plan, JSON")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    return fescueramp::Run(plan);
  } catch (const std::exception& error) {
    std::cerr << "load: " << error.what() << "\n";
    return 1;
  }
}
