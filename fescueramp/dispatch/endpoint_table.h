#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/config/objects.h"
#include "fescueramp/core/time.h"
#include "fescueramp/health/health_monitor.h"

namespace fescueramp {

/// Slots of one service's endpoints: which are free, and which a request should take.
class EndpointTable {
 public:
  /// Slot state of one endpoint.
  struct Slots {
    std::string m_name;
    Endpoint m_endpoint;
    std::int64_t m_total = 0;
    std::int64_t m_usable = 0;
    std::int64_t m_busy = 0;
    std::map<std::string, std::int64_t> m_busy_by_class;
    bool m_exclusive = false;     ///< Whether a suspect runs there alone.
    bool m_leaving = false;       ///< By the platform's list or the endpoint's own answer.
    Instant m_backoff_until{};    ///< After a refusal or a failed connect.
    std::int64_t m_refusals = 0;  ///< Refusals and failed connects in a row.
    std::int64_t m_last_used = 0;
    bool m_in_free_set = false;
    double m_free_key = 0;
    std::int64_t m_free_last_used = 0;
  };

  /// What a request needs of an endpoint.
  struct Need {
    std::string m_class_name;
    double m_max_share = 1;    ///< Share of one endpoint's slots that the class may hold.
    bool m_alone = false;      ///< Whether it must have an endpoint to itself.
    bool m_repeatable = true;  ///< Canaries take repeatable requests only.
    const std::set<std::string>* m_avoid = nullptr;  ///< Endpoints that failed the request.
  };

  EndpointTable(HealthMonitor& health, std::string own_zone)
      : m_health(health), m_own_zone(std::move(own_zone)) {}

  /// Sets the endpoints of the pool; known ones keep their state.
  void Configure(const ObjectSet& set, const Pool& pool, double floor, Instant now);

  /// The least used endpoint that meets the need, the own zone first; null when none is free.
  Slots* Choose(const Need& need, Instant now);

  void Take(Slots& slots, const std::string& class_name, bool exclusive);
  void Release(const std::string& endpoint, const std::string& class_name, Instant now);

  /// Leaves an endpoint alone for a moment after it refused work or a connection.
  void BackOff(const std::string& endpoint, Instant now);

  /// Notes that the endpoint took work.
  void Accepted(const std::string& endpoint);

  void SetLeaving(const std::string& endpoint, bool leaving, Instant now);

  /// Recomputes what every endpoint may use, after a change of health or time.
  void Refresh(Instant now);

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

  void Update(Slots& slots, Instant now);
  void Reindex(Slots& slots);
  bool Meets(const Slots& slots, const Need& need, Instant now) const;

  HealthMonitor& m_health;
  std::string m_own_zone;
  std::map<std::string, Slots> m_slots;
  std::set<FreeKey> m_free;
  std::int64_t m_total_usable = 0;
  std::int64_t m_total_busy = 0;
  std::int64_t m_use_counter = 0;
};

}  // namespace fescueramp
