#include "fescueramp/core/result_code.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace fescueramp {
namespace {

constexpr std::array kTable = {
    ResultInfo{ResultCode::kOk, "OK", 200, "Done."},
    ResultInfo{ResultCode::kMalformedRequest, "MALFORMED_REQUEST", 400,
               "The request could not be read. Correct it."},
    ResultInfo{ResultCode::kNoRoute, "NO_ROUTE", 404, "No route matches the method and path."},
    ResultInfo{ResultCode::kUnknownAccount, "UNKNOWN_ACCOUNT", 401, "The API key belongs to no account."},
    ResultInfo{ResultCode::kMissingIdempotencyKey, "MISSING_IDEMPOTENCY_KEY", 400,
               "The route is not repeatable: send an Idempotency-Key of 1 to 128 characters."},
    ResultInfo{ResultCode::kRateLimited, "RATE_LIMITED", 429,
               "The account is above its rate. This attempt was not run. Retry after the stated time."},
    ResultInfo{ResultCode::kConcurrencyLimited, "CONCURRENCY_LIMITED", 429,
               "The account has too many requests open. This attempt was not run."},
    ResultInfo{ResultCode::kBodyTooLarge, "BODY_TOO_LARGE", 413,
               "The body is larger than the route accepts."},
    ResultInfo{ResultCode::kNotReady, "NOT_READY", 503,
               "The node has no configuration yet. This attempt was not run. Retry elsewhere."},
    ResultInfo{ResultCode::kNotRun, "NOT_RUN", 503,
               "The work was not run. Retry after the stated time, with the same key if it has one."},
    ResultInfo{ResultCode::kAttemptNotRun, "ATTEMPT_NOT_RUN", 503,
               "This attempt was not run; earlier attempts with the same key could not be checked. "
               "Retry with the same key."},
    ResultInfo{ResultCode::kOutcomeUnknown, "OUTCOME_UNKNOWN", 504,
               "The work may have run. Asking again with the same key never runs it twice."},
    ResultInfo{ResultCode::kAlreadyRun, "ALREADY_RUN", 409,
               "Work with this key has run before; Fescue-Recorded-Status has the status it ended with."},
    ResultInfo{ResultCode::kQuarantined, "QUARANTINED", 422,
               "Requests like this one made endpoints crash and are refused for a while."},
    ResultInfo{ResultCode::kDeadlineExceeded, "DEADLINE_EXCEEDED", 504,
               "The deadline passed before an answer; the work is repeatable and may have run."},
    ResultInfo{ResultCode::kResponseIncomplete, "ANSWER_INCOMPLETE", 502,
               "The answer broke off and no retry was possible; the work is repeatable."},
    ResultInfo{ResultCode::kOtherPart, "OTHER_PART", 503,
               "The dispatcher gives the request to that of another zone. This attempt was not run."},
    ResultInfo{
        ResultCode::kMemoryFull, "MEMORY_FULL", 503,
        "The node holds too much for other requests. This attempt was not run. Retry after the stated time."},
    ResultInfo{ResultCode::kInvalidObjectSet, "INVALID_OBJECT_SET", 422,
               "The object set has mistakes; nothing of it was published."},
    ResultInfo{ResultCode::kRevisionConflict, "REVISION_CONFLICT", 409,
               "Another revision was published meanwhile. Review what changed and publish again."},
    ResultInfo{ResultCode::kStoreUnavailable, "STORE_UNAVAILABLE", 503,
               "The platform's store did not answer. Publishing again with the same publish id is safe."},
    ResultInfo{ResultCode::kUnauthorized, "UNAUTHORIZED", 401, "The operator token is missing or unknown."},
    ResultInfo{ResultCode::kForbidden, "FORBIDDEN", 403, "The operator's role does not allow this."},
    ResultInfo{ResultCode::kNotFound, "NOT_FOUND", 404,
               "There is no such thing here, or it is no longer kept."},
    ResultInfo{ResultCode::kInvalidSettings, "INVALID_SETTINGS", 422, "The settings file has mistakes."},
    ResultInfo{ResultCode::kInvalidTrace, "INVALID_TRACE", 422, "The trace file cannot be read."},
    ResultInfo{ResultCode::kReceiptInvalid, "RECEIPT_INVALID", 422,
               "The receipt was not made with this key."},
    ResultInfo{ResultCode::kUsage, "USAGE", 400, "The command or query is not understood."},
};

}  // namespace

std::span<const ResultInfo> ResultTable() { return kTable; }

bool IsResultCode(std::int64_t number) {
  return std::any_of(kTable.begin(), kTable.end(),
                     [&](const auto& row) { return static_cast<std::int64_t>(row.m_code) == number; });
}

const ResultInfo& GetResultInfo(ResultCode code) {
  const auto* row =
      std::find_if(kTable.begin(), kTable.end(), [&](const auto& r) { return r.m_code == code; });
  assert(row != kTable.end());
  return *row;
}

}  // namespace fescueramp
