#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <deque>
#include <fstream>
#include <memory>
#include <optional>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/daemon/admin_api.h"
#include "fescueramp/daemon/config_service.h"
#include "fescueramp/daemon/control_plane.h"
#include "fescueramp/daemon/dispatch_handler.h"
#include "fescueramp/daemon/entry_handler.h"
#include "fescueramp/daemon/event_sink.h"
#include "fescueramp/daemon/node_metrics.h"
#include "fescueramp/daemon/settings.h"
#include "fescueramp/net/gossip_socket.h"
#include "fescueramp/net/http_server.h"
#include "fescueramp/node/trace.h"

namespace fescueramp {

/// Runs one node: feeds events from sockets and timers to the reducer, and carries out its effects.
/// Single-threaded.
class NodeDaemon final : public EventSink {
 public:
  /// Opens every socket. @throws boost::system::system_error when an address can't be used.
  /// @param adapter Integration with a deployment's own store and formats; null for the native ones.
  NodeDaemon(asio::io_context& io, Settings settings, std::string settings_path, const Adapter* adapter);
  ~NodeDaemon() override;

  void Post(Event event) override;

  /// Begins a graceful shutdown: refuses new work, hands queued requests back and finishes work in flight.
  void Shutdown();

 private:
  void RunEffect(const ForwardRequest& effect) { m_entry->Run(effect); }
  void RunEffect(const RefuseRequest& effect) { m_entry->Run(effect); }
  void RunEffect(const RelayRequest& effect) { m_dispatch->Run(effect); }
  void RunEffect(const StartAttempt& effect) { m_dispatch->Run(effect); }
  void RunEffect(const FinishRequest& effect) { m_dispatch->Run(effect); }
  void RunEffect(const DeliverResponse& effect) { m_dispatch->Run(effect); }
  void RunEffect(const CancelAttempt& effect) { m_dispatch->Run(effect); }
  void RunEffect(const ReportHealth& effect);
  void RunEffect(const ReportConstraint& effect);
  void RunEffect(const ReportQuarantine& effect);
  void RunEffect(const ReportQuota& effect);
  void RunEffect(const SendGossip& effect);
  void RunEffect(const ReportMember& effect);
  void RunEffect(const StoreGet& effect) { asio::co_spawn(m_io, RunStoreOperation(effect), asio::detached); }
  void RunEffect(const StorePut& effect) { asio::co_spawn(m_io, RunStoreOperation(effect), asio::detached); }
  void RunEffect(const StoreDelete& effect) {
    asio::co_spawn(m_io, RunStoreOperation(effect), asio::detached);
  }
  void RunEffect(const FetchConfiguration& effect);
  void RunEffect(const ReportConfiguration& effect);
  void RunEffect(const SetWatchScope& effect);
  void RunEffect(const ReportEndpointList& effect);
  void RunEffect(const ShutdownComplete& effect);

  asio::awaitable<void> RunStoreOperation(StoreEffect operation);
  asio::awaitable<void> TickLoop();
  /// Logs the load of every dispatcher in use once per `kCoverageWindow`.
  asio::awaitable<void> LogDispatcherLoads();
  /// The memory budget; null if the settings have none.
  MemoryBudget* Memory() { return m_settings.m_memory_mb > 0 ? &m_memory : nullptr; }

  /// Closes connections that hold too much, and logs the decisions of the memory budget.
  asio::awaitable<void> EnforceMemoryBudget();
  void LogMemoryRefusals(std::int64_t refused_bodies, std::int64_t refused_all);
  asio::awaitable<void> LoadInitialConfiguration();
  asio::awaitable<void> HandleReadiness(std::shared_ptr<HttpExchange> exchange);
  void MakeControlPlane(const Adapter* adapter);
  void OpenServers();

  /// Logs the end of a caller's connection on which requests were left without a response or unread.
  /// Limits of chunked bodies from the settings.
  FramingLimits Framing() const;

  /// Logs and counts a connection on which requests were left or a limit was exceeded.
  void LogConnectionEnd(const std::string& port, const ConnectionSummary& summary);

  /// Does so only if a limit was exceeded.
  void LogExceededLimit(const std::string& port, const ConnectionSummary& summary);
  void OpenLinkPort();
  void ApplyListenerLimits();
  asio::awaitable<void> WatchSettingsFile();
  asio::awaitable<void> AcceptLinks();

  /// Whether a link that another node opened has bytes that the other node's system hasn't got.
  bool LinksHaveUndeliveredBytes() const;
  asio::awaitable<void> ServeStream(std::shared_ptr<LinkStream> stream);
  asio::awaitable<void> StopWhenIdle();
  asio::awaitable<void> DrainAndStop();
  void HandleSignals();
  void ReloadSettings(std::string_view cause);
  void UpdateGauges();
  void UpdateMemoryGauges();
  void UpdateQuotaGauges();

  asio::io_context& m_io;
  Settings m_settings;
  std::string m_settings_path;
  SteadyWallClock m_clock;
  NodeSettings m_node_settings;
  NodeReducer m_reducer;
  std::ofstream m_trace_file;
  std::optional<TraceWriter> m_trace;
  std::deque<Event> m_events;
  bool m_processing_events = false;

  EventLog m_log;
  NodeMetrics m_metrics;
  Journal m_journal;
  MemoryBudget m_memory;
  LinkPool m_links;
  EndpointConnectionPool m_endpoints;
  StoreClient m_store;
  std::unique_ptr<EntryHandler> m_entry;
  std::unique_ptr<DispatchHandler> m_dispatch;
  NativeDialect m_native_dialect;
  std::unique_ptr<ControlPlane> m_control;
  ConfigService* m_config = nullptr;  ///< The native control plane; null with an adapter.
  std::unique_ptr<GossipSocket> m_gossip;
  std::unique_ptr<AdminApi> m_admin;
  std::unique_ptr<HttpServer> m_caller_server;
  std::unique_ptr<HttpServer> m_admin_server;
  std::unique_ptr<HttpServer> m_ready_server;
  asio::ip::tcp::acceptor m_link_acceptor;
  std::vector<std::weak_ptr<Link>> m_accepted_links;  ///< Links that other nodes opened.
  asio::signal_set m_signals;
  bool m_shutdown_started = false;
  bool m_caller_port_closed = false;  ///< Whether callers can no longer connect.
};

}  // namespace fescueramp
