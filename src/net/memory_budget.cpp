#include "memory_budget.h"

#include <algorithm>

namespace robinpin::node {

namespace {

// Parts of the budget, as divisors.
constexpr std::size_t partial_request_divisor = 2;
constexpr std::size_t spared_by_long_answers_divisor = 4;
constexpr std::size_t spared_by_single_answer_divisor = 8;
constexpr std::size_t least_share_divisor = 16;
constexpr std::size_t spared_for_ordinary_divisor = 4;
constexpr std::size_t request_divisor = 128;

// A walk over all consumers that was of no use is not repeated sooner.
constexpr std::chrono::milliseconds pause_between_walks{10};

}  // namespace

std::size_t MemoryBudget::limit_of(Use use) const {
  switch (use) {
    case Use::partial_request:
      return limit_ / partial_request_divisor;
    case Use::long_answer:
      return limit_ - limit_ / spared_by_long_answers_divisor;
    case Use::ordinary:
      break;
  }
  return limit_;
}

bool MemoryBudget::ensure_capacity_for_request() {
  const auto has_room = [this] { return limit_ - std::min(limit_, in_use_) >= limit_ / request_divisor; };
  if (!has_room()) reclaim_all();
  while (!has_room())
    if (!evict_one({})) return false;
  return true;
}

bool MemoryBudget::fits_in_limit(const Change& change) const {
  return change.to <= change.from || change.to - change.from <= limit_ - std::min(limit_, in_use_);
}

bool MemoryBudget::fits_in_use(const Change& change) const {
  const std::size_t own = change.from_use == change.to_use ? change.from : 0;
  const std::size_t of_others = by_use_[std::size_t(change.to_use)] - own;
  return of_others == 0 || of_others + change.to <= limit_of(change.to_use);
}

bool MemoryBudget::fits_beside_other_uses(const Change& change) const {
  if (change.to_use == Use::ordinary) return true;
  const std::size_t own = change.from_use == Use::ordinary ? 0 : change.from;
  const std::size_t held =
      by_use_[std::size_t(Use::partial_request)] + by_use_[std::size_t(Use::long_answer)];
  const std::size_t of_others = held - own;
  return of_others == 0 || of_others + change.to <= limit_ - limit_ / spared_for_ordinary_divisor;
}

bool MemoryBudget::fits_in_share(const Change& change, const Share& share) const {
  const std::size_t more = change.to - change.from;
  const std::size_t share_after = share.bytes_ + more;
  if (share_after <= limit_ / least_share_divisor) return true;
  const std::size_t long_answers = by_use_[std::size_t(Use::long_answer)];
  const bool is_single =
      share.bytes_ == change.from && long_answers == (change.from_use == Use::long_answer ? change.from : 0);
  const std::size_t free_after = limit_ - std::min(limit_, in_use_ + more);
  return free_after >= (is_single ? limit_ / spared_by_single_answer_divisor : share_after);
}

bool MemoryBudget::fits(const Change& change, const Share* share) const {
  return (!share || fits_in_share(change, *share)) && fits_in_limit(change) && fits_in_use(change) &&
         fits_beside_other_uses(change);
}

std::size_t MemoryBudget::kind_of(const Shortage& shortage) {
  if (shortage.share) return shortages - 1;
  return shortage.use ? std::size_t(*shortage.use) : uses;
}

bool MemoryBudget::evict_one(const Shortage& shortage) {
  const auto now = steady::now();
  steady::time_point& next_eviction = next_eviction_[kind_of(shortage)];
  if (now < next_eviction) return false;
  Consumer* victim = nullptr;
  double most = 0;
  // The one whose bytes, times how long it has held them, are most.
  for (Consumer* consumer : consumers_) {
    const auto age = now - consumer->in_use_since();
    const std::size_t bytes = age < least_age_to_evict ? 0 : consumer->evictable_bytes(shortage);
    const double byte_seconds = double(bytes) * std::chrono::duration<double>(age).count();
    if (byte_seconds <= most) continue;
    most = byte_seconds;
    victim = consumer;
  }
  if (!victim) {
    next_eviction = now + pause_between_walks;
    return false;
  }
  ++evicted_;
  victim->evict();
  return true;
}

bool MemoryBudget::make_room(const Change& change, const Share* share) {
  if (share && !fits_in_share(change, *share)) return evict_one({std::nullopt, share});
  if (!fits_in_limit(change)) return evict_one({});
  if (!fits_in_use(change)) return evict_one({change.to_use});
  return evict_one({Use::long_answer}) || evict_one({Use::partial_request});
}

void MemoryBudget::reclaim_all() {
  const auto now = steady::now();
  if (now < next_reclaim_) return;
  next_reclaim_ = now + pause_between_walks;
  for (Consumer* consumer : consumers_) consumer->reclaim();
}

void MemoryBudget::apply(const Change& change) {
  by_use_[std::size_t(change.from_use)] -= change.from;
  by_use_[std::size_t(change.to_use)] += change.to;
  in_use_ = in_use_ - change.from + change.to;
  highest_ = std::max(highest_, in_use_);
}

bool MemoryBudget::Reservation::resize(std::size_t bytes, Use use) {
  for (bool is_reclaimed = false; bytes > bytes_;) {
    const Change change{bytes_, bytes, use_, use};
    if (budget_->fits(change, share_.get())) break;
    if (!std::exchange(is_reclaimed, true)) {
      budget_->reclaim_all();
      continue;
    }
    // Eviction may release this reservation itself.
    if (budget_->make_room(change, share_.get()) && bytes_ == change.from) continue;
    ++budget_->refused_;
    if (share_ && !budget_->fits_in_share(change, *share_)) {
      ++budget_->refused_by_share_;
      budget_->last_refused_server_ = share_->server_;
    }
    return false;
  }
  record(bytes, use);
  return true;
}

bool MemoryBudget::Reservation::resize_if_free(std::size_t bytes, Use use) {
  if (bytes > bytes_ && !budget_->fits({bytes_, bytes, use_, use}, share_.get())) return false;
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
