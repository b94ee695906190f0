// What the kernel may hold of a TCP connection's bytes, in each direction. It starts narrow, so that the
// number of connections bounds the sum, and is widened for a message that needs more once memory is reserved
// for it.
#pragma once

#include <asio.hpp>
#include <cstddef>

namespace robinpin::node {

// Bytes, the kernel's own overhead included.
struct SocketBuffers {
  static constexpr std::size_t narrow_receive = 16 * 1024;
  static constexpr std::size_t wide_receive = 64 * 1024;
  static constexpr std::size_t narrow_send = 8 * 1024;
  static constexpr std::size_t wide_send = 64 * 1024;
  // Of answers to a process's own requests.
  static constexpr std::size_t answer_receive = 128 * 1024;
  // Of what is passed to the kernel in one call: if it has any room left it takes all of it.
  static constexpr std::size_t narrow_record = 8 * 1024;
  static constexpr std::size_t wide_record = 16 * 1024;
  // What the kernel may hold of one connection in both directions while both are narrow.
  static constexpr std::size_t narrow_total = narrow_receive + narrow_send + narrow_record;
};

// To be called before a socket listens or connects. What is accepted there inherits the bound.
void bound_receive_buffer(int socket, std::size_t bytes);
// Of an established connection; it is never narrowed again, since the peer has been offered the room.
void widen_receive_buffer(int socket);
void bound_send_buffer(int socket, std::size_t bytes);

// Bytes that were written to a socket and that its peer has not acknowledged; 0 where the kernel doesn't
// tell.
std::size_t unsent_bytes(int socket);

}  // namespace robinpin::node
