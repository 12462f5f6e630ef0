#include "fescueramp/daemon/node_daemon.h"

#include <malloc.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

#include "fescueramp/config/caller_listener.h"
#include "fescueramp/daemon/wire.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

constexpr auto kTickPeriod = std::chrono::milliseconds(20);
constexpr auto kIdleTickPeriod = std::chrono::milliseconds(100);
constexpr auto kMinLoadRetryDelay = std::chrono::milliseconds(500);
constexpr auto kMaxLoadRetryDelay =
    std::chrono::seconds(2);  ///< With 1,400 nodes, 700 reads a second on a store that recovers.
constexpr auto kMaxIdleConnectionWait = std::chrono::seconds(3);
constexpr auto kShutdownMargin = std::chrono::milliseconds(300);  ///< Reserve before the process is killed.
constexpr auto kFinalResponseTime =
    std::chrono::milliseconds(300);  ///< Time to send responses after the last forwards have ended.
constexpr auto kSettingsPollPeriod = std::chrono::seconds(2);  ///< Time between checks of the settings file.
constexpr auto kMemoryCheckPeriod = std::chrono::milliseconds(100);
constexpr auto kMemoryLogPeriod = std::chrono::seconds(1);  ///< Between lines about refused requests.
constexpr int kLinkBacklog = 4096;
constexpr std::int64_t kStatusOk = 200;
constexpr std::int64_t kStatusUnavailable = 503;

std::string MalformedRequestBody(const std::string& problem) {
  const ResultInfo& info = GetResultInfo(ResultCode::kMalformedRequest);
  return json::serialize(json::object{{"code", static_cast<int>(info.m_code)},
                                      {"result", info.m_name},
                                      {"text", std::string(info.m_text) + " (" + problem + ")"}}) +
         "\n";
}

std::uint16_t ToPort(std::int64_t port) { return static_cast<std::uint16_t>(port); }

}  // namespace

NodeDaemon::NodeDaemon(asio::io_context& io, Settings settings, std::string settings_path,
                       const Adapter* adapter)
    : m_io(io),
      m_settings(std::move(settings)),
      m_settings_path(std::move(settings_path)),
      m_node_settings(ToNodeSettings(m_settings, m_clock.Now())),
      m_reducer(m_node_settings),
      m_log(io.get_executor(), m_clock, m_settings.m_node),
      m_journal(static_cast<std::size_t>(m_settings.m_journal_records)),
      m_memory(MemoryBudget::BytesOf(m_settings.m_memory_mb)),
      m_links(io.get_executor()),
      m_endpoints(io.get_executor()),
      m_store(io.get_executor(), m_clock, m_settings.m_platform),
      m_link_acceptor(io),
      m_signals(io, SIGTERM, SIGINT, SIGHUP) {
  const auto executor = io.get_executor();
  if (!m_settings.m_trace_file.empty()) {
    m_trace_file.open(m_settings.m_trace_file, std::ios::trunc);
    m_trace.emplace(m_trace_file, m_node_settings);
  }
  HandlerContext context;
  context.m_executor = executor;
  context.m_clock = &m_clock;
  context.m_sink = this;
  context.m_links = &m_links;
  context.m_endpoints = &m_endpoints;
  context.m_metrics = &m_metrics;
  context.m_journal = &m_journal;
  context.m_log = &m_log;
  context.m_dialect = adapter ? &adapter->GetDialect() : &m_native_dialect;
  context.m_memory = Memory();
  context.m_node = m_settings.m_node;
  context.m_link_keys = &m_settings.m_link_keys;
  context.m_receipt_keys = &m_settings.m_receipt_keys;
  context.m_record_decisions = m_settings.m_journal_records > 0;
  context.m_receipts = m_settings.m_receipts;
  if (Memory()) m_links.SetMemory(m_memory.LinkAccount());
  m_entry = std::make_unique<EntryHandler>(context);
  m_dispatch = std::make_unique<DispatchHandler>(context);
  MakeControlPlane(adapter);
  m_gossip = std::make_unique<GossipSocket>(
      executor, m_settings.m_address, ToPort(m_settings.m_gossip_port), m_settings.m_link_keys,
      [this](const std::string& address, std::int64_t port, GossipMessage message) {
        Post(GossipReceived{address, port, std::move(message)});
      });
  m_admin = std::make_unique<AdminApi>(AdminApi::Context{&m_settings, &m_clock, &m_reducer, m_config,
                                                         m_control.get(), &m_links, &m_journal, &m_metrics,
                                                         &m_log, [this] { UpdateGauges(); }});
  OpenServers();
  OpenLinkPort();
  asio::co_spawn(executor, TickLoop(), asio::detached);
  asio::co_spawn(executor, LogDispatcherLoads(), asio::detached);
  if (Memory()) asio::co_spawn(executor, EnforceMemoryBudget(), asio::detached);
  asio::co_spawn(executor, LoadInitialConfiguration(), asio::detached);
  asio::co_spawn(executor, WatchSettingsFile(), asio::detached);
  HandleSignals();
  m_control->Start();
  m_log.WriteUnthrottled("started", {{"version", FESCUERAMP_VERSION},
                                     {"zone", m_settings.m_zone},
                                     {"address", m_settings.m_address},
                                     {"caller_port", m_settings.m_caller_port},
                                     {"link_port", m_settings.m_link_port},
                                     {"adapter", m_settings.m_adapter},
                                     {"incarnation", m_node_settings.m_self.m_incarnation}});
}

