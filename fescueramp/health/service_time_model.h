#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "fescueramp/core/moving_average.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Distribution of the service times of each route, which gives the likelihood that an attempt without a
/// response hangs at its endpoint.
///
/// It detects endpoints that accept requests and never respond to some of them, while other requests and
/// health checks succeed. A timeout detects this many service times later, and the requests sent in the
/// meantime hang too. The survival function is estimated from responses, including the heavy tail, so that
/// requests that merely take long are only weak evidence of a gray failure.
/// Source: E. Kaplan, P. Meier, "Nonparametric Estimation from Incomplete Observations", 1958 (the survival
/// function).
class ServiceTimeModel {
 public:
  /// Records the service time of a response.
  void AddResponse(const std::string& route, Duration latency);

  /// Records a failed attempt.
  /// @param hung True if it ended without a response, false if its connection broke.
  void AddFailure(bool hung);

  /// Mean service time of a route in seconds; 0 before the first response.
  double RouteServiceTime(const std::string& route) const;

  /// Mean service time of all routes together in seconds; 0 before the first response.
  double MeanServiceTime() const { return m_mean.Value(); }

  /// Likelihood of no response up to `age` during a gray failure, relative to a healthy endpoint; at least 1.
  /// @param slowness Service time at the endpoint, in multiples of the route's mean service time.
  /// @param gray_failure_rate Share of attempts that fail during a gray failure.
  double HangLikelihoodRatio(const std::string& route, Duration age, double slowness,
                             double gray_failure_rate) const;

 private:
  /// Multiples of the mean service time at which the survival function is estimated.
  static constexpr std::array<double, 10> kRelativeAges = {1, 1.25, 1.5, 2, 2.5, 3, 4, 5, 6, 8};

  struct RouteModel {
    MovingAverage m_mean{0.02};  ///< Service time, seconds.
    /// Survival function at `kRelativeAges`: shares of requests with a longer service time. The initial
    /// values are cautiously high.
    std::array<double, kRelativeAges.size()> m_survival = {0.5,  0.4,  0.3,  0.2,  0.15,
                                                           0.12, 0.08, 0.06, 0.05, 0.03};
  };

  static double Survival(const RouteModel& model, double relative_age);

  std::map<std::string, RouteModel> m_route_models;
  MovingAverage m_mean{0.02};  ///< Service time of any route, seconds.
  double m_hang_share = 0.5;   ///< Share of recent failures without a response.
};

}  // namespace fescueramp
