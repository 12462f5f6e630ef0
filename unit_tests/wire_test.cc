#include "fescueramp/daemon/wire.h"

#include <boost/test/unit_test.hpp>

namespace fescueramp {
namespace {

BOOST_AUTO_TEST_SUITE(wire_fields)

BOOST_AUTO_TEST_CASE(ResponseHeadWithAnUnknownResultCodeIsRejected) {
  // A dispatcher of another version may send a code that has no row in the result table; looking it up would
  // end the entry host.
  for (const ResultInfo& row : ResultTable()) {
    ResponseHead head;
    head.m_code = static_cast<std::int64_t>(row.m_code);
    const auto parsed = wire::ParseResponseHead({wire::MakeJsonField(wire::kResponseField, head)});
    BOOST_TEST(parsed.m_code == head.m_code);
  }
  for (const std::int64_t code : {-1L, 1L, 2999L, 1'000'000'000'000L}) {
    ResponseHead head;
    head.m_code = code;
    BOOST_CHECK_THROW(wire::ParseResponseHead({wire::MakeJsonField(wire::kResponseField, head)}), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace fescueramp
