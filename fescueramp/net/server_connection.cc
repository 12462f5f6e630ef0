#include "fescueramp/net/server_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fescueramp/net/client_bytes.h"
#include "fescueramp/net/read_deadline.h"
#include "fescueramp/net/response_content.h"
#include "fescueramp/net/server_exchange.h"
#include "fescueramp/net/unacknowledged_bytes.h"

namespace fescueramp {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;

constexpr std::size_t kMaxPipelined = 32;  ///< Pending requests per connection.
/// Bytes that the system takes ahead of what TCP can send. By default it takes several MiB for a client that
/// doesn't read, which the budget can't see.
constexpr int kMaxUnsentBytes = 128 * 1024;
constexpr std::size_t kDiscardChunkBytes = 4096;  ///< Size of one read of discarded data.
constexpr std::size_t kMaxReadBytes = 64 * 1024;  ///< Largest size of one read of requests.
/// Bytes behind the last request after which a client that sends without end is held by TCP's flow control.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
/// Time for the client to close first, once it has got the last response.
constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
constexpr auto kDeliveryCheckPeriod = std::chrono::milliseconds(50);
constexpr std::int64_t kBadRequest = 400;
constexpr std::int64_t kHeaderTooLarge = 431;

/// Returns why a request head is refused; empty if it is accepted. Stricter than the parser: refuses whatever
/// two HTTP implementations could interpret differently (request smuggling).
template <typename Parser>
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
  // A response to CONNECT with a 2xx status would have no body and open a tunnel.
  if (message.method() == http::verb::connect) return "CONNECT is not supported";
  if (message.target().empty() || message.target().front() != '/') return "the target does not begin with /";
  return {};
}

}  // namespace

ServerConnection::ServerConnection(tcp::socket socket, const HttpServerSettings& settings,
                                   const Handler& handler, std::uint64_t number)
    : m_stream(std::move(socket)),
      m_settings(settings),
      m_handler(handler),
      m_changed(m_stream.get_executor()),
      m_idle_timer(m_stream.get_executor()) {
  m_summary.m_connection = number;
  boost::system::error_code ignored;
  m_stream.socket().set_option(tcp::no_delay(true), ignored);
}

asio::awaitable<void> ServerConnection::Run() {
  const auto self = shared_from_this();
  OpenMemoryAccount();
  while (!m_accepting_stopped && !m_closed) {
    if (!co_await WaitForRequest()) break;
    if (!co_await AcceptRequest()) break;
    // The next request starts where the body of this one ends.
    const auto exchange = m_open_exchanges.empty() ? nullptr : m_open_exchanges.back();
    while (exchange && !exchange->BodyRead() && !exchange->HandlerFinished() && !m_closed)
      co_await m_changed.Wait();
    if (exchange && !exchange->BodyRead()) break;
    while (!MayAcceptMore() && !m_closed) co_await m_changed.Wait();
  }
  co_await DiscardUntilResponded();
  co_await StopBodyReads();
  if (!m_closed) co_await Linger();
  Close(End());
}

void ServerConnection::OpenMemoryAccount() {
  if (!m_settings.m_memory) return;
  ::setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kMaxUnsentBytes,
               sizeof(kMaxUnsentBytes));
  m_memory = m_settings.m_memory->OpenAccount(
      [weak = weak_from_this()] {
        const auto self = weak.lock();
        return self ? self->Progress() : ClientProgress{};
      },
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->Close(ConnectionEnd::kMemory);
      });
  m_read_charge = MemoryCharge(m_memory, MemoryKind::kReadBuffer, 0);
}

bool ServerConnection::MayAcceptMore() const {
  if (m_open_exchanges.empty()) return true;
  return m_open_exchanges.size() < kMaxPipelined &&
         (!m_settings.m_memory || m_settings.m_memory->MayPipelineMore());
}

ClientProgress ServerConnection::Progress() {
  if (m_closed) return {};
  return {ClientBytes(m_stream.socket().native_handle()),
          m_pending_body_reads > 0 || m_pending_writes > 0 || m_reading_header};
}

ConnectionEnd ServerConnection::End() const {
  if (m_client_left) return ConnectionEnd::kClientClosed;
  if (m_response_missing) return ConnectionEnd::kResponseMissing;
  if (m_closing_idle) return ConnectionEnd::kIdle;
  return m_accepting_stopped ? ConnectionEnd::kLastResponse : ConnectionEnd::kClientClosed;
}

asio::awaitable<void> ServerConnection::DiscardUntilResponded() {
  std::array<char, kDiscardChunkBytes> discarded{};
  boost::system::error_code ec;
  while (!m_open_exchanges.empty() && !m_closed) {
    const ServerExchange& last = *m_open_exchanges.back();
    if (!last.BodyRead() && last.HandlerFinished()) m_body_reads_stopped = true;
    const bool body_ended = last.BodyRead() || m_body_reads_stopped;
    const bool reading_allowed =
        body_ended && m_pending_body_reads == 0 && m_summary.m_discarded_bytes < kMaxDiscardedBytes;
    if (ec || !reading_allowed) {
      co_await m_changed.Wait();
      continue;
    }
    m_summary.m_discarded_bytes += co_await m_stream.socket().async_read_some(
        asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, ec));
    if (ec && ec != asio::error::operation_aborted) NotifyClientLeft();
  }
}

