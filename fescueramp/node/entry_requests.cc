#include "fescueramp/node/entry_requests.h"

#include <algorithm>

#include "fescueramp/core/hash.h"
#include "fescueramp/dispatch/retry_after_delay.h"

namespace fescueramp {
namespace {

constexpr std::int64_t kMaxForwards = 6;            ///< Forwards of one request, redirected ones included.
constexpr std::int64_t kMaxUncountedRedirects = 2;  ///< One to the zone's part, one more if it is full.
constexpr std::size_t kMaxIdempotencyKeyBytes = 128;
/// Makes the choice among split services independent of other hashes.
constexpr std::uint64_t kSplitSeed = 7;
/// Refusals in a row by the fleet's quota after which an account's requests are refused here at once. One may
/// come from a single dispatcher that is short of credit.
constexpr std::int64_t kMinQuotaRefusals = 3;
/// Time for which they are. The credit that comes in during it fits the grantor's capacity.
constexpr Duration kQuotaRefusalTime = std::chrono::milliseconds(100);
/// Time in which membership converges.
constexpr Duration kDefaultRetryDelay = std::chrono::milliseconds(300);

/// Retry delay for a caller when the load is unknown, with jitter by request id.
Duration JitteredRetryDelay(const std::string& request_id) {
  return RetryAfterDelay(kDefaultRetryDelay, Duration(0), Hash64(request_id));
}

}  // namespace

void EntryRequests::Refuse(const std::string& request_id, ResultCode code, Duration retry_after, Effects& out,
                           bool maybe_ran) {
  out.emplace_back(
      RefuseRequest{request_id, static_cast<std::int64_t>(code), retry_after.count() / 1000, maybe_ran});
}

ResultCode EntryRequests::CheckLimits(const std::string& request_id, const std::string& account,
                                      const ObjectSet& set, Instant now, Duration& retry_after) {
  const auto object = set.m_accounts.find(account);
  if (object == set.m_accounts.end() || object->second.m_limit.empty()) return ResultCode::kOk;
  const Limit& limit = set.m_limits.at(object->second.m_limit);
  AccountState& state = m_accounts[account];
  if (limit.m_max_concurrent > 0 && state.m_open >= limit.m_max_concurrent) {
    retry_after = kDefaultRetryDelay;
    return ResultCode::kConcurrencyLimited;
  }
  if (limit.m_rate > 0 && !state.m_bucket.Take(now, limit.m_rate, static_cast<double>(limit.m_burst))) {
    retry_after = state.m_bucket.UntilNext(limit.m_rate);
    return ResultCode::kRateLimited;
  }
  if (limit.m_fleet_rate > 0 && now < state.m_refuse_until) {
    retry_after = RetryAfterDelay(state.m_credit_at - now, Duration(0), Hash64(request_id));
    return ResultCode::kRateLimited;
  }
  return ResultCode::kOk;
}

void EntryRequests::NoteQuota(const OpenRequest& open, const ForwardEnded& event, Instant now) {
  AccountState& state = m_accounts[open.m_request.m_account];
  if (event.m_rate_limited_ms <= 0) {
    state.m_refusals = 0;
    return;
  }
  if (++state.m_refusals < kMinQuotaRefusals) return;
  state.m_refuse_until =
      now + std::min<Duration>(kQuotaRefusalTime, std::chrono::milliseconds(event.m_rate_limited_ms));
  state.m_credit_at = now + std::chrono::milliseconds(event.m_rate_limited_ms);
}

void EntryRequests::Receive(const RequestReceived& event, const std::shared_ptr<const RouteTable>& table,
                            Instant now, Effects& out) {
  const std::string& id = event.m_request_id;
  if (!table) return Refuse(id, ResultCode::kNotReady, JitteredRetryDelay(id), out);
  const auto match = table->FindRoute(event.m_host, event.m_method, event.m_path);
  if (!match.m_route) return Refuse(id, ResultCode::kNoRoute, Duration(0), out);
  const Route& route = *match.m_route;
  const std::string* account = table->FindAccount(event.m_key_sha256);
  if (!account && !event.m_key_sha256.empty())
    return Refuse(id, ResultCode::kUnknownAccount, Duration(0), out);
  const std::size_t key_size = event.m_idempotency_key.size();
  if (m_claims && !route.m_repeatable && (key_size == 0 || key_size > kMaxIdempotencyKeyBytes)) {
    return Refuse(id, ResultCode::kMissingIdempotencyKey, Duration(0), out);
  }
  if (event.m_body_bytes > route.m_max_body_bytes)
    return Refuse(id, ResultCode::kBodyTooLarge, Duration(0), out);
  const std::string name = account ? *account : std::string();
  Duration retry_after{};
  if (const ResultCode code = CheckLimits(id, name, table->Set(), now, retry_after);
      code != ResultCode::kOk) {
    return Refuse(id, code, retry_after, out);
  }
  OpenRequest open;
  open.m_request = MakeRequest(event, *table, match, name, now);
  const auto object = table->Set().m_accounts.find(name);
  open.m_group = object == table->Set().m_accounts.end() ? "anonymous" : object->second.m_group;
  open.m_max_body_bytes = route.m_max_body_bytes;
  open.m_services = table->ServicesOf(route);
  open.m_quarantine_breaks = table->Set().m_services.at(open.m_request.m_service).m_quarantine_breaks;
  m_open.emplace(id, std::move(open));
  ++m_accounts[name].m_open;
  Forward(id, now, out);
}

DispatchRequest EntryRequests::MakeRequest(const RequestReceived& event, const RouteTable& table,
                                           const RouteTable::Match& match, const std::string& account,
                                           Instant now) const {
  const Route& route = *match.m_route;
  DispatchRequest request;
  request.m_request_id = event.m_request_id;
  request.m_entry_node = m_membership.Self().m_node;
  request.m_service = table.ChooseService(route, Hash64(event.m_request_id, kSplitSeed));
  request.m_route = match.m_name;
  request.m_class_name = route.m_priority;
  request.m_account = account;
  request.m_repeatable = route.m_repeatable;
  request.m_caller_id = event.m_caller_id;
  request.m_target_latency_ms = route.m_target_latency_ms;
  request.m_max_attempts = route.m_max_attempts;
  request.m_revision = table.Revision();
  std::int64_t patience_ms = route.m_deadline_ms;
  if (event.m_patience_ms > 0) patience_ms = std::min(event.m_patience_ms, patience_ms);
  request.m_deadline = now + std::chrono::milliseconds(patience_ms);
  if (m_claims && !route.m_repeatable) {
    request.m_claim_key = Hash64(request.m_service + "\n" + account + "\n" + event.m_idempotency_key);
  }
  std::string contents =
      event.m_method + "\n" + event.m_path + "\n" + account + "\n" + event.m_idempotency_key;
  // The body itself has not been read yet.
  if (event.m_body_bytes > 0) contents += "\n" + std::to_string(event.m_body_bytes);
  request.m_fingerprint = Hash64(contents);
  return request;
}

void EntryRequests::ChoosePart(OpenRequest& open) const {
  DispatchRequest& request = open.m_request;
  request.m_part_zone.clear();
  request.m_may_move = false;
  const auto split_view = m_splits.find(request.m_service);
  if (split_view == m_splits.end()) return;
  request.m_split_version = split_view->second.m_version;
  request.m_split_digest = SplitDigest(split_view->second);
  std::vector<std::string> zones = split_view->second.m_zones;
  if (zones.empty()) return;
  const Member& self = m_membership.Self();
  if (open.m_full_zone.empty()) {
    request.m_part_zone = ServingZone(zones, self.m_zone, self.m_node);
    request.m_may_move = zones.size() > 1;
    return;
  }
  std::erase(zones, open.m_full_zone);
  // Chosen by request id rather than by node, so that the excess of one zone is spread over all others.
  request.m_part_zone = ServingZone(zones, {}, request.m_request_id);
}

void EntryRequests::ApplyRedirect(OpenRequest& open, const ForwardEnded& event) {
  ++open.m_redirects;
  if (event.m_part_full) open.m_full_zone = open.m_request.m_part_zone;
  SplitView& split_view = m_splits[open.m_request.m_service];
  if (event.m_split.m_version >= split_view.m_version) split_view = event.m_split;
}

bool EntryRequests::RefuseQuarantined(const std::string& request_id, Instant now, Effects& out) {
  const OpenRequest& open = m_open.at(request_id);
  const DispatchRequest& request = open.m_request;
  if (!m_crash_records->IsQuarantined(request.m_fingerprint, open.m_quarantine_breaks)) return false;
  out.emplace_back(ReportQuarantine{request_id, request.m_caller_id, request.m_service,
                                    m_crash_records->BreaksOf(request.m_fingerprint, now)});
  // Of non-repeatable work that may have run, the outcome stays unknown.
  const bool unknown = open.m_maybe_ran && !request.m_repeatable;
  const bool maybe_ran = open.m_maybe_ran;
  CloseRequest(request_id);
  Refuse(request_id, unknown ? ResultCode::kOutcomeUnknown : ResultCode::kQuarantined, Duration(0), out,
         maybe_ran);
  return true;
}

void EntryRequests::Forward(const std::string& request_id, Instant now, Effects& out) {
  if (RefuseQuarantined(request_id, now, out)) return;
  OpenRequest& open = m_open.at(request_id);
  ChoosePart(open);
  const std::string node = m_ownership.ReachableOwner(PartOf(open.m_request), now);
  const auto member = m_membership.Members().find(node);
  if (member == m_membership.Members().end()) {
    const ResultCode code = FailureCode(open, now);
    const bool maybe_ran = open.m_maybe_ran;
    CloseRequest(request_id);
    return Refuse(request_id, code, JitteredRetryDelay(request_id), out, maybe_ran);
  }
  ++open.m_forwards;
  DispatchRequest request = open.m_request;
  // A dispatcher relays or redirects a request only if m_forwards is 1. Redirects are left out of the count
  // so that the next dispatcher may redirect again, but no more than kMaxUncountedRedirects, so that nodes
  // that disagree don't pass a request in circles. Nodes that rank before the chosen one are counted, so that
  // a dispatcher used in place of the owner does not relay the request to the owner.
  const std::int64_t redirects = std::min(open.m_redirects, kMaxUncountedRedirects);
  request.m_forwards =
      std::max(open.m_forwards - redirects, 1 + m_ownership.OwnerRank(PartOf(request), node));
  request.m_max_attempts -= open.m_attempts;
  request.m_maybe_ran = open.m_maybe_ran;
  const UnreportedOutcomes unreported = std::exchange(m_outcomes[request.m_service], {});
  request.m_served_since = unreported.m_served;
  request.m_unserved_since = unreported.m_unserved;
  // Each forward has a separate id, so that a late response to an earlier one is not mistaken for its own.
  if (open.m_forwards > 1) request.m_request_id += "." + std::to_string(open.m_forwards);
  out.emplace_back(ForwardRequest{request_id, node, member->second.m_address, member->second.m_link_port,
                                  open.m_group, open.m_max_body_bytes, !m_claims && !request.m_repeatable,
                                  std::move(request)});
}

ResultCode EntryRequests::FailureCode(const OpenRequest& open, Instant now) const {
  if (!open.m_maybe_ran)
    return open.m_request.m_repeatable ? ResultCode::kNotRun : ResultCode::kAttemptNotRun;
  if (!open.m_request.m_repeatable) return ResultCode::kOutcomeUnknown;
  return now >= open.m_request.m_deadline ? ResultCode::kDeadlineExceeded : ResultCode::kResponseIncomplete;
}

void EntryRequests::CloseRequest(const std::string& request_id, bool served) {
  const auto open = m_open.find(request_id);
  for (const auto& service : open->second.m_services) {
    UnreportedOutcomes& outcomes = m_outcomes[service];
    ++(served ? outcomes.m_served : outcomes.m_unserved);
  }
  const auto account = m_accounts.find(open->second.m_request.m_account);
  --account->second.m_open;
  m_open.erase(open);
}

void EntryRequests::EndForward(const ForwardEnded& event, Instant now, Effects& out) {
  const auto found = m_open.find(event.m_request_id);
  if (found == m_open.end()) return;
  OpenRequest& open = found->second;
  // An unresponsive dispatcher that had the permit may have started one attempt that it did not report.
  open.m_attempts += event.m_attempts + (event.m_silent && event.m_permitted ? 1 : 0);
  open.m_maybe_ran = open.m_maybe_ran || event.m_maybe_ran;
  switch (event.m_outcome) {
    case ForwardOutcome::kResponded:
      NoteQuota(open, event, now);
      m_ownership.MarkReachable(event.m_node);
      return CloseRequest(event.m_request_id, event.m_served);
    case ForwardOutcome::kCallerLeft:
      return CloseRequest(event.m_request_id);
    case ForwardOutcome::kConnectFailed:
      m_ownership.MarkUnreachable(event.m_node, now);
      break;
    case ForwardOutcome::kLinkLost:
      m_ownership.MarkUnreachable(event.m_node, now);
      open.m_maybe_ran = open.m_maybe_ran || event.m_permitted;
      break;
    case ForwardOutcome::kHandedBack:
      // The dispatcher leaves or can't reach its endpoints, so other nodes are preferred until the mark
      // expires.
      m_ownership.MarkUnreachable(event.m_node, now);
      break;
    case ForwardOutcome::kRedirected:
      ApplyRedirect(open, event);
      break;
    case ForwardOutcome::kTimedOut:
      open.m_maybe_ran = open.m_maybe_ran || event.m_permitted;
      break;
  }
  // Non-repeatable work may be forwarded again if claims are in use, because the next dispatcher finds the
  // claim, or if no dispatcher had a permit to start it.
  const bool attempts_left = open.m_attempts < open.m_request.m_max_attempts;
  const bool safe = m_claims || open.m_request.m_repeatable || !open.m_maybe_ran;
  const bool retry = safe && attempts_left && event.m_outcome != ForwardOutcome::kTimedOut &&
                     event.m_body_replayable && open.m_forwards < kMaxForwards &&
                     now < open.m_request.m_deadline;
  if (retry) return Forward(event.m_request_id, now, out);
  const ResultCode code = FailureCode(open, now);
  const bool maybe_ran = open.m_maybe_ran;
  CloseRequest(event.m_request_id);
  Refuse(event.m_request_id, code, JitteredRetryDelay(event.m_request_id), out, maybe_ran);
}

}  // namespace fescueramp
