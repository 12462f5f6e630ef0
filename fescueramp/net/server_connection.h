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

/// Server side of one HTTP/1.1 connection. Pipelined requests are handled concurrently; their responses are
/// sent in the order of the requests.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler = std::function<asio::awaitable<void>(std::shared_ptr<HttpExchange>)>;

  /// @param settings Must outlive the connection; its limits may change meanwhile.
  /// @param number Number of the connection at its server.
  ServerConnection(asio::ip::tcp::socket socket, const HttpServerSettings& settings, const Handler& handler,
                   std::uint64_t number);

  /// Serves requests until the connection closes.
  asio::awaitable<void> Run();

  /// Reads at most one more request, then closes the connection after its last response, which carries
  /// "Connection: close".
  void Drain();

  /// Closes the connection if it has no pending request. Responses that the client is still reading arrive.
  void CloseIdle();

  /// Accepts no further request, unless part of it has arrived, and closes the connection after its last
  /// response, or now if it is idle.
  void StopAccepting();

  /// Whether a request is pending, or the client may not have got a response yet. A head that has been read
  /// in part only doesn't count.
  bool Unfinished();

  /// Whether Drain was called.
  bool Draining() const { return m_draining; }

  /// What the connection has carried so far and, once it is closed, why.
  const ConnectionSummary& Summary() const { return m_summary; }

 private:
  friend class ServerExchange;

  using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

  /// Outcome of reading a request head.
  struct HeaderResult {
    boost::beast::error_code m_error;
    std::string m_method;
    std::string m_problem;      ///< Why the request is refused; empty if accepted.
    std::int64_t m_status = 0;  ///< HTTP status of the refusal.
  };

  asio::awaitable<bool> WaitForRequest();
  asio::awaitable<HeaderResult> ReadHeader(std::shared_ptr<Parser> parser);
  asio::awaitable<bool> AcceptRequest();
  asio::awaitable<void> Serve(std::shared_ptr<ServerExchange> exchange);

  /// Decides whether the connection stays open after the response that is about to be sent, and stops
  /// accepting requests if not: clients read nothing behind a response that announces the close.
  /// @param keep_alive Whether the exchange allows the connection to stay open.
  bool DecideKeepAlive(bool keep_alive);

  /// Whether part of a request has arrived that is not accepted yet.
  bool BytesPending();

  /// Waits for the open responses after the last request was read. Discards what the client sends, and
  /// notifies the handlers when it closes the connection.
  asio::awaitable<void> DiscardUntilResponded();

  /// Ends the connection after the responses to the requests before one that gets none: the client would
  /// match the following responses to wrong requests.
  asio::awaitable<void> EndAtMissingResponse(std::shared_ptr<ServerExchange> exchange);

  /// Cancels reads of bodies whose responses are sent, since the stream allows one read at a time.
  asio::awaitable<void> StopBodyReads();

  /// Shuts down sending and discards what arrives until the client closes: closing with unread data, or
  /// before more data arrives, resets the connection, which drops what the client hasn't got yet.
  asio::awaitable<void> Linger();

  /// Ends Linger when the client stops reading the response, or has it and doesn't close.
  asio::awaitable<void> LimitLinger();

  /// Number of bytes sent that the client's system hasn't acknowledged.
  std::size_t UndeliveredBytes();

  /// Sends the refusal of a malformed request after the responses to the requests before it.
  asio::awaitable<void> RejectRequest(HeaderResult result);

  /// Notifies the handlers that no response can be sent any more.
  void NotifyClosed();

  /// Notifies the handlers that the client has closed the connection, or that it broke.
  void NotifyClientLeft();

  /// Largest number of received bytes that are not parsed yet.
  std::size_t MaxUnparsedBytes() const;

  /// Why the connection ends after its last response.
  ConnectionEnd End() const;
  void ArmIdleTimer();
  void Close(ConnectionEnd end);

  /// Counts what is held for the client, if there is a budget.
  void OpenMemoryAccount();

  /// Whether a further request may be in progress.
  bool MayAcceptMore() const;

  /// Counts the read buffer.
  void ChargeReadBuffer() { m_read_charge.Resize(m_buffer.capacity()); }

  /// Progress of the client, for the choice of connections to close.
  ClientProgress Progress();

  boost::beast::tcp_stream m_stream;
  boost::beast::flat_buffer m_buffer;
  const HttpServerSettings& m_settings;
  const Handler& m_handler;
  std::deque<std::shared_ptr<ServerExchange>> m_open_exchanges;  ///< In order of arrival.
  AsyncCondition m_changed;
  asio::steady_timer m_idle_timer;
  bool m_draining = false;
  bool m_accepting_stopped = false;   ///< Whether no further request will be accepted.
  bool m_reading_header = false;      ///< Whether a request head is being read.
  bool m_closing_idle = false;        ///< Whether the connection closes because it was idle.
  bool m_client_left = false;         ///< Whether the client closed the connection, or it broke.
  bool m_refusal_pending = false;     ///< Whether a malformed request is refused after the open responses.
  bool m_linger_ended = false;        ///< Whether waiting for the client to close has ended.
  bool m_lingering = false;           ///< Whether all responses are written and the client is to close.
  bool m_response_missing = false;    ///< Whether it is the turn of a response that isn't sent.
  bool m_closed = false;              ///< Whether the connection is closed.
  bool m_body_reads_stopped = false;  ///< Whether new reads of bodies fail.
  int m_pending_body_reads = 0;       ///< Number of reads of bodies in progress.
  int m_pending_writes = 0;           ///< Number of writes of responses in progress; at most 1.
  std::shared_ptr<MemoryAccount> m_memory;  ///< Null without a budget.
  MemoryCharge m_read_charge;               ///< Of the read buffer.
  ConnectionSummary m_summary;
};

}  // namespace fescueramp
