#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/health/health_monitor.h"

namespace fescueramp {
namespace {

/// Endpoints that answer in turn, with errors and times drawn from a seed.
class Service {
 public:
  Service(int endpoints, std::uint32_t seed, double floor = 0.5) : m_random(seed) {
    std::map<std::string, std::int64_t> slots;
    for (int i = 0; i < endpoints; ++i) slots[Name(i)] = 2;
    m_monitor.Configure(slots, floor);
    m_count = endpoints;
  }

  static std::string Name(int index) { return "e" + std::to_string(index); }

  /// One answer of every endpoint that gets work. Returns the ejections.
  std::vector<HealthChange> Round(double all_errors, double all_slow, double ill_errors, double ill_slow,
                                  const std::vector<int>& ill) {
    std::vector<HealthChange> ejections;
    m_now += std::chrono::milliseconds(20);
    m_monitor.Tick(m_now);
    for (int i = 0; i < m_count; ++i) {
      if (m_monitor.UsableSlots(Name(i), m_now) == 0) continue;
      const bool is_ill = std::find(ill.begin(), ill.end(), i) != ill.end();
      const bool error =
          boost::random::bernoulli_distribution<double>(is_ill ? ill_errors : all_errors)(m_random);
      const double ms =
          boost::random::lognormal_distribution<double>(2, 1)(m_random) * (is_ill ? ill_slow : all_slow);
      const auto outcome = error ? AttemptOutcome::kServerError : AttemptOutcome::kAnswered;
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

/// Answers of one ill endpoint until it is ejected.
int AnswersToEjection(double errors, double slow, std::uint32_t seed) {
  Service service(8, seed);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0.01, 1, {});
  for (int answers = 1; answers <= 500; ++answers) {
    if (!service.Round(0.01, 1, errors, slow, {3}).empty()) return answers;
  }
  return 500;
}

int Median(double errors, double slow) {
  std::vector<int> answers;
  for (std::uint32_t seed = 1; seed <= 101; ++seed) answers.push_back(AnswersToEjection(errors, slow, seed));
  std::sort(answers.begin(), answers.end());
  return answers[50];
}

BOOST_AUTO_TEST_SUITE(health)

BOOST_AUTO_TEST_CASE(FailingHalfOfRealWorkIsFoundWithinTenAnswers) { BOOST_TEST(Median(0.5, 1) <= 10); }

BOOST_AUTO_TEST_CASE(SlowByFiveIsFoundWithinTwoSecondsOfAnswers) { BOOST_TEST(Median(0.01, 5) <= 100); }

BOOST_DATA_TEST_CASE(NoFalseEjectionInTwoHundredThousandAnswers, boost::unit_test::data::xrange(1, 4), seed) {
  Service service(20, static_cast<std::uint32_t>(seed));
  std::size_t ejections = 0;
  for (int round = 0; round < 10'000; ++round) ejections += service.Round(0.01, 1, 0, 1, {}).size();
  BOOST_TEST(ejections == 0U);
}

/// A way in which all endpoints worsen together.
struct Worsening {
  double m_errors;
  double m_slow;
};

std::ostream& operator<<(std::ostream& out, const Worsening& row) {
  return out << row.m_errors << "/" << row.m_slow;
}

const Worsening kWorsenings[] = {{0.1, 1}, {0.3, 1}, {0.9, 1}, {0.01, 3}, {0.01, 10}, {0.3, 3}};

BOOST_DATA_TEST_CASE(SharedCauseEjectsNobody, boost::unit_test::data::make(kWorsenings), row) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Service service(8, seed);
    for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
    std::size_t ejections = 0;
    for (int round = 0; round < 2000; ++round)
      ejections += service.Round(row.m_errors, row.m_slow, 0, 1, {}).size();
    BOOST_TEST(ejections == 0U, "seed " << seed << ": " << ejections);
  }
}

BOOST_AUTO_TEST_CASE(FloorHoldsWhenMostEndpointsFailOneAfterAnother) {
  Service service(8, 7, 0.75);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  std::vector<int> ill;
  for (int i = 0; i < 8; ++i) {
    ill.push_back(i);
    for (int round = 0; round < 300; ++round) {
      service.Round(0.01, 1, 0.9, 1, ill);
      BOOST_REQUIRE(service.Monitor().SlotsInService() >= service.Monitor().FloorSlots());
    }
  }
}

BOOST_AUTO_TEST_CASE(EndpointThatComesBackWhileOthersAreEjectedKeepsTheFloor) {
  Service service(4, 3, 0.5);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  service.Monitor().SetInService("e0", false);
  // Work that e0 still finishes fails, and so does that of two others.
  for (int round = 0; round < 100; ++round) service.Round(0.01, 1, 0.9, 1, {1, 2});
  for (int i = 0; i < 50; ++i) {
    service.Monitor().Observe("e0", "read", AttemptOutcome::kBroken, std::chrono::milliseconds(5),
                              service.Now());
  }
  service.Monitor().SetInService("e0", true);
  BOOST_TEST(service.Monitor().SlotsInService() >= service.Monitor().FloorSlots());
}

BOOST_AUTO_TEST_CASE(RecoveredEndpointReturnsThroughCanariesAndARamp) {
  Service service(8, 5);
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

BOOST_AUTO_TEST_CASE(FlappingLengthensTheStay) {
  Service service(8, 5);
  for (int round = 0; round < 300; ++round) service.Round(0.01, 1, 0, 1, {});
  std::vector<Duration> stays;
  for (int round = 0; round < 6000 && stays.size() < 3; ++round) {
    if (!service.Round(0.01, 1, 0.9, 1, {3}).empty()) {
      stays.push_back(service.Monitor().Endpoints().at("e3").m_ejection_time);
    }
  }
  BOOST_REQUIRE(stays.size() == 3U);
  BOOST_CHECK(stays[1] == 2 * stays[0]);
  BOOST_CHECK(stays[2] == 4 * stays[0]);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
