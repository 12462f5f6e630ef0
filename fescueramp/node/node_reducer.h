#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/claims/claim_log.h"
#include "fescueramp/dispatch/dispatcher.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/node/effects.h"
#include "fescueramp/node/entry_requests.h"
#include "fescueramp/node/events.h"
#include "fescueramp/node/ownership.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// How a node chooses endpoints.
enum class PolicyKind {
  kFair,      ///< One dispatcher per service, with exact slot knowledge.
  kBaseline,  ///< Each entry host on its own; to measure against.
};

template <>
struct EnumTable<PolicyKind> {
  static constexpr std::array<std::string_view, 2> kNames = {"fair", "baseline"};
};

/// Settings that decisions depend on; a trace begins with them.
struct NodeSettings {
  Member m_self;
  std::vector<SeedAddress> m_seeds;
  PolicyKind m_policy = PolicyKind::kFair;
  std::int64_t m_claim_groups = 64;  ///< Groups of services that share a claim log and a dispatcher.
  std::int64_t m_watchers = 3;       ///< Nodes per region that watch the store.
  std::int64_t m_random_seed = 1;
  std::int64_t m_claim_window_s = 86400;  ///< Time for which idempotency keys are remembered, seconds.
  std::int64_t m_claim_batch_ms = 20;     ///< Shortest time between two writes of one claim log, ms.
  bool m_claims = true;                   ///< Whether idempotency keys are claimed in the store.
  bool m_discovery = false;  ///< Whether endpoints announce themselves; dispatchers then follow their list.
};
BOOST_DESCRIBE_STRUCT(NodeSettings, (),
                      (m_self, m_seeds, m_policy, m_claim_groups, m_watchers, m_random_seed, m_claim_window_s,
                       m_claim_batch_ms, m_claims, m_discovery))

/// All decisions of one node: one reducer over all events, with effects as data.
/// Deterministic: the same settings and events give the same effects.
class NodeReducer {
 public:
  explicit NodeReducer(NodeSettings settings);

  /// Applies one event and returns what the shell has to do, in order.
  Effects Reduce(const Event& event, Instant now);

  const Membership& Members() const { return m_membership; }
  const std::shared_ptr<const RouteTable>& Table() const { return m_table; }
  std::int64_t Revision() const { return m_table ? m_table->Revision() : 0; }
  bool Ready() const { return m_table != nullptr && m_settled && !m_leaving; }
  bool Leaving() const { return m_leaving; }
  const std::map<std::string, std::unique_ptr<Dispatcher>>& Dispatchers() const { return m_dispatchers; }
  std::string OwnerOf(const std::string& service) const { return m_ownership.Owner({service, {}}); }

 private:
  /// A claim of a request at this dispatcher.
  struct HeldClaim {
    DispatchRequest m_request;
    bool m_granted = false;
    bool m_cancelled = false;   ///< Whether the caller left while the claim was being written.
    std::int64_t m_status = 0;  ///< HTTP status of the last answer; 0 when there is none.
  };

  /// A part of a service that this node dispatches, beside its dispatcher.
  struct OpenPart {
    ServicePart m_part;
    Instant m_opened{};
    Instant m_used{};  ///< Time of the last request.
  };

  /// How a service is split, and by what this was decided.
  struct KnownSplit {
    ServiceSplit m_split;
    std::int64_t m_lists = 0;
    std::int64_t m_revision = 0;
  };

  void HandlePause(Instant now);
  void On(const Tick& event, Instant now);
  void On(const RequestReceived& event, Instant now);
  void On(const ForwardEnded& event, Instant now);
  void On(const DispatchArrived& event, Instant now);
  void On(const DispatchCancelled& event, Instant now);
  void On(const RelayFailed& event, Instant now);
  void On(const AttemptEnded& event, Instant now);
  void On(const GossipReceived& event, Instant now);
  void On(const StoreAnswered& event, Instant now);
  void On(const ConfigurationLoaded& event, Instant now);
  void On(const ConfigurationFailed& event, Instant now);
  void On(const HostsListed& event, Instant now);
  void On(const EndpointsListed& event, Instant now);
  void On(const NodesFound& event, Instant now);
  void On(const ShutdownRequested& event, Instant now);

