#include "fescuectl/commands.h"

#include <boost/algorithm/string/trim.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>
#include <random>
#include <sstream>

#include "fescueramp/config/config_check.h"
#include "fescueramp/config/object_set.h"
#include "fescueramp/config/partition.h"
#include "fescueramp/config/schema.h"
#include "fescueramp/journal/receipt.h"
#include "fescueramp/node/trace.h"
#include "platform/config_decoder.h"

namespace fescueramp {
namespace {

constexpr std::size_t kMaxDifferences = 20;

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw Error(ResultCode::kUsage, "cannot read " + path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string GeneratePublishId() {
  std::random_device random;
  std::ostringstream id;
  id << std::hex << random() << random();
  return id.str();
}

std::string ToText(const json::value& value) {
  return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

bool IsErrorResult(const json::value& response) {
  const auto* code = response.is_object() ? response.get_object().if_contains("code") : nullptr;
  return code && code->to_number<std::int64_t>() != 0;
}

/// Prints a result with its mistakes and differences. Returns the exit code.
int PrintResult(const CommandOptions& options, const json::value& response) {
  const bool refused = IsErrorResult(response);
  if (options.m_json) {
    std::cout << json::serialize(response) << "\n";
    return refused ? 1 : 0;
  }
  const json::object& object = response.as_object();
  auto& out = refused ? std::cerr : std::cout;
  out << ToText(object.at("code")) << " " << ToText(object.at("result")) << ": " << ToText(object.at("text"))
      << "\n";
  if (const auto* problem = object.if_contains("problem")) out << "  " << ToText(*problem) << "\n";
  if (const auto* revision = object.if_contains("revision"))
    out << "  revision " << ToText(*revision) << "\n";
  if (const auto* mistakes = object.if_contains("mistakes")) {
    for (const auto& mistake : FromJson<std::vector<Mistake>>(*mistakes)) {
      out << "  " << mistake.m_object << (mistake.m_field.empty() ? "" : "." + mistake.m_field) << ": "
          << mistake.m_problem << "; accepted: " << mistake.m_accepted << "\n";
    }
  }
  if (const auto* differences = object.if_contains("differences")) {
    for (const auto& difference : differences->as_array())
      out << "  changed since the base revision: " << ToText(difference) << "\n";
  }
  return refused ? 1 : 0;
}

json::value LocalResult(ResultCode code, const std::vector<Mistake>& mistakes) {
  const ResultInfo& info = GetResultInfo(code);
  return {{"code", static_cast<int>(code)},
          {"result", info.m_name},
          {"text", info.m_text},
          {"mistakes", ToJson(mistakes)}};
}

/// Fetches the object set in force; revision 0 and an empty set for a fleet without one.
json::value FetchObjects(const CommandOptions& options) {
  json::value response = AdminClient(options.m_target).Call("GET", "/v1/objects");
  if (!IsErrorResult(response)) return response;
  if (response.at("code").to_number<int>() != static_cast<int>(ResultCode::kNotReady)) {
    throw Error(static_cast<ResultCode>(response.at("code").to_number<int>()), ToText(response.at("text")));
  }
  return {{"revision", 0}, {"set", json::object()}};
}

json::value SendPublish(const CommandOptions& options, const std::string& text, std::int64_t base,
                        const std::string& publish_id) {
  const std::string path =
      "/v1/publish?base=" + std::to_string(base) + "&publish_id=" + EncodeQuery(publish_id);
  return AdminClient(options.m_target).Call("POST", path, text);
}

json::value GetOrThrow(const CommandOptions& options, const std::string& path) {
  json::value response = AdminClient(options.m_target).Call("GET", path);
  if (!IsErrorResult(response)) return response;
  const auto code = static_cast<ResultCode>(response.at("code").to_number<int>());
  const auto* problem = response.get_object().if_contains("problem");
  throw Error(code, ToText(problem ? *problem : response.at("text")));
}

/// Checks the text of a file, which may be in the format of the users' platform.
CheckedObjectSet CheckText(const std::string& text, bool is_platform) {
  if (!is_platform) return CheckObjectSetText(text);
  try {
    return CheckObjectSetText(platform::DecodeConfig(text, {}).m_object_set_json);
  } catch (const Error& error) {
    return {{}, {{FindingSeverity::kError, "", "", error.what()}}};
  }
}

/// Object set to compare with, or nothing when no comparison is wanted.
/// @throws Error if the set is not valid, because its differences would mislead.
std::optional<ObjectSet> ReadSetInForce(const CommandOptions& options, const CheckSources& sources) {
  if (!sources.m_in_force && sources.m_against.empty()) return std::nullopt;
  CheckedObjectSet checked = sources.m_in_force
                                 ? CheckText(json::serialize(FetchObjects(options).at("set")), false)
                                 : CheckText(ReadFile(sources.m_against), sources.m_platform);
  if (HasErrors(checked.m_findings))
    throw Error(ResultCode::kInvalidObjectSet,
                "the set to compare with is not valid: " + FindingLine(checked.m_findings.front()));
  return std::move(checked.m_set);
}

}  // namespace

int Check(const CommandOptions& options, const CheckSources& sources) {
  const CheckedObjectSet checked = CheckText(ReadFile(sources.m_file), sources.m_platform);
  const auto in_force = ReadSetInForce(options, sources);
  std::vector<Finding> findings = checked.m_findings;
  const bool failed = HasErrors(findings);
  if (in_force && !failed) {
    const auto differences = CompareObjectSets(*in_force, checked.m_set);
    findings.insert(findings.end(), differences.begin(), differences.end());
  }
  if (options.m_json) {
    std::cout << json::serialize(json::object{{"findings", ToJson(findings)}}) << "\n";
    return failed ? 1 : 0;
  }
  for (const auto& finding : findings) std::cout << FindingLine(finding) << "\n";
  if (findings.empty()) std::cout << "no findings\n";
  return failed ? 1 : 0;
}

int Validate(const CommandOptions& options, const std::string& file) {
  const ParsedObjectSet parsed = ParseObjectSet(ReadFile(file));
  const ResultCode code = parsed.m_mistakes.empty() ? ResultCode::kOk : ResultCode::kInvalidObjectSet;
  return PrintResult(options, LocalResult(code, parsed.m_mistakes));
}

int Diff(const CommandOptions& options, const std::string& file) {
  const ParsedObjectSet proposed = ParseObjectSet(ReadFile(file));
  if (!proposed.m_mistakes.empty()) {
    return PrintResult(options, LocalResult(ResultCode::kInvalidObjectSet, proposed.m_mistakes));
  }
  const json::value objects = FetchObjects(options);
  const auto differences =
      DiffObjectSets(ParseObjectSet(json::serialize(objects.at("set"))).m_set, proposed.m_set);
  if (options.m_json) {
    std::cout << json::serialize(ToJson(differences)) << "\n";
    return 0;
  }
  for (const auto& difference : differences) std::cout << difference << "\n";
  return 0;
}

int Publish(const CommandOptions& options, const std::string& file, std::int64_t base,
            std::string publish_id) {
  if (base == 0) base = FetchObjects(options).at("revision").to_number<std::int64_t>();
  if (publish_id.empty()) publish_id = GeneratePublishId();
  return PrintResult(options, SendPublish(options, ReadFile(file), base, publish_id));
}

int Rollback(const CommandOptions& options, std::int64_t revision) {
  const std::string path =
      "/v1/rollback?to=" + std::to_string(revision) + "&publish_id=" + GeneratePublishId();
  return PrintResult(options, AdminClient(options.m_target).Call("POST", path));
}

int History(const CommandOptions& options) {
  const json::value response = GetOrThrow(options, "/v1/history");
  if (options.m_json) {
    std::cout << json::serialize(response) << "\n";
    return 0;
  }
  const auto head = FromJson<ConfigHead>(response);
  std::vector<Publication> all = {head.m_current};
  all.insert(all.end(), head.m_history.begin(), head.m_history.end());
  for (const auto& publication : all) {
    const std::time_t time = publication.m_time_ms / 1000;
    std::cout << std::setw(8) << publication.m_revision << "  "
              << std::put_time(std::gmtime(&time), "%F %T UTC") << "  " << publication.m_author << "  "
              << publication.m_publish_id << "\n";
  }
  return 0;
}

int Get(const CommandOptions& options) {
  std::cout << json::serialize(GetOrThrow(options, "/v1/objects").at("set")) << "\n";
  return 0;
}

int ConfigStatus(const CommandOptions& options) {
  const json::value response = GetOrThrow(options, "/v1/fleet");
  if (options.m_json) {
    std::cout << json::serialize(response) << "\n";
    return 0;
  }
  std::cout << std::left << std::setw(20) << "NODE" << std::setw(10) << "STATE" << std::setw(12) << "ZONE"
            << std::setw(10) << "REVISION" << std::setw(8) << "READY"
            << "STORE\n";
  for (const auto& node : response.at("nodes").as_array()) {
    const json::object& item = node.as_object();
    const bool reachable = item.at("reachable").as_bool();
    std::cout << std::setw(20) << ToText(item.at("node")) << std::setw(10) << ToText(item.at("state"))
              << std::setw(12) << ToText(item.at("zone"));
    if (reachable) {
      std::cout << std::setw(10) << ToText(item.at("revision")) << std::setw(8)
                << (item.at("ready").as_bool() ? "yes" : "no")
                << (item.at("store_available").as_bool() ? "up" : "away");
    } else {
      std::cout << "no answer";
    }
    std::cout << "\n";
  }
  return 0;
}

int Status(const CommandOptions& options) {
  const json::value response = GetOrThrow(options, "/v1/services");
  if (options.m_json) {
    std::cout << json::serialize(response) << "\n";
    return 0;
  }
  for (const auto& service : response.at("services").as_array()) {
    const json::object& item = service.as_object();
    std::cout << "service " << ToText(item.at("service")) << ", dispatcher " << ToText(item.at("owner"));
    if (const auto* load = item.if_contains("load")) {
      const auto dispatcher_load = FromJson<DispatcherLoad>(*load);
      std::cout << ", queued " << dispatcher_load.m_queued << ", running " << dispatcher_load.m_running
                << " of " << dispatcher_load.m_slots << " slots, in service "
                << dispatcher_load.m_slots_in_service << ", floor " << dispatcher_load.m_floor_slots;
    }
    std::cout << "\n";
    const auto* endpoints = item.if_contains("endpoints");
    if (!endpoints) continue;
    for (const auto& status : FromJson<std::vector<EndpointStatus>>(*endpoints)) {
      std::cout << "  " << std::left << std::setw(16) << status.m_endpoint << std::setw(10)
                << EnumName(status.m_state) << (status.m_in_service ? "" : "out of service  ")
                << status.m_busy << "/" << status.m_usable_slots << " slots, errors " << std::setprecision(3)
                << status.m_error_rate << ", evidence " << status.m_error_evidence << "/"
                << status.m_latency_evidence;
      if (status.m_states_leaving) std::cout << ", leaving";
      if (status.m_pause_ms > 0) std::cout << ", paused for " << status.m_pause_ms << " ms";
      if (status.m_limit_per_s) std::cout << ", limit " << *status.m_limit_per_s << "/s";
      if (!status.m_reason.empty()) std::cout << ", " << status.m_reason;
      std::cout << "\n";
    }
  }
  return 0;
}

int Explain(const CommandOptions& options, const std::string& request_id, const std::string& versus) {
  std::string path = "/v1/explain?id=" + EncodeQuery(request_id);
  if (!versus.empty()) path += "&versus=" + EncodeQuery(versus);
  const json::value response = GetOrThrow(options, path);
  if (options.m_json) {
    std::cout << json::serialize(response) << "\n";
    return 0;
  }
  const auto* order = response.as_object().if_contains("order");
  const json::value& sentences = order ? order->at("sentences") : response.at("sentences");
  for (const auto& sentence : sentences.as_array()) std::cout << ToText(sentence) << "\n";
  return 0;
}

int SetEndpointAdminState(const CommandOptions& options, const std::string& action,
                          const std::string& endpoint) {
  const json::value objects = FetchObjects(options);
  ObjectSet set = ParseObjectSet(json::serialize(objects.at("set"))).m_set;
  const auto found = set.m_endpoints.find(endpoint);
  if (found == set.m_endpoints.end())
    throw Error(ResultCode::kNotFound, "there is no endpoint \"" + endpoint + "\"");
  AdminState state = AdminState::kInService;
  if (action == "drain") state = AdminState::kDraining;
  if (action == "eject") state = AdminState::kEjected;
  found->second.m_admin_state = state;
  const auto base = objects.at("revision").to_number<std::int64_t>();
  return PrintResult(options, SendPublish(options, SerializeObjectSet(set), base, GeneratePublishId()));
}

int CheckReceipt(const CommandOptions& options, const std::string& receipt, const std::string& key_file) {
  const std::string key = boost::algorithm::trim_copy(ReadFile(key_file));
  const auto verified = VerifyReceipt(receipt, {key});
  if (!verified) throw Error(ResultCode::kReceiptInvalid, "the receipt was altered or made with another key");
  if (options.m_json) {
    std::cout << json::serialize(ToJson(*verified)) << "\n";
    return 0;
  }
  std::cout << "The receipt is genuine. Request " << verified->m_request_id << " was decision "
            << verified->m_sequence << " of dispatcher " << verified->m_dispatcher << " under revision "
            << verified->m_revision << ", class " << verified->m_class_name << ", after waiting "
            << ToMilliseconds(verified->m_decided - verified->m_arrival) << " ms, by the rule "
            << EnumName(verified->m_rule) << ", on endpoint " << verified->m_endpoint << ".\n";
  return 0;
}

int Replay(const CommandOptions& options, const std::string& trace) {
  std::ifstream file(trace);
  if (!file) throw Error(ResultCode::kUsage, "cannot read " + trace);
  const auto differences = ReplayTrace(file, kMaxDifferences);
  for (const auto& difference : differences) {
    if (options.m_json) continue;
    std::cout << "line " << difference.m_line << ": " << difference.m_event
              << "\n  recorded: " << difference.m_recorded << "\n  replayed: " << difference.m_replayed
              << "\n";
  }
  if (options.m_json)
    std::cout << json::serialize(json::object{{"differences", differences.size()}}) << "\n";
  else if (differences.empty())
    std::cout << "the replay produced the recorded effects\n";
  return differences.empty() ? 0 : 1;
}

int PrintSchema() {
  std::cout << SchemaMarkdown();
  return 0;
}

int PrintCodes() {
  std::cout << "| number | name | HTTP | meaning |\n|---|---|---|---|\n";
  for (const auto& row : ResultTable()) {
    std::cout << "| " << static_cast<int>(row.m_code) << " | " << row.m_name << " | " << row.m_http_status
              << " | " << row.m_text << " |\n";
  }
  return 0;
}

}  // namespace fescueramp
