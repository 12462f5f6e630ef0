#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/dispatch/admission.h"
#include "fescueramp/health/service_time_model.h"
#include "unit_tests/load_simulator.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(adverse_load)

BOOST_AUTO_TEST_CASE(HangingEndpointGetsFewFurtherRequests) {
  // Guards against endpoints that accept requests without responding and get more for a whole timeout.
  LoadPattern pattern;
  pattern.m_endpoints = 12;
  pattern.m_seconds = 12;
  pattern.m_arrivals_per_s = [](double) { return 80; };
  pattern.m_mode = [](int endpoint, double time) {
    return endpoint < 3 && time > 5 ? EndpointMode::kHangs : EndpointMode::kHealthy;
  };
  const LoadResult result = LoadSimulator(pattern).Run();
  BOOST_TEST(result.m_violations.empty());
  for (const std::string endpoint : {"e0", "e1", "e2"}) {
    const int lost = result.m_lost_at.contains(endpoint) ? result.m_lost_at.at(endpoint) : 0;
    BOOST_TEST_MESSAGE(endpoint << " lost " << lost);
    // The requests in its slots when it started to hang, and two trials.
    BOOST_TEST(lost <= 6);
  }
}

/// Competing load and time left of a request, and the expected decision.
struct AdmissionCase {
  const char* m_name;
  AdmissionLoad m_load;
  AdmissionTime m_time;
  Admission m_expected;
};

std::ostream& operator<<(std::ostream& out, const AdmissionCase& row) { return out << row.m_name; }

const AdmissionCase kAdmissions[] = {
    {"the queue is empty", {100, 0, 0, 50}, {0.3, 1.2, 2.5}, Admission::kInTime},
    {"the queue is shorter than the target", {100, 70, 0, 150}, {0.3, 1.2, 2.5}, Admission::kInTime},
    {"the queue exceeds the target, with spare capacity",
     {100, 100, 0, 20},
     {0.3, 1.2, 2.5},
     Admission::kLate},
    {"the queue exceeds the target, without spare capacity",
     {100, 100, 0, 100},
     {0.3, 1.2, 2.5},
     Admission::kRefuse},
    {"too many late requests are queued", {100, 100, 200, 20}, {0.3, 1.2, 2.5}, Admission::kRefuse},
    {"without a target the deadline counts", {100, 200, 0, 150}, {0.3, 0, 2.5}, Admission::kInTime},
    {"the capacity is unknown", {0, 500, 0, 100}, {0.3, 1.2, 2.5}, Admission::kInTime},
};

BOOST_DATA_TEST_CASE(AdmissionFollowsSpareCapacity, boost::unit_test::data::make(kAdmissions), row) {
  BOOST_TEST((Admit(row.m_load, row.m_time) == row.m_expected));
}

/// A burst above the capacity of the healthy endpoints.
struct OverloadCase {
  const char* m_name;
  double m_arrivals_per_s;  ///< Arrival rate from 5 s to 10 s.
  int m_hanging_endpoints;  ///< Number of endpoints, out of 12, that hang from 5 s on.
};

std::ostream& operator<<(std::ostream& out, const OverloadCase& row) { return out << row.m_name; }

const OverloadCase kOverloadCases[] = {
    {"1.8 times the load, a third of the endpoints hang", 144, 4},
    {"the normal load, half of the endpoints hang", 80, 6},
    {"three times the load", 240, 0},
};

BOOST_DATA_TEST_CASE(OverloadIsRefusedEarlyInsteadOfServedLate, boost::unit_test::data::make(kOverloadCases),
                     row) {
  LoadPattern pattern;
  pattern.m_endpoints = 12;
  pattern.m_seconds = 15;
  pattern.m_arrivals_per_s = [&](double time) { return time > 5 && time < 10 ? row.m_arrivals_per_s : 80; };
  pattern.m_mode = [&](int endpoint, double time) {
    return endpoint < row.m_hanging_endpoints && time > 5 ? EndpointMode::kHangs : EndpointMode::kHealthy;
  };
  pattern.m_callers_retry = false;
  const LoadResult result = LoadSimulator(pattern).Run();
  BOOST_TEST_MESSAGE(row.m_name << ": requests " << result.m_requests << " in target " << result.m_in_target
                                << " late " << result.m_late << " lost " << result.m_lost << " refused "
                                << result.m_refused << " slow refusals " << result.m_slow_refusals);
  BOOST_TEST(result.m_violations.empty());
  BOOST_TEST(result.m_in_target + result.m_late + result.m_lost + result.m_refused == result.m_requests);
  // Few responses are late, and requests that can't be served are refused early.
  BOOST_TEST(result.m_in_target >= 0.9 * (result.m_in_target + result.m_late));
  BOOST_TEST(result.m_slow_refusals <= 0.25 * result.m_refused);
}

BOOST_AUTO_TEST_CASE(HeavyTailOfServiceTimesIsNoHang) {
  // Three in a hundred requests take seven times as long. That alone must not take most requests away from
  // an endpoint.
  LoadPattern pattern;
  pattern.m_endpoints = 6;
  pattern.m_seconds = 40;
  pattern.m_service_time = milliseconds(200);
  pattern.m_spread = 0.1;
  pattern.m_arrivals_per_s = [](double) { return 60; };
  LoadSimulator replay(pattern);
  const LoadResult result = replay.Run();
  BOOST_TEST(result.m_violations.empty());
  BOOST_TEST(result.m_lost == 0);
  BOOST_TEST(result.m_refused == 0);
  BOOST_TEST(result.m_in_target >= 0.96 * result.m_requests);
  BOOST_TEST(replay.Ejections() == 0);
}

