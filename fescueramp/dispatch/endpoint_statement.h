#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <optional>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Whether a response states something about its endpoint.
enum class StatementKind {
  kNone,       ///< No response of the endpoint was read.
  kValid,      ///< All fields of the response could be read; an absent one means that nothing is stated.
  kMalformed,  ///< The response has a field with a value that can't be read, which is ignored.
};

template <>
struct EnumTable<StatementKind> {
  static constexpr std::array<std::string_view, 3> kNames = {"none", "valid", "malformed"};
};

/// Longest pause that an endpoint may ask for, so that no value takes it out of use for good.
inline constexpr Duration kMaxPause = std::chrono::minutes(5);

/// What an endpoint states about itself in a response.
struct EndpointStatement {
  StatementKind m_kind = StatementKind::kNone;
  /// Requests a second that the endpoint takes from all hosts together; nothing if it states no limit.
  std::optional<double> m_limit_per_s;
  bool m_leaving = false;  ///< Whether the endpoint is leaving and takes no new requests.
  Duration m_pause{};      ///< Time for which it takes no requests; 0 if it states none.
};
BOOST_DESCRIBE_STRUCT(EndpointStatement, (), (m_kind, m_limit_per_s, m_leaving, m_pause))

}  // namespace fescueramp
