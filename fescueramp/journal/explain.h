#pragma once

#include <boost/describe.hpp>
#include <string>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// Result of comparing the order of two requests.
enum class OrderVerdict {
  kFirstServedFirst,
  kSecondServedFirst,
  kNeverCompeted,  ///< The requests did not wait for the same slots at the same time.
  kUnknown,        ///< Decided by different dispatchers within the clock uncertainty.
};

template <>
struct EnumTable<OrderVerdict> {
  static constexpr std::array<std::string_view, 4> kNames = {"first_served_first", "second_served_first",
                                                             "never_competed", "unknown"};
};

/// Explanation of the order of two requests, in sentences for people and as a verdict and rule for programs.
struct Explanation {
  OrderVerdict m_verdict = OrderVerdict::kNeverCompeted;
  OrderRule m_rule = OrderRule::kArrival;  ///< Deciding rule, if one request was served first.
  std::vector<std::string> m_sentences;
};
BOOST_DESCRIBE_STRUCT(Explanation, (), (m_verdict, m_rule, m_sentences))

/// Describes the decisions on one request in sentences.
/// @param records Decision records of the request, in order.
std::vector<std::string> ExplainRequest(const std::vector<DecisionRecord>& records);

/// Determines which of two requests was served first, and by which rule.
/// @param first Decision records of the first request, in order; not empty.
/// @param second Decision records of the second request, in order; not empty.
/// @param clock_uncertainty Maximum difference between the clocks of two nodes.
Explanation ExplainOrder(const std::vector<DecisionRecord>& first, const std::vector<DecisionRecord>& second,
                         Duration clock_uncertainty);

}  // namespace fescueramp