  void Accept(const DispatchRequest& request, Instant now);
  Dispatcher* DispatcherOf(const ServicePart& part, Instant now);

  /// Whether a request is meant for a part that its service does not have, as far as this node knows.
  bool Misplaced(const DispatchRequest& request);

  /// How a service is split, by the endpoints and the configuration known now.
  const ServiceSplit& SplitOf(const std::string& service);
  SplitView ViewOf(const std::string& service);
  void FinishRedirected(const DispatchRequest& request);
  void CloseDispatchers(
      const std::function<bool(const OpenPart& open, const Dispatcher& dispatcher)>& closes);
  void GiveEndpoints(const OpenPart& open, Dispatcher& dispatcher, Instant now, DispatchEffects& out);
  ClaimLog& ClaimLogOf(const std::string& service);
  void Run(DispatchEffects effects, Instant now);
  void SettleClaim(const std::string& request_id, bool delivered, std::int64_t code, Instant now);
  void CollectClaims(Instant now);
  void ApplyClaim(const ClaimAnswer& answer, Instant now);
  void StartClaimed(HeldClaim& claim, Instant now);
  void CollectMembership();
  /// Opens the dispatchers of services that this node owns, so that operators see them before the first
  /// request.
  void OpenOwnedServices(Instant now);

  /// Gives waiting work back while this node knows no endpoints, as when the store is out of its reach.
  void ReleaseBlindQueues(Instant now);

  /// Forgets dispatchers of services that other nodes own and that have had no work for a while.
  void CloseUnusedServices(Instant now);
  bool IsWatcher() const;
  void UpdateWatching(Instant now);
  void ApplyLeaving(Instant now);
  void CheckShutdown(Instant now);
  void FinishAtDispatcher(const std::string& request_id, ResultCode code, std::int64_t recorded_status = 0);

  NodeSettings m_settings;
  Membership m_membership;
  Ownership m_ownership;
  EntryRequests m_entry;
  std::shared_ptr<const RouteTable> m_table;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_dispatchers;  ///< By name of the part.
  std::map<std::string, std::unique_ptr<ClaimLog>> m_claim_logs;
  std::map<std::string, HeldClaim> m_claims;               ///< By request id.
  std::unordered_map<std::string, std::string> m_part_of;  ///< Name of the part, by request id.
  std::map<std::string, DispatchRequest> m_relayed;        ///< Requests passed on to their owner.
  std::vector<LiveEndpoint> m_live_endpoints;
  std::int64_t m_live_version = 0;
  std::int64_t m_lists = 0;  ///< Lists of endpoints taken over so far.
  std::int64_t m_store_operations = 0;
  std::map<std::string, OpenPart> m_parts;     ///< By name of the part.
  std::map<std::string, KnownSplit> m_splits;  ///< By service.
  bool m_settled = false;  ///< Whether other nodes were looked for; without discovery from the start.
  Instant m_first_event{};
  WatchScope m_watching;
  bool m_unheard = false;                  ///< Whether nothing was heard of other nodes for a while.
  std::size_t m_watchers_dispatchers = 0;  ///< Dispatchers for which watching was decided.
  std::int64_t m_opened_members = -1;      ///< Version of the members for which owned services were opened.
  std::int64_t m_opened_revision = 0;      ///< Revision for which they were opened.
  std::int64_t m_watchers_version = -1;    ///< Version of the members that the watchers were chosen from.
  bool m_leaving = false;
  bool m_shutdown_reported = false;
  Instant m_last_event{};
  Instant m_fetch_until{};  ///< Until when a fetch of a revision counts as running.
  Effects m_effects;
};

}  // namespace fescueramp
