#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/config/live_endpoint.h"

namespace fescueramp {

/// A part of a service: the endpoints that one dispatcher uses, those of an availability zone or all of them.
struct ServicePart {
  std::string m_service;
  std::string m_zone;  ///< Empty when the part is the whole service.

  bool operator==(const ServicePart&) const = default;
};

/// Name of a part, unique among services.
std::string PartName(const ServicePart& part);

/// How a service is split into parts, as one node reports it to another.
struct SplitView {
  std::int64_t m_version = 0;        ///< Version of the list of endpoints that it follows from.
  std::vector<std::string> m_zones;  ///< Zones that have parts, in order; empty when it is not split.
};
BOOST_DESCRIBE_STRUCT(SplitView, (), (m_version, m_zones))

/// Hash of the zones of a view; two views with the same zones have the same hash.
std::uint64_t SplitDigest(const SplitView& view);

/// Determines the zones by which the endpoints of a service are split into parts, each with its own
/// dispatcher.
///
/// This is for services with more load than one host can carry: a split by zone limits the load of one
/// dispatcher and the effect of its loss, and keeps responses within their zone. A zone with few endpoints
/// gets no part, because a small part has no alternatives while some of its endpoints fail.
/// The split depends on the current endpoints alone, not on earlier ones: nodes that have the same list
/// agree, so no endpoint is assigned to a part that receives no requests.
class ServiceSplit {
 public:
  /// Computes the split from the current endpoints of a service.
  /// @param least Least endpoints, leaving ones included, for which a zone gets a part; 0 for never.
  void Update(const std::vector<LiveEndpoint>& endpoints, const std::string& service,
              std::int64_t min_endpoints);

  /// Zones that have parts, in order; empty when the service is not split.
  const std::vector<std::string>& Zones() const { return m_zones; }

  /// Endpoints of a part. Endpoints of a zone without a part are assigned to the part of another zone.
  std::vector<LiveEndpoint> EndpointsOf(const ServicePart& part,
                                        const std::vector<LiveEndpoint>& endpoints) const;

 private:
  std::vector<std::string> m_zones;
};

/// Returns the zone whose part serves `zone`: itself if it is one of `zones`, the zones with parts, otherwise
/// one of them chosen by rendezvous hashing of `key`. Empty when `zones` is empty.
std::string ServingZone(const std::vector<std::string>& zones, const std::string& zone,
                        const std::string& key);

}  // namespace fescueramp
