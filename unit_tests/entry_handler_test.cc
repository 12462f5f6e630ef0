#include "fescueramp/daemon/entry_handler.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/daemon/wire.h"
#include "unit_tests/handler_dependencies.h"

namespace fescueramp {
namespace {

using tcp = asio::ip::tcp;

constexpr std::size_t kKilobyte = 1024;
constexpr std::size_t kLongBodyBytes = 16 * 1024 * kKilobyte;
const std::string kLongTarget = "/long";  ///< Target with a long response.
const std::string kHeldTarget = "/held";  ///< Target that the dispatcher doesn't respond to.
const std::string kHeadLength = "1234";   ///< Length that the endpoint names in its responses to HEAD.

std::string Get(const std::string& target) { return "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"; }

/// Entry side of a node with one caller, and a dispatcher that responds at once to all requests but one.
class EntryWithOneCaller final : public EventSink {
 public:
  explicit EntryWithOneCaller(std::size_t budget_bytes = 0)
      : m_io(1),
        m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}),
        m_dependencies(m_io.get_executor(), budget_bytes),
        m_entry(m_dependencies.MakeContext(*this)),
        m_server(
            m_io.get_executor(), ServerSettings(m_dependencies),
            [this](std::shared_ptr<HttpExchange> exchange) { return m_entry.Handle(std::move(exchange)); }),
        m_caller(m_io) {
    asio::co_spawn(m_io, AcceptLink(), asio::detached);
    if (m_dependencies.Memory()) m_dependencies.Links().SetMemory(m_dependencies.Memory()->LinkAccount());
    m_caller.open(tcp::v4());
    m_caller.set_option(asio::socket_base::receive_buffer_size(4 * kKilobyte));
    m_caller.connect({asio::ip::address_v4::loopback(), m_server.Port()});
    m_caller.non_blocking(true);
  }

  ~EntryWithOneCaller() override {
    m_dependencies.Links().CloseAll();
    if (m_dispatcher) m_dispatcher->Close();
    m_caller.close();
    RunPending();
  }

  void Post(Event event) override {
    if (const auto* received = std::get_if<RequestReceived>(&event)) {
      ForwardRequest forward;
      forward.m_request_id = received->m_request_id;
      forward.m_node = "n1";
      forward.m_address = "127.0.0.1";
      forward.m_port = m_acceptor.local_endpoint().port();
      forward.m_max_body_bytes = 1000;
      forward.m_request.m_deadline = m_dependencies.Now() + std::chrono::hours(1);
      m_entry.Run(forward);
    } else if (const auto* ended = std::get_if<ForwardEnded>(&event)) {
      m_timed_out += ended->m_outcome == ForwardOutcome::kTimedOut ? 1 : 0;
      if (ended->m_outcome == ForwardOutcome::kResponded) return;
      RefuseRequest refuse;
      refuse.m_request_id = ended->m_request_id;
      refuse.m_code = static_cast<std::int64_t>(ResultCode::kResponseIncomplete);
      refuse.m_maybe_ran = true;
      m_entry.Run(refuse);
    }
  }

  void Send(const std::string& bytes) {
    asio::write(m_caller, asio::buffer(bytes));
    RunPending();
  }

  /// Everything that the caller has received so far.
  std::string Received() {
    RunPending();
    boost::system::error_code ec;
    while (!ec) {
      std::string part(4096, '\0');
      part.resize(m_caller.read_some(asio::buffer(part), ec));
      m_received += part;
    }
    return m_received;
  }

  EntryHandler& Entry() { return m_entry; }
  MemoryBudget& Budget() { return *m_dependencies.Memory(); }
  std::size_t Sent() const { return m_sent; }

  /// What the caller has received since the last call.
  std::string NewlyReceived() {
    Received();
    return std::exchange(m_received, {});
  }
  int TimedOut() const { return m_timed_out; }
  std::size_t HeldStreams() const { return m_held_streams.size(); }

 private:
  /// Runs the event loop for about 20 ms.
  void RunPending() {
    for (int i = 0; i < 20; ++i) m_io.run_for(std::chrono::milliseconds(1));
    m_io.restart();
  }

  static HttpServerSettings ServerSettings(HandlerDependencies& dependencies) {
    HttpServerSettings settings;
    settings.m_memory = dependencies.Memory();
    return settings;
  }

  asio::awaitable<void> AcceptLink() {
    m_dispatcher = std::make_shared<Link>(co_await m_acceptor.async_accept(asio::use_awaitable), true,
                                          [this](std::shared_ptr<LinkStream> stream) {
                                            asio::co_spawn(m_io, Respond(std::move(stream)), asio::detached);
                                          });
    m_dispatcher->Start();
  }

