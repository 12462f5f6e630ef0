#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/health/health_monitor.h"

namespace fescueramp {
namespace {

/// Endpoints of one service that respond in turn, with errors and latencies drawn from a seeded generator.
class SimulatedService {
 public:
  SimulatedService(int endpoints, std::uint32_t seed, double floor = 0.5) : m_random(seed) {
    std::map<std::string, std::int64_t> slots;
    for (int i = 0; i < endpoints; ++i) slots[Name(i)] = 2;
    m_monitor.Configure(slots, floor);
    m_count = endpoints;
  }

  static std::string Name(int index) { return "e" + std::to_string(index); }

  /// Records one response of every endpoint with usable slots and returns the ejections that follow.
  /// Endpoints in `unhealthy` have their own error rate and latency factor.
  std::vector<HealthChange> Round(double error_rate, double latency_factor, double unhealthy_error_rate,
                                  double unhealthy_latency_factor, const std::vector<int>& unhealthy) {
    std::vector<HealthChange> ejections;
    m_now += std::chrono::milliseconds(20);
    m_monitor.Tick(m_now);
    for (int i = 0; i < m_count; ++i) {
      if (m_monitor.UsableSlots(Name(i), m_now) == 0) continue;
      const bool is_unhealthy = std::find(unhealthy.begin(), unhealthy.end(), i) != unhealthy.end();
      const bool error = boost::random::bernoulli_distribution<double>(is_unhealthy ? unhealthy_error_rate
                                                                                    : error_rate)(m_random);
      const double ms = boost::random::lognormal_distribution<double>(2, 1)(m_random) *
                        (is_unhealthy ? unhealthy_latency_factor : latency_factor);
      const auto outcome = error ? AttemptOutcome::kServerError : AttemptOutcome::kResponded;
      const auto latency = Duration(static_cast<std::int64_t>(ms * 1000));
      for (const auto& change : m_monitor.Observe(Name(i), "read", outcome, latency, m_now)) {
        if (change.m_state == HealthState::kEjected) ejections.push_back(change);
      }
    }
    return ejections;
  }

  HealthMonitor& Monitor() { return m_monitor; }
  Instant Now() const { return m_now; }

 private:
  boost::random::mt19937 m_random;
  HealthMonitor m_monitor;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
  int m_count = 0;
};

/// Number of responses of one unhealthy endpoint until it is ejected; 500 if it is not.
int ResponsesToEjection(double failure_rate, double slowdown, std::uint32_t seed) {
  SimulatedService service(8, seed);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0.01, 1, {});
  for (int responses = 1; responses <= 500; ++responses) {
    if (!service.Round(0.01, 1, failure_rate, slowdown, {3}).empty()) return responses;
  }
  return 500;
}

int MedianResponsesToEjection(double failure_rate, double slowdown) {
  std::vector<int> responses;
  for (std::uint32_t seed = 1; seed <= 101; ++seed)
    responses.push_back(ResponsesToEjection(failure_rate, slowdown, seed));
  std::sort(responses.begin(), responses.end());
  return responses[50];
}

BOOST_AUTO_TEST_SUITE(health)

BOOST_AUTO_TEST_CASE(EndpointThatFailsHalfOfItsRequestsIsEjectedWithinTenResponses) {
  BOOST_TEST(MedianResponsesToEjection(0.5, 1) <= 10);
}

BOOST_AUTO_TEST_CASE(EndpointThatIsFiveTimesSlowerIsEjectedWithinTwoSecondsOfResponses) {
  BOOST_TEST(MedianResponsesToEjection(0.01, 5) <= 100);
}

BOOST_DATA_TEST_CASE(NoFalseEjectionInTwoHundredThousandResponses, boost::unit_test::data::xrange(1, 4),
                     seed) {
  SimulatedService service(20, static_cast<std::uint32_t>(seed));
  std::size_t ejections = 0;
  for (int round = 0; round < 10'000; ++round) ejections += service.Round(0.01, 1, 0, 1, {}).size();
  BOOST_TEST(ejections == 0U);
}

/// Error rate and latency factor of all endpoints during a shared fault.
struct SharedDegradation {
  double m_error_rate;
  double m_latency_factor;
};

std::ostream& operator<<(std::ostream& out, const SharedDegradation& row) {
  return out << row.m_error_rate << "/" << row.m_latency_factor;
}

const SharedDegradation kSharedDegradations[] = {{0.1, 1},  {0.3, 1},   {0.9, 1},
                                                 {0.01, 3}, {0.01, 10}, {0.3, 3}};

BOOST_DATA_TEST_CASE(SharedCauseEjectsNoEndpoint, boost::unit_test::data::make(kSharedDegradations), row) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    SimulatedService service(8, seed);
    for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
    std::size_t ejections = 0;
    for (int round = 0; round < 2000; ++round)
      ejections += service.Round(row.m_error_rate, row.m_latency_factor, 0, 1, {}).size();
    BOOST_TEST(ejections == 0U, "seed " << seed << ": " << ejections);
  }
}

