#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fescueramp/dispatch/dispatcher.h"

namespace fescueramp {

/// Reference dispatcher for comparison, with the common policies of node-local proxies: power of two choices
/// by outstanding requests, no queue, ejection after five consecutive errors, and one unconditional retry.
/// Source: M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
class BaselineDispatcher final : public Dispatcher {
 public:
  BaselineDispatcher(std::string service, std::string node, std::uint32_t seed);

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override;
  void SetLiveEndpoints(const std::vector<LiveEndpoint>&, std::int64_t, Instant, DispatchEffects&) override {}
  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override;
  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override;
  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override;
  void Tick(Instant now, DispatchEffects& out) override;
  void HandlePause(Instant) override {}
  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override;
  std::vector<DispatchRequest> ReleaseQueue() override { return {}; }
  DispatcherLoad Load(Instant now) const override;
  std::vector<EndpointStatus> Endpoints(Instant now) const override;
  std::vector<AnnouncedConstraint> ConstraintsToAnnounce(Instant) const override { return {}; }
  bool PathsFailing(Instant) override { return false; }
  bool Idle() const override { return m_pending.empty(); }

 private:
  struct EndpointState {
    Endpoint m_endpoint;
    std::int64_t m_outstanding = 0;
    std::int64_t m_errors_in_row = 0;
    std::int64_t m_ejections = 0;
    Instant m_ejected_until{};
  };
  struct Pending {
    DispatchRequest m_request;
    std::int64_t m_attempts = 0;
    std::string m_endpoint;
    Instant m_arrival{};
  };

  std::string Pick(Instant now);
  void Start(Pending& pending, Instant now, DispatchEffects& out);

  std::string m_service;
  std::string m_node;
  std::shared_ptr<const RouteTable> m_table;
  boost::random::mt19937 m_random;
  std::map<std::string, EndpointState> m_endpoints;
  std::map<std::string, Pending> m_pending;
  std::int64_t m_next_sequence = 0;
};

}  // namespace fescueramp
