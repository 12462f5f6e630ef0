#pragma once

#include <array>
#include <cstdint>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Limits retries, or hedges, within a sliding window to a share of its requests plus a burst, so that they
/// can't multiply an overload. The window ends with the retry. Counts in buckets; the limit is never
/// exceeded, but may be up to one bucket too strict.
class RetryBudget {
 public:
  /// Sets the allowed retries per request, the allowed burst on top, and the length of the window.
  void Configure(double ratio, std::int64_t burst, Duration window);

  /// Records a request, which extends the budget by the configured ratio.
  void AddRequest(Instant now);

  /// Takes one retry from the budget; false if none remains.
  bool Take(Instant now);

  /// Number of retries that remain at `now`.
  std::int64_t Remaining(Instant now);

 private:
  static constexpr std::size_t kBuckets = 20;

  struct Bucket {
    std::int64_t m_number = -1;  ///< Index of its time span since the clock's epoch; -1 while unused.
    std::int64_t m_requests = 0;
    std::int64_t m_retries = 0;
  };

  Bucket& Current(Instant now);
  std::int64_t BucketNumber(Instant now) const { return now.time_since_epoch() / m_bucket_time; }

  double m_ratio = 0.1;
  std::int64_t m_burst = 50;
  Duration m_bucket_time = std::chrono::milliseconds(500);
  std::array<Bucket, kBuckets + 1> m_buckets;
};

}  // namespace fescueramp
