// Sockets that are closed once their peers have taken what was written to them, and reset if they take
// nothing: the kernel would keep the bytes of one that is merely closed for minutes.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

#include "clock.h"
#include "memory_budget.h"

namespace robinpin::node {

class DrainingSockets {
 public:
  // Without progress, and in all.
  static constexpr std::chrono::milliseconds stall_limit{2'000};
  static constexpr std::chrono::milliseconds time_limit{10'000};

  explicit DrainingSockets(std::shared_ptr<MemoryBudget> memory) : memory_(std::move(memory)) {}
  ~DrainingSockets();
  DrainingSockets(const DrainingSockets&) = delete;
  DrainingSockets& operator=(const DrainingSockets&) = delete;

  // Takes a connected socket over, and tells its peer that no more comes.
  void add(int socket, steady::time_point now);
  // Closes those that are done, and resets those that are over a limit.
  void sweep(steady::time_point now);
  // Resets the one that has been here for longest. False: there is none.
  bool reset_oldest();
  std::size_t size() const { return sockets_.size(); }

 private:
  struct Socket {
    Socket(int handle_, const std::shared_ptr<MemoryBudget>& budget) : handle(handle_), memory(budget) {}
    const int handle;
    MemoryBudget::Reservation memory;
    std::size_t unsent = 0;  // bytes
    steady::time_point added_at{}, progress_at{};
  };
  static bool is_done(Socket& socket, steady::time_point now);

  const std::shared_ptr<MemoryBudget> memory_;
  std::list<Socket> sockets_;
};

}  // namespace robinpin::node
