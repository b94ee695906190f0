// Machine addresses as text.
#pragma once

#include <string>
#include <string_view>

#include "../gossip/gossip.h"

namespace robinpin::transport {

using gossip::Machine;

// "10.1.0.46".
std::string format_address(Machine machine);

// Of "10.1.0.46" or "10.1.0.46:8620", whose port is ignored. 0: the text is no IPv4 address.
Machine parse_address(std::string_view text);

}  // namespace robinpin::transport
