#pragma once

#include <string>
#include <vector>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_types.h"

/// Header fields on streams between nodes.
namespace fescueramp::wire {

inline constexpr const char* kDispatchPath = "/dispatch";
inline constexpr const char* kConfigPath = "/config/";
inline constexpr const char* kQueryPath = "/query/";

inline constexpr const char* kDispatchField = "fescue-dispatch";  ///< DispatchRequest as JSON.
inline constexpr const char* kHeadField = "fescue-head";          ///< RequestHead as JSON.
inline constexpr const char* kHopsField = "fescue-hops";
inline constexpr const char* kPermitField = "fescue-permit";  ///< Present when the work needs a permit.
inline constexpr const char* kNoPermitField = "fescue-no-permit";
inline constexpr const char* kAuthField = "fescue-auth";      ///< Code made with the link key.
inline constexpr const char* kAnswerField = "fescue-answer";  ///< ResponseHead as JSON.

/// Code that shows that the sender knows a link key.
inline std::string MakeAuthCode(const std::string& key, std::string_view subject) {
  return HmacHex(key, subject, 32);
}

/// Whether the code was made with one of the keys.
inline bool CheckAuth(const std::vector<std::string>& keys, std::string_view code, std::string_view subject) {
  return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return EqualInConstantTime(code, MakeAuthCode(key, subject));
  });
}

/// JSON of a struct in a header field.
template <typename T>
HeaderField JsonField(const char* name, const T& value) {
  return {name, json::serialize(ToCompactJson(value))};
}

/// Struct from the JSON in a header field. @throws Error when it is malformed.
template <typename T>
T FromField(const std::vector<HeaderField>& headers, const char* name) {
  return FromJson<T>(ParseJson(FindHeader(headers, name)));
}

}  // namespace fescueramp::wire
