#include "fescueramp/node/endpoint_list.h"

#include <utility>

namespace fescueramp {
namespace {

/// Time of failed reads after which the store is away, rather than this node or its network slow.
constexpr Duration kOutageTime = std::chrono::seconds(3);

}  // namespace

bool EndpointList::Set(std::int64_t version, std::vector<LiveEndpoint> endpoints) {
  if (version < m_version) return false;
  m_version = version;
  ++m_generation;
  m_endpoints = std::move(endpoints);
  m_state = EndpointListState::kCurrent;
  return true;
}

void EndpointList::HandleWatchEnd() {
  if (m_state != EndpointListState::kNone) m_state = EndpointListState::kOutdated;
}

void EndpointList::HandleReadFailure(Instant now) {
  if (m_state == EndpointListState::kOutdated && now - m_watch_start >= kOutageTime)
    m_state = EndpointListState::kLastKnown;
}

}  // namespace fescueramp
