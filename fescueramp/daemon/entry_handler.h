#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "fescueramp/daemon/handler_context.h"
#include "fescueramp/net/http_server.h"
#include "fescueramp/net/replay_body.h"
#include "fescueramp/node/effects.h"

namespace fescueramp {

/// Carries callers' requests to dispatchers and the answers back.
class EntryHandler {
 public:
  explicit EntryHandler(HandlerContext context);

  /// Serves one request of a caller to its end.
  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange);

  void Run(const ForwardRequest& effect);
  void Run(const RefuseRequest& effect);

  /// Requests of callers that have no whole answer yet.
  std::size_t Open() const { return m_calls.size(); }

 private:
  using Command = std::variant<ForwardRequest, RefuseRequest>;

  /// One request of a caller.
  struct Call {
    Call(const asio::any_io_executor& executor, std::shared_ptr<HttpExchange> its_exchange);

    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<ReplayBody> m_body;
    std::string m_id;
    Instant m_received{};
    std::string m_class_name = "none";
    std::string m_group = "none";
    std::deque<Command> m_commands;
    Signal m_commanded;
    asio::steady_timer m_timer;
    std::shared_ptr<LinkStream> m_stream;
    bool m_caller_left = false;
    bool m_timed_out = false;
  };

  /// Gives a command to the request's coroutine.
  template <typename T>
  void Enqueue(const T& effect);

  std::string NextId();
  void StartBody(const std::shared_ptr<Call>& call, std::int64_t max_bytes);
  asio::awaitable<void> Serve(std::shared_ptr<Call> call);
  asio::awaitable<ForwardOutcome> Forward(std::shared_ptr<Call> call, ForwardRequest effect);
  asio::awaitable<ForwardOutcome> RelayAnswer(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream,
                                              bool* answer_started);
  static asio::awaitable<void> SendBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream);

  /// Gives the current forward up when the time is over.
  static void StartTimer(const std::shared_ptr<Call>& call, Duration left);
  asio::awaitable<void> SendResult(std::shared_ptr<Call> call, ResultCode code, std::int64_t retry_after_ms,
                                   std::int64_t recorded_status, std::vector<HeaderField> headers);
  std::vector<HeaderField> AnswerHeaders(const Call& call, const AnswerHead& head);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
  std::uint64_t m_next_id = 0;
};

}  // namespace fescueramp
