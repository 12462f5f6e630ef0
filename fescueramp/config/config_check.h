#pragma once

#include <boost/describe.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "fescueramp/config/objects.h"
#include "fescueramp/core/enum_table.h"

namespace fescueramp {

/// Kind of a finding.
enum class FindingSeverity {
  kError,    ///< Nodes refuse the set.
  kWarning,  ///< An entry has no effect, or settings contradict each other.
  kRisk,     ///< A difference that some callers notice.
  kChange,   ///< Any difference.
};

template <>
struct EnumTable<FindingSeverity> {
  static constexpr std::array<std::string_view, 4> kNames = {"error", "warning", "risk", "change"};
};

/// One result of a check.
struct Finding {
  FindingSeverity m_severity = FindingSeverity::kError;
  std::string m_object;  ///< Kind and name, as in "routes/status"; empty for the whole set.
  std::string m_field;   ///< Name of the field; empty when the finding concerns the whole object.
  std::string m_text;    ///< What was found.
};
BOOST_DESCRIBE_STRUCT(Finding, (), (m_severity, m_object, m_field, m_text))

/// Result of checking the text of an object set.
struct CheckedObjectSet {
  ObjectSet m_set;                  ///< Incomplete when there are errors.
  std::vector<Finding> m_findings;  ///< Errors; or warnings if there is no error.
};

/// Lists the errors of an object set given as JSON text or, if it has none, the warnings.
CheckedObjectSet CheckObjectSetText(std::string_view text);

/// Lists entries of a valid set that can never match or be used, and settings that contradict each other.
/// Warns of max_attempts above the endpoints of a pool only if it differs from the default, which suits no
/// pool in particular.
std::vector<Finding> FindWarnings(const ObjectSet& set);

/// Lists the differences between two valid sets: first the risks, then all changes.
/// Key hashes are cut to a short prefix.
std::vector<Finding> CompareObjectSets(const ObjectSet& before, const ObjectSet& after);

/// Whether nodes would refuse the set.
bool HasErrors(const std::vector<Finding>& findings);

/// One line of text without its end, such as "warning routes/a.max_attempts: ...".
std::string FindingLine(const Finding& finding);

}  // namespace fescueramp
