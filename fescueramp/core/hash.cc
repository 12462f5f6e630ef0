#include "fescueramp/core/hash.h"

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace fescueramp {
namespace {

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  std::string hex;
  hex.reserve(size * 2);
  boost::algorithm::hex_lower(bytes, bytes + size, std::back_inserter(hex));
  return hex;
}

}  // namespace

std::uint64_t Hash64(std::string_view text, std::uint64_t seed) {
  return XXH64(text.data(), text.size(), seed);
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
  return ToHex(digest.data(), digest.size());
}

std::string HmacHex(std::string_view key, std::string_view text, std::size_t hex_digits) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
  return ToHex(digest.data(), size).substr(0, hex_digits);
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace fescueramp
