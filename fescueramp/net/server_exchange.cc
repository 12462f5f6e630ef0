#include "fescueramp/net/server_exchange.h"

#include "fescueramp/net/body_parser.h"
#include "fescueramp/net/response_content.h"

namespace fescueramp {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::size_t kBodyChunkBytes = 32 * 1024;  ///< Size of one part of a body.
constexpr std::size_t kMaxReadBytes = 64 * 1024;    ///< Largest size of one read.

/// Whether a read failed because the client closed its connection or the connection broke.
bool IsClientLeft(const beast::error_code& ec) {
  const bool ended = ec == http::error::partial_message || ec == http::error::end_of_stream;
  return ended || ec == asio::error::eof || ec == asio::error::connection_reset;
}

}  // namespace

ServerExchange::ServerExchange(std::shared_ptr<ServerConnection> connection,
                               std::shared_ptr<ServerConnection::Parser> parser)
    : m_connection(std::move(connection)),
      m_parser(std::move(parser)),
      m_framing(m_connection->m_settings.m_framing) {
  const auto& message = m_parser->get();
  m_head.m_method = std::string(message.method_string());
  m_head.m_target = std::string(message.target());
  for (const auto& field : message) {
    m_head.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  m_head.m_content_length = -1;
  if (const auto length = m_parser->content_length())
    m_head.m_content_length = static_cast<std::int64_t>(*length);
  else if (!m_parser->chunked())
    m_head.m_content_length = 0;
  m_expects_continue = beast::iequals(message[http::field::expect], "100-continue");
  m_keep_alive = message.keep_alive();
  // The head is kept in one copy.
  m_parser->get().clear();
  m_expected_charge = MemoryCharge(m_connection->m_memory, MemoryKind::kExpected, kExpectedResponseBytes);
}

asio::awaitable<std::string> ServerExchange::ReadBody() {
  if (std::exchange(m_expects_continue, false)) co_await SendContinue();
  if (m_framing.Exceeded() != ExceededLimit::kNone) RefuseBody();
  while (!m_parser->is_done()) {
    std::string chunk(kBodyChunkBytes, '\0');
    const MemoryCharge charge(m_connection->m_memory, MemoryKind::kReadBuffer, chunk.size());
    m_parser->get().body().data = chunk.data();
    m_parser->get().body().size = chunk.size();
    if (m_connection->m_body_reads_stopped) throw beast::system_error(asio::error::operation_aborted);
    ++m_connection->m_pending_body_reads;
    const beast::error_code ec = co_await FillBodyBuffer();
    if (--m_connection->m_pending_body_reads == 0) m_connection->m_changed.Notify();
    m_connection->ChargeReadBuffer();
    if (IsClientLeft(ec)) m_connection->NotifyClientLeft();
    if (m_framing.Exceeded() != ExceededLimit::kNone) RefuseBody();
    if (ec) throw beast::system_error(ec);
    chunk.resize(chunk.size() - m_parser->get().body().size);
    if (m_parser->is_done()) m_connection->m_changed.Notify();
    if (!chunk.empty()) co_return chunk;
  }
  co_return std::string();
}

asio::awaitable<beast::error_code> ServerExchange::FillBodyBuffer() {
  m_connection->m_stream.expires_never();
  ReadDeadline deadline(m_connection->m_stream.get_executor(), m_connection->m_settings.m_body_timeout);
  beast::error_code ec = ParseBody(*m_parser, m_connection->m_buffer, m_framing);
  while (ec == http::error::need_more) {
    ec = co_await ReadBodyBytes(deadline);
    if (ec == asio::error::eof)
      m_parser->put_eof(ec);
    else if (!ec)
      ec = ParseBody(*m_parser, m_connection->m_buffer, m_framing);
  }
  if (ec == http::error::need_buffer) ec = {};
  co_return ec;
}

asio::awaitable<beast::error_code> ServerExchange::ReadBodyBytes(ReadDeadline& deadline) {
  beast::flat_buffer& buffer = m_connection->m_buffer;
  beast::error_code ec;
  if (m_connection->m_body_reads_stopped || m_connection->m_closed || deadline.Expired()) {
    ec = asio::error::operation_aborted;
    co_return ec;
  }
  const std::size_t wanted = beast::read_size(buffer, kMaxReadBytes);
  if (wanted == 0) {
    ec = http::error::buffer_overflow;
    co_return ec;
  }
  const std::size_t size =
      co_await m_connection->m_stream.async_read_some(buffer.prepare(wanted), deadline.Token(ec));
  buffer.commit(size);
  co_return ec;
}

void ServerExchange::RefuseBody() {
  m_connection->m_summary.m_exceeded_limit = m_framing.Exceeded();
  m_connection->m_accepting_stopped = true;
  throw RequestRefused("the " + std::string(EnumName(m_framing.Exceeded())) + " of the body is too long");
}

asio::awaitable<void> ServerExchange::WaitForTurn() {
  const auto ended = [this] { return m_connection->m_closed || m_connection->m_response_missing; };
  while (!ended() && m_connection->m_open_exchanges.front().get() != this) {
    co_await m_connection->m_changed.Wait();
  }
  if (ended()) throw beast::system_error(asio::error::connection_reset);
  m_expected_charge.Resize(0);
}

asio::awaitable<void> ServerExchange::Send(std::int64_t status, std::vector<HeaderField> headers,
                                           std::string body) {
  co_await WaitForTurn();
  http::response<http::string_body> response;
  SetHead(response, status, headers);
  const ResponseContent content = ContentOfResponse(m_head.m_method, status);
  if (content != ResponseContent::kNothing) response.content_length(body.size());
  if (content == ResponseContent::kBody) response.body() = std::move(body);
  m_connection->m_stream.expires_after(m_connection->m_settings.m_body_timeout);
  beast::error_code ec;
  ++m_connection->m_pending_writes;
  co_await http::async_write(m_connection->m_stream, response, asio::redirect_error(asio::use_awaitable, ec));
  --m_connection->m_pending_writes;
  if (ec) throw beast::system_error(ec);
  FinishResponse();
}

asio::awaitable<void> ServerExchange::Begin(std::int64_t status, std::vector<HeaderField> headers,
                                            std::int64_t content_length) {
  co_await WaitForTurn();
  SetHead(m_response, status, headers);
  const ResponseContent content = ContentOfResponse(m_head.m_method, status);
  m_omits_body = content != ResponseContent::kBody;
  if (content_length >= 0 && content != ResponseContent::kNothing)
    m_response.content_length(static_cast<std::uint64_t>(content_length));
  else if (!m_omits_body)
    m_response.chunked(true);
  m_response.body().data = nullptr;
  m_response.body().more = true;
  m_serializer.emplace(m_response);
  m_connection->m_stream.expires_after(m_connection->m_settings.m_body_timeout);
  co_await http::async_write_header(m_connection->m_stream, *m_serializer, asio::use_awaitable);
}

asio::awaitable<void> ServerExchange::Write(std::string data) {
  if (m_omits_body) co_return;
  m_response.body().data = data.data();
  m_response.body().size = data.size();
  m_response.body().more = true;
  co_await WriteSome();
}

asio::awaitable<void> ServerExchange::End() {
  m_response.body().data = nullptr;
  m_response.body().size = 0;
  m_response.body().more = false;
  if (!m_omits_body) co_await WriteSome();
  FinishResponse();
}

void ServerExchange::Abort() {
  // If the response has not begun, responses to earlier requests may be due.
  if (m_response_begun) m_connection->Close(ConnectionEnd::kResponseMissing);
}

void ServerExchange::WatchForClose(std::function<void()> handler) {
  if (m_client_closed) return handler();
  m_closed_handler = std::move(handler);
}

void ServerExchange::NotifyClosed() {
  m_client_closed = true;
  if (auto handler = std::exchange(m_closed_handler, nullptr)) handler();
}

asio::awaitable<void> ServerExchange::SendContinue() {
  co_await WaitForTurn();
  http::response<http::empty_body> response{http::status::continue_, 11};
  co_await http::async_write(m_connection->m_stream, response, asio::use_awaitable);
}

asio::awaitable<void> ServerExchange::WriteSome() {
  m_connection->m_stream.expires_after(m_connection->m_settings.m_body_timeout);
  beast::error_code ec;
  ++m_connection->m_pending_writes;
  co_await http::async_write(m_connection->m_stream, *m_serializer,
                             asio::redirect_error(asio::use_awaitable, ec));
  --m_connection->m_pending_writes;
  if (ec && ec != http::error::need_buffer) throw beast::system_error(ec);
}

void ServerExchange::FinishResponse() {
  m_response_sent = true;
  ++m_connection->m_summary.m_responses;
  m_closed_handler = nullptr;
  m_connection->m_changed.Notify();
}

template <typename Response>
void ServerExchange::SetHead(Response& response, std::int64_t status,
                             const std::vector<HeaderField>& headers) {
  m_response_begun = true;
  response.version(11);
  response.result(static_cast<unsigned>(status));
  for (const auto& header : headers) response.insert(header.m_name, header.m_value);
  // Unread body data would be parsed as the next request.
  m_keep_alive = m_connection->DecideKeepAlive(m_keep_alive && m_parser->is_done() &&
                                               m_framing.Exceeded() == ExceededLimit::kNone);
  response.keep_alive(m_keep_alive);
  m_close_announced = !m_keep_alive;
}

}  // namespace fescueramp
