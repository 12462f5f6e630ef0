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

/// Dispatcher side of a request: sends requests that arrive on links to endpoints, or relays them to the node
/// that owns their service.
class DispatchHandler {
 public:
  explicit DispatchHandler(HandlerContext context) : m_context(std::move(context)) {}

  /// Serves the request on one stream; returns when the response is written or the stream has ended early.
  asio::awaitable<void> Handle(std::shared_ptr<LinkStream> stream);

  /// Carries out an effect of the reducer; ignored when its request has ended.
  void Run(const StartAttempt& effect);
  void Run(const FinishRequest& effect);
  void Run(const DeliverResponse& effect);
  void Run(const RelayRequest& effect);
  void Run(const CancelAttempt& effect);

  /// Number of requests in progress at this dispatcher.
  std::size_t RequestsInProgress() const { return m_calls.size(); }

 private:
  using Command = std::variant<StartAttempt, FinishRequest, DeliverResponse, RelayRequest>;

  /// One attempt to run a request on an endpoint.
  struct Attempt {
    std::shared_ptr<EndpointConnection> m_connection;
    AttemptMetadata m_metadata;
    bool m_cancelled = false;
    bool m_sent = false;  ///< Whether the endpoint may have received the request.
    ResponseHead m_response_head;
    std::string m_response_body;
    MemoryCharge m_response_charge;
    bool m_response_complete = false;
    std::int64_t m_keep_alive_ms = 0;  ///< Idle timeout that the endpoint announced, ms; 0 for none.
  };

  /// One request in progress at this dispatcher.
  struct Call {
    Call(const asio::any_io_executor& executor, std::shared_ptr<LinkStream> link_stream)
        : m_stream(std::move(link_stream)), m_command_queued(executor) {}

    std::shared_ptr<LinkStream> m_stream;
    std::shared_ptr<ReplayBody> m_body;
    DispatchRequest m_request;
    RequestHead m_head;
    std::deque<Command> m_commands;
    AsyncCondition m_command_queued;
    std::map<std::int64_t, std::shared_ptr<Attempt>> m_attempts;  ///< By attempt number, from 1.
    std::int64_t m_streamed_attempt = 0;  ///< Attempt whose response is being streamed; 0 for none.
    bool m_permit_needed = false;         ///< Whether the first attempt needs a permit of the entry host.
    bool m_attempt_announced = false;     ///< Whether an attempt was announced to the entry host.
    std::string m_receipt;
    MemoryCharge m_head_charge;
  };

  /// Queues a command for the coroutine that serves the request.
  template <typename T>
  void Enqueue(const T& effect);
  /// Account of what is held for other nodes; null without a budget.
  std::shared_ptr<MemoryAccount> Memory() const;

  /// Refuses a new request if the node holds too much for others. Returns whether it is accepted.
  bool AdmitToMemory(Call& call);
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
  asio::awaitable<void> ReadResponseBody(std::shared_ptr<Call> call, std::shared_ptr<Attempt> attempt,
                                         std::int64_t attempt_number, ResponseReader& response_reader);
  static asio::awaitable<void> DiscardRefusalBody(std::shared_ptr<Attempt> attempt,
                                                  ResponseReader& response_reader);
  static AttemptOutcome FailureOutcome(const Attempt& attempt);
  void EndAttempt(const std::shared_ptr<Call>& call, const std::shared_ptr<Attempt>& attempt,
                  const StartAttempt& effect, const AttemptResult& result);
  std::chrono::milliseconds TimeLeft(const StartAttempt& effect) const;
  asio::awaitable<void> Deliver(std::shared_ptr<Call> call, std::int64_t attempt_number);
  void FinishCall(Call& call, const FinishRequest& finish);
  /// Adds a decision to the journal and returns its receipt; empty when records or receipts are off.
  std::string RecordDecision(const DecisionRecord& record);
  void LogAttempt(const Call& call, const StartAttempt& effect, const AttemptResult& result);
  void SendResponseHead(Call& call, ResponseHead head);
  /// Opens a stream to the owner of the service; null when the owner can't be reached.
  asio::awaitable<std::shared_ptr<LinkStream>> OpenRelay(std::shared_ptr<Call> call, RelayRequest effect);
  asio::awaitable<void> CopyResponse(std::shared_ptr<Call> call, std::shared_ptr<LinkStream> owner_stream);

  /// Relays a request to the owner of its service. Returns false when the request may be served
  /// here instead, after posting RelayFailed.
  asio::awaitable<bool> Relay(std::shared_ptr<Call> call, RelayRequest effect);
  static asio::awaitable<void> RelayBody(std::shared_ptr<Call> call,
                                         std::shared_ptr<LinkStream> owner_stream);
  static asio::awaitable<void> RelayInterims(std::shared_ptr<Call> call,
                                             std::shared_ptr<LinkStream> owner_stream);

  HandlerContext m_context;
  std::map<std::string, std::shared_ptr<Call>> m_calls;
};

}  // namespace fescueramp
