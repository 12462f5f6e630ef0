#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "unit_tests/watching_node.h"

namespace fescueramp::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