void NodeDaemon::MakeControlPlane(const Adapter* adapter) {
  const auto revision_in_force = [this] { return m_reducer.Revision(); };
  if (!adapter) {
    auto config = std::make_unique<ConfigService>(m_io.get_executor(), m_clock, *this, m_store, m_links,
                                                  m_settings.m_link_keys, revision_in_force);
    m_config = config.get();
    m_control = std::move(config);
    return;
  }
  ControlPlaneContext context;
  context.m_executor = m_io.get_executor();
  context.m_clock = &m_clock;
  context.m_sink = this;
  context.m_links = &m_links;
  context.m_log = &m_log;
  context.m_settings = &m_settings;
  context.m_self = m_node_settings.m_self;
  context.m_revision_in_force = revision_in_force;
  m_control = adapter->MakeControlPlane(std::move(context));
}

void NodeDaemon::OpenServers() {
  const auto executor = m_io.get_executor();
  HttpServerSettings caller;
  caller.m_address = m_settings.m_address;
  caller.m_port = ToPort(m_settings.m_caller_port);
  caller.m_malformed_request_body = MalformedRequestBody;
  caller.m_framing = Framing();
  HttpServerSettings admin = caller;
  caller.m_memory = Memory();
  caller.m_connection_ended = [this](const ConnectionSummary& summary) {
    LogConnectionEnd("callers", summary);
  };
  m_caller_server = std::make_unique<HttpServer>(
      executor, caller,
      [this](std::shared_ptr<HttpExchange> exchange) { return m_entry->Handle(std::move(exchange)); });
  admin.m_port = ToPort(m_settings.m_admin_port);
  admin.m_connection_ended = [this](const ConnectionSummary& summary) { LogExceededLimit("admin", summary); };
  m_admin_server = std::make_unique<HttpServer>(
      executor, admin,
      [this](std::shared_ptr<HttpExchange> exchange) { return m_admin->Handle(std::move(exchange)); });
  if (const auto ready_address = ParseSocketAddress(m_settings.m_ready_address)) {
    HttpServerSettings ready = admin;
    ready.m_connection_ended = [this](const ConnectionSummary& summary) {
      LogExceededLimit("ready", summary);
    };
    ready.m_address = ready_address->m_address;
    ready.m_port = ToPort(ready_address->m_port);
    m_ready_server = std::make_unique<HttpServer>(
        executor, ready,
        [this](std::shared_ptr<HttpExchange> exchange) { return HandleReadiness(std::move(exchange)); });
  }
}

