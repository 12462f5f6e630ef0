#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "fescueramp/claims/claim_log.h"
#include "fescueramp/dispatch/crash_records.h"
#include "fescueramp/dispatch/dispatcher.h"
#include "fescueramp/dispatch/endpoint_constraints.h"
#include "fescueramp/membership/membership.h"
#include "fescueramp/node/effects.h"
#include "fescueramp/node/endpoint_list.h"
#include "fescueramp/node/entry_requests.h"
#include "fescueramp/node/events.h"
#include "fescueramp/node/fleet_quotas.h"
#include "fescueramp/node/ownership.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// How a node chooses endpoints.
enum class PolicyKind {
  kFair,      ///< One dispatcher per service, which tracks the use of every slot.
  kBaseline,  ///< Each entry host dispatches on its own; a reference for benchmarks.
};

template <>
struct EnumTable<PolicyKind> {
  static constexpr std::array<std::string_view, 2> kNames = {"fair", "baseline"};
};

/// Settings of the reducer; the first line of a trace.
struct NodeSettings {
  Member m_self;
  std::vector<SeedAddress> m_seeds;
  PolicyKind m_policy = PolicyKind::kFair;
  std::int64_t m_claim_groups = 64;  ///< Groups of services that share an owner and a claim log.
  std::int64_t m_watchers = 3;       ///< Nodes per region that watch the store.
  std::int64_t m_random_seed = 1;
  std::int64_t m_claim_window_s = 86400;  ///< Time for which idempotency keys are kept, seconds.
  std::int64_t m_claim_batch_ms = 20;     ///< Shortest time between two writes of one claim log, ms.
  bool m_claims = true;                   ///< Whether idempotency keys are claimed in the store.
  bool m_discovery = false;  ///< Whether endpoints announce themselves; dispatchers then use that list.
};
BOOST_DESCRIBE_STRUCT(NodeSettings, (),
                      (m_self, m_seeds, m_policy, m_claim_groups, m_watchers, m_random_seed, m_claim_window_s,
                       m_claim_batch_ms, m_claims, m_discovery))

/// Makes all decisions of one node: applies events to its state and returns effects as data.
/// Deterministic: the same settings and events give the same effects.
class NodeReducer {
 public:
  explicit NodeReducer(NodeSettings settings);

  /// Applies one event and returns the effects, in the order in which the daemon must carry them out.
  Effects Reduce(const Event& event, Instant now);

  /// Membership of the fleet as this node knows it.
  const Membership& Members() const { return m_membership; }
  /// Route table in force, or null without a configuration.
  const std::shared_ptr<const RouteTable>& Table() const { return m_table; }
  /// Configuration revision in force; 0 when there is none.
  std::int64_t Revision() const { return m_table ? m_table->Revision() : 0; }
  /// Whether the node has a configuration, has finished discovery and is not leaving.
  bool Ready() const { return m_table != nullptr && m_discovery_done && !m_leaving; }
  /// Quotas of client accounts as this node takes part in them.
  const FleetQuotas& Quotas() const { return m_quotas; }
  /// Whether a shutdown was requested.
  bool Leaving() const { return m_leaving; }
  /// Dispatchers of this node by the name of their part.
  const std::map<std::string, std::unique_ptr<Dispatcher>>& Dispatchers() const { return m_dispatchers; }
  /// Node that dispatches a service that is not split, by membership alone.
  std::string OwnerOf(const std::string& service) const { return m_ownership.Owner({service, {}}); }

 private:
  /// A request whose idempotency key is claimed at this dispatcher, or is being claimed.
  struct RequestClaim {
    DispatchRequest m_request;
    bool m_granted = false;
    bool m_cancelled = false;   ///< Whether the caller left while the claim was being written.
    std::int64_t m_status = 0;  ///< HTTP status of the last response; 0 when there is none.
  };

  /// State of a part that this node dispatches; the dispatcher itself is in m_dispatchers.
  struct OpenPart {
    ServicePart m_part;
    Instant m_opened{};     ///< Time at which the dispatcher was created.
    Instant m_last_used{};  ///< Time of the last request.
  };

