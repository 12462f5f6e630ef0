#include "fescueramp/net/dialect.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::int64_t kServiceUnavailable = 503;

/// Returns the value of a field; nothing if it is absent, or repeated, as neither value can be preferred
/// then.
std::optional<std::string_view> FindSingle(const ResponseHead& head, std::string_view name,
                                           EndpointStatement& statement) {
  std::optional<std::string_view> value;
  for (const HeaderField& field : head.m_headers) {
    if (ToLower(field.m_name) != name) continue;
    if (value) {
      statement.m_kind = StatementKind::kMalformed;
      return std::nullopt;
    }
    value = field.m_value;
  }
  return value;
}

std::optional<double> ReadDecimal(const ResponseHead& head, std::string_view name,
                                  EndpointStatement& statement) {
  const auto text = FindSingle(head, name, statement);
  const auto value = text ? ParseDecimal(*text) : std::nullopt;
  if (text && !value) statement.m_kind = StatementKind::kMalformed;
  return value;
}

bool ReadFlag(const ResponseHead& head, std::string_view name, EndpointStatement& statement) {
  const auto text = FindSingle(head, name, statement);
  if (text && *text != "0" && *text != "1") statement.m_kind = StatementKind::kMalformed;
  return text == "1";
}

}  // namespace

EndpointStatement ReadEndpointStatement(const ResponseHead& head, const StatementFields& fields) {
  EndpointStatement statement;
  statement.m_kind = StatementKind::kValid;
  statement.m_limit_per_s = ReadDecimal(head, fields.m_limit, statement);
  statement.m_leaving = ReadFlag(head, fields.m_leaving, statement);
  if (head.m_status == kServiceUnavailable) {
    const double seconds = ReadDecimal(head, "retry-after", statement).value_or(0);
    statement.m_pause = FromSeconds(std::min(seconds, ToSeconds(kMaxPause)));
  }
  return statement;
}

}  // namespace fescueramp
