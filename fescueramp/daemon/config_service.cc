#include "fescueramp/daemon/config_service.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fescueramp/daemon/wire.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxHistoryEntries = 50;
constexpr auto kStoreRetryDelay = std::chrono::milliseconds(500);
constexpr auto kHostListPeriod = std::chrono::seconds(1);
constexpr int kMaxSwapAttempts = 5;
const std::string kStorePrefix = "config/";
const std::string kHeadName = "head";

// GCC 12 destroys an aggregate twice if it is built inside a co_await expression. ReadStore and WriteStore
// build their aggregates outside of one.
asio::awaitable<StoreResponded> ReadStore(StoreClient& store, const std::string& name) {
  return store.Run(StoreGet{0, kStorePrefix + name});
}

asio::awaitable<StoreResponded> WriteStore(StoreClient& store, const std::string& name, std::int64_t version,
                                           std::string value) {
  return store.Run(StorePut{0, kStorePrefix + name, version, std::move(value)});
}

/// Reads revisions from the platform's store.
class StoreSource final : public RevisionSource {
 public:
  explicit StoreSource(StoreClient& store) : m_store(store) {}

  asio::awaitable<std::optional<std::string>> Read(std::string name) override {
    const StoreResponded store_response = co_await ReadStore(m_store, name);
    if (store_response.m_status != StoreStatus::kOk) co_return std::nullopt;
    co_return store_response.m_value;
  }

 private:
  StoreClient& m_store;
};

/// Reads revisions from another node.
class NodeSource final : public RevisionSource {
 public:
  NodeSource(std::shared_ptr<Link> link, std::string key) : m_link(std::move(link)), m_key(std::move(key)) {}

  asio::awaitable<std::optional<std::string>> Read(std::string name) override {
    try {
      const std::string path = wire::kConfigPath + name;
      const auto stream = m_link->Open(path, {{wire::kAuthField, wire::MakeAuthCode(m_key, path)}}, false);
      co_await stream->WaitHeaders();
      if (FindHeader(stream->Headers(), ":status") != "200") co_return std::nullopt;
      co_return co_await stream->ReadAll();
    } catch (const LinkError&) {
      co_return std::nullopt;
    }
  }

 private:
  std::shared_ptr<Link> m_link;
  std::string m_key;
};

template <typename T>
std::optional<T> TryParse(const std::optional<std::string>& text) {
  if (!text) return std::nullopt;
  try {
    return FromJson<T>(ParseJson(*text));
  } catch (const Error&) {
    return std::nullopt;
  }
}

bool FindPublication(const ConfigHead& head, const std::string& publish_id, std::int64_t& revision) {
  revision = head.m_current.m_revision;
  if (head.m_current.m_publish_id == publish_id) return true;
  for (const auto& earlier : head.m_history) {
    revision = earlier.m_revision;
    if (earlier.m_publish_id == publish_id) return true;
  }
  return false;
}

}  // namespace

ConfigService::ConfigService(const asio::any_io_executor& executor, const Clock& clock, EventSink& sink,
                             StoreClient& store, LinkPool& links, const std::vector<std::string>& link_keys,
                             std::function<std::int64_t()> revision_in_force)
    : m_executor(executor),
      m_clock(clock),
      m_sink(sink),
      m_store(store),
      m_links(links),
      m_link_keys(link_keys),
      m_revision_in_force(std::move(revision_in_force)) {}

asio::awaitable<std::optional<std::string>> ConfigService::ReadVerified(RevisionSource& source,
                                                                        std::string kind, std::string hash) {
  auto text = co_await source.Read(kind + "/" + hash);
  // A text whose hash differs from its name is corrupt, whatever its source.
  if (text && ContentHash(*text) != hash) co_return std::nullopt;
  co_return text;
}

asio::awaitable<bool> ConfigService::ReadSet(RevisionSource& source, std::string manifest_hash,
                                             RevisionTexts& set) {
  const auto manifest_text = co_await ReadVerified(source, "manifest", manifest_hash);
  const auto manifest = TryParse<Manifest>(manifest_text);
  if (!manifest) co_return false;
  set.m_manifest_text = *manifest_text;
  set.m_hashes = manifest->m_parts;
  for (const auto& hash : manifest->m_parts) {
    if (const auto known = m_parts.find(hash); known != m_parts.end()) {
      set.m_parts.push_back(known->second);
      continue;
    }
    auto text = co_await ReadVerified(source, "part", hash);
    if (!text) co_return false;
    set.m_parts.push_back(std::move(*text));
  }
  co_return true;
}