/// A load on endpoints of which some reset connections for a while and then recover.
struct RecoveryCase {
  const char* m_name;
  int m_endpoints;
  double m_arrivals_per_s;
  bool m_repeatable;
};

std::ostream& operator<<(std::ostream& out, const RecoveryCase& row) { return out << row.m_name; }

const RecoveryCase kRecoveryCases[] = {
    {"repeatable requests", 40, 60, true},
    {"non-repeatable requests", 40, 60, false},
    {"few endpoints", 8, 15, true},
};

bool AnyWithin(const std::map<int, std::vector<double>>& times, int endpoint, double from, double to) {
  const auto found = times.find(endpoint);
  return found != times.end() && std::any_of(found->second.begin(), found->second.end(),
                                             [&](double time) { return time >= from && time < to; });
}

/// Share of the endpoints that got requests in the 2 s from `from` on. Endpoints that reset a connection then
/// or less than 2 s before are left out.
double CoverageFrom(const LoadResult& result, int endpoints, double from) {
  int used = 0;
  int counted = 0;
  for (int endpoint = 0; endpoint < endpoints; ++endpoint) {
    if (AnyWithin(result.m_resets, endpoint, from - 2, from + 2)) continue;
    ++counted;
    used += AnyWithin(result.m_starts, endpoint, from, from + 2) ? 1 : 0;
  }
  return counted > 0 ? static_cast<double>(used) / counted : 1;
}

BOOST_DATA_TEST_CASE(RecoveredEndpointsAreNotLeftUnused, boost::unit_test::data::make(kRecoveryCases), row) {
  // Guards against an unused share of healthy endpoints above the floor while nearly all requests are served.
  constexpr double kFloor = 0.7;
  constexpr double kPeriod = 9;
  LoadPattern pattern;
  pattern.m_endpoints = row.m_endpoints;
  pattern.m_slots = 2;
  pattern.m_repeatable = row.m_repeatable;
  pattern.m_seconds = 60;
  pattern.m_arrivals_per_s = [&](double) { return row.m_arrivals_per_s; };
  // In each period, three in ten endpoints reset connections.
  pattern.m_mode = [&](int endpoint, double time) {
    const auto period = static_cast<int>(time / kPeriod);
    return (endpoint + 3 * period) % 10 < 3 ? EndpointMode::kResets : EndpointMode::kHealthy;
  };
  const LoadResult result = LoadSimulator(pattern).Run();
  double lowest = 1;
  for (double from = 2; from <= pattern.m_seconds - 2; from += 0.25)
    lowest = std::min(lowest, CoverageFrom(result, row.m_endpoints, from));
  BOOST_TEST_MESSAGE(row.m_name << ": lowest coverage " << lowest << ", lost " << result.m_lost << " of "
                                << result.m_requests);
  BOOST_TEST(result.m_violations.empty());
  BOOST_TEST(lowest >= kFloor);
}

BOOST_AUTO_TEST_CASE(EjectedEndpointsAreTriedAsOftenAsOthersInDoubt) {
  // Guards against endpoints without requests for the whole time of their ejections, which doubles.
  LoadPattern pattern;
  pattern.m_endpoints = 20;
  pattern.m_slots = 2;
  pattern.m_repeatable = true;
  pattern.m_seconds = 60;
  pattern.m_arrivals_per_s = [](double) { return 60; };
  pattern.m_mode = [](int endpoint, double) {
    return endpoint < 2 ? EndpointMode::kResets : EndpointMode::kHealthy;
  };
  LoadSimulator simulator(pattern);
  const LoadResult result = simulator.Run();
  BOOST_TEST(result.m_violations.empty());
  BOOST_TEST(simulator.Ejections() > 2);
  for (const int endpoint : {0, 1}) {
    double longest_pause = 0;
    const std::vector<double>& starts = result.m_starts.at(endpoint);
    for (std::size_t i = 1; i < starts.size(); ++i)
      longest_pause = std::max(longest_pause, starts[i] - starts[i - 1]);
    // An endpoint counts as sound 2 s after a failure and must get a request within 2 s more.
    BOOST_TEST(longest_pause <= 4);
  }
}

BOOST_AUTO_TEST_CASE(HangLikelihoodFollowsServiceTimes) {
  ServiceTimeModel times;
  for (int i = 0; i < 200; ++i) times.AddResponse("work", milliseconds(i % 30 == 0 ? 700 : 100));
  for (int i = 0; i < 20; ++i) times.AddFailure(true);
  BOOST_TEST(times.RouteServiceTime("work") < 0.2);
  BOOST_TEST(times.HangLikelihoodRatio("work", milliseconds(100), 1, 0.8) == 1);
  const double young = times.HangLikelihoodRatio("work", milliseconds(250), 1, 0.8);
  const double old = times.HangLikelihoodRatio("work", milliseconds(1500), 1, 0.8);
  BOOST_TEST(young > 4);
  BOOST_TEST(old >= young);
  BOOST_TEST(times.HangLikelihoodRatio("work", milliseconds(250), 3, 0.8) < young);  // At a slow endpoint.
  BOOST_TEST(times.HangLikelihoodRatio("unknown", seconds(5), 1, 0.8) == 1);
  // If most failures are broken connections, a missing response is weak evidence.
  for (int i = 0; i < 200; ++i) times.AddFailure(false);
  BOOST_TEST(times.HangLikelihoodRatio("work", milliseconds(1500), 1, 0.8) < 1.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
