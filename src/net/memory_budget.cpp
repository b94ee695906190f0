#include "memory_budget.h"

#include <algorithm>

namespace robinpin::node {

namespace {

// Parts of the budget, as divisors.
constexpr std::size_t partial_request_part = 2;
constexpr std::size_t spared_by_long_answers_part = 4;

}  // namespace

std::size_t MemoryBudget::limit_of(Use use) const {
  switch (use) {
    case Use::partial_request:
      return limit_ / partial_request_part;
    case Use::long_answer:
      return limit_ - limit_ / spared_by_long_answers_part;
    case Use::ordinary:
      break;
  }
  return limit_;
}

// `own`: what the same reservation holds for that use already.
bool MemoryBudget::has_capacity(std::size_t more, std::size_t own, Use use) const {
  if (more > limit_ - std::min(limit_, in_use_)) return false;
  const std::size_t of_others = by_use_[std::size_t(use)] - own;
  return of_others == 0 || of_others + own + more <= limit_of(use);
}

// The one whose bytes, times how long it has held them, are most.
bool MemoryBudget::evict_one() {
  const auto now = steady::now();
  Consumer* victim = nullptr;
  double most = 0;
  for (Consumer* consumer : consumers_) {
    const auto age = now - consumer->in_use_since();
    const std::size_t bytes = age < least_age_to_evict ? 0 : consumer->evictable_bytes();
    const double byte_seconds = double(bytes) * std::chrono::duration<double>(age).count();
    if (byte_seconds <= most) continue;
    most = byte_seconds;
    victim = consumer;
  }
  if (!victim) return false;
  ++evicted_;
  victim->evict();
  return true;
}

void MemoryBudget::change(std::size_t from, Use from_use, std::size_t to, Use to_use) {
  by_use_[std::size_t(from_use)] -= from;
  by_use_[std::size_t(to_use)] += to;
  in_use_ = in_use_ - from + to;
  highest_ = std::max(highest_, in_use_);
}

bool MemoryBudget::Reservation::resize(std::size_t bytes, Use use) {
  if (bytes > bytes_) {
    // Eviction may release this reservation itself.
    while (!budget_->has_capacity(bytes - bytes_, use == use_ ? bytes_ : 0, use)) {
      const std::size_t before = bytes_;
      if (budget_->evict_one() && bytes_ == before) continue;
      ++budget_->refused_;
      return false;
    }
  }
  record(bytes, use);
  return true;
}

void MemoryBudget::Reservation::record(std::size_t bytes, Use use) {
  budget_->change(bytes_, use_, bytes, use);
  bytes_ = bytes;
  use_ = use;
}

}  // namespace robinpin::node
