#pragma once

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/http_types.h"

namespace fescueramp {

/// A whole answer.
struct HttpResponse {
  std::int64_t m_status = 0;
  std::vector<HeaderField> m_headers;
  std::string m_body;
};

/// The request could not be sent, or its answer did not come whole.
class HttpError : public std::runtime_error {
 public:
  /// @param sent Whether part of the request may have reached the server.
  HttpError(const std::string& text, bool sent) : std::runtime_error(text), m_sent(sent) {}

  bool MaybeSent() const { return m_sent; }

 private:
  bool m_sent;
};

/// One HTTP/1.1 connection, kept open between requests. One request at a time.
class HttpConnection {
 public:
  HttpConnection(const asio::any_io_executor& executor, std::string address, std::uint16_t port);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;
  HttpConnection& operator=(HttpConnection&&) noexcept;

  /// Connects unless connected. @throws HttpError.
  asio::awaitable<void> Connect(std::chrono::milliseconds timeout);

  /// Sends a request and reads the whole answer, connecting first if need be. @throws HttpError.
  asio::awaitable<HttpResponse> Request(RequestHead head, std::string body,
                                        std::chrono::milliseconds timeout);

  /// Sends the header of a request whose body follows; a length of -1 sends it chunked. @throws HttpError.
  asio::awaitable<void> SendHead(RequestHead head, std::chrono::milliseconds timeout);
  asio::awaitable<void> SendBody(std::string data, std::chrono::milliseconds timeout);
  asio::awaitable<void> FinishBody(std::chrono::milliseconds timeout);

  /// Reads the header of the answer; the length is -1 when it is not known. @throws HttpError.
  asio::awaitable<ResponseHead> ReadHead(std::chrono::milliseconds timeout);

  /// Next part of the answer's body; empty at its end. @throws HttpError when it breaks off or is silent too
  /// long.
  asio::awaitable<std::string> ReadBody(std::chrono::milliseconds timeout);

  /// Whether the connection can carry another request.
  bool Reusable() const;

  /// Whether the server has not closed the connection while it was idle.
  bool StillOpen() const;
  bool Connected() const;

  /// Whether the last error was a timeout.
  bool TimedOut() const;

  /// Whether the last error was that the server's host did not acknowledge what was sent.
  bool Unacknowledged() const;

  /// Closes the connection as after a timeout. @throws HttpError always.
  [[noreturn]] void Expire(const std::string& problem);

  /// Closes the connection; operations that wait end with an error.
  void Close();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace fescueramp
