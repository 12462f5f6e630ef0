#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/config/live_endpoint.h"

namespace fescueramp {

/// Endpoints of a service that one dispatcher has: those of an availability zone, or all of them.
struct ServicePart {
  std::string m_service;
  std::string m_zone;  ///< Empty when the part is the whole service.

  bool operator==(const ServicePart&) const = default;
};

/// Name of a part, unique among services.
std::string PartName(const ServicePart& part);

/// How a service is split, as one node told another.
struct SplitView {
  std::int64_t m_version = 0;        ///< Version of the list of endpoints that it follows from.
  std::vector<std::string> m_zones;  ///< Zones that have parts, in order; empty when it is not split.
};
BOOST_DESCRIBE_STRUCT(SplitView, (), (m_version, m_zones))

/// Tells views of one service apart by their zones.
std::uint64_t DigestOf(const SplitView& view);

/// Says into which zones a service's endpoints are split, each with a dispatcher of its own.
///
/// Answers the load pattern of a service that is more than one host can carry: a split by zone bounds what
/// one dispatcher carries and what its loss takes, and keeps answers within their zone. Few endpoints stay
/// together, as a small part has nobody to turn to while some of its endpoints fail.
/// It depends on the endpoints alone, not on what they were before: nodes that have the same list agree, so
/// no endpoint is left to a part that nobody asks.
class ServiceSplit {
 public:
  /// Looks at the endpoints that a service has now.
  /// @param least Endpoints, leaving ones included, from which a zone gets a part of its own; 0 for never.
  void Update(const std::vector<LiveEndpoint>& endpoints, const std::string& service, std::int64_t least);

  /// Zones that have parts, in order; empty when the service is not split.
  const std::vector<std::string>& Zones() const { return m_zones; }

  /// Endpoints of a part. Those of a zone without a part belong to another zone's.
  std::vector<LiveEndpoint> EndpointsOf(const ServicePart& part,
                                        const std::vector<LiveEndpoint>& endpoints) const;

 private:
  std::vector<std::string> m_zones;
};

/// The zone among those with parts that serves what is in `zone`: itself, or one by rendezvous of the key.
/// Empty when there are none.
std::string ServingZone(const std::vector<std::string>& zones, const std::string& zone,
                        const std::string& key);

}  // namespace fescueramp
