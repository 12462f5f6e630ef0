#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "unit_tests/discovery_node.h"
#include "unit_tests/fixtures.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(discovery)

/// How a forward fails, whether the dispatcher had a permit, and the response to the caller.
struct FailedForwardCase {
  ForwardOutcome m_outcome;
  bool m_permitted;
  ResultCode m_code;  ///< kOk when the request goes to another dispatcher.
  bool m_maybe_ran;
};

std::ostream& operator<<(std::ostream& out, const FailedForwardCase& row) {
  return out << EnumName(row.m_outcome) << (row.m_permitted ? " permitted" : " not permitted");
}

const FailedForwardCase kFailedForwardCases[] = {
    {ForwardOutcome::kConnectFailed, false, ResultCode::kOk, false},
    {ForwardOutcome::kLinkLost, false, ResultCode::kOk, false},
    {ForwardOutcome::kHandedBack, false, ResultCode::kOk, false},
    {ForwardOutcome::kTimedOut, false, ResultCode::kAttemptNotRun, false},
    {ForwardOutcome::kLinkLost, true, ResultCode::kOutcomeUnknown, true},
    {ForwardOutcome::kTimedOut, true, ResultCode::kOutcomeUnknown, true},
};

BOOST_DATA_TEST_CASE(NonRepeatableRequestIsPermittedOnceAndGetsItsTrueOutcome,
                     boost::unit_test::data::make(kFailedForwardCases), row) {
  DiscoveryNode node(6);
  const ForwardRequest forward = node.SubmitFiling("n0-1");
  BOOST_TEST(forward.m_withhold_permit);
  ForwardEnded ended{"n0-1", forward.m_node, row.m_outcome, true, row.m_permitted, row.m_permitted ? 1 : 0};
  const Effects effects = node.Post(ended);
  const auto retry = DiscoveryNode::Select<ForwardRequest>(effects);
  const auto refused = DiscoveryNode::Select<RefuseRequest>(effects);
  if (row.m_code == ResultCode::kOk) {
    BOOST_REQUIRE(retry.size() == 1U);
    BOOST_TEST(retry[0].m_node != forward.m_node);
    BOOST_TEST(retry[0].m_withhold_permit);
    return;
  }
  BOOST_TEST(retry.empty());
  BOOST_REQUIRE(refused.size() == 1U);
  BOOST_TEST(refused[0].m_code == static_cast<std::int64_t>(row.m_code));
  BOOST_TEST(refused[0].m_maybe_ran == row.m_maybe_ran);
}

BOOST_AUTO_TEST_CASE(ReadIsNotRunOnMoreEndpointsThanItsRouteAllows) {
  DiscoveryNode node(6);
  const auto forward =
      DiscoveryNode::Select<ForwardRequest>(node.Post(RequestReceived{"n0-1", "GET", "/read/1", "", "", 0}));
  BOOST_REQUIRE(forward.size() == 1U);
  const auto second = DiscoveryNode::Select<ForwardRequest>(
      node.Post(ForwardEnded{"n0-1", forward[0].m_node, ForwardOutcome::kLinkLost, true, true, 1}));
  BOOST_REQUIRE(second.size() == 1U);
  BOOST_TEST(second[0].m_request.m_max_attempts == 1);
  const Effects last =
      node.Post(ForwardEnded{"n0-1", second[0].m_node, ForwardOutcome::kLinkLost, true, true, 1});
  BOOST_TEST(DiscoveryNode::Select<ForwardRequest>(last).empty());
  BOOST_TEST(DiscoveryNode::Select<RefuseRequest>(last).size() == 1U);
}

BOOST_AUTO_TEST_CASE(UnresponsiveDispatcherMayHaveStartedOneUnreportedAttempt) {
  // Guards against a recorded failure: an entry host abandoned a link 22 ms after the start of a second
  // attempt that had not been reported to it, and a third endpoint ran the request.
  DiscoveryNode node(6);
  const auto forward =
      DiscoveryNode::Select<ForwardRequest>(node.Post(RequestReceived{"n0-1", "GET", "/read/1", "", "", 0}));
  BOOST_REQUIRE(forward.size() == 1U);
  ForwardEnded ended{"n0-1", forward[0].m_node, ForwardOutcome::kLinkLost, true, true, 1};
  ended.m_silent = true;
  const Effects effects = node.Post(ended);
  BOOST_TEST(DiscoveryNode::Select<ForwardRequest>(effects).empty());
  BOOST_TEST(DiscoveryNode::Select<RefuseRequest>(effects).size() == 1U);
}

