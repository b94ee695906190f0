// Clients outside the limits: connections that each send, or fail to read, as one kind of crowd does. Bounded
// in number; they stay until they are stopped, and connect again where they are closed.
#pragma once

#include <poll.h>
#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "processes.h"

namespace robinpin::mesh_test {

enum class CrowdKind {
  idle_connections,        // more than the descriptors allow
  endless_header_value,    // one header whose value never ends
  endless_header_lines,    // short header lines without end
  almost_whole_heads,      // 48 KB of short header lines, then nothing
  empty_lines,             // empty lines without end before a request
  slow_readers,            // of long answers
  pipelined_unread,        // requests for long answers one behind another, answers never read
  bodies_short_of_a_byte,  // with a length, all but the last byte
  chunks_short_of_an_end,  // the same in pieces of 64 KiB without a length
  one_byte_chunks,         // pieces of one byte without end
  whole_bodies,            // of the longest legal size, one behind another
  bodies_of_many_values,   // whole, JSON of as many values as fit in
  bodies_nested_deeply,    // whole, JSON lists in lists
  bodies_of_long_names,    // whole, JSON records whose fields have long names
  unread_answers,          // of 300 KB, one asked for on each connection, never read
  bodies_that_trickle,     // with a length, all but the last 1,000 bytes, then a byte each 0.3 s
  mixed,                   // those that any port can be sent, side by side
};

// Where a crowd connects, and the requests that are sent there.
struct CrowdTarget {
  tcp::endpoint to;
  std::string long_answer;     // the head of a request for a long answer, whole
  std::string medium_answer;   // the same for one of 300 KB
  std::string body_request;    // the head of a request with a body, without its length and its end
  std::size_t body_bytes = 0;  // of such a body, legal at this port
};

class Crowd {
 public:
  static constexpr int usual_connections = 250;
  static constexpr int idle_connections = 900;  // beyond `file_limit`
  static constexpr std::chrono::milliseconds pause_before_reconnect{200};

  Crowd(Loop& loop, CrowdKind kind, CrowdTarget target, int connections)
      : loop_(loop), kind_(kind), target_(std::move(target)), connections_(connections) {
    allow_descriptors();
  }

  void start() {
    for (int n = 0; n < connections_; ++n) {
      ++running_;
      asio::co_spawn(loop_.io, connect_again_and_again(kind_of(n)),
                     [this](std::exception_ptr) { --running_; });
    }
  }
  // Closes all connections.
  void stop() {
    is_stopped_ = true;
    const auto sockets = sockets_;
    for (const Socket& socket : sockets) close(socket);
  }
  bool is_over() const { return running_ == 0; }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  // All that this process may have: the crowd and the servers behind it are in it.
  static void allow_descriptors() {
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
  }

  static void close(const Socket& socket) {
    asio::error_code ignored;
    socket->close(ignored);
  }

  CrowdKind kind_of(int connection) const {
    static constexpr std::array kinds = {CrowdKind::endless_header_value,   CrowdKind::endless_header_lines,
                                         CrowdKind::almost_whole_heads,     CrowdKind::empty_lines,
                                         CrowdKind::slow_readers,           CrowdKind::pipelined_unread,
                                         CrowdKind::bodies_short_of_a_byte, CrowdKind::chunks_short_of_an_end,
                                         CrowdKind::one_byte_chunks,        CrowdKind::whole_bodies,
                                         CrowdKind::unread_answers,         CrowdKind::bodies_that_trickle};
    return kind_ == CrowdKind::mixed ? kinds[std::size_t(connection) % kinds.size()] : kind_;
  }

  awaitable<void> pause(steady::duration time) {
    constexpr steady::duration longest = 100ms;  // then it looks whether the crowd is stopped
    for (const auto until = steady::now() + time; !is_stopped_ && steady::now() < until;) {
      asio::steady_timer timer(loop_.io, std::min(longest, until - steady::now()));
      co_await timer.async_wait(asio::use_awaitable);
    }
  }

