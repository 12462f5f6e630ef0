#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/config/objects.h"
#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/placement.h"
#include "fescueramp/health/health_monitor.h"
#include "fescueramp/health/service_time_model.h"

namespace fescueramp {

/// Slots of one service's endpoints: which are free, and which a request should take.
class EndpointTable {
 public:
  /// An attempt that holds a slot.
  struct Running {
    Instant m_started{};
    std::string m_route;
    bool m_told = false;          ///< Whether its missing answer has been held against the endpoint for good.
    double m_answered_since = 1;  ///< Odds by answers to work that was begun later.
  };

  /// Slot state of one endpoint.
  struct Slots {
    std::string m_name;
    Endpoint m_endpoint;
    std::int64_t m_total = 0;
    std::int64_t m_usable = 0;
    std::int64_t m_busy = 0;
    std::map<std::string, std::int64_t> m_busy_by_class;
    bool m_exclusive = false;       ///< Whether a suspect runs there alone.
    bool m_leaving = false;         ///< By the platform's list or the endpoint's own answer.
    Instant m_backoff_until{};      ///< After a refusal or a failed connect.
    std::int64_t m_refusals = 0;    ///< Refusals and failed connects in a row.
    std::int64_t m_started_ms = 0;  ///< Start of the endpoint, Unix ms; 0 when it is not known.
    PlacementState m_placement;
    std::map<std::int64_t, Running> m_running;  ///< Attempts that run there, by ticket.
    std::int64_t m_hung = 0;  ///< Slots held by work that should have been answered long ago.
    std::int64_t m_last_used = 0;
    bool m_in_free_set = false;
    double m_free_key = 0;
    std::int64_t m_free_last_used = 0;
  };

  /// What a request needs of an endpoint.
  struct Need {
    std::string m_class_name;
    double m_max_share = 1;  ///< Share of one endpoint's slots that the class may hold.
    bool m_alone = false;    ///< Whether it must have an endpoint to itself.
    PlacementState::Need m_placement;
    bool m_canary = true;      ///< Whether it may go to an endpoint whose health is on trial.
    bool m_by_belief = false;  ///< Whether cost decides; otherwise the least used endpoint is taken.
    double m_most_doubt = 1;   ///< Doubt above which waiting for another endpoint is better.
    double m_usual_time = 0;   ///< Usual time of the work, seconds; 0 when it is not known.
    const std::set<std::string>* m_avoid = nullptr;  ///< Endpoints that failed the request.
  };

  EndpointTable(HealthMonitor& health, std::string own_zone)
      : m_health(health), m_own_zone(std::move(own_zone)) {}

  /// Sets the endpoints, which a pool lists or which announced themselves; known ones keep their state.
  /// @param floor Share of slots that ejections must leave.
  void Configure(const std::vector<LiveEndpoint>& endpoints, double floor, Instant now);

  /// Sets what the operator wants of an endpoint.
  void SetAdminState(const std::string& endpoint, AdminState state, Instant now);

  /// The endpoint of least cost that meets the need; null when none is free.
  Slots* Choose(const Need& need, Instant now);

  /// Takes a slot and returns the ticket that gives it back.
  std::int64_t Take(Slots& slots, const std::string& class_name, bool exclusive, const std::string& route,
                    Instant now);
  void Release(const std::string& endpoint, const std::string& class_name, std::int64_t ticket, Instant now);

  /// Notes what work told about an endpoint.
  /// @param relative_time Time of the work in multiples of the usual time; 0 when it tells nothing.
  /// @param started Start of the work.
  void Observe(const std::string& endpoint, Evidence evidence, double relative_time, Instant started,
               Instant now);

  /// Notes that an attempt which still holds its slot is not waited for any more, or has ended without an
  /// answer.
  void NoteUnanswered(const std::string& endpoint, std::int64_t ticket, Instant now);

  /// Times of the work, which decide how long it may go without an answer.
  ServiceTimeModel& Times() { return m_times; }
  const ServiceTimeModel& Times() const { return m_times; }

  /// Notes that this node did not run: how long work has run tells nothing up to now.
  void HandlePause(Instant now);

  /// Whether an endpoint did not run at full speed at a time.
  bool Cold(const std::string& endpoint, Instant at) const;

  /// Whether an endpoint takes no new work.
  bool Leaving(const std::string& endpoint) const;

  /// Probability that an endpoint is in a gray failure.
  double Doubt(const std::string& endpoint, Instant now) const;

  /// Leaves an endpoint alone after it refused a connection, each time longer.
  void BackOff(const std::string& endpoint, Instant now);

  /// Leaves an endpoint alone for a moment after it refused work: a slot that seemed free is not.
  void NoteRefused(const std::string& endpoint, Instant now);

  /// Notes that the endpoint took work.
  void Accepted(const std::string& endpoint);

  void SetLeaving(const std::string& endpoint, bool leaving, Instant now);

  /// Recomputes what every endpoint may use, after a change of health or time.
  void Refresh(Instant now);

  /// Slots of endpoints that are in no serious doubt, busy ones included.
  std::int64_t SoundSlots() const { return m_sound_slots; }

  /// The same without slots that are held by work which should have been answered long ago.
  std::int64_t WorkingSlots() const { return m_working_slots; }
  std::int64_t TotalUsable() const { return m_total_usable; }
  std::int64_t TotalBusy() const { return m_total_busy; }
  bool AnyFree() const { return !m_free.empty(); }
  const std::map<std::string, Slots>& All() const { return m_slots; }

 private:
  struct FreeKey {
    double m_load = 0;  ///< Share of usable slots in use, plus a little for another zone.
    std::int64_t m_last_used = 0;
    Slots* m_slots = nullptr;

    bool operator<(const FreeKey& other) const {
      if (m_load != other.m_load) return m_load < other.m_load;
      if (m_last_used != other.m_last_used) return m_last_used < other.m_last_used;
      return m_slots->m_name < other.m_slots->m_name;
    }
  };

  /// Odds of a gray failure by the time that an attempt has run.
  double OddsOf(const Slots& slots, const Running& running, Instant now) const;
  void UpdateOdds(Slots& slots, Instant now);
  double CostOf(const Slots& slots, const Need& need, Instant now) const;
  void CountSound(Instant now);

  /// Slots that work which can wait for other endpoints may take.
  static std::int64_t SlotsByDoubt(const Slots& slots, double most_doubt, Instant now);
  void Update(Slots& slots, Instant now);
  void Reindex(Slots& slots);
  bool Meets(const Slots& slots, const Need& need, Instant now) const;

  HealthMonitor& m_health;
  std::string m_own_zone;
  ServiceTimeModel m_times;
  std::map<std::string, Slots> m_slots;
  std::set<FreeKey> m_free;
  std::int64_t m_sound_slots = 0;  ///< Slots of endpoints that are in no serious doubt.
  std::int64_t m_working_slots = 0;
  std::int64_t m_total_usable = 0;
  std::int64_t m_total_busy = 0;
  std::int64_t m_use_counter = 0;
};

}  // namespace fescueramp
