// The contract of transport among the mesh's own processes: datagrams between machines, which may be lost,
// late, doubled or out of order, and never come from elsewhere than they say.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "../rumour/rumour.h"
#include "../trove/error.h"

namespace robinpin::span {

using rumour::Machine;
using Heard = std::function<void(Machine from, std::string_view datagram)>;

class Span {
 public:
  virtual ~Span() = default;
  // Sent or lost; never waits. Larger ones than rumour::longest_datagram are dropped.
  virtual void send(Machine to, std::string_view datagram) = 0;
  virtual void listen(Heard heard) = 0;
};

std::string text_of(Machine m);
// Of "10.1.0.46" or "10.1.0.46:8620"; 0 if it is none.
Machine machine_of(std::string_view text);

}  // namespace robinpin::span
