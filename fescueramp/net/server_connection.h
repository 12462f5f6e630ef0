#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueramp/net/http_server.h"

namespace fescueramp {

class ServerExchange;

/// One connection of a client. Requests that come before earlier ones are answered are handled at once;
/// their answers go out in the order of the requests.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler = std::function<asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;

  /// @param settings Bounds; they may change while the connection is open.
  ServerConnection(asio::ip::tcp::socket socket, const HttpServerSettings& settings, const Handler& handler);

  /// Serves the connection to its end.
  asio::awaitable<void> Run();

  /// Takes no further requests: the last answer says that the connection closes.
  void Drain();

  /// Closes the connection if no request is open on it.
  void CloseIdle();

  bool Draining() const { return m_draining; }

 private:
  friend class ServerExchange;

  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  /// What reading a header led to.
  struct HeaderResult {
    boost::beast::error_code m_error;
    std::string m_problem;      ///< Why the request is refused; empty when it is not.
    std::int64_t m_status = 0;  ///< HTTP status of the refusal.
  };

  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<HeaderResult> ReadHeader(std::shared_ptr<Parser> parser);
  asio::awaitable<bool> TakeRequest();
  asio::awaitable<void> Serve(std::shared_ptr<ServerExchange> exchange);

  /// Gives up reading a body whose request has been answered; a stream bears one read at a time.
  asio::awaitable<void> StopBodyReads();

  /// Ends sending and waits a moment for the client to close, so that it gets the last answer whole.
  asio::awaitable<void> Linger();
  asio::awaitable<void> Refuse(HeaderResult result);
  void NotifyClosed();
  void ArmIdleTimer();
  void Close();

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  const HttpServerSettings& m_settings;
  const Handler& m_handler;
  std::deque<std::shared_ptr<ServerExchange>> m_open;  ///< Requests without a whole answer, in order.
  AsyncCondition m_changed;
  asio::steady_timer m_idle_timer;
  bool m_draining = false;
  bool m_last_request_read = false;  ///< Whether no further request will be read.
  bool m_reading = false;            ///< Whether a request's header is being read.
  bool m_dead = false;               ///< Whether nothing can be sent any more.
  bool m_bodies_over = false;        ///< Whether no body is read any more.
  int m_body_reads = 0;              ///< Reads of bodies that have not ended.
};

}  // namespace fescueramp
