#include "listener.h"

#include <fmt/format.h>

#include "../net/listening.h"
#include "wire.h"

namespace robinpin::peer {

namespace {

using namespace std::chrono_literals;
// A value of 64 KiB, each byte escaped at the worst.
constexpr codec::Limits call_limits = {8 * 1024, 512 * 1024};
constexpr steady::duration idle_limit = 60s, call_limit = 5s, answer_limit = 5s;

const char* phrase(int status) {
  return status == 200   ? "OK"
         : status == 404 ? "Not Found"
         : status == 403 ? "Forbidden"
         : status == 503 ? "Service Unavailable"
                         : "Bad Request";
}

}  // namespace

void Listener::listen(tcp::endpoint at) { node::listen_at(acceptor_, at, 1024); }

awaitable<void> Listener::accept() {
  asio::steady_timer pause(io_);
  while (acceptor_.is_open()) {
    asio::error_code error;
    tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error || !sockets_.ensure_capacity()) {
      // Out of descriptors: all callers are at work. The one that came is closed, and may come again.
      socket.close(error);
      pause.expires_after(5ms);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    callers_.push_back({std::make_shared<Connection>(std::move(socket), sockets_, HTTP_REQUEST, call_limits),
                        false, steady::now()});
    asio::co_spawn(io_, serve(std::prev(callers_.end())), asio::detached);
  }
}

bool Listener::evict() {
  for (Caller& c : callers_)
    if (!c.at_work && c.c->open()) {
      c.c->close();
      return true;
    }
  return false;
}

std::string Listener::refusal(const codec::Message& m) const {
  if (!m.clean()) return "not HTTP/1.1";
  if (m.method() != "POST") return "only POST";
  const auto said = codec::whole_number(m.header("Format"));
  if (said < 1) return "the format is not told";
  if (said > format)
    return fmt::format("format {} is newer than this node's, {}: upgrade the voters first", said, format);
  if (m.header("Fleet") != fleet_) return fmt::format("this is fleet \"{}\"", fleet_);
  if (!codec::plain_word(m.header("Node")) || !codec::plain_word(m.header("Incarnation")))
    return "who calls is not told";
  return "";
}

awaitable<void> Listener::serve(std::list<Caller>::iterator caller) {
  const auto c = caller->c;
  try {
    codec::reading got = codec::reading::unfinished;
    for (;;) {
      asio::error_code error;
      c->limit(steady::now() + idle_limit);
      if (got == codec::reading::unfinished) got = co_await c->read(error);
      if (got == codec::reading::unfinished) break;
      caller->at_work = true;
      Told told;
      bool stays = got == codec::reading::complete && c->in.keep_alive() && c->in.minor() > 0;
      const std::string no = got == codec::reading::complete ? refusal(c->in) : "not HTTP/1.1, or too long";
      if (!no.empty()) {
        ++strangers_;
        stays = false;
        told = {400, Out().put("why", no).end()};
      } else {
        c->limit(steady::now() + call_limit);
        Call call{std::string(c->in.target()), std::string(c->in.header("Node")),
                  std::string(c->in.header("Incarnation")), std::string(c->in.body())};
        try {
          told = co_await take_(std::move(call));
        } catch (const read::malformed& wrong) {
          told = {400, Out().put("why", wrong.what()).end()};
        }
      }
      const std::string head = fmt::format(
          "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}\r\n", told.status,
          phrase(told.status), told.body.size(), stays ? "" : "Connection: close\r\n");
      c->limit(steady::now() + answer_limit);
      std::size_t written = 0;
      if (co_await c->write(head, told.body, written)) break;
      if (!stays) break;
      got = c->in.next();
      caller->at_work = false;
      caller->since = steady::now();
      callers_.splice(callers_.end(), callers_, caller);  // the longest idle stays in front
    }
  } catch (const std::exception&) {
    // As a call that broke.
  }
  c->close();
  callers_.erase(caller);
}

}  // namespace robinpin::peer
