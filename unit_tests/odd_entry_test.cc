#include <boost/asio/co_spawn.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/daemon/wire.h"
#include "unit_tests/raw_endpoint.h"
#include "unit_tests/watching_node.h"

namespace fescueramp::platform {
namespace {

/// Text that another writer left in the store.
struct OddEntry {
  const char* m_name;
  std::string m_text;
};

std::ostream& operator<<(std::ostream& out, const OddEntry& row) { return out << row.m_name; }

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

constexpr int kDepth = 100'000;
const std::string kDeepList = std::string(kDepth, '[') + std::string(kDepth, ']');

std::string DeepObject() {
  std::string text;
  for (int i = 0; i < kDepth; ++i) text += "{\"x\":";
  return text + "1" + std::string(kDepth, '}');
}

const OddEntry kOddEntries[] = {
    {"empty", ""},
    {"bytes that are no text", std::string("\x80\xff\x00", 3)},
    {"a number", "7"},
    {"nested too deeply", kDeepList},
    {"a field nested too deeply", Replace(EndpointText("ready", 4), "\"ready\"", kDeepList)},
    {"objects nested too deeply", DeepObject()},
    {"number too large", Replace(EndpointText("ready", 4), "\"slots\":2", "\"slots\":1e400")},
    {"long number", Replace(EndpointText("ready", 4), "\"slots\":2", "\"slots\":" + std::string(5000, '9'))},
    {"port out of range", Replace(EndpointText("ready", 4), ":8080", ":70000")},
    {"duration out of range", Replace(EndpointText("ready", 4), "\"0ms\"", "\"1e300s\"")},
};

BOOST_AUTO_TEST_SUITE(odd_entry)

BOOST_DATA_TEST_CASE(OtherEndpointsAreFollowedBesideAnOddEntry, boost::unit_test::data::make(kOddEntries),
                     row) {
  // Guards against a reported failure elsewhere: one odd entry among those of the endpoints ended the nodes
  // that read the list, or they stopped following it.
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Put("servers/i-0", row.m_text);
  node.Store().Put("servers/i-1", EndpointText("ready", 4));
  node.Start();
  BOOST_TEST(node.RunUntil([&] { return node.Listed("i-1", false); }));
  BOOST_TEST(!node.Listed("i-0", false));
  node.Store().Put("servers/i-2", row.m_text);
  node.Store().Put("servers/i-1", EndpointText("draining", 5));
  BOOST_TEST(node.RunUntil([&] { return node.Listed("i-1", true); }));
  BOOST_TEST(!node.Listed("i-2", false));
}

BOOST_DATA_TEST_CASE(NodeRegistersBesideAnOddEntry, boost::unit_test::data::make(kOddEntries), row) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Put("fescueramp/nodes/n1", row.m_text);
  node.Start();
  BOOST_TEST(node.Store().Has(kNodeKey));
}

BOOST_DATA_TEST_CASE(ConfigurationIsFollowedAfterAnOddOne, boost::unit_test::data::make(kOddEntries), row) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Start();
  node.Store().Put("op/config", row.m_text);
  node.RunUntil([&] { return node.Store().WaitingWatches() < 2; });
  BOOST_TEST(node.RunUntil([&] { return node.Store().WaitingWatches() == 2; }));
  BOOST_TEST(node.Revision() == 0x1c);
  node.Store().Put("op/config", ConfigText("0000001d"));
  BOOST_TEST(node.RunUntil([&] { return node.Revision() == 0x1d; }));
}

/// Body of a response of the store, to a read of a list.
struct OddListing {
  const char* m_name;
  std::string m_body;
};

std::ostream& operator<<(std::ostream& out, const OddListing& row) { return out << row.m_name; }

const OddListing kOddListings[] = {
    {"empty", ""},
    {"no JSON", "items"},
    {"a list", "[]"},
    {"nested too deeply", kDeepList},
    {"an unknown field nested too deeply", R"({"currentRev":7,"items":[],"x":)" + DeepObject() + "}"},
    {"no revision", R"({"items":[]})"},
    {"revision beyond 64 bits", R"({"currentRev":18446744073709551616,"items":[]})"},
    {"revision beyond a double", R"({"currentRev":1e400,"items":[]})"},
    {"revision as text", R"({"currentRev":"7","items":[]})"},
    {"no items", R"({"currentRev":7})"},
    {"items that are no list", R"({"currentRev":7,"items":{}})"},
    {"an item that is no object", R"({"currentRev":7,"items":[7]})"},
    {"an item without a key", R"({"currentRev":7,"items":[{"revision":3}]})"},
    {"an item's revision out of range", R"({"currentRev":7,"items":[{"key":"a","revision":1e30}]})"},
    {"more pages as a number", R"({"currentRev":7,"items":[],"hasMore":7})"},
};

BOOST_DATA_TEST_CASE(OddResponseOfTheStoreIsMalformed, boost::unit_test::data::make(kOddListings), row) {
  RawEndpoint store(
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(row.m_body.size()) + "\r\n\r\n" + row.m_body,
      "");
  const ManualClock clock;
  KvClient client(store.Io().get_executor(), clock, {"127.0.0.1", store.Port()}, std::chrono::seconds(20));
  KvResponse response;
  const auto work = [&]() -> asio::awaitable<void> {
    response = co_await client.List("servers/", Freshness::kCurrent);
  };
  store.Await(work());
  BOOST_CHECK_EQUAL(EnumName(response.m_status), EnumName(KvStatus::kMalformed));
  BOOST_TEST(response.m_items.empty());
}

BOOST_AUTO_TEST_CASE(OddFieldBetweenNodesIsRejected) {
  for (const std::string& text : {std::string(), std::string("\x80\xff"), std::string("7"),
                                  std::string("[1e400]"), kDeepList, DeepObject()}) {
    BOOST_CHECK_THROW(
        wire::ParseJsonField<DispatchRequest>({{wire::kDispatchField, text}}, wire::kDispatchField), Error);
    BOOST_CHECK_THROW(wire::ParseResponseHead({{wire::kResponseField, text}}), Error);
  }
}

BOOST_AUTO_TEST_CASE(LinkToAnOddAddressFails) {
  // A node's entry holds an address that is used only when a request is forwarded to the node.
  asio::io_context io(1);
  LinkPool links(io.get_executor());
  for (const std::string address : {"", "no address", "10.0.0.1:80", "999.0.0.1"}) {
    std::exception_ptr failure;
    asio::co_spawn(io, links.Get(address, 7200),
                   [&](std::exception_ptr error, const std::shared_ptr<Link>&) { failure = error; });
    io.restart();
    io.run();
    BOOST_REQUIRE(failure);
    BOOST_CHECK_THROW(std::rethrow_exception(failure), LinkError);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp::platform
