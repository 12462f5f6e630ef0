#include "fescueramp/net/response_reader.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr int kMaxSkippedResponses = 3;                ///< Per request, before the connection is closed.
constexpr std::size_t kMaxSkippedBodyBytes = 1 << 20;  ///< Per request, before the connection is closed.
constexpr std::int64_t kFirstFinalStatus = 200;        ///< Lower statuses are interim responses (1xx).

}  // namespace

std::chrono::milliseconds ResponseReader::NextReadTimeout() {
  const Duration left = m_time.m_deadline - m_clock.Now();
  // A steady trickle of bytes never triggers the progress timeout, so the deadline is checked as well.
  if (left <= Duration(0)) m_connection.Expire("deadline exceeded while reading from");
  const Duration wait = std::min(left, m_time.m_progress_timeout);
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(wait), std::chrono::milliseconds(1));
}

asio::awaitable<ResponseInfo> ResponseReader::ReadHead(ResponseHead& head) {
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    head = co_await m_connection.ReadHead(NextReadTimeout());
    if (head.m_status < kFirstFinalStatus) continue;
    const ResponseInfo info = m_dialect.ClassifyResponse(m_metadata, head);
    if (info.m_kind != ResponseKind::kOtherRequest) co_return info;
    // This is a late response to an earlier request on the connection; the expected one may follow.
    ++m_skipped_responses;
    co_await SkipBody();
  }
  m_connection.Close();
  throw HttpError("received only responses to other requests", true);
}

asio::awaitable<void> ResponseReader::SkipBody() {
  while (true) {
    const std::string part = co_await m_connection.ReadBody(NextReadTimeout());
    if (part.empty()) co_return;
    m_skipped_body_bytes += part.size();
    if (m_skipped_body_bytes <= kMaxSkippedBodyBytes) continue;
    m_connection.Close();
    throw HttpError("bodies of responses to other requests are too large", true);
  }
}

asio::awaitable<std::string> ResponseReader::ReadBody() { return m_connection.ReadBody(NextReadTimeout()); }

}  // namespace fescueramp
