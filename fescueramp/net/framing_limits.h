#pragma once

#include <array>
#include <cstddef>
#include <stdexcept>
#include <string_view>

#include "fescueramp/core/enum_table.h"

namespace fescueramp {

/// Limits of the bytes around the data of a chunked body, which take memory or time without adding to the
/// body's size.
struct FramingLimits {
  std::size_t m_max_chunk_line_bytes = 16 * 1024;  ///< Size digits and extensions of one chunk, bytes.
  std::size_t m_max_trailer_bytes = 16 * 1024;     ///< All trailer fields of a message, bytes.
  /// All chunk lines and trailer fields of a body, bytes. Small chunks may have `kFramingBytesPerDataByte`
  /// for each byte of data in addition.
  std::size_t m_max_framing_bytes = 256 * 1024;
};

/// A chunk of one byte has at least 5 bytes around it; allows short extensions.
inline constexpr std::size_t kFramingBytesPerDataByte = 16;

/// Limit that a message exceeds.
enum class ExceededLimit { kNone, kHead, kChunkLine, kTrailer, kFraming };

template <>
struct EnumTable<ExceededLimit> {
  static constexpr std::array<std::string_view, 5> kNames = {"", "head", "chunk_line", "trailer", "framing"};
};

/// Counts the framing of one body while it is parsed, and compares it with the limits.
class FramingCounter {
 public:
  explicit FramingCounter(const FramingLimits& limits) : m_limits(limits) {}

  /// Counts bytes that were parsed in one step: a chunk line, data, or the end of a chunked body.
  /// @param data Number of bytes of data among them.
  /// @param at_end Whether the body ended with them.
  void Count(std::size_t parsed, std::size_t data, bool at_end);

  /// Checks the start of a chunk line, or of the end of a body, that can't be parsed before more arrives.
  void CheckUnparsed(std::string_view bytes);

  /// Limit that the body exceeds.
  ExceededLimit Exceeded() const { return m_exceeded; }

 private:
  const FramingLimits m_limits;
  std::size_t m_data_bytes = 0;
  std::size_t m_framing_bytes = 0;
  ExceededLimit m_exceeded = ExceededLimit::kNone;
};

/// The body of a request exceeds a limit. No more of it is read.
class RequestRefused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace fescueramp
