#include "disconnect_watch.h"

#include <utility>

namespace robinpin::sidecar {

DisconnectWatch::DisconnectWatch(std::shared_ptr<Connection> c, std::shared_ptr<Source> source,
                                 std::function<void()> gone)
    : c_(std::move(c)), source_(std::move(source)), state_(std::make_shared<State>()) {
  state_->gone = std::move(gone);
  if (source_)
    source_->whole = [this] { wait(); };
  else
    wait();
}

DisconnectWatch::~DisconnectWatch() {
  state_->over = true;
  if (source_) source_->whole = nullptr;
  asio::error_code ignored;
  if (c_->open() && state_->waits) c_->socket.cancel(ignored);
}

void DisconnectWatch::wait(const std::shared_ptr<Connection>& c, const std::shared_ptr<State>& s) {
  s->waits = true;
  c->socket.async_wait(tcp::socket::wait_read, [c, s](asio::error_code cancelled) {
    s->waits = false;
    if (s->over) return;
    if (c->peer_gone())
      s->gone();
    else if (!cancelled && c->still())
      wait(c, s);  // woken by what was read before
  });
}

}  // namespace robinpin::sidecar