asio::awaitable<bool> ConfigService::Load(RevisionSource& source) {
  const auto head = TryParse<ConfigHead>(co_await source.Read(kHeadName));
  if (!head) co_return false;
  const std::int64_t revision = head->m_current.m_revision;
  if (revision <= m_head.m_current.m_revision) co_return true;
  RevisionTexts set;
  if (!co_await ReadSet(source, head->m_current.m_manifest, set)) co_return false;
  if (revision <= m_head.m_current.m_revision) co_return true;
  ConfigurationLoaded loaded;
  loaded.m_revision = revision;
  loaded.m_parts = set.m_parts;
  m_sink.Post(std::move(loaded));
  // An object set that the reducer refused must not be served to other nodes.
  if (m_revision_in_force() != revision) co_return true;
  m_head = *head;
  m_manifest_text = std::move(set.m_manifest_text);
  m_parts.clear();
  for (std::size_t i = 0; i < set.m_parts.size(); ++i) m_parts[set.m_hashes[i]] = std::move(set.m_parts[i]);
  co_return true;
}

asio::awaitable<bool> ConfigService::LoadFromStore() {
  StoreSource source(m_store);
  co_return co_await Load(source);
}

asio::awaitable<bool> ConfigService::LoadFromNode(FetchConfiguration fetch) {
  std::shared_ptr<Link> link;
  try {
    link = co_await m_links.Get(std::move(fetch.m_address), static_cast<std::uint16_t>(fetch.m_port));
  } catch (const LinkError&) {
    link = nullptr;
  }
  bool loaded = false;
  if (link) {
    NodeSource source(link, m_link_keys.front());
    loaded = co_await Load(source);
  }
  if (!loaded) m_sink.Post(ConfigurationFailed{});
  co_return loaded;
}

std::optional<std::string> ConfigService::Serve(const std::string& name) const {
  if (m_head.m_current.m_revision == 0) return std::nullopt;
  if (name == kHeadName) return json::serialize(ToJson(m_head));
  if (name == "manifest/" + m_head.m_current.m_manifest) return m_manifest_text;
  if (name.starts_with("part/")) {
    if (const auto part = m_parts.find(name.substr(5)); part != m_parts.end()) return part->second;
  }
  return std::nullopt;
}

asio::awaitable<bool> ConfigService::StoreParts(const std::vector<ObjectSetPart>& parts,
                                                const std::string& manifest_text) {
  // Values are content-addressed, so a version conflict means that the value is stored already.
  for (const auto& part : parts) {
    if (m_parts.contains(part.m_hash)) continue;
    const StoreResponded store_response = co_await WriteStore(m_store, "part/" + part.m_hash, 0, part.m_text);
    if (store_response.m_status == StoreStatus::kUnavailable) co_return false;
  }
  const StoreResponded store_response =
      co_await WriteStore(m_store, "manifest/" + ContentHash(manifest_text), 0, manifest_text);
  co_return store_response.m_status != StoreStatus::kUnavailable;
}

asio::awaitable<PublishResult> ConfigService::MakeConflictResult(const ConfigHead& head,
                                                                 const RevisionTexts& base) {
  PublishResult result;
  result.m_code = ResultCode::kRevisionConflict;
  result.m_revision = head.m_current.m_revision;
  if (base.m_parts.empty()) co_return result;
  StoreSource source(m_store);
  RevisionTexts found;
  if (co_await ReadSet(source, head.m_current.m_manifest, found)) {
    result.m_differences =
        DiffObjectSets(ParseObjectSetParts(base.m_parts).m_set, ParseObjectSetParts(found.m_parts).m_set);
  }
  co_return result;
}

asio::awaitable<PublishResult> ConfigService::Publish(PublishRequest request) {
  PublishResult result;
  ParsedObjectSet parsed;
  try {
    parsed = ParseObjectSet(request.m_text);
  } catch (const Error& error) {
    result.m_code = error.Code();
    result.m_mistakes.push_back({"", "", error.what(), "JSON; comments are allowed"});
    co_return result;
  }
  if (!parsed.m_mistakes.empty()) {
    result.m_code = ResultCode::kInvalidObjectSet;
    result.m_mistakes = std::move(parsed.m_mistakes);
    co_return result;
  }
  const auto parts = PartitionObjectSet(parsed.m_set);
  Manifest manifest;
  for (const auto& part : parts) manifest.m_parts.push_back(part.m_hash);
  const std::string manifest_text = json::serialize(ToJson(manifest));
  if (!co_await StoreParts(parts, manifest_text)) {
    result.m_code = ResultCode::kStoreUnavailable;
    co_return result;
  }
  Publication publication{0, request.m_publish_id, request.m_author, 0, ContentHash(manifest_text)};
  co_return co_await CompareAndSwapHead(std::move(publication), request.m_base_revision);
}

