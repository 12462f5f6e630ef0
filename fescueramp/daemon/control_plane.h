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

/// Source of the configuration, the live endpoints and the other nodes. Posts changes to the EventSink.
class ControlPlane {
 public:
  virtual ~ControlPlane() = default;

  /// Starts the background work that every node needs, such as registering the node.
  virtual void Start() = 0;

  /// Reads the current revision from the store and posts it. Returns whether that succeeded.
  /// Call it in a coroutine of its own, not while an event is processed: Post must apply the event at once.
  virtual asio::awaitable<bool> LoadFromStore() = 0;

  /// Reads the current revision from another node and posts it, under the same conditions as LoadFromStore.
  virtual asio::awaitable<bool> LoadFromNode(FetchConfiguration fetch) = 0;

  /// Starts or stops watching the configuration and the lists of endpoints, according to the scope. Each
  /// start reads the list of endpoints anew; nothing of an earlier watch is posted afterwards.
  virtual void SetWatchScope(const WatchScope& scope) = 0;

  /// Value that other nodes may fetch from this node under `name`; empty if there is none.
  virtual std::optional<std::string> Serve(const std::string& name) const = 0;

  /// Number of calls of the store so far.
  virtual std::int64_t Calls() const = 0;

  /// Whether the store responded to the last call.
  virtual bool Available() const = 0;
};

/// Dependencies of a control plane. All pointers must outlive it.
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

/// Integration with a deployment that has its own store, formats and header fields.
class Adapter {
 public:
  virtual ~Adapter() = default;

  /// Value of the setting `adapter` that selects this adapter.
  virtual std::string_view Name() const = 0;

  /// Header fields and statuses that the deployment uses.
  virtual const Dialect& GetDialect() const = 0;

  /// Makes the control plane on the deployment's store.
  virtual std::unique_ptr<ControlPlane> MakeControlPlane(ControlPlaneContext context) const = 0;
};

}  // namespace fescueramp
