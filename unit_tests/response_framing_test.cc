#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/net/http_server.h"
#include "unit_tests/raw_client.h"

namespace fescueramp {
namespace {

const std::string kBody = "body of the response";
const std::string kEndOfHead = "\r\n\r\n";
const std::string kNextTarget = "/next";  ///< Target of the request behind the one under test.
const std::string kNextBody = "body of the next response";
constexpr std::int64_t kUnknownLength = -1;

/// Length in a response head; kUnknownLength when there is none.
std::int64_t LengthIn(const std::string& head) {
  const std::string name = "\r\nContent-Length: ";
  const std::size_t start = head.find(name);
  return start == std::string::npos ? kUnknownLength : std::stoll(head.substr(start + name.size()));
}

/// A response, and what its head and the bytes behind it must be.
struct FramingCase {
  const char* m_method;
  std::int64_t m_status;
  bool m_streamed;             ///< Whether the response is sent in parts.
  std::int64_t m_length;       ///< Length given for a response that is sent in parts.
  std::int64_t m_sent_length;  ///< Length that the caller must get; kUnknownLength for none.
  bool m_body;                 ///< Whether the caller must get the body.
};

std::ostream& operator<<(std::ostream& out, const FramingCase& row) {
  return out << row.m_method << " " << row.m_status << (row.m_streamed ? " in parts of " : " whole ")
             << row.m_length;
}

const auto kBodyLength = static_cast<std::int64_t>(kBody.size());

const FramingCase kFramingCases[] = {
    {"GET", 200, false, kUnknownLength, kBodyLength, true},
    {"GET", 404, false, kUnknownLength, kBodyLength, true},
    {"GET", 200, true, kBodyLength, kBodyLength, true},
    {"GET", 204, false, kUnknownLength, kUnknownLength, false},
    {"GET", 204, true, kBodyLength, kUnknownLength, false},
    {"GET", 204, true, kUnknownLength, kUnknownLength, false},
    {"GET", 304, false, kUnknownLength, kBodyLength, false},
    {"GET", 304, true, kBodyLength, kBodyLength, false},
    {"GET", 304, true, kUnknownLength, kUnknownLength, false},
    {"POST", 503, false, kUnknownLength, kBodyLength, true},
    {"HEAD", 200, false, kUnknownLength, kBodyLength, false},
    {"HEAD", 404, false, kUnknownLength, kBodyLength, false},
    {"HEAD", 503, false, kUnknownLength, kBodyLength, false},
    {"HEAD", 204, false, kUnknownLength, kUnknownLength, false},
    {"HEAD", 200, true, kBodyLength, kBodyLength, false},
    {"HEAD", 200, true, kUnknownLength, kUnknownLength, false},
};

/// Server that sends the response of one case, and a plain response to the next request.
class CaseServer {
 public:
  explicit CaseServer(const FramingCase& row)
      : m_row(row), m_io(1), m_server(m_io.get_executor(), Settings(), [this](auto exchange) {
          return Respond(std::move(exchange));
        }) {}

  /// Sends bytes, shuts down sending and returns everything received.
  std::string Send(const std::string& bytes) {
    std::string received;
    asio::co_spawn(m_io, SendRaw(bytes, received), asio::detached);
    while (!m_done) m_io.run_one();
    return received;
  }

 private:
  static HttpServerSettings Settings() {
    HttpServerSettings settings;
    settings.m_malformed_request_body = [](const std::string& problem) { return "malformed: " + problem; };
    return settings;
  }

  asio::awaitable<void> Respond(std::shared_ptr<HttpExchange> exchange) {
    std::vector<HeaderField> none;
    if (exchange->Head().m_target == kNextTarget) {
      co_await exchange->Send(200, std::move(none), kNextBody);
    } else if (m_row.m_streamed) {
      co_await exchange->Begin(m_row.m_status, std::move(none), m_row.m_length);
      co_await exchange->Write(kBody);
      co_await exchange->End();
    } else {
      co_await exchange->Send(m_row.m_status, std::move(none), kBody);
    }
  }

  asio::awaitable<void> SendRaw(std::string bytes, std::string& received) {
    received = co_await ExchangeBytes(m_server.Port(), std::move(bytes));
    m_done = true;
  }

  FramingCase m_row;
  asio::io_context m_io;
  bool m_done = false;
  HttpServer m_server;
};

BOOST_AUTO_TEST_SUITE(response_framing)

// Guards against a body behind a response that has none, which the client reads as the start of its next one.
BOOST_DATA_TEST_CASE(ResponseCarriesOnlyWhatItsMethodAndStatusAllow,
                     boost::unit_test::data::make(kFramingCases), row) {
  CaseServer server(row);
  const std::string received = server.Send(std::string(row.m_method) + " / HTTP/1.1\r\nHost: a" + kEndOfHead +
                                           "GET " + kNextTarget + " HTTP/1.1\r\nHost: a" + kEndOfHead);
  const std::size_t end = received.find(kEndOfHead);
  BOOST_REQUIRE(end != std::string::npos);
  const std::string head = received.substr(0, end);
  const std::string rest = received.substr(end + kEndOfHead.size());
  BOOST_TEST(head.starts_with("HTTP/1.1 " + std::to_string(row.m_status)));
  BOOST_TEST(LengthIn(head) == row.m_sent_length);
  BOOST_TEST(head.find("Transfer-Encoding") == std::string::npos);
  BOOST_TEST(rest.starts_with((row.m_body ? kBody : std::string()) + "HTTP/1.1 200"), rest);
  BOOST_TEST(rest.ends_with(kEndOfHead + kNextBody));
}

const char* const kMalformedHeads[] = {"Host: a\r\nHost: b", "Host: a\r\nContent-Length: x", "Host : a"};

BOOST_DATA_TEST_CASE(RefusalOfAMalformedHeadRequestHasNoBody, boost::unit_test::data::make(kMalformedHeads),
                     fields) {
  CaseServer server(kFramingCases[0]);
  const std::string received = server.Send("HEAD / HTTP/1.1\r\n" + std::string(fields) + kEndOfHead);
  BOOST_TEST(received.starts_with("HTTP/1.1 400"));
  BOOST_TEST(received.ends_with(kEndOfHead), received);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
