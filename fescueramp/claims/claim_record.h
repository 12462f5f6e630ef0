#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"

namespace fescueramp {

/// What is known of the work with one idempotency key.
enum class ClaimState {
  kClaimed,   ///< It may run, or may have run.
  kDone,      ///< It ran, and its status is recorded.
  kReleased,  ///< It did not run; the key is free again.
};

template <>
struct EnumTable<ClaimState> {
  static constexpr std::array<std::string_view, 3> kNames = {"claimed", "done", "released"};
};

/// One line of the claim log; a later line for the same key replaces an earlier one.
struct ClaimEntry {
  std::uint64_t m_key = 0;    ///< Hash of service, account and idempotency key.
  std::uint64_t m_claim = 0;  ///< Hash of the request that made the claim.
  ClaimState m_state = ClaimState::kClaimed;
  std::int64_t m_status = 0;     ///< HTTP status with which the work ended; 0 if not known.
  std::int64_t m_expires_s = 0;  ///< Unix time from which the key is forgotten, seconds.
};
BOOST_DESCRIBE_STRUCT(ClaimEntry, (), (m_key, m_claim, m_state, m_status, m_expires_s))

/// A full part of the claim log, kept under a key of its own and never changed.
struct ClaimSegment {
  std::string m_id;
  std::int64_t m_expires_s = 0;  ///< Unix time at which its last entry expires, seconds.
};
BOOST_DESCRIBE_STRUCT(ClaimSegment, (), (m_id, m_expires_s))

/// Head of the claim log of one group of services. Only changed by compare-and-swap.
struct ClaimRecord {
  std::int64_t m_epoch = 0;  ///< Grows whenever another node takes the log over.
  std::string m_holder;      ///< Node that wrote last.
  std::vector<ClaimSegment> m_segments;
  std::vector<ClaimEntry> m_entries;
};
BOOST_DESCRIBE_STRUCT(ClaimRecord, (), (m_epoch, m_holder, m_segments, m_entries))

}  // namespace fescueramp
