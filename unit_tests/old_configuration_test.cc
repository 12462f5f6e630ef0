#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "unit_tests/watching_node.h"

namespace fescueramp::platform {
namespace {

using tcp = asio::ip::tcp;

constexpr std::int64_t kOldRevision = 0x1c;  ///< In the old copy of the store.
constexpr std::int64_t kNewRevision = 0x1d;  ///< Acknowledged by the store.

/// Another node, which serves its configuration over links.
class ServingNode {
 public:
  ServingNode(asio::io_context& io, std::string text)
      : m_acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)), m_text(std::move(text)) {
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
      if (ec) return;
      m_link = std::make_shared<Link>(
          std::move(socket), true, [this](std::shared_ptr<LinkStream> stream) { Serve(std::move(stream)); });
      m_link->Start();
    });
  }

  FetchConfiguration Announcement(bool near, std::int64_t revision) const {
    return {"n1", "127.0.0.1", m_acceptor.local_endpoint().port(), near, revision};
  }

 private:
  void Serve(std::shared_ptr<LinkStream> stream) {
    stream->SendHeaders({{":status", "200"}});
    asio::co_spawn(m_acceptor.get_executor(), Send(std::move(stream)), asio::detached);
  }

  asio::awaitable<void> Send(std::shared_ptr<LinkStream> stream) {
    co_await stream->Write(m_text);
    stream->Finish();
  }

  tcp::acceptor m_acceptor;
  std::string m_text;
  std::shared_ptr<Link> m_link;
};

BOOST_AUTO_TEST_SUITE(old_configuration)

BOOST_AUTO_TEST_CASE(NodeStartsWithTheAcknowledgedConfiguration) {
  // Guards against a recorded failure: a restarted node took its first configuration from an old copy of the
  // store, and ran requests of a newer non-repeatable route as repeatable ones, some of them twice.
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Copy();
  node.Store().ServeCopy();
  node.Store().Put("op/config", ConfigText("0000001d"));
  node.MakeControl();
  BOOST_TEST(node.Await(node.Control().LoadFromStore()));
  BOOST_TEST(node.RevisionsTaken() == std::vector<std::int64_t>{kNewRevision});
}

/// A node learns from another one that there is a newer revision.
struct AnnouncementCase {
  const char* m_name;
  std::int64_t m_in_force;   ///< Revision in force at the node; 0 when it has just started.
  bool m_near;               ///< Whether the other node is in the same availability zone.
  std::int64_t m_announced;  ///< Revision of the other node.
  bool m_store_away;
  std::int64_t m_expected;  ///< The only revision that the node may take.
};

std::ostream& operator<<(std::ostream& out, const AnnouncementCase& row) { return out << row.m_name; }

const AnnouncementCase kAnnouncements[] = {
    {"started, far node", 0, false, kNewRevision, false, kNewRevision},
    {"started, near node", 0, true, kNewRevision, false, kNewRevision},
    {"started, near node is behind", 0, true, kOldRevision, false, kNewRevision},
    {"started, far node is behind", 0, false, kOldRevision, false, kNewRevision},
    {"started, near node, no store", 0, true, kNewRevision, true, kNewRevision},
    {"started, far node, no store", 0, false, kNewRevision, true, kNewRevision},
    {"two revisions behind, far node", kOldRevision - 1, false, kNewRevision, false, kNewRevision},
    {"two revisions behind, near node", kOldRevision - 1, true, kNewRevision, false, kNewRevision},
    {"copy is as new as announced", kOldRevision - 1, false, kOldRevision, false, kOldRevision},
};

BOOST_DATA_TEST_CASE(CopyOlderThanAnnouncedIsNotTaken, boost::unit_test::data::make(kAnnouncements), row) {
  // A node that learns of a newer revision may read a copy of the store, which can be older than that
  // revision.
  WatchingNode node;
  node.Store().Put("op/config", ConfigText("0000001c"));
  node.Store().Copy();
  node.Store().ServeCopy();
  node.Store().Put("op/config", ConfigText("0000001d"));
  if (row.m_store_away) node.TakeStoreAway();
  node.SetRevision(row.m_in_force);
  node.MakeControl();
  ServingNode other(node.Io(), ConfigText(row.m_announced == kNewRevision ? "0000001d" : "0000001c"));
  BOOST_TEST(node.Await(node.Control().LoadFromNode(other.Announcement(row.m_near, row.m_announced))));
  BOOST_TEST(node.RevisionsTaken() == std::vector<std::int64_t>{row.m_expected});
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp::platform
