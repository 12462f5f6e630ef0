#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/daemon/config_service.h"
#include "fescueramp/daemon/node_metrics.h"
#include "fescueramp/daemon/settings.h"
#include "fescueramp/journal/journal.h"
#include "fescueramp/net/http_server.h"
#include "fescueramp/net/link_pool.h"

namespace fescueramp {

/// State of one node, for operators.
struct NodeStatus {
  std::string m_node;
  std::string m_zone;
  std::int64_t m_revision = 0;
  bool m_ready = false;
  bool m_leaving = false;
  bool m_store_available = true;
  std::int64_t m_store_calls = 0;
  std::vector<Member> m_members;
  std::vector<DispatcherLoad> m_dispatchers;
};
BOOST_DESCRIBE_STRUCT(NodeStatus, (),
                      (m_node, m_zone, m_revision, m_ready, m_leaving, m_store_available, m_store_calls,
                       m_members, m_dispatchers))

/// State of one service and its endpoints at its dispatcher.
struct ServiceStatus {
  std::string m_service;
  std::string m_owner;
  DispatcherLoad m_load;
  std::vector<EndpointStatus> m_endpoints;
};
BOOST_DESCRIBE_STRUCT(ServiceStatus, (), (m_service, m_owner, m_load, m_endpoints))

/// HTTP API with JSON for operators, load balancers and metrics.
class AdminApi {
 public:
  /// Dependencies of the API. All pointers must outlive it.
  struct Context {
    const Settings* m_settings = nullptr;
    const Clock* m_clock = nullptr;
    const NodeReducer* m_reducer = nullptr;
    ConfigService* m_config =
        nullptr;  ///< Null with an adapter, whose deployment publishes the configuration.
    const ControlPlane* m_control = nullptr;
    LinkPool* m_links = nullptr;
    const Journal* m_journal = nullptr;
    NodeMetrics* m_metrics = nullptr;
    EventLog* m_log = nullptr;
    std::function<void()> m_update_gauges;
  };

  explicit AdminApi(Context context) : m_context(std::move(context)) {}

  /// Serves one HTTP request.
  asio::awaitable<void> Handle(std::shared_ptr<HttpExchange> exchange);

  /// Result of a query from another node, such as "status" or "journal/ID", as text; empty for an unknown
  /// query.
  std::optional<std::string> HandleNodeQuery(const std::string& query) const;

 private:
  struct Reply {
    std::int64_t m_status = 200;
    std::string m_content_type = "application/json";
    std::string m_body;
  };

  /// Path and query of a request.
  struct Target {
    std::string m_path;
    std::map<std::string, std::string> m_query;
  };

  static Target ParseTarget(const std::string& target);
  static Reply Result(ResultCode code, json::object extra = {});
  static Reply MakeReply(std::int64_t status, std::string content_type, std::string body);
  static Reply JsonReply(const json::value& body);
  const OperatorToken* FindOperator(const RequestHead& head) const;

  /// Counts a refusal by its reason.
  Reply Refuse(ResultCode code, const std::string& reason);

  /// Longest body that a route takes, bytes.
  std::size_t MaxBodyBytes(const Target& target) const;

  /// Reads a body up to a limit. @throws Error with kBodyTooLarge beyond it.
  static asio::awaitable<std::string> ReadBody(HttpExchange& exchange, std::size_t max_bytes);

  /// Checks token and role before the body is read.
  asio::awaitable<Reply> Route(HttpExchange& exchange, Target target);
  asio::awaitable<Reply> ReadRoute(Target target);
  asio::awaitable<Reply> WriteRoute(Target target, std::string body, const OperatorToken* operator_token);
  asio::awaitable<Reply> Fleet();
  asio::awaitable<Reply> Services();
  asio::awaitable<Reply> Explain(Target target);
  asio::awaitable<std::vector<DecisionRecord>> FindRecords(std::string request_id);
  asio::awaitable<std::optional<std::string>> QueryNode(Member member, std::string query);
  static Reply PublishReply(const PublishResult& result);
  NodeStatus Status() const;
  ServiceStatus ServiceStatusOf(const std::string& service) const;

  Context m_context;
};

}  // namespace fescueramp