asio::awaitable<PublishResult> ConfigService::CompareAndSwapHead(Publication publication,
                                                                 std::int64_t base_revision) {
  PublishResult result;
  for (int attempt = 0; attempt < kMaxSwapAttempts; ++attempt) {
    // Reads first, because an earlier write may have taken effect although its response was lost.
    const StoreResponded found = co_await ReadStore(m_store, kHeadName);
    if (found.m_status == StoreStatus::kUnavailable) continue;
    const ConfigHead current = TryParse<ConfigHead>(found.m_value).value_or(ConfigHead{});
    if (FindPublication(current, publication.m_publish_id, result.m_revision)) {
      result.m_code = ResultCode::kOk;
      co_await LoadFromStore();
      co_return result;
    }
    if (current.m_current.m_revision != base_revision) {
      RevisionTexts base;
      if (m_head.m_current.m_revision == base_revision && base_revision > 0) {
        for (const auto& [hash, text] : m_parts) base.m_parts.push_back(text);
      }
      co_return co_await MakeConflictResult(current, base);
    }
    ConfigHead next = current;
    if (current.m_current.m_revision > 0) next.m_history.insert(next.m_history.begin(), current.m_current);
    if (next.m_history.size() > kMaxHistoryEntries) next.m_history.resize(kMaxHistoryEntries);
    next.m_current = publication;
    next.m_current.m_revision = current.m_current.m_revision + 1;
    next.m_current.m_time_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.Now().time_since_epoch()).count();
    co_await WriteStore(m_store, kHeadName, found.m_version, json::serialize(ToJson(next)));
  }
  result.m_code = ResultCode::kStoreUnavailable;
  result.m_revision = 0;
  co_return result;
}

asio::awaitable<PublishResult> ConfigService::Rollback(std::int64_t revision, std::string publish_id,
                                                       std::string author) {
  PublishResult result;
  StoreSource source(m_store);
  const auto head = TryParse<ConfigHead>(co_await source.Read(kHeadName));
  if (!head) {
    result.m_code = ResultCode::kStoreUnavailable;
    co_return result;
  }
  const auto& history = head->m_history;
  const auto earlier =
      std::find_if(history.begin(), history.end(), [&](const auto& p) { return p.m_revision == revision; });
  RevisionTexts set;
  const bool found = earlier != history.end() && co_await ReadSet(source, earlier->m_manifest, set);
  if (!found) {
    result.m_code = ResultCode::kNotFound;
    co_return result;
  }
  const std::string text = SerializeObjectSet(ParseObjectSetParts(set.m_parts).m_set);
  PublishRequest request{head->m_current.m_revision, std::move(publish_id), std::move(author), text};
  co_return co_await Publish(std::move(request));
}

void ConfigService::SetWatchScope(const WatchScope& scope) {
  m_scope = scope;
  if (scope.m_configuration && !std::exchange(m_watch_running, true)) {
    asio::co_spawn(m_executor, WatchLoop(), asio::detached);
  }
  if (scope.m_endpoints && !std::exchange(m_host_list_running, true)) {
    asio::co_spawn(m_executor, HostListLoop(), asio::detached);
  }
}

asio::awaitable<void> ConfigService::WatchLoop() {
  while (m_scope.m_configuration) {
    const StoreResponded store_response = co_await m_store.Watch(kStorePrefix + kHeadName, m_watched_version);
    if (store_response.m_status == StoreStatus::kUnavailable) {
      co_await Sleep(kStoreRetryDelay);
      continue;
    }
    if (store_response.m_status == StoreStatus::kOk && store_response.m_version > m_watched_version) {
      if (co_await LoadFromStore())
        m_watched_version = store_response.m_version;
      else
        co_await Sleep(kStoreRetryDelay);
    }
  }
  m_watch_running = false;
}

asio::awaitable<void> ConfigService::HostListLoop() {
  while (m_scope.m_endpoints) {
    HostList list = co_await m_store.Hosts();
    if (list.m_available) m_sink.Post(HostsListed{list.m_version, std::move(list.m_leaving)});
    co_await Sleep(kHostListPeriod);
  }
  m_host_list_running = false;
}

}  // namespace fescueramp
