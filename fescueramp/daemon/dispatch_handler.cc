#include "fescueramp/daemon/dispatch_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "fescueramp/core/hash.h"
#include "fescueramp/daemon/wire.h"
#include "fescueramp/dispatch/retry_after_delay.h"
#include "fescueramp/journal/receipt.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxBufferedResponse = 256 * 1024;   ///< Bytes; a longer response is streamed.
constexpr std::chrono::milliseconds kConnectTimeout{250};  ///< Several round trips between regions.
constexpr auto kCancelDelay =
    std::chrono::milliseconds(20);  ///< Time for an endpoint to notice that the connection was closed.

/// Retry delay of a request that the memory budget refuses: the time in which a stalled connection is
/// noticed.
constexpr Duration kMemoryRetryDelay = std::chrono::seconds(1);

}  // namespace

template <typename T>
void DispatchHandler::Enqueue(const T& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  call->second->m_commands.emplace_back(effect);
  call->second->m_command_queued.Notify();
}

void DispatchHandler::Run(const StartAttempt& effect) { Enqueue(effect); }
void DispatchHandler::Run(const FinishRequest& effect) { Enqueue(effect); }
void DispatchHandler::Run(const DeliverResponse& effect) { Enqueue(effect); }
void DispatchHandler::Run(const RelayRequest& effect) { Enqueue(effect); }

void DispatchHandler::Run(const CancelAttempt& effect) {
  const auto call = m_calls.find(effect.m_request_id);
  if (call == m_calls.end()) return;
  const auto attempt = call->second->m_attempts.find(effect.m_attempt);
  if (attempt == call->second->m_attempts.end()) return;
  attempt->second->m_cancelled = true;
  if (attempt->second->m_connection) attempt->second->m_connection->m_connection.Close();
}

asio::awaitable<void> DispatchHandler::Handle(std::shared_ptr<LinkStream> stream) {
  const auto call = std::make_shared<Call>(m_context.m_executor, stream);
  std::int64_t hops = 0;
  try {
    call->m_request = wire::ParseJsonField<DispatchRequest>(stream->Headers(), wire::kDispatchField);
    // Node clocks differ, so the deadline field holds the remaining time.
    call->m_request.m_deadline = m_context.m_clock->Now() + call->m_request.m_deadline.time_since_epoch();
    call->m_head = wire::ParseJsonField<RequestHead>(stream->Headers(), wire::kHeadField);
    hops = FindHeader(stream->Headers(), wire::kHopsField) == "0" ? 0 : 1;
    call->m_permit_needed = !FindHeader(stream->Headers(), wire::kPermitField).empty();
  } catch (const Error&) {
    stream->Reset();
    co_return;
  }
  const std::string id = call->m_request.m_request_id;
  if (m_calls.contains(id)) {
    stream->Reset();
    co_return;
  }
  if (!AdmitToMemory(*call)) {
    co_await stream->WaitWritten();
    co_return;
  }
  m_calls[id] = call;
  call->m_body = std::make_shared<ReplayBody>(m_context.m_executor, std::numeric_limits<std::int64_t>::max());
  // An empty body is complete at once, unless its end is the permit that the entry host withholds.
  if (call->m_head.m_content_length == 0 && !call->m_permit_needed) {
    call->m_body->SetEmpty();
  } else {
    call->m_body->Charge(Memory(), ReplayBody::ExpectedBytes(call->m_head.m_content_length));
    call->m_body->Start([stream] { return stream->Read(); }, [] {});
  }
  stream->SetBrokenHandler([sink = m_context.m_sink, id] { sink->Post(DispatchCancelled{id}); });
  m_context.m_sink->Post(DispatchArrived{call->m_request, hops});
  try {
    co_await Serve(call);
  } catch (const std::exception&) {
    // The node that forwarded the request is gone; the stream's broken handler has posted DispatchCancelled.
  }
  // A node that stops ends once no request is in progress, and would drop what is not written by then.
  co_await stream->WaitWritten();
  m_calls.erase(id);
}

std::shared_ptr<MemoryAccount> DispatchHandler::Memory() const {
  return m_context.m_memory ? m_context.m_memory->LinkAccount() : nullptr;
}

