#pragma once

#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/core/token_bucket.h"
#include "fescueramp/net/async_condition.h"

namespace fescueramp {

/// Bounds of the log.
struct EventLogSettings {
  double m_lines_per_s = 400;         ///< Lines a second; more are dropped and counted.
  double m_burst = 2000;              ///< Lines above that rate at once.
  std::size_t m_max_buffer = 262144;  ///< Bytes that wait for a slow reader before lines are dropped.
};

/// Structured log on standard output: one JSON object a line. Bounded in volume, and never blocks: what can't
/// be written is dropped, and the next line says how many were.
class EventLog {
 public:
  /// @param node Name of the node, on every line.
  EventLog(const asio::any_io_executor& executor, const Clock& clock, std::string node,
           EventLogSettings settings = {});

  /// Writes one line.
  /// @param event What happened, as a fixed name.
  void Write(std::string_view event, json::object fields);

  /// Writes one line that is not counted against the rate, for starts, stops and lost dependencies.
  void WriteUnthrottled(std::string_view event, json::object fields);

  std::int64_t Dropped() const { return m_dropped_total; }

  /// Writes out what waits, as far as the reader takes it.
  void Flush();

 private:
  void Append(std::string_view event, json::object fields);
  void FlushLater();

  const Clock& m_clock;
  std::string m_node;
  EventLogSettings m_settings;
  TokenBucket m_rate;
  asio::steady_timer m_timer;
  std::string m_waiting;
  bool m_flush_planned = false;
  std::int64_t m_dropped = 0;
  std::int64_t m_dropped_total = 0;
};

}  // namespace fescueramp
