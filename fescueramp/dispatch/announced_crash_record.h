#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace fescueramp {

/// Loss of the connection to an endpoint while a request ran there, as announced between nodes.
struct AnnouncedBreak {
  std::string m_node;         ///< Node whose connection broke.
  std::int64_t m_number = 0;  ///< Identifies the break among those of its node.
  std::string m_endpoint;
  std::int64_t m_age_ms = 0;  ///< Time since the break, ms.
  bool m_alone = false;       ///< Whether the request ran alone on the endpoint, which makes it the cause.
};
BOOST_DESCRIBE_STRUCT(AnnouncedBreak, (), (m_node, m_number, m_endpoint, m_age_ms, m_alone))

/// Breaks of one request, as announced between nodes.
struct AnnouncedCrashRecord {
  std::uint64_t m_fingerprint = 0;
  std::int64_t m_version = 0;  ///< Grows when a good response clears the record.
  std::int64_t m_limit = 0;    ///< Breaks at which the request is quarantined.
  std::int64_t m_age_ms = 0;   ///< Time since the last break, or since a good response cleared it, ms.
  std::vector<AnnouncedBreak> m_breaks;
};
BOOST_DESCRIBE_STRUCT(AnnouncedCrashRecord, (), (m_fingerprint, m_version, m_limit, m_age_ms, m_breaks))

}  // namespace fescueramp
