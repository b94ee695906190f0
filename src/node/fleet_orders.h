// `robinpin fleet ...`: an operator's orders to a running node of the fleet, and what it answers as a person
// reads it.
#pragma once

#include <string>
#include <vector>

namespace robinpin::node {

struct FleetOrder {
  std::string config, at;  // a file of ours, or the address of a node's fleet listener
  std::string what;        // init, status, get, set, replace, add, remove
  std::string name, text, add, remove;
  long long version = -1;  // set: on this version; below zero: on what stands
  bool json = false, force = false;
};

// Exit codes: 0 done; 1 refused, a fault, or no majority; 2 misused; 3 not known whether it was done.
int run(const FleetOrder& order);

}  // namespace robinpin::node
