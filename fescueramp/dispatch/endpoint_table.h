#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/config/objects.h"
#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/endpoint_constraints.h"
#include "fescueramp/dispatch/endpoint_coverage.h"
#include "fescueramp/dispatch/placement.h"
#include "fescueramp/health/health_monitor.h"
#include "fescueramp/health/service_time_model.h"

namespace fescueramp {

/// Slots of one service's endpoints. Tracks which are free and chooses one for a request.
class EndpointTable {
 public:
  /// An attempt that holds a slot.
  struct Running {
    Instant m_started{};
    std::string m_route;
    /// Whether its missing response was already recorded as final evidence against the endpoint.
    bool m_no_response_recorded = false;
    /// Likelihood ratio of good responses to attempts that started later.
    double m_later_response_ratio = 1;
  };

  /// Slots and placement state of one endpoint.
  struct Slots {
    std::string m_name;
    Endpoint m_endpoint;
    std::int64_t m_total = 0;
    std::int64_t m_usable = 0;
    std::int64_t m_busy = 0;
    std::map<std::string, std::int64_t> m_busy_by_class;
    bool m_exclusive = false;  ///< Whether a suspect request runs there alone.
    bool m_leaving = false;    ///< As listed by the platform.
    /// What the endpoint has stated, as of the last refresh.
    EndpointConstraints::Constraint m_constraint;
    Instant m_backoff_until{};  ///< No new attempts until then, after a refusal or a failed connect.
    std::int64_t m_connect_failures = 0;  ///< Consecutive failed connects.
    std::int64_t m_started_ms = 0;        ///< Start time of the endpoint, Unix ms; 0 if unknown.
    Instant m_process_since{};            ///< Time at which that start time was first listed.
    PlacementState m_placement;
    std::map<std::int64_t, Running> m_running;  ///< Attempts in progress by ticket.
    std::int64_t m_hung = 0;                    ///< Slots held by attempts that are probably hanging.
    std::int64_t m_last_used = 0;
    bool m_in_free_set = false;
    double m_free_key = 0;
    std::int64_t m_free_last_used = 0;
  };

  /// What a request needs of an endpoint.
  struct Need {
    std::string m_class_name;
    double m_max_share = 1;    ///< Maximum share of one endpoint's slots that the class may hold.
    bool m_alone = false;      ///< Whether the request must run alone on an endpoint.
    bool m_repeatable = true;  ///< Whether the request can be retried after a failure.
    bool m_canary = true;      ///< Whether the request may go to an endpoint in canary state.
    bool m_by_belief = false;  ///< Whether the cost decides; otherwise the least used endpoint is chosen.
    /// Gray-failure probability above which the request should wait for another endpoint; 1 if it should not
    /// wait.
    double m_max_gray_probability = 1;
    double m_expected_time = 0;                      ///< Expected service time, seconds; 0 if unknown.
    const std::set<std::string>* m_avoid = nullptr;  ///< Endpoints that failed the request before.
  };

  /// @param constraints What endpoints have stated, shared by the dispatchers of one node.
  EndpointTable(HealthMonitor& health, std::string own_zone, std::shared_ptr<EndpointConstraints> constraints)
      : m_health(health), m_own_zone(std::move(own_zone)), m_constraints(std::move(constraints)) {}

  /// Sets the endpoints, which are listed in a pool or announced themselves. Endpoints already in the table
  /// keep their state.
  /// @param floor Minimum share of slots that ejections must leave in service.
  void Configure(const std::vector<LiveEndpoint>& endpoints, double floor, Instant now);

  /// Sets the state that an operator assigned to an endpoint.
  void SetAdminState(const std::string& endpoint, AdminState state, Instant now);

  /// Returns the endpoint that meets the need at the lowest cost; null if there is none.
  Slots* Choose(const Need& need, Instant now);

  /// Takes a slot and returns the ticket for its release.
  std::int64_t Take(Slots& slots, const std::string& class_name, bool exclusive, const std::string& route,
                    Instant now);

  /// Releases the slot of a ticket.
  void Release(const std::string& endpoint, const std::string& class_name, std::int64_t ticket, Instant now);

  /// Records the outcome of an attempt as evidence about its endpoint.
  /// @param relative_time Service time in multiples of the expected time; 0 if it is no evidence.
  /// @param started Start of the attempt.
  void Observe(const std::string& endpoint, Evidence evidence, double relative_time, Instant started,
               Instant now);

  /// Applies what an endpoint stated in the response to an attempt that started at `started`.
  /// @return Whether a constraint on requests to it changed.
  bool ApplyStatement(const std::string& endpoint, const EndpointStatement& statement, Instant started,
                      Instant now);

  /// Constraints on requests to the endpoints that other nodes should know.
  std::vector<AnnouncedConstraint> ConstraintsToAnnounce(Instant now) const;

