// Calls to one other process, over kept connections: bounded, with a time limit each. It sends once and never
// again by itself.
#pragma once

#include <deque>
#include <memory>
#include <string>

#include "../net/connection.h"

namespace robinpin::peer {

using node::awaitable;
using node::Connection;
using node::Sockets;
using node::steady;
using node::tcp;

struct Who {  // says each call
  std::string fleet, node, incarnation;
};

enum class came { answered, unreachable, late, broken, crowded };
const char* word(came c);

struct Answer {
  came how = came::unreachable;  // late, broken: it may have been acted upon
  int status = 0;
  std::string body;
};

class Caller : public std::enable_shared_from_this<Caller> {
 public:
  static constexpr int most_at_once = 8;            // connections to one process
  static constexpr std::size_t most_waiting = 128;  // calls beyond those; further ones are crowded out

  Caller(asio::io_context& io, Sockets& sockets, Who who, tcp::endpoint to)
      : io_(io), sockets_(sockets), who_(std::move(who)), to_(to) {}
  awaitable<Answer> call(std::string path, std::string body, steady::time_point until);
  bool evict();  // closes the longest idle connection, if there is one
  tcp::endpoint to() const { return to_; }

 private:
  awaitable<Answer> once(const std::string& path, const std::string& body, steady::time_point until);
  asio::io_context& io_;
  Sockets& sockets_;
  const Who who_;
  const tcp::endpoint to_;
  int out_ = 0;
  std::deque<std::shared_ptr<asio::steady_timer>> waiting_;
  std::deque<std::shared_ptr<Connection>> idle_;
};

}  // namespace robinpin::peer
