// A TCP connection with its message buffer, its time limit and its place in the budget of descriptors.
#pragma once

#include <asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "../codec/http.h"
#include "clock.h"
#include "draining_sockets.h"
#include "memory_budget.h"
#include "socket_buffers.h"

namespace robinpin::node {

using namespace codec;

using asio::awaitable;
using tcp = asio::ip::tcp;

// How long bytes had waited when they were read, by the kernel's stamps: against the least of the last reads,
// since the clock of the stamps need not be the one that the process is shown, and either may be set.
class Waits {
 public:
  std::chrono::nanoseconds of(std::chrono::nanoseconds apparent);

 private:
  static constexpr auto none = std::chrono::nanoseconds::max();
  std::chrono::nanoseconds least_ = none, least_before_ = none;
  int reads_ = 0;
};

class Connection;

// How many descriptors the node's sockets may take, and the budget of the memory that they hold. Who is out
// of room closes what is idle first.
class Sockets {
 public:
  explicit Sockets(int most, std::shared_ptr<MemoryBudget> memory = std::make_shared<MemoryBudget>())
      : most_(most), registry_(std::make_shared<Registry>(std::move(memory))) {}
  MemoryBudget& memory() const { return *registry_->memory; }
  const std::shared_ptr<MemoryBudget>& shared_memory() const { return registry_->memory; }
  // True if one more may be opened. Else what is idle has been closed, and it was not enough.
  bool ensure_capacity();
  // The same for a connection that was accepted. These never take the last quarter: requests that have come
  // need connections to servers.
  bool ensure_capacity_to_accept();
  bool full() const { return open() >= most_; }
  int open() const { return int(registry_->connections.size() + registry_->draining.size()); }
  std::uint64_t refused() const { return refused_; }  // calls of these that found no room
  // Connections were refused a moment ago: who has had an answer makes room for others.
  bool is_crowded() const { return refused_ > 0 && steady::now() < refused_at_ + std::chrono::seconds(1); }
  // Bytes that have arrived at all connections and are not read yet. Asks the kernel for each of them.
  std::size_t unread_bytes() const;
  // Bytes that were written to all connections and that their peers have not acknowledged. Likewise.
  std::size_t unsent_bytes() const;
  // To be called now and then: closes sockets whose peers have taken what was written to them.
  void sweep() { registry_->draining.sweep(steady::now()); }
  int most() const { return most_; }
  void most(int n) { most_ = n; }
  Waits waits;
  // Closes the longest idle socket of a peer, if there is one.
  void evict_by(std::function<bool()> evict) { evictors_.push_back(std::move(evict)); }

 private:
  friend class Connection;
  // Shared with the connections: suspended coroutines may keep them beyond the end of this.
  struct Registry {
    explicit Registry(std::shared_ptr<MemoryBudget> budget) : memory(std::move(budget)), draining(memory) {}
    std::list<Connection*> connections;
    std::list<Connection*> accepted;  // those at rest are closed for want of descriptors, the oldest first
    const std::shared_ptr<MemoryBudget> memory;
    DrainingSockets draining;
  };
  // Each closes one. False: there is none.
  bool close_accepted();
  bool close_resting();
  bool close_stalled();

  void refuse();

  int most_;
  std::uint64_t refused_ = 0;
  steady::time_point refused_at_{};   // the last time
  steady::time_point next_search_{};  // for one to close: none was found a moment before
  const std::shared_ptr<Registry> registry_;
  std::vector<std::function<bool()>> evictors_;
};

class Connection : public std::enable_shared_from_this<Connection>, private MemoryBudget::Consumer {
 public:
  // What becomes of bytes that the peer has not taken as the connection is closed.
  enum class UnsentOnClose {
    left_to_kernel,  // which keeps them as long as it sees fit
    dropped,         // the connection is reset
    drained,         // they are waited for while the peer takes them, then the connection is reset
  };

