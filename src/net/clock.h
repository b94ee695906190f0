// The node's one clock: whole microseconds that never run backwards, begun at Unix time, so that start times
// told by the list can be compared with it.
#pragma once

#include <chrono>

#include "robinpin/choice.h"

namespace robinpin::node {

using steady = std::chrono::steady_clock;

class Clock {
 public:
  micros now() const { return of(steady::now()); }
  micros of(steady::time_point t) const { return begun_ + count(t - start_); }
  steady::time_point at(micros t) const { return start_ + std::chrono::microseconds(t - begun_); }

 private:
  template <typename Span>
  static micros count(Span s) {
    return std::chrono::duration_cast<std::chrono::microseconds>(s).count();
  }
  steady::time_point start_ = steady::now();
  micros begun_ = count(std::chrono::system_clock::now().time_since_epoch());
};

}  // namespace robinpin::node
