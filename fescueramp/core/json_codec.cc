#include "fescueramp/core/json_codec.h"

#include <algorithm>

namespace fescueramp {

json::value ParseJson(std::string_view text, ResultCode code) {
  json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  options.max_depth = 32;
  json::stream_parser parser({}, options);
  json::error_code ec;
  const std::size_t parsed = parser.write_some(text.data(), text.size(), ec);
  if (!ec && parsed < text.size()) ec = json::error::extra_data;
  if (!ec) parser.finish(ec);
  if (ec) {
    // The parser can report more characters than the text has if the text begins with an incomplete comment.
    const std::size_t read = std::min(parsed, text.size());
    const auto line = std::count(text.begin(), text.begin() + static_cast<std::ptrdiff_t>(read), '\n') + 1;
    throw Error(code, "invalid JSON near line " + std::to_string(line) + ": " + ec.message());
  }
  return parser.release();
}

}  // namespace fescueramp
