#pragma once

#include "fescueramp/node/events.h"

namespace fescueramp {

/// Passes events to the reducer.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Applies the event and runs its effects before it returns; while another event is being processed, after
  /// it.
  virtual void Post(Event event) = 0;
};

}  // namespace fescueramp
