#include <boost/test/unit_test.hpp>

#include "unit_tests/watching_node.h"

namespace fescueramp::platform {
namespace {

constexpr WatchScope kEverything{true, true};
constexpr WatchScope kConfigurationOnly{true, false};

BOOST_AUTO_TEST_SUITE(endpoint_watch)

// Guards against a node that waits for the next change of a list that it has asked for again.
BOOST_AUTO_TEST_CASE(EachWatchReadsTheListAnew) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("00000001"));
  node.Store().Put("servers/i-1", EndpointText("ready", 1));
  node.Start();
  BOOST_REQUIRE(node.Lists() == 1);
  node.Control().SetWatchScope(kConfigurationOnly);
  node.Control().SetWatchScope(kEverything);
  BOOST_TEST(node.RunUntil([&] { return node.Lists() == 2; }));
}

// Guards against a late response of an earlier watch that is posted after the list of a later one.
BOOST_AUTO_TEST_CASE(EarlierWatchPostsNothing) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("00000001"));
  node.Store().Put("servers/i-1", EndpointText("ready", 1));
  node.Start();
  node.Control().SetWatchScope(kConfigurationOnly);
  node.Store().Put("servers/i-1", EndpointText("draining", 2));
  BOOST_TEST(node.RunUntil([&] { return node.Store().WaitingWatches() == 1; }));
  BOOST_TEST(node.Lists() == 1);
  node.Control().SetWatchScope(kEverything);
  BOOST_TEST(node.RunUntil([&] { return node.Listed("i-1", true); }));
  BOOST_TEST(node.Lists() == 2);
}

// Guards against the use of the list of an earlier watch while the store is away.
BOOST_AUTO_TEST_CASE(FailedReadIsReportedAndPostsNoList) {
  WatchingNode node;
  node.Store().Put("servers/i-1", EndpointText("ready", 1));
  node.TakeStoreAway();
  node.MakeControl();
  node.Control().SetWatchScope(kEverything);
  BOOST_TEST(node.RunUntil([&] { return node.FailedReads() > 1; }));
  BOOST_TEST(node.Lists() == 0);
}

// Guards against a node that is in touch with the store again, but not with what it missed: the endpoints
// that left during its cut. Their entries are kept for kReregistrationTime from the first read on.
BOOST_AUTO_TEST_CASE(ListIsReadSoonAfterTheStoreAnswersAgain) {
  constexpr int kLongestDelayReached = 4;  // Failed reads.
  constexpr int kMaxTimersToRead = 5;
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("00000001"));
  node.Store().Put("servers/i-1", EndpointText("ready", 1));
  node.Start();
  node.Store().SetRefusing(true);
  BOOST_REQUIRE(node.RunUntil([&] { return node.FailedReads() >= kLongestDelayReached; }));
  BOOST_TEST(node.Lists() == 1);
  node.Store().SetRefusing(false);
  BOOST_TEST(node.RunUntil([&] { return node.Lists() == 2; }, kMaxTimersToRead));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp::platform
