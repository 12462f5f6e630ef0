#pragma once

#include <cstdint>

namespace fescueramp {

/// Use of the slots of a dispatcher's endpoints.
struct SlotUse {
  std::int64_t m_queued = 0;    ///< Requests of all classes that wait for a slot.
  double m_reliable_slots = 0;  ///< Slots of endpoints that are probably not in a gray failure.
  double m_free_slots = 0;      ///< Reliable slots that are not in use.
};

/// Whether a hedge may take a free slot.
///
/// Addresses a load that nearly fills the endpoints: service times grow, more requests become overdue, and
/// their hedges would take the slots of requests that arrive next and make these overdue in turn.
bool HasSpareCapacity(const SlotUse& use);

}  // namespace fescueramp
