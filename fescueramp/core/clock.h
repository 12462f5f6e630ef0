#pragma once

#include "fescueramp/core/time.h"

namespace fescueramp {

/// Source of the current time; passed to everything that needs one.
class Clock {
 public:
  virtual ~Clock() = default;

  /// The current time; never goes back within one process.
  virtual Instant Now() const = 0;
};

/// Clock anchored to wall-clock time at construction and advanced by the steady clock.
class SteadyWallClock final : public Clock {
 public:
  SteadyWallClock()
      : m_wall_start(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())),
        m_steady_start(std::chrono::steady_clock::now()) {}

  Instant Now() const override {
    const auto elapsed = std::chrono::steady_clock::now() - m_steady_start;
    return m_wall_start + std::chrono::duration_cast<Duration>(elapsed);
  }

 private:
  Instant m_wall_start;
  std::chrono::steady_clock::time_point m_steady_start;
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
