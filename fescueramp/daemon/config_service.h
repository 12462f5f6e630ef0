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

/// Source of the heads, manifests and parts of revisions.
class RevisionSource {
 public:
  virtual ~RevisionSource() = default;

  /// Value under a name such as "head" or "part/HASH"; empty if it is missing or can't be read.
  virtual asio::awaitable<std::optional<std::string>> Read(std::string name) = 0;
};

/// Request to publish an object set.
struct PublishRequest {
  std::int64_t m_base_revision = 0;  ///< Revision that the change is based on.
  std::string m_publish_id;
  std::string m_author;
  std::string m_text;
};

/// Result of a publication.
struct PublishResult {
  ResultCode m_code = ResultCode::kOk;
  std::int64_t m_revision = 0;  ///< Revision published, or the current one on a conflict.
  std::vector<Mistake> m_mistakes;
  std::vector<std::string> m_differences;  ///< On a conflict: changes since the base revision.
};

/// Native control plane: loads, serves and publishes revisions of the object set.
///
/// A revision is stored as content-addressed parts; the head is changed by compare-and-swap only.
/// A node reads only the parts that it lacks, from another node or from the store.
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

  /// Validates an object set and publishes it as the next revision. Safe to repeat with the same publish id.
  asio::awaitable<PublishResult> Publish(PublishRequest request);

  /// Publishes the objects of an earlier revision as the next one. Returns kNotFound when the history no
  /// longer has it.
  asio::awaitable<PublishResult> Rollback(std::int64_t revision, std::string publish_id, std::string author);

  /// Head of the newest revision loaded.
  const ConfigHead& Head() const { return m_head; }

 private:
  asio::awaitable<bool> Load(RevisionSource& source);
  /// Manifest and parts of one revision.
  struct RevisionTexts {
    std::string m_manifest_text;
    std::vector<std::string> m_hashes;  ///< Hashes of the parts.
    std::vector<std::string> m_parts;   ///< Texts of the parts, in the order of `m_hashes`.
  };

  asio::awaitable<bool> ReadSet(RevisionSource& source, std::string manifest_hash, RevisionTexts& set);
  asio::awaitable<std::optional<std::string>> ReadVerified(RevisionSource& source, std::string kind,
                                                           std::string hash);
  asio::awaitable<bool> StoreParts(const std::vector<ObjectSetPart>& parts, const std::string& manifest_text);
  asio::awaitable<PublishResult> MakeConflictResult(const ConfigHead& head, const RevisionTexts& base);
  asio::awaitable<PublishResult> CompareAndSwapHead(Publication publication, std::int64_t base_revision);
  asio::awaitable<void> WatchLoop();
  asio::awaitable<void> HostListLoop();

  asio::any_io_executor m_executor;
  const Clock& m_clock;
  EventSink& m_sink;
  StoreClient& m_store;
  LinkPool& m_links;
  const std::vector<std::string>& m_link_keys;
  std::function<std::int64_t()> m_revision_in_force;
  ConfigHead m_head;  ///< Head of the newest revision loaded.
  std::string m_manifest_text;
  std::map<std::string, std::string> m_parts;  ///< Parts of the newest revision loaded, by hash.
  std::int64_t m_watched_version = 0;
  WatchScope m_scope;
  bool m_watch_running = false;
  bool m_host_list_running = false;
};

}  // namespace fescueramp
