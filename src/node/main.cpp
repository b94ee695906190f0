// robinpin: one node. Wires the parts together and heeds the signals.
#include <fcntl.h>

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

const char* variable_of(const char* name) { return std::getenv(name); }

class Node {
 public:
  explicit Node(Boot b)
      : boot_(std::move(b)),
        sockets_(boot_.most_sockets),
        desk_(io_, clock_, counters_, boot_.house.terms, boot_.seed),
        servers_(io_, clock_, sockets_, counters_, boot_.house, boot_.most_answer),
        list_(io_, sockets_, counters_, desk_, servers_, boot_.discovery, std::chrono::seconds(2),
              std::chrono::microseconds(boot_.house.terms.ask_every)),
        clients_(io_, clock_, sockets_, counters_, desk_, servers_, boot_.house),
        ends_(io_, SIGTERM, SIGINT),
        asks_(io_, SIGUSR1),
        renewals_(io_, SIGHUP) {}

  void run() {
    list_.told(boot_.known, false);
    servers_.when_unreachable([this] { list_.doubt(); });
    clients_.listen(boot_.listen);
    spawn([this] { return desk_.tick(); });
    spawn([this] { return servers_.sweep(); });
    spawn([this] { return list_.follow(); });
    spawn([this] { return clients_.accept(); });
    spawn([this] { return await_end(); });
    spawn([this] { return print_when_asked(); });
    spawn([this] { return read_when_renewed(); });
    log::info("{}: tier {} of {}, serves at {}:{}, {} servers known, {} sockets", boot_.name,
              boot_.house.terms.tier, boot_.house.terms.tiers, boot_.listen.address().to_string(),
              boot_.listen.port(), boot_.known.entries.size(), boot_.most_sockets);
    io_.run();
    log::info("{}: ended; counters:\n{}", boot_.name, counters_.text());
  }

 private:
  // What runs as long as the node begins anew after a failure: one part's must not take the others with it.
  void spawn(std::function<awaitable<void>()> part) {
    asio::co_spawn(io_, keep_up(std::move(part)), asio::detached);
  }

  awaitable<void> keep_up(std::function<awaitable<void>()> part) {
    asio::steady_timer pause(io_);
    for (;;) {
      try {
        co_await part();
        co_return;
      } catch (const std::exception& failure) {
        ++counters_.exceptions;
        log::error("{}", failure.what());
      }
      pause.expires_after(std::chrono::milliseconds(20));
      co_await pause.async_wait(asio::use_awaitable);
    }
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

  // A new configuration may move discovery; all else holds until the next start. A faulty one changes nothing.
  awaitable<void> read_when_renewed() {
    for (;;) {
      co_await renewals_.async_wait(asio::use_awaitable);
      try {
        const Boot renewed = boot_again(variable_of);
        list_.move(renewed.discovery);
        log::info("{}: configuration read again, discovery at {}:{}", boot_.name,
                  renewed.discovery.address().to_string(), renewed.discovery.port());
      } catch (const std::exception& faulty) {
        log::error("{}: the new configuration is not used: {}", boot_.name, faulty.what());
      }
    }
  }

  Boot boot_;
  Clock clock_;
  Counters counters_;
  Sockets sockets_;  // outlives what io_ still holds at the end
  asio::io_context io_{1};
  Desk desk_;
  Servers servers_;
  List list_;
  Clients clients_;
  asio::signal_set ends_, asks_, renewals_;
};

}  // namespace
}  // namespace robinpin::node

int main() {
  using namespace robinpin::node;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);  // until the node can heed it: what it would renew has yet to be read
  // Where a standard stream is closed its number would go to a socket, and the log into that.
  for (int fd = 0; fd <= 2; ++fd)
    if (::fcntl(fd, F_GETFD) < 0) ::open("/dev/null", O_RDWR);
  try {
    Node node(boot(variable_of));
    node.run();
    return 0;
  } catch (const std::exception& failure) {
    log::error("{}", failure.what());
    return 1;
  }
}
