// What the kit does to the clocks and the disk of one daemon: a file that both map.
#pragma once

#include <cstdint>

namespace robinpin::rehearse {

struct Mischief {
  double rate = 1;  // of its clocks
  std::int64_t since = 0, shown = 0, wall_since = 0,
               wall_shown = 0;  // ns: from when on the rate holds, and what was shown then
  std::int64_t wall_jump = 0;   // ns
  std::int32_t sync_fails = 0, full = 0;
};

}  // namespace robinpin::rehearse
