#pragma once

#include <string>
#include <vector>

#include "fescueramp/core/result_code.h"
#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/endpoint_statement.h"
#include "fescueramp/net/http_types.h"

namespace fescueramp {

/// Metadata that a caller sends with its request.
struct CallerMetadata {
  std::string m_request_id;        ///< Request ID set by the caller; empty when unset.
  std::int64_t m_patience_ms = 0;  ///< Caller's timeout, ms; 0 when unset.
};

/// Metadata that an endpoint gets with one attempt of a request.
struct AttemptMetadata {
  std::string m_request_id;  ///< Request ID assigned by the fleet.
  std::string m_caller_id;   ///< Request ID set by the caller; empty when unset.
  std::string m_account;
  std::string m_endpoint;  ///< Name of the endpoint that the attempt is sent to.
  std::int64_t m_attempt = 0;
  std::int64_t m_left_ms = 0;        ///< Time left until the deadline, ms.
  bool m_reused_connection = false;  ///< Whether the connection carried other requests before.
};

/// Classification of an endpoint's response.
enum class ResponseKind {
  kCompleted,     ///< The work ran and did not fail with a server error.
  kServerError,   ///< The work ran and failed with a 5xx status.
  kShed,          ///< The endpoint rejected the request without running the work.
  kMisdirected,   ///< Another endpoint now has the address; the work did not run.
  kOtherRequest,  ///< The response belongs to another request.
  kInvalid,       ///< The response can't come from the endpoint.
};

/// Classification of an endpoint's response and what its header fields state.
struct ResponseInfo {
  ResponseKind m_kind = ResponseKind::kCompleted;
  std::int64_t m_idle_ms = 0;  ///< Idle time until the endpoint closes a connection, ms; 0 when unknown.
  /// Set only if the response belongs to the request and its endpoint.
  EndpointStatement m_statement;
};

/// Names of the header fields in which endpoints state something about themselves, in lower case.
struct StatementFields {
  std::string_view m_limit;    ///< Requests a second, as a decimal number.
  std::string_view m_leaving;  ///< "1" if the endpoint is leaving, else "0".
};

/// Reads what a response states about its endpoint. Fields that can't be read are ignored. The Retry-After of
/// a refusal is taken in seconds, up to `kMaxPause`.
EndpointStatement ReadEndpointStatement(const ResponseHead& head, const StatementFields& fields);

/// HTTP header fields and statuses used between callers, nodes and endpoints.
class Dialect {
 public:
  virtual ~Dialect() = default;

  /// Extracts the caller's metadata from a request head.
  virtual CallerMetadata ReadCallerMetadata(const RequestHead& head) const = 0;

  /// Adds the header fields of an attempt to the request that is sent to an endpoint.
  virtual void AddAttemptFields(const AttemptMetadata& metadata, RequestHead& head) const = 0;

  /// Classifies a response head of an endpoint. `metadata` is what its request was sent with.
  virtual ResponseInfo ClassifyResponse(const AttemptMetadata& metadata, const ResponseHead& head) const = 0;

  /// HTTP status sent to the caller for a result without an endpoint's response.
  /// @param maybe_ran Whether the work may have run.
  virtual std::int64_t StatusOf(ResultCode code, bool maybe_ran) const = 0;

  /// Header fields of a response that this node generates.
  virtual std::vector<HeaderField> LocalResponseFields(const ResponseHead& head,
                                                       const std::string& request_id,
                                                       const CallerMetadata& caller) const = 0;

  /// Header fields added to an endpoint's response.
  virtual std::vector<HeaderField> ForwardedResponseFields(const ResponseHead& head,
                                                           const std::string& request_id) const = 0;
};

/// Dialect with fescueramp's native header fields.
class NativeDialect final : public Dialect {
 public:
  CallerMetadata ReadCallerMetadata(const RequestHead& head) const override;
  void AddAttemptFields(const AttemptMetadata& metadata, RequestHead& head) const override;
  ResponseInfo ClassifyResponse(const AttemptMetadata& metadata, const ResponseHead& head) const override;
  std::int64_t StatusOf(ResultCode code, bool maybe_ran) const override;
  std::vector<HeaderField> LocalResponseFields(const ResponseHead& head, const std::string& request_id,
                                               const CallerMetadata& caller) const override;
  std::vector<HeaderField> ForwardedResponseFields(const ResponseHead& head,
                                                   const std::string& request_id) const override;
};

}  // namespace fescueramp
