#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "fescueramp/claims/claim_log.h"
#include "unit_tests/fake_store.h"

namespace fescueramp {
namespace {

using std::chrono::milliseconds;

/// Claim log of one node, with the responses that it gave.
class LogHolder {
 public:
  LogHolder(const std::string& node, FakeStore& store, ClaimSettings settings = {})
      : m_log("7", node, settings, m_operations), m_store(store) {}

  void Claim(std::uint64_t key, const std::string& request, Instant now) {
    m_log.Claim(key, request, now);
    Collect();
  }

  /// Starts due store operations and keeps them here until Exchange sends them.
  void Advance(Instant now) {
    m_log.Advance(now);
    Collect();
  }

  /// Sends the kept operations to the store and passes its responses to the log.
  void Exchange(Instant now) {
    for (const auto& effect : std::exchange(m_unsent_effects, {})) {
      if (const auto response = m_store.Apply(effect)) m_log.HandleStoreResponse(*response, now);
      Collect();
    }
  }

  /// Runs 50 steps of 50 ms, which is enough for all operations to end while the store is available.
  void RunSteps(Instant& now) {
    for (int i = 0; i < 50; ++i) {
      now += milliseconds(50);
      Advance(now);
      Exchange(now);
    }
  }

  ClaimLog& Log() { return m_log; }
  bool HasResponse(const std::string& request) const { return m_responses.contains(request); }
  ClaimVerdict VerdictOf(const std::string& request) const { return m_responses.at(request).m_verdict; }
  const std::map<std::string, ClaimResponse>& Responses() const { return m_responses; }

 private:
  void Collect() {
    for (const auto& response : m_log.TakeResponses()) m_responses[response.m_request_id] = response;
    for (const auto& effect : m_log.TakeEffects()) m_unsent_effects.push_back(effect);
  }

