#pragma once

#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/net/dialect.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// Reads the answer to one request from a connection on which an endpoint may send anything: answers to
/// earlier requests, interim answers, or bytes without end. Time and memory stay bounded whatever comes.
class ResponseReader {
 public:
  /// Time in which an answer is of use.
  struct Time {
    Instant m_deadline{};           ///< No byte is waited for or read later.
    Duration m_progress_timeout{};  ///< Longest wait for the next byte.
  };

  ResponseReader(HttpConnection& connection, const Dialect& dialect, const Clock& clock,
                 AttemptMetadata terms, Time time)
      : m_connection(connection),
        m_dialect(dialect),
        m_clock(clock),
        m_terms(std::move(terms)),
        m_time(time) {}

  /// Reads the header of the answer, past interim ones and those of other requests.
  /// @throws HttpError when it does not come, or too much else does.
  asio::awaitable<ResponseInfo> ReadHead(ResponseHead& head);

  /// Next part of the answer's body; empty at its end.
  /// @throws HttpError when it breaks off, is silent too long or goes on beyond the deadline.
  asio::awaitable<std::string> ReadBody();

  /// Answers of other requests that came before this one's.
  int SkippedResponses() const { return m_foreign; }

 private:
  std::chrono::milliseconds TimeLeft();
  asio::awaitable<void> SkipBody();

  HttpConnection& m_connection;
  const Dialect& m_dialect;
  const Clock& m_clock;
  AttemptMetadata m_terms;
  Time m_time;
  int m_foreign = 0;
  std::size_t m_skipped = 0;  ///< Bytes of bodies that belong to other requests.
};

}  // namespace fescueramp
