#include "memory_account.h"

#include <algorithm>

namespace robinpin::node {

namespace {

// Parts of the account, as divisors.
constexpr std::size_t partial_request_part = 2;
constexpr std::size_t spared_by_long_answers_part = 4;

}  // namespace

std::size_t MemoryAccount::limit_of(Use use) const {
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
bool MemoryAccount::has_room(std::size_t more, std::size_t own, Use use) const {
  if (more > limit_ - std::min(limit_, in_use_)) return false;
  const std::size_t of_others = by_use_[std::size_t(use)] - own;
  return of_others == 0 || of_others + own + more <= limit_of(use);
}

// The one whose bytes, times how long it has held them, are most.
bool MemoryAccount::evict_one() {
  const auto now = steady::now();
  Holder* victim = nullptr;
  double most = 0;
  for (Holder* holder : holders_) {
    const auto age = now - holder->held_since();
    const std::size_t bytes = age < least_age_to_evict ? 0 : holder->evictable_bytes();
    const double byte_seconds = double(bytes) * std::chrono::duration<double>(age).count();
    if (byte_seconds <= most) continue;
    most = byte_seconds;
    victim = holder;
  }
  if (!victim) return false;
  ++evicted_;
  victim->evict();
  return true;
}

void MemoryAccount::change(std::size_t from, Use from_use, std::size_t to, Use to_use) {
  by_use_[std::size_t(from_use)] -= from;
  by_use_[std::size_t(to_use)] += to;
  in_use_ = in_use_ - from + to;
  highest_ = std::max(highest_, in_use_);
}

bool MemoryAccount::Reservation::resize(std::size_t bytes, Use use) {
  if (bytes > bytes_) {
    // Eviction may release this reservation itself.
    while (!account_->has_room(bytes - bytes_, use == use_ ? bytes_ : 0, use)) {
      const std::size_t before = bytes_;
      if (account_->evict_one() && bytes_ == before) continue;
      ++account_->refused_;
      return false;
    }
  }
  record(bytes, use);
  return true;
}

void MemoryAccount::Reservation::record(std::size_t bytes, Use use) {
  account_->change(bytes_, use_, bytes, use);
  bytes_ = bytes;
  use_ = use;
}

}  // namespace robinpin::node
