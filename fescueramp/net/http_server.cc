#include "fescueramp/net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace fescueramp {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxHeaderBytes = 16 * 1024;
constexpr std::size_t kBodyChunk = 32 * 1024;

using Parser = http::request_parser<http::buffer_body>;

/// Why a header must not be acted on, or an empty text. Stricter than the parser: whatever two readers could
/// take differently is refused.
std::string FindAmbiguity(const Parser& parser) {
  const auto& message = parser.get();
  const auto digits = [](beast::string_view text) {
    return !text.empty() && text.find_first_not_of("0123456789") == beast::string_view::npos;
  };
  if (message.version() != 11 && message.version() != 10) return "unknown HTTP version";
  if (message.count(http::field::content_length) > 1) return "more than one Content-Length";
  const bool has_length = message.count(http::field::content_length) == 1;
  if (has_length && !digits(message[http::field::content_length])) return "Content-Length is not a number";
  const std::size_t codings = message.count(http::field::transfer_encoding);
  if (codings > 1 || (codings == 1 && !beast::iequals(message[http::field::transfer_encoding], "chunked"))) {
    return "Transfer-Encoding is not chunked";
  }
  if (codings == 1 && has_length) return "both Content-Length and Transfer-Encoding";
  if (codings == 1 && message.version() == 10) return "Transfer-Encoding in HTTP/1.0";
  const std::size_t hosts = message.count(http::field::host);
  if (hosts > 1 || (hosts == 0 && message.version() == 11)) return "not one Host";
  if (message.target().empty() || message.target().front() != '/') return "the target does not begin with /";
  return {};
}

/// Answers a malformed request; the connection must end after it.
asio::awaitable<void> Refuse(const HttpServerSettings& settings, beast::tcp_stream& stream,
                             const std::string& problem) {
  http::response<http::string_body> response{http::status::bad_request, 11};
  response.keep_alive(false);
  response.set(http::field::content_type, "application/json");
  if (settings.m_malformed_body) response.body() = settings.m_malformed_body(problem);
  response.prepare_payload();
  stream.expires_after(settings.m_body_timeout);
  co_await http::async_write(stream, response, asio::use_awaitable);
}

