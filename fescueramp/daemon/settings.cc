#include "fescueramp/daemon/settings.h"

#include <boost/asio/ip/address.hpp>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/core/text.h"

namespace fescueramp {
namespace {

constexpr std::int64_t kMaxPort = 65535;
constexpr double kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMaxFramingBytes = 1 << 20;
constexpr std::size_t kMinKeyLength = 16;
constexpr std::int64_t kMinMemoryMb = 32;  ///< Below it, not even one request with a body fits the budget.
constexpr std::int64_t kMaxMemoryMb = 1024 * 1024;
constexpr std::int64_t kMinClaimWindowSeconds = 7200;  ///< Twice the longest deadline of a route, seconds.

/// Adds a mistake for every unknown setting.
void RejectUnknownMembers(const json::object& object, std::vector<Mistake>& mistakes) {
  std::string accepted;
  std::set<std::string_view> known;
  boost::mp11::mp_for_each<json_codec_detail::Members<Settings>>([&](auto member) {
    const std::string_view key = json_codec_detail::KeyOf(member.name);
    known.insert(key);
    accepted += std::string(accepted.empty() ? "" : ", ") + std::string(key);
  });
  for (const auto& [key, value] : object) {
    if (!known.contains(key)) mistakes.push_back({"settings", std::string(key), "unknown setting", accepted});
  }
}

/// Parses each member separately, so that a wrong type doesn't hide other mistakes.
Settings ReadMembers(const json::object& object, std::vector<Mistake>& mistakes) {
  Settings settings;
  boost::mp11::mp_for_each<json_codec_detail::Members<Settings>>([&](auto member) {
    const std::string_view key = json_codec_detail::KeyOf(member.name);
    const auto* value = object.if_contains(key);
    if (!value) return;
    auto& target = settings.*member.pointer;
    try {
      target = FromJson<std::decay_t<decltype(target)>>(*value);
    } catch (const Error& error) {
      mistakes.push_back({"settings", std::string(key), error.what(), "a value of the documented type"});
    }
  });
  return settings;
}

/// Converts a duration such as "6s" or "1500ms" to a number in the unit of the setting's suffix, _ms or _s.
json::value NormalizeDuration(std::string_view key, const json::value& value) {
  const auto* text = value.if_string();
  const auto milliseconds = text ? ParseMilliseconds(*text) : std::nullopt;
  if (!milliseconds) return value;
  if (key.ends_with("_ms")) return std::llround(*milliseconds);
  if (key.ends_with("_s")) return std::llround(*milliseconds / kMillisecondsPerSecond);
  return value;
}

json::object NormalizeDurations(const json::object& object) {
  json::object normalized;
  for (const auto& [key, value] : object) {
    normalized[key] = value.is_object() ? json::value(NormalizeDurations(value.get_object()))
                                        : NormalizeDuration(key, value);
  }
  return normalized;
}

/// Splits settings of the form "IP:PORT" into the separate settings of address and port.
void ApplyAddresses(Settings& settings, std::vector<Mistake>& mistakes) {
  const auto split = [&](const std::string& field, const std::string& text) {
    const auto socket = ParseSocketAddress(text);
    if (!socket) mistakes.push_back({"settings", field, "not an IP address with a port: " + text, "IP:PORT"});
    return socket.value_or(SocketAddress{});
  };
  if (!settings.m_caller_address.empty()) {
    const SocketAddress socket = split("caller_address", settings.m_caller_address);
    settings.m_address = socket.m_address;
    settings.m_caller_port = socket.m_port;
  }
  if (!settings.m_ready_address.empty()) split("ready_address", settings.m_ready_address);
  if (settings.m_platform.m_port == 0 && settings.m_platform.m_address.find(':') != std::string::npos) {
    const SocketAddress socket = split("platform.address", settings.m_platform.m_address);
    settings.m_platform.m_address = socket.m_address;
    settings.m_platform.m_port = socket.m_port;
  }
  for (const auto& host : settings.m_seed_hosts) {
    const SocketAddress socket = split("seed_hosts", host);
    const bool self = socket.m_address == settings.m_address;
    if (!self) settings.m_seeds.push_back({socket.m_address, settings.m_gossip_port});
  }
}

void CheckNumber(std::string_view field, std::int64_t value, std::int64_t min, std::int64_t max,
                 std::vector<Mistake>& mistakes) {
  if (value >= min && value <= max) return;
  mistakes.push_back({"settings", std::string(field), "out of range: " + std::to_string(value),
                      std::to_string(min) + " to " + std::to_string(max)});
}

void CheckKeys(std::string_view field, const std::vector<std::string>& keys, std::vector<Mistake>& mistakes) {
  if (keys.empty()) mistakes.push_back({"settings", std::string(field), "empty", "at least one key"});
  for (const auto& key : keys) {
    if (key.size() < kMinKeyLength) {
      mistakes.push_back({"settings", std::string(field), "a key is too short", "at least 16 characters"});
    }
  }
}

void CheckSettings(const Settings& settings, std::vector<Mistake>& mistakes) {
  const auto bad_char = [](char c) {
    return !std::isalnum(static_cast<unsigned char>(c)) && c != '-' && c != '_';
  };
  if (settings.m_node.empty() || std::any_of(settings.m_node.begin(), settings.m_node.end(), bad_char)) {
    mistakes.push_back(
        {"settings", "node", "missing, or has characters that are not allowed", "letters, digits, - and _"});
  }
  if (settings.m_zone.empty())
    mistakes.push_back({"settings", "zone", "missing", "name of an availability zone"});
  boost::system::error_code ec;
  boost::asio::ip::make_address(settings.m_address, ec);
  if (ec) mistakes.push_back({"settings", "address", "not an IP address", "an IPv4 or IPv6 address"});
  CheckNumber("caller_port", settings.m_caller_port, 1, kMaxPort, mistakes);
  CheckNumber("link_port", settings.m_link_port, 1, kMaxPort, mistakes);
  CheckNumber("gossip_port", settings.m_gossip_port, 1, kMaxPort, mistakes);
  CheckNumber("admin_port", settings.m_admin_port, 1, kMaxPort, mistakes);
  CheckNumber("platform.port", settings.m_platform.m_port, 1, kMaxPort, mistakes);
  CheckNumber("platform.timeout_ms", settings.m_platform.m_timeout_ms, 10, 60'000, mistakes);
  if (!(settings.m_platform.m_calls_per_s >= 1) || !(settings.m_platform.m_call_burst >= 1)) {
    mistakes.push_back({"settings", "platform", "calls_per_s or call_burst is below 1", "1 or more"});
  }
  CheckNumber("claim_groups", settings.m_claim_groups, 1, 4096, mistakes);
  CheckNumber("claim_window_s", settings.m_claim_window_s, kMinClaimWindowSeconds, 864'000, mistakes);
  CheckNumber("claim_batch_ms", settings.m_claim_batch_ms, 1, 1000, mistakes);
  CheckNumber("journal_records", settings.m_journal_records, 0, 10'000'000, mistakes);
  if (settings.m_memory_mb != 0)
    CheckNumber("memory_mb", settings.m_memory_mb, kMinMemoryMb, kMaxMemoryMb, mistakes);
  CheckNumber("shutdown_grace_s", settings.m_shutdown_grace_s, 1, 86'400, mistakes);
  if (!(settings.m_cpu_share > 0) || !(settings.m_link_mbps > 0)) {
    mistakes.push_back({"settings", "cpu_share", "cpu_share or link_mbps is not above 0", "above 0"});
  }
  CheckNumber("leave_notice_ms", settings.m_leave_notice_ms, 0, settings.m_shutdown_grace_s * 1000, mistakes);
  CheckNumber("max_chunk_line_bytes", settings.m_max_chunk_line_bytes, 64, kMaxFramingBytes, mistakes);
  CheckNumber("max_trailer_bytes", settings.m_max_trailer_bytes, 64, kMaxFramingBytes, mistakes);
  CheckNumber("max_framing_bytes", settings.m_max_framing_bytes, 1024, kMaxFramingBytes, mistakes);
  CheckNumber("max_admin_body_bytes", settings.m_max_admin_body_bytes, 1024, 1 << 30, mistakes);
  CheckKeys("link_keys", settings.m_link_keys, mistakes);
  CheckKeys("receipt_keys", settings.m_receipt_keys, mistakes);
}

}  // namespace

Settings ParseSettings(std::string_view text, std::vector<Mistake>& mistakes) {
  const json::value root = ParseJson(text, ResultCode::kInvalidSettings);
  const auto* object = root.if_object();
  if (!object) throw Error(ResultCode::kInvalidSettings, "the settings are not a JSON object");
  RejectUnknownMembers(*object, mistakes);
  Settings settings = ReadMembers(NormalizeDurations(*object), mistakes);
  ApplyAddresses(settings, mistakes);
  CheckSettings(settings, mistakes);
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw Error(ResultCode::kInvalidSettings, "cannot read " + path);
  std::stringstream text;
  text << file.rdbuf();
  std::vector<Mistake> mistakes;
  Settings settings = ParseSettings(text.str(), mistakes);
  if (mistakes.empty()) return settings;
  std::string list;
  for (const auto& mistake : mistakes) {
    list += "\n  " + mistake.m_field + ": " + mistake.m_problem + " (accepted: " + mistake.m_accepted + ")";
  }
  throw Error(ResultCode::kInvalidSettings, path + " has mistakes:" + list);
}

namespace {

/// Capacity for placement: the product of processor share and bandwidth, as work needs both.
std::int64_t CapacityOf(const Settings& settings) {
  return std::max<std::int64_t>(1, std::llround(settings.m_cpu_share * settings.m_link_mbps));
}

}  // namespace

NodeSettings ToNodeSettings(const Settings& settings, Instant now) {
  NodeSettings node;
  // Higher after every restart, so that the other nodes replace the state of the earlier run.
  const auto incarnation =
      std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
  const auto advertised = [](std::int64_t port, std::int64_t own) { return port > 0 ? port : own; };
  node.m_self = {settings.m_node,
                 MemberState::kAlive,
                 incarnation,
                 settings.m_address,
                 advertised(settings.m_advertised_gossip_port, settings.m_gossip_port),
                 advertised(settings.m_advertised_link_port, settings.m_link_port),
                 settings.m_zone,
                 settings.m_region,
                 CapacityOf(settings)};
  node.m_seeds = settings.m_seeds;
  node.m_policy = settings.m_policy;
  node.m_claims = settings.m_claims;
  node.m_discovery = settings.m_discovery;
  node.m_claim_groups = settings.m_claim_groups;
  node.m_claim_window_s = settings.m_claim_window_s;
  node.m_claim_batch_ms = settings.m_claim_batch_ms;
  node.m_random_seed =
      static_cast<std::int64_t>(Hash64(settings.m_node, static_cast<std::uint64_t>(incarnation)) >> 33);
  return node;
}

}  // namespace fescueramp
