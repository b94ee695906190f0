// How long a sender may go on with a long body at hardly any pace.
#pragma once

#include <chrono>
#include <cstdint>

#include "../net/clock.h"

namespace robinpin::sidecar {

// Only the time that is spent waiting for the sender counts.
class ProgressLimit {
 public:
  // So few bytes in such a span are no progress.
  static constexpr std::chrono::seconds span{5};
  static constexpr std::uint64_t least_bytes = 4 * 1024;

  // How much longer it may be waited for. `received`: bytes of the body so far.
  node::steady::duration remaining(std::uint64_t received) {
    if (received - received_before_ >= least_bytes) {
      received_before_ = received;
      waited_ = {};
    }
    return span - waited_;
  }
  void on_waited(node::steady::duration time) { waited_ += time; }

 private:
  std::uint64_t received_before_ = 0;
  node::steady::duration waited_{};
};

}  // namespace robinpin::sidecar
