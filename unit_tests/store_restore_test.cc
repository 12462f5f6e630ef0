#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "platform/platform_control.h"
#include "unit_tests/kv_store_stand_in.h"

namespace fescueramp::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string kNodeKey = "fescueramp/nodes/n0";

std::string ConfigText(const std::string& version) {
  return R"({"version":")" + version + R"(","routes":[
   {"name":"read","host":"read.example","prefix":"/r/","kind":"idempotent","timeout":"1.2s",
    "targetLatency":"600ms","priority":2,"service":"a","maxAttempts":2}],
   "services":[{"name":"a","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false}],
   "limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}})";
}

std::string EndpointText(const std::string& state, int sequence, std::int64_t born = 1700000000000) {
  return R"({"address":"10.128.0.9:8080","info":{"service":"a","version":"v1","zone":"az0","slots":2},"status":{"state":")" +
         state + R"(","sequence":)" + std::to_string(sequence) + R"(,"coldRemaining":"0ms"},"born":)" +
         std::to_string(born) + "}";
}

/// Time in which the users want a change to be in force, counted in timers that expire on the node's own
/// thread: where the machine is slow, they are as late as the node's timers.
constexpr int kMaxTimers = 40;
constexpr milliseconds kTimerPeriod{100};

/// A control plane that watches a store on loopback, and what it has posted. Its clock stands still.
class WatchingNode final : public EventSink {
 public:
  WatchingNode()
      : m_io(1),
        m_store(m_io),
        m_links(m_io.get_executor()),
        m_log(m_io.get_executor(), m_clock, "n0", {0, 0}) {
    m_settings.m_platform.m_address = "127.0.0.1";
    m_settings.m_platform.m_port = m_store.Port();
    m_settings.m_link_keys = {"0123456789abcdef"};
  }

  void Post(Event event) override {
    if (const auto* loaded = std::get_if<ConfigurationLoaded>(&event))
      m_revision = std::max(m_revision, loaded->m_revision);
    if (const auto* listed = std::get_if<EndpointsListed>(&event)) {
      // An older list never replaces a newer one.
      if (m_listed && listed->m_version < m_listed->m_version) return;
      m_listed = *listed;
    }
  }

  /// Starts the control plane and waits until it has read and registered everything and watches.
  void Start() {
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
    m_control->Start();
    m_control->SetWatchScope({true, true});
    BOOST_REQUIRE(RunUntil([&] { return m_store.WaitingWatches() == 2 && m_store.Has(kNodeKey); }));
  }

  /// Runs until a condition holds; false if that takes longer than the users allow for a change.
  bool RunUntil(const std::function<bool()>& condition) {
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
    while (!condition() && timers < kMaxTimers) m_io.run_one();
    timer.cancel();
    // Runs the handler of the cancelled timer, which refers to local variables.
    m_io.poll();
    return condition();
  }

  KvStoreStandIn& Store() { return m_store; }
  std::int64_t Revision() const { return m_revision; }

  /// Whether the endpoint is listed, and as leaving.
  bool Listed(const std::string& name, bool leaving) const {
    return m_listed && std::any_of(m_listed->m_endpoints.begin(), m_listed->m_endpoints.end(),
                                   [&](const auto& e) { return e.m_name == name && e.m_leaving == leaving; });
  }

 private:
  asio::io_context m_io;
  ManualClock m_clock;
  KvStoreStandIn m_store;
  LinkPool m_links;
  EventLog m_log;
  Settings m_settings;
  std::int64_t m_revision = 0;
  std::optional<EndpointsListed> m_listed;
  std::unique_ptr<PlatformControl> m_control;
};

BOOST_AUTO_TEST_SUITE(store_restore)

/// How a store comes back from an earlier copy.
struct RestoreCase {
  const char* m_name;
  WatchEnd m_watch_end;
  bool m_passed;  ///< Whether the revision of before has been given out again when the node asks next.
};

std::ostream& operator<<(std::ostream& out, const RestoreCase& row) { return out << row.m_name; }

const RestoreCase kRestoreCases[] = {
    {"watches end with a response, the revision is lower", WatchEnd::kResponse, false},
    {"watches end with a response, the revision has passed", WatchEnd::kResponse, true},
    {"watches are cut, the revision is lower", WatchEnd::kCut, false},
    {"watches are cut, the revision has passed", WatchEnd::kCut, true},
};

constexpr std::int64_t kWatchedRevision = 20;  ///< Revision of the store when it is restored.

BOOST_DATA_TEST_CASE(ChangeAfterARestorationIsSeen, boost::unit_test::data::make(kRestoreCases), row) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Put("servers/i-1", EndpointText("ready", 4));
  node.Store().Copy();
  node.Store().AdvanceTo(kWatchedRevision - 1);
  node.Start();
  BOOST_TEST(node.Store().Revision() == kWatchedRevision);
  node.Store().Restore(row.m_watch_end, false);
  node.Store().Put("op/config", ConfigText("0000001d"));
  node.Store().Put("servers/i-1", EndpointText("draining", 9));
  if (row.m_passed) node.Store().AdvanceTo(kWatchedRevision + 1);
  BOOST_TEST(node.RunUntil([&] { return node.Revision() == 0x1d; }));
  BOOST_TEST(node.RunUntil([&] { return node.Listed("i-1", true); }));
}