BOOST_AUTO_TEST_CASE(ForwardHasTheWholeTimeoutOfItsCaller) {
  // A host that shuts down must not abandon work that an endpoint is running, not even 12 ms early.
  DiscoveryNode node(6);
  BOOST_CHECK(node.SubmitFiling("n0-1").m_request.m_deadline == node.Now() + seconds(3));
}

BOOST_AUTO_TEST_CASE(WorkIsHandedBackWhileNoEndpointListIsKnown) {
  DiscoveryNode node(3);
  node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0});
  const auto finished = node.Run<FinishRequest>(milliseconds(500));
  BOOST_REQUIRE(finished.size() == 1U);
  BOOST_TEST(finished[0].m_code == static_cast<std::int64_t>(ResultCode::kNotReady));
  BOOST_TEST(!finished[0].m_maybe_ran);
}

BOOST_AUTO_TEST_CASE(BurstAtANonOwnerWaitsForTheEndpointList) {
  // Guards against a recorded failure: 198 requests were handed back at once, and the next dispatcher, which
  // had no endpoint list yet, refused a third of them.
  DiscoveryNode node(3);
  std::vector<FinishRequest> finished;
  for (int i = 0; i < 200; ++i) {
    const Effects effects =
        node.Post(DispatchArrived{MakeFilingRequest("x-" + std::to_string(i), node.Now(), 2), 0});
    for (auto& item : DiscoveryNode::Select<FinishRequest>(effects)) finished.push_back(std::move(item));
  }
  BOOST_TEST(finished.empty());
  std::vector<LiveEndpoint> endpoints;
  for (int i = 0; i < 200; ++i) endpoints.push_back(MakeLiveEndpoint("i-" + std::to_string(i)));
  const auto started =
      DiscoveryNode::Select<StartAttempt>(node.Post(EndpointsListed{1, std::move(endpoints)}));
  BOOST_TEST(started.size() == 200U);
}

BOOST_AUTO_TEST_CASE(AfterARestartEachEndpointGetsOneRequestFirst) {
  // Guards against a recorded failure: all hosts restarted at once while a quarter of the endpoints reset
  // their connections, and each of these received as many payments as it had slots before the first result
  // was known.
  DiscoveryNode node(0);
  std::vector<LiveEndpoint> endpoints;
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(MakeLiveEndpoint("i-" + std::to_string(i)));
    endpoints.back().m_slots = 6;
  }
  node.Post(EndpointsListed{1, endpoints});
  std::map<std::string, int> running;
  for (int i = 0; i < 16; ++i) {
    const Effects effects =
        node.Post(DispatchArrived{MakeFilingRequest("x-" + std::to_string(i), node.Now()), 0});
    for (const auto& attempt : DiscoveryNode::Select<StartAttempt>(effects)) ++running[attempt.m_endpoint];
  }
  BOOST_TEST(running.size() == 12U);
  for (const auto& [endpoint, count] : running) BOOST_TEST(count == 1);
  // The first successful response makes the other slots of its endpoint available to queued requests.
  const auto started = DiscoveryNode::Select<StartAttempt>(node.Post(
      AttemptEnded{AttemptResult{"x-0", "work", 1, AttemptOutcome::kResponded, 200, milliseconds(150)}}));
  BOOST_TEST(started.size() == 4U);
}

BOOST_AUTO_TEST_CASE(WorkIsRefusedAtOnceIfTheEndpointListIsEmpty) {
  DiscoveryNode node(3);
  node.Post(EndpointsListed{1, {}});
  const auto finished = DiscoveryNode::Select<FinishRequest>(
      node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0}));
  BOOST_REQUIRE(finished.size() == 1U);
  BOOST_TEST(finished[0].m_code == static_cast<std::int64_t>(ResultCode::kNotRun));
  BOOST_TEST(!finished[0].m_maybe_ran);
}

