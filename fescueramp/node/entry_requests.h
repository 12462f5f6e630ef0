#pragma once

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "fescueramp/core/token_bucket.h"
#include "fescueramp/node/effects.h"
#include "fescueramp/node/events.h"
#include "fescueramp/node/ownership.h"
#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Holds the requests that callers sent to this node until each has one final answer:
/// matches route, account and limits, passes them to a dispatcher, and to the next one when that dies.
class EntryRequests {
 public:
  /// @param claims Whether the store says which non-repeatable work has run; otherwise this node permits each
  /// of its requests once.
  EntryRequests(const Membership& membership, Ownership& ownership, bool claims)
      : m_membership(membership), m_ownership(ownership), m_claims(claims) {}

  /// Takes a request in; without a configuration it is refused.
  void Receive(const RequestReceived& event, const std::shared_ptr<const RouteTable>& table, Instant now,
               Effects& out);

  /// Takes the end of a forward and tries the next dispatcher when that is safe.
  void EndForward(const ForwardEnded& event, Instant now, Effects& out);

  bool Empty() const { return m_open.empty(); }
  std::size_t Open() const { return m_open.size(); }

 private:
  struct OpenRequest {
    DispatchRequest m_request;
    std::string m_group;
    std::int64_t m_max_body_bytes = 0;
    std::int64_t m_forwards = 0;
    std::int64_t m_attempts = 0;   ///< Attempts that earlier dispatchers announced.
    std::int64_t m_redirects = 0;  ///< Forwards that ended with the name of another part.
    std::string m_full_zone;       ///< Zone whose part had no room; empty when none was asked in vain.
    bool m_maybe_ran = false;
    std::vector<std::string> m_services;  ///< That the route may send it to.
  };

  /// Requests that ended here and that a service's dispatcher has not been told of.
  struct Outcomes {
    std::int64_t m_served = 0;
    std::int64_t m_unserved = 0;
  };
  struct AccountState {
    TokenBucket m_bucket;
    std::int64_t m_open = 0;
  };

  ResultCode CheckLimits(const std::string& account, const ObjectSet& set, Instant now,
                         Duration& retry_after);
  DispatchRequest MakeRequest(const RequestReceived& event, const RouteTable& table,
                              const RouteTable::Match& match, const std::string& account, Instant now) const;
  void Forward(const std::string& request_id, Instant now, Effects& out);

  /// Chooses the part of the service that a request goes to next.
  void ChoosePart(OpenRequest& open) const;
  void NoteRedirect(OpenRequest& open, const ForwardEnded& event);
  void Refuse(const std::string& request_id, ResultCode code, Duration retry_after, Effects& out,
              bool maybe_ran = false);
  void Close(const std::string& request_id, bool served = false);
  ResultCode CodeWithoutAnswer(const OpenRequest& open, Instant now) const;

  const Membership& m_membership;
  Ownership& m_ownership;
  bool m_claims;
  std::unordered_map<std::string, OpenRequest> m_open;
  std::unordered_map<std::string, AccountState> m_accounts;
  std::unordered_map<std::string, Outcomes> m_outcomes;  ///< By service.
  /// How services are split, by service: the newest that dispatchers told.
  std::unordered_map<std::string, SplitView> m_splits;
};

}  // namespace fescueramp
