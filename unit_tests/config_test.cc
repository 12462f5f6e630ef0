#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>

#include "fescueramp/config/object_set.h"
#include "fescueramp/config/partition.h"
#include "fescueramp/core/json_codec.h"
#include "unit_tests/fixtures.h"

namespace fescueramp {
namespace {

/// A set with one mistake, and the object and field that must be named.
struct BadSet {
  const char* m_name;
  const char* m_path;   ///< JSON pointer of the value to replace.
  const char* m_value;  ///< JSON to put there.
  const char* m_object;
  const char* m_field;
};

std::ostream& operator<<(std::ostream& out, const BadSet& bad) { return out << bad.m_name; }

const BadSet kBadSets[] = {
    {"missing pool", "/services/work/pool", "\"nowhere\"", "services/work", "pool"},
    {"missing service", "/routes/read/service", "\"nowhere\"", "routes/read", "service"},
    {"missing priority", "/routes/read/priority", "\"nowhere\"", "routes/read", "priority"},
    {"missing endpoint", "/pools/work/endpoints", "[\"e0\", \"e9\"]", "pools/work", "endpoints"},
    {"endpoint listed twice", "/pools/work/endpoints", "[\"e0\", \"e0\"]", "pools/work", "endpoints"},
    {"empty pool", "/pools/work/endpoints", "[]", "pools/work", "endpoints"},
    {"wrong type", "/pools/work/slots", "\"two\"", "pools/work", "slots"},
    {"out of range", "/pools/work/slots", "0", "pools/work", "slots"},
    {"not a number", "/services/work/floor", "1.5", "services/work", "floor"},
    {"unknown field", "/services/work/colour", "1", "services/work", "colour"},
    {"host name as address", "/endpoints/e0/address", "\"localhost\"", "endpoints/e0", "address"},
    {"two endpoints on one socket", "/endpoints/e0/port", "9001", "endpoints/e1", "port"},
    {"bad path", "/routes/read/path_prefix", "\"read\"", "routes/read", "path_prefix"},
    {"same match twice", "/routes/read/path_prefix", "\"/long\"", "routes/read", "path_prefix"},
    {"bad key hash", "/accounts/alice/key_sha256", "\"abc\"", "accounts/alice", "key_sha256"},
    {"floor above what is in service", "/endpoints/e0/admin_state", "\"draining\"", "services/work", "floor"},
    {"unknown kind", "/servers", "{}", "servers", ""},
};

BOOST_AUTO_TEST_SUITE(config)

BOOST_AUTO_TEST_CASE(GoodSetHasNoMistakes) {
  for (const auto& mistake : ParseObjectSet(SmallObjectSetJson(8, 2)).m_mistakes) {
    BOOST_ERROR(mistake.m_object << "." << mistake.m_field << ": " << mistake.m_problem);
  }
}

BOOST_DATA_TEST_CASE(MistakeIsNamed, boost::unit_test::data::make(kBadSets), bad) {
  json::value set = ParseJson(SmallObjectSetJson(2, 2));
  if (std::string(bad.m_object) == "services/work" && std::string(bad.m_field) == "floor") {
    set.at_pointer("/services/work/floor") = 0.9;
  }
  json::value* target = &set;
  std::string step;
  std::istringstream path(std::string(bad.m_path).substr(1));
  while (std::getline(path, step, '/')) target = &target->as_object()[step];
  *target = ParseJson(bad.m_value);
  const auto mistakes = ParseObjectSet(json::serialize(set)).m_mistakes;
  BOOST_TEST(std::any_of(mistakes.begin(), mistakes.end(), [&](const Mistake& mistake) {
    return mistake.m_object == bad.m_object && mistake.m_field == bad.m_field && !mistake.m_accepted.empty();
  }));
}

BOOST_AUTO_TEST_CASE(AllMistakesAreListedAtOnce) {
  const auto parsed = ParseObjectSet(R"({
    // Comments are allowed.
    "pools": {"p": {"endpoints": ["a", "b"], "slots": -1}},
    "services": {"s": {"pool": "q"}},
  })");
  BOOST_TEST(parsed.m_mistakes.size() == 4U);
}

BOOST_AUTO_TEST_CASE(TextThatIsNotJsonHasACode) {
  BOOST_CHECK_EXCEPTION(ParseObjectSet("{\"pools\": "), Error,
                        [](const Error& error) { return error.Code() == ResultCode::kInvalidObjectSet; });
}

BOOST_AUTO_TEST_CASE(PartsJoinToTheSameSet) {
  ObjectSet set = ParseObjectSet(SmallObjectSetJson(8, 2)).m_set;
  for (int i = 0; i < 1000; ++i)
    set.m_accounts["account-" + std::to_string(i)].m_key_sha256 = std::string(64, 'a');
  const auto parts = PartitionObjectSet(set);
  BOOST_TEST(parts.size() > 16U);
  std::vector<std::string> texts;
  for (const auto& part : parts) texts.push_back(part.m_text);
  BOOST_TEST(SerializeObjectSet(ParseObjectSetParts(texts).m_set) == SerializeObjectSet(set));
}

BOOST_AUTO_TEST_CASE(OneChangeChangesOnePart) {
  ObjectSet set = ParseObjectSet(SmallObjectSetJson(8, 2)).m_set;
  for (int i = 0; i < 1000; ++i) set.m_accounts["account-" + std::to_string(i)].m_weight = 1;
  const auto before = PartitionObjectSet(set);
  set.m_accounts["account-500"].m_weight = 3;
  const auto after = PartitionObjectSet(set);
  BOOST_REQUIRE(before.size() == after.size());
  int changed = 0;
  for (std::size_t i = 0; i < before.size(); ++i) changed += before[i].m_hash != after[i].m_hash ? 1 : 0;
  BOOST_TEST(changed == 1);
}

BOOST_AUTO_TEST_CASE(DiffNamesWhatChanged) {
  const ObjectSet before = ParseObjectSet(SmallObjectSetJson(3, 2)).m_set;
  ObjectSet after = before;
  after.m_endpoints.at("e1").m_admin_state = AdminState::kDraining;
  after.m_limits["new"] = {};
  const auto differences = DiffObjectSets(before, after);
  BOOST_TEST(differences == (std::vector<std::string>{"added limits/new", "changed endpoints/e1"}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
