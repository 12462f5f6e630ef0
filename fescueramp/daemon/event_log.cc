#include "fescueramp/daemon/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace fescueramp {
namespace {

constexpr std::size_t kAtomicWrite = PIPE_BUF;  ///< Bytes that a pipe takes whole or not at all.
constexpr auto kFlushPeriod = std::chrono::milliseconds(50);  ///< Time for which lines are gathered.

}  // namespace

EventLog::EventLog(const asio::any_io_executor& executor, const Clock& clock, std::string node,
                   EventLogSettings settings)
    : m_clock(clock), m_node(std::move(node)), m_settings(settings), m_timer(executor) {
  const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void EventLog::Write(std::string_view event, json::object fields) {
  if (!m_rate.Take(m_clock.Now(), m_settings.m_lines_per_s, m_settings.m_burst)) {
    ++m_dropped;
    ++m_dropped_total;
    return;
  }
  Append(event, std::move(fields));
}

void EventLog::WriteUnthrottled(std::string_view event, json::object fields) {
  Append(event, std::move(fields));
}

void EventLog::Append(std::string_view event, json::object fields) {
  if (m_waiting.size() > m_settings.m_max_buffer) {
    ++m_dropped;
    ++m_dropped_total;
    return;
  }
  json::object line{{"time_us", ToJson(m_clock.Now())}, {"node", m_node}, {"event", event}};
  for (auto& field : fields) line.emplace(field.key(), std::move(field.value()));
  if (m_dropped > 0) line.emplace("lines_dropped_before", std::exchange(m_dropped, 0));
  m_waiting += json::serialize(line);
  m_waiting += '\n';
  FlushLater();
}

void EventLog::FlushLater() {
  if (std::exchange(m_flush_planned, true)) return;
  m_timer.expires_after(kFlushPeriod);
  m_timer.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    m_flush_planned = false;
    Flush();
    if (!m_waiting.empty()) FlushLater();
  });
}

void EventLog::Flush() {
  while (!m_waiting.empty()) {
    // Whole lines at a time, so that those of several processes never mix within a line.
    std::size_t size = std::min(m_waiting.size(), kAtomicWrite);
    if (const std::size_t end = m_waiting.rfind('\n', size - 1); end != std::string::npos) size = end + 1;
    const ssize_t written = ::write(STDOUT_FILENO, m_waiting.data(), size);
    if (written < 0 && errno == EINTR) continue;
    // The reader is slow; what it does not take in time is dropped when the next lines come.
    if (written <= 0) return;
    m_waiting.erase(0, static_cast<std::size_t>(written));
  }
}

}  // namespace fescueramp
