#include "fescueramp/journal/explain.h"

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace fescueramp {
namespace {

std::string FormatMs(Duration span) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(1) << ToMilliseconds(span) << " ms";
  return text.str();
}

std::string FormatNumber(double value) {
  std::ostringstream text;
  text << std::setprecision(4) << value;
  return text.str();
}

std::string FormatUtc(Instant instant) {
  const auto seconds = std::chrono::time_point_cast<std::chrono::seconds>(instant);
  const std::time_t time = seconds.time_since_epoch().count();
  std::tm utc{};
  gmtime_r(&time, &utc);
  std::ostringstream text;
  text << std::put_time(&utc, "%Y-%m-%d %H:%M:%S") << '.' << std::setw(6) << std::setfill('0')
       << (instant - seconds).count() << " UTC";
  return text.str();
}

bool WasSent(const DecisionRecord& record) { return !record.m_endpoint.empty() && record.m_outcome.empty(); }

/// First decision that sent the request to an endpoint, or the last decision if none did.
const DecisionRecord& FirstSentOrLast(const std::vector<DecisionRecord>& records) {
  const auto sent = std::find_if(records.begin(), records.end(), WasSent);
  return sent == records.end() ? records.back() : *sent;
}

const ClassSnapshot* FindClass(const DecisionRecord& record, const std::string& name) {
  const auto found = std::find_if(record.m_classes.begin(), record.m_classes.end(),
                                  [&](const auto& snapshot) { return snapshot.m_name == name; });
  return found == record.m_classes.end() ? nullptr : &*found;
}

std::string DescribeClass(const DecisionRecord& record, const std::string& name) {
  const ClassSnapshot* snapshot = FindClass(record, name);
  if (!snapshot) return {};
  std::ostringstream text;
  text << "class " << name << " held " << snapshot->m_running << " of the " << snapshot->m_bound
       << " slots it could hold, leaving " << snapshot->m_reserve << " for shorter work, with "
       << snapshot->m_queued << " queued";
  return text.str();
}

/// Rule by which `served` was sent while `waiting` was queued, from the state recorded in `served`.
/// Either of the two may have arrived first.
OrderRule DecidingRule(const DecisionRecord& served, const DecisionRecord& waiting) {
  for (const auto& passed : served.m_passed_over) {
    if (passed.m_request_id == waiting.m_request_id) return passed.m_rule;
  }
  if (served.m_arrival_sequence < waiting.m_arrival_sequence && served.m_class_name == waiting.m_class_name) {
    return served.m_account == waiting.m_account || served.m_start_tag == waiting.m_start_tag
               ? OrderRule::kArrival
               : OrderRule::kFairShare;
  }
  if (served.m_rule == OrderRule::kStarvation) return OrderRule::kStarvation;
  if (served.m_class_name == waiting.m_class_name) return OrderRule::kFairShare;
  const ClassSnapshot* served_class = FindClass(served, served.m_class_name);
  const ClassSnapshot* waiting_class = FindClass(served, waiting.m_class_name);
  if (served_class && waiting_class && served_class->m_rank < waiting_class->m_rank)
    return OrderRule::kPriority;
  if (waiting_class && waiting_class->m_running >= waiting_class->m_bound) {
    return waiting_class->m_reserve > 0 ? OrderRule::kSlotReserve : OrderRule::kClassShare;
  }
  return OrderRule::kArrival;
}

std::string DescribeRule(OrderRule rule, const DecisionRecord& served, const DecisionRecord& waiting) {
  const ClassSnapshot* served_class = FindClass(served, served.m_class_name);
  const ClassSnapshot* waiting_class = FindClass(served, waiting.m_class_name);
  std::ostringstream text;
  switch (rule) {
    case OrderRule::kArrival:
      text << "It arrived first, as number " << served.m_arrival_sequence << "; the other request was number "
           << waiting.m_arrival_sequence << ".";
      break;
    case OrderRule::kPriority:
      text << "Its class " << served.m_class_name << " has rank " << (served_class ? served_class->m_rank : 0)
           << ", which goes before " << waiting.m_class_name << " with rank "
           << (waiting_class ? waiting_class->m_rank : 0) << ".";
      break;
    case OrderRule::kFairShare:
      text << "Account \"" << served.m_account << "\" (weight " << FormatNumber(served.m_weight)
           << ") had used less of its share than account \"" << waiting.m_account << "\" (weight "
           << FormatNumber(waiting.m_weight) << "): start tag " << FormatNumber(served.m_start_tag)
           << " versus " << FormatNumber(waiting.m_start_tag) << ".";
      break;
    case OrderRule::kClassShare:
      text << "The other request's class had no slot left: " << DescribeClass(served, waiting.m_class_name)
           << ".";
      break;
    case OrderRule::kSlotReserve:
      text << "The other request's class had to leave slots for shorter work: "
           << DescribeClass(served, waiting.m_class_name) << ".";
      break;
    case OrderRule::kStarvation:
      text << "Its class had waited longer than its starvation limit and therefore went first.";
      break;
    case OrderRule::kIsolation:
      text << "The other request was running when the connection to an endpoint broke, so it had to wait for "
              "an "
              "endpoint that ran no other request.";
      break;
    case OrderRule::kRetry:
      text << "The other request was a retry that must not go to the free endpoint.";
      break;
  }
  return text.str();
}

}  // namespace

