// robinpin: one node. Wires the parts together and heeds the signals.
#include <asio.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>

#include "boot.h"
#include "clients.h"
#include "list.h"
#include "log.h"

namespace robinpin::node {
namespace {

class Node {
 public:
  explicit Node(Boot b)
      : boot_(std::move(b)),
        sockets_(boot_.most_sockets),
        desk_(io_, clock_, counters_, boot_.house.terms, boot_.seed),
        servers_(io_, clock_, sockets_, counters_, boot_.house),
        list_(io_, sockets_, counters_, desk_, servers_, boot_.discovery),
        clients_(io_, clock_, sockets_, counters_, desk_, servers_, boot_.house),
        ends_(io_, SIGTERM, SIGINT),
        asks_(io_, SIGUSR1) {}

  void run() {
    list_.told(boot_.known, false);
    clients_.listen(boot_.listen);
    spawn(desk_.tick());
    spawn(servers_.sweep());
    spawn(list_.follow());
    spawn(clients_.accept());
    spawn(await_end());
    spawn(print_when_asked());
    clients_.ready = true;
    log::info("{}: tier {} of {}, serves at {}:{}, {} servers known, {} sockets", boot_.name,
              boot_.house.terms.tier, boot_.house.terms.tiers, boot_.listen.address().to_string(),
              boot_.listen.port(), boot_.known.entries.size(), boot_.most_sockets);
    io_.run();
    log::info("{}: ended; counters:\n{}", boot_.name, counters_.text());
  }

 private:
  // What runs as long as the node: a failure that gets this far ends it, and is named.
  void spawn(awaitable<void> part) {
    asio::co_spawn(io_, std::move(part), [](std::exception_ptr failure) {
      if (failure) std::rethrow_exception(failure);
    });
  }

  awaitable<void> await_end() {
    co_await ends_.async_wait(asio::use_awaitable);
    log::info("{}: told to end", boot_.name);
    co_await clients_.drain();
    io_.stop();
  }

  awaitable<void> print_when_asked() {
    for (;;) {
      co_await asks_.async_wait(asio::use_awaitable);
      log::info("{}: counters:\n{}", boot_.name, counters_.text());
    }
  }

  Boot boot_;
  asio::io_context io_{1};
  Clock clock_;
  Counters counters_;
  Sockets sockets_;
  Desk desk_;
  Servers servers_;
  List list_;
  Clients clients_;
  asio::signal_set ends_, asks_;
};

}  // namespace
}  // namespace robinpin::node

int main() {
  using namespace robinpin::node;
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Node node(boot([](const char* name) -> const char* { return std::getenv(name); }));
    node.run();
    return 0;
  } catch (const std::exception& failure) {
    log::error("{}", failure.what());
    return 1;
  }
}
