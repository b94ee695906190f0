#include "peer.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstdlib>

namespace robinpin::rehearse {

namespace {
using namespace std::chrono_literals;
using asio::redirect_error;
using asio::use_awaitable;
constexpr std::size_t most_idle = 64;
constexpr auto kept_for = 20s;
}  // namespace

awaitable<codec::reading> Peer::read() {
  codec::reading got = in.next();
  asio::error_code error;
  while (got == codec::reading::unfinished) {
    const auto [at, size] = in.room();
    const std::size_t n =
        co_await socket.async_read_some(asio::buffer(at, size), redirect_error(use_awaitable, error));
    if (error) {
      const bool whole = error == asio::error::eof && in.begun() && in.ended() == codec::reading::complete;
      co_return whole ? codec::reading::complete : codec::reading::unfinished;
    }
    got = in.take(n);
  }
  co_return got;
}

awaitable<bool> Peer::write(std::string text) {
  asio::error_code error;
  co_await asio::async_write(socket, asio::buffer(text), redirect_error(use_awaitable, error));
  co_return !error;
}

bool Peer::gone() {
  if (!socket.is_open()) return true;
  char byte = 0;
  const auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void Peer::reset() {
  asio::error_code ignored;
  if (socket.is_open()) socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

awaitable<Heard> Asker::ask(tcp::endpoint to, std::string request, steady::time_point until,
                            std::function<void()> sent) {
  Heard h = co_await once(to, request, until, sent, false);
  // A node may close a connection between requests; one that crosses that is sent once more.
  if (h.how == came::broken && h.reused && h.status == 0 && steady::now() < until) {
    Heard again = co_await once(to, request, until, sent, true);
    // Nobody is there any more: then the first may have been taken after all.
    if (again.how == came::unreachable) co_return h;
    h = std::move(again);
  }
  co_return h;
}

awaitable<Heard> Asker::once(tcp::endpoint to, const std::string& request, steady::time_point until,
                             const std::function<void()>& sent, bool fresh) {
  Heard h;
  std::shared_ptr<Peer> p;
  auto& idle = idle_[to];
  while (!fresh && !idle.empty() && !p) {
    auto [since, kept] = std::move(idle.back());
    idle.pop_back();
    if (steady::now() - since < kept_for && !kept->gone()) p = std::move(kept);
  }
  h.reused = p != nullptr;
  asio::steady_timer limit(io_, until);
  auto ran_out = std::make_shared<bool>(false);
  if (!p) p = std::make_shared<Peer>(tcp::socket(io_), HTTP_RESPONSE);
  limit.async_wait([weak = std::weak_ptr(p), ran_out](asio::error_code cancelled) {
    const auto peer = weak.lock();
    if (cancelled || !peer) return;
    *ran_out = true;
    asio::error_code ignored;
    peer->socket.close(ignored);
  });
  asio::error_code error;
  if (!h.reused) {
    ++dialled;
    co_await p->socket.async_connect(to, redirect_error(use_awaitable, error));
    if (error) {
      h.how = *ran_out ? came::late : came::unreachable;
      co_return h;
    }
    p->socket.set_option(tcp::no_delay(true), error);
  }
  if (!co_await p->write(request)) {
    h.how = *ran_out ? came::late : came::broken;
    co_return h;
  }
  sent();
  const auto got = co_await p->read();
  if (got != codec::reading::complete) {
    h.how = *ran_out ? came::late : came::broken;
    h.status = p->in.begun() ? -1 : 0;
    co_return h;
  }
  limit.cancel();
  h.how = came::answered;
  h.status = p->in.status();
  h.body = p->in.body();
  const std::string advice(p->in.header("Retry-After"));
  if (!advice.empty()) h.come_back = micros(std::atof(advice.c_str()) * 1e6);
  if (p->in.keep_alive() && !p->in.behind()) {
    auto& now = idle_[to];
    if (now.size() < most_idle) now.emplace_back(steady::now(), std::move(p));
  }
  co_return h;
}

}  // namespace robinpin::rehearse