  awaitable<void> connect_again_and_again(CrowdKind kind) {
    while (!is_stopped_) {
      const auto socket = std::make_shared<tcp::socket>(loop_.io);
      const auto place = sockets_.insert(sockets_.end(), socket);
      co_await behave(socket, kind);
      close(socket);
      sockets_.erase(place);
      co_await pause(pause_before_reconnect);
    }
  }

  awaitable<void> behave(Socket socket, CrowdKind kind) {
    asio::error_code error;
    co_await socket->async_connect(target_.to, asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    co_await misbehave(socket, kind);
    if (socket->is_open()) co_await read_until_closed(socket);
  }

  awaitable<void> misbehave(Socket socket, CrowdKind kind) {
    static const std::string request_line = "GET /p0/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: c\r\n";
    switch (kind) {
      case CrowdKind::idle_connections:
      case CrowdKind::mixed:
        break;
      case CrowdKind::endless_header_value:
        co_await send_once(socket, request_line + "X-Long: ");
        co_await send_without_end(socket, std::string(16'384, 'v'));
        break;
      case CrowdKind::endless_header_lines:
        co_await send_once(socket, request_line);
        co_await send_without_end(socket, header_lines(16'384));
        break;
      case CrowdKind::almost_whole_heads:
        co_await send_once(socket, request_line + header_lines(48'000));
        co_await stand_still(socket);
        break;
      case CrowdKind::empty_lines:
        co_await send_without_end(socket, repeated("\r\n", 16'384));
        break;
      case CrowdKind::slow_readers:
        co_await send_once(socket, target_.long_answer);
        co_await read_slowly(socket);
        break;
      case CrowdKind::pipelined_unread:
        co_await send_without_end(socket, repeated(target_.long_answer, 16'384));
        break;
      case CrowdKind::bodies_short_of_a_byte:
        co_await send_once(
            socket, fmt::format("{}Content-Length: {}\r\n\r\n", target_.body_request, target_.body_bytes));
        co_await send_bytes(socket, target_.body_bytes - 1, std::string(65'536, 'b'));
        co_await stand_still(socket);
        break;
      case CrowdKind::chunks_short_of_an_end:
        co_await send_once(socket, target_.body_request + "Transfer-Encoding: chunked\r\n\r\n");
        co_await send_bytes(socket, target_.body_bytes, "10000\r\n" + std::string(65'536, 'b') + "\r\n");
        co_await stand_still(socket);
        break;
      case CrowdKind::one_byte_chunks:
        co_await send_once(socket, target_.body_request + "Transfer-Encoding: chunked\r\n\r\n");
        co_await send_without_end(socket, repeated("1\r\nb\r\n", 16'384));
        break;
      case CrowdKind::whole_bodies:
      case CrowdKind::bodies_of_many_values:
      case CrowdKind::bodies_nested_deeply:
      case CrowdKind::bodies_of_long_names:
        co_await send_whole_bodies(socket);
        break;
      case CrowdKind::unread_answers:
        co_await send_once(socket, target_.medium_answer);
        co_await stand_still(socket);
        break;
      case CrowdKind::bodies_that_trickle:
        co_await send_once(
            socket, fmt::format("{}Content-Length: {}\r\n\r\n", target_.body_request, target_.body_bytes));
        co_await send_bytes(socket, target_.body_bytes - trickled_bytes, std::string(65'536, 'b'));
        co_await send_slowly(socket, trickled_bytes);
        break;
    }
  }

  // As many as the other side takes: it is one text for all connections, as the crowd has no memory for more.
  awaitable<void> send_whole_bodies(Socket socket) {
    const std::string head =
        fmt::format("{}Content-Length: {}\r\n\r\n", target_.body_request, target_.body_bytes);
    asio::co_spawn(loop_.io, read_until_closed(socket), asio::detached);
    for (asio::error_code error; !error;) {
      const std::array<asio::const_buffer, 2> request{asio::buffer(head), asio::buffer(whole_body())};
      co_await asio::async_write(*socket, request, asio::redirect_error(asio::use_awaitable, error));
    }
  }
  const std::string& whole_body() {
    if (whole_body_.empty()) whole_body_ = body_of(kind_, target_.body_bytes);
    return whole_body_;
  }
  static std::string body_of(CrowdKind kind, std::size_t bytes) {
    switch (kind) {
      case CrowdKind::bodies_of_many_values:
        return padded("[" + repeated("0,", bytes - 16) + "0]", bytes);
      case CrowdKind::bodies_nested_deeply:
        return std::string(bytes, '[');
      case CrowdKind::bodies_of_long_names: {
        const std::string name(bytes / 2, 'n');
        const std::string records = repeated(R"(["a","00000001",0],)", bytes / 4);
        return padded(R"({"apply":{"targets":{"axes":["label","revision",")" + name + R"("],"records":[)" +
                          records + R"(["a","00000001",0]]}}})",
                      bytes);
      }
      default:
        return std::string(bytes, 'b');
    }
  }
  static std::string padded(std::string text, std::size_t bytes) {
    text.resize(bytes, ' ');
    return text;
  }

  static constexpr std::size_t trickled_bytes = 1'000;
  static std::string repeated(const std::string& text, std::size_t least_bytes) {
    std::string all;
    while (all.size() < least_bytes) all += text;
    return all;
  }
  static std::string header_lines(std::size_t least_bytes) { return repeated("a: b\r\n", least_bytes); }

  awaitable<void> send_once(Socket socket, std::string bytes) {
    asio::error_code error;
    co_await asio::async_write(*socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, error));
  }
  awaitable<void> send_without_end(Socket socket, std::string bytes) {
    for (asio::error_code error; !error;)
      co_await asio::async_write(*socket, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, error));
  }
  awaitable<void> send_bytes(Socket socket, std::size_t total, std::string piece) {
    asio::error_code error;
    for (std::size_t sent = 0; sent < total && !error; sent += piece.size()) {
      const auto part = asio::buffer(piece, std::min(piece.size(), total - sent));
      co_await asio::async_write(*socket, part, asio::redirect_error(asio::use_awaitable, error));
    }
  }
  awaitable<void> send_slowly(Socket socket, std::size_t bytes) {
    static const std::string byte = "b";
    asio::error_code error;
    for (std::size_t sent = 0; sent < bytes && !error && !is_stopped_; ++sent) {
      co_await asio::async_write(*socket, asio::buffer(byte),
                                 asio::redirect_error(asio::use_awaitable, error));
      co_await pause(300ms);
    }
  }
  // 2 KB a second.
  awaitable<void> read_slowly(Socket socket) {
    std::array<char, 200> bytes{};
    for (asio::error_code error; !error;) {
      co_await socket->async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
      co_await pause(100ms);
    }
  }
  awaitable<void> read_until_closed(Socket socket) {
    std::array<char, 4'096> bytes{};
    for (asio::error_code error; !error;)
      co_await socket->async_read_some(asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
  }
  // Until the other side has closed, which is looked for without reading what it sends.
  awaitable<void> stand_still(Socket socket) {
    while (!is_stopped_ && socket->is_open() && !is_reset(*socket)) co_await pause(100ms);
    close(socket);
  }
  static bool is_reset(tcp::socket& socket) {
    pollfd state{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLERR | POLLHUP | POLLRDHUP)) != 0;
  }

  Loop& loop_;
  const CrowdKind kind_;
  const CrowdTarget target_;
  const int connections_;
  std::string whole_body_;
  std::list<Socket> sockets_;
  int running_ = 0;
  bool is_stopped_ = false;
};

}  // namespace robinpin::mesh_test