  /// Records that an attempt which still holds its slot was abandoned or ended without a response.
  void RecordNoResponse(const std::string& endpoint, std::int64_t ticket, Instant now);

  /// Service times, from which the likelihood that an attempt hangs is derived.
  ServiceTimeModel& Times() { return m_times; }
  const ServiceTimeModel& Times() const { return m_times; }

  /// Handles a pause of this node's process: restarts the run time of all attempts, as time before it is no
  /// evidence.
  void HandlePause(Instant now);

  /// Whether an endpoint was still warming up at time `at`.
  bool Cold(const std::string& endpoint, Instant at) const;

  /// Whether the platform lists an endpoint as leaving.
  bool ListedAsLeaving(const std::string& endpoint) const;

  /// Time until the first endpoint in service takes requests again; 0 unless all of them have asked for a
  /// pause.
  Duration PauseLeft(Instant now) const { return std::max(Duration(0), m_all_paused_until - now); }

  /// Probability that an endpoint is in a gray failure; 1 for an unknown endpoint. Status and decision
  /// records call it doubt.
  double GrayProbability(const std::string& endpoint, Instant now) const;

  /// Sends no attempts to an endpoint for a while after a failed connect, with exponential backoff.
  void BackOff(const std::string& endpoint, Instant now);

  /// Records that an endpoint refused a request although a slot seemed free, and sends no attempts to it for
  /// a moment.
  void RecordRefusal(const std::string& endpoint, Instant now);

  /// Ends the exponential backoff of an endpoint that responded.
  void ResetBackOff(const std::string& endpoint);

  /// Marks an endpoint as leaving or staying.
  void SetLeaving(const std::string& endpoint, bool leaving, Instant now);

  /// Recomputes the usable slots of every endpoint after a change of health or time.
  void Refresh(Instant now);

  /// Slots, busy ones included, of endpoints that are probably not in a gray failure. An endpoint with a
  /// request limit counts with as many slots as requests at that rate keep busy, one that has asked for a
  /// pause with none.
  double ReliableSlots() const { return m_reliable_slots; }

  /// Reliable slots without those held by attempts that are probably hanging.
  double ResponsiveSlots() const { return m_responsive_slots; }

  /// Reliable slots that are not in use. Attempts in progress count against the endpoint that runs them.
  double FreeReliableSlots(Instant now) const;

  /// Usable slots of all endpoints, busy ones included.
  std::int64_t TotalUsable() const { return m_total_usable; }

  /// Returns how many endpoints in service get requests.
  EndpointCoverage Coverage(Instant now) const;

  /// Slots in use at all endpoints.
  std::int64_t TotalBusy() const { return m_total_busy; }

  /// Whether any endpoint has a free slot.
  bool AnyFree() const { return !m_free.empty(); }

  /// All endpoints by name.
  const std::map<std::string, Slots>& All() const { return m_slots; }

 private:
  struct FreeKey {
    double m_load = 0;  ///< Share of usable slots in use, plus the cost of crossing zones.
    std::int64_t m_last_used = 0;
    Slots* m_slots = nullptr;

    bool operator<(const FreeKey& other) const {
      if (m_load != other.m_load) return m_load < other.m_load;
      if (m_last_used != other.m_last_used) return m_last_used < other.m_last_used;
      return m_slots->m_name < other.m_slots->m_name;
    }
  };

  /// Likelihood ratio for a gray failure of the time that an attempt has run without a response.
  double LikelihoodRatioOf(const Slots& slots, const Running& running, Instant now) const;
  void UpdateLikelihoodRatio(Slots& slots, Instant now);
  /// Whether an endpoint is not backing off and has not asked for a pause.
  static bool TakesRequests(const Slots& slots, Instant now);
  double CostOf(const Slots& slots, const Need& need, Instant now) const;
  void CountReliableSlots(Instant now);

  /// Slots that the requests within an endpoint's limit keep busy on average; infinite without a limit.
  double SlotsWithinLimit(const Slots& slots) const;

  /// Slots that requests which can wait for other endpoints may take, given their maximum gray-failure
  /// probability.
  static std::int64_t AllowedSlots(const Slots& slots, double max_gray_probability, Instant now);
  void Update(Slots& slots, Instant now);
  void Reindex(Slots& slots);
  bool Meets(const Slots& slots, const Need& need, Instant now) const;

  HealthMonitor& m_health;
  std::string m_own_zone;
  ServiceTimeModel m_times;
  std::map<std::string, Slots> m_slots;
  std::set<FreeKey> m_free;
  std::shared_ptr<EndpointConstraints> m_constraints;
  double m_reliable_slots = 0;  ///< See `ReliableSlots`.
  double m_responsive_slots = 0;
  /// Time until which no endpoint in service takes requests, as all have asked for a pause.
  Instant m_all_paused_until{};
  std::int64_t m_total_usable = 0;
  std::int64_t m_total_busy = 0;
  std::int64_t m_use_counter = 0;
};

}  // namespace fescueramp