  /// Split of a service, with the endpoint list and the revision that it was computed from.
  struct CachedSplit {
    ServiceSplit m_split;
    std::int64_t m_list_generation = 0;
    std::int64_t m_revision = 0;
  };

  /// Reports a pause of this process to the dispatchers, because times measured across it are not those of
  /// endpoints.
  void DetectPause(Instant now);
  void Handle(const Tick& event, Instant now);
  void Handle(const RequestReceived& event, Instant now);
  void Handle(const ForwardEnded& event, Instant now);
  void Handle(const DispatchArrived& event, Instant now);
  void Handle(const DispatchCancelled& event, Instant now);
  void Handle(const RelayFailed& event, Instant now);
  void Handle(const AttemptEnded& event, Instant now);
  void Handle(const GossipReceived& event, Instant now);
  void Handle(const StoreResponded& event, Instant now);
  void Handle(const ConfigurationLoaded& event, Instant now);
  void Handle(const ConfigurationFailed& event, Instant now);
  void Handle(const HostsListed& event, Instant now);
  void Handle(const EndpointsListed& event, Instant now);
  void Handle(const EndpointListFailed& event, Instant now);
  void Handle(const NodesFound& event, Instant now);
  void Handle(const ShutdownRequested& event, Instant now);
  void Handle(const CallerPortClosed& event, Instant now);

  /// Whether the node has just started and may still find others.
  bool Joining(Instant now) const;

  void AcceptDispatch(const DispatchRequest& request, Instant now);

  /// Takes the request from its account's quota; returns whether it may go on now.
  bool TakeQuota(const DispatchRequest& request, Instant now);

  /// Claims or queues a request that has passed all checks.
  void StartAccepted(const DispatchRequest& request, Instant now);

  /// Exchanges credit of quotas with other nodes, and goes on with the requests that waited for it.
  void AdvanceQuotas(Instant now);
  /// Returns null when the configuration has no such service.
  Dispatcher* FindOrCreateDispatcher(const ServicePart& part, Instant now);

  /// Whether the entry host chose the part of a request by an older split that differs from the one here.
  bool HasOutdatedSplit(const DispatchRequest& request);

  /// Split of a service by the current endpoints and configuration.
  const ServiceSplit& CurrentSplit(const std::string& service);
  SplitView CurrentSplitView(const std::string& service);
  void FinishRedirected(const DispatchRequest& request);
  void CloseDispatchersIf(
      const std::function<bool(const OpenPart& open, const Dispatcher& dispatcher)>& should_close);
  /// Passes the live endpoints of a part to its dispatcher, if the list may be used.
  void UpdateEndpoints(const OpenPart& open, Dispatcher& dispatcher, Instant now, DispatchEffects& out);
  ClaimLog& FindOrCreateClaimLog(const std::string& service);
  void ApplyDispatchEffects(DispatchEffects effects, Instant now);
  /// Completes, releases or leaves the claim of a finished request, depending on the result.
  void FinishClaim(const std::string& request_id, bool delivered, std::int64_t code, Instant now);
  void AdvanceClaimLogs(Instant now);
  void ApplyClaimResponse(const ClaimResponse& response, Instant now);
  void StartClaimed(RequestClaim& claim, Instant now);
  /// Adds the effects of membership, with crash records on the datagrams among them.
  void TakeMembershipEffects(Instant now);

  /// Announces the constraints on requests to the endpoints of a part to the nodes that may take the part
  /// over, and to those that send to the same endpoints.
  void AnnounceConstraints(Instant now);
  void MergeConstraints(const GossipMessage& message, Instant now);

  /// Announces new breaks of requests to the nodes that may take the parts of the dispatchers over.
  void AnnounceCrashRecords(Instant now);
  void MergeCrashRecords(const GossipReceived& event, Instant now);

  /// Sends what all nodes must know to nodes that have become the owners of parts that this node dispatches.
  void InformNewOwners(Instant now);

