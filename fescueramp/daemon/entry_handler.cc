#include "fescueramp/daemon/entry_handler.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iomanip>
#include <sstream>

#include "fescueramp/core/hash.h"
#include "fescueramp/daemon/wire.h"
#include "fescueramp/dispatch/retry_after_delay.h"
#include "fescueramp/net/response_content.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxBufferedResponse = 256 * 1024;  ///< Bytes; a longer response is streamed.
constexpr std::string_view kApiKeyField = "x-api-key";
constexpr Duration kDeadlineGrace =
    std::chrono::milliseconds(8);  ///< Time for the dispatcher to report a missed deadline itself.

RequestHead HeadForEndpoint(const RequestHead& head) {
  RequestHead filtered{head.m_method, head.m_target, {}, head.m_content_length};
  // Fields named in the Connection field are hop-by-hop too.
  std::vector<std::string> connection_options;
  const std::string connection = ToLower(FindHeader(head.m_headers, "connection"));
  boost::algorithm::split(connection_options, connection, [](char c) { return c == ',' || c == ' '; });
  for (const auto& header : head.m_headers) {
    const std::string name = ToLower(header.m_name);
    const bool is_connection_option =
        std::find(connection_options.begin(), connection_options.end(), name) != connection_options.end();
    // The API key is the caller's secret; the endpoint gets the account's name instead.
    if (!IsStrippedHeader(name) && !is_connection_option && name != kApiKeyField)
      filtered.m_headers.push_back(header);
  }
  return filtered;
}

constexpr std::string_view kRateLimitedResult = "RATE_LIMITED";
constexpr std::int64_t kFirstServerErrorStatus = 500;
/// Retry delay of a request that the memory budget refuses: the time in which a stalled connection is
/// noticed.
constexpr Duration kMemoryRetryDelay = std::chrono::seconds(1);

std::string ApiKeyHash(const RequestHead& head) {
  std::string_view key = FindHeader(head.m_headers, kApiKeyField);
  return key.empty() ? std::string() : Sha256Hex(key);
}

}  // namespace

EntryHandler::Call::Call(const asio::any_io_executor& executor, std::shared_ptr<HttpExchange> http_exchange)
    : m_exchange(std::move(http_exchange)), m_command_queued(executor), m_timer(executor) {}

EntryHandler::EntryHandler(HandlerContext context) : m_context(std::move(context)) {
  // Starts at the current time, so that ids of an earlier run of this node are not reused.
  m_next_id = static_cast<std::uint64_t>(m_context.m_clock->Now().time_since_epoch().count());
}

std::string EntryHandler::NextRequestId() {
  std::ostringstream id;
  id << m_context.m_node << '-' << std::hex << m_next_id++;
  return id.str();
}

bool EntryHandler::Succeeded(const Call& call) {
  return call.m_result == "OK" && call.m_status < kFirstServerErrorStatus;
}

template <typename T>
void EntryHandler::Enqueue(const T& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  call->second->m_commands.emplace_back(effect);
  call->second->m_command_queued.Notify();
}

void EntryHandler::Run(const ForwardRequest& effect) { Enqueue(effect); }
void EntryHandler::Run(const RefuseRequest& effect) { Enqueue(effect); }

