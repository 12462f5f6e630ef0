#include "fescueramp/config/partition.h"

#include "fescueramp/config/object_set.h"
#include "fescueramp/core/hash.h"
#include "fescueramp/core/json_codec.h"

namespace fescueramp {
namespace {

constexpr std::size_t kObjectsPerPart = 64;
constexpr std::size_t kHashDigits = 32;

std::size_t BucketsFor(std::size_t objects) {
  std::size_t buckets = 1;
  while (buckets * kObjectsPerPart < objects) buckets *= 2;
  return buckets;
}

}  // namespace

std::string ContentHash(std::string_view text) { return Sha256Hex(text).substr(0, kHashDigits); }

std::vector<ObjectSetPart> PartitionObjectSet(const ObjectSet& set) {
  const json::value root = ParseJson(SerializeObjectSet(set));
  std::vector<ObjectSetPart> parts;
  for (const auto& [kind, objects] : root.as_object()) {
    const std::size_t buckets = BucketsFor(objects.as_object().size());
    std::vector<json::object> bodies(buckets);
    for (const auto& [name, body] : objects.as_object())
      bodies[Hash64(std::string_view(name)) % buckets][name] = body;
    for (auto& body : bodies) {
      if (body.empty()) continue;
      std::string text = json::serialize(json::object{{std::string_view(kind), std::move(body)}});
      parts.push_back({ContentHash(text), std::move(text)});
    }
  }
  return parts;
}

}  // namespace fescueramp
