#include "fescueramp/daemon/entry_handler.h"

#include <boost/algorithm/string.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <iomanip>
#include <sstream>

#include "fescueramp/daemon/wire.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxHeldAnswer = 256 * 1024;  ///< Bytes of an answer held until it is whole.
constexpr std::string_view kApiKeyField = "x-api-key";
constexpr Duration kDeadlineGrace =
    std::chrono::milliseconds(8);  ///< Time for the dispatcher's own last answer.

RequestHead CleanHead(const RequestHead& head) {
  RequestHead clean{head.m_method, head.m_target, {}, head.m_content_length};
  // Fields that the caller's own Connection field names are hop-by-hop too.
  std::vector<std::string> named;
  const std::string connection = ToLower(FindHeader(head.m_headers, "connection"));
  boost::algorithm::split(named, connection, [](char c) { return c == ',' || c == ' '; });
  for (const auto& header : head.m_headers) {
    const std::string name = ToLower(header.m_name);
    const bool is_named = std::find(named.begin(), named.end(), name) != named.end();
    // The key is the caller's secret; the endpoint gets the account's name instead.
    if (!IsStrippedHeader(name) && !is_named && name != kApiKeyField) clean.m_headers.push_back(header);
  }
  return clean;
}

constexpr std::int64_t kServerErrors = 500;

std::string KeyHash(const RequestHead& head) {
  std::string_view key = FindHeader(head.m_headers, kApiKeyField);
  return key.empty() ? std::string() : Sha256Hex(key);
}

}  // namespace

EntryHandler::Call::Call(const asio::any_io_executor& executor, std::shared_ptr<HttpExchange> its_exchange)
    : m_exchange(std::move(its_exchange)), m_commanded(executor), m_timer(executor) {}

EntryHandler::EntryHandler(HandlerContext context) : m_context(std::move(context)) {
  // Ids of an earlier run of this node must not come again.
  m_next_id = static_cast<std::uint64_t>(m_context.m_clock->Now().time_since_epoch().count());
}

std::string EntryHandler::NextId() {
  std::ostringstream id;
  id << m_context.m_node << '-' << std::hex << m_next_id++;
  return id.str();
}

bool EntryHandler::Served(const Call& call) { return call.m_result == "OK" && call.m_status < kServerErrors; }

template <typename T>
void EntryHandler::Enqueue(const T& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  call->second->m_commands.emplace_back(effect);
  call->second->m_commanded.Notify();
}

void EntryHandler::Run(const ForwardRequest& effect) { Enqueue(effect); }
void EntryHandler::Run(const RefuseRequest& effect) { Enqueue(effect); }

asio::awaitable<void> EntryHandler::Handle(std::shared_ptr<HttpExchange> exchange) {
  const auto call = std::make_shared<Call>(m_context.m_executor, exchange);
  call->m_id = NextId();
  call->m_received = m_context.m_clock->Now();
  m_calls[call->m_id] = call;
  const RequestHead& head = exchange->Head();
  call->m_terms = m_context.m_dialect->ReadCallerMetadata(head);
  m_context.m_sink->Post(RequestReceived{call->m_id, head.m_method, head.m_target, KeyHash(head),
                                         std::string(FindHeader(head.m_headers, "idempotency-key")),
                                         std::max<std::int64_t>(0, head.m_content_length),
                                         std::string(FindHeader(head.m_headers, "host")),
                                         call->m_terms.m_request_id, call->m_terms.m_patience_ms});
  bool caller_left = false;
  try {
    co_await Serve(call);
  } catch (const std::exception&) {
    caller_left = true;
  }
  if (caller_left) {
    if (call->m_stream) call->m_stream->Reset();
    m_context.m_metrics->AddAnswer("CALLER_LEFT");
    call->m_result = "CALLER_LEFT";
    m_context.m_sink->Post(ForwardEnded{call->m_id, {}, ForwardOutcome::kCallerLeft, false, false});
    exchange->Abort();
  }
  m_context.m_metrics->AddLatency(call->m_class_name, call->m_group,
                                  m_context.m_clock->Now() - call->m_received);
  LogRequest(*call);
  m_calls.erase(call->m_id);
}

void EntryHandler::StartBody(const std::shared_ptr<Call>& call, std::int64_t max_bytes) {
  call->m_body = std::make_shared<ReplayBody>(m_context.m_executor, max_bytes);
  const auto watch = [weak = std::weak_ptr(call)] {
    const auto self = weak.lock();
    if (!self) return;
    self->m_exchange->WatchForClose([weak] {
      if (const auto left = weak.lock()) {
        left->m_caller_left = true;
        if (left->m_stream) left->m_stream->Reset();
      }
    });
  };
  if (call->m_exchange->Head().m_content_length == 0) {
    call->m_body->SetEmpty();
    return watch();
  }
  call->m_body->Start([exchange = call->m_exchange] { return exchange->ReadBody(); }, watch);
}

