// What more than one concern of the module reads: constants that must be one, and a step of choosing.
#pragma once

#include "robinpin/choice.h"

namespace robinpin {

constexpr micros second = 1'000'000, never = micros(1) << 60;
constexpr micros pace = 20'000;  // between looks at what is held
constexpr micros slow_memory = 30 * second;
constexpr int failures_seen = 2;     // in a row: rebuild without a test, left to trials
constexpr int turned_away = -1;      // no scheme: refused whatever its scheme
constexpr double calm_samples = 20;  // the mean of fewer is no measure of calm

// Out go those of whom it is true, unless it is true of all.
template <typename Ranked, typename Condition>
void pass_over(Ranked& ranked, Condition condition) {
  if (!std::all_of(ranked.begin(), ranked.end(), condition)) std::erase_if(ranked, condition);
}

}  // namespace robinpin
