// Accounting of an amount for the length of a scope.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace robinpin::sidecar {

// Adds to a total while it lives. The total is shared: a suspended coroutine may outlive its node.
class ScopedCount {
 public:
  ScopedCount(std::shared_ptr<std::size_t> total, std::size_t amount)
      : total_(std::move(total)), amount_(amount) {
    *total_ += amount_;
  }
  ~ScopedCount() { *total_ -= amount_; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::shared_ptr<std::size_t> total_;
  std::size_t amount_;
};

}  // namespace robinpin::sidecar
