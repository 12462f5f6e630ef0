#include "fescueramp/daemon/dispatch_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fescueramp/daemon/wire.h"
#include "fescueramp/journal/receipt.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxHeldAnswer = 256 * 1024;  ///< Bytes of an answer held until it is whole.
constexpr auto kConnectTimeout = std::chrono::milliseconds(500);
constexpr auto kCancelSettle =
    std::chrono::milliseconds(20);  ///< Time for an endpoint to see a closed connection.
constexpr std::int64_t kServerErrors = 500;
constexpr std::int64_t kServiceUnavailable = 503;

}  // namespace

template <typename T>
void DispatchHandler::Enqueue(const T& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  call->second->m_commands.emplace_back(effect);
  call->second->m_commanded.Notify();
}

void DispatchHandler::Run(const StartAttempt& effect) { Enqueue(effect); }
void DispatchHandler::Run(const FinishRequest& effect) { Enqueue(effect); }
void DispatchHandler::Run(const DeliverAnswer& effect) { Enqueue(effect); }
void DispatchHandler::Run(const RelayRequest& effect) { Enqueue(effect); }

void DispatchHandler::Run(const CancelAttempt& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  call->second->m_cancelled = true;
  if (call->second->m_connection) call->second->m_connection->m_connection.Close();
}

asio::awaitable<void> DispatchHandler::Handle(std::shared_ptr<LinkStream> stream) {
  const auto call = std::make_shared<Call>(m_context.m_executor, stream);
  std::int64_t hops = 0;
  try {
    call->m_request = wire::FromField<DispatchRequest>(stream->Headers(), wire::kDispatchField);
    call->m_head = wire::FromField<RequestHead>(stream->Headers(), wire::kHeadField);
    hops = FindHeader(stream->Headers(), wire::kHopsField) == "0" ? 0 : 1;
  } catch (const Error&) {
    stream->Reset();
    co_return;
  }
  const std::string id = call->m_request.m_request_id;
  if (m_calls.contains(id)) {
    stream->Reset();
    co_return;
  }
  m_calls[id] = call;
  call->m_body = std::make_shared<ReplayBody>(m_context.m_executor, std::numeric_limits<std::int64_t>::max());
  if (call->m_head.m_content_length == 0)
    call->m_body->SetEmpty();
  else
    call->m_body->Start([stream] { return stream->Read(); }, [] {});
  stream->SetBrokenHandler([sink = m_context.m_sink, id] { sink->Post(DispatchCancelled{id}); });
  m_context.m_sink->Post(DispatchArrived{call->m_request, hops});
  try {
    co_await Serve(call);
  } catch (const std::exception&) {
    // The node that passed the request is gone; the reducer heard of it from the stream.
    call->m_answer_whole = false;
  }
  m_calls.erase(id);
}

asio::awaitable<void> DispatchHandler::Serve(std::shared_ptr<Call> call) {
  while (true) {
    while (call->m_commands.empty()) co_await call->m_commanded.Wait();
    const Command command = std::move(call->m_commands.front());
    call->m_commands.pop_front();
    if (const auto* start = std::get_if<StartAttempt>(&command)) {
      const AttemptResult result = co_await RunAttempt(call, *start);
      m_context.m_metrics->AddAttempt(std::string(EnumName(result.m_outcome)));
      m_context.m_sink->Post(AttemptEnded{result});
    } else if (const auto* relay = std::get_if<RelayRequest>(&command)) {
      if (co_await Relay(call, *relay)) co_return;
    } else if (const auto* finish = std::get_if<FinishRequest>(&command)) {
      if (call->m_answer_started) {
        call->m_stream->Reset();
        co_return;
      }
      AnswerHead head;
      head.m_code = finish->m_code;
      head.m_retry_after_ms = finish->m_retry_after_ms;
      head.m_recorded_status = finish->m_recorded_status;
      head.m_receipt = Record(finish->m_record);
      SendAnswerHead(*call, std::move(head));
      call->m_stream->Finish();
      co_return;
    } else {
      co_await Deliver(call);
      co_return;
    }
  }
}

std::string DispatchHandler::Record(const DecisionRecord& record) {
  if (!m_context.m_record_decisions) return {};
  m_context.m_journal->Add(record);
  return MakeReceipt(record, m_context.m_receipt_keys->front());
}

void DispatchHandler::SendAnswerHead(Call& call, AnswerHead head) {
  if (head.m_receipt.empty()) head.m_receipt = call.m_receipt;
  call.m_stream->SendHeaders({{":status", "200"}, wire::JsonField(wire::kAnswerField, head)});
}

