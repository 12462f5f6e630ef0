#pragma once

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/daemon/event_log.h"
#include "fescueramp/daemon/event_sink.h"
#include "fescueramp/daemon/settings.h"
#include "fescueramp/net/dialect.h"
#include "fescueramp/net/link_pool.h"
#include "fescueramp/node/effects.h"

namespace fescueramp {

/// Where a node learns the configuration, the live endpoints and the other nodes. What it learns it posts as
/// events.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;

  /// Begins what runs on every node, such as making the node known to others.
  virtual void Start() = 0;

  /// Reads the current revision from the store or a node and posts it. Returns whether that succeeded.
  /// Call these only from coroutines of their own: the event must take effect before Post returns.
  virtual asio::awaitable<bool> LoadFromStore() = 0;
  virtual asio::awaitable<bool> LoadFromNode(FetchConfiguration fetch) = 0;

  /// Follows the configuration and the lists of endpoints from now on, as far as the scope says.
  virtual void SetWatchScope(const WatchScope& scope) = 0;

  /// What this node serves to others under a name, or nothing.
  virtual std::optional<std::string> Serve(const std::string& name) const = 0;

  /// Calls of the store so far, and whether the last one was answered.
  virtual std::int64_t Calls() const = 0;
  virtual bool Available() const = 0;
};

/// What a control plane works with. Everything pointed to outlives it.
struct ControlPlaneContext {
  asio::any_io_executor m_executor;
  const Clock* m_clock = nullptr;
  EventSink* m_sink = nullptr;
  LinkPool* m_links = nullptr;
  EventLog* m_log = nullptr;
  const Settings* m_settings = nullptr;
  Member m_self;
  std::function<std::int64_t()> m_revision_in_force;
};

/// A deployment with its own store, formats and header fields, in place of the product's own.
class Adapter {
 public:
  virtual ~Adapter() = default;

  /// Name by which the settings choose it.
  virtual std::string_view Name() const = 0;

  virtual const Dialect& GetDialect() const = 0;
  virtual std::unique_ptr<ControlPlane> MakeControlPlane(ControlPlaneContext context) const = 0;
};

}  // namespace fescueramp
