#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <set>
#include <string>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Prometheus metrics of one node. Label values are bounded in number; further ones count as "other".
class NodeMetrics {
 public:
  NodeMetrics();

  void RecordResponse(const std::string& result);
  void RecordLatency(const std::string& class_name, const std::string& group, Duration latency);
  void RecordQueueWait(const std::string& class_name, Duration wait);
  void RecordAttempt(const std::string& outcome);
  void RecordHealthChange(const std::string& service, const std::string& state);
  void RecordMemberChange(const std::string& state);
  void SetRevision(std::int64_t revision);

  /// Sets a gauge by name, such as a queue length or the number of store calls.
  void SetGauge(const std::string& name, double value);

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
  prometheus::Family<prometheus::Gauge>& m_gauges;
  std::set<std::string> m_classes;
  std::set<std::string> m_groups;
  std::set<std::string> m_services;
};

}  // namespace fescueramp