bool DispatchHandler::AdmitToMemory(Call& call) {
  // The head is held twice: as read, and in the fields of the stream.
  const std::size_t head_bytes = 2 * HeadBytes(call.m_head);
  const std::size_t body_bytes = ReplayBody::ExpectedBytes(call.m_head.m_content_length);
  // A request that may have run elsewhere isn't new, and a refusal would have to say so.
  const auto admission =
      m_context.m_memory && !call.m_request.m_maybe_ran
          ? m_context.m_memory->Admit(head_bytes + body_bytes, call.m_head.m_content_length != 0)
          : MemoryAdmission::kAdmit;
  call.m_head_charge = MemoryCharge(Memory(), MemoryKind::kHead, head_bytes);
  if (admission == MemoryAdmission::kAdmit) return true;
  m_context.m_metrics->RecordMemoryDecision(std::string(EnumName(admission)));
  m_context.m_log->Write("dispatch_refused", {{"request", call.m_request.m_caller_id},
                                              {"internal_id", call.m_request.m_request_id},
                                              {"service", call.m_request.m_service},
                                              {"decision", EnumName(admission)},
                                              {"held_bytes", m_context.m_memory->Load().m_held}});
  ResponseHead head;
  // Codes that all versions of entry hosts know.
  head.m_code = static_cast<std::int64_t>(call.m_request.m_repeatable ? ResultCode::kNotRun
                                                                      : ResultCode::kAttemptNotRun);
  head.m_retry_after_ms =
      RetryAfterDelay(kMemoryRetryDelay, Duration(0), Hash64(call.m_request.m_request_id)) /
      std::chrono::milliseconds(1);
  SendResponseHead(call, std::move(head));
  call.m_stream->Finish();
  return false;
}

asio::awaitable<void> DispatchHandler::Serve(std::shared_ptr<Call> call) {
  while (true) {
    while (call->m_commands.empty()) co_await call->m_command_queued.Wait();
    const Command command = std::move(call->m_commands.front());
    call->m_commands.pop_front();
    if (const auto* start = std::get_if<StartAttempt>(&command)) {
      const auto attempt = std::make_shared<Attempt>();
      call->m_attempts[start->m_attempt] = attempt;
      asio::co_spawn(m_context.m_executor, RunAttempt(call, attempt, *start), asio::detached);
    } else if (const auto* relay = std::get_if<RelayRequest>(&command)) {
      if (co_await Relay(call, *relay)) co_return;
    } else if (const auto* finish = std::get_if<FinishRequest>(&command)) {
      FinishCall(*call, *finish);
      co_return;
    } else {
      co_await Deliver(call, std::get<DeliverResponse>(command).m_attempt);
      co_return;
    }
  }
}

void DispatchHandler::FinishCall(Call& call, const FinishRequest& finish) {
  if (call.m_streamed_attempt > 0) return call.m_stream->Reset();
  ResponseHead head;
  head.m_code = finish.m_code;
  head.m_retry_after_ms = finish.m_retry_after_ms;
  head.m_recorded_status = finish.m_recorded_status;
  head.m_maybe_ran = finish.m_maybe_ran;
  head.m_split = finish.m_split;
  head.m_part_full = finish.m_part_full;
  head.m_receipt = RecordDecision(finish.m_record);
  m_context.m_log->Write("request_finished", {{"request", call.m_request.m_caller_id},
                                              {"internal_id", call.m_request.m_request_id},
                                              {"service", call.m_request.m_service},
                                              {"part_zone", call.m_request.m_part_zone},
                                              {"result", finish.m_record.m_outcome},
                                              {"maybe_ran", finish.m_maybe_ran},
                                              {"retry_after_ms", finish.m_retry_after_ms},
                                              {"attempts", call.m_attempts.size()},
                                              {"retries_left", finish.m_record.m_retries_left},
                                              {"slots", finish.m_record.m_slots},
                                              {"busy", finish.m_record.m_busy},
                                              {"revision", finish.m_record.m_revision}});
  SendResponseHead(call, std::move(head));
  call.m_stream->Finish();
}

std::string DispatchHandler::RecordDecision(const DecisionRecord& record) {
  if (!m_context.m_record_decisions) return {};
  m_context.m_journal->Add(record);
  return m_context.m_receipts ? MakeReceipt(record, m_context.m_receipt_keys->front()) : std::string();
}

