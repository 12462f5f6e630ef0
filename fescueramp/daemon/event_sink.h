#pragma once

#include "fescueramp/node/events.h"

namespace fescueramp {

/// Takes what happens outside to the reducer.
class EventSink {
 public:
  virtual ~EventSink() = default;

  /// Applies the event and runs its effects, at once or as soon as the current event is done.
  virtual void Post(Event event) = 0;
};

}  // namespace fescueramp
