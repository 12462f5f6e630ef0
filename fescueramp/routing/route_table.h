#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fescueramp/config/objects.h"

namespace fescueramp {

/// The object set of one revision, with indexes to match requests by. Immutable.
class RouteTable {
 public:
  /// A route and its name; a null route when none matches.
  struct Match {
    std::string m_name;
    const Route* m_route = nullptr;
  };

  RouteTable(std::int64_t revision, ObjectSet set);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  std::int64_t Revision() const { return m_revision; }
  /// The object set that the table was built from.
  const ObjectSet& Set() const { return m_set; }

  /// Route with the longest matching prefix. Routes with the host are preferred to those without one and, at
  /// equal prefixes, routes with the method to those without one. The cost grows with the length of the path,
  /// not with the number of routes.
  Match FindRoute(std::string_view host, std::string_view method, std::string_view path) const;

  /// Service for one request of a route: the only one, or one of its split, chosen by weight.
  /// @param draw Uniformly distributed number that determines the choice.
  const std::string& ChooseService(const Route& route, std::uint64_t draw) const;

  /// All services that ChooseService can return for a route.
  std::vector<std::string> ServicesOf(const Route& route) const;

  /// Name of the account with this key hash, or null when there is none.
  const std::string* FindAccount(const std::string& key_sha256) const;

 private:
  static std::string RouteKey(std::string_view host, std::string_view method, std::string_view prefix);

  std::int64_t m_revision;
  ObjectSet m_set;
  std::unordered_map<std::string, std::string> m_routes;  ///< Route name by host, method and prefix.

  /// Account name by key hash. Both refer to strings in m_set, which does not change.
  std::unordered_map<std::string_view, const std::string*> m_accounts;
};

}  // namespace fescueramp
