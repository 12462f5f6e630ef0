#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Queue of one priority class, fair among client accounts by weight and in order of arrival within each.
/// Source: P. Goyal, H. Vin, H. Cheng, "Start-Time Fair Queuing", 1996.
class RequestQueue {
 public:
  /// A waiting request.
  struct Entry {
    double m_start_tag = 0;
    std::int64_t m_arrival_sequence = 0;
    std::string m_request_id;

    bool operator<(const Entry& other) const {
      if (m_start_tag != other.m_start_tag) return m_start_tag < other.m_start_tag;
      return m_arrival_sequence < other.m_arrival_sequence;
    }
  };

  /// Adds a request and returns its start tag.
  double Push(const std::string& request_id, const std::string& account, double weight,
              std::int64_t arrival_sequence);

  /// Reinserts a request with its earlier start tag.
  void PutBack(const std::string& request_id, double start_tag, std::int64_t arrival_sequence);

  /// Removes a request that is about to be served and advances virtual time.
  void Serve(const Entry& entry);

  /// Removes a request without serving it.
  void Remove(double start_tag, std::int64_t arrival_sequence);

  /// Requests in the order in which they should be served.
  const std::set<Entry>& InOrder() const { return m_by_tag; }

  /// Requests in order of arrival: request id by arrival sequence.
  const std::map<std::int64_t, std::string>& ByArrival() const { return m_by_arrival; }

  std::int64_t Size() const { return static_cast<std::int64_t>(m_by_tag.size()); }
  bool Empty() const { return m_by_tag.empty(); }

 private:
  std::set<Entry> m_by_tag;
  std::map<std::int64_t, std::string> m_by_arrival;
  /// Last finish tag by account, kept while ahead of virtual time.
  std::map<std::string, double> m_finish_tags;
  double m_virtual_time = 0;
};

}  // namespace fescueramp
