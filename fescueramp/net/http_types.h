#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/config/service_part.h"
#include "fescueramp/core/text.h"

namespace fescueramp {

/// One HTTP header field.
struct HeaderField {
  std::string m_name;
  std::string m_value;
};
BOOST_DESCRIBE_STRUCT(HeaderField, (), (m_name, m_value))

/// Head of a caller's request, as it is sent to an endpoint.
struct RequestHead {
  std::string m_method;
  std::string m_target;
  std::vector<HeaderField> m_headers;
  std::int64_t m_content_length = -1;  ///< -1 when the body is chunked.
};
BOOST_DESCRIBE_STRUCT(RequestHead, (), (m_method, m_target, m_headers, m_content_length))

/// Head of a response to a caller.
struct ResponseHead {
  std::int64_t m_status = 0;
  std::vector<HeaderField> m_headers;
  std::int64_t m_content_length = -1;  ///< -1 when unknown.
  std::int64_t m_code = 0;             ///< Numeric value of a ResultCode.
  std::int64_t m_retry_after_ms = 0;
  std::int64_t m_recorded_status = 0;  ///< For ALREADY_RUN: HTTP status of the earlier run.
  bool m_maybe_ran = false;            ///< Whether the work may have run, if no endpoint responded.
  std::string m_receipt;               ///< Receipt of the dispatch decision; empty without one.
  SplitView m_split;                   ///< For OTHER_PART: how the service is split.
  bool m_part_full = false;            ///< For OTHER_PART: whether the refusing part is full.
};
BOOST_DESCRIBE_STRUCT(ResponseHead, (),
                      (m_status, m_headers, m_content_length, m_code, m_retry_after_ms, m_recorded_status,
                       m_maybe_ran, m_receipt, m_split, m_part_full))

/// Bytes of a request head's texts.
std::size_t HeadBytes(const RequestHead& head);

/// Value of the first field with this name, which is given in lower case; empty when there is none.
std::string_view FindHeader(const std::vector<HeaderField>& headers, std::string_view lower_case_name);

/// Whether a field must not be forwarded: hop-by-hop, framing, or reserved for fescueramp.
bool IsStrippedHeader(std::string_view name);

}  // namespace fescueramp