asio::awaitable<void> DispatchHandler::Deliver(std::shared_ptr<Call> call) {
  if (!call->m_answer_started) {
    SendAnswerHead(*call, call->m_answer);
    co_await call->m_stream->Write(std::move(call->m_answer_body));
  }
  if (call->m_answer_whole)
    call->m_stream->Finish();
  else
    call->m_stream->Reset();
}

asio::awaitable<AttemptResult> DispatchHandler::RunAttempt(std::shared_ptr<Call> call, StartAttempt effect) {
  AttemptResult result{
      effect.m_request_id, effect.m_attempt, AttemptOutcome::kAnswered, 0, {}, true, false, false};
  call->m_receipt = Record(effect.m_record);
  if (effect.m_attempt == 1) {
    m_context.m_metrics->AddQueueWait(effect.m_record.m_class_name,
                                      effect.m_record.m_decided - effect.m_record.m_arrival);
  }
  call->m_answer_body.clear();
  const auto port = static_cast<std::uint16_t>(effect.m_port);
  call->m_connection = m_context.m_endpoints->Take(effect.m_address, port, effect.m_fresh_connection);
  const Instant started = m_context.m_clock->Now();
  bool sent = false;
  bool failed = false;
  try {
    co_await call->m_connection->m_connection.Connect(kConnectTimeout);
    // The last look at the clock before anything is sent: a node that was paused must not send late.
    if (m_context.m_clock->Now() >= effect.m_deadline) throw HttpError("deadline has passed", false);
    sent = true;
    co_await Exchange(call, effect, result);
  } catch (const HttpError&) {
    failed = true;
  } catch (const std::exception&) {
    // The request body broke off: its caller is gone.
    failed = true;
    call->m_cancelled = true;
    call->m_connection->m_connection.Close();
  }
  result.m_latency = m_context.m_clock->Now() - started;
  if (failed) {
    result.m_status = 0;
    result.m_outcome = FailureOutcome(*call, sent);
  }
  if (result.m_outcome == AttemptOutcome::kSilent || result.m_outcome == AttemptOutcome::kBroken) {
    m_context.m_endpoints->Drop(effect.m_address, port);
  }
  if (result.m_outcome == AttemptOutcome::kCancelled) co_await Sleep(kCancelSettle);
  if (!failed) m_context.m_endpoints->Return(effect.m_address, port, call->m_connection);
  call->m_connection.reset();
  result.m_body_replayable = call->m_body->Replayable();
  result.m_answer_started = call->m_answer_started;
  co_return result;
}

AttemptOutcome DispatchHandler::FailureOutcome(const Call& call, bool sent) {
  if (call.m_cancelled) return AttemptOutcome::kCancelled;
  if (!sent) return AttemptOutcome::kConnectFailed;
  if (!call.m_connection->m_connection.TimedOut()) return AttemptOutcome::kBroken;
  return call.m_connection->m_reused ? AttemptOutcome::kSilent : AttemptOutcome::kTimedOut;
}

std::chrono::milliseconds DispatchHandler::TimeLeft(const StartAttempt& effect) const {
  const Duration left = effect.m_deadline - m_context.m_clock->Now();
  const Duration wait =
      std::max<Duration>(std::min(left, effect.m_progress_timeout), std::chrono::milliseconds(1));
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

asio::awaitable<void> DispatchHandler::Exchange(std::shared_ptr<Call> call, const StartAttempt& effect,
                                                AttemptResult& result) {
  co_await SendRequest(call, effect);
  co_await ReadAnswer(call, effect, result);
}

asio::awaitable<void> DispatchHandler::SendRequest(std::shared_ptr<Call> call, const StartAttempt& effect) {
  HttpConnection& connection = call->m_connection->m_connection;
  RequestHead head = call->m_head;
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.m_deadline - m_context.m_clock->Now());
  head.m_headers.push_back({"Fescue-Request-Id", call->m_request.m_request_id});
  head.m_headers.push_back({"Fescue-Account", call->m_request.m_account});
  head.m_headers.push_back({"Fescue-Attempt", std::to_string(effect.m_attempt)});
  head.m_headers.push_back({"Fescue-Deadline-Ms", std::to_string(deadline.count())});
  co_await connection.SendHead(std::move(head), TimeLeft(effect));
  if (call->m_head.m_content_length == 0) co_return;
  std::size_t cursor = 0;
  while (true) {
    std::string part = co_await call->m_body->Read(cursor);
    if (part.empty()) break;
    co_await connection.SendBody(std::move(part), TimeLeft(effect));
  }
  co_await connection.FinishBody(TimeLeft(effect));
}

