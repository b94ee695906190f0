#include "server.h"

#include <fmt/format.h>

#include "../net/detached.h"
#include "../net/listening.h"

namespace robinpin::rpc {

namespace {
using namespace std::chrono_literals;
constexpr std::chrono::milliseconds head_limit = 3s, idle_limit = 30s, write_limit = 3s, breath = 20ms,
                                    out_limit = 1s;
}  // namespace

std::string_view phrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 307:
      return "Temporary Redirect";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 412:
      return "Precondition Failed";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 507:
      return "Insufficient Storage";
    default:
      return "Answer";
  }
}

awaitable<void> accept(tcp::acceptor& acceptor, Sockets& sockets, codec::Limits limits,
                       std::function<awaitable<void>(std::shared_ptr<Connection>)> serve) {
  while (acceptor.is_open()) {
    asio::error_code wrong;
    tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, wrong));
    if (wrong == asio::error::operation_aborted || !acceptor.is_open()) co_return;
    if (wrong) {
      asio::steady_timer pause(acceptor.get_executor(), breath);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, wrong));
      continue;
    }
    if (!sockets.make_room()) continue;  // closed unread: its sender goes elsewhere
    socket.set_option(tcp::no_delay(true), wrong);
    auto c = std::make_shared<Connection>(std::move(socket), sockets, HTTP_REQUEST, limits);
    asio::co_spawn(acceptor.get_executor(), serve(std::move(c)), node::log_failure);
  }
}

void Port::listen(tcp::endpoint at) { node::listen_at(acceptor_, at, 512); }

void Port::run() {
  asio::co_spawn(io_,
                 accept(acceptor_, sockets_, limits_,
                        [this](std::shared_ptr<Connection> c) { return serve(std::move(c)); }),
                 asio::detached);
}

awaitable<void> Port::serve(std::shared_ptr<Connection> c) {
  for (;;) {
    c->limit(node::steady::now() + (c->in.begun() ? head_limit : idle_limit));
    asio::error_code error;
    codec::reading got = c->in.whole() ? codec::reading::complete : co_await c->read(error);
    if (error || got == codec::reading::unfinished) co_return;
    Reply r;
    const bool read = got == codec::reading::complete;
    // What lay here while this process stood still, or the network did, was given up and sent to another
    // since; an evacuation begun by it now would be begun after it was taken back.
    if (read && bounds_.for_who_waits && c->peer_gone()) co_return;
    if (read && waiting_ >= bounds_.most_waiting) {
      r = {503, R"({"fault":"too many calls wait"})", {}};
    } else if (read) {
      c->limit(node::steady::now() + bounds_.wait);
      ++waiting_;
      r = co_await reply(c->in);
      --waiting_;
      if (!c->open()) co_return;
    } else {
      r.status = got == codec::reading::body_too_long   ? 413
                 : got == codec::reading::head_too_long ? 431
                                                        : 400;
      r.body = R"({"fault":"the request can't be read"})";
    }
    // As late as can be: this process may stand still at any line, and there is none between this and the
    // writing.
    if (const auto at =
            std::chrono::duration_cast<std::chrono::microseconds>(node::steady::now().time_since_epoch())
                .count();
        r.until > 0 && at > r.until)
      r = {503, R"({"fault":"past its time"})", {}, 0};
    // What stands behind a call that nobody here can settle now would wait as long, one after the other: it
    // goes elsewhere.
    const bool behind = read && r.status == 503 && (c->in.behind() || !c->still());
    const bool stays = read && !behind && c->in.keep_alive();
    c->limit(node::steady::now() + write_limit);
    std::size_t written = 0;
    const std::string head = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}{}\r\n", r.status,
        phrase(r.status), r.body.size(), r.headers, stays ? "" : "Connection: close\r\n");
    error = co_await c->write(head, r.body, written);
    if (!error && (!read || behind)) co_await c->see_out(out_limit);
    if (error || !stays) co_return;
    if (const auto next = c->in.next();
        next != codec::reading::unfinished && next != codec::reading::complete)
      co_return;
  }
}

awaitable<Reply> Port::reply(const codec::Message& m) {
  const std::string_view target = m.target().substr(0, m.target().find('?'));
  bool elsewhere = false;
  for (const Entry& e : calls_) {
    if (!target.starts_with(e.path)) continue;
    const std::string argument(target.substr(e.path.size()));
    if (!e.path.ends_with('/') && !argument.empty()) continue;
    if (m.method() != e.method) {
      elsewhere = true;
      continue;
    }
    co_return co_await e.answer(argument, m.body());
  }
  co_return Reply{elsewhere ? 405 : 404, R"({"fault":"no such call"})", {}};
}

}  // namespace robinpin::rpc
