#include "fescueramp/routing/route_table.h"

#include <utility>

namespace fescueramp {

RouteTable::RouteTable(std::int64_t revision, ObjectSet set) : m_revision(revision), m_set(std::move(set)) {
  for (const auto& [name, route] : m_set.m_routes)
    m_routes[route.m_method + " " + route.m_path_prefix] = name;
  for (const auto& [name, account] : m_set.m_accounts) m_accounts[account.m_key_sha256] = &name;
}

RouteTable::Match RouteTable::FindRoute(std::string_view method, std::string_view path) const {
  const std::string_view clean = path.substr(0, path.find('?'));
  for (std::size_t length = clean.size(); length > 0; --length) {
    const std::string prefix(clean.substr(0, length));
    for (const auto& key : {std::string(method) + " " + prefix, " " + prefix}) {
      if (const auto found = m_routes.find(key); found != m_routes.end()) {
        return {found->second, &m_set.m_routes.at(found->second)};
      }
    }
  }
  return {};
}

const std::string* RouteTable::FindAccount(const std::string& key_sha256) const {
  const auto found = m_accounts.find(key_sha256);
  return found == m_accounts.end() ? nullptr : found->second;
}

}  // namespace fescueramp