asio::awaitable<void> EntryHandler::Handle(std::shared_ptr<HttpExchange> exchange) {
  const auto call = std::make_shared<Call>(m_context.m_executor, exchange);
  call->m_id = NextRequestId();
  call->m_received = m_context.m_clock->Now();
  m_calls[call->m_id] = call;
  const RequestHead& head = exchange->Head();
  call->m_metadata = m_context.m_dialect->ReadCallerMetadata(head);
  if (AdmitToMemory(*call)) {
    m_context.m_sink->Post(RequestReceived{call->m_id, head.m_method, head.m_target, ApiKeyHash(head),
                                           std::string(FindHeader(head.m_headers, "idempotency-key")),
                                           std::max<std::int64_t>(0, head.m_content_length),
                                           std::string(FindHeader(head.m_headers, "host")),
                                           call->m_metadata.m_request_id, call->m_metadata.m_patience_ms});
  }
  bool caller_left = false;
  try {
    co_await Serve(call);
  } catch (const std::exception&) {
    caller_left = true;
  }
  if (caller_left) {
    if (call->m_stream) call->m_stream->Reset();
    m_context.m_metrics->RecordResponse("CALLER_LEFT");
    call->m_result = "CALLER_LEFT";
    m_context.m_sink->Post(ForwardEnded{call->m_id, {}, ForwardOutcome::kCallerLeft, false, false});
    exchange->Abort();
  }
  m_context.m_metrics->RecordLatency(call->m_class_name, call->m_group,
                                     m_context.m_clock->Now() - call->m_received);
  LogRequest(*call);
  m_calls.erase(call->m_id);
}

bool EntryHandler::AdmitToMemory(Call& call) {
  const RequestHead& head = call.m_exchange->Head();
  // The head is held twice: by the parser and in the exchange.
  const std::size_t head_bytes = 2 * HeadBytes(head);
  const std::size_t body_bytes = ReplayBody::ExpectedBytes(head.m_content_length);
  const auto admission = m_context.m_memory
                             ? m_context.m_memory->Admit(head_bytes + body_bytes, head.m_content_length != 0)
                             : MemoryAdmission::kAdmit;
  call.m_head_charge = MemoryCharge(call.m_exchange->Memory(), MemoryKind::kHead, head_bytes);
  if (admission == MemoryAdmission::kAdmit) return true;
  m_context.m_metrics->RecordMemoryDecision(std::string(EnumName(admission)));
  RefuseRequest refuse;
  refuse.m_request_id = call.m_id;
  refuse.m_code = static_cast<std::int64_t>(ResultCode::kMemoryFull);
  refuse.m_retry_after_ms =
      RetryAfterDelay(kMemoryRetryDelay, Duration(0), Hash64(call.m_id)) / std::chrono::milliseconds(1);
  call.m_commands.emplace_back(refuse);
  return false;
}

void EntryHandler::StartReadingBody(const std::shared_ptr<Call>& call, std::int64_t max_bytes) {
  call->m_body = std::make_shared<ReplayBody>(m_context.m_executor, max_bytes);
  const auto watch_for_close = [weak = std::weak_ptr(call)] {
    const auto self = weak.lock();
    if (!self) return;
    self->m_exchange->WatchForClose([weak] {
      if (const auto disconnected = weak.lock()) {
        disconnected->m_caller_left = true;
        if (disconnected->m_stream) disconnected->m_stream->Reset();
      }
    });
  };
  if (call->m_exchange->Head().m_content_length == 0) {
    call->m_body->SetEmpty();
    return watch_for_close();
  }
  call->m_body->Charge(call->m_exchange->Memory(),
                       ReplayBody::ExpectedBytes(call->m_exchange->Head().m_content_length));
  call->m_body->Start([exchange = call->m_exchange] { return exchange->ReadBody(); }, watch_for_close);
}

