#include "fescueramp/net/dialect.h"

namespace fescueramp {
namespace {

constexpr StatementFields kStatementFields{"endpoint-limit", "endpoint-draining"};
constexpr std::int64_t kFirstServerErrorStatus = 500;
constexpr std::int64_t kServiceUnavailable = 503;
constexpr std::int64_t kMillisecondsPerSecond = 1000;

}  // namespace

CallerMetadata NativeDialect::ReadCallerMetadata(const RequestHead&) const { return {}; }

void NativeDialect::AddAttemptFields(const AttemptMetadata& metadata, RequestHead& head) const {
  head.m_headers.push_back({"Fescue-Request-Id", metadata.m_request_id});
  head.m_headers.push_back({"Fescue-Account", metadata.m_account});
  head.m_headers.push_back({"Fescue-Attempt", std::to_string(metadata.m_attempt)});
  head.m_headers.push_back({"Fescue-Deadline-Ms", std::to_string(metadata.m_left_ms)});
}

ResponseInfo NativeDialect::ClassifyResponse(const AttemptMetadata& metadata,
                                             const ResponseHead& head) const {
  ResponseInfo info;
  const std::string_view id = FindHeader(head.m_headers, "fescue-request-id");
  if (!id.empty() && id != metadata.m_request_id) {
    info.m_kind = ResponseKind::kOtherRequest;
    return info;
  }
  info.m_statement = ReadEndpointStatement(head, kStatementFields);
  const bool shed =
      head.m_status == kServiceUnavailable && !FindHeader(head.m_headers, "endpoint-shed").empty();
  if (shed)
    info.m_kind = ResponseKind::kShed;
  else if (head.m_status >= kFirstServerErrorStatus)
    info.m_kind = ResponseKind::kServerError;
  return info;
}

std::int64_t NativeDialect::StatusOf(ResultCode code, bool) const {
  return GetResultInfo(code).m_http_status;
}

std::vector<HeaderField> NativeDialect::LocalResponseFields(const ResponseHead& head,
                                                            const std::string& request_id,
                                                            const CallerMetadata&) const {
  std::vector<HeaderField> fields = ForwardedResponseFields(head, request_id);
  fields.push_back({"Content-Type", "application/json"});
  if (head.m_recorded_status > 0) {
    fields.push_back({"Fescue-Recorded-Status", std::to_string(head.m_recorded_status)});
  }
  if (head.m_retry_after_ms > 0) {
    const std::int64_t seconds =
        (head.m_retry_after_ms + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    fields.push_back({"Retry-After", std::to_string(seconds)});
    fields.push_back({"Fescue-Retry-After-Ms", std::to_string(head.m_retry_after_ms)});
  }
  return fields;
}

std::vector<HeaderField> NativeDialect::ForwardedResponseFields(const ResponseHead& head,
                                                                const std::string& request_id) const {
  std::vector<HeaderField> fields;
  fields.push_back({"Fescue-Request-Id", request_id});
  fields.push_back({"Fescue-Code", std::to_string(head.m_code)});
  if (!head.m_receipt.empty()) fields.push_back({"Fescue-Receipt", head.m_receipt});
  return fields;
}

}  // namespace fescueramp