BOOST_DATA_TEST_CASE(NodeRegistersAgainAfterARestoration, boost::unit_test::data::make(kRestoreCases), row) {
  // The lease of before is valid, as another client's may have got its number.
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Copy();
  node.Store().AdvanceTo(kWatchedRevision - 1);
  node.Start();
  node.Store().Restore(row.m_watch_end, true);
  if (row.m_passed) node.Store().AdvanceTo(kWatchedRevision + 1);
  BOOST_TEST(!node.Store().Has(kNodeKey));
  BOOST_TEST(node.RunUntil([&] { return node.Store().Has(kNodeKey); }));
}

BOOST_AUTO_TEST_CASE(OlderConfigurationOfARestoredStoreIsNotTaken) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Copy();
  node.Store().Put("op/config", ConfigText("0000001d"));
  node.Start();
  node.Store().Restore(WatchEnd::kResponse, false);
  node.RunUntil([&] { return node.Revision() != 0x1d || node.Store().WaitingWatches() == 2; });
  BOOST_TEST(node.Revision() == 0x1d);
}

/// An endpoint's entry before the store is restored, the one in the copy, and what must be listed.
struct CopiedEntryCase {
  const char* m_name;
  std::optional<std::string> m_before;  ///< Nothing: removed.
  std::string m_copied;
  bool m_listed;
  bool m_leaving;
};

std::ostream& operator<<(std::ostream& out, const CopiedEntryCase& row) { return out << row.m_name; }

const CopiedEntryCase kCopiedEntries[] = {
    {"ready, as before", EndpointText("ready", 9), EndpointText("ready", 4), true, false},
    {"leaving since", EndpointText("draining", 9), EndpointText("ready", 4), true, true},
    {"leaving since, written again", EndpointText("draining", 9), EndpointText("draining", 10), true, true},
    {"gone since", std::nullopt, EndpointText("ready", 4), false, false},
    {"gone since, but lives", std::nullopt, EndpointText("ready", 7), true, false},
    {"gone since, started again", std::nullopt, EndpointText("ready", 1, 1700000009000), true, false},
    {"started again since", EndpointText("ready", 1, 1700000009000), EndpointText("draining", 6), true,
     false},
};

BOOST_DATA_TEST_CASE(CopiedEntryDoesNotUndoWhatItsEndpointWroteSince,
                     boost::unit_test::data::make(kCopiedEntries), row) {
  const auto item = [](std::optional<std::string> value) {
    KvItem found;
    found.m_key = "servers/i-1";
    found.m_removed = !value;
    found.m_value = std::move(value);
    return found;
  };
  ManualClock clock;
  EndpointDirectory directory;
  directory.Replace({item(EndpointText("ready", 4))}, clock.Now());
  clock.Advance(seconds(10));
  // Entries change more often than their state.
  directory.Apply({item(EndpointText("ready", 6))}, clock.Now());
  directory.Apply({item(row.m_before)}, clock.Now());
  clock.Advance(seconds(1));
  directory.HandleRestoration();
  directory.Replace({item(row.m_copied)}, clock.Now());
  const auto endpoints = directory.Endpoints();
  BOOST_REQUIRE(endpoints.size() == (row.m_listed ? 1U : 0U));
  if (row.m_listed) BOOST_TEST(endpoints[0].m_leaving == row.m_leaving);
}

BOOST_AUTO_TEST_CASE(EndpointMissingInTheCopyIsKeptUntilItRegistersAgain) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Copy();
  node.Store().Put("servers/i-1", EndpointText("ready", 4));
  node.Start();
  BOOST_REQUIRE(node.RunUntil([&] { return node.Listed("i-1", false); }));
  node.Store().Restore(WatchEnd::kResponse, false);
  // Watches again, after the new read.
  node.RunUntil([&] { return node.Store().WaitingWatches() == 0; });
  BOOST_REQUIRE(node.RunUntil([&] { return node.Store().WaitingWatches() == 2; }));
  BOOST_TEST(node.Listed("i-1", false));
}

BOOST_AUTO_TEST_CASE(CopiedEntryIsUsedIfItOutlivesTheHeartbeats) {
  const auto item = [](bool removed) {
    KvItem found;
    found.m_key = "servers/i-1";
    found.m_removed = removed;
    if (!removed) found.m_value = EndpointText("ready", 4);
    return found;
  };
  ManualClock clock;
  EndpointDirectory directory;
  directory.Replace({item(false)}, clock.Now());
  clock.Advance(seconds(10));
  directory.Apply({item(true)}, clock.Now());
  directory.HandleRestoration();
  directory.Replace({item(false)}, clock.Now());
  clock.Advance(EndpointDirectory::kCopiedEntryLifetime - milliseconds(1));
  BOOST_TEST(!directory.Expire(clock.Now()));
  BOOST_TEST(directory.Endpoints().empty());
  clock.Advance(milliseconds(1));
  BOOST_TEST(directory.Expire(clock.Now()));
  BOOST_TEST(directory.Endpoints().size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp::platform
