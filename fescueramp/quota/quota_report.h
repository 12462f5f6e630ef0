#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>

namespace fescueramp {

/// Reports that requests of an account were refused by its quota, or that the account is within it again.
struct ReportQuota {
  static constexpr const char* kType = "report_quota";
  std::string m_account;
  std::string m_group;         ///< Caller group, for metrics.
  std::int64_t m_refused = 0;  ///< Refusals since the last report.
  bool m_began = false;        ///< Whether the account has just gone over its limit.
  bool m_ended = false;        ///< Whether it is back below its limit.
};
BOOST_DESCRIBE_STRUCT(ReportQuota, (), (m_account, m_group, m_refused, m_began, m_ended))

}  // namespace fescueramp