  /// Sends what all nodes must know to a node that has joined, with its member list and at its first
  /// datagrams.
  void SendCrashRecordsToNewNode(const GossipReceived& event, Instant now);
  /// Creates the dispatchers of services that this node owns, so that operators see them before the first
  /// request.
  void OpenOwnedDispatchers(Instant now);

  /// Passes the live endpoints to all dispatchers.
  void ApplyEndpointList(Instant now);

  /// Applies an event to the state of the list of endpoints, and reports the state if it has changed.
  /// @return Whether it has changed.
  template <typename Change>
  bool ChangeEndpointList(const Change& change);

  /// Whether another node may have a newer list of endpoints than the last one known here.
  bool MayHaveNewerListElsewhere(const DispatchRequest& request) const;

  /// Hands queued requests back while this node has no list of endpoints that it may use, for example because
  /// it can't reach the store.
  void ReleaseQueuesWithoutEndpoints(Instant now);

  /// Removes the dispatchers of parts that other nodes own once they have been idle for a while.
  void CloseUnusedDispatchers(Instant now);
  bool IsWatcher() const;
  void UpdateWatching(Instant now);
  void ApplyLeavingEndpoints(Instant now);
  void CheckShutdown(Instant now);
  /// Finishes a request of which this dispatcher has started no attempt.
  void FinishUnstarted(const DispatchRequest& request, ResultCode code, std::int64_t recorded_status = 0,
                       Duration retry_after = {});

  NodeSettings m_settings;
  Membership m_membership;
  Ownership m_ownership;
  FleetQuotas m_quotas;
  std::shared_ptr<CrashRecords> m_crash_records;  ///< Shared by the entry side and all dispatchers.
  EntryRequests m_entry;
  std::shared_ptr<const RouteTable> m_table;
  std::map<std::string, std::unique_ptr<Dispatcher>> m_dispatchers;  ///< By name of the part.
  std::map<std::string, std::unique_ptr<ClaimLog>> m_claim_logs;
  std::map<std::string, RequestClaim> m_claims;                    ///< By request id.
  std::unordered_map<std::string, std::string> m_part_by_request;  ///< Name of the part, by request id.
  std::map<std::string, DispatchRequest> m_relayed;  ///< Requests relayed to the owner, by request id.
  std::shared_ptr<EndpointConstraints> m_constraints = std::make_shared<EndpointConstraints>();
  Instant m_next_constraint_announcement{};
  Instant m_next_quota_expiry{};
  TokenBucket m_crash_replies;
  TokenBucket m_new_nodes;  ///< Limits how often crash records are sent to nodes that have joined.
  /// Incarnation of each node in its last datagram, and the time of the first one with it.
  std::unordered_map<std::string, std::pair<std::int64_t, Instant>> m_heard_nodes;
  std::int64_t m_informed_candidates_version = -1;  ///< Owner candidates that were sent crash records.
  EndpointList m_endpoint_list;
  std::int64_t m_store_operations = 0;
  std::map<std::string, OpenPart> m_parts;      ///< By name of the part.
  std::map<std::string, CachedSplit> m_splits;  ///< By service.
  /// Whether the search for other nodes has ended; set from the start without discovery.
  bool m_discovery_done = false;
  Instant m_started{};      ///< Time of the first event.
  Instant m_first_event{};  ///< Time of the first tick.
  WatchScope m_watching;
  bool m_isolated = false;                        ///< Whether no datagram arrived for kIsolationTimeout.
  std::size_t m_watch_dispatcher_count = 0;       ///< Dispatchers when the watch scope was last set.
  std::int64_t m_opened_candidates_version = -1;  ///< Owner candidates for which OpenOwnedDispatchers ran.
  std::int64_t m_opened_revision = 0;             ///< Revision for which OpenOwnedDispatchers ran.
  std::int64_t m_watch_candidates_version = -1;   ///< Owner candidates when the watch scope was last set.
  bool m_leaving = false;
  bool m_caller_port_closed = false;
  bool m_shutdown_reported = false;
  Instant m_last_event{};
  Instant m_fetch_until{};  ///< Time until which a fetch of a revision counts as running.
  Effects m_effects;
};

}  // namespace fescueramp
