#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>
#include <set>

#include "unit_tests/constraint_fleet.h"
#include "unit_tests/dispatch_harness.h"

namespace fescueramp {
namespace {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(endpoint_constraint)

/// A load on endpoints that state that they are leaving while they are listed as ready.
struct LeavingCase {
  const char* m_name;
  ConstrainedResponse m_response;
  bool m_repeatable;
  std::vector<int> (*m_dispatchers)(double);
  double m_restart_at;
  int m_uninformed;  ///< Most requests of nodes that have not got the statement, or lost it in a restart.
};

std::ostream& operator<<(std::ostream& out, const LeavingCase& row) { return out << row.m_name; }

const LeavingCase kLeavingCases[] = {
    {"one dispatcher", ConstrainedResponse::kSuccess, true, OneDispatcher, 0, 0},
    {"non-repeatable requests", ConstrainedResponse::kSuccess, false, OneDispatcher, 0, 0},
    {"retries and hedges after errors", ConstrainedResponse::kHalfErrors, true, OneDispatcher, 0, 0},
    {"refusals", ConstrainedResponse::kHalfRefused, true, OneDispatcher, 0, 0},
    {"broken connections, endpoints in doubt are due", ConstrainedResponse::kHalfBroken, true, OneDispatcher,
     0, 0},
    {"hanging requests, endpoints in doubt are due", ConstrainedResponse::kHalfHanging, true, OneDispatcher,
     0, 0},
    {"two dispatchers at once", ConstrainedResponse::kSuccess, true, TwoDispatchers, 0, 0},
    {"another dispatcher takes over", ConstrainedResponse::kSuccess, true, DispatcherChangesOnce, 0, 0},
    {"the dispatcher changes every 1.5 s", ConstrainedResponse::kSuccess, true, DispatcherChangesOften, 0, 1},
    {"the dispatcher restarts", ConstrainedResponse::kSuccess, true, OneDispatcher, 14, 1},
};

BOOST_DATA_TEST_CASE(EndpointThatStatesThatItLeavesGetsNoRequests,
                     boost::unit_test::data::make(kLeavingCases) * boost::unit_test::data::xrange(1, 4), row,
                     seed) {
  ConstraintPattern pattern;
  pattern.m_leaving = true;
  pattern.m_stated_until = pattern.m_seconds;
  pattern.m_response = row.m_response;
  pattern.m_repeatable = row.m_repeatable;
  pattern.m_dispatchers = row.m_dispatchers;
  pattern.m_restart_at = row.m_restart_at;
  pattern.m_seed = static_cast<unsigned>(seed);
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  for (const std::string endpoint : {"i-0", "i-1"}) {
    BOOST_REQUIRE(result.m_first_stated.contains(endpoint));
    BOOST_TEST(!result.m_sent_after_statement.contains(endpoint));
    // A node that has no response of an endpoint sends it one request at a time.
    const double from = result.m_first_stated.at(endpoint) + 2;
    BOOST_TEST(result.MaxArrivals(endpoint, pattern.m_seconds, from, pattern.m_seconds) <= row.m_uninformed);
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatRestartedIsUsedAgain) {
  ConstraintPattern pattern;
  pattern.m_leaving = true;
  pattern.m_stated_until = 14;
  pattern.m_endpoints_restart_at = 14;
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  for (const std::string endpoint : {"i-0", "i-1"}) {
    BOOST_TEST(result.MaxArrivals(endpoint, pattern.m_seconds, 9, 14) == 0);
    BOOST_TEST(result.MaxArrivals(endpoint, pattern.m_seconds, 16, pattern.m_seconds) >= 16);
  }
}

/// News of an endpoint after it has stated that it is leaving, and whether it still gets no requests.
struct NewsCase {
  const char* m_name;
  EndpointStatement m_statement;
  std::int64_t m_statement_start;  ///< Start time of the process that states it.
  std::int64_t m_listed_start;     ///< Start time that the platform lists.
  bool m_leaving;
};

std::ostream& operator<<(std::ostream& out, const NewsCase& row) { return out << row.m_name; }

const NewsCase kNews[] = {
    {"listed as ready", {}, 1, 1, true},
    {"a response without the statement", {StatementKind::kValid, {}, false}, 1, 1, true},
    {"a malformed statement", {StatementKind::kMalformed, {}, false}, 1, 1, true},
    {"listed with a later start", {}, 1, 2, false},
    {"listed with an earlier start", {}, 1, 0, true},
    {"a response of a later start", {StatementKind::kValid, {}, false}, 2, 2, false},
    {"a response of an earlier start", {StatementKind::kValid, {}, false}, 0, 1, true},
    {"a response of a later start that is leaving", {StatementKind::kValid, {}, true}, 2, 2, true},
};

BOOST_DATA_TEST_CASE(LeavingEndsOnlyWithARestart, boost::unit_test::data::make(kNews), row) {
  const Instant start{seconds(1'700'000'000)};
  EndpointConstraints constraints;
  constraints.Observe("i-0", 1, {StatementKind::kValid, {}, true}, start, start + seconds(1));
  constraints.Observe("i-0", row.m_statement_start, row.m_statement, start + seconds(2), start + seconds(3));
  BOOST_TEST(constraints.Get("i-0", row.m_listed_start).m_leaving == row.m_leaving);
  BOOST_TEST(constraints.MaySend("i-0", row.m_listed_start, start + seconds(60)) == !row.m_leaving);
}

BOOST_AUTO_TEST_CASE(LeavingEndsAfterAMinuteIfTheStartIsNotKnown) {
  const Instant now{seconds(1'700'000'000)};
  EndpointConstraints constraints;
  constraints.Observe("i-0", 0, {StatementKind::kValid, {}, true}, now, now);
  // Another node would keep telling this one.
  BOOST_TEST(!constraints.ToAnnounce("i-0", now).has_value());
  constraints.Expire(now + seconds(60));
  BOOST_TEST(constraints.Get("i-0", 0).m_leaving);
  constraints.Expire(now + seconds(61));
  BOOST_TEST(!constraints.Get("i-0", 0).m_leaving);
}

/// A load on endpoints that refuse requests and ask for a pause of 2 s, in each 6 s.
struct PauseCase {
  const char* m_name;
  int m_pausing_endpoints;
  bool m_repeatable;
  std::vector<int> (*m_dispatchers)(double);
  double m_restart_at;
};

std::ostream& operator<<(std::ostream& out, const PauseCase& row) { return out << row.m_name; }

const PauseCase kPauseCases[] = {
    {"a quarter of the endpoints", 2, true, OneDispatcher, 0},
    {"non-repeatable requests", 2, false, OneDispatcher, 0},
    {"all endpoints", 8, true, OneDispatcher, 0},
    {"two dispatchers at once", 4, true, TwoDispatchers, 0},
    {"another dispatcher takes over", 4, true, DispatcherChangesOnce, 0},
    {"the dispatcher changes every 1.5 s", 4, true, DispatcherChangesOften, 0},
    {"the dispatcher restarts", 4, true, OneDispatcher, 13},
};

BOOST_DATA_TEST_CASE(EndpointThatAskedForAPauseGetsNoRequests,
                     boost::unit_test::data::make(kPauseCases) * boost::unit_test::data::xrange(1, 4), row,
                     seed) {
  ConstraintPattern pattern;
  pattern.m_response = ConstrainedResponse::kPausing;
  pattern.m_constrained_endpoints = row.m_pausing_endpoints;
  pattern.m_repeatable = row.m_repeatable;
  pattern.m_dispatchers = row.m_dispatchers;
  pattern.m_restart_at = row.m_restart_at;
  pattern.m_seed = static_cast<unsigned>(seed);
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  BOOST_TEST(result.m_pauses >= 5);
  BOOST_TEST(result.m_most_in_pause <= 2);
  // The endpoints are used between their pauses.
  BOOST_TEST(result.MaxArrivals("i-0", 4, 10, pattern.m_seconds) >= 5);
}

const EndpointStatement kPauseStatement{StatementKind::kValid, {}, false, seconds(5)};

/// A request that arrives while all endpoints have asked for a pause of 5 s.
struct AllPausedCase {
  const char* m_name;
  Duration m_patience;
  bool m_refused;
};

std::ostream& operator<<(std::ostream& out, const AllPausedCase& row) { return out << row.m_name; }

const AllPausedCase kAllPaused[] = {
    {"ends before the pauses", seconds(3), true},
    {"ends after the pauses", seconds(9), false},
};

BOOST_DATA_TEST_CASE(RequestThatEndsBeforeAllPausesIsRefusedAtOnce, boost::unit_test::data::make(kAllPaused),
                     row) {
  DispatchHarness harness(2, 2);
  const std::string first = harness.Send("short", "alice", true, seconds(1));
  for (int endpoint = 0; endpoint < 2; ++endpoint)
    harness.End(first, AttemptOutcome::kShed, std::chrono::milliseconds(1), kPauseStatement);
  harness.Advance(std::chrono::milliseconds(20));
  std::set<Duration> delays;
  for (int i = 0; i < 8; ++i) {
    const std::string id = harness.Send("long", "alice", true, row.m_patience);
    BOOST_TEST(!harness.Running(id));
    BOOST_TEST(harness.Ended(id) == row.m_refused);
    if (!row.m_refused) continue;
    BOOST_TEST((harness.CodeOf(id) == ResultCode::kNotRun));
    // Not before an endpoint takes requests, and not all at once.
    BOOST_TEST((harness.RetryAfterOf(id) >= std::chrono::milliseconds(4900)));
    delays.insert(harness.RetryAfterOf(id));
  }
  if (row.m_refused) BOOST_TEST(delays.size() > 1U);
  harness.Advance(seconds(6));
  BOOST_TEST(harness.AllRunning().empty() == row.m_refused);
  BOOST_TEST(harness.Violations().empty());
}

/// Pauses that are stated or announced, and the time for which an endpoint then gets no requests.
struct PauseNewsCase {
  const char* m_name;
  Duration m_stated;
  std::int64_t m_announced_ms;
  std::int64_t m_announced_start;
  std::int64_t m_listed_start;
  Duration m_pause;
};

std::ostream& operator<<(std::ostream& out, const PauseNewsCase& row) { return out << row.m_name; }

const PauseNewsCase kPauseNews[] = {
    {"stated", seconds(5), 0, 1, 1, seconds(5)},
    {"announced", seconds(0), 5000, 1, 1, seconds(5)},
    {"announced as longer", seconds(2), 5000, 1, 1, seconds(5)},
    {"announced as shorter", seconds(5), 2000, 1, 1, seconds(5)},
    {"announced as endless", seconds(0), std::numeric_limits<std::int64_t>::max(), 1, 1, seconds(300)},
    {"announced as negative", seconds(0), -5000, 1, 1, seconds(0)},
    {"announced for an earlier start", seconds(2), 5000, 0, 1, seconds(2)},
    {"listed with a later start", seconds(5), 0, 1, 2, seconds(0)},
};

BOOST_DATA_TEST_CASE(LongestPauseOfTheProcessHolds, boost::unit_test::data::make(kPauseNews), row) {
  const Instant now{seconds(1'700'000'000)};
  EndpointConstraints constraints;
  constraints.Observe("i-0", 1, {StatementKind::kValid, {}, false, row.m_stated}, now, now);
  AnnouncedConstraint announced{"i-0", row.m_announced_start};
  announced.m_pause_ms = row.m_announced_ms;
  constraints.Merge(announced, "n1", 1, now);
  const Duration step = std::chrono::milliseconds(1);
  BOOST_TEST(constraints.MaySend("i-0", row.m_listed_start, now + row.m_pause));
  if (row.m_pause > seconds(0))
    BOOST_TEST(!constraints.MaySend("i-0", row.m_listed_start, now + row.m_pause - step));
  // What another node announced is not passed on.
  const auto passed_on = constraints.ToAnnounce("i-0", now);
  BOOST_TEST((passed_on ? passed_on->m_pause_ms : 0) == row.m_stated / std::chrono::milliseconds(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
