#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/store/pooled_http_client.h"
#include "unit_tests/raw_endpoint.h"
#include "unit_tests/watching_node.h"

namespace fescueramp::platform {
namespace {

BOOST_AUTO_TEST_SUITE(endless_store)

/// Bytes that a store sends in place of a complete response.
struct EndlessResponse {
  const char* m_name;
  std::string m_first;
  std::string m_repeated;
};

std::ostream& operator<<(std::ostream& out, const EndlessResponse& row) { return out << row.m_name; }

const std::string kHead = "HTTP/1.1 200 OK\r\n";
const std::string kChunk = "400\r\n" + std::string(1024, 'x') + "\r\n";
const std::string kBytes(4096, 'x');

const EndlessResponse kEndlessResponses[] = {
    {"status line", "HTTP/1.1 200 ", kBytes},
    {"header fields", kHead, "X-More: " + std::string(1024, 'x') + "\r\n"},
    {"one header field", kHead + "X-More: ", kBytes},
    {"interim responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"not HTTP", "", std::string(4096, '\x01')},
    {"body without a length", kHead + "\r\n", kBytes},
    {"body of a stated length", kHead + "Content-Length: 1000000000000\r\n\r\n", kBytes},
    {"body of an error", "HTTP/1.1 503 No\r\n\r\n", kBytes},
    {"chunks", kHead + "Transfer-Encoding: chunked\r\n\r\n", kChunk},
    {"chunk extension", kHead + "Transfer-Encoding: chunked\r\n\r\n400;", kBytes},
    {"trailers", kHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: y\r\n"},
};

BOOST_DATA_TEST_CASE(EndlessResponseOfTheStoreIsCutOff, boost::unit_test::data::make(kEndlessResponses),
                     row) {
  // Guards against a reported failure elsewhere: a faulty server sent bytes until its caller closed, and the
  // caller kept them all until it ran out of memory.
  RawEndpoint store(row.m_first, row.m_repeated, After::kKeepsOpen, kMemoryTestBytes);
  const SteadyWallClock clock;
  PooledHttpClient client(store.Io().get_executor(), clock, {"127.0.0.1", store.Port()});
  HttpResponse response;
  const auto work = [&]() -> asio::awaitable<void> {
    response = co_await client.Call("GET", "/", {}, std::chrono::seconds(20));
  };
  store.Await(work());
  BOOST_TEST(response.m_status == 0);
  BOOST_TEST(response.m_body.empty());
  // The rest was in the buffers of the sockets.
  BOOST_TEST(store.RepeatedBytes() < kMaxStoreResponseBytes + 16 * 1024 * 1024);
}

BOOST_AUTO_TEST_CASE(ConfigurationIsFollowedAfterAnEndlessResponse) {
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Start();
  node.Store().SendEndlessWatchResponses();
  node.Store().Put("op/config", ConfigText("0000001d"));
  BOOST_TEST(node.RunUntil([&] { return node.Revision() == 0x1d; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp::platform