asio::awaitable<void> ServerConnection::StopBodyReads() {
  m_body_reads_stopped = true;
  while (m_pending_body_reads > 0 && !m_closed) {
    m_stream.cancel();
    co_await m_changed.Wait();
  }
}

asio::awaitable<void> ServerConnection::Linger() {
  m_lingering = true;
  beast::error_code ec;
  m_stream.socket().shutdown(tcp::socket::shutdown_send, ec);
  std::array<char, kDiscardChunkBytes> discarded{};
  m_stream.expires_never();
  asio::co_spawn(m_stream.get_executor(), LimitLinger(), asio::detached);
  m_summary.m_discarded_bytes += m_buffer.size();
  while (!ec && !m_closed && !m_linger_ended) {
    m_summary.m_discarded_bytes += co_await m_stream.async_read_some(
        asio::buffer(discarded), asio::redirect_error(asio::use_awaitable, ec));
  }
}

asio::awaitable<void> ServerConnection::LimitLinger() {
  const auto self = shared_from_this();
  std::size_t undelivered = UndeliveredBytes();
  std::chrono::milliseconds without_progress{0};
  while (!m_closed) {
    // A client that still gets the response has as long for each part as while the response was written.
    const std::chrono::milliseconds limit = undelivered > 0 ? m_settings.m_body_timeout : kLingerTimeout;
    if (without_progress >= limit) break;
    const std::chrono::milliseconds wait = undelivered > 0 ? kDeliveryCheckPeriod : kLingerTimeout;
    co_await Sleep(wait);
    const bool progress = std::exchange(undelivered, UndeliveredBytes()) != undelivered;
    without_progress = progress ? std::chrono::milliseconds(0) : without_progress + wait;
  }
  // Cancelling alone doesn't end the reading of a client that sends all the time.
  m_linger_ended = true;
  if (!m_closed) m_stream.cancel();
}

std::size_t ServerConnection::UndeliveredBytes() {
  const std::size_t bytes = m_closed ? 0 : UnacknowledgedBytes(m_stream.socket());
  // The end of sending carries no data.
  return m_lingering && bytes > 0 ? bytes - 1 : bytes;
}

bool ServerConnection::Unfinished() {
  if (m_closed) return false;
  const bool request_waits = !m_accepting_stopped && !m_reading_header && BytesPending();
  return !m_open_exchanges.empty() || m_lingering || request_waits || UndeliveredBytes() > 0;
}

asio::awaitable<bool> ServerConnection::WaitForRequest() {
  if (m_buffer.size() > 0) co_return true;
  ArmIdleTimer();
  beast::error_code ec;
  co_await m_stream.socket().async_wait(tcp::socket::wait_read,
                                        asio::redirect_error(asio::use_awaitable, ec));
  m_idle_timer.cancel();
  co_return !ec && !m_closed && !m_accepting_stopped;
}

void ServerConnection::ArmIdleTimer() {
  if (!m_open_exchanges.empty()) return;
  m_idle_timer.expires_after(m_settings.m_idle_timeout);
  m_idle_timer.async_wait([weak = weak_from_this()](const boost::system::error_code& ec) {
    const auto self = weak.lock();
    if (!ec && self) self->CloseIdle();
  });
}

asio::awaitable<ServerConnection::HeaderResult> ServerConnection::ReadHeader(std::shared_ptr<Parser> parser) {
  parser->header_limit(m_settings.m_max_header_bytes);
  m_buffer.max_size(std::max(m_buffer.size(), MaxUnparsedBytes()));
  parser->body_limit(boost::none);
  m_stream.expires_never();
  ReadDeadline deadline(m_stream.get_executor(), m_settings.m_header_timeout);
  HeaderResult result;
  co_await http::async_read_header(m_stream, m_buffer, *parser, deadline.Token(result.m_error));
  const beast::error_code& ec = result.m_error;
  const bool malformed = ec && ec.category() == make_error_code(http::error::bad_method).category() &&
                         ec != http::error::end_of_stream && ec != http::error::partial_message;
  if (malformed) {
    result.m_problem = ec.message();
  } else if (!ec) {
    result.m_problem = FindAmbiguity(*parser);
  }
  // Empty if the request line couldn't be read.
  result.m_method = std::string(parser->get().method_string());
  const bool too_large = ec == http::error::header_limit;
  if (too_large) m_summary.m_exceeded_limit = ExceededLimit::kHead;
  result.m_status = too_large ? kHeaderTooLarge : kBadRequest;
  co_return result;
}

