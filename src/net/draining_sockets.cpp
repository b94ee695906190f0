#include "draining_sockets.h"

#include <sys/socket.h>
#include <unistd.h>

#include "socket_buffers.h"

namespace robinpin::node {

namespace {

void reset(int socket) {
  const linger at_once{1, 0};
  ::setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  ::close(socket);
}

}  // namespace

DrainingSockets::~DrainingSockets() {
  for (const Socket& socket : sockets_) ::close(socket.handle);
}

void DrainingSockets::add(int socket, steady::time_point now) {
  sweep(now);
  ::shutdown(socket, SHUT_WR);
  Socket& added = sockets_.emplace_back(socket, memory_);
  added.unsent = unsent_bytes(socket);
  added.memory.record(added.unsent, MemoryBudget::Use::ordinary);
  added.added_at = added.progress_at = now;
}

void DrainingSockets::sweep(steady::time_point now) {
  std::erase_if(sockets_, [now](Socket& socket) { return is_done(socket, now); });
}

bool DrainingSockets::is_done(Socket& socket, steady::time_point now) {
  const std::size_t unsent = unsent_bytes(socket.handle);
  if (unsent == 0) {
    ::close(socket.handle);
    return true;
  }
  if (unsent < socket.unsent) socket.progress_at = now;
  socket.unsent = unsent;
  socket.memory.record(unsent, MemoryBudget::Use::ordinary);
  if (now < socket.progress_at + stall_limit && now < socket.added_at + time_limit) return false;
  reset(socket.handle);
  return true;
}

bool DrainingSockets::reset_oldest() {
  if (sockets_.empty()) return false;
  reset(sockets_.front().handle);
  sockets_.pop_front();
  return true;
}

}  // namespace robinpin::node
