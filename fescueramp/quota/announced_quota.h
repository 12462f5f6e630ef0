#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

namespace fescueramp {

/// Request for credit of a client account, from a dispatching node to a grantor.
struct QuotaAsk {
  std::string m_account;
  std::int64_t m_epoch = 0;   ///< Start of the asking process; its earlier credit ended with it.
  std::int64_t m_number = 0;  ///< Grows with each ask; a repeated ask keeps its number.
  std::int64_t m_held = 0;    ///< Credit that is unspent, or belongs to requests that have not started.
  std::int64_t m_need = 0;    ///< Requests that wait for credit.
  std::int64_t m_ahead = 0;   ///< Further credit wanted ahead of demand.
};
BOOST_DESCRIBE_STRUCT(QuotaAsk, (), (m_account, m_epoch, m_number, m_held, m_need, m_ahead))

/// Reply to a QuotaAsk.
struct QuotaGrant {
  std::string m_account;
  std::int64_t m_number = 0;   ///< Number of the ask.
  std::int64_t m_credit = 0;   ///< Requests granted in addition to those held.
  std::int64_t m_wait_ms = 0;  ///< Expected time until the requests that got no credit get it, ms.
  bool m_ready = true;         ///< Whether the grantor has been running long enough to grant credit.
};
BOOST_DESCRIBE_STRUCT(QuotaGrant, (), (m_account, m_number, m_credit, m_wait_ms, m_ready))

}  // namespace fescueramp
