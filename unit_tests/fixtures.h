#pragma once

#include <memory>
#include <string>

#include "fescueramp/routing/route_table.h"

namespace fescueramp {

/// JSON text of an object set with one service "work", which has `endpoints` endpoints of `slots` slots each,
/// the classes "filing" (rank 0), "short" (rank 1) and "long" (rank 5), and the accounts "alice", "bob" and
/// "limited". Overdue requests are hedged if there is a quantile.
std::string SmallObjectSetJson(int endpoints, int slots, bool by_belief = false, double hedge_quantile = 0);

/// Route table of SmallObjectSetJson with the same arguments.
std::shared_ptr<const RouteTable> SmallRouteTable(int endpoints, int slots, bool by_belief = false,
                                                  double hedge_quantile = 0, std::int64_t revision = 1);

}  // namespace fescueramp