void NodeDaemon::OpenLinkPort() {
  const tcp::endpoint link_endpoint(asio::ip::make_address(m_settings.m_address),
                                    ToPort(m_settings.m_link_port));
  m_link_acceptor.open(link_endpoint.protocol());
  m_link_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_link_acceptor.bind(link_endpoint);
  m_link_acceptor.listen(kLinkBacklog);
  asio::co_spawn(m_io, AcceptLinks(), asio::detached);
}

FramingLimits NodeDaemon::Framing() const {
  return {static_cast<std::size_t>(m_settings.m_max_chunk_line_bytes),
          static_cast<std::size_t>(m_settings.m_max_trailer_bytes),
          static_cast<std::size_t>(m_settings.m_max_framing_bytes)};
}

void NodeDaemon::LogConnectionEnd(const std::string& port, const ConnectionSummary& summary) {
  const bool exceeded = summary.m_exceeded_limit != ExceededLimit::kNone;
  if (exceeded) m_metrics.RecordRefusedInput(port, std::string(EnumName(summary.m_exceeded_limit)));
  if (summary.m_requests == summary.m_responses && summary.m_discarded_bytes == 0 && !exceeded) return;
  m_log.Write("connection_ended", {{"port", port},
                                   {"connection", summary.m_connection},
                                   {"end", EnumName(summary.m_end)},
                                   {"exceeded_limit", EnumName(summary.m_exceeded_limit)},
                                   {"requests", summary.m_requests},
                                   {"responses", summary.m_responses},
                                   {"discarded_bytes", summary.m_discarded_bytes}});
}

void NodeDaemon::LogExceededLimit(const std::string& port, const ConnectionSummary& summary) {
  if (summary.m_exceeded_limit != ExceededLimit::kNone) LogConnectionEnd(port, summary);
}

asio::awaitable<void> NodeDaemon::HandleReadiness(std::shared_ptr<HttpExchange> exchange) {
  const bool ready = m_reducer.Ready();
  const std::int64_t status = ready ? kStatusOk : kStatusUnavailable;
  co_await exchange->Send(status, {}, ready ? "ready\n" : "not ready\n");
}

void NodeDaemon::ApplyListenerLimits() {
  const auto& listeners = m_reducer.Table()->Set().m_listeners;
  const auto listener_entry = listeners.find(kCallerListener);
  if (listener_entry == listeners.end()) return;
  const Listener& listener = listener_entry->second;
  HttpServerLimits limits;
  limits.m_framing = Framing();
  limits.m_max_header_bytes = static_cast<std::uint32_t>(listener.m_max_header_bytes);
  limits.m_header_timeout = std::chrono::milliseconds(listener.m_header_timeout_ms);
  limits.m_idle_timeout = std::chrono::milliseconds(listener.m_idle_timeout_ms);
  m_caller_server->SetLimits(limits);
}

asio::awaitable<void> NodeDaemon::WatchSettingsFile() {
  std::error_code ec;
  auto last = std::filesystem::last_write_time(m_settings_path, ec);
  while (true) {
    co_await Sleep(kSettingsPollPeriod);
    const auto changed = std::filesystem::last_write_time(m_settings_path, ec);
    if (ec || changed == last) continue;
    last = changed;
    ReloadSettings("the settings file has changed");
  }
}

NodeDaemon::~NodeDaemon() = default;

void NodeDaemon::Post(Event event) {
  m_events.push_back(std::move(event));
  if (m_processing_events) return;
  m_processing_events = true;
  while (!m_events.empty()) {
    const Event next = std::move(m_events.front());
    m_events.pop_front();
    const Instant now = m_clock.Now();
    const Effects effects = m_reducer.Reduce(next, now);
    if (m_trace) m_trace->Write(next, now, effects);
    for (const auto& effect : effects) {
      std::visit([&](const auto& item) { RunEffect(item); }, effect);
    }
  }
  m_processing_events = false;
}