void DispatchHandler::LogAttempt(const Call& call, const StartAttempt& effect, const AttemptResult& result) {
  const DecisionRecord& record = effect.m_record;
  m_context.m_log->Write("attempt_ended",
                         {{"request", call.m_request.m_caller_id},
                          {"internal_id", call.m_request.m_request_id},
                          {"entry_host", call.m_request.m_entry_node},
                          {"service", call.m_request.m_service},
                          {"part_zone", call.m_request.m_part_zone},
                          {"route", call.m_request.m_route},
                          {"endpoint", effect.m_endpoint},
                          {"attempt", effect.m_attempt},
                          {"outcome", EnumName(result.m_outcome)},
                          {"status", result.m_status},
                          {"latency_ms", result.m_latency.count() / 1000},
                          {"idle_ms", result.m_idle.count() / 1000},
                          {"statement", EnumName(result.m_statement.m_kind)},
                          {"limit_per_s", ToJson(result.m_statement.m_limit_per_s)},
                          {"leaving", result.m_statement.m_leaving},
                          {"pause_ms", WholeMilliseconds(result.m_statement.m_pause)},
                          {"waited_ms", (record.m_decided - record.m_arrival).count() / 1000},
                          {"rule", EnumName(record.m_rule)},
                          {"doubt_permille", record.m_doubt_permille},
                          {"slots", record.m_slots},
                          {"busy", record.m_busy},
                          {"passed_over", record.m_passed_over.size()},
                          {"revision", record.m_revision}});
}

void DispatchHandler::SendResponseHead(Call& call, ResponseHead head) {
  if (head.m_receipt.empty()) head.m_receipt = call.m_receipt;
  call.m_stream->SendHeaders({{":status", "200"}, wire::MakeJsonField(wire::kResponseField, head)});
}

asio::awaitable<void> DispatchHandler::Deliver(std::shared_ptr<Call> call, std::int64_t attempt_number) {
  const auto attempt = call->m_attempts.at(attempt_number);
  // The caller has part of another attempt's response; resetting the stream marks that response as
  // incomplete.
  if (call->m_streamed_attempt > 0 && call->m_streamed_attempt != attempt_number) {
    call->m_stream->Reset();
    co_return;
  }
  if (call->m_streamed_attempt == 0) {
    SendResponseHead(*call, attempt->m_response_head);
    attempt->m_response_charge.Resize(0);
    co_await call->m_stream->Write(std::move(attempt->m_response_body));
  }
  if (attempt->m_response_complete)
    call->m_stream->Finish();
  else
    call->m_stream->Reset();
}

asio::awaitable<void> DispatchHandler::RunAttempt(std::shared_ptr<Call> call,
                                                  std::shared_ptr<Attempt> attempt, StartAttempt effect) {
  AttemptResult result;
  result.m_request_id = effect.m_request_id;
  result.m_part = PartName(PartOf(call->m_request));
  result.m_attempt = effect.m_attempt;
  call->m_receipt = RecordDecision(effect.m_record);
  if (effect.m_attempt == 1) {
    m_context.m_metrics->RecordQueueWait(effect.m_record.m_class_name,
                                         effect.m_record.m_decided - effect.m_record.m_arrival);
  }
  const auto port = static_cast<std::uint16_t>(effect.m_port);
  const Instant started = m_context.m_clock->Now();
  bool failed = false;
  try {
    // The entry host counts announced attempts, and permits the first one where a permit is needed.
    call->m_stream->SendInterimResponse();
    call->m_attempt_announced = true;
    if (call->m_permit_needed) {
      co_await WaitForPermit(call);
      call->m_stream->KeepOpenWhileUnresponsive();
    }
    if (attempt->m_cancelled) throw HttpError("the attempt was cancelled before the request was sent", false);
    const std::string& id = call->m_request.m_caller_id;
    attempt->m_connection =
        m_context.m_endpoints->Take(effect.m_address, port, id.empty() ? call->m_request.m_request_id : id,
                                    effect.m_fresh_connection, effect.m_most_idle);
    result.m_idle = std::chrono::duration_cast<Duration>(attempt->m_connection->m_idle_before_use);
    co_await attempt->m_connection->m_connection.Connect(std::min(kConnectTimeout, TimeLeft(effect)));
    // Checked right before sending, because the process may have been paused past the deadline.
    if (m_context.m_clock->Now() >= effect.m_deadline)
      throw HttpError("the deadline passed before the request was sent", false);
    attempt->m_sent = true;
    co_await Exchange(call, attempt, effect, result);
  } catch (const HttpError&) {
    failed = true;
  } catch (const std::exception&) {
    // The request body ended early because the caller disconnected.
    failed = true;
    attempt->m_cancelled = true;
    if (attempt->m_connection) attempt->m_connection->m_connection.Close();
  }
  result.m_latency = m_context.m_clock->Now() - started;
  if (failed) {
    result.m_status = 0;
    result.m_outcome = FailureOutcome(*attempt);
  }
  if (result.m_outcome == AttemptOutcome::kCancelled && attempt->m_sent) co_await Sleep(kCancelDelay);
  EndAttempt(call, attempt, effect, result);
}

