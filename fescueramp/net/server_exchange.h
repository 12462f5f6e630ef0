#pragma once

#include "fescueramp/net/read_deadline.h"
#include "fescueramp/net/server_connection.h"

namespace fescueramp {

/// One request on a server connection.
class ServerExchange final : public HttpExchange, public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(std::shared_ptr<ServerConnection> connection,
                 std::shared_ptr<ServerConnection::Parser> parser);

  const RequestHead& Head() const override { return m_head; }
  asio::awaitable<std::string> ReadBody() override;
  asio::awaitable<void> Send(std::int64_t status, std::vector<HeaderField> headers,
                             std::string body) override;
  asio::awaitable<void> Begin(std::int64_t status, std::vector<HeaderField> headers,
                              std::int64_t content_length) override;
  asio::awaitable<void> Write(std::string data) override;
  asio::awaitable<void> End() override;
  void Abort() override;
  void WatchForClose(std::function<void()> handler) override;
  std::uint64_t Connection() const override { return m_connection->Summary().m_connection; }
  bool AnnouncedClose() const override { return m_close_announced; }
  std::shared_ptr<MemoryAccount> Memory() const override { return m_connection->m_memory; }

  /// Notifies the request's handler that the client has closed its connection.
  void NotifyClosed();

  /// Whether the request body has been read completely.
  bool BodyRead() const { return m_parser->is_done(); }

  /// Whether the request, and the response once it has begun, let the connection stay open.
  bool KeepAlive() const { return m_keep_alive; }

  /// Whether the handler has returned.
  bool HandlerFinished() const { return m_handler_finished; }

  /// Whether the complete response has been sent.
  bool ResponseSent() const { return m_response_sent; }

  /// Marks the handler as finished.
  void SetHandlerFinished() { m_handler_finished = true; }

 private:
  /// Reads until the space for data of the body is full or the body ends.
  asio::awaitable<boost::beast::error_code> FillBodyBuffer();

  /// Reads more bytes of the body into the connection's buffer.
  asio::awaitable<boost::beast::error_code> ReadBodyBytes(ReadDeadline& deadline);

  /// Ends the reading of requests at one that exceeds a limit. @throws RequestRefused always.
  [[noreturn]] void RefuseBody();

  /// Waits until the responses to all earlier requests are sent. @throws std::exception when the connection
  /// is closed.
  asio::awaitable<void> WaitForTurn();
  asio::awaitable<void> SendContinue();
  asio::awaitable<void> WriteSome();
  void FinishResponse();

  template <typename Response>
  void SetHead(Response& response, std::int64_t status, const std::vector<HeaderField>& headers);

  std::shared_ptr<ServerConnection> m_connection;
  std::shared_ptr<ServerConnection::Parser> m_parser;
  RequestHead m_head;
  FramingCounter m_framing;
  bool m_expects_continue = false;
  bool m_keep_alive = true;
  bool m_close_announced = false;
  bool m_response_begun = false;
  bool m_omits_body = false;  ///< Whether the response that has begun has no body.
  bool m_response_sent = false;
  bool m_handler_finished = false;
  bool m_client_closed = false;
  std::function<void()> m_closed_handler;
  MemoryCharge m_expected_charge;  ///< Reserve for the response, until it begins.
  boost::beast::http::response<boost::beast::http::buffer_body> m_response;
  std::optional<boost::beast::http::response_serializer<boost::beast::http::buffer_body>> m_serializer;
};

}  // namespace fescueramp
