#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "fescueramp/daemon/handler_context.h"
#include "fescueramp/net/replay_body.h"
#include "fescueramp/net/response_reader.h"
#include "fescueramp/node/effects.h"

namespace fescueramp {

/// Carries requests that other nodes passed here to endpoints, or on to the owner of their service.
class DispatchHandler {
 public:
  explicit DispatchHandler(HandlerContext context) : m_context(std::move(context)) {}

  /// Serves one stream to its end.
  asio::awaitable<void> Handle(std::shared_ptr<LinkStream> stream);

  void Run(const StartAttempt& effect);
  void Run(const FinishRequest& effect);
  void Run(const DeliverAnswer& effect);
  void Run(const RelayRequest& effect);
  void Run(const CancelAttempt& effect);

  /// Requests at this dispatcher that have not ended.
  std::size_t Open() const { return m_calls.size(); }

 private:
  using Command = std::variant<StartAttempt, FinishRequest, DeliverAnswer, RelayRequest>;

  /// One send of a request to an endpoint.
  struct Attempt {
    std::shared_ptr<EndpointConnection> m_connection;
    AttemptMetadata m_terms;
    bool m_cancelled = false;
    bool m_sent = false;  ///< Whether the endpoint may have seen the request.
    ResponseHead m_answer;
    std::string m_answer_body;
    bool m_answer_whole = false;
    std::int64_t m_idle_ms = 0;  ///< Time for which the endpoint keeps the connection, ms; 0 if not said.
  };

  /// One request at this dispatcher.
  struct Call {
    Call(const asio::any_io_executor& executor, std::shared_ptr<LinkStream> its_stream)
        : m_stream(std::move(its_stream)), m_commanded(executor) {}

    std::shared_ptr<LinkStream> m_stream;
    std::shared_ptr<ReplayBody> m_body;
    DispatchRequest m_request;
    RequestHead m_head;
    std::deque<Command> m_commands;
    AsyncCondition m_commanded;
    std::map<std::int64_t, std::shared_ptr<Attempt>> m_attempts;  ///< By number.
    std::int64_t m_streamed_attempt = 0;  ///< Attempt whose long answer goes out as it comes; 0 for none.
    bool m_permit_needed = false;         ///< Whether the entry host must permit the first attempt.
    bool m_permit_asked = false;          ///< Whether an attempt was announced.
    std::string m_receipt;
  };

  /// Gives a command to the request's coroutine.
  template <typename T>
  void Enqueue(const T& effect);
  asio::awaitable<void> Serve(std::shared_ptr<Call> call);
  asio::awaitable<void> RunAttempt(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                   StartAttempt effect);
  asio::awaitable<void> Exchange(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                 const StartAttempt& effect, AttemptResult& result);
  static asio::awaitable<void> WaitForPermit(std::shared_ptr<Call> call);
  asio::awaitable<void> SendRequest(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                    const StartAttempt& effect);
  asio::awaitable<void> ReadResponse(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                     const StartAttempt& effect, AttemptResult& result);
  asio::awaitable<void> ReadAnswerBody(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                       std::int64_t number, ResponseReader& reader);
  static asio::awaitable<void> ReadRefusalBody(std::shared_ptr<Attempt> attempt, ResponseReader& reader);
  static AttemptOutcome FailureOutcome(const Attempt& attempt);
  void EndAttempt(const std::shared_ptr<Call>& call, const std::shared_ptr<Attempt>& attempt,
                  const StartAttempt& effect, const AttemptResult& result);
  std::chrono::milliseconds TimeLeft(const StartAttempt& effect) const;
  asio::awaitable<void> Deliver(std::shared_ptr<Call> call, std::int64_t number);
  void FinishCall(Call& call, const FinishRequest& finish);
  /// Keeps a decision and returns its receipt.
  std::string Record(const DecisionRecord& record);
  void LogAttempt(const Call& call, const StartAttempt& effect, const AttemptResult& result);
  void SendAnswerHead(Call& call, ResponseHead head);
  /// Stream to the owner, or null when it can't be reached.
  asio::awaitable<std::shared_ptr<LinkStream>> OpenRelay(std::shared_ptr<Call> call, RelayRequest effect);
  asio::awaitable<void> CopyAnswer(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> from);

  /// Serves a request through its owner. False when it is to be served here.
  asio::awaitable<bool> Relay(std::shared_ptr<Call> call, RelayRequest effect);
  static asio::awaitable<void> RelayBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> to);
  static asio::awaitable<void> RelayInterims(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> to);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
};

}  // namespace fescueramp