void DispatchHandler::EndAttempt(const std::shared_ptr<Call>& call, const std::shared_ptr<Attempt>& attempt,
                                 const StartAttempt& effect, const AttemptResult& result) {
  const auto port = static_cast<std::uint16_t>(effect.m_port);
  const bool drop_idle_connections = result.m_outcome == AttemptOutcome::kUnresponsive ||
                                     result.m_outcome == AttemptOutcome::kUnacknowledged ||
                                     result.m_outcome == AttemptOutcome::kBroken ||
                                     result.m_outcome == AttemptOutcome::kMisdirected;
  if (drop_idle_connections) {
    m_context.m_endpoints->Drop(effect.m_address, port);
  } else if (attempt->m_connection && attempt->m_response_complete) {
    m_context.m_endpoints->Return(effect.m_address, port, attempt->m_connection,
                                  std::chrono::milliseconds(attempt->m_keep_alive_ms));
  }
  attempt->m_connection.reset();
  m_context.m_metrics->RecordAttempt(std::string(EnumName(result.m_outcome)));
  LogAttempt(*call, effect, result);
  AttemptResult reported = result;
  reported.m_body_replayable = call->m_body->Replayable();
  reported.m_answer_started = call->m_streamed_attempt > 0;
  m_context.m_sink->Post(AttemptEnded{reported});
}

AttemptOutcome DispatchHandler::FailureOutcome(const Attempt& attempt) {
  if (attempt.m_cancelled) return AttemptOutcome::kCancelled;
  const bool timed_out = attempt.m_connection && attempt.m_connection->m_connection.TimedOut();
  if (!attempt.m_sent) return timed_out ? AttemptOutcome::kUnreachable : AttemptOutcome::kConnectFailed;
  if (attempt.m_connection && attempt.m_connection->m_connection.Unacknowledged()) {
    return AttemptOutcome::kUnacknowledged;
  }
  if (!timed_out) return AttemptOutcome::kBroken;
  return attempt.m_connection->m_reused ? AttemptOutcome::kUnresponsive : AttemptOutcome::kTimedOut;
}

std::chrono::milliseconds DispatchHandler::TimeLeft(const StartAttempt& effect) const {
  const Duration left = effect.m_deadline - m_context.m_clock->Now();
  const Duration wait =
      std::max<Duration>(std::min(left, effect.m_progress_timeout), std::chrono::milliseconds(1));
  return std::chrono::duration_cast<std::chrono::milliseconds>(wait);
}

asio::awaitable<void> DispatchHandler::WaitForPermit(std::shared_ptr<Call> call) {
  // The entry host withholds the body until it permits the work; its first chunk, or its end, is the permit.
  co_await call->m_body->WaitForStart();
}

asio::awaitable<void> DispatchHandler::Exchange(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                                const StartAttempt& effect, AttemptResult& result) {
  co_await SendRequest(call, attempt, effect);
  co_await ReadResponse(call, attempt, effect, result);
}

asio::awaitable<void> DispatchHandler::SendRequest(std::shared_ptr<Call> call,
                                                   std::shared_ptr<Attempt> attempt,
                                                   const StartAttempt& effect) {
  HttpConnection& connection = attempt->m_connection->m_connection;
  RequestHead head = call->m_head;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(effect.m_deadline - m_context.m_clock->Now());
  const DispatchRequest& request = call->m_request;
  attempt->m_metadata = {request.m_request_id,
                         request.m_caller_id,
                         request.m_account,
                         effect.m_endpoint,
                         effect.m_attempt,
                         left.count(),
                         attempt->m_connection->m_reused};
  m_context.m_dialect->AddAttemptFields(attempt->m_metadata, head);
  co_await connection.SendHead(std::move(head), TimeLeft(effect));
  if (call->m_head.m_content_length == 0) co_return;
  std::size_t cursor = 0;
  while (true) {
    std::string chunk = co_await call->m_body->Read(cursor);
    if (chunk.empty()) break;
    const MemoryCharge charge(Memory(), MemoryKind::kBody, chunk.size());
    co_await connection.SendBody(std::move(chunk), TimeLeft(effect));
  }
  co_await connection.FinishBody(TimeLeft(effect));
}

