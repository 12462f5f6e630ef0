#pragma once

#include <memory>
#include <string>

#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// Text of a set with one service "work" of `endpoints` endpoints of `slots` slots, with the classes "short"
/// (rank 1) and "long" (rank 5) and the accounts "alice" and "bob".
std::string SmallObjectSetJson(int endpoints, int slots, bool by_belief = false);

/// The same set, compiled as revision 1.
std::shared_ptr<const RouteTable> SmallRouteTable(int endpoints, int slots, bool by_belief = false);

}  // namespace fescueramp
