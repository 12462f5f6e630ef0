#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_server.h"

namespace fescueramp::platform {

/// How watches that wait while the store is restored end.
enum class WatchEnd {
  kResponse,  ///< With a response without events.
  kCut,       ///< With their connection.
};

/// Metadata store of the users' platform on loopback, which can be restored from an earlier copy.
class KvStoreStandIn {
 public:
  explicit KvStoreStandIn(asio::io_context& io);

  std::uint16_t Port() const { return m_server.Port(); }

  /// Writes or removes a key as another client does; returns the store's revision.
  std::int64_t Put(const std::string& key, const std::string& value);
  std::int64_t Remove(const std::string& key);
  /// Writes keys that no node reads until the store has a revision.
  void AdvanceTo(std::int64_t revision);

  /// Keeps a copy of the store for Restore.
  void Copy();
  /// Replaces the store by the copy: writes, leases and revisions since then are lost.
  /// @param keep_leases Whether lease numbers of before are valid again, as those of other clients.
  void Restore(WatchEnd watch_end, bool keep_leases);
  /// Answers reads that allow an old copy from the copy from now on.
  void ServeCopy() { m_serves_copy = true; }

  /// Answers watches by bodies without an end from now on.
  void SendEndlessWatchResponses() { m_endless_watches = true; }

  /// Refuses all calls, and cuts waiting watches, or serves again.
  void SetRefusing(bool refusing) { m_refusing = refusing; }

  bool Has(const std::string& key) const { return m_data.m_items.contains(key); }
  std::int64_t Revision() const { return m_data.m_revision; }
  int WaitingWatches() const { return m_waiting_watches; }

 private:
  struct Item {
    std::string m_value;
    std::int64_t m_revision = 0;
  };
  struct Change {
    std::string m_key;
    std::int64_t m_revision = 0;
    bool m_removed = false;
  };
  struct Data {
    std::int64_t m_revision = 0;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes;
    std::set<std::int64_t> m_leases;
    std::int64_t m_last_lease = 100;
  };

  asio::awaitable<void> HandleRequest(std::shared_ptr<HttpExchange> exchange);
  asio::awaitable<void> Watch(std::shared_ptr<HttpExchange> exchange, std::string prefix, std::int64_t after);
  static asio::awaitable<void> SendWithoutEnd(std::shared_ptr<HttpExchange> exchange);
  asio::awaitable<void> Reply(std::shared_ptr<HttpExchange> exchange, std::int64_t status, json::object body);
  json::object ItemToJson(const std::string& key) const { return ItemToJson(m_data, key); }
  static json::object ItemToJson(const Data& data, const std::string& key);
  json::array EventsAfter(const std::string& prefix, std::int64_t after) const;

  Data m_data;
  Data m_copy;
  bool m_serves_copy = false;
  bool m_endless_watches = false;
  bool m_refusing = false;
  std::int64_t m_era = 1;
  WatchEnd m_watch_end = WatchEnd::kResponse;
  int m_waiting_watches = 0;
  HttpServer m_server;
};

}  // namespace fescueramp::platform
