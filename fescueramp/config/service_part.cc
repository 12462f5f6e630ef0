#include "fescueramp/config/service_part.h"

#include <algorithm>
#include <map>

#include "fescueramp/core/hash.h"

namespace fescueramp {
namespace {

constexpr std::size_t kLeastZones = 2;  ///< A single part would be the whole service.

}  // namespace

std::string PartName(const ServicePart& part) {
  return part.m_zone.empty() ? part.m_service : part.m_service + "@" + part.m_zone;
}

std::uint64_t DigestOf(const SplitView& view) {
  if (view.m_zones.empty()) return 0;
  std::string text;
  for (const auto& zone : view.m_zones) text += zone + "\n";
  return Hash64(text);
}

void ServiceSplit::Update(const std::vector<LiveEndpoint>& endpoints, const std::string& service,
                          std::int64_t least) {
  std::map<std::string, std::int64_t> counts;
  for (const auto& endpoint : endpoints) {
    if (endpoint.m_service == service) ++counts[endpoint.m_zone];
  }
  std::vector<std::string> zones;
  for (const auto& [zone, count] : counts) {
    if (least > 0 && count >= least) zones.push_back(zone);
  }
  m_zones = zones.size() < kLeastZones ? std::vector<std::string>() : std::move(zones);
}

std::vector<LiveEndpoint> ServiceSplit::EndpointsOf(const ServicePart& part,
                                                    const std::vector<LiveEndpoint>& endpoints) const {
  // A part that is no more serves with all endpoints what it is asked for all the same.
  const bool whole = std::find(m_zones.begin(), m_zones.end(), part.m_zone) == m_zones.end();
  std::vector<LiveEndpoint> found;
  for (const auto& endpoint : endpoints) {
    if (endpoint.m_service != part.m_service) continue;
    if (whole || ServingZone(m_zones, endpoint.m_zone, endpoint.m_name) == part.m_zone) {
      found.push_back(endpoint);
    }
  }
  return found;
}

std::string ServingZone(const std::vector<std::string>& zones, const std::string& zone,
                        const std::string& key) {
  if (zones.empty()) return {};
  if (std::find(zones.begin(), zones.end(), zone) != zones.end()) return zone;
  // By rendezvous: when a part comes or goes, only what is its own moves.
  return *std::max_element(zones.begin(), zones.end(), [&](const std::string& a, const std::string& b) {
    return Hash64(a + "\n" + key) < Hash64(b + "\n" + key);
  });
}

}  // namespace fescueramp
