#pragma once

#include "fescueramp/daemon/handler_context.h"
#include "platform/platform_dialect.h"

namespace fescueramp {

/// What a request handler needs beside the receiver of its events. Logs and records nothing.
/// The memory budget is used only if it isn't 0.
class HandlerDependencies {
 public:
  explicit HandlerDependencies(const asio::any_io_executor& executor, std::size_t budget_bytes = 0)
      : m_executor(executor),
        m_memory(budget_bytes),
        m_links(executor),
        m_connections(executor),
        m_journal(16),
        m_log(executor, m_clock, "n0", {0, 0}) {}

  /// Context of a handler whose events go to `sink`.
  HandlerContext MakeContext(EventSink& sink) {
    HandlerContext context;
    context.m_executor = m_executor;
    context.m_clock = &m_clock;
    context.m_sink = &sink;
    context.m_links = &m_links;
    context.m_endpoints = &m_connections;
    context.m_metrics = &m_metrics;
    context.m_journal = &m_journal;
    context.m_log = &m_log;
    context.m_dialect = &m_dialect;
    context.m_memory = Memory();
    context.m_link_keys = &m_keys;
    context.m_record_decisions = false;
    return context;
  }

  Instant Now() const { return m_clock.Now(); }
  LinkPool& Links() { return m_links; }

  /// The memory budget; null if there is none.
  MemoryBudget* Memory() { return m_memory.Load().m_budget > 0 ? &m_memory : nullptr; }

 private:
  asio::any_io_executor m_executor;
  MemoryBudget m_memory;
  SteadyWallClock m_clock;
  platform::PlatformDialect m_dialect;
  std::vector<std::string> m_keys{"0123456789abcdef"};
  LinkPool m_links;
  EndpointConnectionPool m_connections;
  NodeMetrics m_metrics;
  Journal m_journal;
  EventLog m_log;
};

}  // namespace fescueramp
