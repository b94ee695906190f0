// One budget of the memory that a process holds for its peers: messages that are read or written, and what
// the kernel may hold unread for them. What does not fit is refused, and who has held most for longest is
// closed first. The answers of one server have a share of it, so that one that sends without end takes that
// and no more.
//
// Not thread-safe: one thread uses a budget and all reservations on it.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clock.h"

namespace robinpin::node {

class MemoryBudget : public std::enable_shared_from_this<MemoryBudget> {
 public:
  // What memory is held for. Each use but `ordinary` has a limit of its own below that of the budget, and so
  // have these together, so that they never take the last of it; a single reservation may go beyond the limit
  // of its use.
  enum class Use { ordinary, partial_request, long_answer };
  static constexpr std::size_t uses = 3;
  static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
  // Messages up to that are `ordinary`.
  static constexpr std::size_t short_message_bytes = 16 * 1024;
  // Nobody is closed who has held memory for less, or made progress since.
  static constexpr std::chrono::seconds least_age_to_evict{1};

  class Share;

  // What there is not enough of: memory of a use, or of a server's share; all of it where neither is named.
  struct Shortage {
    std::optional<Use> use = std::nullopt;
    const Share* share = nullptr;
  };

  // Someone who holds memory that is freed by closing them.
  class Consumer {
   public:
    virtual ~Consumer() = default;
    // Bytes of what is short that evict() frees; 0: it must not be closed now.
    virtual std::size_t evictable_bytes(const Shortage& shortage) const = 0;
    // Since when it has held that: a reader of long answers, since its peer has last taken some of it.
    virtual steady::time_point in_use_since() const = 0;
    virtual void evict() = 0;
    // Gives back what it no longer needs.
    virtual void reclaim() {}
  };
  using Consumers = std::list<Consumer*>;

  // What the reservations of one server's answers hold together. They grow no further than to what is left
  // free for all others, so several such servers leave room, too. A small share is always granted; the only
  // long answer at the time may grow until an eighth of the budget is free.
  class Share {
   public:
    explicit Share(std::string server) : server_(std::move(server)) {}
    std::size_t bytes() const { return bytes_; }

   private:
    friend class MemoryBudget;
    const std::string server_;
    std::size_t bytes_ = 0;
  };

  // Bytes taken from a budget, and of the share if there is one, given back with the reservation.
  class Reservation {
   public:
    explicit Reservation(std::shared_ptr<MemoryBudget> budget, std::shared_ptr<Share> share = nullptr)
        : budget_(std::move(budget)), share_(std::move(share)) {}
    ~Reservation() { release(); }
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;
    // Makes it so many bytes. Returns false, and changes nothing, if the budget has no room for them.
    bool resize(std::size_t bytes, Use use);
    // The same, but only if nobody has to be closed for it; it is no refusal otherwise.
    bool resize_if_free(std::size_t bytes, Use use);
    // The same for what is held already, whether there is room or not.
    void record(std::size_t bytes, Use use);
    void release() { record(0, use_); }
    std::size_t bytes() const { return bytes_; }
    std::size_t bytes(const Shortage& shortage) const {
      const bool is_of_use = !shortage.use || *shortage.use == use_;
      const bool is_of_share = !shortage.share || shortage.share == share_.get();
      return is_of_use && is_of_share ? bytes_ : 0;
    }

   private:
    std::shared_ptr<MemoryBudget> budget_;
    std::shared_ptr<Share> share_;
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
  // Reservations refused because their share was too large already, and the server of the last of them.
  std::uint64_t refused_by_share() const { return refused_by_share_; }
  const std::string& last_refused_server() const { return last_refused_server_; }
  // Whether a further request may be begun: its answer needs room, too. Closes others for it.
  bool ensure_capacity_for_request();

 private:
  struct Change {
    std::size_t from = 0, to = 0;  // bytes
    Use from_use = Use::ordinary, to_use = Use::ordinary;
  };
  bool fits_in_limit(const Change& change) const;
  bool fits_in_use(const Change& change) const;
  bool fits_beside_other_uses(const Change& change) const;
  bool fits_in_share(const Change& change, const Share& share) const;
  bool fits(const Change& change, const Share* share) const;
  // Who holds most of it for longest is closed. False: nobody may be.
  bool evict_one(const Shortage& shortage);
  // Closes one that is in the way of that change. False: there is none.
  bool make_room(const Change& change, const Share* share);
  void reclaim_all();
  void apply(const Change& change);
  std::size_t limit_of(Use use) const;

  const std::size_t limit_;
  std::size_t in_use_ = 0, highest_ = 0;
  std::array<std::size_t, uses> by_use_{};
  std::uint64_t refused_ = 0, evicted_ = 0, refused_by_share_ = 0;
  std::string last_refused_server_;
  Consumers consumers_;
  static constexpr std::size_t shortages = uses + 2;  // of each use, of all of it, of a server's share
  static std::size_t kind_of(const Shortage& shortage);
  // By kind of shortage: no consumer to close was found a moment before.
  std::array<steady::time_point, shortages> next_eviction_{};
  steady::time_point next_reclaim_{};
};

}  // namespace robinpin::node