  asio::awaitable<void> Respond(std::shared_ptr<LinkStream> stream) {
    const auto request = wire::ParseJsonField<RequestHead>(stream->Headers(), wire::kHeadField);
    if (request.m_target == kHeldTarget) {
      m_held_streams.push_back(stream);
      co_return;
    }
    ResponseHead head;
    head.m_status = 200;
    head.m_code = static_cast<std::int64_t>(ResultCode::kOk);
    if (request.m_method == "HEAD") head.m_content_length = std::stoll(kHeadLength);
    stream->SendHeaders({{":status", "200"}, wire::MakeJsonField(wire::kResponseField, head)});
    if (request.m_method == "HEAD") co_return stream->Finish();
    std::string body = "body of " + request.m_target;
    co_await stream->Write(std::move(body));
    while (request.m_target == kLongTarget && m_sent < kLongBodyBytes) {
      std::string part(32 * kKilobyte, 'x');
      co_await stream->Write(std::move(part));
      m_sent += 32 * kKilobyte;
    }
    stream->Finish();
  }

  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  HandlerDependencies m_dependencies;
  EntryHandler m_entry;
  HttpServer m_server;
  tcp::socket m_caller;
  std::shared_ptr<Link> m_dispatcher;
  std::vector<std::shared_ptr<LinkStream>> m_held_streams;
  int m_timed_out = 0;
  std::size_t m_sent = 0;  ///< Bytes of the long response that the dispatcher has written.
  std::string m_received;
};

BOOST_AUTO_TEST_SUITE(entry_handler)

BOOST_AUTO_TEST_CASE(ResponseBehindARequestInProgressIsDeliveredWhenTheNodeEnds) {
  EntryWithOneCaller node;
  node.Send(Get(kHeldTarget) + Get("/ready"));
  BOOST_TEST(node.HeldStreams() == 1U);
  BOOST_TEST(node.Received().empty());
  node.Entry().TimeOutForwards();
  const std::string received = node.Received();
  BOOST_TEST(node.TimedOut() == 1);
  BOOST_TEST(received.starts_with("HTTP/1.1 502"));
  BOOST_TEST(received.find("body of /ready") != std::string::npos);
  BOOST_TEST(node.Entry().RequestsInProgress() == 0U);
}

// Guards against a Content-Length of 0 in place of the length that the endpoint named.
BOOST_AUTO_TEST_CASE(ResponseToHeadKeepsTheLengthThatTheEndpointNamed) {
  EntryWithOneCaller node;
  node.Send("HEAD /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string received = node.NewlyReceived();
  BOOST_TEST(received.starts_with("HTTP/1.1 200"));
  BOOST_TEST(received.find("\r\nContent-Length: " + kHeadLength + "\r\n") != std::string::npos, received);
  BOOST_TEST(received.ends_with("\r\n\r\n"));
  node.Send(Get("/2"));
  BOOST_TEST(node.NewlyReceived().ends_with("body of /2"));
  BOOST_TEST(node.Entry().RequestsInProgress() == 0U);
}

BOOST_AUTO_TEST_CASE(ExhaustedBudgetRefusesAtOnceAndServesAgainAfterwards) {
  constexpr std::size_t kBudget = 1024 * kKilobyte;
  EntryWithOneCaller node(kBudget);
  node.Send(Get("/1"));
  BOOST_TEST(node.NewlyReceived().starts_with("HTTP/1.1 200"));
  MemoryCharge filler(node.Budget().LinkAccount(), MemoryKind::kBody, kBudget * 6 / 10);
  node.Send(Get("/2"));
  BOOST_TEST(node.NewlyReceived().starts_with("HTTP/1.1 200"));
  filler.Resize(kBudget * 8 / 10);
  node.Send(Get("/3"));
  const std::string refused = node.NewlyReceived();
  BOOST_TEST(refused.starts_with("HTTP/1.1 503"));
  BOOST_TEST(refused.find("MEMORY_FULL") != std::string::npos);
  BOOST_TEST(refused.find("Retry-After: ") != std::string::npos);
  filler.Resize(0);
  node.Send(Get("/4"));
  BOOST_TEST(node.NewlyReceived().find("body of /4") != std::string::npos);
  filler.Resize(kBudget * 6 / 10);
  node.Send("POST /5 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
  const std::string refused_body = node.NewlyReceived();
  BOOST_TEST(refused_body.starts_with("HTTP/1.1 503"));
  BOOST_TEST(refused_body.find("MEMORY_FULL") != std::string::npos);
  BOOST_TEST(node.Entry().RequestsInProgress() == 0U);
  BOOST_TEST(node.Budget().Refused(MemoryAdmission::kRefuseBodies) == 1);
  BOOST_TEST(node.Budget().Refused(MemoryAdmission::kRefuseAll) == 1);
}

// Guards against an entry host that reads on from the dispatcher while its caller doesn't read.
BOOST_AUTO_TEST_CASE(CallerThatDoesNotReadHoldsABoundedNumberOfBytes) {
  // What is collected before a response is streamed, one part more, and one window of the stream.
  constexpr std::size_t kMaxHeld = (256 + 64 + 256) * kKilobyte;
  EntryWithOneCaller node(1024 * 1024 * kKilobyte);
  node.Send(Get(kLongTarget));
  std::size_t held = 0;
  for (int i = 0; i < 20; ++i) {
    node.Send("");
    held = std::max(held, node.Budget().Load().m_held);
  }
  BOOST_TEST(held > 0U);
  BOOST_TEST(held <= kMaxHeld);
  BOOST_TEST(node.Sent() < kLongBodyBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
