#include "fescueramp/net/replay_body.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <stdexcept>

#include "fescueramp/net/framing_limits.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxReplayBytes = 256 * 1024;     ///< Bytes buffered for retries.
constexpr std::size_t kUnknownLengthBytes = 32 * 1024;  ///< Expected of a body of unknown length; one read.

}  // namespace

ReplayBody::ReplayBody(const asio::any_io_executor& executor, std::int64_t max_bytes)
    : m_executor(executor), m_max_bytes(max_bytes), m_changed(executor) {}

void ReplayBody::Charge(std::shared_ptr<MemoryAccount> account, std::size_t expected_bytes) {
  m_expected_bytes = expected_bytes;
  m_charge = MemoryCharge(std::move(account), MemoryKind::kBody, expected_bytes);
}

std::size_t ReplayBody::ExpectedBytes(std::int64_t content_length) {
  if (content_length < 0) return kUnknownLengthBytes;
  return std::min(kMaxReplayBytes, static_cast<std::size_t>(content_length));
}

void ReplayBody::UpdateCharge() {
  const bool reading = !m_ended && !m_failed && !m_too_long;
  m_charge.Resize(reading ? std::max(m_expected_bytes, m_data.size()) : m_data.size());
}

void ReplayBody::Start(Source source, std::function<void()> on_end) {
  asio::co_spawn(m_executor, ReadLoop(std::move(source), std::move(on_end)), asio::detached);
}

asio::awaitable<void> ReplayBody::ReadLoop(Source source, std::function<void()> on_end) {
  const auto self = shared_from_this();
  try {
    while (true) {
      std::string part = co_await source();
      if (part.empty()) break;
      m_data += part;
      m_too_long = static_cast<std::int64_t>(m_discarded_bytes + m_data.size()) > m_max_bytes;
      if (m_too_long) break;
      UpdateCharge();
      m_changed.Notify();
      while (m_data.size() >= kMaxReplayBytes) co_await m_changed.Wait();
    }
    m_ended = !m_too_long;
  } catch (const RequestRefused&) {
    m_refused = true;
  } catch (const std::exception&) {
    m_failed = true;
  }
  UpdateCharge();
  m_changed.Notify();
  if (m_ended) on_end();
}

asio::awaitable<void> ReplayBody::WaitForStart() {
  const auto self = shared_from_this();
  while (!m_ended && m_data.empty() && m_discarded_bytes == 0) {
    if (m_failed || m_too_long || m_refused) throw std::runtime_error("body is not available");
    co_await m_changed.Wait();
  }
}

asio::awaitable<std::string> ReplayBody::Read(std::size_t& cursor) {
  const auto self = shared_from_this();
  while (true) {
    if (m_too_long || m_failed || m_refused || cursor < m_discarded_bytes)
      throw std::runtime_error("body is not available");
    if (cursor < m_discarded_bytes + m_data.size()) break;
    if (m_ended) co_return std::string();
    co_await m_changed.Wait();
  }
  std::string part = m_data.substr(cursor - m_discarded_bytes);
  cursor += part.size();
  // A body that fills the buffer can no longer be replayed, so the data that was read is discarded.
  if (m_data.size() >= kMaxReplayBytes) {
    m_discarded_bytes += m_data.size();
    m_data.clear();
    UpdateCharge();
    m_changed.Notify();
  }
  co_return part;
}

}  // namespace fescueramp
