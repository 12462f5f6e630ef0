#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "fescueramp/core/token_bucket.h"
#include "fescueramp/dispatch/crash_records.h"
#include "fescueramp/node/effects.h"
#include "fescueramp/node/events.h"
#include "fescueramp/node/ownership.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Keeps the requests that callers sent to this node until each has one final response.
/// Matches the route and the account, checks limits and forwards the request to a dispatcher; if that one
/// fails, to the next.
class EntryRequests {
 public:
  /// @param claims Whether claims in the store record which non-repeatable work has run; otherwise this node
  /// grants one permit for each of its requests.
  /// @param crash_records Requests that may crash endpoints; those at the limit are refused.
  EntryRequests(const Membership& membership, Ownership& ownership, bool claims,
                std::shared_ptr<const CrashRecords> crash_records)
      : m_membership(membership),
        m_ownership(ownership),
        m_claims(claims),
        m_crash_records(std::move(crash_records)) {}

  /// Matches a new request and forwards or refuses it; without a configuration it is refused.
  void Receive(const RequestReceived& event, const std::shared_ptr<const RouteTable>& table, Instant now,
               Effects& out);

  /// Handles the end of a forward and tries the next dispatcher when that is safe.
  void EndForward(const ForwardEnded& event, Instant now, Effects& out);

  /// Whether every request has had its final response.
  bool Empty() const { return m_open.empty(); }
  /// Number of requests without a final response.
  std::size_t Open() const { return m_open.size(); }

 private:
  struct OpenRequest {
    DispatchRequest m_request;
    std::string m_group;
    std::int64_t m_max_body_bytes = 0;
    std::int64_t m_forwards = 0;   ///< Forwards so far.
    std::int64_t m_attempts = 0;   ///< Attempts that earlier dispatchers reported.
    std::int64_t m_redirects = 0;  ///< Forwards that ended with a redirect to another part.
    std::string m_full_zone;       ///< Zone whose part was full; empty when none was.
    bool m_maybe_ran = false;
    std::vector<std::string> m_services;   ///< Services that the route may choose.
    std::int64_t m_quarantine_breaks = 0;  ///< Breaks after which the service refuses the request.
  };

  /// Counts of ended requests that have not been reported to the service's dispatcher yet.
  struct UnreportedOutcomes {
    std::int64_t m_served = 0;
    std::int64_t m_unserved = 0;
  };
  struct AccountState {
    TokenBucket m_bucket;
    std::int64_t m_open = 0;      ///< Requests of the account without a final response.
    std::int64_t m_refusals = 0;  ///< Refusals by the fleet's quota since a request was last accepted.
    Instant m_refuse_until{};     ///< Until then its requests are refused at once.
    Instant m_credit_at{};        ///< When credit is expected.
  };

  ResultCode CheckLimits(const std::string& request_id, const std::string& account, const ObjectSet& set,
                         Instant now, Duration& retry_after);
  DispatchRequest MakeRequest(const RequestReceived& event, const RouteTable& table,
                              const RouteTable::Match& match, const std::string& account, Instant now) const;
  void Forward(const std::string& request_id, Instant now, Effects& out);

  /// Refuses a request that crashes endpoints; returns whether it did.
  bool RefuseQuarantined(const std::string& request_id, Instant now, Effects& out);

  /// Chooses the part of the service for the next forward of a request.
  void ChoosePart(OpenRequest& open) const;
  void ApplyRedirect(OpenRequest& open, const ForwardEnded& event);
  void Refuse(const std::string& request_id, ResultCode code, Duration retry_after, Effects& out,
              bool maybe_ran = false);
  void CloseRequest(const std::string& request_id, bool served = false);
  /// Notes whether the dispatcher refused a request by the quota of its account.
  void NoteQuota(const OpenRequest& open, const ForwardEnded& event, Instant now);
  /// Result code for a request that is not forwarded again.
  ResultCode FailureCode(const OpenRequest& open, Instant now) const;

  const Membership& m_membership;
  Ownership& m_ownership;
  bool m_claims;
  std::shared_ptr<const CrashRecords> m_crash_records;
  std::unordered_map<std::string, OpenRequest> m_open;
  std::unordered_map<std::string, AccountState> m_accounts;
  std::unordered_map<std::string, UnreportedOutcomes> m_outcomes;  ///< By service.
  /// The newest split that dispatchers reported, by service.
  std::unordered_map<std::string, SplitView> m_splits;
};

}  // namespace fescueramp
