#include "fescueramp/dispatch/request_queue.h"

#include <algorithm>

namespace fescueramp {
namespace {

constexpr std::size_t kMaxIdleAccounts = 1024;

}  // namespace

double RequestQueue::Push(const std::string& request_id, const std::string& account, double weight,
                          std::int64_t arrival_sequence) {
  double& finish = m_finish_tags[account];
  const double start = std::max(m_virtual_time, finish);
  finish = start + 1 / weight;
  PutBack(request_id, start, arrival_sequence);
  return start;
}

void RequestQueue::PutBack(const std::string& request_id, double start_tag, std::int64_t arrival_sequence) {
  m_by_tag.insert({start_tag, arrival_sequence, request_id});
  m_by_arrival[arrival_sequence] = request_id;
}

void RequestQueue::Serve(const Entry& entry) {
  m_virtual_time = std::max(m_virtual_time, entry.m_start_tag);
  Remove(entry.m_start_tag, entry.m_arrival_sequence);
  // An account whose finish tag is behind virtual time starts at virtual time, so its tag is not needed.
  if (m_finish_tags.size() > kMaxIdleAccounts) {
    std::erase_if(m_finish_tags, [&](const auto& item) { return item.second <= m_virtual_time; });
  }
}

void RequestQueue::Remove(double start_tag, std::int64_t arrival_sequence) {
  m_by_tag.erase(Entry{start_tag, arrival_sequence, {}});
  m_by_arrival.erase(arrival_sequence);
}

}  // namespace fescueramp
