#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>

#include "fescueramp/daemon/handler_context.h"
#include "fescueramp/net/replay_body.h"
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

  /// One request at this dispatcher.
  struct Call {
    Call(const asio::any_io_executor& executor, std::shared_ptr<LinkStream> its_stream)
        : m_stream(std::move(its_stream)), m_commanded(executor) {}

    std::shared_ptr<LinkStream> m_stream;
    std::shared_ptr<ReplayBody> m_body;
    DispatchRequest m_request;
    RequestHead m_head;
    std::deque<Command> m_commands;
    Signal m_commanded;
    std::shared_ptr<EndpointConnection> m_connection;  ///< Of the running attempt.
    bool m_cancelled = false;
    AnswerHead m_answer;  ///< Of the last attempt.
    std::string m_answer_body;
    bool m_answer_started = false;
    bool m_answer_whole = false;
    std::string m_receipt;
  };

  /// Gives a command to the request's coroutine.
  template <typename T>
  void Enqueue(const T& effect);
  asio::awaitable<void> Serve(std::shared_ptr<Call> call);
  asio::awaitable<AttemptResult> RunAttempt(std::shared_ptr<Call> call, StartAttempt effect);
  asio::awaitable<void> Exchange(std::shared_ptr<Call> call, const StartAttempt& effect,
                                 AttemptResult& result);
  asio::awaitable<void> SendRequest(std::shared_ptr<Call> call, const StartAttempt& effect);
  asio::awaitable<void> ReadAnswer(std::shared_ptr<Call> call, const StartAttempt& effect,
                                   AttemptResult& result);
  static AttemptOutcome FailureOutcome(const Call& call, bool sent);
  std::chrono::milliseconds TimeLeft(const StartAttempt& effect) const;
  asio::awaitable<void> Deliver(std::shared_ptr<Call> call);
  /// Keeps a decision and returns its receipt.
  std::string Record(const DecisionRecord& record);
  void SendAnswerHead(Call& call, AnswerHead head);
  /// Stream to the owner, or null when it can't be reached.
  asio::awaitable<std::shared_ptr<LinkStream>> OpenRelay(std::shared_ptr<Call> call, RelayRequest effect);
  asio::awaitable<void> CopyAnswer(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> from);

  /// Serves a request through its owner. False when it is to be served here.
  asio::awaitable<bool> Relay(std::shared_ptr<Call> call, RelayRequest effect);
  static asio::awaitable<void> RelayBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> to);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
};

}  // namespace fescueramp
