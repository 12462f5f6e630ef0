#pragma once

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include "fescueramp/node/node_reducer.h"

namespace fescueramp {

/// Writes the settings, events and effects of a node, one JSON value per line.
class TraceWriter {
 public:
  TraceWriter(std::ostream& out, const NodeSettings& settings);

  /// Writes one event with its time and effects.
  void Write(const Event& event, Instant now, const Effects& effects);

 private:
  std::ostream& m_out;
};

/// A difference between a trace and its replay.
struct TraceDifference {
  std::int64_t m_line = 0;  ///< Line of the event in the trace, from 1.
  std::string m_event;
  std::string m_recorded;  ///< Effects in the trace.
  std::string m_replayed;  ///< Effects of this version.
};

/// Replays a trace through the reducer and returns the first `max_differences` events with other effects.
/// @throws Error with kInvalidTrace when the trace can't be read.
std::vector<TraceDifference> ReplayTrace(std::istream& trace, std::size_t max_differences);

}  // namespace fescueramp
