#include "fescueramp/net/answer_reader.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr int kMaxSkippedResponses = 3;                ///< Other answers before a connection is given up.
constexpr std::size_t kMaxSkippedBodyBytes = 1 << 20;  ///< Bytes of their bodies, the same.
constexpr std::int64_t kFirstFinalStatus = 200;        ///< Lower ones announce an answer.

}  // namespace

std::chrono::milliseconds AnswerReader::NextReadTimeout() {
  const Duration left = m_time.m_deadline - m_clock.Now();
  // Bytes that keep coming would never let a wait for the next one time out.
  if (left <= Duration(0)) m_connection.Expire("the deadline has passed");
  const Duration wait = std::min(left, m_time.m_progress_timeout);
  return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(wait), std::chrono::milliseconds(1));
}

asio::awaitable<AnswerReading> AnswerReader::ReadHead(AnswerHead& head) {
  for (int skipped = 0; skipped <= kMaxSkippedResponses; ++skipped) {
    head = co_await m_connection.ReadHead(NextReadTimeout());
    if (head.m_status < kFirstFinalStatus) continue;
    const AnswerReading reading = m_dialect.ReadAnswer(m_terms, head);
    if (reading.m_kind != AnswerKind::kForeign) co_return reading;
    // A late answer to an earlier request on this connection; this one's may follow.
    ++m_skipped_responses;
    co_await SkipBody();
  }
  m_connection.Close();
  throw HttpError("answers of other requests only", true);
}

asio::awaitable<void> AnswerReader::SkipBody() {
  while (true) {
    const std::string part = co_await m_connection.ReadBody(NextReadTimeout());
    if (part.empty()) co_return;
    m_skipped_body_bytes += part.size();
    if (m_skipped_body_bytes <= kMaxSkippedBodyBytes) continue;
    m_connection.Close();
    throw HttpError("answers of other requests are too long", true);
  }
}

asio::awaitable<std::string> AnswerReader::ReadBody() { return m_connection.ReadBody(NextReadTimeout()); }

}  // namespace fescueramp
