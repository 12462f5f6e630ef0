#pragma once

#include <cstdint>
#include <string_view>

namespace fescueramp {

/// What a response carries besides its status line and its other fields.
enum class ResponseContent {
  kBody,     ///< A body, framed by its length or in chunks.
  kLength,   ///< No body; a length, if there is one, is that of the body in a response to GET.
  kNothing,  ///< Neither a body nor a length.
};

/// What a response with this status to a request with this method carries. Source: RFC 9110, sections 6.4.1
/// and 8.6, and RFC 9112, section 6.3.
ResponseContent ContentOfResponse(std::string_view method, std::int64_t status);

}  // namespace fescueramp