BOOST_AUTO_TEST_CASE(WorkStartsAsSoonAsEndpointsAreListed) {
  DiscoveryNode node(3);
  node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0});
  const auto started = DiscoveryNode::Select<StartAttempt>(
      node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1", true), MakeLiveEndpoint("i-2")}}));
  BOOST_REQUIRE(started.size() == 1U);
  BOOST_TEST(started[0].m_endpoint == "i-2");
}

/// Runs a node while all other members confirm that they are alive. Returns the watch scopes that it set.
std::vector<SetWatchScope> RunAmongLiveMembers(DiscoveryNode& node, Duration span, int others = 6) {
  std::vector<SetWatchScope> scopes;
  for (const Instant end = node.Now() + span; node.Now() < end;) {
    for (auto& scope : node.Run<SetWatchScope>(milliseconds(50))) scopes.push_back(scope);
    for (int i = 1; i <= others; ++i) {
      GossipMessage message;
      message.m_kind = GossipKind::kAck;
      message.m_from = DiscoveryNode::Node(i).m_node;
      message.m_revision = 1;
      message.m_updates.push_back(DiscoveryNode::Node(i));
      message.m_updates.back().m_incarnation = node.Now().time_since_epoch().count();
      node.Post(GossipReceived{DiscoveryNode::Node(i).m_address, 7100, message});
    }
  }
  return scopes;
}

BOOST_AUTO_TEST_CASE(DispatcherOpenedAgainWaitsForACurrentList) {
  // Between two times of dispatching, a node does not watch the list of endpoints. The list that it had must
  // not be used again: its endpoints may have left since.
  DiscoveryNode node(6);
  BOOST_REQUIRE(node.Reducer().OwnerOf("work") != "n0");
  const Effects arrived = node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0});
  BOOST_REQUIRE(!DiscoveryNode::Select<SetWatchScope>(arrived).empty());
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1")}});
  node.Post(
      AttemptEnded{AttemptResult{"x-1", "work", 1, AttemptOutcome::kResponded, 200, milliseconds(150)}});
  const auto scopes = RunAmongLiveMembers(node, seconds(8));
  BOOST_REQUIRE(!scopes.empty());
  BOOST_REQUIRE(!scopes.back().m_scope.m_endpoints);
  const auto started = DiscoveryNode::Select<StartAttempt>(
      node.Post(DispatchArrived{MakeFilingRequest("x-2", node.Now(), 2), 0}));
  BOOST_TEST(started.empty());
  const auto restarted =
      DiscoveryNode::Select<StartAttempt>(node.Post(EndpointsListed{2, {MakeLiveEndpoint("i-2")}}));
  BOOST_REQUIRE(restarted.size() == 1U);
  BOOST_TEST(restarted[0].m_endpoint == "i-2");
}

/// Makes a node that had a list of endpoints, "i-1" among them, and has stopped watching it.
void StopWatching(DiscoveryNode& node, int others = 6) {
  node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0});
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1")}});
  node.Post(
      AttemptEnded{AttemptResult{"x-1", "work", 1, AttemptOutcome::kResponded, 200, milliseconds(150)}});
  const auto scopes = RunAmongLiveMembers(node, seconds(8), others);
  BOOST_REQUIRE(!scopes.empty());
  BOOST_REQUIRE(!scopes.back().m_scope.m_endpoints);
}

/// A request to a node whose list of endpoints is outdated, and what becomes of it.
struct OutdatedListCase {
  const char* m_name;
  int m_others;               ///< Other nodes of the fleet.
  std::int64_t m_forwards;    ///< Forwards of the request, this one included.
  Duration m_reads_fail_for;  ///< Time for which reads of the list have failed when it arrives.
  bool m_handed_back;
  bool m_started;
};

std::ostream& operator<<(std::ostream& out, const OutdatedListCase& row) { return out << row.m_name; }

