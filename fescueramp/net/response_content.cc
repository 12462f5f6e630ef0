#include "fescueramp/net/response_content.h"

namespace fescueramp {
namespace {

constexpr std::int64_t kFirstFinalStatus = 200;
constexpr std::int64_t kNoContent = 204;
constexpr std::int64_t kNotModified = 304;

}  // namespace

ResponseContent ContentOfResponse(std::string_view method, std::int64_t status) {
  if (status < kFirstFinalStatus || status == kNoContent) return ResponseContent::kNothing;
  if (method == "HEAD" || status == kNotModified) return ResponseContent::kLength;
  return ResponseContent::kBody;
}

}  // namespace fescueramp
