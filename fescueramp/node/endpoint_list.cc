#include "fescueramp/node/endpoint_list.h"

#include <utility>

namespace fescueramp {

bool EndpointList::Set(std::int64_t version, std::vector<LiveEndpoint> endpoints) {
  if (version < m_version) return false;
  m_version = version;
  ++m_generation;
  m_endpoints = std::move(endpoints);
  m_state = EndpointListState::kCurrent;
  m_read_failed = false;
  return true;
}

void EndpointList::HandleWatchEnd() {
  m_read_failed = false;
  if (m_state != EndpointListState::kNone) m_state = EndpointListState::kOutdated;
}

void EndpointList::UseLastKnown() {
  if (m_state == EndpointListState::kOutdated) m_state = EndpointListState::kLastKnown;
}

}  // namespace fescueramp
