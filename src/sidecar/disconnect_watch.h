// Detection of a caller that disconnects while its request is being processed.
#pragma once

#include <functional>
#include <memory>

#include "upstream_pool.h"

namespace robinpin::sidecar {

// Calls `gone` at most once, as the peer of a connection closes it, while nothing else reads there.
class DisconnectWatch {
 public:
  // Without `source` the watch begins at once. While a body is still being read, that reading notices a
  // disconnect, so with `source` the watch begins when its body has been received completely.
  DisconnectWatch(std::shared_ptr<Connection> c, std::shared_ptr<Source> source, std::function<void()> gone);
  ~DisconnectWatch();
  DisconnectWatch(const DisconnectWatch&) = delete;
  DisconnectWatch& operator=(const DisconnectWatch&) = delete;

 private:
  // Outlives the watch while an asynchronous wait is pending.
  struct State {
    bool over = false, waits = false;
    std::function<void()> gone;
  };
  void wait() { wait(c_, state_); }
  static void wait(const std::shared_ptr<Connection>& c, const std::shared_ptr<State>& s);
  std::shared_ptr<Connection> c_;
  std::shared_ptr<Source> source_;
  std::shared_ptr<State> state_;
};

}  // namespace robinpin::sidecar