const OutdatedListCase kOutdatedListCases[] = {
    {"read in progress, first node", 6, 1, seconds(0), true, false},
    {"read in progress, third node", 6, 3, seconds(0), true, false},
    {"failed reads of a slow node, first node", 6, 1, seconds(2), true, false},
    {"failed reads of a slow node, third node", 6, 3, seconds(2), true, false},
    {"store away, first node", 6, 1, seconds(4), true, false},
    {"store away, second node", 6, 2, seconds(4), true, false},
    {"store away, third node", 6, 3, seconds(4), false, true},
    {"store away, first of two nodes", 1, 1, seconds(4), true, false},
    {"store away, second of two nodes", 1, 2, seconds(4), false, true},
};

// Guards against work on endpoints that have left while the node didn't watch, and against refusals of all
// work when the store is away and outdated lists are all there is.
BOOST_DATA_TEST_CASE(OutdatedListIsUsedOnlyWhenTheStoreIsAway,
                     boost::unit_test::data::make(kOutdatedListCases), row) {
  DiscoveryNode node(row.m_others);
  StopWatching(node, row.m_others);
  // The first request begins the watch, and is handed back meanwhile.
  if (row.m_reads_fail_for > Duration(0)) {
    node.Post(DispatchArrived{MakeFilingRequest("x-2", node.Now(), 3), 1});
    RunAmongLiveMembers(node, row.m_reads_fail_for, row.m_others);
    node.Post(EndpointListFailed{});
  }
  const Effects arrived = node.Post(DispatchArrived{MakeFilingRequest("x-3", node.Now(), row.m_forwards), 1});
  const auto started = DiscoveryNode::Select<StartAttempt>(arrived);
  auto finished = DiscoveryNode::Select<FinishRequest>(arrived);
  for (auto& item : node.Run<FinishRequest>(milliseconds(500))) finished.push_back(std::move(item));
  BOOST_REQUIRE(finished.size() == (row.m_handed_back ? 1U : 0U));
  if (row.m_handed_back) BOOST_TEST(finished[0].m_code == static_cast<std::int64_t>(ResultCode::kNotReady));
  BOOST_REQUIRE(started.size() == (row.m_started ? 1U : 0U));
  if (row.m_started) BOOST_TEST(started[0].m_endpoint == "i-1");
}

// Guards against a node that keeps its last known list in use when the store can be read again.
BOOST_AUTO_TEST_CASE(LastKnownListGivesWayToACurrentOne) {
  DiscoveryNode node(6);
  StopWatching(node);
  node.Post(DispatchArrived{MakeFilingRequest("x-2", node.Now(), 3), 1});
  RunAmongLiveMembers(node, seconds(4));
  node.Post(EndpointListFailed{});
  BOOST_TEST(DiscoveryNode::Select<StartAttempt>(
                 node.Post(DispatchArrived{MakeFilingRequest("x-3", node.Now(), 3), 1}))
                 .size() == 1U);
  node.Post(EndpointsListed{2, {MakeLiveEndpoint("i-1", true), MakeLiveEndpoint("i-2")}});
  const auto started = DiscoveryNode::Select<StartAttempt>(
      node.Post(DispatchArrived{MakeFilingRequest("x-4", node.Now(), 1), 1}));
  BOOST_REQUIRE(started.size() == 1U);
  BOOST_TEST(started[0].m_endpoint == "i-2");
}

BOOST_AUTO_TEST_CASE(LeavingEndpointGetsNoNewWork) {
  DiscoveryNode node(3);
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1"), MakeLiveEndpoint("i-2")}});
  node.Post(EndpointsListed{2, {MakeLiveEndpoint("i-1", true), MakeLiveEndpoint("i-2")}});
  for (int i = 0; i < 6; ++i) {
    const auto started = DiscoveryNode::Select<StartAttempt>(
        node.Post(DispatchArrived{MakeFilingRequest("x-" + std::to_string(i), node.Now(), 2), 0}));
    for (const auto& attempt : started) BOOST_TEST(attempt.m_endpoint == "i-2");
  }
}