asio::awaitable<void> NodeDaemon::TickLoop() {
  while (true) {
    bool idle = true;
    for (const auto& [service, dispatcher] : m_reducer.Dispatchers()) idle = idle && dispatcher->Idle();
    co_await Sleep(idle ? kIdleTickPeriod : kTickPeriod);
    Post(Tick{});
  }
}

asio::awaitable<void> NodeDaemon::LogDispatcherLoads() {
  while (true) {
    co_await Sleep(kCoverageWindow);
    for (const auto& [service, dispatcher] : m_reducer.Dispatchers()) {
      const DispatcherLoad load = dispatcher->Load(m_clock.Now());
      if (load.m_running + load.m_queued + load.m_endpoints_used == 0) continue;
      m_log.Write("dispatcher_load", ToJson(load).as_object());
    }
  }
}

asio::awaitable<void> NodeDaemon::EnforceMemoryBudget() {
  auto log_due = std::chrono::steady_clock::now();
  std::int64_t logged_bodies = 0;
  std::int64_t logged_all = 0;
  while (true) {
    co_await Sleep(kMemoryCheckPeriod);
    const auto now = std::chrono::steady_clock::now();
    for (const std::size_t held : m_memory.CloseConnections(now)) {
      m_metrics.RecordMemoryDecision("close_connection");
      m_log.Write("memory_connection_closed",
                  {{"connection_bytes", held}, {"held_bytes", m_memory.Load().m_held}});
    }
    if (now < log_due) continue;
    log_due = now + kMemoryLogPeriod;
    const std::int64_t bodies = m_memory.Refused(MemoryAdmission::kRefuseBodies);
    const std::int64_t all = m_memory.Refused(MemoryAdmission::kRefuseAll);
    LogMemoryRefusals(bodies - std::exchange(logged_bodies, bodies), all - std::exchange(logged_all, all));
  }
}

void NodeDaemon::LogMemoryRefusals(std::int64_t refused_bodies, std::int64_t refused_all) {
  if (refused_bodies + refused_all == 0) return;
  m_log.Write("memory_refused", {{"refuse_bodies", refused_bodies},
                                 {"refuse_all", refused_all},
                                 {"held_bytes", m_memory.Load().m_held},
                                 {"budget_bytes", m_memory.Load().m_budget}});
}

asio::awaitable<void> NodeDaemon::LoadInitialConfiguration() {
  // Gossip also announces the revisions of other nodes, so the store is read only until one of them is
  // loaded.
  std::chrono::milliseconds wait = kMinLoadRetryDelay;
  while (m_reducer.Revision() == 0) {
    co_await m_control->LoadFromStore();
    if (m_reducer.Revision() > 0) break;
    // Exponential backoff, because a fleet without a configuration must not overload the store.
    co_await Sleep(wait);
    wait = std::min<std::chrono::milliseconds>(wait * 2, kMaxLoadRetryDelay);
  }
}

asio::awaitable<void> NodeDaemon::AcceptLinks() {
  while (true) {
    boost::system::error_code ec;
    tcp::socket socket = co_await m_link_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) break;
    if (ec) {
      co_await Sleep(kTickPeriod);
      continue;
    }
    const auto link =
        std::make_shared<Link>(std::move(socket), true, [this](std::shared_ptr<LinkStream> stream) {
          asio::co_spawn(m_io, ServeStream(std::move(stream)), asio::detached);
        });
    link->SetLimitHandler([this] { m_metrics.RecordRefusedInput("links", "stream"); });
    if (Memory()) link->SetMemory(m_memory.LinkAccount());
    link->Start();
    std::erase_if(m_accepted_links, [](const auto& accepted) { return accepted.expired(); });
    m_accepted_links.push_back(link);
  }
}

