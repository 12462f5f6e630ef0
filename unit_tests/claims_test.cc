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

/// One claim log with the answers it gave.
class Holder {
 public:
  Holder(const std::string& node, FakeStore& store, ClaimSettings settings = {})
      : m_log("7", node, settings, m_operations), m_store(store) {}

  void Claim(std::uint64_t key, const std::string& request, Instant now) {
    m_log.Claim(key, request, now);
    Collect();
  }

  /// Starts operations; they wait in this holder until Exchange.
  void Advance(Instant now) {
    m_log.Advance(now);
    Collect();
  }

  /// Lets the store take what waits and answer it.
  void Exchange(Instant now) {
    for (const auto& effect : std::exchange(m_waiting, {})) {
      if (const auto answer = m_store.Apply(effect)) m_log.OnStoreAnswer(*answer, now);
      Collect();
    }
  }

  /// Runs until nothing waits.
  void Settle(Instant& now) {
    for (int i = 0; i < 50; ++i) {
      now += milliseconds(50);
      Advance(now);
      Exchange(now);
    }
  }

  ClaimLog& Log() { return m_log; }
  bool Answered(const std::string& request) const { return m_verdicts.contains(request); }
  ClaimVerdict VerdictOf(const std::string& request) const { return m_verdicts.at(request).m_verdict; }
  const std::map<std::string, ClaimAnswer>& Verdicts() const { return m_verdicts; }

 private:
  void Collect() {
    for (const auto& answer : m_log.TakeAnswers()) m_verdicts[answer.m_request_id] = answer;
    for (const auto& effect : m_log.TakeEffects()) m_waiting.push_back(effect);
  }

  std::int64_t m_operations = 0;
  ClaimLog m_log;
  FakeStore& m_store;
  std::vector<StoreEffect> m_waiting;
  std::map<std::string, ClaimAnswer> m_verdicts;
};

