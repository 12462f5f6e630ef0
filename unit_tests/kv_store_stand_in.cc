#include "unit_tests/kv_store_stand_in.h"

#include <boost/url.hpp>

#include "fescueramp/net/async_condition.h"
#include "platform/kv_client.h"

namespace fescueramp::platform {

KvStoreStandIn::KvStoreStandIn(asio::io_context& io)
    : m_server(io.get_executor(), {}, [this](std::shared_ptr<HttpExchange> exchange) {
        return HandleRequest(std::move(exchange));
      }) {}

std::int64_t KvStoreStandIn::Put(const std::string& key, const std::string& value) {
  m_data.m_items[key] = {value, ++m_data.m_revision};
  m_data.m_changes.push_back({key, m_data.m_revision, false});
  return m_data.m_revision;
}

std::int64_t KvStoreStandIn::Remove(const std::string& key) {
  m_data.m_items.erase(key);
  m_data.m_changes.push_back({key, ++m_data.m_revision, true});
  return m_data.m_revision;
}

void KvStoreStandIn::AdvanceTo(std::int64_t revision) {
  while (m_data.m_revision < revision) Put("unrelated", "");
}

void KvStoreStandIn::Copy() { m_copy = m_data; }

void KvStoreStandIn::Restore(WatchEnd watch_end, bool keep_leases) {
  const std::set<std::int64_t> leases = m_data.m_leases;
  m_data = m_copy;
  if (keep_leases) m_data.m_leases.insert(leases.begin(), leases.end());
  m_watch_end = watch_end;
  ++m_era;
}

json::object KvStoreStandIn::ItemToJson(const Data& data, const std::string& key) {
  const Item& item = data.m_items.at(key);
  return {{"key", key},
          {"value", EncodeBase64(item.m_value)},
          {"revision", item.m_revision},
          {"created", item.m_revision},
          {"lease", 0}};
}

json::array KvStoreStandIn::EventsAfter(const std::string& prefix, std::int64_t after) const {
  json::array events;
  for (const Change& change : m_data.m_changes) {
    if (change.m_revision <= after || !change.m_key.starts_with(prefix)) continue;
    if (change.m_removed)
      events.push_back(
          json::object{{"key", change.m_key}, {"revision", change.m_revision}, {"tombstone", true}});
    else if (Has(change.m_key))
      events.push_back(ItemToJson(change.m_key));
  }
  return events;
}

asio::awaitable<void> KvStoreStandIn::Reply(std::shared_ptr<HttpExchange> exchange, std::int64_t status,
                                            json::object body) {
  std::vector<HeaderField> headers;
  headers.push_back({"Store-Era", std::to_string(m_era)});
  body["currentRev"] = m_data.m_revision;
  co_await exchange->Send(status, std::move(headers), json::serialize(body));
}

asio::awaitable<void> KvStoreStandIn::SendWithoutEnd(std::shared_ptr<HttpExchange> exchange) {
  co_await exchange->Begin(200, {}, -1);
  while (true) {
    // Throws when the client has closed the connection.
    co_await exchange->Write(std::string(64 * 1024, ' '));
    // Bounds the memory of a client that keeps everything.
    co_await Sleep(std::chrono::milliseconds(1));
  }
}

asio::awaitable<void> KvStoreStandIn::Watch(std::shared_ptr<HttpExchange> exchange, std::string prefix,
                                            std::int64_t after) {
  json::object body;
  if (after > m_data.m_revision) {
    co_await Reply(exchange, 410, std::move(body));
    co_return;
  }
  const std::int64_t era = m_era;
  ++m_waiting_watches;
  while (m_era == era && !m_refusing && EventsAfter(prefix, after).empty())
    co_await Sleep(std::chrono::milliseconds(2));
  --m_waiting_watches;
  if (m_refusing || (m_era != era && m_watch_end == WatchEnd::kCut)) {
    exchange->Abort();
    co_return;
  }
  if (m_endless_watches) {
    co_await SendWithoutEnd(std::move(exchange));
    co_return;
  }
  body["events"] = m_era == era ? EventsAfter(prefix, after) : json::array();
  co_await Reply(exchange, 200, std::move(body));
}

asio::awaitable<void> KvStoreStandIn::HandleRequest(std::shared_ptr<HttpExchange> exchange) {
  const std::string text = co_await ReadWholeBody(*exchange);
  const auto url = boost::urls::parse_origin_form(exchange->Head().m_target);
  const std::string path(url->encoded_path());
  std::map<std::string, std::string> query;
  for (const auto& param : url->params()) query[param.key] = param.value;
  json::object body;
  std::int64_t status = 200;
  if (m_refusing) {
    co_await Reply(exchange, 503, std::move(body));
    co_return;
  }
  if (path == "/api/kv-watch") {
    co_await Watch(exchange, query["prefix"], std::stoll(query["after"]));
    co_return;
  }
  const Data& data = m_serves_copy && query["serializable"] == "1" ? m_copy : m_data;
  if (path == "/api/kv-key") {
    if (data.m_items.contains(query["key"]))
      body = ItemToJson(data, query["key"]);
    else
      status = 404;
  } else if (path == "/api/kv-range") {
    json::array items;
    for (const auto& [key, item] : data.m_items) {
      if (key.starts_with(query["prefix"])) items.push_back(ItemToJson(data, key));
    }
    body["items"] = std::move(items);
    body["hasMore"] = false;
  } else if (path == "/api/kv-lease") {
    m_data.m_leases.insert(++m_data.m_last_lease);
    body["lease"] = m_data.m_last_lease;
    body["ttl_time"] = "30000ms";
  } else if (path.starts_with("/api/kv-keep/")) {
    status = m_data.m_leases.contains(std::stoll(path.substr(13))) ? 200 : 404;
  } else if (path == "/api/kv-txn") {
    const json::value transaction = ParseJson(text);
    for (const auto& put : transaction.at("puts").as_array())
      Put(FromJson<std::string>(put.at("key")), *DecodeBase64(std::string_view(put.at("value").as_string())));
    body["revision"] = m_data.m_revision;
  } else {
    status = 404;
  }
  co_await Reply(exchange, status, std::move(body));
}

}  // namespace fescueramp::platform
