// The ways between processes, and how they break: a relay for each ordered pair, through which one process
// calls another. What goes one way can be lost, slow, dribbled, cut off at a byte or brought twice, and the
// other way be whole.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::rehearse {

using asio::awaitable;
using tcp = asio::ip::tcp;

// One direction between two processes, whoever of the two opened the connection.
struct Way {
  bool lost = false;           // what is sent goes nowhere, and nobody is told
  bool refused = false;        // connections are reset, and new ones too
  micros delay = 0;            // each piece waits so long
  std::size_t dribble = 0;     // bytes at once, 2 ms apart; 0: all
  long long reset_after = -1;  // bytes until a reset; -1: none
  bool twice = false;          // a call comes a second time, on a connection of its own
  std::uint64_t hurt = 0;      // pieces that a fault has met: none, and it was in vain
  bool whole() const { return !lost && !refused && delay == 0 && dribble == 0 && reset_after < 0 && !twice; }
};

class Ways {
 public:
  // `from` calls `to`, which listens there, by the address that this returns. Throws std::system_error if
  // none can be had.
  tcp::endpoint open(int from, int to, tcp::endpoint listens, asio::ip::address at);
  explicit Ways(asio::io_context& io) : io_(io) {}
  ~Ways();
  Ways(const Ways&) = delete;
  Ways& operator=(const Ways&) = delete;

  Way& way(int from, int to) { return ways_[{from, to}]; }
  void heal();  // all of them
  // Who is connected over this way is cut off now.
  void drop(int from, int to);
  std::uint64_t carried() const { return carried_; }  // bytes

 private:
  struct Relay;
  struct Line;
  awaitable<void> accept(std::shared_ptr<Relay> relay);
  awaitable<void> carry(std::shared_ptr<Relay> relay, tcp::socket caller);
  awaitable<void> pump(std::shared_ptr<Line> line, tcp::socket& from, tcp::socket& to, Way& way, bool call);
  awaitable<void> second(std::shared_ptr<Line> line);
  asio::io_context& io_;
  std::map<std::pair<int, int>, Way> ways_;
  std::vector<std::shared_ptr<Relay>> relays_;
  std::uint64_t carried_ = 0;
};

}  // namespace robinpin::rehearse
