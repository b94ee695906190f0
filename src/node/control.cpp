#include "control.h"

#include <fmt/format.h>

#include <array>

#include "../log/log.h"
#include "listening.h"

namespace robinpin::node {

namespace {

using namespace std::chrono_literals;
constexpr steady::duration call_limit = 5s, answer_limit = 2s, last_words = 200ms;
constexpr Limits call_limits = {4 * 1024, 0};

}  // namespace

Control::Control(asio::io_context& io, Pages pages) : io_(io), pages_(std::move(pages)), acceptor_(io) {}

void Control::listen(tcp::endpoint at) { listen_at(acceptor_, at, 64); }

awaitable<void> Control::accept() {
  asio::steady_timer pause(io_);
  for (;;) {
    asio::error_code error;
    tcp::socket socket(io_);
    co_await acceptor_.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) {
      pause.expires_after(5ms);
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    // A caller that holds its connection and says nothing must not keep the others out.
    if (callers() >= most_callers) {
      callers_.front()->close();
      callers_.pop_front();
    }
    socket.set_option(tcp::no_delay(true), error);
    callers_.push_back(std::make_shared<Connection>(std::move(socket), sockets_, HTTP_REQUEST, call_limits));
    asio::co_spawn(io_, serve(callers_.back()), asio::detached);
  }
}

std::string Control::answer_to(reading got, const Message& call) const {
  const auto page = [](const char* status, const char* type, const std::string& body) {
    return fmt::format("HTTP/1.1 {}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
                       status, type, body.size(), body);
  };
  constexpr auto plain = "text/plain";
  if (got == reading::head_too_long)
    return page("431 Request Header Fields Too Large", plain, "the headers are too long\n");
  if (got == reading::body_too_long) return page("413 Content Too Large", plain, "a call has no body\n");
  if (got != reading::complete || !call.clean() || call.connects())
    return page("400 Bad Request", plain, "not HTTP/1.1\n");
  const std::string_view path = call.target().substr(0, call.target().find('?'));
  const bool fleet = path == "/fleet" && pages_.fleet;
  if (path != "/ready" && path != "/metrics" && !fleet) return page("404 Not Found", plain, "no such page\n");
  if (call.method() != "GET") return page("405 Method Not Allowed", plain, "only GET\n");
  if (fleet) return page("200 OK", "application/json", pages_.fleet());
  if (path == "/metrics") return page("200 OK", "text/plain; version=0.0.4; charset=utf-8", pages_.metrics());
  return pages_.ready() ? page("200 OK", plain, "ready\n")
                        : page("503 Service Unavailable", plain, "not ready\n");
}

// One call, its answer, and the end.
awaitable<void> Control::serve(connection c) {
  asio::error_code error;
  try {
    c->limit(steady::now() + call_limit);
    const reading got = co_await c->read(error);
    if (got != reading::unfinished) {
      callers_.remove(c);  // its call is whole: it makes no room
      const std::string answer = answer_to(got, c->in);
      c->limit(steady::now() + answer_limit);
      std::size_t written = 0;
      error = co_await c->write(answer, {}, written);
      // To close on what the caller still sends would reset the connection before the answer is read.
      asio::error_code ignored;
      c->socket.shutdown(tcp::socket::shutdown_send, ignored);
      c->limit(steady::now() + last_words);
      std::array<char, 1024> rest{};
      while (!error)
        co_await c->socket.async_read_some(asio::buffer(rest),
                                           asio::redirect_error(asio::use_awaitable, error));
    }
  } catch (const std::exception& failure) {
    log::error(log::part::node, "control: {}", failure.what());
  }
  c->close();
  callers_.remove(c);
}

}  // namespace robinpin::node