asio::awaitable<void> DispatchHandler::ReadResponse(std::shared_ptr<Call> call,
                                                    std::shared_ptr<Attempt> attempt,
                                                    const StartAttempt& effect, AttemptResult& result) {
  HttpConnection& connection = attempt->m_connection->m_connection;
  const ResponseReader::Time time{effect.m_deadline, effect.m_progress_timeout};
  ResponseReader response_reader(connection, *m_context.m_dialect, *m_context.m_clock, attempt->m_metadata,
                                 time);
  const ResponseInfo response_info = co_await response_reader.ReadHead(attempt->m_response_head);
  if (response_reader.SkippedResponses() > 0) m_context.m_metrics->RecordAttempt("foreign_answer");
  result.m_status = attempt->m_response_head.m_status;
  result.m_statement = response_info.m_statement;
  if (result.m_statement.m_kind == StatementKind::kMalformed)
    m_context.m_metrics->RecordAttempt("malformed_statement");
  attempt->m_keep_alive_ms = response_info.m_idle_ms;
  switch (response_info.m_kind) {
    case ResponseKind::kShed:
      result.m_outcome = AttemptOutcome::kShed;
      break;
    case ResponseKind::kMisdirected:
      result.m_outcome = AttemptOutcome::kMisdirected;
      break;
    case ResponseKind::kServerError:
      result.m_outcome = AttemptOutcome::kServerError;
      break;
    case ResponseKind::kCompleted:
    case ResponseKind::kOtherRequest:
      break;
    case ResponseKind::kInvalid:
      connection.Close();
      throw HttpError("the response is not a valid response of the endpoint", true);
  }
  const bool ran =
      result.m_outcome == AttemptOutcome::kResponded || result.m_outcome == AttemptOutcome::kServerError;
  if (ran)
    co_await ReadResponseBody(call, attempt, effect.m_attempt, response_reader);
  else
    co_await DiscardRefusalBody(attempt, response_reader);
}

asio::awaitable<void> DispatchHandler::DiscardRefusalBody(std::shared_ptr<Attempt> attempt,
                                                          ResponseReader& response_reader) {
  // The body of a refusal is not forwarded. It is read only to reuse the connection, unless it is long.
  std::size_t size = 0;
  try {
    for (std::string chunk = co_await response_reader.ReadBody(); !chunk.empty();
         chunk = co_await response_reader.ReadBody()) {
      size += chunk.size();
      if (size <= kMaxBufferedResponse) continue;
      attempt->m_connection->m_connection.Close();
      co_return;
    }
    attempt->m_response_complete = true;
  } catch (const HttpError&) {
    // The response head held the refusal, so the outcome stands; the connection is not reused.
  }
}

asio::awaitable<void> DispatchHandler::ReadResponseBody(std::shared_ptr<Call> call,
                                                        std::shared_ptr<Attempt> attempt,
                                                        std::int64_t attempt_number,
                                                        ResponseReader& response_reader) {
  std::string body;
  const std::int64_t length = attempt->m_response_head.m_content_length;
  if (length > 0) body.reserve(std::min(kMaxBufferedResponse, static_cast<std::size_t>(length)));
  attempt->m_response_charge = MemoryCharge(Memory(), MemoryKind::kResponse, 0);
  for (std::string chunk = co_await response_reader.ReadBody(); !chunk.empty();
       chunk = co_await response_reader.ReadBody()) {
    if (call->m_streamed_attempt == attempt_number) {
      co_await call->m_stream->Write(std::move(chunk));
      continue;
    }
    body += chunk;
    attempt->m_response_charge.Resize(body.size());
    if (body.size() <= kMaxBufferedResponse) continue;
    if (call->m_streamed_attempt > 0)
      throw HttpError("the response of another attempt is being streamed", true);
    // The response exceeds the buffer. Once part of it is sent, the request can't be retried.
    call->m_streamed_attempt = attempt_number;
    SendResponseHead(*call, attempt->m_response_head);
    attempt->m_response_charge.Resize(0);  // Counted by the stream from here on.
    co_await call->m_stream->Write(std::exchange(body, {}));
  }
  attempt->m_response_complete = true;
  attempt->m_response_body = std::move(body);
}

