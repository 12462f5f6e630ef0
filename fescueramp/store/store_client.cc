#include "fescueramp/store/store_client.h"

#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

StoreResponded ToStoreResponded(std::int64_t operation, const HttpResponse& response) {
  StoreResponded result;
  result.m_operation = operation;
  switch (response.m_status) {
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
  const std::string version(FindHeader(response.m_headers, "kv-version"));
  result.m_version = version.empty() ? 0 : std::strtoll(version.c_str(), nullptr, 10);
  result.m_value = response.m_body;
  return result;
}

}  // namespace

StoreClient::StoreClient(const asio::any_io_executor& executor, const Clock& clock, PlatformSettings settings)
    : m_settings(std::move(settings)),
      m_http(executor, clock,
             {m_settings.m_address, static_cast<std::uint16_t>(m_settings.m_port), m_settings.m_calls_per_s,
              m_settings.m_call_burst}) {}

asio::awaitable<StoreResponded> StoreClient::Run(StoreGet request) {
  const HttpResponse response = co_await m_http.Call("GET", "/kv/" + request.m_key, {},
                                                     std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToStoreResponded(request.m_operation, response);
}

asio::awaitable<StoreResponded> StoreClient::Run(StorePut request) {
  const std::string target = "/kv/" + request.m_key + "?expect=" + std::to_string(request.m_expected_version);
  const HttpResponse response = co_await m_http.Call("PUT", target, std::move(request.m_value),
                                                     std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToStoreResponded(request.m_operation, response);
}

asio::awaitable<StoreResponded> StoreClient::Run(StoreDelete request) {
  const HttpResponse response = co_await m_http.Call("DELETE", "/kv/" + request.m_key, {},
                                                     std::chrono::milliseconds(m_settings.m_timeout_ms));
  co_return ToStoreResponded(request.m_operation, response);
}

asio::awaitable<StoreResponded> StoreClient::Watch(std::string key, std::int64_t after) {
  const std::string target =
      "/kv/" + key + "?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(m_settings.m_watch_ms);
  const HttpResponse response = co_await m_http.Call(
      "GET", target, {}, std::chrono::milliseconds(m_settings.m_watch_ms + m_settings.m_timeout_ms));
  co_return ToStoreResponded(0, response);
}

asio::awaitable<HostList> StoreClient::Hosts() {
  const HttpResponse response =
      co_await m_http.Call("GET", "/hosts", {}, std::chrono::milliseconds(m_settings.m_timeout_ms));
  HostList list;
  if (response.m_status != 200) co_return list;
  try {
    const json::value value = ParseJson(response.m_body);
    list.m_version = FromJson<std::int64_t>(value.at("version"));
    list.m_leaving = FromJson<std::vector<std::string>>(value.at("leaving"));
    list.m_available = true;
  } catch (const std::exception&) {
    list.m_available = false;
  }
  co_return list;
}

}  // namespace fescueramp
