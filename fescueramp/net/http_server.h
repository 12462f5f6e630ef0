#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/http_types.h"

namespace fescueramp {

/// One HTTP request of a client and its answer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual const RequestHead& Head() const = 0;

  /// Next part of the request body; empty at its end. @throws std::exception when the client breaks off.
  virtual asio::awaitable<std::string> ReadBody() = 0;

  /// Sends a whole answer. Allowed before the body has been read; the connection then ends after it.
  virtual asio::awaitable<void> Send(std::int64_t status, std::vector<HeaderField> headers,
                                     std::string body) = 0;

  /// Starts an answer whose body follows; `content_length` is -1 when it is not known.
  virtual asio::awaitable<void> Begin(std::int64_t status, std::vector<HeaderField> headers,
                                      std::int64_t content_length) = 0;
  virtual asio::awaitable<void> Write(std::string data) = 0;
  virtual asio::awaitable<void> End() = 0;

  /// Closes the connection at once, so that the client sees a broken answer rather than a short one.
  virtual void Abort() = 0;

  /// Calls `handler` once when the client closes its connection before the answer has ended.
  /// Call it only after the request body has been read.
  virtual void WatchForClose(std::function<void()> handler) = 0;
};

/// Whole request body, for servers whose clients are trusted to send short ones.
asio::awaitable<std::string> ReadWholeBody(HttpExchange& exchange);

/// Bounds of a server that may change while it runs.
struct HttpServerLimits {
  std::uint32_t m_max_header_bytes = 16 * 1024;        ///< Largest header, bytes.
  std::chrono::milliseconds m_header_timeout{20'000};  ///< Longest wait for a whole header.
  std::chrono::milliseconds m_idle_timeout{20'000};    ///< Longest time that a connection stays unused.
};

/// Bounds of a server.
struct HttpServerSettings : HttpServerLimits {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;  ///< 0 for any free port.
  std::size_t m_max_connections = 20000;
  std::chrono::seconds m_body_timeout{20};  ///< Longest silence within a body or an answer.
  std::function<std::string(const std::string& problem)>
      m_malformed_request_body;  ///< Body of the answer to a malformed request.
};

/// HTTP/1.1 server; every request runs `handler` in a coroutine of its own connection.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;

  /// Listens at once. @throws boost::system::system_error when the address can't be used.
  HttpServer(const asio::any_io_executor& executor, HttpServerSettings settings, Handler handler);
  ~HttpServer();

  /// Asks clients to close their connections after the current answer.
  void Drain();

  /// Closes the connections that have no request open.
  void CloseIdle();

  /// Changes the bounds, also of connections that are open.
  void SetLimits(const HttpServerLimits& limits);

  /// Takes no further connections. Those that are open end after their current request.
  void Stop();

  std::uint16_t Port() const;

  /// Connections open now.
  std::size_t Connections() const;

 private:
  struct State;
  static asio::awaitable<void> AcceptLoop(std::shared_ptr<State> state);
  static asio::awaitable<void> Serve(std::shared_ptr<State> state, asio::ip::tcp::socket socket);

  std::shared_ptr<State> m_state;
};

}  // namespace fescueramp