  std::int64_t m_operations = 0;
  ClaimLog m_log;
  FakeStore& m_store;
  std::vector<StoreEffect> m_unsent_effects;
  std::map<std::string, ClaimResponse> m_responses;
};

struct Fixture {
  FakeStore m_store;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
};

BOOST_FIXTURE_TEST_SUITE(claims, Fixture)

BOOST_AUTO_TEST_CASE(KeyIsGrantedOnce) {
  LogHolder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kGranted);
  holder.Claim(1, "b", m_now);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(ManyClaimsShareAWrite) {
  LogHolder holder("n0", m_store);
  for (std::uint64_t key = 1; key <= 100; ++key) holder.Claim(key, "r" + std::to_string(key), m_now);
  holder.RunSteps(m_now);
  BOOST_TEST(holder.Responses().size() == 100U);
  BOOST_TEST(m_store.Writes() == 1);
}

BOOST_AUTO_TEST_CASE(RecordedOutcomeIsReadByAnotherNode) {
  LogHolder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.RunSteps(m_now);
  first.Log().Complete(1, "a", 201, m_now);
  first.RunSteps(m_now);
  LogHolder second("n1", m_store);
  second.Claim(1, "b", m_now);
  second.RunSteps(m_now);
  BOOST_CHECK(second.VerdictOf("b") == ClaimVerdict::kDone);
  BOOST_TEST(second.Responses().at("b").m_recorded_status == 201);
}

BOOST_AUTO_TEST_CASE(ReleasedKeyCanBeClaimedElsewhere) {
  LogHolder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.RunSteps(m_now);
  first.Log().Release(1, "a", m_now);
  first.RunSteps(m_now);
  LogHolder second("n1", m_store);
  second.Claim(1, "b", m_now);
  second.RunSteps(m_now);
  BOOST_CHECK(second.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(ReleaseAndNewClaimInOneWriteKeepTheClaim) {
  LogHolder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.RunSteps(m_now);
  first.Log().Release(1, "a", m_now);
  first.Claim(1, "b", m_now);
  first.RunSteps(m_now);
  BOOST_CHECK(first.VerdictOf("b") == ClaimVerdict::kGranted);
  LogHolder second("n1", m_store);
  second.Claim(1, "c", m_now);
  second.RunSteps(m_now);
  BOOST_CHECK(second.VerdictOf("c") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(PausedHolderGrantsNothingAfterAnotherNodeTookOver) {
  ClaimSettings long_wait_settings;
  long_wait_settings.m_max_wait = std::chrono::hours(1);
  LogHolder paused("n0", m_store, long_wait_settings);
  paused.Claim(1, "a", m_now);
  paused.RunSteps(m_now);
  // The first holder begins a write and is paused before the store sees it.
  paused.Claim(2, "b", m_now);
  m_now += milliseconds(100);
  paused.Advance(m_now);
  LogHolder other("n1", m_store);
  other.Claim(2, "c", m_now);
  other.RunSteps(m_now);
  BOOST_CHECK(other.VerdictOf("c") == ClaimVerdict::kGranted);
  paused.Exchange(m_now);
  paused.RunSteps(m_now);
  BOOST_CHECK(paused.VerdictOf("b") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(RelayedRequestClaimedByItsOwnerIsNotGrantedAgain) {
  ClaimSettings long_wait_settings;
  long_wait_settings.m_max_wait = std::chrono::hours(1);
  LogHolder relay("n0", m_store, long_wait_settings);
  relay.Claim(9, "z", m_now);
  relay.RunSteps(m_now);
  LogHolder owner("n1", m_store);
  owner.Claim(8, "y", m_now);
  owner.RunSteps(m_now);
  // The owner claims the request and then fails. The relay claims it under the same id, from an outdated log.
  relay.Claim(1, "a", m_now);
  m_now += milliseconds(100);
  relay.Advance(m_now);
  owner.Claim(1, "a", m_now);
  owner.RunSteps(m_now);
  BOOST_CHECK(owner.VerdictOf("a") == ClaimVerdict::kGranted);
  relay.Exchange(m_now);
  relay.RunSteps(m_now);
  BOOST_CHECK(relay.VerdictOf("a") != ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(LostWriteResponseIsResolvedByReadingTheLog) {
  LogHolder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.RunSteps(m_now);
  holder.Claim(2, "b", m_now);
  m_now += milliseconds(100);
  m_store.LoseNextResponse();
  holder.Advance(m_now);
  holder.Exchange(m_now);
  BOOST_TEST(!holder.HasResponse("b"));
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(UnavailableStoreGrantsNothingAndLosesNothing) {
  LogHolder holder("n0", m_store);
  m_store.SetDown(true);
  holder.Claim(1, "a", m_now);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
  m_store.SetDown(false);
  holder.Claim(1, "b", m_now);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(TimedOutClaimThatTookEffectIsReleased) {
  LogHolder holder("n0", m_store);
  holder.Claim(9, "z", m_now);
  holder.RunSteps(m_now);
  holder.Claim(1, "a", m_now);
  m_now += milliseconds(100);
  m_store.LoseNextResponse();
  holder.Advance(m_now);
  holder.Exchange(m_now);
  m_store.SetDown(true);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
  m_store.SetDown(false);
  holder.RunSteps(m_now);
  LogHolder other("n1", m_store);
  other.Claim(1, "b", m_now);
  other.RunSteps(m_now);
  BOOST_CHECK(other.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(SealedSegmentsAreReadByTheNextHolder) {
  ClaimSettings settings;
  settings.m_max_segment_entries = 4;
  LogHolder first("n0", m_store, settings);
  for (std::uint64_t key = 1; key <= 30; ++key) {
    first.Claim(key, "r" + std::to_string(key), m_now);
    first.RunSteps(m_now);
  }
  LogHolder second("n1", m_store, settings);
  for (std::uint64_t key = 1; key <= 30; ++key) second.Claim(key, "s" + std::to_string(key), m_now);
  second.RunSteps(m_now);
  for (const auto& [request, response] : second.Responses()) {
    BOOST_TEST(EnumName(response.m_verdict) == EnumName(ClaimVerdict::kInProgress), request);
  }
  BOOST_TEST(second.Responses().size() == 30U);
}

BOOST_AUTO_TEST_CASE(ExpiredSegmentsLeaveTheStore) {
  ClaimSettings settings;
  settings.m_max_segment_entries = 4;
  settings.m_window = std::chrono::seconds(60);
  LogHolder holder("n0", m_store, settings);
  for (std::uint64_t key = 1; key <= 400; ++key) {
    holder.Claim(key, "r" + std::to_string(key), m_now);
    holder.RunSteps(m_now);
  }
  // The window of 60 s at one key per 2.5 s holds some 24 keys, in segments of 4.
  BOOST_TEST(m_store.Keys() <= 12U);
  BOOST_TEST(holder.Log().KeyCount() <= 40U);
}

BOOST_AUTO_TEST_CASE(MalformedLogGrantsNothing) {
  m_store.Set("claims/7", "{\"entries\": [");
  LogHolder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.RunSteps(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
}

/// Runs three holders concurrently, with lost responses, outages and pauses drawn from a seeded generator.
BOOST_DATA_TEST_CASE_F(Fixture, NoKeyIsGrantedTwiceUnlessReleased, boost::unit_test::data::xrange(1, 61),
                       seed) {
  boost::random::mt19937 random(static_cast<std::uint32_t>(seed));
  const auto random_int = [&](int from, int to) {
    return boost::random::uniform_int_distribution<int>(from, to)(random);
  };
  ClaimSettings settings;
  settings.m_max_segment_entries = 8;
  std::vector<std::unique_ptr<LogHolder>> holders;
  for (int i = 0; i < 3; ++i)
    holders.push_back(std::make_unique<LogHolder>("n" + std::to_string(i), m_store, settings));
  std::map<std::string, std::uint64_t> key_of;
  std::map<std::uint64_t, std::set<std::string>> granted;  // Granted and not released.
  std::set<std::string> handled;
  int requests = 0;
  for (int step = 0; step < 2000; ++step) {
    m_now += milliseconds(random_int(1, 60));
    LogHolder& holder = *holders[static_cast<std::size_t>(random_int(0, 2))];
    const int kind = random_int(0, 99);
    if (kind < 25) {
      const std::string request = "r" + std::to_string(requests++);
      key_of[request] = static_cast<std::uint64_t>(random_int(1, 30));
      holder.Claim(key_of[request], request, m_now);
    } else if (kind < 60) {
      holder.Advance(m_now);
    } else if (kind < 92) {
      holder.Exchange(m_now);
    } else if (kind < 96) {
      m_store.LoseNextResponse();
    } else {
      m_store.SetDown(random_int(0, 2) == 0);
    }
    for (const auto& each : holders) {
      for (const auto& [request, response] : each->Responses()) {
        if (!handled.insert(request).second || response.m_verdict != ClaimVerdict::kGranted) continue;
        const std::uint64_t key = key_of[request];
        granted[key].insert(request);
        BOOST_TEST(granted[key].size() == 1U, "seed " << seed << ": key " << key << " is granted twice");
        if (random_int(0, 1) == 0) {
          each->Log().Release(key, request, m_now);
          granted[key].erase(request);
        } else if (random_int(0, 1) == 0) {
          each->Log().Complete(key, request, 200, m_now);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