asio::awaitable<void> EntryHandler::Serve(std::shared_ptr<Call> call) {
  while (true) {
    while (call->m_commands.empty()) co_await call->m_command_queued.Wait();
    const Command command = std::move(call->m_commands.front());
    call->m_commands.pop_front();
    if (const auto* refuse = std::get_if<RefuseRequest>(&command)) {
      ResponseHead result;
      result.m_code = refuse->m_code;
      result.m_retry_after_ms = refuse->m_retry_after_ms;
      result.m_maybe_ran = refuse->m_maybe_ran;
      co_await SendResult(call, result);
      co_return;
    }
    const auto& forward = std::get<ForwardRequest>(command);
    call->m_class_name = forward.m_request.m_class_name;
    call->m_group = forward.m_group;
    call->m_service = forward.m_request.m_service;
    call->m_dispatcher = forward.m_node;
    call->m_revision = forward.m_request.m_revision;
    ++call->m_forwards;
    if (!call->m_body) StartReadingBody(call, forward.m_max_body_bytes);
    const ForwardOutcome outcome = co_await Forward(call, forward);
    const bool body_refused = call->m_body->TooLong() || call->m_body->Refused();
    const bool finished =
        outcome == ForwardOutcome::kResponded || outcome == ForwardOutcome::kCallerLeft || body_refused;
    const ForwardOutcome reported = body_refused ? ForwardOutcome::kCallerLeft : outcome;
    if (outcome != ForwardOutcome::kResponded) LogForward(*call, forward, outcome);
    m_context.m_sink->Post(ForwardEnded{
        call->m_id, forward.m_node, reported, call->m_body->Replayable(), call->m_permitted, call->m_attempts,
        std::exchange(call->m_split, {}), std::exchange(call->m_part_full, false), Succeeded(*call),
        call->m_dispatcher_unresponsive, std::exchange(call->m_maybe_ran_elsewhere, false),
        call->m_result == kRateLimitedResult ? std::max<std::int64_t>(1, call->m_retry_after_ms) : 0});
    // A response that was sent already is the only one to the request.
    if (body_refused && outcome != ForwardOutcome::kResponded) {
      ResponseHead result;
      const ResultCode code =
          call->m_body->TooLong() ? ResultCode::kBodyTooLarge : ResultCode::kMalformedRequest;
      result.m_code = static_cast<std::int64_t>(code);
      result.m_maybe_ran = call->m_permitted;
      co_await SendResult(call, result);
    }
    if (outcome == ForwardOutcome::kCallerLeft && !body_refused) call->m_exchange->Abort();
    if (finished) co_return;
  }
}

asio::awaitable<void> EntryHandler::SendBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream,
                                             bool withhold_permit) {
  std::size_t cursor = 0;
  try {
    if (withhold_permit) co_await stream->WaitForInterimResponses(1);
    // The body, or its end, permits the dispatcher to start the work. From here on it must not start
    // elsewhere.
    call->m_permitted = true;
    if (withhold_permit) stream->KeepOpenWhileUnresponsive();
    while (true) {
      std::string chunk = co_await call->m_body->Read(cursor);
      if (chunk.empty()) break;
      co_await stream->Write(std::move(chunk));
    }
    stream->Finish();
  } catch (const std::exception&) {
    // If the stream broke, RelayResponse handles it. If the body broke off, the stream is reset, so that the
    // dispatcher stops waiting for the rest.
    const bool body_failed = call->m_body->Failed() || call->m_body->TooLong() || call->m_body->Refused();
    if (body_failed) call->m_caller_left = call->m_body->Failed();
    if (body_failed) stream->Reset();
  }
}

void EntryHandler::TimeOutForwards() {
  for (const auto& [id, call] : m_calls) {
    if (!call->m_stream || call->m_stream->HeadersComplete()) continue;
    call->m_timed_out = true;
    call->m_stream->Reset();
  }
}

void EntryHandler::StartTimer(const std::shared_ptr<Call>& call, Duration left) {
  call->m_timer.expires_after(left);
  call->m_timer.async_wait([weak = std::weak_ptr(call)](const boost::system::error_code& ec) {
    const auto expired = weak.lock();
    if (ec || !expired || !expired->m_stream) return;
    expired->m_timed_out = true;
    expired->m_stream->Reset();
  });
}