BOOST_AUTO_TEST_CASE(FloorHoldsWhenMostEndpointsFailOneAfterAnother) {
  SimulatedService service(8, 7, 0.75);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  std::vector<int> unhealthy;
  for (int i = 0; i < 8; ++i) {
    unhealthy.push_back(i);
    for (int round = 0; round < 300; ++round) {
      service.Round(0.01, 1, 0.9, 1, unhealthy);
      BOOST_REQUIRE(service.Monitor().SlotsInService() >= service.Monitor().FloorSlots());
    }
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatReturnsToServiceWhileOthersAreEjectedKeepsTheFloor) {
  SimulatedService service(4, 3, 0.5);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  service.Monitor().SetInService("e0", false);
  // Two other endpoints fail, and so do the requests that e0 still runs while it is out of service.
  for (int round = 0; round < 100; ++round) service.Round(0.01, 1, 0.9, 1, {1, 2});
  for (int i = 0; i < 50; ++i) {
    service.Monitor().Observe("e0", "read", AttemptOutcome::kBroken, std::chrono::milliseconds(5),
                              service.Now());
  }
  service.Monitor().SetInService("e0", true);
  BOOST_TEST(service.Monitor().SlotsInService() >= service.Monitor().FloorSlots());
}

BOOST_AUTO_TEST_CASE(RecoveredEndpointReturnsThroughCanaryRequestsAndARamp) {
  SimulatedService service(8, 5);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  while (service.Round(0.01, 1, 0.9, 1, {3}).empty()) continue;
  BOOST_CHECK(service.Monitor().State("e3") == HealthState::kEjected);
  std::vector<HealthState> seen;
  for (int round = 0; round < 1000; ++round) {
    service.Round(0.0, 0.5, 0, 0.5, {});
    const HealthState state = service.Monitor().State("e3");
    if (seen.empty() || seen.back() != state) seen.push_back(state);
  }
  const std::vector<HealthState> expected = {HealthState::kEjected, HealthState::kCanary,
                                             HealthState::kRamping, HealthState::kHealthy};
  BOOST_CHECK(seen == expected);
}

BOOST_AUTO_TEST_CASE(FlappingLengthensTheEjectionTime) {
  SimulatedService service(8, 5);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  std::vector<Duration> ejection_times;
  for (int round = 0; round < 6000 && ejection_times.size() < 3; ++round) {
    if (!service.Round(0.01, 1, 0.9, 1, {3}).empty()) {
      ejection_times.push_back(service.Monitor().Endpoints().at("e3").m_ejection_time);
    }
  }
  BOOST_REQUIRE(ejection_times.size() == 3U);
  BOOST_CHECK(ejection_times[1] == 2 * ejection_times[0]);
  BOOST_CHECK(ejection_times[2] == 4 * ejection_times[0]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