BOOST_DATA_TEST_CASE(EndpointThatIsWarmingUpIsNotEjectedAsSlow, boost::unit_test::data::make({false, true}),
                     repeatable) {
  // Guards against a recorded failure: endpoints that had just started took twice as long, were ejected as
  // slow and got no work for 5 s.
  DiscoveryNode node(0);
  std::vector<LiveEndpoint> endpoints = {MakeLiveEndpoint("i-1"), MakeLiveEndpoint("i-2"),
                                         MakeLiveEndpoint("i-3"), MakeLiveEndpoint("i-4"),
                                         MakeLiveEndpoint("i-5")};
  endpoints[4].m_warm_at = node.Now() + seconds(60);
  node.Post(EndpointsListed{1, endpoints});
  std::vector<ReportHealth> changes;
  for (int i = 0; i < 600; ++i) {
    const std::string id = "x-" + std::to_string(i);
    for (auto& change : node.Run<ReportHealth>(milliseconds(50))) changes.push_back(std::move(change));
    DispatchRequest request = MakeFilingRequest(id, node.Now(), 2);
    request.m_repeatable = repeatable;
    const auto started = DiscoveryNode::Select<StartAttempt>(node.Post(DispatchArrived{request, 0}));
    BOOST_REQUIRE(started.size() == 1U);
    const bool warming_up = started[0].m_endpoint == "i-5";
    const AttemptResult result{
        id, "work", 1, AttemptOutcome::kResponded, 200, milliseconds(warming_up ? 300 + i % 7 : 100 + i % 7)};
    for (auto& change : DiscoveryNode::Select<ReportHealth>(node.Post(AttemptEnded{result}))) {
      changes.push_back(std::move(change));
    }
  }
  BOOST_TEST(changes.empty());
}

/// A request at a dispatcher that can't reach some of its endpoints, and whether it is handed back.
struct FailingPathsCase {
  std::int64_t m_forwards;
  bool m_handed_back;
};

std::ostream& operator<<(std::ostream& out, const FailingPathsCase& row) { return out << row.m_forwards; }

const FailingPathsCase kFailingPathsCases[] = {{1, true}, {2, true}, {3, false}};

BOOST_DATA_TEST_CASE(ThirdDispatcherKeepsWorkThatTwoHandedBack,
                     boost::unit_test::data::make(kFailingPathsCases), row) {
  // Guards against a recorded failure: the first two hosts in the owner order were both cut off from the same
  // endpoints.
  DiscoveryNode node(2);
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1"), MakeLiveEndpoint("i-2"), MakeLiveEndpoint("i-3")}});
  for (const char* id : {"x-1", "x-2"}) {
    node.Post(DispatchArrived{MakeFilingRequest(id, node.Now(), 3), 1});
    node.Post(AttemptEnded{AttemptResult{id, "work", 1, AttemptOutcome::kUnreachable, 0, milliseconds(250)}});
  }
  const auto finished = DiscoveryNode::Select<FinishRequest>(
      node.Post(DispatchArrived{MakeFilingRequest("x-3", node.Now(), row.m_forwards), 1}));
  BOOST_TEST(finished.size() == (row.m_handed_back ? 1U : 0U));
}

BOOST_AUTO_TEST_CASE(NonOwnerKeepsWorkForWhichTheOwnerWasSkipped) {
  DiscoveryNode node(8);
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1")}});
  const auto relayed = DiscoveryNode::Select<RelayRequest>(
      node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0}));
  BOOST_TEST(relayed.empty());
}

BOOST_AUTO_TEST_CASE(ForwardCountIncludesSkippedOwners) {
  DiscoveryNode node(8);
  const ForwardRequest first = node.SubmitFiling("n0-1");
  BOOST_TEST(first.m_request.m_forwards == 1);
  node.Post(ForwardEnded{"n0-1", first.m_node, ForwardOutcome::kHandedBack, true, false, 0});
  const ForwardRequest next = node.SubmitFiling("n0-2");
  BOOST_TEST(next.m_node != first.m_node);
  BOOST_TEST(next.m_request.m_forwards == 2);
  node.Post(ForwardEnded{"n0-2", next.m_node, ForwardOutcome::kHandedBack, true, false, 0});
  const ForwardRequest last = node.SubmitFiling("n0-3");
  BOOST_TEST(last.m_request.m_forwards == 3);
}

