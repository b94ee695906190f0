// The interface of transport among the mesh's own processes: datagrams between machines. They may be lost,
// delayed, duplicated or reordered, but are never altered, and the sender's address is true.
#pragma once

#include <functional>
#include <string_view>

#include "../gossip/gossip.h"

namespace robinpin::transport {

using gossip::Machine;  // an IPv4 address, which identifies one process of the mesh

// Called once for each datagram that arrives. The text is valid during the call only.
using DatagramHandler = std::function<void(Machine sender, std::string_view datagram)>;

// Not thread-safe: one thread at a time uses a transport, the one on which its handler is called.
class DatagramTransport {
 public:
  virtual ~DatagramTransport() = default;

  // Sends or loses the datagram; never waits. One that is larger than gossip::longest_datagram is dropped.
  virtual void send(Machine destination, std::string_view datagram) = 0;

  // Starts to receive. Called once, before the first datagram is expected.
  virtual void set_handler(DatagramHandler handler) = 0;
};

}  // namespace robinpin::transport