class BeastExchange final : public HttpExchange, public std::enable_shared_from_this<BeastExchange> {
 public:
  BeastExchange(beast::tcp_stream& stream, beast::flat_buffer& buffer, Parser& parser,
                std::chrono::seconds timeout, const bool& draining)
      : m_stream(stream), m_buffer(buffer), m_parser(parser), m_timeout(timeout), m_draining(draining) {
    const auto& message = parser.get();
    m_head.m_method = std::string(message.method_string());
    m_head.m_target = std::string(message.target());
    for (const auto& field : message) {
      m_head.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    m_head.m_content_length = -1;
    if (const auto length = parser.content_length())
      m_head.m_content_length = static_cast<std::int64_t>(*length);
    else if (!parser.chunked())
      m_head.m_content_length = 0;
    m_expects_continue = beast::iequals(message[http::field::expect], "100-continue");
    m_keep_alive = message.keep_alive();
  }

  const RequestHead& Head() const override { return m_head; }

  asio::awaitable<std::string> ReadBody() override {
    if (std::exchange(m_expects_continue, false)) co_await SendContinue();
    while (!m_parser.is_done()) {
      std::string chunk(kBodyChunk, '\0');
      m_parser.get().body().data = chunk.data();
      m_parser.get().body().size = chunk.size();
      m_stream.expires_after(m_timeout);
      beast::error_code ec;
      co_await http::async_read(m_stream, m_buffer, m_parser, asio::redirect_error(asio::use_awaitable, ec));
      if (ec == http::error::need_buffer) ec = {};
      if (ec) throw beast::system_error(ec);
      chunk.resize(chunk.size() - m_parser.get().body().size);
      if (!chunk.empty()) co_return chunk;
    }
    co_return std::string();
  }

  asio::awaitable<void> Send(std::int64_t status, std::vector<HeaderField> headers,
                             std::string body) override {
    http::response<http::string_body> response;
    SetHead(response, status, headers);
    response.body() = std::move(body);
    response.content_length(response.body().size());
    m_stream.expires_after(m_timeout);
    m_answered = true;
    co_await http::async_write(m_stream, response, asio::use_awaitable);
  }

  asio::awaitable<void> Begin(std::int64_t status, std::vector<HeaderField> headers,
                              std::int64_t content_length) override {
    SetHead(m_response, status, headers);
    if (content_length >= 0)
      m_response.content_length(static_cast<std::uint64_t>(content_length));
    else
      m_response.chunked(true);
    m_response.body().data = nullptr;
    m_response.body().more = true;
    m_serializer.emplace(m_response);
    m_stream.expires_after(m_timeout);
    co_await http::async_write_header(m_stream, *m_serializer, asio::use_awaitable);
  }

  asio::awaitable<void> Write(std::string data) override {
    m_response.body().data = data.data();
    m_response.body().size = data.size();
    m_response.body().more = true;
    co_await WriteSome();
  }

  asio::awaitable<void> End() override {
    m_response.body().data = nullptr;
    m_response.body().size = 0;
    m_response.body().more = false;
    co_await WriteSome();
    m_answered = true;
  }

  void Abort() override {
    beast::error_code ec;
    m_stream.socket().close(ec);
  }

  void WatchForClose(std::function<void()> handler) override {
    m_closed_handler = std::move(handler);
    // While the answer is awaited the stream has no deadline of its own.
    m_stream.expires_never();
    Watch();
  }

  bool MayContinue() const {
    return m_answered && m_keep_alive && m_parser.is_done() && m_stream.socket().is_open();
  }

  void StopWatching() { m_closed_handler = nullptr; }

 private:
  void Watch() {
    m_stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this()](const beast::error_code& ec) { self->CheckClosed(ec); });
  }

  void CheckClosed(const beast::error_code& ec) {
    if (ec || !m_closed_handler) return;
    char byte = 0;
    beast::error_code peek_error;
    m_stream.socket().non_blocking(true, peek_error);
    const std::size_t size =
        m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peek_error);
    // A next request that came in early proves that the client is there.
    if (size > 0 || peek_error == asio::error::would_block) return;
    if (auto handler = std::exchange(m_closed_handler, nullptr)) handler();
  }

  asio::awaitable<void> SendContinue() {
    http::response<http::empty_body> response{http::status::continue_, 11};
    co_await http::async_write(m_stream, response, asio::use_awaitable);
  }

  asio::awaitable<void> WriteSome() {
    m_stream.expires_after(m_timeout);
    beast::error_code ec;
    co_await http::async_write(m_stream, *m_serializer, asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != http::error::need_buffer) throw beast::system_error(ec);
  }

  template <typename Response>
  void SetHead(Response& response, std::int64_t status, const std::vector<HeaderField>& headers) {
    response.version(11);
    response.result(static_cast<unsigned>(status));
    for (const auto& header : headers) response.insert(header.m_name, header.m_value);
    // A body that was not read would be taken for the next request.
    m_keep_alive = m_keep_alive && m_parser.is_done() && !m_draining;
    response.keep_alive(m_keep_alive);
  }

  beast::tcp_stream& m_stream;
  beast::flat_buffer& m_buffer;
  Parser& m_parser;
  std::chrono::seconds m_timeout;
  const bool& m_draining;
  RequestHead m_head;
  bool m_expects_continue = false;
  bool m_keep_alive = true;
  bool m_answered = false;
  std::function<void()> m_closed_handler;
  http::response<http::buffer_body> m_response;
  std::optional<http::response_serializer<http::buffer_body>> m_serializer;
};

}  // namespace

