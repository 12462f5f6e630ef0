#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/net/async_condition.h"
#include "fescueramp/net/connection_summary.h"
#include "fescueramp/net/framing_limits.h"
#include "fescueramp/net/http_types.h"
#include "fescueramp/net/memory_budget.h"

namespace fescueramp {

class ServerConnection;

/// One HTTP request of a client and its response.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  /// Head of the request.
  virtual const RequestHead& Head() const = 0;

  /// Reads the next part of the request body; empty at the end of the body.
  /// @throws RequestRefused when the body exceeds a limit, std::exception when the connection fails.
  virtual asio::awaitable<std::string> ReadBody() = 0;

  /// Sends a complete response, without its body where the method or the status allows none. When the request
  /// body has not been read, the connection closes afterwards.
  virtual asio::awaitable<void> Send(std::int64_t status, std::vector<HeaderField> headers,
                                     std::string body) = 0;

  /// Sends a response head; the body follows. `content_length` is -1 when unknown. Where the method or the
  /// status allows no body, none is sent.
  virtual asio::awaitable<void> Begin(std::int64_t status, std::vector<HeaderField> headers,
                                      std::int64_t content_length) = 0;

  /// Sends the next part of the response body.
  virtual asio::awaitable<void> Write(std::string data) = 0;

  /// Ends the response body.
  virtual asio::awaitable<void> End() = 0;

  /// Closes the connection, so that the client can tell a truncated response from a complete one: at once if
  /// the response has begun, else when the handler has ended and the responses to earlier requests are sent.
  virtual void Abort() = 0;

  /// Sets a handler that is called once when the client closes its connection before the response has ended.
  /// Call this only after the request body has been read.
  virtual void WatchForClose(std::function<void()> handler) = 0;

  /// Number of the request's connection at its server.
  virtual std::uint64_t Connection() const = 0;

  /// Account of the bytes held for the request's connection; null without a budget.
  virtual std::shared_ptr<MemoryAccount> Memory() const { return nullptr; }

  /// Whether the response announced that the connection closes after it.
  virtual bool AnnouncedClose() const = 0;
};

/// Reads the complete request body into memory without a limit; only for trusted clients.
asio::awaitable<std::string> ReadWholeBody(HttpExchange& exchange);

/// Limits of a server that may change while it runs.
struct HttpServerLimits {
  std::uint32_t m_max_header_bytes = 16 * 1024;        ///< Largest header, bytes.
  std::chrono::milliseconds m_header_timeout{20'000};  ///< Longest wait for a whole header.
  std::chrono::milliseconds m_idle_timeout{20'000};    ///< Longest time that a connection stays idle.
  FramingLimits m_framing;                             ///< Limits of chunked bodies.
};

/// Settings of a server.
struct HttpServerSettings : HttpServerLimits {
  std::string m_address = "127.0.0.1";
  std::uint16_t m_port = 0;  ///< 0 for any free port.
  std::size_t m_max_connections = 20000;
  std::chrono::seconds m_body_timeout{20};  ///< Longest wait for one read or write of a body.
  MemoryBudget* m_memory = nullptr;         ///< Counts what is held for clients; null for no budget.
  std::function<std::string(const std::string& problem)>
      m_malformed_request_body;  ///< Makes the body of the response to a malformed request.
  std::function<void(const ConnectionSummary& summary)>
      m_connection_ended;  ///< Called when a connection has ended.
};

/// HTTP/1.1 server that runs the handler in one coroutine per request.
class HttpServer {
 public:
  using Handler = std::function<asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;

  /// Starts listening. @throws boost::system::system_error when the address can't be bound.
  HttpServer(const asio::any_io_executor& executor, HttpServerSettings settings, Handler handler);
  ~HttpServer();

  /// Drains all connections: each takes at most one more request and closes after its last response.
  void Drain();

  /// Accepts no further request on the open connections, unless part of it has arrived; they close after
  /// their last response. Idle ones close now.
  void StopAccepting();

  /// Changes the limits; open connections use the new ones too.
  void SetLimits(const HttpServerLimits& limits);

  /// Accepts the connections that clients have established so far, then closes the port; open connections
  /// continue.
  void Stop();

  /// TCP port that the server listens on.
  std::uint16_t Port() const;

  /// Number of open connections.
  std::size_t Connections() const;

  /// Whether a connection has a pending request or a response that its client may not have got yet.
  bool Unfinished() const;

 private:
  struct State;
  static asio::awaitable<void> AcceptLoop(std::shared_ptr<State> state);

  /// Accepts all connections that wait at the port, since closing it would reset them.
  static void AcceptWaiting(const std::shared_ptr<State>& state);
  static void Open(const std::shared_ptr<State>& state, asio::ip::tcp::socket socket);
  static asio::awaitable<void> Serve(std::shared_ptr<State> state,
                                     std::shared_ptr<ServerConnection> connection);

  std::shared_ptr<State> m_state;
};

}  // namespace fescueramp
