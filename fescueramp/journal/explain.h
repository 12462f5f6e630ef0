#pragma once

#include <boost/describe.hpp>
#include <string>
#include <vector>

#include "fescueramp/core/time.h"
#include "fescueramp/journal/decision_record.h"

namespace fescueramp {

/// What can be said of the order of two requests.
enum class OrderVerdict {
  kFirstServedFirst,
  kSecondServedFirst,
  kNeverCompeted,  ///< They did not wait for the same slots at the same time.
  kUnknown,        ///< Different dispatchers, closer together than clocks can tell.
};

template <>
struct EnumTable<OrderVerdict> {
  static constexpr std::array<std::string_view, 4> kNames = {"first_served_first", "second_served_first",
                                                             "never_competed", "unknown"};
};

/// Explanation in sentences, with the rule for programs.
struct Explanation {
  OrderVerdict m_verdict = OrderVerdict::kNeverCompeted;
  OrderRule m_rule = OrderRule::kArrival;  ///< Rule that decided, when one request was served first.
  std::vector<std::string> m_sentences;
};
BOOST_DESCRIBE_STRUCT(Explanation, (), (m_verdict, m_rule, m_sentences))

/// Tells what was decided for one request.
std::vector<std::string> ExplainRequest(const std::vector<DecisionRecord>& records);

/// Tells which of two requests was served first, and by which rule.
/// @param clock_uncertainty Largest difference between the clocks of two nodes.
Explanation ExplainOrder(const std::vector<DecisionRecord>& first, const std::vector<DecisionRecord>& second,
                         Duration clock_uncertainty);

}  // namespace fescueramp
