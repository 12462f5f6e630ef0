#include "fescueramp/net/framing_limits.h"

namespace fescueramp {
namespace {

constexpr std::string_view kLineEnd = "\r\n";

}  // namespace

void FramingCounter::Count(std::size_t parsed, std::size_t data, bool at_end) {
  const std::size_t framing = parsed - data;
  m_data_bytes += data;
  m_framing_bytes += framing;
  // A chunk line is parsed together with the line ends before and after it.
  const std::size_t max_line = m_limits.m_max_chunk_line_bytes + 2 * kLineEnd.size();
  if (m_exceeded != ExceededLimit::kNone) return;
  if (at_end && framing > max_line + m_limits.m_max_trailer_bytes) {
    m_exceeded = ExceededLimit::kTrailer;
  } else if (!at_end && framing > max_line) {
    m_exceeded = ExceededLimit::kChunkLine;
  } else if (m_framing_bytes > m_limits.m_max_framing_bytes + kFramingBytesPerDataByte * m_data_bytes) {
    m_exceeded = ExceededLimit::kFraming;
  }
}

void FramingCounter::CheckUnparsed(std::string_view bytes) {
  if (bytes.starts_with(kLineEnd)) bytes.remove_prefix(kLineEnd.size());
  const std::size_t line = bytes.substr(0, m_limits.m_max_chunk_line_bytes + kLineEnd.size()).find(kLineEnd);
  if (m_exceeded != ExceededLimit::kNone) return;
  if (line == std::string_view::npos) {
    if (bytes.size() > m_limits.m_max_chunk_line_bytes) m_exceeded = ExceededLimit::kChunkLine;
  } else if (bytes.size() - line > m_limits.m_max_trailer_bytes + 2 * kLineEnd.size()) {
    m_exceeded = ExceededLimit::kTrailer;
  }
}

}  // namespace fescueramp
