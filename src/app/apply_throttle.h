// When what was learnt is applied: at once where it is rare, and by a bounded part of the processor's time
// where it comes by the hundred. Told the time, in microseconds; free of I/O.
#pragma once

#include <algorithm>
#include <cstdint>

namespace robinpin::app {

class ApplyThrottle {
 public:
  static constexpr std::int64_t shortest_pause = 20'000;
  static constexpr std::int64_t pause_factor = 9;  // times as long as the last one took
  // A process that lost its processor meanwhile, or was stopped, took long by the clock: what is confirmed
  // has to be in force in time all the same.
  static constexpr std::int64_t longest_pause = 400'000;

  bool due(std::int64_t now) const { return now >= next_; }
  std::int64_t next() const { return next_; }
  void applied(std::int64_t began, std::int64_t ended) {
    next_ = ended + std::clamp((ended - began) * pause_factor, shortest_pause, longest_pause);
  }

 private:
  std::int64_t next_ = 0;
};

}  // namespace robinpin::app
