#include "fescueramp/platform/store_client.h"

#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxIdle = 4;

StoreAnswered ToAnswer(std::int64_t operation, const HttpAnswer& answer) {
  StoreAnswered result;
  result.m_operation = operation;
  switch (answer.m_status) {
    case 200:
      result.m_status = StoreStatus::kOk;
      break;
    case 404:
      result.m_status = StoreStatus::kNotFound;
      break;
    case 409:
      result.m_status = StoreStatus::kConflict;
      break;
    default:
      result.m_status = StoreStatus::kUnavailable;
      break;
  }
  const std::string version(FindHeader(answer.m_headers, "kv-version"));
  result.m_version = version.empty() ? 0 : std::strtoll(version.c_str(), nullptr, 10);
  result.m_value = answer.m_body;
  return result;
}

}  // namespace

StoreClient::StoreClient(const asio::any_io_executor& executor, const Clock& clock, PlatformSettings settings)
    : m_executor(executor), m_clock(clock), m_settings(std::move(settings)) {}

asio::awaitable<void> StoreClient::WaitForBudget() {
  while (!m_budget.Take(m_clock.Now(), m_settings.m_calls_per_s, m_settings.m_call_burst)) {
    const Duration wait = m_budget.UntilNext(m_settings.m_calls_per_s);
    co_await Sleep(std::chrono::duration_cast<std::chrono::milliseconds>(wait) +
                   std::chrono::milliseconds(1));
  }
}

asio::awaitable<HttpAnswer> StoreClient::Call(std::string method, std::string target, std::string body,
                                              std::chrono::milliseconds timeout) {
  co_await WaitForBudget();
  ++m_calls;
  std::unique_ptr<HttpConnection> connection;
  if (!m_idle.empty()) {
    connection = std::move(m_idle.back());
    m_idle.pop_back();
  } else {
    connection = std::make_unique<HttpConnection>(m_executor, m_settings.m_address,
                                                  static_cast<std::uint16_t>(m_settings.m_port));
  }
  RequestHead head;
  head.m_method = std::move(method);
  head.m_target = std::move(target);
  HttpAnswer answer;
  try {
    answer = co_await connection->Request(std::move(head), std::move(body), timeout);
    m_available = answer.m_status != 503;
    if (connection->Reusable() && m_idle.size() < kMaxIdle) m_idle.push_back(std::move(connection));
  } catch (const HttpError&) {
    m_available = false;
    answer.m_status = 503;
  }
  co_return answer;
}

asio::awaitable<StoreAnswered> StoreClient::Run(StoreGet request) {
  const HttpAnswer answer =
      co_await Call("GET", "/kv/" + request.m_key, {}, std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToAnswer(request.m_operation, answer);
}

asio::awaitable<StoreAnswered> StoreClient::Run(StorePut request) {
  const std::string target = "/kv/" + request.m_key + "?expect=" + std::to_string(request.m_expected_version);
  const HttpAnswer answer = co_await Call("PUT", target, std::move(request.m_value),
                                          std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToAnswer(request.m_operation, answer);
}

asio::awaitable<StoreAnswered> StoreClient::Run(StoreDelete request) {
  const HttpAnswer answer =
      co_await Call("DELETE", "/kv/" + request.m_key, {}, std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToAnswer(request.m_operation, answer);
}

asio::awaitable<StoreAnswered> StoreClient::Watch(std::string key, std::int64_t after) {
  const std::string target =
      "/kv/" + key + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(m_settings.m_watch_ms);
  const HttpAnswer answer = co_await Call(
      "GET", target, {}, std::chrono::milliseconds(m_settings.m_watch_ms + m_settings.m_timeout_ms));
  co_return ToAnswer(0, answer);
}

asio::awaitable<HostList> StoreClient::Hosts() {
  const HttpAnswer answer =
      co_await Call("GET", "/hosts", {}, std::chrono::milliseconds(m_settings.m_timeout_ms));
  HostList list;
  if (answer.m_status != 200) co_return list;
  try {
    const json::value value = ParseJson(answer.m_body);
    list.m_version = FromJson<std::int64_t>(value.at("version"));
    list.m_leaving = FromJson<std::vector<std::string>>(value.at("leaving"));
    list.m_available = true;
  } catch (const std::exception&) {
    list.m_available = false;
  }
  co_return list;
}

}  // namespace fescueramp
