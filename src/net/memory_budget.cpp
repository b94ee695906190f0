#include "memory_budget.h"

#include <algorithm>

namespace robinpin::node {

namespace {

// Parts of the budget, as divisors.
constexpr std::size_t partial_request_part = 2;
constexpr std::size_t spared_by_long_answers_part = 4;
constexpr std::size_t spared_by_single_answer_part = 8;
constexpr std::size_t least_share_part = 16;
constexpr std::size_t request_part = 128;

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

bool MemoryBudget::has_room_for_request() const {
  return limit_ - std::min(limit_, in_use_) >= limit_ / request_part;
}

bool MemoryBudget::fits_in_limit(const Change& change) const {
  return change.to <= change.from || change.to - change.from <= limit_ - std::min(limit_, in_use_);
}

bool MemoryBudget::fits_in_use(const Change& change) const {
  const std::size_t own = change.from_use == change.to_use ? change.from : 0;
  const std::size_t of_others = by_use_[std::size_t(change.to_use)] - own;
  return of_others == 0 || of_others + change.to <= limit_of(change.to_use);
}

bool MemoryBudget::fits_in_share(const Change& change, const Share& share) const {
  const std::size_t more = change.to - change.from;
  const std::size_t share_after = share.bytes_ + more;
  if (share_after <= limit_ / least_share_part) return true;
  const std::size_t long_answers = by_use_[std::size_t(Use::long_answer)];
  const bool is_single =
      share.bytes_ == change.from && long_answers == (change.from_use == Use::long_answer ? change.from : 0);
  const std::size_t free_after = limit_ - std::min(limit_, in_use_ + more);
  return free_after >= (is_single ? limit_ / spared_by_single_answer_part : share_after);
}

// The one whose bytes, times how long it has held them, are most.
bool MemoryBudget::evict_one(std::optional<Use> use) {
  const auto now = steady::now();
  Consumer* victim = nullptr;
  double most = 0;
  for (Consumer* consumer : consumers_) {
    const auto age = now - consumer->in_use_since();
    const std::size_t bytes = age < least_age_to_evict ? 0 : consumer->evictable_bytes(use);
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

void MemoryBudget::apply(const Change& change) {
  by_use_[std::size_t(change.from_use)] -= change.from;
  by_use_[std::size_t(change.to_use)] += change.to;
  in_use_ = in_use_ - change.from + change.to;
  highest_ = std::max(highest_, in_use_);
}

bool MemoryBudget::Reservation::resize(std::size_t bytes, Use use) {
  while (bytes > bytes_) {
    const Change change{bytes_, bytes, use_, use};
    // Nobody else is closed for a server that has its share.
    if (share_ && !budget_->fits_in_share(change, *share_)) {
      ++budget_->refused_;
      ++budget_->refused_by_share_;
      budget_->last_refused_server_ = share_->server_;
      return false;
    }
    const bool fits_in_limit = budget_->fits_in_limit(change);
    if (fits_in_limit && budget_->fits_in_use(change)) break;
    // Eviction may release this reservation itself.
    const std::optional<Use> short_use = fits_in_limit ? std::optional(use) : std::nullopt;
    if (budget_->evict_one(short_use) && bytes_ == change.from) continue;
    ++budget_->refused_;
    return false;
  }
  record(bytes, use);
  return true;
}

void MemoryBudget::Reservation::record(std::size_t bytes, Use use) {
  budget_->apply({bytes_, bytes, use_, use});
  if (share_) share_->bytes_ = share_->bytes_ - bytes_ + bytes;
  bytes_ = bytes;
  use_ = use;
}

}  // namespace robinpin::node
