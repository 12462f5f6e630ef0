#include "unit_tests/watching_node.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

namespace fescueramp::platform {
namespace {

constexpr std::chrono::milliseconds kTimerPeriod{100};

}  // namespace

std::string ConfigText(const std::string& version) {
  return R"({"version":")" + version + R"(","routes":[
   {"name":"read","host":"read.example","prefix":"/r/","kind":"idempotent","timeout":"1.2s",
    "targetLatency":"600ms","priority":2,"service":"a","maxAttempts":2}],
   "services":[{"name":"a","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false}],
   "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

std::string EndpointText(const std::string& state, int sequence, std::int64_t born) {
  return R"({"address":"10.128.0.9:8080","info":{"service":"a","version":"v1","zone":"az0","slots":2},"status":{"state":")" +
         state + R"(","sequence":)" + std::to_string(sequence) + R"(,"coldRemaining":"0ms"},"born":)" +
         std::to_string(born) + "}";
}

WatchingNode::WatchingNode()
    : m_io(1),
      m_store(m_io),
      m_links(m_io.get_executor()),
      m_log(m_io.get_executor(), m_clock, "n0", {0, 0}) {
  m_settings.m_platform.m_address = "127.0.0.1";
  m_settings.m_platform.m_port = m_store.Port();
  m_settings.m_link_keys = {"0123456789abcdef"};
}

void WatchingNode::Post(Event event) {
  if (const auto* loaded = std::get_if<ConfigurationLoaded>(&event);
      loaded && loaded->m_revision > m_revision) {
    m_revision = loaded->m_revision;
    m_taken.push_back(m_revision);
  }
  m_failed_reads += std::holds_alternative<EndpointListFailed>(event) ? 1 : 0;
  if (const auto* listed = std::get_if<EndpointsListed>(&event)) {
    ++m_lists;
    // An older list never replaces a newer one.
    if (m_listed && listed->m_version < m_listed->m_version) return;
    m_listed = *listed;
  }
}

void WatchingNode::MakeControl() {
  ControlPlaneContext context;
  context.m_executor = m_io.get_executor();
  context.m_clock = &m_clock;
  context.m_sink = this;
  context.m_links = &m_links;
  context.m_log = &m_log;
  context.m_settings = &m_settings;
  context.m_self.m_node = "n0";
  context.m_revision_in_force = [this] { return m_revision; };
  m_control = std::make_unique<PlatformControl>(std::move(context));
}

void WatchingNode::Start() {
  MakeControl();
  m_control->Start();
  m_control->SetWatchScope({true, true});
  BOOST_REQUIRE(RunUntil([&] { return m_store.WaitingWatches() == 2 && m_store.Has(kNodeKey); }));
}

bool WatchingNode::RunUntil(const std::function<bool()>& condition, int max_timers) {
  asio::steady_timer timer(m_io);
  int timers = 0;
  std::function<void()> start = [&] {
    timer.expires_after(kTimerPeriod);
    timer.async_wait([&](const boost::system::error_code& ec) {
      if (ec) return;
      ++timers;
      start();
    });
  };
  start();
  while (!condition() && timers < max_timers) m_io.run_one();
  timer.cancel();
  // Runs the handler of the cancelled timer, which refers to local variables.
  m_io.poll();
  return condition();
}

bool WatchingNode::Await(asio::awaitable<bool> work) {
  const auto result = std::make_shared<std::optional<bool>>();
  asio::co_spawn(m_io, std::move(work),
                 [result](std::exception_ptr error, bool value) { *result = !error && value; });
  return RunUntil([&] { return result->has_value(); }) && **result;
}

bool WatchingNode::Listed(const std::string& name, bool leaving) const {
  return m_listed && std::any_of(m_listed->m_endpoints.begin(), m_listed->m_endpoints.end(),
                                 [&](const auto& e) { return e.m_name == name && e.m_leaving == leaving; });
}

}  // namespace fescueramp::platform
