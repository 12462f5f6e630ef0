#pragma once

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "fescueramp/net/framing_limits.h"

namespace fescueramp {

/// Parses what a buffer holds of a body, up to the space for its data.
/// @return need_more if the body goes on, need_buffer if the space is full, body_limit if the framing exceeds
/// a limit, or the error of the parser.
template <typename Parser>
boost::beast::error_code ParseBody(Parser& parser, boost::beast::flat_buffer& buffer,
                                   FramingCounter& framing) {
  namespace http = boost::beast::http;
  boost::beast::error_code ec;
  // Each step parses one chunk line or one piece of data, so that their sizes are known.
  parser.eager(false);
  while (!ec && !parser.is_done() && buffer.size() > 0) {
    const std::size_t space = parser.get().body().size;
    const std::size_t parsed = parser.put(buffer.data(), ec);
    buffer.consume(parsed);
    framing.Count(parsed, space - parser.get().body().size, parser.is_done());
    if (framing.Exceeded() != ExceededLimit::kNone) return http::error::body_limit;
  }
  if (!ec && !parser.is_done()) ec = http::error::need_more;
  if (ec == http::error::need_more && parser.chunked()) {
    const auto unparsed = buffer.data();
    framing.CheckUnparsed({static_cast<const char*>(unparsed.data()), unparsed.size()});
    if (framing.Exceeded() != ExceededLimit::kNone) return http::error::body_limit;
  }
  // Trailer fields are not passed on, so they need not be kept.
  if (parser.is_done()) parser.get().clear();
  return ec;
}

}  // namespace fescueramp