asio::awaitable<void> EntryHandler::Serve(std::shared_ptr<Call> call) {
  while (true) {
    while (call->m_commands.empty()) co_await call->m_commanded.Wait();
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
    if (!call->m_body) StartBody(call, forward.m_max_body_bytes);
    const ForwardOutcome outcome = co_await Forward(call, forward);
    const bool too_long = call->m_body->TooLong();
    const bool over =
        outcome == ForwardOutcome::kAnswered || outcome == ForwardOutcome::kCallerLeft || too_long;
    const ForwardOutcome told = too_long ? ForwardOutcome::kCallerLeft : outcome;
    if (outcome != ForwardOutcome::kAnswered) LogForward(*call, forward, outcome);
    m_context.m_sink->Post(ForwardEnded{call->m_id, forward.m_node, told, call->m_body->Replayable(),
                                        call->m_permitted, call->m_attempts, std::exchange(call->m_split, {}),
                                        std::exchange(call->m_part_full, false), Served(*call),
                                        call->m_silent});
    if (too_long) {
      ResponseHead result;
      result.m_code = static_cast<std::int64_t>(ResultCode::kBodyTooLarge);
      co_await SendResult(call, result);
    }
    if (outcome == ForwardOutcome::kCallerLeft && !too_long) call->m_exchange->Abort();
    if (over) co_return;
  }
}

asio::awaitable<void> EntryHandler::SendBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream,
                                             bool withhold_permit) {
  std::size_t cursor = 0;
  try {
    if (withhold_permit) co_await stream->WaitForInterimResponses(1);
    // From here on the work may start; nothing else may start it.
    call->m_permitted = true;
    if (withhold_permit) stream->KeepOpenWhileUnresponsive();
    while (true) {
      std::string part = co_await call->m_body->Read(cursor);
      if (part.empty()) break;
      co_await stream->Write(std::move(part));
    }
    stream->Finish();
  } catch (const std::exception&) {
    // Either the stream is gone, which its reader sees, or the body is: then the dispatcher must not wait for
    // it.
    const bool body_failed = call->m_body->Failed() || call->m_body->TooLong();
    if (body_failed) call->m_caller_left = !call->m_body->TooLong();
    if (body_failed) stream->Reset();
  }
}

void EntryHandler::StartTimer(const std::shared_ptr<Call>& call, Duration left) {
  call->m_timer.expires_after(left);
  call->m_timer.async_wait([weak = std::weak_ptr(call)](const boost::system::error_code& ec) {
    const auto late = weak.lock();
    if (ec || !late || !late->m_stream) return;
    late->m_timed_out = true;
    late->m_stream->Reset();
  });
}