asio::awaitable<bool> ServerConnection::AcceptRequest() {
  const auto parser = std::make_shared<Parser>();
  m_reading_header = true;
  const HeaderResult result = co_await ReadHeader(parser);
  m_reading_header = false;
  ChargeReadBuffer();
  if (result.m_error == asio::error::operation_aborted) {
    // The head has taken too long. Responses to earlier requests are still due.
    m_closing_idle = !m_accepting_stopped && m_open_exchanges.empty();
    m_accepting_stopped = true;
  }
  // The connection closed, or no further request is accepted.
  if (m_closed || m_accepting_stopped) co_return false;
  if (!result.m_problem.empty()) {
    co_await RejectRequest(result);
    co_return false;
  }
  if (result.m_error) {
    NotifyClientLeft();
    co_return false;
  }
  const auto exchange = std::make_shared<ServerExchange>(shared_from_this(), parser);
  m_open_exchanges.push_back(exchange);
  ++m_summary.m_requests;
  // A client that always has pending requests would otherwise never get a last response. Requests behind
  // this one stay unread, so the client may retry them.
  if (m_draining || !exchange->KeepAlive()) m_accepting_stopped = true;
  asio::co_spawn(m_stream.get_executor(), Serve(exchange), asio::detached);
  co_return true;
}

asio::awaitable<void> ServerConnection::Serve(std::shared_ptr<ServerExchange> exchange) {
  try {
    co_await m_handler(exchange);
  } catch (const std::exception&) {
    // The client has disconnected and the handler has already cleaned up.
  }
  exchange->SetHandlerFinished();
  if (!exchange->ResponseSent()) co_await EndAtMissingResponse(exchange);
  std::erase(m_open_exchanges, exchange);
  // No further request is read, so cancel the wait for one.
  if (m_accepting_stopped && m_open_exchanges.empty() && !m_closed) m_stream.cancel();
  if (m_open_exchanges.empty() && !m_closed) ArmIdleTimer();
  m_changed.Notify();
}

asio::awaitable<void> ServerConnection::EndAtMissingResponse(std::shared_ptr<ServerExchange> exchange) {
  m_accepting_stopped = true;
  m_changed.Notify();
  while (!m_closed && m_open_exchanges.front() != exchange) co_await m_changed.Wait();
  m_response_missing = true;
  NotifyClosed();
}

asio::awaitable<void> ServerConnection::RejectRequest(HeaderResult result) {
  m_accepting_stopped = true;
  m_refusal_pending = true;
  co_await DiscardUntilResponded();
  if (m_closed) co_return;
  http::response<http::string_body> response;
  response.version(11);
  response.result(static_cast<unsigned>(result.m_status));
  response.keep_alive(false);
  response.set(http::field::content_type, "application/json");
  std::string body;
  if (m_settings.m_malformed_request_body) body = m_settings.m_malformed_request_body(result.m_problem);
  response.content_length(body.size());
  if (ContentOfResponse(result.m_method, result.m_status) == ResponseContent::kBody)
    response.body() = std::move(body);
  m_stream.expires_after(m_settings.m_body_timeout);
  beast::error_code ec;
  co_await http::async_write(m_stream, response, asio::redirect_error(asio::use_awaitable, ec));
}

std::size_t ServerConnection::MaxUnparsedBytes() const {
  const FramingLimits& framing = m_settings.m_framing;
  const std::size_t end_of_body = framing.m_max_chunk_line_bytes + framing.m_max_trailer_bytes;
  return std::max<std::size_t>(m_settings.m_max_header_bytes, end_of_body) + kMaxReadBytes;
}

void ServerConnection::NotifyClientLeft() {
  m_client_left = true;
  NotifyClosed();
}

void ServerConnection::NotifyClosed() {
  const auto open = m_open_exchanges;
  for (const auto& exchange : open) exchange->NotifyClosed();
}

void ServerConnection::Drain() { m_draining = true; }

bool ServerConnection::DecideKeepAlive(bool keep_alive) {
  const bool more_responses =
      m_open_exchanges.size() > 1 || m_refusal_pending || (!m_accepting_stopped && BytesPending());
  if ((m_draining || m_accepting_stopped) && !more_responses) keep_alive = false;
  if (!keep_alive) m_accepting_stopped = true;
  return keep_alive;
}

bool ServerConnection::BytesPending() {
  beast::error_code ec;
  return m_reading_header || m_buffer.size() > 0 || m_stream.socket().available(ec) > 0;
}

void ServerConnection::CloseIdle() {
  const bool ending = m_closed || m_accepting_stopped || m_lingering;
  if (ending || !m_open_exchanges.empty() || BytesPending()) return;
  m_closing_idle = true;
  m_accepting_stopped = true;
  m_stream.cancel();
}

void ServerConnection::StopAccepting() {
  if (m_open_exchanges.empty()) return CloseIdle();
  if (!BytesPending()) m_accepting_stopped = true;
}

void ServerConnection::Close(ConnectionEnd end) {
  m_accepting_stopped = true;
  if (std::exchange(m_closed, true)) return;
  m_summary.m_end = end;
  beast::error_code ignored;
  m_idle_timer.cancel();
  m_stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  m_stream.close();
  m_changed.Notify();
  NotifyClosed();
}

}  // namespace fescueramp
