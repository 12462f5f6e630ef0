#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"

namespace fescueramp {

/// State of one idempotency key.
enum class ClaimState {
  kClaimed,   ///< The request that claimed the key may run or may have run.
  kDone,      ///< The request has run, and its status is recorded.
  kReleased,  ///< The request did not run; the key can be claimed again.
};

template <>
struct EnumTable<ClaimState> {
  static constexpr std::array<std::string_view, 3> kNames = {"claimed", "done", "released"};
};

/// Entry of the claim log; a later entry for the same key replaces an earlier one.
struct ClaimEntry {
  std::uint64_t m_key = 0;    ///< Hash of service, account and idempotency key.
  std::uint64_t m_claim = 0;  ///< Hash of the request that made the claim.
  ClaimState m_state = ClaimState::kClaimed;
  std::int64_t m_status = 0;     ///< HTTP status with which the request ended; 0 if unknown.
  std::int64_t m_expires_s = 0;  ///< Unix time at which the key expires, seconds.
};
BOOST_DESCRIBE_STRUCT(ClaimEntry, (), (m_key, m_claim, m_state, m_status, m_expires_s))

/// Immutable segment of the claim log, which is stored under its own key.
struct ClaimSegment {
  std::string m_id;
  std::int64_t m_expires_s = 0;  ///< Unix time at which its last entry expires, seconds.
};
BOOST_DESCRIBE_STRUCT(ClaimSegment, (), (m_id, m_expires_s))

/// Head of the claim log of one group of services: the list of segments and the entries that are not in a
/// segment yet. It is changed only by compare-and-swap.
struct ClaimRecord {
  std::int64_t m_epoch = 0;  ///< Incremented when another node starts to write the log.
  std::string m_holder;      ///< Node that wrote the head last.
  std::vector<ClaimSegment> m_segments;
  std::vector<ClaimEntry> m_entries;
};
BOOST_DESCRIBE_STRUCT(ClaimRecord, (), (m_epoch, m_holder, m_segments, m_entries))

}  // namespace fescueramp