std::vector<std::string> ExplainRequest(const std::vector<DecisionRecord>& records) {
  std::vector<std::string> sentences;
  for (const auto& record : records) {
    std::ostringstream text;
    if (record.m_service.empty()) {
      text << "Request " << record.m_request_id << " ended at dispatcher " << record.m_dispatcher
           << " before it was queued: " << record.m_outcome << ".";
      sentences.push_back(text.str());
      continue;
    }
    text << "Request " << record.m_request_id << " of account \"" << record.m_account << "\" entered at "
         << record.m_entry_node << " and reached dispatcher " << record.m_dispatcher << " of service "
         << record.m_service << " at " << FormatUtc(record.m_arrival) << " as number "
         << record.m_arrival_sequence << ", in class " << record.m_class_name << ", under revision "
         << record.m_revision << ".";
    sentences.push_back(text.str());
    text.str({});
    if (!WasSent(record)) {
      text << "It ended as " << record.m_outcome << " after " << FormatMs(record.m_decided - record.m_arrival)
           << ", with " << record.m_busy << " of " << record.m_slots << " slots in use; "
           << DescribeClass(record, record.m_class_name) << ".";
      sentences.push_back(text.str());
      continue;
    }
    text << "Attempt " << record.m_attempt << " went to endpoint " << record.m_endpoint << " after "
         << FormatMs(record.m_decided - record.m_arrival) << " as decision " << record.m_sequence << ", with "
         << record.m_busy << " of " << record.m_slots << " slots in use; "
         << DescribeClass(record, record.m_class_name) << ".";
    sentences.push_back(text.str());
    for (const auto& passed : record.m_passed_over) {
      sentences.push_back("It went before the older request " + passed.m_request_id + " of class " +
                          passed.m_class_name + " by the rule " + std::string(EnumName(passed.m_rule)) + ".");
    }
  }
  return sentences;
}

Explanation ExplainOrder(const std::vector<DecisionRecord>& first, const std::vector<DecisionRecord>& second,
                         Duration clock_uncertainty) {
  Explanation result;
  const DecisionRecord& a = FirstSentOrLast(first);
  const DecisionRecord& b = FirstSentOrLast(second);
  if (a.m_service != b.m_service || a.m_service.empty()) {
    result.m_sentences.push_back(
        "The two requests never competed: they were for different services or never queued.");
    return result;
  }
  if (a.m_dispatcher != b.m_dispatcher) {
    const Duration difference =
        a.m_decided > b.m_decided ? a.m_decided - b.m_decided : b.m_decided - a.m_decided;
    result.m_sentences.push_back("They went through different dispatchers, " + a.m_dispatcher + " and " +
                                 b.m_dispatcher + ", which did not share a queue.");
    if (difference <= clock_uncertainty) {
      result.m_verdict = OrderVerdict::kUnknown;
      result.m_sentences.push_back("Their decisions were " + FormatMs(difference) +
                                   " apart, within the clock uncertainty of " + FormatMs(clock_uncertainty) +
                                   ", so their order is unknown.");
    } else {
      result.m_sentences.push_back(
          "They did not compete in one queue; by the clocks of the dispatchers, their "
          "decisions were " +
          FormatMs(difference) + " apart.");
    }
    return result;
  }
  const bool first_served = a.m_sequence < b.m_sequence;
  const DecisionRecord& served = first_served ? a : b;
  const DecisionRecord& waiting = first_served ? b : a;
  if (waiting.m_arrival > served.m_decided) {
    result.m_sentences.push_back("The two requests never competed: " + waiting.m_request_id + " arrived " +
                                 FormatMs(waiting.m_arrival - served.m_decided) + " after the decision on " +
                                 served.m_request_id + ".");
    return result;
  }
  if (!WasSent(served)) {
    result.m_sentences.push_back("Request " + served.m_request_id +
                                 " was not sent to an endpoint: it ended as " + served.m_outcome + ".");
    return result;
  }
  result.m_verdict = first_served ? OrderVerdict::kFirstServedFirst : OrderVerdict::kSecondServedFirst;
  result.m_rule = DecidingRule(served, waiting);
  result.m_sentences.push_back("Request " + served.m_request_id + " was served before request " +
                               waiting.m_request_id + " by the rule " + std::string(EnumName(result.m_rule)) +
                               ", under revision " + std::to_string(served.m_revision) + ".");
  result.m_sentences.push_back(DescribeRule(result.m_rule, served, waiting));
  if (!WasSent(waiting)) {
    result.m_sentences.push_back("Request " + waiting.m_request_id + " was not sent: it ended as " +
                                 waiting.m_outcome + ".");
  }
  return result;
}

}  // namespace fescueramp
