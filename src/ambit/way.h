// One request over a connection of a small pool kept to one address: sent once, never again by itself; how far it came is
// a value. What comes back is checked by the id that it echoes before anything of it counts.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../net/connection.h"

namespace robinpin::ambit {

using asio::awaitable;
using node::Connection;
using node::Sockets;
using node::steady;
using tcp = asio::ip::tcp;

struct Parcel {  // a request as it goes on
  std::string id, method, target;
  std::string headers;  // each with its line end; without those that the way itself writes
  std::shared_ptr<const std::string> body;
};

// Before `written` it is known not to have run: an incomplete request is never begun.
enum class came { nowhere, connected, written, answered };

struct Fate {
  came how_far = came::nowhere;
  bool ran_out = false;    // its time was over
  bool broken = false;     // an answer that is none: cut off, spoilt, another's
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  // without those of the connection
  std::string body;
  micros lag = 0;
  std::string_view header(std::string_view name) const;
};

// A request under way, which may be called off.
struct Errand {
  bool off = false;
  std::function<void()> wrote;  // told once, as the request is handed to the machine whole
  std::shared_ptr<Connection> connection;
  void call_off() {
    off = true;
    if (connection) connection->close();
  }
};

struct Manners {
  steady::duration dial_limit = std::chrono::milliseconds(400);
  steady::duration idle_limit = std::chrono::seconds(25);
  std::size_t most_idle = 64;
  int user_timeout_ms = 0;  // what the peer's machine does not acknowledge for so long ends the connection; 0: no limit
  std::size_t asks_first = 0;  // before a body as long as that its peer is asked whether it wants it; 0: never
  bool strangers = false;   // answers of other requests may stand before ours: read past
};

class Way {
 public:
  Way(asio::io_context& io, Sockets& sockets, tcp::endpoint to, Manners manners) : io_(io), sockets_(sockets), to_(to), manners_(manners) {}
  // Errors are values in the fate. `until`: no byte is waited for longer.
  awaitable<Fate> carry(std::shared_ptr<Errand> errand, std::shared_ptr<const Parcel> parcel, steady::time_point until);
  void forget();  // closes what is idle: the peer has failed, or is another now
  bool evict();   // the longest idle; false if there is none
  void sweep();
  const tcp::endpoint& to() const { return to_; }
  std::uint64_t dials = 0;

 private:
  std::shared_ptr<Connection> kept();
  asio::io_context& io_;
  Sockets& sockets_;
  tcp::endpoint to_;
  Manners manners_;
  std::deque<std::shared_ptr<Connection>> idle_;
};

// Names of headers that concern one connection only.
bool of_connection(std::string_view name, std::string_view listed);

}  // namespace robinpin::ambit
