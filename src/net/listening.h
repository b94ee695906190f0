// Listening sockets: one of our own at an address, or one that the platform holds and hands to every process.
#pragma once

#include "connection.h"

namespace robinpin::node {

// What the kernel may hold of the connections that are accepted.
enum class Buffering {
  of_the_system,  // as much as the system's settings allow
  bounded,        // see bound_buffers()
};

// Throws std::runtime_error if it can't. Who had this address may just be ending: it is waited for a while.
void listen_at(tcp::acceptor& acceptor, tcp::endpoint at, int backlog,
               Buffering buffering = Buffering::of_the_system);
// Throws std::runtime_error if that descriptor is no listening TCP socket. It is shared with other processes:
// only ever closed, never shut down.
void listen_on(tcp::acceptor& acceptor, int descriptor);

}  // namespace robinpin::node
