#pragma once

#include <string>
#include <vector>

#include "fescueramp/core/clock.h"
#include "fescueramp/daemon/event_log.h"
#include "fescueramp/daemon/event_sink.h"
#include "fescueramp/daemon/node_metrics.h"
#include "fescueramp/journal/journal.h"
#include "fescueramp/net/dialect.h"
#include "fescueramp/net/endpoint_connection_pool.h"
#include "fescueramp/net/link_pool.h"
#include "fescueramp/net/memory_budget.h"

namespace fescueramp {

/// Dependencies of the request handlers. All pointers must outlive them.
struct HandlerContext {
  asio::any_io_executor m_executor;
  const Clock* m_clock = nullptr;
  EventSink* m_sink = nullptr;
  LinkPool* m_links = nullptr;
  EndpointConnectionPool* m_endpoints = nullptr;
  NodeMetrics* m_metrics = nullptr;
  Journal* m_journal = nullptr;
  EventLog* m_log = nullptr;
  const Dialect* m_dialect = nullptr;
  MemoryBudget* m_memory = nullptr;  ///< Null for no budget.
  std::string m_node;
  const std::vector<std::string>* m_link_keys = nullptr;
  const std::vector<std::string>* m_receipt_keys = nullptr;
  bool m_record_decisions = true;  ///< Whether dispatch decisions are added to the journal.
  bool m_receipts = true;          ///< Whether responses carry receipts of recorded decisions.
};

}  // namespace fescueramp
