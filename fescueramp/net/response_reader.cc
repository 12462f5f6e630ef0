#include "fescueramp/net/response_reader.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr int kMaxSkipped = 3;                     ///< Other answers before a connection is given up.
constexpr std::size_t kMaxSkippedBytes = 1 << 20;  ///< Bytes of their bodies, the same.
constexpr std::int64_t kFirstFinalStatus = 200;    ///< Lower ones announce an answer.

}  // namespace

std::chrono::milliseconds ResponseReader::TimeLeft() {
  const Duration left = m_time.m_deadline - m_clock.Now();
  // Bytes that keep coming would never let a wait for the next one time out.
  if (left <= Duration(0)) m_connection.Expire("the deadline has passed");
  const Duration wait = std::min(left, m_time.m_progress_timeout);
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(wait), std::chrono::milliseconds(1));
}

asio::awaitable<ResponseInfo> ResponseReader::ReadHead(ResponseHead& head) {
  for (int skipped = 0; skipped <= kMaxSkipped; ++skipped) {
    head = co_await m_connection.ReadHead(TimeLeft());
    if (head.m_status < kFirstFinalStatus) continue;
    const ResponseInfo reading = m_dialect.ClassifyResponse(m_terms, head);
    if (reading.m_kind != ResponseKind::kOtherRequest) co_return reading;
    // A late answer to an earlier request on this connection; this one's may follow.
    ++m_foreign;
    co_await SkipBody();
  }
  m_connection.Close();
  throw HttpError("answers of other requests only", true);
}

asio::awaitable<void> ResponseReader::SkipBody() {
  while (true) {
    const std::string part = co_await m_connection.ReadBody(TimeLeft());
    if (part.empty()) co_return;
    m_skipped += part.size();
    if (m_skipped <= kMaxSkippedBytes) continue;
    m_connection.Close();
    throw HttpError("answers of other requests are too long", true);
  }
}

asio::awaitable<std::string> ResponseReader::ReadBody() { return m_connection.ReadBody(TimeLeft()); }

}  // namespace fescueramp
