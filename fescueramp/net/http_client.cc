#include "fescueramp/net/http_client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <optional>

#include "fescueramp/net/body_parser.h"

namespace fescueramp {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kBodyChunkBytes = 64 * 1024;
constexpr std::size_t kMaxReadBytes = 64 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
/// Limit of received bytes that are not parsed yet: a header, or one chunk line or trailer of a chunked body.
constexpr std::size_t kMaxUnparsedBytes = 2 * kMaxHeaderBytes;

constexpr int kMaxInterimResponses = 3;  ///< Per request, before the connection is closed.
constexpr std::int64_t kFirstStatus = 100;
constexpr std::int64_t kSwitchingProtocols = 101;  ///< No other protocol is ever asked for.
constexpr std::int64_t kFirstFinalStatus = 200;    ///< Lower statuses are interim responses (1xx).
constexpr std::int64_t kLastStatus = 599;

constexpr int kTcpProbeIntervalSeconds = 1;  ///< Idle time before the first probe and between probes.
constexpr int kMaxTcpProbes = 3;             ///< Probes without a reply after which the connection fails.
/// Longest time that sent bytes may stay unacknowledged; allows two TCP retransmissions, of which the first
/// comes after 200 ms.
constexpr int kTcpUserTimeoutMs = 700;

/// Makes the kernel detect an unresponsive peer: enables TCP keep-alive probes and the TCP user timeout.
void SetSocketOptions(tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  const int handle = socket.native_handle();
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kTcpProbeIntervalSeconds,
               sizeof(kTcpProbeIntervalSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kTcpProbeIntervalSeconds,
               sizeof(kTcpProbeIntervalSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kMaxTcpProbes, sizeof(kMaxTcpProbes));
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
}

}  // namespace

struct HttpConnection::State {
  State(const asio::any_io_executor& executor, std::string to_address, std::uint16_t to_port)
      : m_stream(executor), m_address(std::move(to_address)), m_port(to_port) {}

  beast::tcp_stream m_stream;
  std::string m_address;
  std::uint16_t m_port;
  beast::flat_buffer m_buffer{kMaxUnparsedBytes};
  bool m_connected = false;
  bool m_sent = false;
  bool m_timed_out = false;
  bool m_unacknowledged = false;
  http::request<http::buffer_body> m_request;
  std::optional<http::request_serializer<http::buffer_body>> m_serializer;
  std::optional<http::response_parser<http::buffer_body>> m_parser;
  std::optional<FramingCounter> m_framing;

  /// Closes the connection. @throws HttpError always.
  [[noreturn]] void Fail(const std::string& failure, const beast::error_code& ec) {
    m_timed_out = ec == beast::error::timeout;
    m_unacknowledged = ec == asio::error::timed_out;
    m_connected = false;
    m_stream.close();
    throw HttpError(failure + " " + m_address + ":" + std::to_string(m_port) + ": " + ec.message(), m_sent);
  }

  /// Reads until the space for data of the body is full or the body ends.
  asio::awaitable<beast::error_code> FillBodyBuffer() {
    beast::error_code ec = ParseBody(*m_parser, m_buffer, *m_framing);
    while (ec == http::error::need_more) {
      ec = {};
      const std::size_t wanted = beast::read_size(m_buffer, kMaxReadBytes);
      if (wanted == 0) co_return http::error::buffer_overflow;
      const std::size_t size = co_await m_stream.async_read_some(
          m_buffer.prepare(wanted), asio::redirect_error(asio::use_awaitable, ec));
      m_buffer.commit(size);
      if (ec == asio::error::eof)
        m_parser->put_eof(ec);
      else if (!ec)
        ec = ParseBody(*m_parser, m_buffer, *m_framing);
    }
    if (ec == http::error::need_buffer) ec = {};
    co_return ec;
  }

