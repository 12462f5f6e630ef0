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

/// Entry side of a request: forwards callers' requests to dispatchers and their responses to the callers.
class EntryHandler {
 public:
  explicit EntryHandler(HandlerContext context);

  /// Serves one request of a caller; returns when the response has ended or the caller has left.
  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange);

  /// Carries out an effect of the reducer; ignored when its request has ended.
  void Run(const ForwardRequest& effect);
  void Run(const RefuseRequest& effect);

  /// Ends the forwards that have no response yet as timed out. Responses to requests behind them on the same
  /// connection can be sent then.
  void TimeOutForwards();

  /// Number of callers' requests whose response has not ended.
  std::size_t RequestsInProgress() const { return m_calls.size(); }

 private:
  using Command = std::variant<ForwardRequest, RefuseRequest>;

  /// One request of a caller, in progress.
  struct Call {
    Call(const asio::any_io_executor& executor, std::shared_ptr<HttpExchange> http_exchange);

    std::shared_ptr<HttpExchange> m_exchange;
    std::shared_ptr<ReplayBody> m_body;
    MemoryCharge m_head_charge;
    std::string m_id;
    Instant m_received{};
    std::string m_class_name = "none";
    std::string m_group = "none";
    CallerMetadata m_metadata;
    std::string m_service;
    std::string m_dispatcher;     ///< Node that the request was last forwarded to.
    std::int64_t m_revision = 0;  ///< Configuration revision that routed it; 0 if not routed.
    std::int64_t m_forwards = 0;
    std::string m_result = "CLOSED";
    std::int64_t m_status = 0;  ///< HTTP status of the response; 0 for none.
    std::int64_t m_retry_after_ms = 0;
    bool m_maybe_ran = false;
    std::int64_t m_attempts = 0;             ///< Attempts that the last dispatcher announced.
    bool m_dispatcher_unresponsive = false;  ///< Whether the last dispatcher became unresponsive.
    bool m_permitted = true;                 ///< Whether the last dispatcher was permitted to start the work.
    bool m_maybe_ran_elsewhere = false;      ///< After a hand-back: whether a relayed attempt may have run.
    SplitView m_split;                       ///< After a redirect: how the service is split.
    bool m_part_full = false;                ///< After a redirect: whether the part had no room.
    std::deque<Command> m_commands;
    AsyncCondition m_command_queued;
    asio::steady_timer m_timer;
    std::shared_ptr<LinkStream> m_stream;
    bool m_caller_left = false;
    bool m_timed_out = false;
  };

  /// Queues a command for the coroutine that serves the request.
  template <typename T>
  void Enqueue(const T& effect);

  std::string NextRequestId();
  /// Refuses the request if the node holds too much for others. Returns whether it is accepted.
  bool AdmitToMemory(Call& call);
  void StartReadingBody(const std::shared_ptr<Call>& call, std::int64_t max_bytes);
  asio::awaitable<void> Serve(std::shared_ptr<Call> call);
  asio::awaitable<ForwardOutcome> Forward(std::shared_ptr<Call> call, ForwardRequest effect);
  asio::awaitable<ForwardOutcome> RelayResponse(std::shared_ptr<Call> call,
                                                std::shared_ptr<LinkStream> stream, bool* response_started);
  static asio::awaitable<void> SendBody(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> stream,
                                        bool withhold_permit);

  /// Abandons the current forward after `left`, unless it ends first.
  static void StartTimer(const std::shared_ptr<Call>& call, Duration left);
  asio::awaitable<void> SendResult(std::shared_ptr<Call> call, ResponseHead head);
  /// Whether an endpoint served the request, with a status below 500.
  static bool Succeeded(const Call& call);
  void LogRequest(const Call& call);
  void LogForward(const Call& call, const ForwardRequest& forward, ForwardOutcome outcome);
  std::vector<HeaderField> ResponseHeaders(const Call& call, const ResponseHead& head);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
  std::uint64_t m_next_id = 0;
};

}  // namespace fescueramp
