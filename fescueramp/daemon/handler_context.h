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

namespace fescueramp {

/// What the handlers of requests work with. Everything pointed to outlives them.
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
  std::string m_node;
  const std::vector<std::string>* m_link_keys = nullptr;
  const std::vector<std::string>* m_receipt_keys = nullptr;
  bool m_record_decisions = true;  ///< Whether decisions are kept.
  bool m_receipts = true;          ///< Whether answers carry receipts of recorded decisions.
};

}  // namespace fescueramp