bool NodeDaemon::LinksHaveUndeliveredBytes() const {
  return std::any_of(m_accepted_links.begin(), m_accepted_links.end(), [](const auto& accepted) {
    const auto link = accepted.lock();
    return link && link->HasUndeliveredBytes();
  });
}

asio::awaitable<void> NodeDaemon::ServeStream(std::shared_ptr<LinkStream> stream) {
  const std::string path(FindHeader(stream->Headers(), ":path"));
  const std::string_view code = FindHeader(stream->Headers(), wire::kAuthField);
  const bool is_dispatch = path == wire::kDispatchPath;
  const std::string_view subject =
      is_dispatch ? FindHeader(stream->Headers(), wire::kDispatchField) : std::string_view(path);
  if (!wire::VerifyAuthCode(m_settings.m_link_keys, code, subject)) {
    m_metrics.RecordResponse("LINK_UNAUTHORIZED");
    stream->Reset();
    co_return;
  }
  if (is_dispatch) {
    co_await m_dispatch->Handle(std::move(stream));
    co_return;
  }
  std::optional<std::string> text;
  if (path.starts_with(wire::kConfigPath))
    text = m_control->Serve(path.substr(std::string(wire::kConfigPath).size()));
  if (path.starts_with(wire::kQueryPath))
    text = m_admin->HandleNodeQuery(path.substr(std::string(wire::kQueryPath).size()));
  try {
    stream->SendHeaders({{":status", text ? "200" : "404"}});
    if (text) co_await stream->Write(std::move(*text));
    stream->Finish();
  } catch (const LinkError&) {
    m_metrics.RecordResponse("LINK_LOST");
  }
}

void NodeDaemon::RunEffect(const ReportHealth& effect) {
  const HealthChange& change = effect.m_change;
  m_metrics.RecordHealthChange(effect.m_service, std::string(EnumName(change.m_state)));
  m_log.Write("endpoint_health", {{"endpoint", change.m_endpoint},
                                  {"service", effect.m_service},
                                  {"state", EnumName(change.m_state)},
                                  {"reason", change.m_reason},
                                  {"error_evidence", change.m_error_evidence},
                                  {"latency_evidence", change.m_latency_evidence}});
}

void NodeDaemon::RunEffect(const ReportConstraint& effect) {
  m_log.Write("endpoint_constraint", {{"endpoint", effect.m_endpoint},
                                      {"service", effect.m_service},
                                      {"limit_per_s", ToJson(effect.m_limit_per_s)},
                                      {"leaving", effect.m_leaving},
                                      {"pause_ms", effect.m_pause_ms},
                                      {"source", effect.m_source}});
}

void NodeDaemon::RunEffect(const ReportQuarantine& effect) {
  m_log.Write("request_quarantined", {{"request", effect.m_caller_id},
                                      {"internal_id", effect.m_request_id},
                                      {"service", effect.m_service},
                                      {"breaks", ToJson(effect.m_breaks)}});
}

void NodeDaemon::RunEffect(const ReportQuota& effect) {
  if (effect.m_refused > 0) m_metrics.RecordQuotaRefusals(effect.m_group, effect.m_refused);
  if (effect.m_began) m_log.Write("quota_exceeded", {{"account", effect.m_account}});
  if (effect.m_refused > 0)
    m_log.Write("quota_refused", {{"account", effect.m_account}, {"requests", effect.m_refused}});
  if (effect.m_ended) m_log.Write("quota_kept", {{"account", effect.m_account}});
}

void NodeDaemon::RunEffect(const SendGossip& effect) {
  m_gossip->Send(effect.m_address, effect.m_port, effect.m_message);
}

void NodeDaemon::RunEffect(const ReportMember& effect) {
  m_metrics.RecordMemberChange(std::string(EnumName(effect.m_member.m_state)));
  m_log.Write("member", {{"member", effect.m_member.m_node},
                         {"state", EnumName(effect.m_member.m_state)},
                         {"incarnation", effect.m_member.m_incarnation}});
}