asio::awaitable<ForwardOutcome> EntryHandler::Forward(std::shared_ptr<Call> call, ForwardRequest effect) {
  if (call->m_caller_left) co_return ForwardOutcome::kCallerLeft;
  call->m_permitted = !effect.m_withhold_permit;
  call->m_attempts = 0;
  call->m_silent = false;
  std::shared_ptr<LinkStream> stream;
  try {
    const auto link =
        co_await m_context.m_links->Get(effect.m_address, static_cast<std::uint16_t>(effect.m_port));
    // Clocks of nodes differ: the deadline travels as the time that is left.
    DispatchRequest request = effect.m_request;
    request.m_deadline = Instant(request.m_deadline - m_context.m_clock->Now());
    const HeaderField dispatch = wire::JsonField(wire::kDispatchField, request);
    const std::string auth = wire::MakeAuthCode(m_context.m_link_keys->front(), dispatch.m_value);
    std::vector<HeaderField> fields = {dispatch,
                                       wire::JsonField(wire::kHeadField, CleanHead(call->m_exchange->Head())),
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
  bool answer_started = false;
  try {
    outcome = co_await RelayAnswer(call, stream, &answer_started);
  } catch (const LinkError&) {
    outcome = call->m_timed_out ? ForwardOutcome::kTimedOut : ForwardOutcome::kLinkLost;
    if (call->m_caller_left) outcome = ForwardOutcome::kCallerLeft;
  }
  if (answer_started && outcome != ForwardOutcome::kAnswered) {
    // The caller has part of an answer: it must see that the answer broke off.
    m_context.m_metrics->AddAnswer("BROKEN_OFF");
    call->m_exchange->Abort();
    outcome = ForwardOutcome::kAnswered;
  }
  call->m_timer.cancel();
  call->m_attempts = stream->InterimResponses();
  call->m_silent = stream->PeerUnresponsive();
  // What is left of the body is not wanted any more.
  stream->Reset();
  call->m_stream.reset();
  co_return outcome;
}

asio::awaitable<ForwardOutcome> EntryHandler::RelayAnswer(std::shared_ptr<Call> call,
                                                          std::shared_ptr<LinkStream> stream,
                                                          bool* answer_started) {
  co_await stream->WaitHeaders();
  ResponseHead head;
  try {
    head = wire::FromField<ResponseHead>(stream->Headers(), wire::kAnswerField);
  } catch (const Error&) {
    throw LinkError("malformed answer from a dispatcher");
  }
  const auto code = static_cast<ResultCode>(head.m_code);
  if (code == ResultCode::kNotReady) co_return ForwardOutcome::kHandedBack;
  if (code == ResultCode::kOtherPart) {
    call->m_split = std::move(head.m_split);
    call->m_part_full = head.m_part_full;
    co_return ForwardOutcome::kRedirected;
  }
  if (!head.m_receipt.empty()) m_context.m_journal->AddReceipt(call->m_id, head.m_receipt);
  if (code != ResultCode::kOk) {
    *answer_started = true;
    co_await SendResult(call, head);
    co_return ForwardOutcome::kAnswered;
  }
  std::vector<HeaderField> headers = AnswerHeaders(*call, head);
  // A short answer goes out only when it is whole; a long one as it comes.
  std::string body;
  bool whole = false;
  while (!whole && body.size() <= kMaxHeldAnswer) {
    std::string part = co_await stream->Read();
    whole = part.empty();
    body += part;
  }
  *answer_started = true;
  m_context.m_metrics->AddAnswer("OK");
  call->m_result = "OK";
  call->m_status = head.m_status;
  if (whole) {
    co_await call->m_exchange->Send(head.m_status, std::move(headers), std::move(body));
    co_return ForwardOutcome::kAnswered;
  }
  co_await call->m_exchange->Begin(head.m_status, std::move(headers), head.m_content_length);
  while (!body.empty()) {
    co_await call->m_exchange->Write(std::move(body));
    body = co_await stream->Read();
  }
  co_await call->m_exchange->End();
  co_return ForwardOutcome::kAnswered;
}

std::vector<HeaderField> EntryHandler::AnswerHeaders(const Call& call, const ResponseHead& head) {
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
  m_context.m_metrics->AddAnswer(std::string(info.m_name));
  call->m_result = info.m_name;
  call->m_maybe_ran = head.m_maybe_ran;
  call->m_retry_after_ms = head.m_retry_after_ms;
  call->m_status = m_context.m_dialect->StatusOf(code, head.m_maybe_ran);
  std::vector<HeaderField> fields = m_context.m_dialect->LocalResponseFields(head, call->m_id, call->m_terms);
  co_await call->m_exchange->Send(call->m_status, std::move(fields), json::serialize(body) + "\n");
}

void EntryHandler::LogRequest(const Call& call) {
  m_context.m_log->Write("request_ended",
                         {{"request", call.m_terms.m_request_id},
                          {"internal_id", call.m_id},
                          {"method", call.m_exchange->Head().m_method},
                          {"service", call.m_service},
                          {"class", call.m_class_name},
                          {"result", call.m_result},
                          {"status", call.m_status},
                          {"maybe_ran", call.m_maybe_ran},
                          {"retry_after_ms", call.m_retry_after_ms},
                          {"latency_ms", (m_context.m_clock->Now() - call.m_received).count() / 1000},
                          {"patience_ms", call.m_terms.m_patience_ms},
                          {"dispatcher", call.m_dispatcher},
                          {"forwards", call.m_forwards},
                          {"revision", call.m_revision}});
}

void EntryHandler::LogForward(const Call& call, const ForwardRequest& forward, ForwardOutcome outcome) {
  m_context.m_log->Write("forward_failed", {{"request", call.m_terms.m_request_id},
                                            {"internal_id", call.m_id},
                                            {"dispatcher", forward.m_node},
                                            {"outcome", EnumName(outcome)},
                                            {"permitted", call.m_permitted},
                                            {"attempts", call.m_attempts},
                                            {"silent", call.m_silent},
                                            {"part_full", call.m_part_full},
                                            {"split_version", call.m_split.m_version},
                                            {"forwards", call.m_forwards}});
}

}  // namespace fescueramp