  // `share`: of what the answers of the server hold that it connects to, if they are bounded together.
  Connection(tcp::socket socket, Sockets& sockets, http_parser_type kind, Limits limits = {},
             std::shared_ptr<MemoryBudget::Share> share = nullptr);
  ~Connection() override { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void close();
  void abort();  // so that the peer can tell that what it was sent is not whole
  bool open() const { return socket.is_open(); }
  // Closes the connection at that time unless the limit is moved or lifted before.
  void limit(steady::time_point at);
  void no_limit();
  bool ran_out() const { return ran_out_; }
  // Whether the peer has neither sent anything nor closed: only then an idle connection is of use.
  bool quiet() const;
  bool peer_gone();
  std::size_t unread_bytes() const;  // have arrived, as the kernel tells
  std::size_t unsent_bytes() const;  // were written, and the peer has not acknowledged them; likewise
  bool still();                      // nothing to read, and not closed
  bool rests() const { return phase_ == Phase::resting && quiet(); }  // between requests, or before the first
  // Since when it has got no further in the midst of a message, if it may be closed for that.
  std::optional<steady::time_point> stalled_since() const;
  // As connecting took: the kernel's own measure has the peer's delayed acknowledgements in it.
  steady::duration round_trip() const { return round_trip_; }

  awaitable<asio::error_code> connect(tcp::endpoint to);
  // This connection was accepted from a peer, and the acceptor has bounded its buffers: where they are
  // widened they count as memory of it, and it may be closed for want of descriptors while it rests or
  // stalls.
  void set_accepted();
  // What is written here waits in a narrow buffer of the kernel, or in a wide one that memory is reserved
  // for.
  void bound_sending(UnsentOnClose on_close);
  // What is written to this connection comes from there, piece by piece: whoever closes this for want of
  // memory closes both. Null: no more.
  void set_streamed_from(std::shared_ptr<Connection> source) { streamed_from_ = std::move(source); }
  // Holds this until the present answer is written, or the connection is evicted.
  void hold(std::shared_ptr<MemoryBudget::Reservation> answer) { answer_memory_ = std::move(answer); }
  // Writes all of it; `written` tells how much went out, to the kernel.
  awaitable<asio::error_code> write(std::string_view head, std::string_view body, std::size_t& written);
  static constexpr std::size_t all = ~std::size_t(0);
  // Reads until a message is whole, or known to be `longer` than what is kept of a body, or the connection
  // ends
  // (`error`). Who waits for the word to go on is given it. `bytes_a_second`: the limit that was set moves on
  // as the body comes at that pace. `patience`: a body without a told length is taken for longer after so
  // much time.
  awaitable<reading> read(asio::error_code& error, std::size_t kept = all, std::size_t bytes_a_second = 0,
                          steady::duration patience = {});
  // Reads once, what comes next of a message that has begun. `error` is no_buffer_space if the budget has no
  // room for it.
  awaitable<reading> more(asio::error_code& error);
  // Drops what has come of a message that is not read on; the connection can only be written to from now on.
  void discard();
  // Drops the message that was read and looks at what came behind it.
  reading next();
  // Counts a read, or a request that is begun; true now and then if nothing had to be waited for meanwhile:
  // others on this loop are to go first, by yield().
  bool is_turn_over();
  awaitable<void> yield();

  // Tells the peer that no more comes, and drops what it still sends until it ends or the time is over: a
  // connection closed over unread bytes is reset, and what was written last goes with it.
  awaitable<void> see_out(steady::duration most);

  // When the last bytes that were read reached the machine, where the kernel tells; else when they were read.
  steady::time_point arrived() const { return arrived_; }
  // When the first bytes of the present message reached the machine, likewise.
  steady::time_point message_arrived() const { return message_arrived_; }

  tcp::socket socket;
  Message in;
  steady::time_point idle_since{};

 private:
  enum class Phase { resting, reading, working, writing };
  std::size_t evictable_bytes(const MemoryBudget::Shortage& shortage) const override;
  steady::time_point in_use_since() const override { return phase_since_; }
  void evict() override;
  void reclaim() override;
  bool may_be_closed() const;
  void unregister();
  void enter(Phase phase);
  bool reserve_capacity();
  void record_memory();
  // What `footprint` bytes of a message are held for, and how many the kernel may hold besides.
  MemoryBudget::Use memory_use(std::size_t footprint) const;
  std::size_t unread_allowance(std::size_t footprint) const;
  void widen_receiving(std::size_t footprint);
  void widen_sending();
  awaitable<asio::error_code> write_in_records(std::string_view head, std::string_view body,
                                               std::size_t& written);
  void drain();
  void note_received(std::size_t bytes);
  int handle() const;

  enum class peeked { nothing, bytes, end };
  peeked peek() const;
  awaitable<std::size_t> receive(char* to, std::size_t size, asio::error_code& error);
  Sockets& sockets_;
  const std::shared_ptr<Sockets::Registry> registry_;
  const bool is_peers_request_;  // requests arrive here; else answers
  MemoryBudget::Reservation memory_;
  MemoryBudget::Reservation send_memory_;  // of a wide send buffer
  std::shared_ptr<MemoryBudget::Reservation> answer_memory_;
  MemoryBudget::Consumers::iterator consumer_;
  std::list<Connection*>::iterator connection_;
  std::optional<std::list<Connection*>::iterator> accepted_;
  Phase phase_ = Phase::resting;
  steady::time_point phase_since_{};     // or, while it writes, since its peer has last taken something
  steady::time_point received_since_{};  // since when hardly anything has come
  std::size_t received_ = 0;             // bytes since then
  int steps_ = 0;                        // reads and requests since one was waited for
  std::shared_ptr<Connection> streamed_from_;
  UnsentOnClose unsent_on_close_ = UnsentOnClose::left_to_kernel;
  bool is_accepted_ = false, is_sending_bounded_ = false, receives_widely_ = false, is_receiving_ = false;
  asio::steady_timer timer_;
  std::uint64_t timer_generation_ = 0;
  bool counted_ = true, ran_out_ = false;
  steady::time_point arrived_{}, message_arrived_{}, limit_{};
  steady::duration round_trip_{};
};

// Bounds what the kernel holds of each connection that is accepted there, in both directions.
void bound_buffers(tcp::acceptor& acceptor);

// Has the kernel stamp what reaches this socket, or those accepted from it.
void stamp_arrivals(int socket);

// "address:port", numeric; throws read::malformed with the text if it is none.
tcp::endpoint endpoint_of(const std::string& text);

}  // namespace robinpin::node
