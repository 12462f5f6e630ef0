#include "fescueramp/dispatch/suspect_list.h"

namespace fescueramp {

void SuspectList::AddBreak(std::uint64_t fingerprint, bool alone, Instant now) {
  if (m_suspects.size() >= kMaxSuspects && !m_suspects.contains(fingerprint)) return;
  Suspect& suspect = m_suspects[fingerprint];
  // The break that reaches the limit counts only if the request ran alone and thus caused it.
  if (suspect.m_breaks < m_limit - 1 || alone) ++suspect.m_breaks;
  suspect.m_last = now;
}

void SuspectList::Clear(std::uint64_t fingerprint) { m_suspects.erase(fingerprint); }

bool SuspectList::IsSuspect(std::uint64_t fingerprint) const {
  const auto found = m_suspects.find(fingerprint);
  return found != m_suspects.end() && found->second.m_breaks >= m_limit - 1;
}

bool SuspectList::IsQuarantined(std::uint64_t fingerprint) const {
  const auto found = m_suspects.find(fingerprint);
  return found != m_suspects.end() && found->second.m_breaks >= m_limit;
}

void SuspectList::Expire(Instant now) {
  std::erase_if(m_suspects, [&](const auto& item) { return now - item.second.m_last > kRetention; });
}

}  // namespace fescueramp
