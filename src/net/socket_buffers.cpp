#include "socket_buffers.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace robinpin::node {

namespace {

void set_option(int socket, int level, int name, int value) {
  ::setsockopt(socket, level, name, &value, sizeof value);
}

// The kernel doubles what is set, for its own overhead.
int option_value(std::size_t bytes) { return int(bytes / 2); }

}  // namespace

void bound_receive_buffer(int socket, std::size_t bytes) {
  // Segments have to be well below the window that this leaves: on loopback they would be longer, and a
  // sender waits for a timer where none fits in.
  constexpr std::size_t segments = 8;
  set_option(socket, SOL_SOCKET, SO_RCVBUF, option_value(bytes));
  set_option(socket, IPPROTO_TCP, TCP_MAXSEG, int(bytes / segments));
}

void widen_receive_buffer(int socket) {
  set_option(socket, SOL_SOCKET, SO_RCVBUF, option_value(SocketBuffers::wide_receive));
  set_option(socket, IPPROTO_TCP, TCP_WINDOW_CLAMP, int(SocketBuffers::wide_receive));
}

void bound_send_buffer(int socket, std::size_t bytes) {
  set_option(socket, SOL_SOCKET, SO_SNDBUF, option_value(bytes));
}

std::size_t unsent_bytes(int socket) {
  int bytes = 0;
  return ::ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? std::size_t(bytes) : 0;
}

}  // namespace robinpin::node
