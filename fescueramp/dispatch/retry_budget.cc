#include "fescueramp/dispatch/retry_budget.h"

#include <algorithm>

namespace fescueramp {

void RetryBudget::Configure(double ratio, std::int64_t burst, Duration window) {
  m_ratio = ratio;
  m_burst = burst;
  const Duration bucket_time = std::max<Duration>(Duration(1), window / kBuckets);
  if (bucket_time == m_bucket_time) return;
  m_bucket_time = bucket_time;
  m_buckets = {};
}

RetryBudget::Bucket& RetryBudget::Current(Instant now) {
  const std::int64_t number = BucketNumber(now);
  Bucket& bucket = m_buckets[static_cast<std::size_t>(number) % m_buckets.size()];
  if (bucket.m_number != number) bucket = {number, 0, 0};
  return bucket;
}

void RetryBudget::AddRequest(Instant now) { ++Current(now).m_requests; }

std::int64_t RetryBudget::Remaining(Instant now) {
  const std::int64_t newest = BucketNumber(now);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket& bucket : m_buckets) {
    const std::int64_t age = newest - bucket.m_number;
    if (bucket.m_number < 0 || age < 0 || age > static_cast<std::int64_t>(kBuckets)) continue;
    retries += bucket.m_retries;
    // The oldest bucket overlaps the window only partly. To stay within the limit, its retries count and its
    // requests don't.
    if (age < static_cast<std::int64_t>(kBuckets)) requests += bucket.m_requests;
  }
  return static_cast<std::int64_t>(m_ratio * static_cast<double>(requests)) + m_burst - retries;
}

bool RetryBudget::Take(Instant now) {
  if (Remaining(now) < 1) return false;
  ++Current(now).m_retries;
  return true;
}

}  // namespace fescueramp
