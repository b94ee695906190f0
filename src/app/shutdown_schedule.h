// When a process that was told to end stops taking requests, gives up what its servers still work on, and
// ends. All times are microseconds after the SIGTERM; the platform sends SIGKILL after the grace period.
#pragma once

#include <algorithm>
#include <cstdint>

namespace robinpin::app {

struct ShutdownSchedule {
  // Requests read from then on are refused, unrun: callers' lists lag, and a server might still be at work on
  // them as they are given up.
  std::int64_t refuses_from = 0;
  std::int64_t earliest_end = 0;  // with nothing pending; callers have been told by then
  // What servers still work on is given up. Only in the last sixth of the grace period is that no loss, and
  // only for requests sent within three seconds of the signal.
  std::int64_t gives_up_at = 0;
  std::int64_t latest_end = 0;  // whatever is pending

  static constexpr ShutdownSchedule within(std::int64_t grace) {
    constexpr std::int64_t refuses_at_latest = 2'800'000, usual_end = 3'500'000;
    return {std::min(grace * 4 / 10, refuses_at_latest), std::min(grace / 2, usual_end), grace * 87 / 100,
            grace * 95 / 100};
  }
};

}  // namespace robinpin::app
