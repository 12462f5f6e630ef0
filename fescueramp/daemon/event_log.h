#pragma once

#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/core/token_bucket.h"
#include "fescueramp/net/async_condition.h"

namespace fescueramp {

/// Limits of the log's volume.
struct EventLogSettings {
  double m_lines_per_s = 400;         ///< Lines per second; more are dropped and counted.
  double m_burst = 2000;              ///< Lines that may exceed the rate at once.
  std::size_t m_max_buffer = 262144;  ///< Bytes buffered for a slow reader before lines are dropped.
};

/// Structured log on standard output, one JSON object per line. Limited in volume and never blocks: lines
/// that can't be written are dropped, and the next line holds their number.
class EventLog {
 public:
  /// @param node Name of this node, added to every line.
  EventLog(const asio::any_io_executor& executor, const Clock& clock, std::string node,
           EventLogSettings settings = {});

  /// Writes one line, or drops it above the rate limit.
  /// @param event Fixed name of the event.
  void Write(std::string_view event, json::object fields);

  /// Writes one line exempt from the rate limit, for starts, stops and lost dependencies.
  void WriteUnthrottled(std::string_view event, json::object fields);

  /// Number of lines dropped so far.
  std::int64_t Dropped() const { return m_dropped_total; }

  /// Writes the buffered lines, as far as the pipe accepts them without blocking.
  void Flush();

 private:
  void Append(std::string_view event, json::object fields);
  void ScheduleFlush();

  const Clock& m_clock;
  std::string m_node;
  EventLogSettings m_settings;
  TokenBucket m_rate;
  asio::steady_timer m_timer;
  std::string m_buffer;
  bool m_flush_scheduled = false;
  std::int64_t m_dropped = 0;
  std::int64_t m_dropped_total = 0;
};

}  // namespace fescueramp
