#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/dispatch/dispatcher.h"

namespace fescueramp {

/// Prometheus metrics of one node. Label values are bounded in number; further ones count as "other".
class NodeMetrics {
 public:
  NodeMetrics();

  /// Counts a response to a caller by result.
  void RecordResponse(const std::string& result);

  /// Observes the time from a request's header to the end of its response.
  void RecordLatency(const std::string& class_name, const std::string& group, Duration latency);

  /// Observes the time from arrival at the dispatcher to the first attempt.
  void RecordQueueWait(const std::string& class_name, Duration wait);

  /// Counts an attempt on an endpoint by outcome.
  void RecordAttempt(const std::string& outcome);

  /// Counts a change of an endpoint's health by service and new state.
  void RecordHealthChange(const std::string& service, const std::string& state);

  /// Counts a change of a fleet member by new state.
  void RecordMemberChange(const std::string& state);

  /// Counts what was refused while it was read, by port ("callers", "admin", "ready", "links") and reason.
  void RecordRefusedInput(const std::string& port, const std::string& reason);

  /// Counts a decision of the memory budget: "refuse_bodies", "refuse_all" or "close_connection".
  void RecordMemoryDecision(const std::string& decision);

  /// Counts requests that the fleet's quota of their account refused at this dispatcher, by account group.
  void RecordQuotaRefusals(const std::string& group, std::int64_t requests);

  /// Sets the gauge of the configuration revision in force.
  void SetRevision(std::int64_t revision);

  /// Sets a gauge by name, such as a queue length or the number of store calls.
  void SetGauge(const std::string& name, double value);

  /// Sets the gauges of this node's dispatchers and removes those of dispatchers that are not listed.
  void SetDispatcherLoads(const std::vector<DispatcherLoad>& loads);

  /// All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  const std::string& BoundedLabel(std::set<std::string>& seen, const std::string& name);

  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_responses;
  prometheus::Family<prometheus::Histogram>& m_latency;
  prometheus::Family<prometheus::Histogram>& m_queue_wait;
  prometheus::Family<prometheus::Counter>& m_attempts;
  prometheus::Family<prometheus::Counter>& m_health_changes;
  prometheus::Family<prometheus::Counter>& m_member_changes;
  prometheus::Family<prometheus::Counter>& m_refused_inputs;
  prometheus::Family<prometheus::Counter>& m_memory_decisions;
  prometheus::Family<prometheus::Counter>& m_quota_refusals;
  prometheus::Family<prometheus::Gauge>& m_gauges;
  prometheus::Family<prometheus::Gauge>& m_dispatcher_gauges;
  std::set<prometheus::Gauge*> m_listed_dispatcher_gauges;
  std::set<std::string> m_classes;
  std::set<std::string> m_groups;
  std::set<std::string> m_services;
};

}  // namespace fescueramp
