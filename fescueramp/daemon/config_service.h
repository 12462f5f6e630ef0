#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "fescueramp/config/object_set.h"
#include "fescueramp/config/partition.h"
#include "fescueramp/core/clock.h"
#include "fescueramp/daemon/control_plane.h"
#include "fescueramp/daemon/event_sink.h"
#include "fescueramp/net/link_pool.h"
#include "fescueramp/store/store_client.h"

namespace fescueramp {

/// Where heads, manifests and parts of revisions are read from.
class PartSource {
 public:
  virtual ~PartSource() = default;

  /// Value under a name such as "head" or "part/HASH"; nothing when it can't be had.
  virtual asio::awaitable<std::optional<std::string>> Read(std::string name) = 0;
};

/// Request to publish a set.
struct PublishRequest {
  std::int64_t m_base_revision = 0;  ///< Revision that the publisher started from.
  std::string m_publish_id;
  std::string m_author;
  std::string m_text;
};

/// Result of publishing.
struct PublishResult {
  ResultCode m_code = ResultCode::kOk;
  std::int64_t m_revision = 0;  ///< Revision published, or the one found on a conflict.
  std::vector<Mistake> m_mistakes;
  std::vector<std::string> m_differences;  ///< What changed since the base revision, on a conflict.
};

/// Reads, keeps and publishes revisions of the object set.
///
/// A revision is kept in parts named by their hashes, and its head changes by compare-and-swap only.
/// A node reads just the parts that it does not have, from another node or from the store.
class ConfigService final : public ControlPlane {
 public:
  ConfigService(const asio::any_io_executor& executor, const Clock& clock, EventSink& sink,
                StoreClient& store, LinkPool& links, const std::vector<std::string>& link_keys,
                std::function<std::int64_t()> revision_in_force);

  void Start() override {}
  asio::awaitable<bool> LoadFromStore() override;
  asio::awaitable<bool> LoadFromNode(FetchConfiguration fetch) override;
  void SetWatchScope(const WatchScope& scope) override;
  std::optional<std::string> Serve(const std::string& name) const override;
  std::int64_t Calls() const override { return m_store.Calls(); }
  bool Available() const override { return m_store.Available(); }

  /// Checks a set and publishes it as the next revision.
  asio::awaitable<PublishResult> Publish(PublishRequest request);

  /// Publishes an earlier revision anew. The code is kNotFound when it is no longer in the history.
  asio::awaitable<PublishResult> Rollback(std::int64_t revision, std::string publish_id, std::string author);

  const ConfigHead& Head() const { return m_head; }

 private:
  asio::awaitable<bool> Load(PartSource& source);
  /// The texts of one revision.
  struct LoadedSet {
    std::string m_manifest_text;
    std::vector<std::string> m_hashes;  ///< Names of the parts.
    std::vector<std::string> m_parts;   ///< Their texts, in the same order.
  };

  asio::awaitable<bool> ReadSet(PartSource& source, std::string manifest_hash, LoadedSet& set);
  asio::awaitable<std::optional<std::string>> ReadChecked(PartSource& source, std::string kind,
                                                          std::string hash);
  asio::awaitable<bool> StoreParts(const std::vector<ObjectSetPart>& parts, const std::string& manifest_text);
  asio::awaitable<PublishResult> Conflict(const ConfigHead& head, const LoadedSet& base);
  asio::awaitable<PublishResult> SwapHead(Publication wanted, std::int64_t base_revision);
  asio::awaitable<void> WatchLoop();
  asio::awaitable<void> HostsLoop();

  asio::any_io_executor m_executor;
  const Clock& m_clock;
  EventSink& m_sink;
  StoreClient& m_store;
  LinkPool& m_links;
  const std::vector<std::string>& m_link_keys;
  std::function<std::int64_t()> m_revision_in_force;
  ConfigHead m_head;  ///< Of the newest revision read.
  std::string m_manifest_text;
  std::map<std::string, std::string> m_parts;  ///< Texts of the newest revision, by hash.
  std::int64_t m_watched_version = 0;
  WatchScope m_scope;
  bool m_watch_running = false;
  bool m_hosts_running = false;
};

}  // namespace fescueramp