asio::awaitable<ForwardOutcome> EntryHandler::Forward(std::shared_ptr<Call> call, ForwardRequest effect) {
  if (call->m_caller_left) co_return ForwardOutcome::kCallerLeft;
  call->m_permitted = !effect.m_withhold_permit;
  call->m_attempts = 0;
  call->m_dispatcher_unresponsive = false;
  std::shared_ptr<LinkStream> stream;
  try {
    const auto link =
        co_await m_context.m_links->Get(effect.m_address, static_cast<std::uint16_t>(effect.m_port));
    // Node clocks differ, so the deadline field holds the remaining time.
    DispatchRequest request = effect.m_request;
    request.m_deadline = Instant(request.m_deadline - m_context.m_clock->Now());
    const HeaderField dispatch = wire::MakeJsonField(wire::kDispatchField, request);
    const std::string auth = wire::MakeAuthCode(m_context.m_link_keys->front(), dispatch.m_value);
    std::vector<HeaderField> fields = {
        dispatch,
        wire::MakeJsonField(wire::kHeadField, HeadForEndpoint(call->m_exchange->Head())),
        {wire::kHopsField, "0"},
        {wire::kAuthField, auth}};
    if (effect.m_withhold_permit) fields.push_back({wire::kPermitField, "ask"});
    stream = link->Open(wire::kDispatchPath, fields, true);
  } catch (const LinkError&) {
    co_return ForwardOutcome::kConnectFailed;
  }
  call->m_stream = stream;
  const Duration left = effect.m_request.m_deadline + kDeadlineGrace - m_context.m_clock->Now();
  asio::co_spawn(m_context.m_executor, SendBody(call, stream, effect.m_withhold_permit), asio::detached);
  StartTimer(call, left);
  ForwardOutcome outcome = ForwardOutcome::kLinkLost;
  bool response_started = false;
  try {
    outcome = co_await RelayResponse(call, stream, &response_started);
  } catch (const LinkError&) {
    outcome = call->m_timed_out ? ForwardOutcome::kTimedOut : ForwardOutcome::kLinkLost;
    if (call->m_caller_left) outcome = ForwardOutcome::kCallerLeft;
  }
  if (response_started && outcome != ForwardOutcome::kResponded) {
    // Part of the response has been sent: closing the connection marks it as incomplete.
    m_context.m_metrics->RecordResponse("BROKEN_OFF");
    call->m_exchange->Abort();
    outcome = ForwardOutcome::kResponded;
  }
  call->m_timer.cancel();
  call->m_attempts = stream->InterimResponses();
  call->m_dispatcher_unresponsive = stream->PeerUnresponsive();
  // The rest of the request body is no longer needed.
  stream->Reset();
  call->m_stream.reset();
  co_return outcome;
}

asio::awaitable<ForwardOutcome> EntryHandler::RelayResponse(std::shared_ptr<Call> call,
                                                            std::shared_ptr<LinkStream> stream,
                                                            bool* response_started) {
  co_await stream->WaitHeaders();
  ResponseHead head;
  try {
    head = wire::ParseResponseHead(stream->Headers());
  } catch (const Error&) {
    throw LinkError("malformed response head from a dispatcher");
  }
  const auto code = static_cast<ResultCode>(head.m_code);
  const bool passed_on = code == ResultCode::kNotReady || code == ResultCode::kOtherPart;
  call->m_maybe_ran_elsewhere = passed_on && head.m_maybe_ran;
  if (code == ResultCode::kNotReady) co_return ForwardOutcome::kHandedBack;
  if (code == ResultCode::kOtherPart) {
    call->m_split = std::move(head.m_split);
    call->m_part_full = head.m_part_full;
    co_return ForwardOutcome::kRedirected;
  }
  if (!head.m_receipt.empty()) m_context.m_journal->AddReceipt(call->m_id, head.m_receipt);
  if (code != ResultCode::kOk) {
    *response_started = true;
    co_await SendResult(call, head);
    co_return ForwardOutcome::kResponded;
  }
  std::vector<HeaderField> headers = ResponseHeaders(*call, head);
  // A response that fits the buffer is sent only when it is complete; a longer one is streamed.
  std::string body;
  if (head.m_content_length > 0)
    body.reserve(std::min(kMaxBufferedResponse, static_cast<std::size_t>(head.m_content_length)));
  MemoryCharge charge(call->m_exchange->Memory(), MemoryKind::kResponse, 0);
  bool complete = false;
  while (!complete && body.size() <= kMaxBufferedResponse) {
    std::string chunk = co_await stream->Read();
    complete = chunk.empty();
    body += chunk;
    charge.Resize(body.size());
  }
  *response_started = true;
  m_context.m_metrics->RecordResponse("OK");
  call->m_result = "OK";
  call->m_status = head.m_status;
  // Where a response has no body, its length is the one that the endpoint named.
  const bool has_body =
      ContentOfResponse(call->m_exchange->Head().m_method, head.m_status) == ResponseContent::kBody;
  if (complete && has_body) {
    co_await call->m_exchange->Send(head.m_status, std::move(headers), std::move(body));
    co_return ForwardOutcome::kResponded;
  }
  co_await call->m_exchange->Begin(head.m_status, std::move(headers), head.m_content_length);
  while (!complete && !body.empty()) {
    co_await call->m_exchange->Write(std::move(body));
    body = co_await stream->Read();
    charge.Resize(body.size());
  }
  co_await call->m_exchange->End();
  co_return ForwardOutcome::kResponded;
}

