#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace fescueramp {

/// Result codes returned to callers and operators. Numbers are never reused.
enum class ResultCode : std::uint16_t {
  kOk = 0,
  kMalformedRequest = 1001,
  kNoRoute = 1002,
  kUnknownAccount = 1003,
  kMissingIdempotencyKey = 1004,
  kRateLimited = 1005,
  kConcurrencyLimited = 1006,
  kBodyTooLarge = 1007,
  kNotReady = 2001,
  kNotRun = 2002,
  kAttemptNotRun = 2003,
  kOutcomeUnknown = 2004,
  kAlreadyRun = 2005,
  kQuarantined = 2006,
  kDeadlineExceeded = 2007,
  kResponseIncomplete = 2008,
  kOtherPart = 2009,
  kMemoryFull = 2010,
  kInvalidObjectSet = 3001,
  kRevisionConflict = 3002,
  kStoreUnavailable = 3003,
  kUnauthorized = 3004,
  kForbidden = 3005,
  kNotFound = 3006,
  kInvalidSettings = 3007,
  kInvalidTrace = 3008,
  kReceiptInvalid = 3009,
  kUsage = 3010,
};

/// One row of the result table.
struct ResultInfo {
  ResultCode m_code;
  std::string_view m_name;
  int m_http_status;
  std::string_view m_text;  ///< Message for the caller or operator: what happened and what to do.
};

/// All result codes in ascending order of their numbers.
std::span<const ResultInfo> ResultTable();

/// Whether a number that another process sent is that of a result code.
bool IsResultCode(std::int64_t number);

/// Row of `code` in the result table; every enumerator has one.
const ResultInfo& GetResultInfo(ResultCode code);

}  // namespace fescueramp
