#include "fescueramp/daemon/node_metrics.h"

#include <prometheus/text_serializer.h>

namespace fescueramp {
namespace {

constexpr std::size_t kMaxLabelValues = 64;
const std::string kOverflowLabel = "other";

/// Upper bounds of the latency buckets, seconds.
const prometheus::Histogram::BucketBoundaries kLatencyBuckets = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                                 0.25,  0.5,    1,     2.5,  5,     10,   30};

template <typename Builder>
auto& Build(Builder builder, const char* name, const char* help, prometheus::Registry& registry) {
  return builder.Name(name).Help(help).Register(registry);
}

}  // namespace

NodeMetrics::NodeMetrics()
    : m_responses(Build(prometheus::BuildCounter(), "fescueramp_answers_total",
                        "Answers to callers, by result.", m_registry)),
      m_latency(Build(prometheus::BuildHistogram(), "fescueramp_latency_seconds",
                      "From a request's header to the end of its answer, by class and caller group.",
                      m_registry)),
      m_queue_wait(Build(prometheus::BuildHistogram(), "fescueramp_queue_wait_seconds",
                         "From arrival at the dispatcher to the first attempt, by class.", m_registry)),
      m_attempts(Build(prometheus::BuildCounter(), "fescueramp_attempts_total",
                       "Attempts on endpoints, by outcome.", m_registry)),
      m_health_changes(Build(prometheus::BuildCounter(), "fescueramp_health_changes_total",
                             "Changes of endpoint health, by service and new state.", m_registry)),
      m_member_changes(Build(prometheus::BuildCounter(), "fescueramp_member_changes_total",
                             "Changes of members, by new state.", m_registry)),
      m_refused_inputs(Build(prometheus::BuildCounter(), "fescueramp_refused_input_total",
                             "Messages refused while they were read, by port and reason.", m_registry)),
      m_memory_decisions(Build(prometheus::BuildCounter(), "fescueramp_memory_decisions_total",
                               "Requests refused and connections closed by the memory budget, by decision.",
                               m_registry)),
      m_quota_refusals(Build(prometheus::BuildCounter(), "fescueramp_quota_refusals_total",
                             "Requests that the fleet's quota refused, by account group.", m_registry)),
      m_gauges(
          Build(prometheus::BuildGauge(), "fescueramp_node", "Values of this node, by name.", m_registry)),
      m_dispatcher_gauges(Build(prometheus::BuildGauge(), "fescueramp_dispatcher",
                                "Values of this node's dispatchers, by service and name.", m_registry)) {}

const std::string& NodeMetrics::BoundedLabel(std::set<std::string>& seen, const std::string& name) {
  if (seen.contains(name) || seen.size() < kMaxLabelValues) return *seen.insert(name).first;
  return kOverflowLabel;
}

void NodeMetrics::RecordResponse(const std::string& result) {
  m_responses.Add({{"result", result}}).Increment();
}

void NodeMetrics::RecordLatency(const std::string& class_name, const std::string& group, Duration latency) {
  m_latency
      .Add({{"class", BoundedLabel(m_classes, class_name)}, {"group", BoundedLabel(m_groups, group)}},
           kLatencyBuckets)
      .Observe(ToSeconds(latency));
}

void NodeMetrics::RecordQueueWait(const std::string& class_name, Duration wait) {
  m_queue_wait.Add({{"class", BoundedLabel(m_classes, class_name)}}, kLatencyBuckets)
      .Observe(ToSeconds(wait));
}

void NodeMetrics::RecordAttempt(const std::string& outcome) {
  m_attempts.Add({{"outcome", outcome}}).Increment();
}

void NodeMetrics::RecordHealthChange(const std::string& service, const std::string& state) {
  m_health_changes.Add({{"service", BoundedLabel(m_services, service)}, {"state", state}}).Increment();
}

void NodeMetrics::RecordMemberChange(const std::string& state) {
  m_member_changes.Add({{"state", state}}).Increment();
}

void NodeMetrics::RecordRefusedInput(const std::string& port, const std::string& reason) {
  m_refused_inputs.Add({{"port", port}, {"reason", reason}}).Increment();
}

void NodeMetrics::RecordMemoryDecision(const std::string& decision) {
  m_memory_decisions.Add({{"decision", decision}}).Increment();
}

void NodeMetrics::RecordQuotaRefusals(const std::string& group, std::int64_t requests) {
  m_quota_refusals.Add({{"group", BoundedLabel(m_groups, group)}}).Increment(static_cast<double>(requests));
}

void NodeMetrics::SetRevision(std::int64_t revision) { SetGauge("revision", static_cast<double>(revision)); }

void NodeMetrics::SetGauge(const std::string& name, double value) {
  m_gauges.Add({{"name", name}}).Set(value);
}

void NodeMetrics::SetDispatcherLoads(const std::vector<DispatcherLoad>& loads) {
  for (prometheus::Gauge* gauge : m_listed_dispatcher_gauges) m_dispatcher_gauges.Remove(gauge);
  m_listed_dispatcher_gauges.clear();
  for (const DispatcherLoad& load : loads) {
    const std::string& service = BoundedLabel(m_services, load.m_service);
    const auto set = [&](const char* name, double value) {
      prometheus::Gauge& gauge = m_dispatcher_gauges.Add({{"service", service}, {"name", name}});
      gauge.Set(value);
      m_listed_dispatcher_gauges.insert(&gauge);
    };
    set("queued", static_cast<double>(load.m_queued));
    set("running", static_cast<double>(load.m_running));
    set("endpoints", static_cast<double>(load.m_endpoints));
    set("endpoints_used", static_cast<double>(load.m_endpoints_used));
    set("endpoints_avoided", static_cast<double>(load.m_endpoints_avoided));
    set("endpoints_limited", static_cast<double>(load.m_endpoints_limited));
    set("endpoints_paused", static_cast<double>(load.m_endpoints_paused));
    set("unserved_share", load.m_unserved_share);
    set("hedges_started", static_cast<double>(load.m_hedges.m_started));
    set("hedges_won", static_cast<double>(load.m_hedges.m_won));
    set("hedges_cancelled", static_cast<double>(load.m_hedges.m_cancelled));
    set("hedges_denied_budget", static_cast<double>(load.m_hedges.m_denied_budget));
    set("hedges_denied_retry_budget", static_cast<double>(load.m_hedges.m_denied_retry_budget));
    set("hedges_denied_capacity", static_cast<double>(load.m_hedges.m_denied_capacity));
    set("hedges_denied_endpoint", static_cast<double>(load.m_hedges.m_denied_endpoint));
  }
}

std::string NodeMetrics::Text() const { return prometheus::TextSerializer().Serialize(m_registry.Collect()); }

}  // namespace fescueramp