BOOST_AUTO_TEST_CASE(NodeIsReadyOnlyAfterDiscovery) {
  NodeSettings settings;
  settings.m_self = DiscoveryNode::Node(0);
  settings.m_discovery = true;
  NodeReducer reducer(settings);
  Instant now{seconds(1'700'000'000)};
  reducer.Reduce(ConfigurationLoaded{1, {SmallObjectSetJson(4, 2)}}, now);
  reducer.Reduce(Tick{}, now);
  BOOST_TEST(!reducer.Ready());
  reducer.Reduce(NodesFound{}, now);
  BOOST_TEST(reducer.Ready());
}

BOOST_AUTO_TEST_CASE(IsolatedNodeWatchesTheConfigurationItself) {
  DiscoveryNode node(40);
  const auto early = node.Run<SetWatchScope>(milliseconds(1400));
  for (const auto& effect : early) BOOST_TEST(!effect.m_scope.m_endpoints);
  const auto late = node.Run<SetWatchScope>(milliseconds(600));
  BOOST_REQUIRE(!late.empty());
  BOOST_TEST(late.back().m_scope.m_configuration);
  BOOST_TEST(!late.back().m_scope.m_endpoints);
}

BOOST_AUTO_TEST_CASE(OnlyDispatchersWatchEndpoints) {
  DiscoveryNode node(3);
  const auto watching = DiscoveryNode::Select<SetWatchScope>(
      node.Post(DispatchArrived{MakeFilingRequest("x-1", node.Now(), 2), 0}));
  BOOST_REQUIRE(!watching.empty());
  BOOST_TEST(watching.back().m_scope.m_endpoints);
}

BOOST_AUTO_TEST_CASE(OwnershipIsProportionalToWeight) {
  std::vector<WeightedNode> nodes;
  for (int i = 0; i < 90; ++i) nodes.push_back({"small" + std::to_string(i), 1});
  for (int i = 0; i < 10; ++i) nodes.push_back({"large" + std::to_string(i), 100});
  int large = 0;
  for (int key = 0; key < 400; ++key) {
    large +=
        WeightedRendezvousOrder("service/" + std::to_string(key), nodes).front().starts_with("large") ? 1 : 0;
  }
  // The large nodes have 1,000 of 1,090 parts of the weight.
  BOOST_TEST(large > 340);
  BOOST_TEST(large < 390);
}

BOOST_AUTO_TEST_CASE(NonRepeatableRequestWithoutPermitIsForwardedAgain) {
  // Guards against a recorded failure: two owners in a row hung, and non-repeatable requests for which
  // neither had a permit were refused after two seconds, as if both had started them.
  DiscoveryNode node(8);
  std::string dispatcher = node.SubmitFiling("n0-1").m_node;
  std::set<std::string> dispatchers = {dispatcher};
  for (int i = 0; i < 3; ++i) {
    ForwardEnded ended{"n0-1", dispatcher, ForwardOutcome::kLinkLost, true, false, 0};
    ended.m_silent = true;
    const auto retry = DiscoveryNode::Select<ForwardRequest>(node.Post(ended));
    BOOST_REQUIRE(retry.size() == 1U);
    BOOST_TEST(retry[0].m_request.m_max_attempts == 2);
    dispatcher = retry[0].m_node;
    dispatchers.insert(dispatcher);
  }
  BOOST_TEST(dispatchers.size() == 4U);
}

BOOST_AUTO_TEST_CASE(EntryHostReportsOutcomesOfRequests) {
  DiscoveryNode node(6);
  const auto end = [&](const std::string& id, bool served) {
    const ForwardRequest forward = node.SubmitFiling(id);
    ForwardEnded ended{id, forward.m_node, ForwardOutcome::kResponded, true, true, 1};
    ended.m_served = served;
    node.Post(ended);
    return forward.m_request;
  };
  BOOST_TEST(end("n0-1", true).m_served_since == 0);
  const DispatchRequest second = end("n0-2", false);
  BOOST_TEST(second.m_served_since == 1);
  BOOST_TEST(second.m_unserved_since == 0);
  const DispatchRequest third = end("n0-3", false);
  BOOST_TEST(third.m_served_since == 0);
  BOOST_TEST(third.m_unserved_since == 1);
}

BOOST_AUTO_TEST_CASE(RequestThatComesLateInTheGraceTimeIsNotPassedOn) {
  DiscoveryNode node(6);
  node.Post(ShutdownRequested{});
  // Callers that have not noticed yet are served.
  BOOST_TEST(
      DiscoveryNode::Select<ForwardRequest>(node.Post(RequestReceived{"n0-1", "GET", "/read/1", "", "", 0}))
          .size() == 1U);
  node.Post(CallerPortClosed{});
  for (const char* method : {"GET", "POST"}) {
    const std::string path = method == std::string("GET") ? "/read/2" : "/file";
    const Effects effects = node.Post(RequestReceived{std::string("n0-") + method, method, path, "", "", 0});
    BOOST_TEST(DiscoveryNode::Select<ForwardRequest>(effects).empty());
    const auto refused = DiscoveryNode::Select<RefuseRequest>(effects);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST(refused[0].m_code == static_cast<std::int64_t>(ResultCode::kNotReady));
    BOOST_TEST(!refused[0].m_maybe_ran);
    // Other nodes take the request at once.
    BOOST_TEST(refused[0].m_retry_after_ms == 0);
  }
}

BOOST_AUTO_TEST_CASE(LeavingNodeHandsRequestsBackInsteadOfRelayingThem) {
  // A relay that outlives the node is cut off while an endpoint is at work.
  DiscoveryNode node(6);
  node.Post(ShutdownRequested{});
  for (const std::int64_t hops : {0, 1}) {
    const std::string id = "x-" + std::to_string(hops);
    const Effects effects = node.Post(DispatchArrived{MakeFilingRequest(id, node.Now()), hops});
    BOOST_TEST(DiscoveryNode::Select<RelayRequest>(effects).empty());
    const auto finished = DiscoveryNode::Select<FinishRequest>(effects);
    BOOST_REQUIRE(finished.size() == 1U);
    BOOST_TEST(finished[0].m_code == static_cast<std::int64_t>(ResultCode::kNotReady));
    BOOST_TEST(!finished[0].m_maybe_ran);
  }
}

/// Outcomes that an entry host reports.
struct ReportedOutcomes {
  std::int64_t m_served;
  std::int64_t m_unserved;
};

std::ostream& operator<<(std::ostream& out, const ReportedOutcomes& row) {
  return out << row.m_served << " served, " << row.m_unserved << " unserved";
}

const ReportedOutcomes kReportedOutcomes[] = {{10, 0}, {20, 1}, {8, 2}};

BOOST_DATA_TEST_CASE(FailuresElsewhereLeaveNoEndpointWithoutWork,
                     boost::unit_test::data::make(kReportedOutcomes), row) {
  // Guards against a recorded failure: of two services that shared a route, one refused half of its requests.
  // In the other, hardly anything failed, so healthy endpoints that had been suspected of a gray failure got
  // no work there.
  DiscoveryNode node(0);
  node.Post(EndpointsListed{1, {MakeLiveEndpoint("i-1"), MakeLiveEndpoint("i-2")}});
  const auto dispatch = [&](const std::string& id, const ReportedOutcomes& reported) {
    DispatchRequest request = MakeFilingRequest(id, node.Now());
    request.m_served_since = reported.m_served;
    request.m_unserved_since = reported.m_unserved;
    return DiscoveryNode::Select<StartAttempt>(node.Post(DispatchArrived{request, 0})).at(0);
  };
  const auto end = [&](const StartAttempt& start, AttemptOutcome outcome) {
    AttemptResult result;
    result.m_request_id = start.m_request_id;
    result.m_part = "work";
    result.m_attempt = start.m_attempt;
    result.m_outcome = outcome;
    result.m_latency = milliseconds(100);
    node.Post(AttemptEnded{result});
  };
  // One endpoint breaks off its attempt. It gets the next one after 3.6 s, whatever is known of other
  // requests.
  const StartAttempt lost = dispatch("x-0", {0, 0});
  end(lost, AttemptOutcome::kBroken);
  int tried_after = 0;  // Tenths of a second.
  for (int i = 1; i < 45; ++i) {
    node.Run<SetWatchScope>(milliseconds(100));
    const StartAttempt start = dispatch("x-" + std::to_string(i), row);
    if (tried_after == 0 && start.m_endpoint == lost.m_endpoint) tried_after = i;
    end(start, AttemptOutcome::kResponded);
  }
  BOOST_TEST(tried_after == 37);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
