#pragma once

#include <string>
#include <vector>

#include "fescueramp/core/result_code.h"
#include "fescueramp/core/time.h"
#include "fescueramp/net/http_types.h"

namespace fescueramp {

/// What a caller says about its request.
struct CallerMetadata {
  std::string m_request_id;        ///< Id that the caller gave the request; empty when it gave none.
  std::int64_t m_patience_ms = 0;  ///< Time that the caller will wait, ms; 0 when it did not say.
};

/// What an endpoint is told about the work that it gets.
struct AttemptMetadata {
  std::string m_request_id;  ///< Id within the fleet.
  std::string m_caller_id;   ///< Id that the caller gave; empty when it gave none.
  std::string m_account;
  std::string m_endpoint;  ///< Endpoint that is meant.
  std::int64_t m_attempt = 0;
  std::int64_t m_left_ms = 0;  ///< Time in which an answer is of use, ms.
};

/// What an endpoint's answer is.
enum class ResponseKind {
  kCompleted,     ///< The answer of work that ran.
  kServerError,   ///< The work ran and failed.
  kShed,          ///< The endpoint did not run the work.
  kMisdirected,   ///< Another endpoint has the address; the work did not run.
  kOtherRequest,  ///< The answer belongs to another request.
  kInvalid,       ///< The bytes can't be the endpoint's answer.
};

/// Reading of an endpoint's answer.
struct ResponseInfo {
  ResponseKind m_kind = ResponseKind::kCompleted;
  bool m_leaving = false;      ///< Whether the endpoint takes no new work.
  std::int64_t m_idle_ms = 0;  ///< Time after which the endpoint closes an unused connection; 0 if not said.
};

/// Header fields and statuses by which callers, nodes and endpoints understand one another.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual CallerMetadata ReadCallerMetadata(const RequestHead& head) const = 0;

  /// Adds what the endpoint needs to know to a request's header.
  virtual void AddAttemptFields(const AttemptMetadata& terms, RequestHead& head) const = 0;

  virtual ResponseInfo ClassifyResponse(const AttemptMetadata& terms, const ResponseHead& head) const = 0;

  /// HTTP status of a result without an endpoint's answer.
  virtual std::int64_t StatusOf(ResultCode code, bool maybe_ran) const = 0;

  /// Fields of an answer without an endpoint's.
  virtual std::vector<HeaderField> LocalResponseFields(const ResponseHead& head,
                                                       const std::string& request_id,
                                                       const CallerMetadata& caller) const = 0;

  /// Fields added to an endpoint's answer.
  virtual std::vector<HeaderField> ForwardedResponseFields(const ResponseHead& head,
                                                           const std::string& request_id) const = 0;
};

/// The product's own dialect.
class NativeDialect final : public Dialect {
 public:
  CallerMetadata ReadCallerMetadata(const RequestHead& head) const override;
  void AddAttemptFields(const AttemptMetadata& terms, RequestHead& head) const override;
  ResponseInfo ClassifyResponse(const AttemptMetadata& terms, const ResponseHead& head) const override;
  std::int64_t StatusOf(ResultCode code, bool maybe_ran) const override;
  std::vector<HeaderField> LocalResponseFields(const ResponseHead& head, const std::string& request_id,
                                               const CallerMetadata& caller) const override;
  std::vector<HeaderField> ForwardedResponseFields(const ResponseHead& head,
                                                   const std::string& request_id) const override;
};

}  // namespace fescueramp