std::vector<HeaderField> EntryHandler::ResponseHeaders(const Call& call, const ResponseHead& head) {
  std::vector<HeaderField> headers;
  for (const auto& header : head.m_headers) {
    if (!IsStrippedHeader(header.m_name)) headers.push_back(header);
  }
  for (auto& field : m_context.m_dialect->ForwardedResponseFields(head, call.m_id))
    headers.push_back(std::move(field));
  return headers;
}

asio::awaitable<void> EntryHandler::SendResult(std::shared_ptr<Call> call, ResponseHead head) {
  const auto code = static_cast<ResultCode>(head.m_code);
  const ResultInfo& info = GetResultInfo(code);
  const json::object body{{"code", static_cast<int>(code)},
                          {"result", info.m_name},
                          {"text", info.m_text},
                          {"request_id", call->m_id}};
  m_context.m_metrics->RecordResponse(std::string(info.m_name));
  call->m_result = info.m_name;
  call->m_maybe_ran = head.m_maybe_ran;
  call->m_retry_after_ms = head.m_retry_after_ms;
  call->m_status = m_context.m_dialect->StatusOf(code, head.m_maybe_ran);
  std::vector<HeaderField> fields =
      m_context.m_dialect->LocalResponseFields(head, call->m_id, call->m_metadata);
  co_await call->m_exchange->Send(call->m_status, std::move(fields), json::serialize(body) + "\n");
}

void EntryHandler::LogRequest(const Call& call) {
  m_context.m_log->Write("request_ended",
                         {{"request", call.m_metadata.m_request_id},
                          {"internal_id", call.m_id},
                          {"method", call.m_exchange->Head().m_method},
                          {"service", call.m_service},
                          {"class", call.m_class_name},
                          {"result", call.m_result},
                          {"status", call.m_status},
                          {"maybe_ran", call.m_maybe_ran},
                          {"retry_after_ms", call.m_retry_after_ms},
                          {"latency_ms", (m_context.m_clock->Now() - call.m_received).count() / 1000},
                          {"patience_ms", call.m_metadata.m_patience_ms},
                          {"dispatcher", call.m_dispatcher},
                          {"forwards", call.m_forwards},
                          {"revision", call.m_revision},
                          {"connection", call.m_exchange->Connection()},
                          {"closes_connection", call.m_exchange->AnnouncedClose()}});
}

void EntryHandler::LogForward(const Call& call, const ForwardRequest& forward, ForwardOutcome outcome) {
  m_context.m_log->Write("forward_failed", {{"request", call.m_metadata.m_request_id},
                                            {"internal_id", call.m_id},
                                            {"dispatcher", forward.m_node},
                                            {"outcome", EnumName(outcome)},
                                            {"permitted", call.m_permitted},
                                            {"attempts", call.m_attempts},
                                            {"silent", call.m_dispatcher_unresponsive},
                                            {"part_full", call.m_part_full},
                                            {"split_version", call.m_split.m_version},
                                            {"forwards", call.m_forwards}});
}

}  // namespace fescueramp
