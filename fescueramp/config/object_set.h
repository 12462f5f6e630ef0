#pragma once

#include <boost/describe.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/config/objects.h"

namespace fescueramp {

/// One mistake in an object set.
struct Mistake {
  std::string m_object;    ///< Kind and name, as in "routes/status".
  std::string m_field;     ///< Name of the field; empty when the mistake concerns the whole object.
  std::string m_problem;   ///< What is wrong.
  std::string m_accepted;  ///< Values that are accepted.
};
BOOST_DESCRIBE_STRUCT(Mistake, (), (m_object, m_field, m_problem, m_accepted))

/// Result of reading an object set: the set is usable only when there are no mistakes.
struct ParsedObjectSet {
  ObjectSet m_set;
  std::vector<Mistake> m_mistakes;
};

/// Reads and validates a whole set, and lists all its mistakes.
/// @throws Error with kInvalidObjectSet when the text is not JSON.
ParsedObjectSet ParseObjectSet(std::string_view text);

/// Reads a set from several texts, each with some of the objects, and validates it as a whole.
/// @throws Error with kInvalidObjectSet when a text is not JSON.
ParsedObjectSet ParseObjectSetParts(const std::vector<std::string>& parts);

/// Canonical JSON text of a set: the same set always gives the same bytes.
std::string SerializeObjectSet(const ObjectSet& set);

/// Names of objects that differ between two sets, each marked "added", "removed" or "changed".
std::vector<std::string> DiffObjectSets(const ObjectSet& before, const ObjectSet& after);

}  // namespace fescueramp
