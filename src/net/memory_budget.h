// One budget of the memory that a process holds for its peers: messages that are read or written, and what
// the kernel may hold unread for them. What does not fit is refused, and who has held most for longest is
// closed first.
//
// Not thread-safe: one thread uses a budget and all reservations on it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <memory>

#include "clock.h"

namespace robinpin::node {

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  // What memory is held for. Each use but `ordinary` has a limit of its own below that of the budget, so
  // that it never takes the last of it; a single reservation may go beyond the limit of its use.
  enum class Use { ordinary, partial_request, long_answer };
  static constexpr std::size_t uses = 3;
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
  // Nobody is closed who has held memory for less.
  static constexpr std::chrono::seconds least_age_to_evict{1};

  // Someone who holds memory that is freed by closing them.
  class Consumer {
   public:
    virtual ~Consumer() = default;
    // Bytes that evict() frees; 0: it must not be closed now.
    virtual std::size_t evictable_bytes() const = 0;
    virtual steady::time_point in_use_since() const = 0;
    virtual void evict() = 0;
  };
  using Consumers = std::list<Consumer*>;

  // Bytes taken from a budget, given back with the reservation.
  class Reservation {
   public:
    explicit Reservation(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget)) {}
    ~Reservation() { release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    // Makes it so many bytes. Returns false, and changes nothing, if the budget has no room for them.
    bool resize(std::size_t bytes, Use use);
    // The same for what is held already, whether there is room or not.
    void record(std::size_t bytes, Use use);
    void release() { record(0, use_); }
    std::size_t bytes() const { return bytes_; }

   private:
    std::shared_ptr<MemoryBudget> budget_;
    std::size_t bytes_ = 0;
    Use use_ = Use::ordinary;
  };

  explicit MemoryBudget(std::size_t limit = unlimited) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  Consumers::iterator add(Consumer* consumer) { return consumers_.insert(consumers_.end(), consumer); }
  void remove(Consumers::iterator consumer) { consumers_.erase(consumer); }

  std::size_t limit() const { return limit_; }  // bytes
  std::size_t in_use() const { return in_use_; }
  std::size_t highest() const { return highest_; }
  std::uint64_t refused() const { return refused_; }  // reservations
  std::uint64_t evicted() const { return evicted_; }  // consumers
  bool is_full() const { return in_use_ >= limit_; }

 private:
  bool has_capacity(std::size_t more, std::size_t own, Use use) const;
  bool evict_one();
  void change(std::size_t from, Use from_use, std::size_t to, Use to_use);
  std::size_t limit_of(Use use) const;

  const std::size_t limit_;
  std::size_t in_use_ = 0, highest_ = 0;
  std::array<std::size_t, uses> by_use_{};
  std::uint64_t refused_ = 0, evicted_ = 0;
  Consumers consumers_;
};

}  // namespace robinpin::node
