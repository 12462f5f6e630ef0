#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// How long the work of each route takes, and what work without an answer tells about its endpoint.
///
/// Answers the load pattern in which endpoints take work and never answer it while their other work and their
/// health checks succeed: a time-out tells of it many service times too late, and all that is sent in the
/// meantime is lost as well. The share of work that runs longer is learned from answers, heavy tail included,
/// and bounds how sure work that merely takes long can make anybody.
/// Source: E. Kaplan, P. Meier, "Nonparametric Estimation from Incomplete Observations", 1958 (the survival
/// function).
class ServiceTimeModel {
 public:
  /// Notes the time of an answer.
  void AddAnswer(const std::string& route, Duration latency);

  /// Notes work that failed.
  /// @param hung Whether it went without an answer, rather than broke off.
  void AddFailure(bool hung);

  /// Mean time of the route's work, seconds; 0 before the first answer.
  double RouteServiceTime(const std::string& route) const;

  /// How much likelier it is that an endpoint fails grayly once work has run there so long without an answer,
  /// as odds of at least 1.
  /// @param slowness Time that work takes there, in multiples of the usual time.
  /// @param gray_failures Share of work that fails at an endpoint in a gray failure.
  double HangLikelihoodRatio(const std::string& route, Duration age, double slowness,
                             double gray_failures) const;

 private:
  /// Multiples of the usual time at which the share of longer work is known.
  static constexpr std::array<double, 10> kAges = {1, 1.25, 1.5, 2, 2.5, 3, 4, 5, 6, 8};

  struct RouteTimes {
    MovingAverage m_mean{0.02};  ///< Seconds.
    /// Shares of work that run longer than `kAges`; cautious ones before any is known.
    std::array<double, kAges.size()> m_longer = {0.5, 0.4, 0.3, 0.2, 0.15, 0.12, 0.08, 0.06, 0.05, 0.03};
  };

  static double LongerShare(const RouteTimes& times, double relative_age);

  std::map<std::string, RouteTimes> m_routes;
  double m_hung_share = 0.5;  ///< Share of recent failures that were hangs.
};

}  // namespace fescueramp
