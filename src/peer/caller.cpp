#include "caller.h"

#include <fmt/format.h>

#include <algorithm>

#include "wire.h"

namespace robinpin::peer {

namespace {
using namespace std::chrono_literals;
constexpr codec::Limits answer_limits = {16 * 1024, 4 * 1024 * 1024};
constexpr steady::duration dial_limit = 1s, idle_for = 30s;
}  // namespace

const char* word(came c) {
  constexpr const char* words[] = {"answered", "unreachable", "late", "broken", "crowded"};
  return words[int(c)];
}

awaitable<Answer> Caller::call(std::string path, std::string body, steady::time_point until) {
  const auto self = shared_from_this();
  if (out_ >= most_at_once) {
    if (waiting_.size() >= most_waiting) co_return Answer{came::crowded, 0, ""};
    const auto turn = std::make_shared<asio::steady_timer>(io_, until);
    waiting_.push_back(turn);
    asio::error_code woken;
    co_await turn->async_wait(asio::redirect_error(asio::use_awaitable, woken));
    std::erase(waiting_, turn);
    if (!woken) co_return Answer{came::crowded, 0, ""};  // its time is over and it was never sent
  }
  ++out_;
  struct Place {
    Caller& c;
    ~Place() {
      --c.out_;
      if (c.waiting_.empty()) return;
      const auto next = c.waiting_.front();
      c.waiting_.pop_front();
      next->cancel();
    }
  } place{*this};
  co_return co_await once(path, body, until);
}

awaitable<Answer> Caller::once(const std::string& path, const std::string& body, steady::time_point until) {
  Answer a;
  std::shared_ptr<Connection> c;
  while (!idle_.empty() && !c) {
    c = std::move(idle_.back());
    idle_.pop_back();
    if (steady::now() - c->idle_since > idle_for || !c->quiet()) c.reset();
  }
  if (!c) {
    if (!sockets_.ensure_capacity()) {
      a.how = came::crowded;
      co_return a;
    }
    c = std::make_shared<Connection>(tcp::socket(io_), sockets_, HTTP_RESPONSE, answer_limits);
    c->limit(std::min(until, steady::now() + dial_limit));
    if (co_await c->connect(to_)) co_return a;
  }
  c->limit(until);
  const std::string head = fmt::format(
      "POST {} HTTP/1.1\r\nHost: fleet\r\nFleet: {}\r\nNode: {}\r\nIncarnation: {}\r\nFormat: "
      "{}\r\nContent-Length: {}\r\n\r\n",
      path, who_.fleet, who_.node, who_.incarnation, format, body.size());
  std::size_t written = 0;
  asio::error_code error = co_await c->write(head, body, written);
  const auto got = error ? codec::reading::unfinished : co_await c->read(error);
  if (got != codec::reading::complete) {
    a.how = c->ran_out() ? came::late : came::broken;
    co_return a;
  }
  a.how = came::answered;
  a.status = c->in.status();
  a.body = c->in.body();
  if (!c->in.keep_alive() || c->in.behind()) co_return a;
  c->in.next();
  c->no_limit();
  c->idle_since = steady::now();
  if (c->quiet()) idle_.push_back(std::move(c));
  co_return a;
}

bool Caller::evict() {
  if (idle_.empty()) return false;
  idle_.pop_front();
  return true;
}

}  // namespace robinpin::peer
