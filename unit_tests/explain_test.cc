#include "fescueramp/journal/explain.h"

#include <boost/test/unit_test.hpp>

#include "fescueramp/core/json_codec.h"
#include "fescueramp/journal/journal.h"
#include "fescueramp/journal/receipt.h"
#include "unit_tests/dispatch_harness.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// All decision records of a request, in order.
std::vector<DecisionRecord> RecordsOf(const DispatchHarness& harness, const std::string& request_id) {
  std::vector<DecisionRecord> records;
  for (const auto& record : harness.Records()) {
    if (record.m_request_id == request_id) records.push_back(record);
  }
  return records;
}

Explanation Compare(const DispatchHarness& harness, const std::string& a, const std::string& b) {
  return ExplainOrder(RecordsOf(harness, a), RecordsOf(harness, b), milliseconds(50));
}

BOOST_AUTO_TEST_SUITE(explain)

BOOST_AUTO_TEST_CASE(PriorityIsReportedAsTheRule) {
  DispatchHarness harness(1, 1);
  harness.End(harness.Send("short"));
  harness.End(harness.Send("long"), AttemptOutcome::kResponded, milliseconds(30));
  const std::string running = harness.Send("short");
  const std::string archive = harness.Send("long");
  const std::string reading = harness.Send("short");
  harness.End(running);
  harness.End(reading);
  const Explanation order = Compare(harness, archive, reading);
  BOOST_CHECK(order.m_verdict == OrderVerdict::kSecondServedFirst);
  BOOST_CHECK(order.m_rule == OrderRule::kPriority);
  BOOST_TEST(order.m_sentences.at(1).find("rank 1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(FairShareIsReportedAsTheRule) {
  DispatchHarness harness(1, 1);
  harness.End(harness.Send("short"), AttemptOutcome::kResponded, milliseconds(1));
  const std::string running = harness.Send("short");
  std::vector<std::string> alice;
  for (int i = 0; i < 5; ++i) alice.push_back(harness.Send("short", "alice"));
  const std::string bob = harness.Send("short", "bob");
  harness.End(running, AttemptOutcome::kResponded, milliseconds(1));
  while (!harness.AllRunning().empty()) {
    const std::string id = harness.AllRunning().begin()->first;
    harness.End(id, AttemptOutcome::kResponded, milliseconds(1));
  }
  const Explanation order = Compare(harness, alice[4], bob);
  BOOST_CHECK(order.m_verdict == OrderVerdict::kSecondServedFirst);
  BOOST_CHECK(order.m_rule == OrderRule::kFairShare);
}

BOOST_AUTO_TEST_CASE(PriorityOrSlotReserveIsReportedAsTheRule) {
  DispatchHarness harness(8, 2);
  harness.End(harness.Send("long"), AttemptOutcome::kResponded, seconds(1));
  for (int i = 0; i < 400; ++i) {
    harness.End(harness.Send("short"));
    harness.Advance(milliseconds(5));
  }
  std::vector<std::string> archives;
  for (int i = 0; i < 16; ++i) archives.push_back(harness.Send("long", "alice", true, seconds(60)));
  const std::string reading = harness.Send("short");
  BOOST_REQUIRE(harness.Running(reading));
  BOOST_REQUIRE(!harness.Running(archives.back()));
  // The last long request must have a decision record, so requests end until it runs.
  for (int i = 0; i < 40 && !harness.Running(archives.back()); ++i) {
    const std::string id = harness.AllRunning().begin()->first;
    harness.End(id, AttemptOutcome::kResponded, seconds(1));
  }
  const Explanation order = Compare(harness, archives.back(), reading);
  BOOST_CHECK(order.m_verdict == OrderVerdict::kSecondServedFirst);
  BOOST_CHECK(order.m_rule == OrderRule::kPriority || order.m_rule == OrderRule::kSlotReserve);
}

BOOST_AUTO_TEST_CASE(RequestsQueuedAtDifferentTimesNeverCompeted) {
  DispatchHarness harness(4, 2);
  const std::string a = harness.Send("short");
  harness.End(a);
  harness.Advance(milliseconds(10));
  const std::string b = harness.Send("short");
  BOOST_CHECK(Compare(harness, a, b).m_verdict == OrderVerdict::kNeverCompeted);
}

BOOST_AUTO_TEST_CASE(CloseDecisionsOfTwoDispatchersHaveNoKnownOrder) {
  DecisionRecord a;
  a.m_request_id = "a";
  a.m_service = "work";
  a.m_dispatcher = "n0";
  a.m_endpoint = "e0";
  DecisionRecord b = a;
  b.m_request_id = "b";
  b.m_dispatcher = "n1";
  b.m_decided += milliseconds(20);
  BOOST_CHECK(ExplainOrder({a}, {b}, milliseconds(50)).m_verdict == OrderVerdict::kUnknown);
  b.m_decided += milliseconds(200);
  BOOST_CHECK(ExplainOrder({a}, {b}, milliseconds(50)).m_verdict == OrderVerdict::kNeverCompeted);
}

/// Compares the explanation of every pair of requests with the order in which the harness started them.
BOOST_AUTO_TEST_CASE(ExplanationsAgreeWithTheStartOrder) {
  DispatchHarness harness(2, 1);
  std::vector<std::string> sent;
  for (int i = 0; i < 40; ++i) {
    const char* classes[] = {"short", "long", "filing"};
    sent.push_back(harness.Send(classes[i % 3], i % 2 ? "alice" : "bob", true, seconds(600)));
  }
  while (!harness.AllRunning().empty()) {
    harness.Advance(milliseconds(7));
    const std::string id = harness.AllRunning().begin()->first;
    harness.End(id);
  }
  const auto& order = harness.StartOrder();
  const auto start_position = [&](const std::string& id) {
    return std::find(order.begin(), order.end(), id) - order.begin();
  };
  for (const auto& a : sent) {
    for (const auto& b : sent) {
      if (a == b || RecordsOf(harness, a).empty() || RecordsOf(harness, b).empty()) continue;
      const Explanation explanation = Compare(harness, a, b);
      if (explanation.m_verdict == OrderVerdict::kNeverCompeted) continue;
      const bool a_first = explanation.m_verdict == OrderVerdict::kFirstServedFirst;
      BOOST_TEST(a_first == (start_position(a) < start_position(b)), a << " and " << b);
      const DecisionRecord first = RecordsOf(harness, a_first ? a : b).front();
      const DecisionRecord later = RecordsOf(harness, a_first ? b : a).front();
      // Requests of one account and class must be served in order of arrival.
      if (first.m_account == later.m_account && first.m_class_name == later.m_class_name) {
        BOOST_CHECK(explanation.m_rule == OrderRule::kArrival);
        BOOST_TEST(first.m_arrival_sequence < later.m_arrival_sequence);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(JournalKeepsOnlyTheMostRecentRecords) {
  Journal journal(10);
  for (int i = 0; i < 25; ++i) {
    DecisionRecord record;
    record.m_request_id = "n0-" + std::to_string(i) + (i % 2 ? ".2" : "");
    record.m_sequence = i;
    journal.Add(record);
  }
  BOOST_TEST(journal.Size() == 10U);
  BOOST_TEST(journal.Find("n0-3").empty());
  BOOST_TEST(journal.Find("n0-21").size() == 1U);
  for (int i = 0; i < 25; ++i) journal.AddReceipt("n0-" + std::to_string(i), "receipt");
  BOOST_TEST(journal.FindReceipt("n0-3").empty());
  BOOST_TEST(journal.FindReceipt("n0-21") == "receipt");
}

BOOST_AUTO_TEST_CASE(AlteredReceiptIsRejected) {
  DecisionRecord record;
  record.m_request_id = "n0-1";
  record.m_dispatcher = "n3";
  record.m_sequence = 17;
  record.m_service = "work";
  record.m_class_name = "read";
  record.m_endpoint = "e5";
  const std::string receipt = MakeReceipt(record, "key-one-0123456789");
  const auto fields = VerifyReceipt(receipt, {"other-key", "key-one-0123456789"});
  BOOST_REQUIRE(fields.has_value());
  BOOST_TEST(fields->m_sequence == 17);
  BOOST_TEST(fields->m_endpoint == "e5");
  BOOST_TEST(RecordFromReceipt(*fields).m_service == "work");
  BOOST_TEST(!VerifyReceipt(receipt, {"other-key"}).has_value());
  for (std::size_t i = 0; i < receipt.size(); ++i) {
    std::string altered = receipt;
    altered[i] = altered[i] == 'x' ? 'y' : 'x';
    BOOST_TEST(!VerifyReceipt(altered, {"key-one-0123456789"}).has_value(), altered);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
