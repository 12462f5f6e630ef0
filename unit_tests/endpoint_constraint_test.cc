#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "unit_tests/limit_fleet.h"

namespace fescueramp {
namespace {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(endpoint_constraint)

std::vector<int> OneDispatcher(double) { return {0}; }
std::vector<int> TwoDispatchers(double) { return {0, 1}; }
std::vector<int> DispatcherChangesOnce(double time) { return {time < 14 ? 0 : 1}; }
std::vector<int> DispatcherChangesOften(double time) { return {static_cast<int>(time / 1.5) % 3}; }

/// A load on endpoints that state that they are leaving while they are listed as ready.
struct LeavingCase {
  const char* m_name;
  LimitedResponse m_response;
  bool m_repeatable;
  std::vector<int> (*m_dispatchers)(double);
  double m_restart_at;
  int m_uninformed;  ///< Most requests of nodes that have not got the statement, or lost it in a restart.
};

std::ostream& operator<<(std::ostream& out, const LeavingCase& row) { return out << row.m_name; }

const LeavingCase kLeavingCases[] = {
    {"one dispatcher", LimitedResponse::kSuccess, true, OneDispatcher, 0, 0},
    {"non-repeatable requests", LimitedResponse::kSuccess, false, OneDispatcher, 0, 0},
    {"retries and hedges after errors", LimitedResponse::kHalfErrors, true, OneDispatcher, 0, 0},
    {"refusals", LimitedResponse::kHalfRefused, true, OneDispatcher, 0, 0},
    {"broken connections, endpoints in doubt are due", LimitedResponse::kHalfBroken, true, OneDispatcher, 0,
     0},
    {"hanging requests, endpoints in doubt are due", LimitedResponse::kHalfHanging, true, OneDispatcher, 0,
     0},
    {"two dispatchers at once", LimitedResponse::kSuccess, true, TwoDispatchers, 0, 0},
    {"another dispatcher takes over", LimitedResponse::kSuccess, true, DispatcherChangesOnce, 0, 0},
    {"the dispatcher changes every 1.5 s", LimitedResponse::kSuccess, true, DispatcherChangesOften, 0, 1},
    {"the dispatcher restarts", LimitedResponse::kSuccess, true, OneDispatcher, 14, 1},
};

BOOST_DATA_TEST_CASE(EndpointThatStatesThatItLeavesGetsNoRequests,
                     boost::unit_test::data::make(kLeavingCases) * boost::unit_test::data::xrange(1, 4), row,
                     seed) {
  LimitPattern pattern;
  pattern.m_leaving = true;
  pattern.m_stated_until = pattern.m_seconds;
  pattern.m_response = row.m_response;
  pattern.m_repeatable = row.m_repeatable;
  pattern.m_dispatchers = row.m_dispatchers;
  pattern.m_restart_at = row.m_restart_at;
  pattern.m_seed = static_cast<unsigned>(seed);
  const LimitResult result = LimitFleet(pattern).Run();
  for (const std::string endpoint : {"i-0", "i-1"}) {
    BOOST_REQUIRE(result.m_first_stated.contains(endpoint));
    BOOST_TEST(!result.m_sent_after_statement.contains(endpoint));
    // A node that has no response of an endpoint sends it one request at a time.
    const double from = result.m_first_stated.at(endpoint) + 2;
    BOOST_TEST(result.MaxArrivals(endpoint, pattern.m_seconds, from, pattern.m_seconds) <= row.m_uninformed);
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatRestartedIsUsedAgain) {
  LimitPattern pattern;
  pattern.m_leaving = true;
  pattern.m_stated_until = 14;
  pattern.m_endpoints_restart_at = 14;
  const LimitResult result = LimitFleet(pattern).Run();
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
    {"a response of a later start that is leaving", {StatementKind::kValid, {}, true}, 2, 2, true},
};

BOOST_DATA_TEST_CASE(LeavingEndsOnlyWithARestart, boost::unit_test::data::make(kNews), row) {
  const Instant start{seconds(1'700'000'000)};
  EndpointConstraints constraints;
  constraints.Observe("i-0", 1, {StatementKind::kValid, {}, true}, start, start + seconds(1));
  constraints.Observe("i-0", row.m_statement_start, row.m_statement, start + seconds(2), start + seconds(3));
  BOOST_TEST(constraints.Leaving("i-0", row.m_listed_start) == row.m_leaving);
  BOOST_TEST(constraints.MaySend("i-0", row.m_listed_start, start + seconds(60)) == !row.m_leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