asio::awaitable<void> DispatchHandler::RelayInterims(std::shared_ptr<Call> call,
                                                     std::shared_ptr<LinkStream> owner_stream) {
  try {
    for (std::int64_t count = 1;; ++count) {
      co_await owner_stream->WaitForInterimResponses(count);
      call->m_attempt_announced = true;
      call->m_stream->SendInterimResponse();
    }
  } catch (const LinkError&) {
    // CopyResponse reads the same stream and handles its end.
  }
}

asio::awaitable<void> DispatchHandler::RelayBody(std::shared_ptr<Call> call,
                                                 std::shared_ptr<LinkStream> owner_stream) {
  std::size_t cursor = 0;
  try {
    while (true) {
      std::string chunk = co_await call->m_body->Read(cursor);
      if (chunk.empty()) break;
      co_await owner_stream->Write(std::move(chunk));
    }
    owner_stream->Finish();
  } catch (const std::exception&) {
    owner_stream->Reset();
  }
}

asio::awaitable<std::shared_ptr<LinkStream>> DispatchHandler::OpenRelay(std::shared_ptr<Call> call,
                                                                        RelayRequest effect) {
  std::shared_ptr<LinkStream> owner_stream;
  try {
    const auto link =
        co_await m_context.m_links->Get(effect.m_address, static_cast<std::uint16_t>(effect.m_port));
    DispatchRequest request = call->m_request;
    request.m_deadline = Instant(request.m_deadline - m_context.m_clock->Now());
    const HeaderField dispatch = wire::MakeJsonField(wire::kDispatchField, request);
    owner_stream =
        link->Open(wire::kDispatchPath,
                   {dispatch,
                    wire::MakeJsonField(wire::kHeadField, call->m_head),
                    {wire::kHopsField, "1"},
                    {call->m_permit_needed ? wire::kPermitField : wire::kNoPermitField, "ask"},
                    {wire::kAuthField, wire::MakeAuthCode(m_context.m_link_keys->front(), dispatch.m_value)}},
                   true);
  } catch (const LinkError&) {
    owner_stream = nullptr;
  }
  co_return owner_stream;
}

asio::awaitable<void> DispatchHandler::CopyResponse(std::shared_ptr<Call> call,
                                                    std::shared_ptr<LinkStream> owner_stream) {
  co_await owner_stream->WaitHeaders();
  const ResponseHead response_head = wire::ParseResponseHead(owner_stream->Headers());
  call->m_streamed_attempt = 1;
  call->m_stream->SendHeaders({{":status", "200"}, wire::MakeJsonField(wire::kResponseField, response_head)});
  for (std::string chunk = co_await owner_stream->Read(); !chunk.empty();
       chunk = co_await owner_stream->Read()) {
    co_await call->m_stream->Write(std::move(chunk));
  }
}

asio::awaitable<bool> DispatchHandler::Relay(std::shared_ptr<Call> call, RelayRequest effect) {
  const std::shared_ptr<LinkStream> owner_stream = co_await OpenRelay(call, effect);
  bool complete = false;
  if (owner_stream) {
    call->m_stream->SetBrokenHandler([owner_stream] { owner_stream->Reset(); });
    asio::co_spawn(m_context.m_executor, RelayBody(call, owner_stream), asio::detached);
    asio::co_spawn(m_context.m_executor, RelayInterims(call, owner_stream), asio::detached);
    try {
      co_await CopyResponse(call, owner_stream);
      complete = true;
    } catch (const std::exception&) {
      complete = false;
    }
  }
  // Work that may have been permitted must not start again elsewhere. Work with a claim needs no permit: the
  // claim log records whether it has started.
  const bool may_have_started = call->m_permit_needed && call->m_attempt_announced;
  if (!complete && call->m_streamed_attempt == 0 && !may_have_started && call->m_body->Replayable() &&
      !call->m_stream->Broken()) {
    // The owner became unreachable before it responded.
    call->m_stream->SetBrokenHandler(
        [sink = m_context.m_sink, id = effect.m_request_id] { sink->Post(DispatchCancelled{id}); });
    const std::int64_t attempts = owner_stream ? owner_stream->InterimResponses() : 0;
    // An attempt may have started without its announcement, unless it waits for a permit.
    const bool maybe_ran = owner_stream && !call->m_permit_needed;
    m_context.m_sink->Post(RelayFailed{effect.m_request_id, effect.m_node, attempts, maybe_ran});
    co_return false;
  }
  if (complete)
    call->m_stream->Finish();
  else
    call->m_stream->Reset();
  m_context.m_sink->Post(DispatchCancelled{effect.m_request_id});
  co_return true;
}

}  // namespace fescueramp
