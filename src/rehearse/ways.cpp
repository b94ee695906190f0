#include "ways.h"

#include <algorithm>

namespace robinpin::rehearse {

namespace {
using asio::redirect_error;
using asio::use_awaitable;
using namespace std::chrono_literals;

void reset(tcp::socket& s) {
  asio::error_code ignored;
  s.set_option(asio::socket_base::linger(true, 0), ignored);
  s.close(ignored);
}

}  // namespace

struct Ways::Relay {
  Relay(asio::io_context& io, int f, int t, tcp::endpoint l) : from(f), to(t), listens(l), acceptor(io) {}
  int from, to;
  tcp::endpoint listens;
  tcp::acceptor acceptor;
  std::vector<std::weak_ptr<Line>> lines;
};

struct Ways::Line {
  Line(asio::io_context& io, tcp::socket c, std::shared_ptr<Relay> r)
      : caller(std::move(c)), called(io), again(io), relay(std::move(r)) {}
  void end() {
    asio::error_code ignored;
    caller.close(ignored);
    called.close(ignored);
    again.close(ignored);
  }
  tcp::socket caller, called, again;
  std::shared_ptr<Relay> relay;
};

Ways::~Ways() {
  for (auto& r : relays_) {
    asio::error_code ignored;
    r->acceptor.close(ignored);
    for (auto& w : r->lines)
      if (const auto l = w.lock()) l->end();
  }
}

tcp::endpoint Ways::open(int from, int to, tcp::endpoint listens, asio::ip::address at) {
  const auto r = std::make_shared<Relay>(io_, from, to, listens);
  r->acceptor.open(tcp::v4());
  r->acceptor.set_option(tcp::acceptor::reuse_address(true));
  r->acceptor.bind({at, 0});
  r->acceptor.listen(1024);
  way(from, to);
  way(to, from);
  relays_.push_back(r);
  asio::co_spawn(io_, accept(r), asio::detached);
  return r->acceptor.local_endpoint();
}

void Ways::heal() {
  for (auto& [pair, w] : ways_) {
    const auto hurt = w.hurt;
    w = Way{};
    w.hurt = hurt;
  }
}

void Ways::drop(int from, int to) {
  for (auto& r : relays_)
    if (r->from == from && r->to == to)
      for (auto& w : r->lines)
        if (const auto l = w.lock()) {
          reset(l->caller);
          reset(l->called);
        }
}

awaitable<void> Ways::accept(std::shared_ptr<Relay> relay) {
  for (;;) {
    asio::error_code error;
    tcp::socket caller = co_await relay->acceptor.async_accept(redirect_error(use_awaitable, error));
    if (error == asio::error::operation_aborted || !relay->acceptor.is_open()) co_return;
    if (error) continue;
    asio::co_spawn(io_, carry(relay, std::move(caller)), asio::detached);
  }
}

awaitable<void> Ways::carry(std::shared_ptr<Relay> relay, tcp::socket caller) {
  Way &there = way(relay->from, relay->to), &back = way(relay->to, relay->from);
  if (there.refused || back.refused) {
    ++(there.refused ? there : back).hurt;
    reset(caller);
    co_return;
  }
  const auto line = std::make_shared<Line>(io_, std::move(caller), relay);
  std::erase_if(relay->lines, [](const auto& w) { return w.expired(); });
  relay->lines.push_back(line);
  asio::error_code error;
  line->caller.set_option(tcp::no_delay(true), error);
  co_await line->called.async_connect(relay->listens, redirect_error(use_awaitable, error));
  if (error) {
    reset(line->caller);
    co_return;
  }
  line->called.set_option(tcp::no_delay(true), error);
  asio::co_spawn(io_, pump(line, line->called, line->caller, back, false), asio::detached);
  co_await pump(line, line->caller, line->called, there, true);
}

// Reads and drops the answers to what was brought a second time.
awaitable<void> Ways::second(std::shared_ptr<Line> line) {
  std::vector<char> bytes(16384);
  for (asio::error_code error; !error;)
    co_await line->again.async_read_some(asio::buffer(bytes), redirect_error(use_awaitable, error));
}

awaitable<void> Ways::pump(std::shared_ptr<Line> line, tcp::socket& from, tcp::socket& to, Way& way,
                           bool call) {
  std::vector<char> bytes(65536);
  asio::steady_timer pause(io_);
  for (;;) {
    asio::error_code error;
    const std::size_t n =
        co_await from.async_read_some(asio::buffer(bytes), redirect_error(use_awaitable, error));
    if (error) {
      // A lost way loses an end, too: the other side is told nothing.
      if (way.lost) co_return;
      asio::error_code ignored;
      to.shutdown(tcp::socket::shutdown_send, ignored);
      if (error != asio::error::eof) reset(to);
      co_return;
    }
    if (!way.whole()) ++way.hurt;
    if (way.lost) continue;
    if (way.refused) {
      reset(from);
      reset(to);
      co_return;
    }
    if (way.delay > 0) {
      pause.expires_after(std::chrono::microseconds(way.delay));
      co_await pause.async_wait(redirect_error(use_awaitable, error));
      if (way.lost) continue;
    }
    if (call && way.twice) {
      if (!line->again.is_open()) {
        co_await line->again.async_connect(line->relay->listens, redirect_error(use_awaitable, error));
        if (!error) asio::co_spawn(io_, second(line), asio::detached);
      }
      co_await asio::async_write(line->again, asio::buffer(bytes.data(), n),
                                 redirect_error(use_awaitable, error));
    }
    std::size_t most = n;
    if (way.reset_after >= 0) most = std::min<std::size_t>(n, std::size_t(way.reset_after));
    for (std::size_t at = 0; at < most;) {
      const std::size_t piece = way.dribble > 0 ? std::min(way.dribble, most - at) : most - at;
      co_await asio::async_write(to, asio::buffer(bytes.data() + at, piece),
                                 redirect_error(use_awaitable, error));
      if (error) {
        reset(from);
        co_return;
      }
      at += piece;
      carried_ += piece;
      if (way.dribble == 0 || at == most) continue;
      pause.expires_after(2ms);
      co_await pause.async_wait(redirect_error(use_awaitable, error));
    }
    if (way.reset_after >= 0) {
      way.reset_after -= (long long)(n);
      if (way.reset_after < 0) {
        way.reset_after = -1;
        reset(from);
        reset(to);
        co_return;
      }
    }
  }
}

}  // namespace robinpin::rehearse