asio::awaitable<void> DispatchHandler::ReadAnswer(std::shared_ptr<Call> call, const StartAttempt& effect,
                                                  AttemptResult& result) {
  HttpConnection& connection = call->m_connection->m_connection;
  AnswerHead head = co_await connection.ReadHead(TimeLeft(effect));
  result.m_status = head.m_status;
  result.m_draining = !FindHeader(head.m_headers, "endpoint-draining").empty();
  const bool shed =
      head.m_status == kServiceUnavailable && !FindHeader(head.m_headers, "endpoint-shed").empty();
  if (shed)
    result.m_outcome = AttemptOutcome::kShed;
  else if (head.m_status >= kServerErrors)
    result.m_outcome = AttemptOutcome::kServerError;
  call->m_answer = std::move(head);
  call->m_answer_whole = false;
  std::string body;
  while (true) {
    std::string part = co_await connection.ReadBody(TimeLeft(effect));
    if (part.empty()) break;
    if (call->m_answer_started) {
      co_await call->m_stream->Write(std::move(part));
      continue;
    }
    body += part;
    if (body.size() <= kMaxHeldAnswer || shed) continue;
    // Too long to hold until it is whole: from here on it can't be retried.
    call->m_answer_started = true;
    SendAnswerHead(*call, call->m_answer);
    co_await call->m_stream->Write(std::exchange(body, {}));
  }
  call->m_answer_whole = true;
  call->m_answer_body = std::move(body);
}

asio::awaitable<void> DispatchHandler::RelayBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> to) {
  std::size_t cursor = 0;
  try {
    while (true) {
      std::string part = co_await call->m_body->Read(cursor);
      if (part.empty()) break;
      co_await to->Write(std::move(part));
    }
    to->Finish();
  } catch (const std::exception&) {
    to->Reset();
  }
}

asio::awaitable<std::shared_ptr<LinkStream>> DispatchHandler::OpenRelay(std::shared_ptr<Call> call,
                                                                        RelayRequest effect) {
  std::shared_ptr<LinkStream> to;
  try {
    const auto link =
        co_await m_context.m_links->Get(effect.m_address, static_cast<std::uint16_t>(effect.m_port));
    const HeaderField dispatch = wire::JsonField(wire::kDispatchField, call->m_request);
    to = link->Open(wire::kDispatchPath,
                    {dispatch,
                     wire::JsonField(wire::kHeadField, call->m_head),
                     {wire::kHopsField, "1"},
                     {wire::kAuthField, wire::AuthCode(m_context.m_link_keys->front(), dispatch.m_value)}},
                    true);
  } catch (const LinkError&) {
    to = nullptr;
  }
  co_return to;
}

asio::awaitable<void> DispatchHandler::CopyAnswer(std::shared_ptr<Call> call,
                                                  std::shared_ptr<LinkStream> from) {
  co_await from->WaitHeaders();
  const auto answer = wire::FromField<AnswerHead>(from->Headers(), wire::kAnswerField);
  call->m_answer_started = true;
  call->m_stream->SendHeaders({{":status", "200"}, wire::JsonField(wire::kAnswerField, answer)});
  for (std::string part = co_await from->Read(); !part.empty(); part = co_await from->Read()) {
    co_await call->m_stream->Write(std::move(part));
  }
}

asio::awaitable<bool> DispatchHandler::Relay(std::shared_ptr<Call> call, RelayRequest effect) {
  const std::shared_ptr<LinkStream> to = co_await OpenRelay(call, effect);
  bool whole = false;
  if (to) {
    call->m_stream->SetBrokenHandler([to] { to->Reset(); });
    asio::co_spawn(m_context.m_executor, RelayBody(call, to), asio::detached);
    try {
      co_await CopyAnswer(call, to);
      whole = true;
    } catch (const std::exception&) {
      whole = false;
    }
  }
  if (!whole && !call->m_answer_started && call->m_body->Replayable() && !call->m_stream->Broken()) {
    // The owner went away before it answered. What must not repeat is safe here too: its claim is in the log.
    call->m_stream->SetBrokenHandler(
        [sink = m_context.m_sink, id = effect.m_request_id] { sink->Post(DispatchCancelled{id}); });
    m_context.m_sink->Post(RelayFailed{effect.m_request_id, effect.m_node});
    co_return false;
  }
  if (whole)
    call->m_stream->Finish();
  else
    call->m_stream->Reset();
  m_context.m_sink->Post(DispatchCancelled{effect.m_request_id});
  co_return true;
}

}  // namespace fescueramp
