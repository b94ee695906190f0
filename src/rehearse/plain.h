// A node with a plain policy in the daemon's place, to compare with: it keeps the rules, and knows nothing of
// the boxes but the list. In the kit's own process.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "../model/chance.h"
#include "peer.h"

namespace robinpin::rehearse {

class PlainNode {
 public:
  struct Target {
    std::string name;
    tcp::endpoint at;
  };
  struct World {
    std::function<std::vector<Target>()> boxes;  // as its list has them now
    int most_postings = 1;
    std::function<repeats(const std::string& scheme)> kind;
  };
  // Picks at random, or the box that it has fewest postings out to. Listens until it is destroyed.
  PlainNode(asio::io_context& io, tcp::endpoint listen, bool at_random, std::uint64_t seed, World world);
  ~PlainNode();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace robinpin::rehearse
