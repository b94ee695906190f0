// What the node is told at its start: the one place where EDGE_* and the configuration are read, checked and
// given defaults.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "../read/house.h"
#include "list.h"

namespace robinpin::node {

// The paths of a file's keys; of a list's entries those that all of them have. Without what changes at each
// start.
using Keys = std::set<std::string>;
Keys keys_of(const std::string& text);

struct Boot {
  std::string name;
  tcp::endpoint listen, discovery;
  std::optional<tcp::endpoint> control;
  int inherited = -1;  // the descriptor of a listening socket that the platform holds
  std::uint32_t seed = 0;
  int most_sockets = 0;  // descriptors for sockets, what the process needs besides taken off
  int kept_back = 0;     // what was
  std::string folder;    // that processes of this node share, where they are replaced while it serves
  // Bytes of an answer's body, which streams: what is said to be longer is spoilt.
  std::size_t most_answer = 64 * 1024 * 1024;
  News known;
  read::House house;
  Keys keys;
};

// Of so many descriptors, those that may go to sockets of peers.
int sockets_for_peers(int most);

using environment = std::function<const char*(const char*)>;

// The house's terms alone, of the same JSON: what a file of ours is checked against.
read::House house_of(const std::string& text);
// The bytes of a file. Throws std::runtime_error, naming what the file is for.
std::string bytes_of(const std::string& path, const std::string& what);

// `text` is the JSON of EDGE_CONFIG. Throws std::runtime_error with one line that names the faulty key.
Boot boot_from(const std::string& text, const environment& variable);
// Reads the file that EDGE_CONFIG names, or the other one where it is not set.
Boot boot(const environment& variable, const std::string& otherwise = "");
// Reads it again while the node runs. What the environment said of discovery was said at the start: now the
// file's address holds. Every key that `first` had (keys_of the file at start) must be there again: a file
// that lost one is not what its writer meant.
Boot boot_again(const environment& variable, const std::string& otherwise = "", const Keys& first = {});

}  // namespace robinpin::node
