#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/dispatch/fair_dispatcher.h"

namespace fescueramp {

/// The fair dispatcher with one property broken on purpose, to show that its check can fail.
class BrokenDispatcher final : public Dispatcher {
 public:
  enum class Fault {
    kEndsTwice,
    kForgetsRequest,
    kIgnoresFloor,
    kOverfillsSlots,
    kRepeatsFilings,
    kSaysNotRun,
    kUsesLeaving,
  };

  explicit BrokenDispatcher(Fault fault)
      : m_fault(fault), m_inner(std::make_unique<FairDispatcher>(ServicePart{"work", {}}, "n0", "az0")) {}

  void Configure(std::shared_ptr<const RouteTable> table, DispatchEffects& out, Instant now) override {
    m_inner->Configure(std::move(table), out, now);
  }

  void SetLiveEndpoints(const std::vector<LiveEndpoint>& endpoints, std::int64_t parts, Instant now,
                        DispatchEffects& out) override {
    m_inner->SetLiveEndpoints(endpoints, parts, now, out);
    Break(out);
  }

  void Enqueue(const DispatchRequest& request, Instant now, DispatchEffects& out) override {
    if (m_fault == Fault::kForgetsRequest && ++m_requests % 50 == 0) return;
    DispatchRequest changed = request;
    if (m_fault == Fault::kRepeatsFilings) changed.m_repeatable = true;
    m_inner->Enqueue(changed, now, out);
    Break(out);
  }

  void Cancel(const std::string& request_id, Instant now, DispatchEffects& out) override {
    m_inner->Cancel(request_id, now, out);
    Break(out);
  }

  void EndAttempt(const AttemptResult& result, Instant now, DispatchEffects& out) override {
    AttemptResult changed = result;
    if (m_fault == Fault::kUsesLeaving) changed.m_draining = false;
    m_inner->EndAttempt(changed, now, out);
    Break(out);
  }

  void Tick(Instant now, DispatchEffects& out) override {
    m_inner->Tick(now, out);
    Break(out);
  }

  void HandlePause(Instant now) override { m_inner->HandlePause(now); }

  void SetLeaving(const std::string& endpoint, bool leaving, Instant now, DispatchEffects& out) override {
    if (m_fault == Fault::kUsesLeaving) return;
    m_inner->SetLeaving(endpoint, leaving, now, out);
    Break(out);
  }

  std::vector<std::string> ReleaseQueue() override { return m_inner->ReleaseQueue(); }

  DispatcherLoad Load(Instant now) const override {
    DispatcherLoad load = m_inner->Load(now);
    // As if ejections had not looked at the floor.
    if (m_fault == Fault::kIgnoresFloor && m_ejections > 2) load.m_slots_in_service = load.m_floor_slots - 1;
    return load;
  }

  std::vector<EndpointStatus> Endpoints(Instant now) const override { return m_inner->Endpoints(now); }
  bool PathsFailing(Instant now) override { return m_inner->PathsFailing(now); }
  bool Idle() const override { return m_inner->Idle(); }

 private:
  void Break(DispatchEffects& out) {
    DispatchEffects changed;
    for (auto& effect : out) {
      if (const auto* report = std::get_if<ReportHealth>(&effect)) {
        m_ejections += report->m_change.m_state == HealthState::kEjected ? 1 : 0;
      }
      if (auto* finish = std::get_if<FinishRequest>(&effect); finish && m_fault == Fault::kSaysNotRun) {
        finish->m_code = static_cast<std::int64_t>(ResultCode::kNotRun);
      }
      if (auto* start = std::get_if<StartAttempt>(&effect); start && m_fault == Fault::kOverfillsSlots) {
        start->m_endpoint = "e0";
      }
      const bool twice = m_fault == Fault::kEndsTwice && std::holds_alternative<DeliverAnswer>(effect);
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
