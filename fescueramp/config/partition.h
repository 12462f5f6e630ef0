#pragma once

#include <boost/describe.hpp>
#include <string>
#include <vector>

#include "fescueramp/config/objects.h"

namespace fescueramp {

/// Part of an object set, named by the hash of its text. A change of one object changes one part.
struct ObjectSetPart {
  std::string m_hash;
  std::string m_text;
};

/// Names the parts of one revision.
struct Manifest {
  std::vector<std::string> m_parts;  ///< Hashes.
};
BOOST_DESCRIBE_STRUCT(Manifest, (), (m_parts))

/// One publication.
struct Publication {
  std::int64_t m_revision = 0;
  std::string m_publish_id;  ///< Chosen by the publisher; tells a lost answer from a lost race.
  std::string m_author;
  std::int64_t m_time_ms = 0;  ///< Unix time, ms.
  std::string m_manifest;      ///< Hash of the manifest's text.
};
BOOST_DESCRIBE_STRUCT(Publication, (), (m_revision, m_publish_id, m_author, m_time_ms, m_manifest))

/// Value under the head key, changed only by compare-and-swap.
struct ConfigHead {
  Publication m_current;
  std::vector<Publication> m_history;  ///< Earlier publications, the latest first; bounded.
};
BOOST_DESCRIBE_STRUCT(ConfigHead, (), (m_current, m_history))

/// Splits a set into parts that are each far below the store's limit on values.
std::vector<ObjectSetPart> PartitionObjectSet(const ObjectSet& set);

/// Hash that names a text.
std::string ContentHash(std::string_view text);

}  // namespace fescueramp
