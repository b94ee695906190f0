// The servers as peers: where each listens, the connections kept to it, and one posting over one of them.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "../log/log.h"
#include "../read/house.h"
#include "connection.h"
#include "counters.h"

namespace robinpin::node {

// What of a client's txn goes on unchanged.
struct Outbound {
  std::string start;    // method, target and version
  std::string headers;  // each with its line end
  std::string body;
  std::shared_ptr<Connection>
      source;         // of a body too long to be kept: the client's connection, which it comes from
  bool once = false;  // it must not run twice: what is reset before its last byte is out can be posted again
};

// How far a posting came. Only before its last byte is written is it known never to have run.
enum class how_far { nowhere, connected, written, answered };

struct Answer {
  how_far came = how_far::nowhere;
  ending how = ending::unreachable;
  micros lag = 0;
  std::string type, body;  // of a 200
  bool longer = false;     // its body has only begun: the rest is to come on the call's connection
  bool reported = false;
  Report report;
};

// A posting on its way, which may be withdrawn.
struct Call {
  bool withdrawn = false;
  bool let_go = false;         // of a long body, what a server would need to begin anew
  bool source_failed = false;  // the client broke off its long body
  std::string server;
  std::function<void()> moved;  // a long body has come on
  std::shared_ptr<Connection> connection;
  Answer answer;
  void withdraw() {
    withdrawn = true;
    if (connection) connection->close();
  }
};

// Longer bodies are not kept: they are passed on as they come.
constexpr std::size_t most_kept = 64 * 1024;
// A body without a told length is passed on after so long: its first bytes may be what the client times.
constexpr steady::duration open_ended_kept = std::chrono::milliseconds(20);
// Without any progress for so long a transfer ends.
constexpr steady::duration stall_limit = std::chrono::seconds(8);
// Pieces of a body that trickle in must not hold a transfer for ever: beside the time for one, what it has
// been waited for is at most what it takes at that pace.
constexpr std::size_t least_pace = 4 * 1024;  // bytes a second
inline bool too_slow(steady::duration waited, std::uint64_t came) {
  return waited > stall_limit + std::chrono::microseconds(came * 1'000'000 / least_pace);
}
// Before a part of a body whose length was not told.
std::string chunk_head(std::size_t size);

class Servers {
 public:
  Servers(asio::io_context& io, const Clock& clock, Sockets& sockets, Counters& counters,
          const read::House& house, std::size_t most_answer = 64 * 1024 * 1024);

  // An address or a start that is new makes what is kept to the old one worthless.
  void told(const std::string& uid, tcp::endpoint at, micros started, bool gone);
  void only(const std::unordered_set<std::string>& told);  // the whole list: all others are gone
  // Posts once; the outcome and how far it came are values in `call->answer`. Nothing is sent a second time.
  awaitable<void> post(std::shared_ptr<Call> call, std::string uid, std::shared_ptr<const Outbound> outbound,
                       micros expiry);
  // A long answer has been read to its end: the connection may serve again.
  void done(Call& call);
  awaitable<void> sweep();  // runs as long as the node
  void when_unreachable(std::function<void()> then) { unreachable_ = std::move(then); }
  bool any() const { return !peers_.empty(); }

 private:
  struct Peer {
    tcp::endpoint at;
    micros started = 0;
    std::deque<std::shared_ptr<Connection>> idle;  // the longest idle first
    log::Trouble dialling;
  };
  void dialled(const std::string& uid, const Connection& c, asio::error_code failed);
  std::shared_ptr<Connection> kept(Peer& peer);
  void keep(const std::string& uid, std::shared_ptr<Connection> connection);
  bool evict();
  awaitable<void> exchange(Call& call, const std::string& uid, const Outbound& outbound, micros expiry);
  awaitable<asio::error_code> send(Connection& c, const Outbound& outbound, std::string_view head,
                                   std::size_t& written);
  awaitable<asio::error_code> send_long(Call& call, const Outbound& outbound, std::string_view head,
                                        micros left);
  awaitable<asio::error_code> send_last(Connection& c, std::string_view last, std::size_t& written);
  void read_answer(Call& call, const Message& m) const;

  asio::io_context& io_;
  const Clock& clock_;
  Sockets& sockets_;
  Counters& counters_;
  const read::House& house_;
  std::chrono::microseconds keep_for() const { return std::chrono::microseconds(house_.keep_idle / 2); }
  std::size_t most_answer_;  // bytes of a body
  std::unordered_map<std::string, Peer> peers_;
  std::function<void()> unreachable_;
};

// The outcome of a posting that got no answer.
ending ending_of(how_far came, bool withdrawn, bool ran_out);
// A load report as it stands in an answer's header: name=value, name=value.
bool read_report(std::string_view text, const std::vector<std::string>& figures, Report& report);

}  // namespace robinpin::node