  void Prepare(const RequestHead& head) {
    m_request = {};
    m_request.version(11);
    m_request.method_string(head.m_method);
    m_request.target(head.m_target);
    for (const auto& header : head.m_headers) m_request.insert(header.m_name, header.m_value);
    if (m_request.find(http::field::host) == m_request.end()) {
      m_request.set(http::field::host, m_address + ":" + std::to_string(m_port));
    }
    if (head.m_content_length > 0)
      m_request.content_length(static_cast<std::uint64_t>(head.m_content_length));
    else if (head.m_content_length < 0)
      m_request.chunked(true);
    else if (head.m_method != "GET" && head.m_method != "HEAD")
      m_request.content_length(0);
    m_parser.reset();
    m_sent = false;
    m_timed_out = false;
    m_unacknowledged = false;
  }
};

HttpConnection::HttpConnection(const asio::any_io_executor& executor, std::string address, std::uint16_t port)
    : m_state(std::make_unique<State>(executor, std::move(address), port)) {}
HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;
HttpConnection& HttpConnection::operator=(HttpConnection&&) noexcept = default;

asio::awaitable<void> HttpConnection::Connect(std::chrono::milliseconds timeout) {
  State& state = *m_state;
  if (state.m_connected) co_return;
  state.m_sent = false;
  state.m_buffer.clear();
  beast::error_code ec;
  const auto address = asio::ip::make_address(state.m_address, ec);
  if (ec) state.Fail("cannot parse address", ec);
  state.m_stream.expires_after(timeout);
  co_await state.m_stream.async_connect(tcp::endpoint(address, state.m_port),
                                        asio::redirect_error(asio::use_awaitable, ec));
  if (ec) state.Fail("cannot connect to", ec);
  SetSocketOptions(state.m_stream.socket());
  state.m_connected = true;
}

asio::awaitable<void> HttpConnection::SendHead(RequestHead head, std::chrono::milliseconds timeout) {
  State& state = *m_state;
  state.Prepare(head);
  state.m_request.body().data = nullptr;
  state.m_request.body().more = head.m_content_length != 0;
  state.m_serializer.emplace(state.m_request);
  state.m_stream.expires_after(timeout);
  state.m_sent = true;
  beast::error_code ec;
  co_await http::async_write_header(state.m_stream, *state.m_serializer,
                                    asio::redirect_error(asio::use_awaitable, ec));
  if (ec) state.Fail("cannot send to", ec);
}

asio::awaitable<void> HttpConnection::SendBody(std::string data, std::chrono::milliseconds timeout) {
  State& state = *m_state;
  state.m_request.body().data = data.data();
  state.m_request.body().size = data.size();
  state.m_request.body().more = true;
  state.m_stream.expires_after(timeout);
  beast::error_code ec;
  co_await http::async_write(state.m_stream, *state.m_serializer,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec && ec != http::error::need_buffer) state.Fail("cannot send to", ec);
}

asio::awaitable<void> HttpConnection::FinishBody(std::chrono::milliseconds timeout) {
  State& state = *m_state;
  if (state.m_serializer->is_done()) co_return;
  state.m_request.body().data = nullptr;
  state.m_request.body().size = 0;
  state.m_request.body().more = false;
  state.m_stream.expires_after(timeout);
  beast::error_code ec;
  co_await http::async_write(state.m_stream, *state.m_serializer,
                             asio::redirect_error(asio::use_awaitable, ec));
  if (ec && ec != http::error::need_buffer) state.Fail("cannot send to", ec);
}

asio::awaitable<ResponseHead> HttpConnection::ReadHead(std::chrono::milliseconds timeout) {
  State& state = *m_state;
  state.m_parser.emplace();
  state.m_framing.emplace(FramingLimits{});
  state.m_parser->header_limit(kMaxHeaderBytes);
  state.m_parser->body_limit(boost::none);
  if (state.m_request.method() == http::verb::head) state.m_parser->skip(true);
  state.m_stream.expires_after(timeout);
  beast::error_code ec;
  co_await http::async_read_header(state.m_stream, state.m_buffer, *state.m_parser,
                                   asio::redirect_error(asio::use_awaitable, ec));
  if (ec) state.Fail("cannot read from", ec);
  ResponseHead head;
  const auto& message = state.m_parser->get();
  head.m_status = message.result_int();
  // Source: RFC 9110, section 15. Taken as interim, such a response would be waited for until the deadline.
  const bool valid = head.m_status >= kFirstStatus && head.m_status <= kLastStatus;
  if (!valid || head.m_status == kSwitchingProtocols)
    state.Fail("invalid status from", http::error::bad_status);
  for (const auto& field : message) {
    head.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
  }
  if (const auto length = state.m_parser->content_length()) {
    head.m_content_length = static_cast<std::int64_t>(*length);
  }
  co_return head;
}

asio::awaitable<std::string> HttpConnection::ReadBody(std::chrono::milliseconds timeout) {
  State& state = *m_state;
  while (!state.m_parser->is_done()) {
    std::string chunk(kBodyChunkBytes, '\0');
    state.m_parser->get().body().data = chunk.data();
    state.m_parser->get().body().size = chunk.size();
    state.m_stream.expires_after(timeout);
    const beast::error_code ec = co_await state.FillBodyBuffer();
    if (ec) state.Fail("cannot read from", ec);
    chunk.resize(chunk.size() - state.m_parser->get().body().size);
    if (!chunk.empty()) co_return chunk;
  }
  state.m_stream.expires_never();
  if (!state.m_parser->keep_alive()) Close();
  co_return std::string();
}

asio::awaitable<ResponseHead> HttpConnection::ReadFinalHead(std::chrono::milliseconds timeout) {
  for (int skipped = 0; skipped <= kMaxInterimResponses; ++skipped) {
    ResponseHead head = co_await ReadHead(timeout);
    if (head.m_status >= kFirstFinalStatus) co_return head;
  }
  m_state->Fail("too many interim responses from", http::error::bad_status);
}

asio::awaitable<std::string> HttpConnection::ReadWholeBody(std::chrono::milliseconds timeout,
                                                           ResponseLimits limits) {
  const auto end = std::chrono::steady_clock::now() + limits.m_max_body_time;
  std::string body;
  while (true) {
    const std::string chunk = co_await ReadBody(timeout);
    if (chunk.empty()) co_return body;
    if (body.size() + chunk.size() > limits.m_max_body_bytes)
      m_state->Fail("too long a response from", http::error::body_limit);
    if (std::chrono::steady_clock::now() > end)
      m_state->Fail("too slow a response from", beast::error::timeout);
    body += chunk;
  }
}

asio::awaitable<HttpResponse> HttpConnection::Request(RequestHead head, std::string body,
                                                      std::chrono::milliseconds timeout,
                                                      ResponseLimits limits) {
  co_await Connect(timeout);
  head.m_content_length = static_cast<std::int64_t>(body.size());
  co_await SendHead(std::move(head), timeout);
  if (!body.empty()) {
    co_await SendBody(std::move(body), timeout);
    co_await FinishBody(timeout);
  }
  const ResponseHead response_head = co_await ReadFinalHead(timeout);
  HttpResponse response{response_head.m_status, response_head.m_headers, {}};
  response.m_body = co_await ReadWholeBody(timeout, limits);
  co_return response;
}

bool HttpConnection::Reusable() const {
  // Bytes after the response belong to no request that was sent.
  return m_state->m_connected && m_state->m_buffer.size() == 0 &&
         (!m_state->m_parser || m_state->m_parser->is_done());
}

bool HttpConnection::StillOpen() const {
  if (!m_state->m_connected) return false;
  char byte = 0;
  const auto socket = m_state->m_stream.socket().native_handle();
  const ssize_t size = ::recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  // An open idle connection has nothing to read. Unrequested data makes it unusable.
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool HttpConnection::Connected() const { return m_state->m_connected; }

bool HttpConnection::TimedOut() const { return m_state->m_timed_out; }

bool HttpConnection::Unacknowledged() const { return m_state->m_unacknowledged; }

void HttpConnection::Expire(const std::string& problem) { m_state->Fail(problem, beast::error::timeout); }

void HttpConnection::Close() {
  m_state->m_connected = false;
  m_state->m_stream.close();
}

}  // namespace fescueramp
