#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "platform/platform_control.h"
#include "unit_tests/kv_store_stand_in.h"

namespace fescueramp::platform {

/// Key under which WatchingNode registers itself.
inline const std::string kNodeKey = "fescueramp/nodes/n0";

/// Configuration in the platform's format with one service, "a", and one route.
std::string ConfigText(const std::string& version);

/// Entry of an endpoint of service "a" in the platform's format.
std::string EndpointText(const std::string& state, int sequence, std::int64_t born = 1700000000000);

/// A control plane on a store on loopback, and what it has posted. Its clock stands still.
class WatchingNode final : public EventSink {
 public:
  /// Time in which the users want a change to be in force, counted in timers that expire on the node's own
  /// thread: where the machine is slow, they are as late as the node's timers.
  static constexpr int kMaxTimers = 40;

  WatchingNode();

  void Post(Event event) override;

  /// Makes the control plane, which then does nothing by itself.
  void MakeControl();

  /// Starts the control plane and waits until it has read and registered everything and watches.
  void Start();

  /// Runs until a condition holds; false if that takes longer than the users allow for a change.
  bool RunUntil(const std::function<bool()>& condition) { return RunUntil(condition, kMaxTimers); }

  /// Runs until a condition holds; false if it doesn't before so many timers of 100 ms have expired.
  bool RunUntil(const std::function<bool()>& condition, int max_timers);

  /// Runs until the coroutine has ended. @return Its result; false if that takes longer than the users allow.
  bool Await(asio::awaitable<bool> work);

  KvStoreStandIn& Store() { return m_store; }
  PlatformControl& Control() { return *m_control; }
  asio::io_context& Io() { return m_io; }

  /// Makes the store refuse connections.
  void TakeStoreAway() { m_settings.m_platform.m_port = 1; }

  std::int64_t Revision() const { return m_revision; }
  void SetRevision(std::int64_t revision) { m_revision = revision; }

  /// Revisions that came into force, in order.
  const std::vector<std::int64_t>& RevisionsTaken() const { return m_taken; }

  /// Lists of endpoints posted so far.
  int Lists() const { return m_lists; }

  /// Failed reads of the list of endpoints posted so far.
  int FailedReads() const { return m_failed_reads; }

  /// Whether the endpoint is listed, and as leaving.
  bool Listed(const std::string& name, bool leaving) const;

 private:
  asio::io_context m_io;
  ManualClock m_clock;
  KvStoreStandIn m_store;
  LinkPool m_links;
  EventLog m_log;
  Settings m_settings;
  std::int64_t m_revision = 0;
  std::vector<std::int64_t> m_taken;
  std::optional<EndpointsListed> m_listed;
  int m_lists = 0;
  int m_failed_reads = 0;
  std::unique_ptr<PlatformControl> m_control;
};

}  // namespace fescueramp::platform
