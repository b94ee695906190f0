// What the kernel holds of what is written to peers that do not take it, and what becomes of it at the close.
#include <asio.hpp>

#include <array>
#include <memory>
#include <string>
#include <utility>

#include "../../src/net/connection.h"
#include "../../src/rpc/server.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace std::chrono_literals;
using asio::awaitable;
using node::Connection;
using node::SocketBuffers;
using tcp = asio::ip::tcp;

namespace {

// An acceptor as the ports of the mesh have, and a peer that reads only when it is told to.
class Pair {
 public:
  explicit Pair(std::size_t memory_bytes)
      : memory(std::make_shared<node::MemoryBudget>(memory_bytes)),
        sockets(10, memory),
        acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}),
        peer_(io) {
    node::bound_buffers(acceptor_);
    acceptor_.non_blocking(true);
    asio::co_spawn(io,
                   rpc::accept(acceptor_, sockets, {},
                               [this](std::shared_ptr<Connection> accepted) -> awaitable<void> {
                                 connection = std::move(accepted);
                                 co_return;
                               }),
                   asio::detached);
    peer_.connect(acceptor_.local_endpoint());
    run_until([this] { return connection != nullptr; });
  }
  void write(std::size_t bytes) {
    asio::co_spawn(
        io,
        [this, bytes]() -> awaitable<void> {
          const std::string text(bytes, 'x');
          std::size_t written = 0;
          const auto writing = connection;
          error = co_await writing->write({}, text, written);
          is_written = true;
        },
        asio::detached);
  }
  // The peer sends as much as the kernel takes; how much that was.
  std::size_t send_all_the_kernel_takes() {
    const std::string text(65'536, 'x');
    peer_.non_blocking(true);
    std::size_t all = 0;
    for (asio::error_code full; !full;) all += peer_.write_some(asio::buffer(text), full);
    return all;
  }
  // What the peer reads until nothing comes for a while.
  std::size_t read_all() {
    std::array<char, 65'536> bytes{};
    peer_.non_blocking(true);
    std::size_t all = 0;
    for (auto idle_since = node::steady::now(); node::steady::now() < idle_since + 200ms;) {
      asio::error_code nothing;
      const std::size_t n = peer_.read_some(asio::buffer(bytes), nothing);
      all += n;
      if (n > 0) idle_since = node::steady::now();
      if (nothing && nothing != asio::error::would_block) break;
      io.run_for(1ms);
    }
    return all;
  }
  template <typename Condition>
  bool run_until(const Condition& condition) {
    for (const auto late = node::steady::now() + 20s; !condition() && node::steady::now() < late;) {
      io.run_one_for(20ms);
      sockets.sweep();
    }
    return condition();
  }
  std::size_t unsent() const { return node::unsent_bytes(connection->socket.native_handle()); }

  asio::io_context io;
  const std::shared_ptr<node::MemoryBudget> memory;
  node::Sockets sockets;
  std::shared_ptr<Connection> connection;
  asio::error_code error;
  bool is_written = false;

 private:
  tcp::acceptor acceptor_;
  tcp::socket peer_;
};

constexpr std::size_t megabyte = 1024 * 1024;

}  // namespace

TEST_GROUP(SocketBuffers){};

// Guards against a peer that sends as fast as it is read, and everybody else waits for it to stop.
TEST(SocketBuffers, others_have_a_turn_while_a_peer_has_more_to_be_read) {
  Pair pair(10 * megabyte);
  constexpr std::size_t most_at_a_turn = 32 * 1024;
  CHECK(pair.send_all_the_kernel_takes() > 2 * most_at_a_turn);
  std::size_t unread_then = 0;
  asio::co_spawn(pair.io, pair.connection->see_out(20s), asio::detached);
  asio::post(pair.io, [&] { unread_then = pair.connection->unread_bytes(); });
  const std::size_t unread_before = pair.connection->unread_bytes();
  CHECK(pair.run_until([&] { return unread_then > 0; }));
  CHECK(unread_then + most_at_a_turn >= unread_before);
}

// Guards against megabytes that the kernel takes for a peer that reads nothing.
TEST(SocketBuffers, what_waits_for_a_peer_is_bounded_narrowly_or_as_memory_is_reserved_for_it) {
  for (const bool has_memory : {false, true}) {
    Pair pair(has_memory ? 10 * megabyte : 10'000);
    pair.write(8 * megabyte);
    pair.io.run_for(300ms);
    const std::size_t reserved = pair.memory->in_use();
    CHECK(pair.unsent() > 0);
    CHECK(pair.unsent() <= SocketBuffers::narrow_send + SocketBuffers::narrow_record + reserved);
    CHECK_EQUAL(has_memory, reserved > 0);
    CHECK_EQUAL(8 * megabyte, pair.read_all());
    CHECK(pair.run_until([&] { return pair.is_written; }));
    CHECK_FALSE(pair.error);
    pair.connection->next();
    CHECK_EQUAL(0, pair.memory->in_use());
  }
}

// Guards against a close that leaves bytes in the kernel for minutes, and one that takes them from a slow
// peer.
TEST(SocketBuffers, what_is_closed_over_unsent_bytes_is_reset_unless_its_peer_takes_them) {
  for (const bool reads : {true, false}) {
    Pair pair(10 * megabyte);
    std::size_t before = 0;
    // As much as the kernel takes at once.
    do {
      before = pair.unsent();
      pair.is_written = false;
      pair.write(8'000);
      pair.io.run_for(10ms);
    } while (pair.is_written && pair.unsent() == 0);
    CHECK(pair.run_until([&] { return pair.is_written; }));
    CHECK(pair.unsent() > before);
    pair.connection->close();
    CHECK_EQUAL(1, pair.sockets.open());
    if (reads) CHECK(pair.read_all() > 0);
    CHECK(pair.run_until([&] { return pair.sockets.open() == 0; }));
    CHECK_EQUAL(0, pair.memory->in_use());
  }
}

// Guards against descriptors that are all with peers that take nothing.
TEST(SocketBuffers, who_takes_nothing_gives_its_descriptor_to_who_comes) {
  Pair pair(10 * megabyte);
  pair.sockets.most(1);
  pair.write(8 * megabyte);
  pair.io.run_for(100ms);
  CHECK_FALSE(pair.sockets.ensure_capacity());
  pair.io.run_for(node::MemoryBudget::least_age_to_evict);
  CHECK(pair.sockets.ensure_capacity());
  CHECK_FALSE(pair.connection->open());
}
