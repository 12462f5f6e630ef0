#define BOOST_TEST_MODULE fescueramp
#include <boost/test/unit_test.hpp>
