#pragma once

#include <ctime>

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Interface for the current time, so that tests and replays can set it.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Current time; it never decreases within one process.
  virtual Instant Now() const = 0;
};

/// Steady clock of the operating system that includes the time while the host is suspended, so that request
/// timeouts and the idle times of kept connections expire during a suspension too.
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

/// Clock that starts at wall-clock time and is advanced by the boot clock, so that it is not affected by
/// changes of the wall clock.
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

/// Clock that advances only on request, for tests and replays.
class ManualClock final : public Clock {
 public:
  Instant Now() const override { return m_now; }

  /// Moves the clock forward by `span`.
  void Advance(Duration span) { m_now += span; }

 private:
  Instant m_now{Duration(std::chrono::seconds(1'700'000'000))};
};

}  // namespace fescueramp
