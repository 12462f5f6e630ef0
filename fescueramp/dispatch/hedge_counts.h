#pragma once

#include <boost/describe.hpp>
#include <cstdint>

namespace fescueramp {

/// Hedges of a dispatcher since its start. A request whose hedge is denied counts once until the reason
/// changes.
struct HedgeCounts {
  std::int64_t m_started = 0;
  std::int64_t m_won = 0;                  ///< Hedges whose response was delivered.
  std::int64_t m_cancelled = 0;            ///< Hedges cancelled because the request ended without them.
  std::int64_t m_denied_budget = 0;        ///< Requests denied a hedge by the service's hedge ratio.
  std::int64_t m_denied_retry_budget = 0;  ///< Requests denied a hedge by the retry budget.
  std::int64_t m_denied_capacity = 0;      ///< Requests denied a hedge for lack of spare capacity.
  std::int64_t m_denied_endpoint = 0;      ///< Requests denied a hedge for lack of another reliable endpoint.
};
BOOST_DESCRIBE_STRUCT(HedgeCounts, (),
                      (m_started, m_won, m_cancelled, m_denied_budget, m_denied_retry_budget,
                       m_denied_capacity, m_denied_endpoint))

}  // namespace fescueramp
