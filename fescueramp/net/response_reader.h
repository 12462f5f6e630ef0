#pragma once

#include <string>

#include "fescueramp/core/clock.h"
#include "fescueramp/net/dialect.h"
#include "fescueramp/net/http_client.h"

namespace fescueramp {

/// Reads the response to one request from an untrusted endpoint. Skips interim responses and responses to
/// earlier requests on the connection, and bounds time and memory whatever the endpoint sends.
class ResponseReader {
 public:
  /// Time limits of one response.
  struct Time {
    Instant m_deadline{};           ///< No byte is awaited or read after this time.
    Duration m_progress_timeout{};  ///< Longest wait for the next byte.
  };

  ResponseReader(HttpConnection& connection, const Dialect& dialect, const Clock& clock,
                 AttemptMetadata metadata, Time time)
      : m_connection(connection),
        m_dialect(dialect),
        m_clock(clock),
        m_metadata(std::move(metadata)),
        m_time(time) {}

  /// Reads the response head, skipping interim responses and responses to other requests.
  /// @throws HttpError when a timeout passes, the connection fails or too much had to be skipped.
  asio::awaitable<ResponseInfo> ReadHead(ResponseHead& head);

  /// Reads the next part of the response body; empty at the end of the body.
  /// @throws HttpError when the connection fails, no byte arrives in time or the deadline passes.
  asio::awaitable<std::string> ReadBody();

  /// Number of responses to other requests that were skipped.
  int SkippedResponses() const { return m_skipped_responses; }

 private:
  std::chrono::milliseconds NextReadTimeout();
  asio::awaitable<void> SkipBody();

  HttpConnection& m_connection;
  const Dialect& m_dialect;
  const Clock& m_clock;
  AttemptMetadata m_metadata;
  Time m_time;
  int m_skipped_responses = 0;
  std::size_t m_skipped_body_bytes = 0;  ///< Bytes of skipped bodies.
};

}  // namespace fescueramp
