#include "fescueramp/daemon/admin_api.h"

#include <boost/url.hpp>
#include <set>

#include "fescueramp/daemon/wire.h"
#include "fescueramp/journal/explain.h"
#include "fescueramp/journal/receipt.h"

namespace fescueramp {
namespace {

constexpr Duration kClockUncertainty =
    std::chrono::milliseconds(50);  ///< Largest assumed difference between node clocks.

const std::string kPort = "admin";  ///< Name of the port in metrics.
const std::set<std::string> kWriteRoutes = {"/v1/validate", "/v1/publish", "/v1/rollback"};

std::int64_t ParseInteger(const std::string& text) {
  std::size_t parsed_length = 0;
  std::int64_t number = -1;
  try {
    number = std::stoll(text, &parsed_length);
  } catch (const std::exception&) {
    parsed_length = 0;
  }
  if (parsed_length == 0 || parsed_length != text.size())
    throw Error(ResultCode::kUsage, "\"" + text + "\" is not a number");
  return number;
}

}  // namespace

AdminApi::Target AdminApi::ParseTarget(const std::string& target) {
  const auto url = boost::urls::parse_origin_form(target);
  if (!url) throw Error(ResultCode::kUsage, "the request target is malformed");
  Target parsed;
  parsed.m_path = std::string(url->encoded_path());
  for (const auto& param : url->params()) parsed.m_query[param.key] = param.value;
  return parsed;
}

AdminApi::Reply AdminApi::Result(ResultCode code, json::object extra) {
  const ResultInfo& info = GetResultInfo(code);
  json::object body{{"code", static_cast<int>(code)}, {"result", info.m_name}, {"text", info.m_text}};
  for (auto& [key, value] : extra) body[key] = value;
  return {info.m_http_status, "application/json", json::serialize(body) + "\n"};
}

AdminApi::Reply AdminApi::MakeReply(std::int64_t status, std::string content_type, std::string body) {
  return {status, std::move(content_type), std::move(body)};
}

AdminApi::Reply AdminApi::JsonReply(const json::value& body) {
  return MakeReply(200, "application/json", json::serialize(body));
}

const OperatorToken* AdminApi::FindOperator(const RequestHead& head) const {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view field = FindHeader(head.m_headers, "authorization");
  if (!field.starts_with(kScheme)) return nullptr;
  const std::string hash = Sha256Hex(field.substr(kScheme.size()));
  for (const auto& token : m_context.m_settings->m_operators) {
    if (EqualInConstantTime(token.m_token_sha256, hash)) return &token;
  }
  return nullptr;
}

asio::awaitable<void> AdminApi::Handle(std::shared_ptr<HttpExchange> exchange) {
  Reply reply;
  std::string problem;
  ResultCode code = ResultCode::kOk;
  try {
    Target target = ParseTarget(exchange->Head().m_target);
    reply = co_await Route(*exchange, std::move(target));
  } catch (const Error& error) {
    code = error.Code();
    problem = error.what();
  } catch (const RequestRefused& refused) {
    code = ResultCode::kMalformedRequest;
    problem = refused.what();
  }
  if (code == ResultCode::kBodyTooLarge) m_context.m_metrics->RecordRefusedInput(kPort, "body_too_large");
  if (code != ResultCode::kOk) reply = Result(code, {{"problem", problem}});
  std::vector<HeaderField> headers;
  headers.push_back({"Content-Type", reply.m_content_type});
  co_await exchange->Send(reply.m_status, std::move(headers), std::move(reply.m_body));
}

AdminApi::Reply AdminApi::Refuse(ResultCode code, const std::string& reason) {
  m_context.m_metrics->RecordRefusedInput(kPort, reason);
  return Result(code);
}

std::size_t AdminApi::MaxBodyBytes(const Target& target) const {
  const bool takes_body = target.m_path == "/v1/validate" || target.m_path == "/v1/publish";
  return takes_body ? static_cast<std::size_t>(m_context.m_settings->m_max_admin_body_bytes) : 0;
}

asio::awaitable<std::string> AdminApi::ReadBody(HttpExchange& exchange, std::size_t max_bytes) {
  const std::string problem = "the body is longer than " + std::to_string(max_bytes) + " bytes";
  if (exchange.Head().m_content_length > static_cast<std::int64_t>(max_bytes))
    throw Error(ResultCode::kBodyTooLarge, problem);
  std::string body;
  while (true) {
    const std::string chunk = co_await exchange.ReadBody();
    if (chunk.empty()) co_return body;
    if (body.size() + chunk.size() > max_bytes) throw Error(ResultCode::kBodyTooLarge, problem);
    body += chunk;
  }
}

asio::awaitable<AdminApi::Reply> AdminApi::Route(HttpExchange& exchange, Target target) {
  const std::string& method = exchange.Head().m_method;
  if (target.m_path == "/healthz") co_return MakeReply(200, "text/plain", "alive\n");
  if (target.m_path == "/readyz") {
    const bool ready = m_context.m_reducer->Ready();
    co_return MakeReply(ready ? 200 : 503, "text/plain", ready ? "ready\n" : "not ready\n");
  }
  if (target.m_path == "/metrics") {
    m_context.m_update_gauges();
    co_return MakeReply(200, "text/plain; version=0.0.4", m_context.m_metrics->Text());
  }
  const OperatorToken* found = FindOperator(exchange.Head());
  if (!found) co_return Refuse(ResultCode::kUnauthorized, "unauthorized");
  if (method == "GET") co_return co_await ReadRoute(std::move(target));
  if (method != "POST") co_return Result(ResultCode::kNotFound);
  const bool needs_publish = target.m_path != "/v1/validate";
  if (needs_publish && found->m_role != OperatorRole::kPublish)
    co_return Refuse(ResultCode::kForbidden, "forbidden");
  if (!kWriteRoutes.contains(target.m_path)) co_return Result(ResultCode::kNotFound);
  if (needs_publish && !m_context.m_config) {
    co_return Result(ResultCode::kNotFound, {{"problem", "the configuration is published elsewhere"}});
  }
  // The settings may be reloaded while the body is read.
  const OperatorToken operator_token = *found;
  std::string body = co_await ReadBody(exchange, MaxBodyBytes(target));
  co_return co_await WriteRoute(std::move(target), std::move(body), &operator_token);
}

asio::awaitable<AdminApi::Reply> AdminApi::ReadRoute(Target target) {
  if (target.m_path == "/v1/status") co_return JsonReply(ToJson(Status()));
  if (target.m_path == "/v1/fleet") co_return co_await Fleet();
  if (target.m_path == "/v1/services") co_return co_await Services();
  if (target.m_path == "/v1/explain") co_return co_await Explain(std::move(target));
  if (target.m_path == "/v1/history" && m_context.m_config) {
    co_return JsonReply(ToJson(m_context.m_config->Head()));
  }
  if (target.m_path == "/v1/objects") {
    const auto& table = m_context.m_reducer->Table();
    if (!table) co_return Result(ResultCode::kNotReady);
    const json::object body{{"revision", table->Revision()},
                            {"set", ParseJson(SerializeObjectSet(table->Set()))}};
    co_return JsonReply(body);
  }
  co_return Result(ResultCode::kNotFound);
}

AdminApi::Reply AdminApi::PublishReply(const PublishResult& result) {
  json::object extra{{"revision", result.m_revision}};
  if (!result.m_mistakes.empty()) extra["mistakes"] = ToJson(result.m_mistakes);
  if (!result.m_differences.empty()) extra["differences"] = ToJson(result.m_differences);
  return Result(result.m_code, std::move(extra));
}

asio::awaitable<AdminApi::Reply> AdminApi::WriteRoute(Target target, std::string body,
                                                      const OperatorToken* operator_token) {
  if (target.m_path == "/v1/validate") {
    const ParsedObjectSet parsed = ParseObjectSet(body);
    const bool valid = parsed.m_mistakes.empty();
    co_return Result(valid ? ResultCode::kOk : ResultCode::kInvalidObjectSet,
                     {{"mistakes", ToJson(parsed.m_mistakes)}});
  }
  const std::string publish_id = target.m_query["publish_id"];
  if (publish_id.empty()) throw Error(ResultCode::kUsage, "publish_id is missing");
  PublishResult result;
  if (target.m_path == "/v1/publish") {
    const std::int64_t base = ParseInteger(target.m_query["base"]);
    PublishRequest request{base, publish_id, operator_token->m_name, std::move(body)};
    result = co_await m_context.m_config->Publish(std::move(request));
  } else if (target.m_path == "/v1/rollback") {
    const std::int64_t to = ParseInteger(target.m_query["to"]);
    result = co_await m_context.m_config->Rollback(to, publish_id, operator_token->m_name);
  } else {
    co_return Result(ResultCode::kNotFound);
  }
  if (result.m_code == ResultCode::kOk) {
    m_context.m_log->WriteUnthrottled(
        "revision_published",
        {{"operator", operator_token->m_name}, {"revision", result.m_revision}, {"publish_id", publish_id}});
  }
  co_return PublishReply(result);
}

NodeStatus AdminApi::Status() const {
  const NodeReducer& reducer = *m_context.m_reducer;
  NodeStatus status;
  status.m_node = m_context.m_settings->m_node;
  status.m_zone = m_context.m_settings->m_zone;
  status.m_revision = reducer.Revision();
  status.m_ready = reducer.Ready();
  status.m_leaving = reducer.Leaving();
  status.m_store_available = m_context.m_control->Available();
  status.m_store_calls = m_context.m_control->Calls();
  for (const auto& [name, member] : reducer.Members().Members()) status.m_members.push_back(member);
  for (const auto& [service, dispatcher] : reducer.Dispatchers()) {
    status.m_dispatchers.push_back(dispatcher->Load(m_context.m_clock->Now()));
  }
  return status;
}

ServiceStatus AdminApi::ServiceStatusOf(const std::string& service) const {
  ServiceStatus status;
  status.m_service = service;
  status.m_owner = m_context.m_reducer->OwnerOf(service);
  const auto& dispatchers = m_context.m_reducer->Dispatchers();
  if (const auto found = dispatchers.find(service); found != dispatchers.end()) {
    status.m_load = found->second->Load(m_context.m_clock->Now());
    status.m_endpoints = found->second->Endpoints(m_context.m_clock->Now());
  }
  return status;
}

std::optional<std::string> AdminApi::HandleNodeQuery(const std::string& query) const {
  const auto after_prefix = [&](std::string_view prefix) { return query.substr(prefix.size()); };
  if (query == "status") return json::serialize(ToJson(Status()));
  if (query.starts_with("journal/"))
    return json::serialize(ToJson(m_context.m_journal->Find(after_prefix("journal/"))));
  if (query.starts_with("receipt/")) return m_context.m_journal->FindReceipt(after_prefix("receipt/"));
  if (query.starts_with("service/"))
    return json::serialize(ToJson(ServiceStatusOf(after_prefix("service/"))));
  return std::nullopt;
}

asio::awaitable<std::optional<std::string>> AdminApi::QueryNode(Member member, std::string query) {
  if (member.m_node == m_context.m_settings->m_node) co_return HandleNodeQuery(query);
  try {
    const auto link =
        co_await m_context.m_links->Get(member.m_address, static_cast<std::uint16_t>(member.m_link_port));
    const std::string path = wire::kQueryPath + query;
    const std::string auth = wire::MakeAuthCode(m_context.m_settings->m_link_keys.front(), path);
    const auto stream = link->Open(path, {{wire::kAuthField, auth}}, false);
    co_await stream->WaitHeaders();
    co_return co_await stream->ReadAll();
  } catch (const LinkError&) {
    co_return std::nullopt;
  }
}

asio::awaitable<AdminApi::Reply> AdminApi::Fleet() {
  json::array nodes;
  const auto members = m_context.m_reducer->Members().Members();
  for (const auto& [name, member] : members) {
    json::object node{{"node", name}, {"state", EnumName(member.m_state)}, {"zone", member.m_zone}};
    const bool gone = member.m_state == MemberState::kDead || member.m_state == MemberState::kLeft;
    std::optional<std::string> text;
    if (!gone) text = co_await QueryNode(member, "status");
    node["reachable"] = text.has_value();
    if (text) {
      const auto status = FromJson<NodeStatus>(ParseJson(*text));
      node["revision"] = status.m_revision;
      node["ready"] = status.m_ready;
      node["store_available"] = status.m_store_available;
      node["dispatchers"] = ToJson(status.m_dispatchers);
    }
    nodes.push_back(std::move(node));
  }
  co_return JsonReply(json::object{{"nodes", std::move(nodes)}});
}

asio::awaitable<AdminApi::Reply> AdminApi::Services() {
  const auto table = m_context.m_reducer->Table();
  if (!table) co_return Result(ResultCode::kNotReady);
  json::array services;
  const auto members = m_context.m_reducer->Members().Members();
  for (const auto& [service, object] : table->Set().m_services) {
    const auto owner = members.find(m_context.m_reducer->OwnerOf(service));
    if (owner == members.end()) continue;
    const auto text = co_await QueryNode(owner->second, "service/" + service);
    services.push_back(text ? ParseJson(*text) : json::value{{"service", service}, {"owner", owner->first}});
  }
  co_return JsonReply(json::object{{"services", std::move(services)}});
}

asio::awaitable<std::vector<DecisionRecord>> AdminApi::FindRecords(std::string request_id) {
  const auto members = m_context.m_reducer->Members().Members();
  // The id starts with the name of the entry host, whose receipt names the dispatcher.
  std::optional<Receipt> receipt;
  if (const auto entry = members.find(request_id.substr(0, request_id.rfind('-'))); entry != members.end()) {
    const auto text = co_await QueryNode(entry->second, "receipt/" + request_id);
    if (text) receipt = VerifyReceipt(*text, m_context.m_settings->m_receipt_keys);
  }
  for (const auto& [name, member] : members) {
    if (receipt && name != receipt->m_dispatcher) continue;
    if (member.m_state == MemberState::kDead || member.m_state == MemberState::kLeft) continue;
    const auto text = co_await QueryNode(member, "journal/" + request_id);
    if (!text) continue;
    auto records = FromJson<std::vector<DecisionRecord>>(ParseJson(*text));
    if (!records.empty()) co_return records;
  }
  std::vector<DecisionRecord> records;
  if (receipt) records.push_back(RecordFromReceipt(*receipt));
  co_return records;
}

asio::awaitable<AdminApi::Reply> AdminApi::Explain(Target target) {
  const auto first = co_await FindRecords(target.m_query["id"]);
  if (first.empty())
    throw Error(ResultCode::kNotFound, "no node keeps a record of \"" + target.m_query["id"] + "\"");
  json::object body{{"records", ToJson(first)}, {"sentences", ToJson(ExplainRequest(first))}};
  if (const std::string versus = target.m_query["versus"]; !versus.empty()) {
    const auto second = co_await FindRecords(versus);
    if (second.empty()) throw Error(ResultCode::kNotFound, "no node keeps a record of \"" + versus + "\"");
    body["versus_records"] = ToJson(second);
    body["order"] = ToJson(ExplainOrder(first, second, kClockUncertainty));
  }
  co_return JsonReply(body);
}

}  // namespace fescueramp