asio::awaitable<std::string> ReadWholeBody(HttpExchange& exchange) {
  std::string body;
  for (std::string part = co_await exchange.ReadBody(); !part.empty(); part = co_await exchange.ReadBody())
    body += part;
  co_return body;
}

struct HttpServer::State {
  State(const asio::any_io_executor& executor, HttpServerSettings server_settings, Handler server_handler)
      : m_acceptor(executor), m_settings(std::move(server_settings)), m_handler(std::move(server_handler)) {}

  tcp::acceptor m_acceptor;
  HttpServerSettings m_settings;
  Handler m_handler;
  std::size_t m_connections = 0;
  bool m_stopping = false;
  bool m_draining = false;
};

HttpServer::HttpServer(const asio::any_io_executor& executor, HttpServerSettings settings, Handler handler)
    : m_state(std::make_shared<State>(executor, std::move(settings), std::move(handler))) {
  const tcp::endpoint endpoint(asio::ip::make_address(m_state->m_settings.m_address),
                               m_state->m_settings.m_port);
  m_state->m_acceptor.open(endpoint.protocol());
  m_state->m_acceptor.set_option(asio::socket_base::reuse_address(true));
  m_state->m_acceptor.bind(endpoint);
  m_state->m_acceptor.listen(4096);
  asio::co_spawn(executor, AcceptLoop(m_state), asio::detached);
}

HttpServer::~HttpServer() { Stop(); }

void HttpServer::Stop() {
  m_state->m_stopping = true;
  boost::system::error_code ec;
  m_state->m_acceptor.close(ec);
}

void HttpServer::Drain() { m_state->m_draining = true; }

std::uint16_t HttpServer::Port() const { return m_state->m_acceptor.local_endpoint().port(); }

std::size_t HttpServer::Connections() const { return m_state->m_connections; }

asio::awaitable<void> HttpServer::AcceptLoop(std::shared_ptr<State> state) {
  const auto executor = co_await asio::this_coro::executor;
  while (!state->m_stopping) {
    boost::system::error_code ec;
    tcp::socket socket =
        co_await state->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
    if (ec == asio::error::operation_aborted) break;
    if (ec) {
      // Out of descriptors, most likely: wait for some to come free.
      co_await Sleep(std::chrono::milliseconds(20));
      continue;
    }
    if (state->m_connections >= state->m_settings.m_max_connections) continue;
    asio::co_spawn(executor, Serve(state, std::move(socket)), asio::detached);
  }
}

asio::awaitable<void> HttpServer::Serve(std::shared_ptr<State> state, tcp::socket socket) {
  ++state->m_connections;
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buffer;
  try {
    bool more = true;
    while (more) {
      Parser parser;
      parser.header_limit(kMaxHeaderBytes);
      parser.body_limit(boost::none);
      stream.expires_after(state->m_settings.m_header_timeout);
      beast::error_code ec;
      co_await http::async_read_header(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, ec));
      const bool malformed = ec && ec.category() == make_error_code(http::error::bad_method).category() &&
                             ec != http::error::end_of_stream && ec != http::error::partial_message;
      std::string problem;
      if (malformed)
        problem = ec.message();
      else if (!ec)
        problem = FindAmbiguity(parser);
      if (!problem.empty()) co_await Refuse(state->m_settings, stream, problem);
      if (ec || !problem.empty()) break;
      const auto exchange = std::make_shared<BeastExchange>(
          stream, buffer, parser, state->m_settings.m_body_timeout, state->m_draining);
      co_await state->m_handler(exchange);
      exchange->StopWatching();
      more = exchange->MayContinue();
      // The wait for a close must not outlive the exchange's place on this stack.
      stream.cancel();
    }
  } catch (const std::exception&) {
    // The client is gone; its handler has cleaned up.
  }
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  stream.socket().close(ignored);
  --state->m_connections;
}

}  // namespace fescueramp
