#include "fescueramp/net/dialect.h"

namespace fescueramp {

EndpointStatement ReadEndpointStatement(const std::vector<HeaderField>& headers,
                                        std::string_view limit_field) {
  EndpointStatement statement;
  statement.m_kind = StatementKind::kValid;
  for (const HeaderField& field : headers) {
    if (ToLower(field.m_name) != limit_field) continue;
    const auto limit = ParseDecimal(field.m_value);
    // Of two values, neither can be preferred.
    if (!limit || statement.m_limit_per_s) return {StatementKind::kMalformed, std::nullopt};
    statement.m_limit_per_s = limit;
  }
  return statement;
}

}  // namespace fescueramp