asio::awaitable<void> NodeDaemon::RunStoreOperation(StoreEffect operation) {
  StoreResponded store_response =
      co_await std::visit([&](auto& request) { return m_store.Run(std::move(request)); }, operation);
  Post(std::move(store_response));
}

void NodeDaemon::RunEffect(const FetchConfiguration& effect) {
  asio::co_spawn(
      m_io,
      [](NodeDaemon* self, FetchConfiguration fetch) -> asio::awaitable<void> {
        co_await self->m_control->LoadFromNode(std::move(fetch));
      }(this, effect),
      asio::detached);
}

void NodeDaemon::RunEffect(const ReportConfiguration& effect) {
  if (effect.m_problem.empty()) {
    m_metrics.SetRevision(effect.m_revision);
    ApplyListenerLimits();
    // Parsing a large object set leaves much free memory in the heap; returns it to the system.
    malloc_trim(0);
    m_log.WriteUnthrottled("revision_in_force", {{"revision", effect.m_revision}});
  } else {
    m_log.WriteUnthrottled(
        "revision_refused",
        {{"revision", effect.m_revision}, {"in_force", m_reducer.Revision()}, {"problem", effect.m_problem}});
  }
}

void NodeDaemon::RunEffect(const SetWatchScope& effect) {
  m_log.Write("watching", {{"configuration", effect.m_scope.m_configuration},
                           {"endpoints", effect.m_scope.m_endpoints},
                           {"dispatchers", m_reducer.Dispatchers().size()}});
  m_control->SetWatchScope(effect.m_scope);
}

void NodeDaemon::RunEffect(const ReportEndpointList& effect) {
  m_log.WriteUnthrottled("endpoint_list",
                         {{"state", EnumName(effect.m_state)}, {"version", effect.m_version}});
}

void NodeDaemon::RunEffect(const ShutdownComplete&) { asio::co_spawn(m_io, StopWhenIdle(), asio::detached); }

asio::awaitable<void> NodeDaemon::StopWhenIdle() {
  // Callers that send a request are asked to close their connection. Idle ones are awaited for a short time
  // only; those that still read a response, and links, are awaited until the grace time is over.
  const Instant idle_wait_end = m_clock.Now() + kMaxIdleConnectionWait;
  while (!m_caller_port_closed || m_entry->RequestsInProgress() > 0 || m_dispatch->RequestsInProgress() > 0 ||
         (m_caller_server->Connections() > 0 && m_clock.Now() < idle_wait_end) ||
         m_caller_server->Unfinished() || LinksHaveUndeliveredBytes()) {
    co_await Sleep(kTickPeriod);
  }
  m_log.WriteUnthrottled("stopped", {{"reason", "all requests have ended"}});
  m_log.Flush();
  m_io.stop();
}

asio::awaitable<void> NodeDaemon::DrainAndStop() {
  // The balancer must see that the node is not ready before the port closes.
  m_caller_server->Drain();
  Post(ShutdownRequested{});
  const auto leave_notice = std::chrono::milliseconds(m_settings.m_leave_notice_ms);
  co_await Sleep(leave_notice);
  // The callers' port closes now, because later requests might not finish within the grace time.
  m_caller_server->Stop();
  m_caller_server->StopAccepting();
  m_caller_port_closed = true;
  Post(CallerPortClosed{});
  co_await Sleep(std::chrono::seconds(m_settings.m_shutdown_grace_s) - kShutdownMargin - kFinalResponseTime -
                 leave_notice);
  // A response that is ready may wait behind a request in progress, and would be lost with the process.
  m_entry->TimeOutForwards();
  co_await Sleep(kFinalResponseTime);
  m_log.WriteUnthrottled("stopped", {{"reason", "the grace time is over"},
                                     {"caller_requests", m_entry->RequestsInProgress()},
                                     {"dispatched_requests", m_dispatch->RequestsInProgress()}});
  m_log.Flush();
  m_io.stop();
}

