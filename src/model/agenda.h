// What is due when. The model is told the time and never asks for it: whoever drives it, by a clock or by
// leaps, calls advance(). What is due together happens in the order in which it was entered.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::model {

class Agenda {
 public:
  using what = std::function<void()>;
  explicit Agenda(micros now = 0) : now_(now) {}
  Agenda(const Agenda&) = delete;
  Agenda& operator=(const Agenda&) = delete;

  micros now() const { return now_; }
  // Never before now: what is late happens next.
  void at(micros time, what w) {
    heap_.push_back({std::max(time, now_), ++entered_, std::move(w)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void in(micros span, what w) { at(now_ + span, std::move(w)); }
  std::optional<micros> next() const {
    return heap_.empty() ? std::nullopt : std::optional(heap_.front().time);
  }
  // Does all that is due until then, each thing at its own time.
  void advance(micros to) {
    while (!heap_.empty() && heap_.front().time <= to) {
      std::pop_heap(heap_.begin(), heap_.end(), later);
      Due due = std::move(heap_.back());
      heap_.pop_back();
      now_ = std::max(now_, due.time);
      due.w();
    }
    now_ = std::max(now_, to);
  }
  std::size_t size() const { return heap_.size(); }

 private:
  struct Due {
    micros time;
    std::uint64_t entered;
    what w;
  };
  static bool later(const Due& a, const Due& b) {
    return a.time != b.time ? a.time > b.time : a.entered > b.entered;
  }
  micros now_;
  std::uint64_t entered_ = 0;
  std::vector<Due> heap_;
};

}  // namespace robinpin::model
