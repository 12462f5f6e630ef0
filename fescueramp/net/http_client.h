#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/http_types.h"

namespace fescueramp {

/// A complete HTTP response.
struct HttpResponse {
  std::int64_t m_status = 0;
  std::vector<HeaderField> m_headers;
  std::string m_body;
};

/// Limits of a response that is read as a whole.
struct ResponseLimits {
  std::size_t m_max_body_bytes = 64 * 1024 * 1024;  ///< Longest body, bytes.
  std::chrono::milliseconds m_max_body_time{
      60'000};  ///< Longest time from the head to the end of the body, ms.
};

/// The request could not be sent, or its response did not arrive completely.
class HttpError : public std::runtime_error {
 public:
  /// @param sent Whether part of the request may have reached the server.
  HttpError(const std::string& text, bool sent) : std::runtime_error(text), m_sent(sent) {}

  /// Whether part of the request may have reached the server.
  bool MaybeSent() const { return m_sent; }

 private:
  bool m_sent;
};

/// Persistent HTTP/1.1 client connection; carries one request at a time.
class HttpConnection {
 public:
  HttpConnection(const asio::any_io_executor& executor, std::string address, std::uint16_t port);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;

  /// Connects unless already connected. @throws HttpError.
  asio::awaitable<void> Connect(std::chrono::milliseconds timeout);

  /// Sends a request and reads the complete response, connecting first if needed. `timeout` bounds each step.
  /// @throws HttpError, also when the response exceeds the limits.
  asio::awaitable<HttpResponse> Request(RequestHead head, std::string body, std::chrono::milliseconds timeout,
                                        ResponseLimits limits = {});

  /// Sends a request head; the body follows unless its length is 0. A length of -1 selects chunked encoding.
  /// @throws HttpError.
  asio::awaitable<void> SendHead(RequestHead head, std::chrono::milliseconds timeout);

  /// Sends the next part of the body. @throws HttpError.
  asio::awaitable<void> SendBody(std::string data, std::chrono::milliseconds timeout);

  /// Ends the request body. @throws HttpError.
  asio::awaitable<void> FinishBody(std::chrono::milliseconds timeout);

  /// Reads a response head; its length is -1 when unknown. @throws HttpError.
  asio::awaitable<ResponseHead> ReadHead(std::chrono::milliseconds timeout);

  /// Reads the next part of the response body; empty at the end of the body.
  /// @throws HttpError when the connection fails or the timeout passes.
  asio::awaitable<std::string> ReadBody(std::chrono::milliseconds timeout);

  /// Whether the connection can carry another request.
  bool Reusable() const;

  /// Whether the idle connection is still usable: the server has neither closed it nor sent unrequested data.
  bool StillOpen() const;

  bool Connected() const;

  /// Whether the last error was a timeout.
  bool TimedOut() const;

  /// Whether the last error was that the server's host did not acknowledge sent data in time.
  bool Unacknowledged() const;

  /// Closes the connection and reports a timeout. @throws HttpError always.
  [[noreturn]] void Expire(const std::string& problem);

  /// Closes the connection; pending operations fail.
  void Close();

 private:
  /// Reads the head of the final response, skipping a few interim responses. @throws HttpError.
  asio::awaitable<ResponseHead> ReadFinalHead(std::chrono::milliseconds timeout);

  /// Reads the rest of a body. @throws HttpError, also when it exceeds the limits.
  asio::awaitable<std::string> ReadWholeBody(std::chrono::milliseconds timeout, ResponseLimits limits);

  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fescueramp