void NodeDaemon::Shutdown() {
  if (std::exchange(m_shutdown_started, true)) return;
  m_log.WriteUnthrottled("stopping", {{"caller_requests", m_entry->RequestsInProgress()},
                                      {"dispatched_requests", m_dispatch->RequestsInProgress()}});
  asio::co_spawn(m_io, DrainAndStop(), asio::detached);
}

void NodeDaemon::HandleSignals() {
  m_signals.async_wait([this](const boost::system::error_code& ec, int number) {
    if (ec) return;
    if (number == SIGHUP)
      ReloadSettings("signal");
    else
      Shutdown();
    HandleSignals();
  });
}

void NodeDaemon::ReloadSettings(std::string_view cause) {
  try {
    Settings reloaded = LoadSettings(m_settings_path);
    m_settings.m_link_keys = std::move(reloaded.m_link_keys);
    m_settings.m_receipt_keys = std::move(reloaded.m_receipt_keys);
    m_settings.m_operators = std::move(reloaded.m_operators);
    m_gossip->SetKeys(m_settings.m_link_keys);
    m_log.WriteUnthrottled("reloaded", {{"cause", cause}, {"taken", "link keys, receipt keys, operators"}});
  } catch (const Error& error) {
    m_log.WriteUnthrottled("reload_refused", {{"cause", cause}, {"problem", error.what()}});
  }
}

void NodeDaemon::UpdateMemoryGauges() {
  m_metrics.SetGauge("memory_budget_bytes", static_cast<double>(m_memory.Load().m_budget));
  m_metrics.SetGauge("memory_held_bytes", static_cast<double>(m_memory.Load().m_held));
  for (std::size_t kind = 0; kind < kMemoryKinds; ++kind) {
    m_metrics.SetGauge("memory_bytes_" + std::string(EnumTable<MemoryKind>::kNames[kind]),
                       static_cast<double>(m_memory.Held(static_cast<MemoryKind>(kind))));
  }
}

void NodeDaemon::UpdateQuotaGauges() {
  const FleetQuotas& quotas = m_reducer.Quotas();
  const auto set = [this](const char* name, std::int64_t value) {
    m_metrics.SetGauge(name, static_cast<double>(value));
  };
  set("quota_credits_granted", quotas.Grantor().Totals().m_granted);
  set("quota_credits_lost", quotas.Grantor().Totals().m_expired);
  set("quota_credits_used", quotas.Client().Totals().m_used);
  set("quota_credits_returned", quotas.Client().Totals().m_returned);
  set("quota_credits_expired", quotas.Client().Totals().m_expired);
}

void NodeDaemon::UpdateGauges() {
  UpdateQuotaGauges();
  m_metrics.SetGauge("gossip_bytes_sent", static_cast<double>(m_gossip->BytesSent()));
  m_metrics.SetGauge("gossip_bytes_received", static_cast<double>(m_gossip->BytesReceived()));
  m_metrics.SetGauge("gossip_refused", static_cast<double>(m_gossip->Refused()));
  m_metrics.SetGauge("store_calls", static_cast<double>(m_control->Calls()));
  m_metrics.SetGauge("store_available", m_control->Available() ? 1 : 0);
  m_metrics.SetGauge("log_lines_dropped", static_cast<double>(m_log.Dropped()));
  m_metrics.SetGauge("journal_records", static_cast<double>(m_journal.Size()));
  m_metrics.SetGauge("caller_connections", static_cast<double>(m_caller_server->Connections()));
  if (Memory()) UpdateMemoryGauges();
  double queued = 0;
  std::vector<DispatcherLoad> loads;
  for (const auto& [service, dispatcher] : m_reducer.Dispatchers()) {
    loads.push_back(dispatcher->Load(m_clock.Now()));
    queued += static_cast<double>(loads.back().m_queued);
  }
  m_metrics.SetDispatcherLoads(loads);
  m_metrics.SetGauge("queued", queued);
}

}  // namespace fescueramp
