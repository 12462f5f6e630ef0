#include "fescueramp/dispatch/spare_capacity.h"

namespace fescueramp {
namespace {

/// Share of the reliable slots that must stay free beside a hedge, for requests that arrive during its run.
constexpr double kMinFreeShare = 0.2;

}  // namespace

bool HasSpareCapacity(const SlotUse& use) {
  if (use.m_queued > 0 || use.m_reliable_slots <= 0) return false;
  return use.m_free_slots - 1 >= kMinFreeShare * use.m_reliable_slots;
}

}  // namespace fescueramp
