#pragma once

#include <limits>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "fescueramp/config/objects.h"

namespace fescueramp {

/// Member of an object, by type of value.
template <typename T>
using MemberPointer = std::variant<std::string T::*, std::int64_t T::*, double T::*, bool T::*,
                                   std::vector<std::string> T::*, std::vector<std::int64_t> T::*,
                                   AdminState T::*, StoreUnavailablePolicy T::*, AccountCheck T::*>;

/// One field of an object kind.
template <typename T>
struct FieldSpec {
  std::string_view m_name;
  MemberPointer<T> m_member;
  std::string_view m_unit;  ///< Unit or kind of the value, for documentation.
  double m_min = 0;         ///< Smallest number accepted.
  double m_max = 0;         ///< Largest number accepted.
  bool m_required = false;
  std::string_view m_refers_to;  ///< Kind of the object that the value names; empty if it names none.
  std::string_view m_doc;
};

/// Fields of object kind `T`; specialised for every kind.
template <typename T>
const std::vector<FieldSpec<T>>& Schema();

template <>
const std::vector<FieldSpec<Endpoint>>& Schema<Endpoint>();
template <>
const std::vector<FieldSpec<Pool>>& Schema<Pool>();
template <>
const std::vector<FieldSpec<Service>>& Schema<Service>();
template <>
const std::vector<FieldSpec<Priority>>& Schema<Priority>();
template <>
const std::vector<FieldSpec<Limit>>& Schema<Limit>();
template <>
const std::vector<FieldSpec<Account>>& Schema<Account>();
template <>
const std::vector<FieldSpec<Split>>& Schema<Split>();
template <>
const std::vector<FieldSpec<Listener>>& Schema<Listener>();
template <>
const std::vector<FieldSpec<Route>>& Schema<Route>();

/// Calls `visit(kind name, map of objects)` for every kind of a set.
template <typename Set, typename Visitor>
void ForEachKind(Set& set, Visitor visit) {
  visit(std::string_view("endpoints"), set.m_endpoints);
  visit(std::string_view("pools"), set.m_pools);
  visit(std::string_view("services"), set.m_services);
  visit(std::string_view("priorities"), set.m_priorities);
  visit(std::string_view("limits"), set.m_limits);
  visit(std::string_view("accounts"), set.m_accounts);
  visit(std::string_view("splits"), set.m_splits);
  visit(std::string_view("listeners"), set.m_listeners);
  visit(std::string_view("routes"), set.m_routes);
}

/// Markdown tables of every kind and field with unit, default and limits.
std::string SchemaMarkdown();

}  // namespace fescueramp
