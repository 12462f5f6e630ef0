#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/config/live_endpoint.h"
#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// What a node may do with its list of live endpoints.
enum class EndpointListState {
  kNone,       ///< There has been no list yet.
  kCurrent,    ///< Received since the watch began; the watch keeps it up to date.
  kOutdated,   ///< From an earlier watch: endpoints may have left since. Requests wait for the next list.
  kLastKnown,  ///< From an earlier watch, and used because the store is away.
};

template <>
struct EnumTable<EndpointListState> {
  static constexpr std::array<std::string_view, 4> kNames = {"none", "current", "outdated", "last_known"};
};

/// The list of live endpoints that a node has, and whether it may be used. A node watches the list only while
/// it dispatches, so the one that it has when it begins to dispatch again may be old.
class EndpointList {
 public:
  /// Takes a list that was received while the node watches, unless a newer one is known.
  /// @return Whether it was taken.
  bool Set(std::int64_t version, std::vector<LiveEndpoint> endpoints);

  /// Notes that the node begins to watch the list.
  void HandleWatchStart(Instant now) { m_watch_start = now; }

  /// Notes that the node doesn't watch the list any more.
  void HandleWatchEnd();

  /// Notes that the store couldn't be read. An outdated list may be used, until the next one comes, if that
  /// has been so since the watch began and for longer than a slow node needs for a read.
  void HandleReadFailure(Instant now);

  EndpointListState State() const { return m_state; }

  /// Whether requests may be sent to the endpoints of the list.
  bool Usable() const {
    return m_state == EndpointListState::kCurrent || m_state == EndpointListState::kLastKnown;
  }

  /// Store version of the list; 0 without one.
  std::int64_t Version() const { return m_version; }

  /// Number of lists taken so far.
  std::int64_t Generation() const { return m_generation; }

  const std::vector<LiveEndpoint>& Endpoints() const { return m_endpoints; }

 private:
  EndpointListState m_state = EndpointListState::kNone;
  std::vector<LiveEndpoint> m_endpoints;
  std::int64_t m_version = 0;
  std::int64_t m_generation = 0;
  Instant m_watch_start{};
};

}  // namespace fescueramp
