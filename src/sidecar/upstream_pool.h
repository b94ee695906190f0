// One request over a connection of a small pool kept to one address: sent once, never again by itself; how
// far it came is a value. What comes back is checked by the id that it echoes before anything of it counts
// (docs/design/calls.md).
#pragma once

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "../net/connection.h"
#include "answer_stream.h"

namespace robinpin::sidecar {

using node::Sockets;
using tcp = asio::ip::tcp;

// A body that is still coming from its sender: it goes on piece by piece, at the pace of the slower side.
// What a server was given of it is gone, so no other can have it whole.
struct Source {
  static constexpr std::size_t kept =
      64 * 1024;  // longer ones go on as they come; up to it another server can be tried
  static constexpr std::size_t handed =
      8 * 1024;  // the same beside the server, where there is no other to try
  Source(asio::io_context& io, std::shared_ptr<Connection> c)
      : from(std::move(c)), rest(io, steady::time_point::max()) {}
  const std::shared_ptr<Connection> from;
  bool let_go = false;                // a part of it is gone
  bool failed = false;                // its sender has broken off, or stands still
  bool pouring = false;               // its bytes are being read; `rest` is cancelled when that is over
  std::function<void(double)> moved;  // told of each piece, in bytes
  std::function<void()> whole;        // told once, when all of it has come
  steady::duration waited{};          // for its sender
  asio::steady_timer rest;
};

struct OutgoingRequest {  // a request as it goes on
  std::string id, method, target;
  std::string headers;  // each with its line end; without those that the way itself writes
  std::shared_ptr<const std::string> body;
  std::shared_ptr<Source> source;                // in its place, for a long one
  std::size_t longest_answer = Connection::all;  // bytes of body; a longer one is a spoilt answer
};

// Before `written` it is known not to have run: an incomplete request is never begun.
enum class came { nowhere, connected, written, answered };

struct UpstreamResult {
  came how_far = came::nowhere;
  bool ran_out = false;  // its time was over
  bool broken = false;   // an answer that is none: cut off, spoilt, another's
  bool early = false;    // answered before it had all of a long body
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;  // without those of the connection
  std::string body;                                          // if it is held whole
  std::shared_ptr<node::MemoryBudget::Reservation> held;     // the body's
  std::shared_ptr<AnswerStream> stream;                      // in its place, for a long one
  micros lag = 0;                                            // in all, without what its sender took
  micros served = 0;                                         // since it was handed over whole
  std::string_view header(std::string_view name) const;
};

// A request under way, which may be called off.
struct InFlightRequest {
  bool off = false;
  std::function<void()> wrote;  // told once, as the request is handed to the machine whole
  std::shared_ptr<Connection> connection;
  std::shared_ptr<Source> source;  // that is being poured
  void call_off() {
    off = true;
    if (connection) connection->close();
    asio::error_code ignored;
    if (source && source->pouring && source->from->open()) source->from->socket.cancel(ignored);
  }
};

struct ConnectionOptions {
  steady::duration dial_limit = std::chrono::milliseconds(400);
  steady::duration idle_limit = std::chrono::seconds(25);
  std::size_t most_idle = 64;
  int user_timeout_ms =
      0;  // what the peer's machine does not acknowledge for so long ends the connection; 0: no limit
  std::size_t asks_first =
      0;  // before a body as long as that its peer is asked whether it wants it; 0: never
  bool strangers =
      false;  // answers of other requests may stand before ours: read past; a refusal may name no request
};

class UpstreamPool {
 public:
  UpstreamPool(asio::io_context& io, Sockets& sockets, tcp::endpoint to, ConnectionOptions manners)
      : io_(io),
        sockets_(sockets),
        to_(to),
        options_(manners),
        share_(std::make_shared<node::MemoryBudget::Share>(
            fmt::format("{}:{}", to.address().to_string(), to.port()))) {}
  // Errors are values in the fate. `until`: no byte is waited for longer.
  awaitable<UpstreamResult> carry(std::shared_ptr<InFlightRequest> in_flight,
                                  std::shared_ptr<const OutgoingRequest> request, steady::time_point until);
  void forget();                              // closes what is idle: the peer has failed
  void renew() { forget(), ++incarnation_; }  // another has the address: what is in use is not kept either
  bool evict();                               // the longest idle; false if there is none
  void sweep();
  const tcp::endpoint& to() const { return to_; }
  std::uint64_t dials = 0;

 private:
  // A connection and the last requests that it carried: an answer may come doubled and late, so one that is
  // sent again under its id goes over another.
  struct PooledConnection {
    std::shared_ptr<Connection> connection;
    std::uint64_t incarnation = 0;
    std::array<std::uint32_t, 8> ids{};
    std::size_t carried = 0;
    bool has(std::uint32_t id) const { return std::find(ids.begin(), ids.end(), id) != ids.end(); }
  };
  PooledConnection kept(std::uint32_t id);
  // Keeps a connection whose answer is done, if it is of further use.
  void keep(PooledConnection connection, std::uint32_t request, steady::duration idle_limit);
  // How long the peer keeps it idle, as its answer tells.
  steady::duration idle_limit_of(const codec::Message& answer) const;
  struct Poured {
    asio::error_code error;
    bool whole = false, early = false;  // early: its peer has said something before it had all
  };
  static awaitable<Poured> pour(std::shared_ptr<Connection> to, std::shared_ptr<InFlightRequest> in_flight,
                                std::shared_ptr<Source> source, bool framed);
  asio::io_context& io_;
  Sockets& sockets_;
  tcp::endpoint to_;
  ConnectionOptions options_;
  const std::shared_ptr<node::MemoryBudget::Share> share_;  // of its answers
  std::uint64_t incarnation_ = 0;
  std::deque<PooledConnection> idle_;
};

// Reads on, and drops, what is left of a message that has its answer already: a connection closed over unread
// bytes is reset, and the answer with it.
awaitable<void> read_out(Connection& c);

// Names of headers that concern one connection only.
bool of_connection(std::string_view name, std::string_view listed);

}  // namespace robinpin::sidecar
