#pragma once

#include <string>
#include <vector>

#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"
#include "fescueramp/net/http_types.h"

/// Paths and header fields of streams between nodes.
namespace fescueramp::wire {

inline constexpr const char* kDispatchPath = "/dispatch";
inline constexpr const char* kConfigPath = "/config/";
inline constexpr const char* kQueryPath = "/query/";

inline constexpr const char* kDispatchField = "fescue-dispatch";  ///< DispatchRequest as JSON.
inline constexpr const char* kHeadField = "fescue-head";          ///< RequestHead as JSON.
inline constexpr const char* kHopsField = "fescue-hops";          ///< Number of relays so far, 0 or 1.
inline constexpr const char* kPermitField = "fescue-permit";  ///< Sent if the first attempt needs a permit.
inline constexpr const char* kNoPermitField =
    "fescue-no-permit";  ///< Sent by a relay if no permit is needed; not read.
inline constexpr const char* kAuthField = "fescue-auth";        ///< Authentication code; see MakeAuthCode.
inline constexpr const char* kResponseField = "fescue-answer";  ///< ResponseHead as JSON.

/// Message authentication code of `subject`, made with a link key.
inline std::string MakeAuthCode(const std::string& key, std::string_view subject) {
  return HmacHex(key, subject, 32);
}

/// Whether `code` authenticates `subject` under one of the keys.
inline bool VerifyAuthCode(const std::vector<std::string>& keys, std::string_view code,
                           std::string_view subject) {
  return std::any_of(keys.begin(), keys.end(), [&](const std::string& key) {
    return EqualInConstantTime(code, MakeAuthCode(key, subject));
  });
}

/// Header field that holds a struct as JSON.
template <typename T>
HeaderField MakeJsonField(const char* name, const T& value) {
  return {name, json::serialize(ToCompactJson(value))};
}

/// Parses a struct from the JSON in a header field. @throws Error when the field is missing or malformed.
template <typename T>
T ParseJsonField(const std::vector<HeaderField>& headers, const char* name) {
  return FromJson<T>(ParseJson(FindHeader(headers, name)));
}

/// Parses the head of a dispatcher's response. @throws Error when it is missing, malformed, or has a result
/// code that this version doesn't know.
inline ResponseHead ParseResponseHead(const std::vector<HeaderField>& headers) {
  ResponseHead head = ParseJsonField<ResponseHead>(headers, kResponseField);
  if (!IsResultCode(head.m_code))
    throw Error(ResultCode::kMalformedRequest, "unknown result code " + std::to_string(head.m_code));
  return head;
}

}  // namespace fescueramp::wire
