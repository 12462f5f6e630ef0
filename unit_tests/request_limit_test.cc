#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>

#include "unit_tests/constraint_fleet.h"

namespace fescueramp {
namespace {

using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(request_limit)

/// A load on endpoints that state a limit, and who dispatches it.
struct LimitLoadCase {
  const char* m_name;
  double m_limit_per_s;
  ConstrainedResponse m_response;
  bool m_repeatable;
  std::vector<int> (*m_dispatchers)(double);
  double m_restart_at;
  int m_constrained_endpoints;
};

std::ostream& operator<<(std::ostream& out, const LimitLoadCase& row) { return out << row.m_name; }

const LimitLoadCase kLimitLoadCases[] = {
    {"one dispatcher", 4, ConstrainedResponse::kSuccess, true, OneDispatcher, 0, 2},
    {"low limit", 0.4, ConstrainedResponse::kSuccess, true, OneDispatcher, 0, 2},
    {"limit of zero", 0, ConstrainedResponse::kSuccess, true, OneDispatcher, 0, 2},
    {"non-repeatable requests", 4, ConstrainedResponse::kSuccess, false, OneDispatcher, 0, 2},
    {"all endpoints limited", 2, ConstrainedResponse::kSuccess, false, OneDispatcher, 0, 8},
    {"retries and hedges after errors", 2, ConstrainedResponse::kHalfErrors, true, OneDispatcher, 0, 8},
    {"refusals", 2, ConstrainedResponse::kHalfRefused, true, OneDispatcher, 0, 2},
    {"broken connections, endpoints in doubt are due", 0.1, ConstrainedResponse::kHalfBroken, true,
     OneDispatcher, 0, 2},
    {"hanging requests, endpoints in doubt are due", 0.1, ConstrainedResponse::kHalfHanging, true,
     OneDispatcher, 0, 2},
    {"two dispatchers at once", 4, ConstrainedResponse::kSuccess, true, TwoDispatchers, 0, 2},
    {"three dispatchers at once", 4, ConstrainedResponse::kSuccess, true, ThreeDispatchers, 0, 2},
    {"another dispatcher takes over", 4, ConstrainedResponse::kSuccess, true, DispatcherChangesOnce, 0, 2},
    {"the old dispatcher goes on for 4 s", 4, ConstrainedResponse::kSuccess, true, DispatchersOverlap, 0, 2},
    {"the dispatcher changes every 1.5 s", 4, ConstrainedResponse::kSuccess, true, DispatcherChangesOften, 0,
     2},
    {"the dispatcher restarts", 4, ConstrainedResponse::kSuccess, true, OneDispatcher, 14, 2},
};

BOOST_DATA_TEST_CASE(EndpointGetsNoMoreThanItsLimitAllows,
                     boost::unit_test::data::make(kLimitLoadCases) * boost::unit_test::data::xrange(1, 4),
                     row, seed) {
  ConstraintPattern pattern;
  pattern.m_limit_per_s = row.m_limit_per_s;
  pattern.m_response = row.m_response;
  pattern.m_repeatable = row.m_repeatable;
  pattern.m_dispatchers = row.m_dispatchers;
  pattern.m_restart_at = row.m_restart_at;
  pattern.m_constrained_endpoints = row.m_constrained_endpoints;
  pattern.m_seed = static_cast<unsigned>(seed);
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  // In 4 s, one and a half times the limit plus 5, from 3 s after it was first stated.
  const double allowed = row.m_limit_per_s * 4 * 1.5 + 5;
  for (int i = 0; i < row.m_constrained_endpoints; ++i) {
    const std::string endpoint = "i-" + std::to_string(i);
    const double from = pattern.m_stated_from + 3;
    const int most = result.MaxArrivals(endpoint, 4, from, pattern.m_stated_until);
    BOOST_TEST_MESSAGE(row.m_name << ", " << endpoint << ": " << most << " requests in 4 s, allowed "
                                  << allowed);
    BOOST_TEST(most <= allowed);
  }
}

BOOST_AUTO_TEST_CASE(EndpointWithoutLimitGetsItsShareAgain) {
  ConstraintPattern pattern;
  pattern.m_limit_per_s = 0.4;
  pattern.m_seconds = 40;
  pattern.m_arrivals_per_s = 80;
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  for (const std::string endpoint : {"i-0", "i-1"}) {
    BOOST_TEST(result.MaxArrivals(endpoint, 4, 9, pattern.m_stated_until) <= 3);
    // The demand is 10 requests a second for each endpoint, which takes two thirds of its slots.
    BOOST_TEST(result.MaxArrivals(endpoint, 4, pattern.m_stated_until + 5, 40) >= 10);
  }
}

BOOST_AUTO_TEST_CASE(RequestsAboveAllLimitsAreRefusedAtOnce) {
  // Guards against requests that wait for slots which the limits of their endpoints keep free.
  ConstraintPattern pattern;
  pattern.m_constrained_endpoints = pattern.m_endpoints;
  pattern.m_limit_per_s = 2;
  pattern.m_repeatable = false;
  pattern.m_stated_from = 1;
  pattern.m_stated_until = 60;
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  // 16 of 40 requests a second are within the constraints.
  BOOST_TEST(result.m_served >= 14 * 30);
  BOOST_TEST(result.m_refused >= 20 * 30);
  BOOST_TEST(result.m_slow_refusals <= 0.25 * result.m_refused);
}

/// A statement that is received after a limit of 2 requests a second was received at 10 s.
struct LaterStatementCase {
  const char* m_name;
  EndpointStatement m_statement;
  std::int64_t m_started_ms;
  int m_sent;  ///< Time at which the request was sent whose response has the statement, seconds.
  std::optional<double> m_limit_per_s;  ///< Limit in force afterwards.
};

std::ostream& operator<<(std::ostream& out, const LaterStatementCase& row) { return out << row.m_name; }

const LaterStatementCase kLaterStatements[] = {
    {"none, to a later request", {StatementKind::kValid, {}}, 1, 11, {}},
    {"none, to an earlier request", {StatementKind::kValid, {}}, 1, 9, 2},
    {"higher, to a later request", {StatementKind::kValid, 3}, 1, 11, 3},
    {"higher, to an earlier request", {StatementKind::kValid, 3}, 1, 9, 2},
    {"lower, to a later request", {StatementKind::kValid, 1}, 1, 11, 1},
    {"lower, to an earlier request", {StatementKind::kValid, 1}, 1, 9, 1},
    {"malformed", {StatementKind::kMalformed, {}}, 1, 11, 2},
    {"no response", {StatementKind::kNone, {}}, 1, 11, 2},
    {"none, after a restart of the endpoint", {StatementKind::kValid, {}}, 2, 9, {}},
    {"higher, after a restart of the endpoint", {StatementKind::kValid, 3}, 2, 9, 3},
};

BOOST_DATA_TEST_CASE(OlderStatementNeverRaisesALimit, boost::unit_test::data::make(kLaterStatements), row) {
  const Instant start{seconds(1'700'000'000)};
  EndpointConstraints constraints;
  constraints.Observe("i-0", 1, {StatementKind::kValid, 2}, start + seconds(9), start + seconds(10));
  constraints.Observe("i-0", row.m_started_ms, row.m_statement, start + seconds(row.m_sent),
                      start + seconds(12));
  BOOST_CHECK(constraints.Get("i-0", row.m_started_ms).m_limit_per_s == row.m_limit_per_s);
}

/// An announcement of another node at 12 s, after a statement of the endpoint was received at `m_stated_at`.
struct AnnouncementCase {
  const char* m_name;
  std::optional<double> m_stated;
  int m_stated_at;  ///< Seconds.
  AnnouncedConstraint m_announced;
  std::int64_t m_version;
  std::optional<double> m_limit_per_s;  ///< Limit in force afterwards.
};

std::ostream& operator<<(std::ostream& out, const AnnouncementCase& row) { return out << row.m_name; }

const AnnouncementCase kAnnouncements[] = {
    {"sets a limit that is not known", {}, 10, {"i-1", 1, 3}, 2, 3},
    {"lowers a limit", 2, 10, {"i-0", 1, 1}, 2, 1},
    {"does not raise a limit", 2, 10, {"i-0", 1, 3}, 2, 2},
    {"does not undo a response without a limit", {}, 12, {"i-0", 1, 3}, 2, {}},
    {"that is older than the last one is ignored", 2, 10, {"i-0", 1, 1}, 0, 2},
    {"of an earlier start of the endpoint is ignored", 2, 10, {"i-0", 0, 1}, 2, 2},
    {"of a later start of the endpoint", 2, 10, {"i-0", 2, 3}, 2, 3},
    {"that is no number is ignored", 2, 10, {"i-0", 1, std::nan("")}, 2, 2},
    {"that is negative is ignored", 2, 10, {"i-0", 1, -1}, 2, 2},
    {"without a limit is ignored", 2, 10, {"i-0", 1, {}}, 2, 2},
};

BOOST_DATA_TEST_CASE(AnnouncementOnlySetsOrLowersALimit, boost::unit_test::data::make(kAnnouncements), row) {
  const Instant start{seconds(1'700'000'000)};
  const Instant stated = start + seconds(row.m_stated_at);
  EndpointConstraints constraints;
  constraints.Observe("i-0", 1, {StatementKind::kValid, 4}, start, start + seconds(1));
  constraints.Observe("i-0", 1, {StatementKind::kValid, row.m_stated}, stated - std::chrono::milliseconds(1),
                      stated);
  constraints.Merge({"i-0", 1, 9}, "n1", 1, start + seconds(11));
  constraints.Merge(row.m_announced, "n1", row.m_version, start + seconds(12));
  BOOST_CHECK(constraints.Get(row.m_announced.m_endpoint, row.m_announced.m_started_ms).m_limit_per_s ==
              row.m_limit_per_s);
}

BOOST_AUTO_TEST_CASE(AnnouncedLimitsFitIntoControlTraffic) {
  // One dispatcher of 200 endpoints, of which a tenth state a limit.
  ConstraintPattern pattern;
  pattern.m_nodes = 10;
  pattern.m_endpoints = 200;
  pattern.m_constrained_endpoints = 20;
  pattern.m_arrivals_per_s = 400;
  pattern.m_seconds = 16;
  const ConstraintResult result = ConstraintFleet(pattern).Run();
  const double bytes_per_s =
      static_cast<double>(result.m_constraint_bytes) / (pattern.m_seconds - pattern.m_stated_from);
  BOOST_TEST_MESSAGE(bytes_per_s << " bytes a second");
  BOOST_TEST(result.m_constraint_bytes > 0U);
  BOOST_TEST(bytes_per_s <= 3000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
