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
    CallerMetadata m_terms;
    std::string m_service;
    std::string m_dispatcher;     ///< Node that the request was passed to last.
    std::int64_t m_revision = 0;  ///< Configuration by which it was routed; 0 when it was not.
    std::int64_t m_forwards = 0;
    std::string m_result = "CLOSED";
    std::int64_t m_status = 0;  ///< HTTP status of the answer; 0 when there was none.
    std::int64_t m_retry_after_ms = 0;
    bool m_maybe_ran = false;
    std::int64_t m_attempts = 0;  ///< Attempts that the last dispatcher announced.
    bool m_silent = false;        ///< Whether the last dispatcher went silent.
    bool m_permitted = true;      ///< Whether the last dispatcher was allowed to start the work.
    SplitView m_split;            ///< Of the service that it goes to, when it was redirected.
    bool m_part_full = false;     ///< Whether it was redirected as the part has no room.
    std::deque<Command> m_commands;
    AsyncCondition m_commanded;
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
  static asio::awaitable<void> SendBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream,
                                        bool withhold_permit);

  /// Gives the current forward up when the time is over.
  static void StartTimer(const std::shared_ptr<Call>& call, Duration left);
  asio::awaitable<void> SendResult(std::shared_ptr<Call> call, ResponseHead head);
  /// Whether the caller got what it asked for.
  static bool Served(const Call& call);
  void LogRequest(const Call& call);
  void LogForward(const Call& call, const ForwardRequest& forward, ForwardOutcome outcome);
  std::vector<HeaderField> AnswerHeaders(const Call& call, const ResponseHead& head);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
  std::uint64_t m_next_id = 0;
};

}  // namespace fescueramp
