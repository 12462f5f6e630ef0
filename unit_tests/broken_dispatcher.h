#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/dispatch/fair_dispatcher.h"

namespace fescueramp {

/// A fair dispatcher with one injected fault, to show that the check for it can fail.
class BrokenDispatcher final : public Dispatcher {
 public:
  enum class Fault {
    kEndsTwice,
    kDropsRequest,
    kIgnoresFloor,
    kOverfillsSlots,
    kRepeatsFilings,
    kReportsNotRun,
    kUsesLeavingEndpoint,
  };

  explicit BrokenDispatcher(Fault fault)
      : m_fault(fault), m_inner(std::make_unique<FairDispatcher>(ServicePart{"work", {}}, "n0", "az0")) {}

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override {
    m_inner->Configure(std::move(table), out, now);
  }

  void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                        DispatchEffects& out) override {
    m_inner->SetLiveEndpoints(endpoints, parts, now, out);
    InjectFault(out);
  }

  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override {
    if (m_fault == Fault::kDropsRequest && ++m_requests % 50 == 0) return;
    DispatchRequest changed = request;
    if (m_fault == Fault::kRepeatsFilings) changed.m_repeatable = true;
    m_inner->Enqueue(changed, now, out);
    InjectFault(out);
  }

  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override {
    m_inner->Cancel(request_id, now, out);
    InjectFault(out);
  }

  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override {
    AttemptResult changed = result;
    if (m_fault == Fault::kUsesLeavingEndpoint) changed.m_statement.m_leaving = false;
    m_inner->EndAttempt(changed, now, out);
    InjectFault(out);
  }

  void Tick(Instant now, DispatchEffects& out) override {
    m_inner->Tick(now, out);
    InjectFault(out);
  }

  void HandlePause(Instant now) override { m_inner->HandlePause(now); }

  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override {
    if (m_fault == Fault::kUsesLeavingEndpoint) return;
    m_inner->SetLeaving(endpoint, leaving, now, out);
    InjectFault(out);
  }

  std::vector<DispatchRequest> ReleaseQueue() override { return m_inner->ReleaseQueue(); }

  DispatcherLoad Load(Instant now) const override {
    DispatcherLoad load = m_inner->Load(now);
    // Simulates ejections that ignore the floor.
    if (m_fault == Fault::kIgnoresFloor && m_ejections > 2) load.m_slots_in_service = load.m_floor_slots - 1;
    return load;
  }

  std::vector<EndpointStatus> Endpoints(Instant now) const override { return m_inner->Endpoints(now); }
  std::vector<AnnouncedConstraint> ConstraintsToAnnounce(Instant now) const override {
    return m_inner->ConstraintsToAnnounce(now);
  }
  bool PathsFailing(Instant now) override { return m_inner->PathsFailing(now); }
  bool Idle() const override { return m_inner->Idle(); }

 private:
  void InjectFault(DispatchEffects& out) {
    DispatchEffects changed;
    for (auto& effect : out) {
      if (const auto* report = std::get_if<ReportHealth>(&effect)) {
        m_ejections += report->m_change.m_state == HealthState::kEjected ? 1 : 0;
      }
      if (auto* finish = std::get_if<FinishRequest>(&effect); finish && m_fault == Fault::kReportsNotRun) {
        finish->m_code = static_cast<std::int64_t>(ResultCode::kNotRun);
      }
      if (auto* start = std::get_if<StartAttempt>(&effect); start && m_fault == Fault::kOverfillsSlots) {
        start->m_endpoint = "e0";
      }
      const bool twice = m_fault == Fault::kEndsTwice && std::holds_alternative<DeliverResponse>(effect);
      if (twice) changed.push_back(effect);
      changed.push_back(std::move(effect));
    }
    out = std::move(changed);
  }

  Fault m_fault;
  std::unique_ptr<FairDispatcher> m_inner;
  int m_requests = 0;
  int m_ejections = 0;
};

}  // namespace fescueramp
