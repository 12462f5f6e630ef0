#include "fescueramp/net/http_types.h"

#include <algorithm>
#include <array>

namespace fescueramp {
namespace {

constexpr std::array<std::string_view, 11> kStrippedFields = {
    "connection", "keep-alive",        "proxy-authenticate", "proxy-authorization", "te",    "trailer",
    "upgrade",    "transfer-encoding", "content-length",     "proxy-connection",    "expect"};

}  // namespace

std::size_t HeadBytes(const RequestHead& head) {
  std::size_t bytes = head.m_method.size() + head.m_target.size();
  for (const auto& field : head.m_headers) bytes += field.m_name.size() + field.m_value.size();
  return bytes;
}

std::string_view FindHeader(const std::vector<HeaderField>& headers, std::string_view lower_case_name) {
  for (const auto& header : headers) {
    if (ToLower(header.m_name) == lower_case_name) return header.m_value;
  }
  return {};
}

bool IsStrippedHeader(std::string_view name) {
  const std::string lower = ToLower(name);
  return lower.starts_with("fescue-") ||
         std::find(kStrippedFields.begin(), kStrippedFields.end(), lower) != kStrippedFields.end();
}

}  // namespace fescueramp
