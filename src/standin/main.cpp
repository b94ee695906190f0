// A stand-in application server for trying the mesh by hand: answers every request with its seal, tells that
// it is well, and beats to the node beside it; at SIGTERM it drains, departs and ends. Written from PROTOCOL,
// no more than the example needs.
#include <fmt/format.h>

#include <asio.hpp>
#include <cstdio>
#include <string>

#include "../net/listening.h"
#include "../rpc/server.h"

namespace {

using namespace robinpin;
using namespace std::chrono_literals;
using asio::awaitable;
using asio::ip::tcp;

constexpr codec::Limits limits = {16 * 1024, 64 * 1024 * 1024};
constexpr std::chrono::milliseconds beat_every = 1500ms, call_limit = 1s, drains_for = 2500ms;

struct Standin {
  asio::io_context io;
  node::Sockets sockets{500};
  tcp::acceptor acceptor{io};
  std::string id, service, address, control, zone;
  bool draining = false;
  int sequence = 0;

  // One call to the node beside; true if it was answered with a 2xx.
  awaitable<bool> call(std::string path, std::string body) {
    const auto c = std::make_shared<node::Connection>(tcp::socket(io), sockets, HTTP_RESPONSE, limits);
    c->limit(node::steady::now() + call_limit);
    if (co_await c->connect(node::endpoint_of(control))) co_return false;
    std::size_t written = 0;
    const std::string head = fmt::format(
        "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nConnection: "
        "close\r\nContent-Length: {}\r\n\r\n",
        path, control, body.size());
    if (co_await c->write(head, body, written)) co_return false;
    asio::error_code error;
    co_return co_await c->read(error) == codec::reading::complete && c->in.status() / 100 == 2;
  }

  awaitable<bool> beat() {
    co_return co_await call(
        "/v1/Servers.Heartbeat/" + id,
        fmt::format(
            R"({{"target":"{}","address":"{}","zone":"{}","revision":"v1","capacity":6,"state":"{}","warmup_left":"0ms","sequence":{}}})",
            service, address, zone, draining ? "draining" : "admitted", ++sequence));
  }

  awaitable<void> beats() {
    asio::steady_timer timer(io);
    while (!draining) {
      const bool heard = co_await beat();
      timer.expires_after(heard ? beat_every : beat_every / 5);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  awaitable<void> leave() {
    draining = true;
    const bool heard = co_await beat();
    fmt::print("{}: draining, {}\n", id, heard ? "acknowledged" : "nobody heard it");
    asio::steady_timer timer(io, drains_for);
    co_await timer.async_wait(asio::use_awaitable);
    co_await call("/v1/Servers.Departure/" + id, "{}");
    io.stop();
  }

  awaitable<void> serve(std::shared_ptr<node::Connection> c) {
    for (;;) {
      asio::error_code error;
      if ((c->in.is_complete() ? codec::reading::complete : co_await c->read(error)) !=
          codec::reading::complete)
        co_return;
      const auto meant = c->in.header("X-Target-Instance");
      std::string head, body;
      if (c->in.target() == "/probe") {
        head = fmt::format("HTTP/1.1 {}\r\nX-Answering-Instance: {}\r\n",
                           draining ? "503 Draining" : "200 OK", id);
      } else if (!meant.empty() && meant != id) {
        head = fmt::format(
            "HTTP/1.1 421 Misdirected Request\r\nX-Answering-Instance: {}\r\nX-Not-Executed: 1\r\n", id);
      } else {
        body = fmt::format("{} of {} answers {} {} of {}\n", id, service, c->in.method(), c->in.target(),
                           c->in.header("X-Caller-Service"));
        head = fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: {}.{}\r\n",
                           c->in.header("X-Attempt-Id"), id, body.size());
      }
      std::size_t written = 0;
      if (co_await c->write(fmt::format("{}Content-Length: {}\r\n\r\n", head, body.size()), body, written))
        co_return;
      if (!c->in.keep_alive() || c->in.next() == codec::reading::malformed) co_return;
    }
  }
};

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    fmt::print(stderr, "usage: robinpin-standin SERVICE ADDRESS:PORT CONTROL:PORT ZONE\n");
    return 2;
  }
  try {
    Standin s;
    s.service = argv[1], s.address = argv[2], s.control = argv[3], s.zone = argv[4];
    s.id = fmt::format("i-{:08x}", std::random_device{}());
    node::listen_at(s.acceptor, node::endpoint_of(s.address), 128);
    asio::co_spawn(s.io,
                   rpc::accept(s.acceptor, s.sockets, limits, [&](auto c) { return s.serve(std::move(c)); }),
                   asio::detached);
    asio::co_spawn(s.io, s.beats(), asio::detached);
    asio::signal_set signals(s.io, SIGTERM, SIGINT);
    signals.async_wait([&](asio::error_code, int) { asio::co_spawn(s.io, s.leave(), asio::detached); });
    s.io.run();
    std::fflush(stdout);
    std::_Exit(0);  // coroutines at rest hold on to what would go before them
  } catch (const std::exception& e) {
    fmt::print(stderr, "robinpin-standin: {}\n", e.what());
    return 1;
  }
}
