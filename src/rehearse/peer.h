// HTTP as the kit's stand-ins speak it: one message after another on a connection, and a pool of connections
// for those who ask. What went wrong is a value.
#pragma once

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "../codec/http.h"
#include "robinpin/choice.h"

namespace robinpin::rehearse {

using asio::awaitable;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

class Peer : public std::enable_shared_from_this<Peer> {
 public:
  Peer(tcp::socket s, http_parser_type kind) : socket(std::move(s)), in(kind, {16 * 1024, 8 << 20}) {}
  // Reads until a message is whole; anything but `complete` is the connection's end.
  awaitable<codec::reading> read();
  awaitable<bool> write(std::string text);  // all of it, or false
  bool gone();                              // the other side has closed
  void reset();                             // closes so that the other side is told by a reset
  tcp::socket socket;
  codec::Message in;
};

enum class came { answered, unreachable, broken, late };

struct Heard {
  came how = came::unreachable;
  int status = 0;
  micros come_back = 0;
  std::string body;
  bool reused = false;  // over a connection that had been used before
};

// Asks servers over kept connections, one request at a time on each.
class Asker {
 public:
  explicit Asker(asio::io_context& io) : io_(io) {}
  // `sent` is called when the last byte has been written to a connection; may be called twice, where a kept
  // one was closed as the request crossed it and it is sent once more on a new one.
  awaitable<Heard> ask(tcp::endpoint to, std::string request, steady::time_point until,
                       std::function<void()> sent);
  void forget(tcp::endpoint at) { idle_.erase(at); }
  std::size_t dialled = 0;

 private:
  awaitable<Heard> once(tcp::endpoint to, const std::string& request, steady::time_point until,
                        const std::function<void()>& sent, bool fresh);
  asio::io_context& io_;
  std::map<tcp::endpoint, std::deque<std::pair<steady::time_point, std::shared_ptr<Peer>>>> idle_;
};

}  // namespace robinpin::rehearse
