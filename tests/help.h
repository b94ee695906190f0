// What the tests share: a house's terms, a node that knows some servers, samples for a window; and for the
// network code a node's parts on one loop, with a stand-in for a server that gives canned answers.
#pragma once

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <deque>
#include <initializer_list>
#include <string>
#include <thread>
#include <utility>

#include "clients.h"
#include "desk.h"
#include "list.h"
#include "robinpin/choice.h"
#include "routes.h"
#include "servers.h"

namespace robinpin::help {

constexpr micros ms = 1000;
constexpr micros noon = 1'000'000 * ms;

inline Terms terms() {
  Terms t;
  t.schemes = {{repeats::repeatable, group::all, 0, 500 * ms, 0, 1200 * ms, 5, 0},
               {repeats::referenced, group::zone, 4000 * ms, 1000 * ms, 0, 2500 * ms, 2, 0},
               {repeats::once_only, group::all, 0, 1000 * ms, 0, 2500 * ms, 5, 0}};
  t.zone = "here";
  t.may_withdraw = t.two_at_once = true;
  t.most_postings = 5;
  return t;
}

inline Line line(const std::string& name, const std::string& zone = "here") {
  Line l;
  l.server = name;
  l.zone = zone;
  return l;
}

inline Balancer knowing(std::initializer_list<const char*> names, Terms t = terms()) {
  Balancer b(std::move(t), 7, noon);
  for (const char* n : names) b.servers[n].line = line(n);
  b.draw_rings();
  return b;
}

inline void fill(Balancer& b, const std::string& server, micros latency, int samples = 50) {
  for (int i = 0; i < samples; ++i) b.servers[server].window.take(b.bin_of(latency), 50);
}

inline Txn txn(int scheme) {
  Txn t;
  t.scheme = scheme;
  t.taken = noon;
  t.sla = noon + 500 * ms;
  t.expiry = noon + 1200 * ms;
  return t;
}

inline Posting posted(Balancer& b, const std::string& server, micros sent = noon) {
  Posting p;
  p.server = &b.servers[server];
  p.sent = sent;
  return p;
}

namespace net {

using namespace node;
using namespace std::chrono_literals;

inline read::House house() {
  read::House h;
  h.terms = terms();
  h.schemes = {{"view", 0}, {"add", 1}, {"pay", 2}};
  h.tenants = {{"choir", 0}};
  h.terms.allowances = {1000};
  h.figures = {"pending", "svc_ms"};
  h.dial_limit = 100 * ms;
  h.keep_idle = 30'000 * ms;
  return h;
}

// A request of scheme "view", "add" or "pay".
inline std::string request(const std::string& id, const std::string& scheme = "view",
                           const std::string& more = "") {
  return (scheme == "view" ? "GET" : "POST") + std::string(" /api?k=a HTTP/1.1\r\nHost: b\r\nRequest-Id: ") +
         id + "\r\nRequest-Class: " + scheme + "\r\nTenant: choir\r\nRequest-Timeout-Ms: 300\r\n" + more +
         (scheme == "add" ? "Idempotency-Key: k\r\n" : "") + "Content-Length: 0\r\n\r\n";
}

inline std::shared_ptr<Message> message(const std::string& text, http_parser_type kind = HTTP_REQUEST,
                                        Limits limits = {}) {
  auto m = std::make_shared<Message>(kind, limits);
  for (std::size_t at = 0; at < text.size();) {
    const auto [to, size] = m->room();
    const std::size_t n = std::min(size, text.size() - at);
    std::copy_n(text.data() + at, n, to);
    at += n;
    m->take(n);
  }
  return m;
}

inline const tcp::endpoint here(asio::ip::address_v4::loopback(), 0);

// Answers each request that it gets with the same bytes, after those that come first; then closes, if told
// so; says nothing, if there are none.
struct StandIn {
  tcp::acceptor acceptor;
  std::string says;
  bool closes;
  int connections = 0;
  std::vector<std::string> got;
  std::deque<std::string> first;
  StandIn(asio::io_context& io, std::string answer, bool close_then = false)
      : acceptor(io, here), says(std::move(answer)), closes(close_then) {
    asio::co_spawn(io, accept(), asio::detached);
  }
  tcp::endpoint at() const { return acceptor.local_endpoint(); }
  awaitable<void> accept() {
    for (;;) {
      tcp::socket s = co_await acceptor.async_accept(asio::use_awaitable);
      ++connections;
      asio::co_spawn(acceptor.get_executor(), serve(std::move(s)), asio::detached);
    }
  }
  awaitable<void> serve(tcp::socket s) {
    for (std::string in;;) {
      const auto n =
          co_await asio::async_read_until(s, asio::dynamic_buffer(in), "\r\n\r\n", asio::use_awaitable);
      got.push_back(in.substr(0, n));
      in.erase(0, n);
      if (!first.empty()) {
        const std::string now = first.front();
        first.pop_front();
        co_await asio::async_write(s, asio::buffer(now), asio::use_awaitable);
        continue;
      }
      if (!says.empty()) co_await asio::async_write(s, asio::buffer(says), asio::use_awaitable);
      if (closes) co_return;
    }
  }
};

// The parts of a node, without a list.
struct Parts {
  Clock clock;
  Counters counters;
  Sockets sockets;
  asio::io_context io{1};
  read::House house;
  records::Facts facts;
  Routes routes;
  Desk desk;
  Servers servers;
  Clients clients;
  explicit Parts(int most_sockets = 100, read::House h = net::house())
      : sockets(most_sockets),
        house(std::move(h)),
        routes(house, counters, facts),
        desk(io, clock, counters, house.terms, 7),
        servers(io, clock, sockets, counters, house),
        clients(io, clock, sockets, counters, desk, servers, house, routes) {
    asio::co_spawn(io, desk.tick(), asio::detached);
  }
  void knows(const std::string& uid, tcp::endpoint at, micros started = 0) {
    servers.told(uid, at, started, false);
    desk.list_told({line(uid)}, false, false);
  }
  void listens() {
    clients.listen(here);
    asio::co_spawn(io, clients.accept(), asio::detached);
  }
  // One posting, as the clients' side makes it.
  Answer post(const std::string& uid, micros wait = 300 * ms, bool once = false) {
    auto call = std::make_shared<Call>();
    auto r = std::make_shared<Outbound>();
    r->start = "GET /api HTTP/1.1\r\nHost: b\r\n";
    r->once = once;
    bool done = false;
    asio::co_spawn(io, servers.post(call, uid, r, clock.now() + wait),
                   [&](std::exception_ptr) { done = true; });
    until(done);
    return call->answer;
  }
  tcp::socket opened(const std::string& bytes) {  // a client that has sent so much
    tcp::socket s(io);
    s.connect(clients.at());
    asio::write(s, asio::buffer(bytes));
    return s;
  }
  // A client that sends the bytes and reads until nothing more comes for a while.
  std::string ask(const std::string& bytes, std::chrono::milliseconds quiet = 100ms) {
    tcp::socket s = opened(bytes);
    return listen_to(s, quiet);
  }
  std::string listen_to(tcp::socket& s, std::chrono::milliseconds quiet = 100ms) {
    std::string heard(200'000, 0);
    std::size_t size = 0;
    s.non_blocking(true);
    for (auto last = steady::now(); steady::now() - last < quiet;) {
      io.restart();
      io.run_for(1ms);
      asio::error_code error;
      const auto n = s.read_some(asio::buffer(heard.data() + size, heard.size() - size), error);
      if (n > 0) last = steady::now();
      size += n;
      if (error == asio::error::eof) return heard.substr(0, size) + "<end>";
    }
    return heard.substr(0, size);
  }
  // However slow the machine is: what has to come has seconds for it.
  template <typename Condition>
  bool comes(Condition condition) {
    for (int i = 0; i < 5000 && !condition(); ++i) {
      io.restart();
      io.run_for(1ms);
    }
    return condition();
  }
  void until(const bool& done) {
    for (int i = 0; i < 3000 && !done; ++i) {
      io.restart();
      io.run_for(1ms);
    }
    REQUIRE(done);
  }
};

}  // namespace net
}  // namespace robinpin::help
