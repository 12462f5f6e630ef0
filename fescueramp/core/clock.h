#pragma once

#include <ctime>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Source of the current time; passed to everything that needs one.
class Clock {
 public:
  virtual ~Clock() = default;

  /// The current time; never goes back within one process.
  virtual Instant Now() const = 0;
};

/// Steady clock of the operating system that goes on while the host is suspended. What has run out meanwhile
/// must be seen to have run out: the time for a piece of work, a kept connection.
struct BootClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootClock>;
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming): of the standard library.

  static time_point now() noexcept {  // NOLINT(readability-identifier-naming): of the standard library.
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
  }
};

/// Clock anchored to wall-clock time at construction and advanced by the boot clock.
class SteadyWallClock final : public Clock {
 public:
  SteadyWallClock()
      : m_wall_start(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())),
        m_boot_start(BootClock::now()) {}

  Instant Now() const override {
    const auto elapsed = BootClock::now() - m_boot_start;
    return m_wall_start + std::chrono::duration_cast<Duration>(elapsed);
  }

 private:
  Instant m_wall_start;
  BootClock::time_point m_boot_start;
};

/// Clock moved by hand, for tests and replays.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return m_now; }

  /// Moves the clock forward by `span`.
  void Advance(Duration span) { m_now += span; }

 private:
  Instant m_now{Duration(std::chrono::seconds(1'700'000'000))};
};

}  // namespace fescueramp