struct Fixture {
  FakeStore m_store;
  Instant m_now{std::chrono::seconds(1'700'000'000)};
};

BOOST_FIXTURE_TEST_SUITE(claims, Fixture)

BOOST_AUTO_TEST_CASE(KeyIsGrantedOnce) {
  Holder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kGranted);
  holder.Claim(1, "b", m_now);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(ManyClaimsShareAWrite) {
  Holder holder("n0", m_store);
  for (std::uint64_t key = 1; key <= 100; ++key) holder.Claim(key, "r" + std::to_string(key), m_now);
  holder.Settle(m_now);
  BOOST_TEST(holder.Verdicts().size() == 100U);
  BOOST_TEST(m_store.Writes() == 1);
}

BOOST_AUTO_TEST_CASE(AnotherNodeLearnsTheRecordedOutcome) {
  Holder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.Settle(m_now);
  first.Log().Complete(1, "a", 201, m_now);
  first.Settle(m_now);
  Holder second("n1", m_store);
  second.Claim(1, "b", m_now);
  second.Settle(m_now);
  BOOST_CHECK(second.VerdictOf("b") == ClaimVerdict::kDone);
  BOOST_TEST(second.Verdicts().at("b").m_recorded_status == 201);
}

BOOST_AUTO_TEST_CASE(ReleasedKeyCanBeClaimedElsewhere) {
  Holder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.Settle(m_now);
  first.Log().Release(1, "a", m_now);
  first.Settle(m_now);
  Holder second("n1", m_store);
  second.Claim(1, "b", m_now);
  second.Settle(m_now);
  BOOST_CHECK(second.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(ReleaseAndNewClaimInOneWriteKeepTheClaim) {
  Holder first("n0", m_store);
  first.Claim(1, "a", m_now);
  first.Settle(m_now);
  first.Log().Release(1, "a", m_now);
  first.Claim(1, "b", m_now);
  first.Settle(m_now);
  BOOST_CHECK(first.VerdictOf("b") == ClaimVerdict::kGranted);
  Holder second("n1", m_store);
  second.Claim(1, "c", m_now);
  second.Settle(m_now);
  BOOST_CHECK(second.VerdictOf("c") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(PausedHolderGrantsNothingAfterATakeOver) {
  ClaimSettings patient;
  patient.m_patience = std::chrono::hours(1);
  Holder paused("n0", m_store, patient);
  paused.Claim(1, "a", m_now);
  paused.Settle(m_now);
  // The first holder begins a write and is paused before the store sees it.
  paused.Claim(2, "b", m_now);
  m_now += milliseconds(100);
  paused.Advance(m_now);
  Holder other("n1", m_store);
  other.Claim(2, "c", m_now);
  other.Settle(m_now);
  BOOST_CHECK(other.VerdictOf("c") == ClaimVerdict::kGranted);
  paused.Exchange(m_now);
  paused.Settle(m_now);
  BOOST_CHECK(paused.VerdictOf("b") == ClaimVerdict::kInProgress);
}

BOOST_AUTO_TEST_CASE(RelayedRequestThatItsOwnerClaimedIsNotGrantedAgain) {
  ClaimSettings patient;
  patient.m_patience = std::chrono::hours(1);
  Holder relay("n0", m_store, patient);
  relay.Claim(9, "z", m_now);
  relay.Settle(m_now);
  Holder owner("n1", m_store);
  owner.Claim(8, "y", m_now);
  owner.Settle(m_now);
  // The owner claims the request and goes away; the relay claims it under the same id, based on an old log.
  relay.Claim(1, "a", m_now);
  m_now += milliseconds(100);
  relay.Advance(m_now);
  owner.Claim(1, "a", m_now);
  owner.Settle(m_now);
  BOOST_CHECK(owner.VerdictOf("a") == ClaimVerdict::kGranted);
  relay.Exchange(m_now);
  relay.Settle(m_now);
  BOOST_CHECK(relay.VerdictOf("a") != ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(LostAnswerIsResolvedByReading) {
  Holder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.Settle(m_now);
  holder.Claim(2, "b", m_now);
  m_now += milliseconds(100);
  m_store.LoseNextAnswer();
  holder.Advance(m_now);
  holder.Exchange(m_now);
  BOOST_TEST(!holder.Answered("b"));
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(StoreAwayGrantsNothingAndForgetsNothing) {
  Holder holder("n0", m_store);
  m_store.SetDown(true);
  holder.Claim(1, "a", m_now);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
  m_store.SetDown(false);
  holder.Claim(1, "b", m_now);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(ClaimGivenUpThatTookEffectIsReleased) {
  Holder holder("n0", m_store);
  holder.Claim(9, "z", m_now);
  holder.Settle(m_now);
  holder.Claim(1, "a", m_now);
  m_now += milliseconds(100);
  m_store.LoseNextAnswer();
  holder.Advance(m_now);
  holder.Exchange(m_now);
  m_store.SetDown(true);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
  m_store.SetDown(false);
  holder.Settle(m_now);
  Holder other("n1", m_store);
  other.Claim(1, "b", m_now);
  other.Settle(m_now);
  BOOST_CHECK(other.VerdictOf("b") == ClaimVerdict::kGranted);
}

BOOST_AUTO_TEST_CASE(SealedSegmentsAreReadByTheNextHolder) {
  ClaimSettings settings;
  settings.m_segment_entries = 4;
  Holder first("n0", m_store, settings);
  for (std::uint64_t key = 1; key <= 30; ++key) {
    first.Claim(key, "r" + std::to_string(key), m_now);
    first.Settle(m_now);
  }
  Holder second("n1", m_store, settings);
  for (std::uint64_t key = 1; key <= 30; ++key) second.Claim(key, "s" + std::to_string(key), m_now);
  second.Settle(m_now);
  for (const auto& [request, answer] : second.Verdicts()) {
    BOOST_TEST(EnumName(answer.m_verdict) == EnumName(ClaimVerdict::kInProgress), request);
  }
  BOOST_TEST(second.Verdicts().size() == 30U);
}

BOOST_AUTO_TEST_CASE(ExpiredSegmentsLeaveTheStore) {
  ClaimSettings settings;
  settings.m_segment_entries = 4;
  settings.m_window = std::chrono::seconds(60);
  Holder holder("n0", m_store, settings);
  for (std::uint64_t key = 1; key <= 400; ++key) {
    holder.Claim(key, "r" + std::to_string(key), m_now);
    holder.Settle(m_now);
  }
  // 60 s at one key per 2.5 s: some 24 keys, in segments of 4.
  BOOST_TEST(m_store.Keys() <= 12U);
  BOOST_TEST(holder.Log().KnownKeys() <= 40U);
}

BOOST_AUTO_TEST_CASE(DamagedLogGrantsNothing) {
  m_store.Set("claims/7", "{\"entries\": [");
  Holder holder("n0", m_store);
  holder.Claim(1, "a", m_now);
  holder.Settle(m_now);
  BOOST_CHECK(holder.VerdictOf("a") == ClaimVerdict::kUnavailable);
}

/// Several holders at once, with lost answers, outages and pauses drawn from a seed.
BOOST_DATA_TEST_CASE_F(Fixture, NoKeyIsGrantedTwiceUnlessReleased, boost::unit_test::data::xrange(1, 61),
                       seed) {
  boost::random::mt19937 random(static_cast<std::uint32_t>(seed));
  const auto any = [&](int from, int to) {
    return boost::random::uniform_int_distribution<int>(from, to)(random);
  };
  ClaimSettings settings;
  settings.m_segment_entries = 8;
  std::vector<std::unique_ptr<Holder>> holders;
  for (int i = 0; i < 3; ++i)
    holders.push_back(std::make_unique<Holder>("n" + std::to_string(i), m_store, settings));
  std::map<std::string, std::uint64_t> key_of;
  std::map<std::uint64_t, std::set<std::string>> running;  // Granted and not released.
  std::set<std::string> seen;
  int requests = 0;
  for (int step = 0; step < 2000; ++step) {
    m_now += milliseconds(any(1, 60));
    Holder& holder = *holders[static_cast<std::size_t>(any(0, 2))];
    const int kind = any(0, 99);
    if (kind < 25) {
      const std::string request = "r" + std::to_string(requests++);
      key_of[request] = static_cast<std::uint64_t>(any(1, 30));
      holder.Claim(key_of[request], request, m_now);
    } else if (kind < 60) {
      holder.Advance(m_now);
    } else if (kind < 92) {
      holder.Exchange(m_now);
    } else if (kind < 96) {
      m_store.LoseNextAnswer();
    } else {
      m_store.SetDown(any(0, 2) == 0);
    }
    for (const auto& each : holders) {
      for (const auto& [request, answer] : each->Verdicts()) {
        if (!seen.insert(request).second || answer.m_verdict != ClaimVerdict::kGranted) continue;
        const std::uint64_t key = key_of[request];
        running[key].insert(request);
        BOOST_TEST(running[key].size() == 1U, "seed " << seed << ": key " << key << " is granted twice");
        if (any(0, 1) == 0) {
          each->Log().Release(key, request, m_now);
          running[key].erase(request);
        } else if (any(0, 1) == 0) {
          each->Log().Complete(key, request, 200, m_now);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
