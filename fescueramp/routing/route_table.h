#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "fescueramp/config/objects.h"

namespace fescueramp {

/// Object set in force with the indexes that requests are matched by. Immutable.
class RouteTable {
 public:
  /// A route together with its name.
  struct Match {
    std::string m_name;
    const Route* m_route = nullptr;
  };

  RouteTable(std::int64_t revision, ObjectSet set);
  RouteTable(const RouteTable&) = delete;
  RouteTable& operator=(const RouteTable&) = delete;

  std::int64_t Revision() const { return m_revision; }
  const ObjectSet& Set() const { return m_set; }

  /// Route with the longest matching prefix; routes with the host go before those without one, and a route
  /// with the method before one without. Cost grows with the length of the path, not with the number of
  /// routes.
  Match FindRoute(std::string_view host, std::string_view method, std::string_view path) const;

  /// Service that does the work of a route.
  /// @param draw Evenly distributed number that chooses among the parts of a split.
  const std::string& ChooseService(const Route& route, std::uint64_t draw) const;

  /// Services that may do the work of a route.
  std::vector<std::string> ServicesOf(const Route& route) const;

  /// Name of the account with this key hash, or null when there is none.
  const std::string* FindAccount(const std::string& key_sha256) const;

 private:
  static std::string Key(std::string_view host, std::string_view method, std::string_view prefix);

  std::int64_t m_revision;
  ObjectSet m_set;
  std::unordered_map<std::string, std::string> m_routes;  ///< Route name by host, method and prefix.

  /// Account name by key hash. Both are texts of the set, which does not change.
  std::unordered_map<std::string_view, const std::string*> m_accounts;
};

}  // namespace fescueramp
