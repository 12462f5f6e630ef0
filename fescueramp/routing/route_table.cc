#include "fescueramp/routing/route_table.h"

#include <utility>

#include "fescueramp/core/text.h"

namespace fescueramp {

RouteTable::RouteTable(std::int64_t revision, ObjectSet set) : m_revision(revision), m_set(std::move(set)) {
  for (const auto& [name, route] : m_set.m_routes)
    m_routes[RouteKey(route.m_host, route.m_method, route.m_path_prefix)] = name;
  for (const auto& [name, account] : m_set.m_accounts) {
    // Without any key, it is the account of callers that present none.
    if (!account.m_key_sha256.empty() || account.m_key_sha256s.empty())
      m_accounts[account.m_key_sha256] = &name;
    for (const auto& key : account.m_key_sha256s) m_accounts[key] = &name;
  }
}

std::string RouteTable::RouteKey(std::string_view host, std::string_view method, std::string_view prefix) {
  std::string key(host);
  key.append(" ").append(method).append(" ").append(prefix);
  return key;
}

RouteTable::Match RouteTable::FindRoute(std::string_view host, std::string_view method,
                                        std::string_view path) const {
  // Host names are compared without port and without case.
  const std::string name = ToLower(host.substr(0, host.find(':')));
  const std::string_view path_only = path.substr(0, path.find('?'));
  for (const auto& wanted_host : {name, std::string()}) {
    for (std::size_t length = path_only.size(); length > 0; --length) {
      const std::string_view prefix = path_only.substr(0, length);
      for (const auto& wanted_method : {method, std::string_view()}) {
        const auto found = m_routes.find(RouteKey(wanted_host, wanted_method, prefix));
        if (found != m_routes.end()) return {found->second, &m_set.m_routes.at(found->second)};
      }
    }
    if (name.empty()) break;
  }
  return {};
}

const std::string& RouteTable::ChooseService(const Route& route, std::uint64_t draw) const {
  if (route.m_split.empty()) return route.m_service;
  const Split& split = m_set.m_splits.at(route.m_split);
  std::uint64_t sum = 0;
  for (const std::int64_t weight : split.m_weights) sum += static_cast<std::uint64_t>(weight);
  std::uint64_t remainder = draw % sum;
  std::size_t index = 0;
  while (remainder >= static_cast<std::uint64_t>(split.m_weights[index])) {
    remainder -= static_cast<std::uint64_t>(split.m_weights[index]);
    ++index;
  }
  return split.m_services[index];
}

std::vector<std::string> RouteTable::ServicesOf(const Route& route) const {
  if (route.m_split.empty()) return {route.m_service};
  return m_set.m_splits.at(route.m_split).m_services;
}

const std::string* RouteTable::FindAccount(const std::string& key_sha256) const {
  const auto found = m_accounts.find(key_sha256);
  return found == m_accounts.end() ? nullptr : found->second;
}

}  // namespace fescueramp
