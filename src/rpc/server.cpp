#include "server.h"

#include <fmt/format.h>

#include "../net/detached.h"
#include "../net/listening.h"

namespace robinpin::rpc {

namespace {
using namespace std::chrono_literals;
constexpr std::chrono::milliseconds head_timeout = 3s;
constexpr std::chrono::milliseconds idle_timeout = 30s;
constexpr std::chrono::milliseconds write_timeout = 3s;  // of a short reply
constexpr std::size_t least_read_bytes_per_second = 256 * 1024;
constexpr std::chrono::milliseconds close_timeout = 1s;
constexpr std::chrono::milliseconds accept_retry_delay = 20ms;  // while descriptors are short
constexpr int accept_backlog = 512;
constexpr int accepted_at_once = 32;

std::int64_t now_in_microseconds() {
  const auto since_start = node::steady::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::microseconds>(since_start).count();
}

Reply unreadable(codec::reading reading) {
  Reply reply;
  reply.status = reading == codec::reading::body_too_long   ? 413
                 : reading == codec::reading::head_too_long ? 431
                                                            : 400;
  reply.body = R"({"fault":"the request can't be read"})";
  return reply;
}

std::string head_of(const Reply& reply, bool keeps_connection) {
  return fmt::format("HTTP/1.1 {} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n{}{}\r\n",
                     reply.status, phrase(reply.status), reply.text().size(), reply.headers,
                     keeps_connection ? "" : "Connection: close\r\n");
}

// A long reply takes as long as its caller reads it, at a least pace.
std::chrono::milliseconds write_timeout_of(std::size_t bytes) {
  return write_timeout + std::chrono::milliseconds(bytes * 1'000 / least_read_bytes_per_second);
}

bool can_read_on(codec::reading reading) {
  return reading == codec::reading::unfinished || reading == codec::reading::complete;
}
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

namespace {

// Null if there is no descriptor for it: closed unread, and the caller retries elsewhere.
std::shared_ptr<Connection> accepted_connection(tcp::socket socket, Sockets& sockets, codec::Limits limits) {
  if (!sockets.ensure_capacity_to_accept()) return nullptr;
  asio::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  auto connection = std::make_shared<Connection>(std::move(socket), sockets, HTTP_REQUEST, limits);
  connection->set_accepted();
  connection->bound_sending(Connection::UnsentOnClose::drained);
  return connection;
}

}  // namespace

awaitable<void> accept(tcp::acceptor& acceptor, Sockets& sockets, codec::Limits limits,
                       std::function<awaitable<void>(std::shared_ptr<Connection>)> serve) {
  const auto take = [&](tcp::socket socket) {
    auto connection = accepted_connection(std::move(socket), sockets, limits);
    if (connection) asio::co_spawn(acceptor.get_executor(), serve(std::move(connection)), node::log_failure);
  };
  node::bound_buffers(acceptor);
  acceptor.non_blocking(true);
  while (acceptor.is_open()) {
    asio::error_code error;
    tcp::socket socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted || !acceptor.is_open()) co_return;
    if (error) {
      asio::steady_timer delay(acceptor.get_executor(), accept_retry_delay);
      co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    take(std::move(socket));
    // Ordinary callers wait behind a crowd.
    for (int n = 1; n < accepted_at_once; ++n) {
      tcp::socket next = acceptor.accept(error);
      if (error) break;
      take(std::move(next));
    }
  }
}

void Server::listen(tcp::endpoint at) {
  node::listen_at(acceptor_, at, accept_backlog, node::Buffering::bounded);
}

void Server::run() {
  asio::co_spawn(
      io_,
      accept(acceptor_, sockets_, message_limits_,
             [this](std::shared_ptr<Connection> connection) { return serve(std::move(connection)); }),
      asio::detached);
}

awaitable<void> Server::serve(std::shared_ptr<Connection> connection) {
  for (;;) {
    if (connection->is_turn_over()) co_await connection->yield();
    codec::Message& request = connection->in;
    connection->limit(node::steady::now() + (request.begun() ? head_timeout : idle_timeout));
    asio::error_code error;
    const codec::reading reading =
        request.is_complete() ? codec::reading::complete : co_await connection->read(error);
    if (error || reading == codec::reading::unfinished) co_return;
    const bool is_readable = reading == codec::reading::complete;
    // Such a request waited here while this process or the network stood still, and its caller has retried it
    // elsewhere since: an evacuation begun now would be begun after it was revoked.
    if (is_readable && limits_.only_for_connected_callers && connection->peer_gone()) co_return;
    Reply reply = unreadable(reading);
    if (is_readable) reply = co_await reply_within_limits(connection);
    if (is_readable && !connection->open()) co_return;
    // As late as possible: this process may stand still at any line, and none is between this and the write.
    if (reply.valid_until > 0 && now_in_microseconds() > reply.valid_until)
      reply = {503, R"({"fault":"past its time"})", {}, 0};
    // Calls pipelined behind one that cannot be decided here would each wait as long: the caller retries them
    // elsewhere.
    const bool drops_pipelined =
        is_readable && reply.status == 503 && (request.behind() || !connection->still());
    const bool makes_way = sockets_.is_crowded();
    const bool keeps_connection = is_readable && !drops_pipelined && !makes_way && request.keep_alive();
    if (!reserve_reply(*connection, reply)) reply = {503, R"({"fault":"no memory for the answer"})", {}, 0};
    connection->limit(node::steady::now() + write_timeout_of(reply.text().size()));
    std::size_t written = 0;
    const std::string head = head_of(reply, keeps_connection);
    error = co_await connection->write(head, reply.text(), written);
    if (!error && (!is_readable || drops_pipelined)) co_await connection->see_out(close_timeout);
    if (error || !keeps_connection || !can_read_on(request.next())) co_return;
  }
}

// Counts the body until it is written; one that is shared is counted once, whoever reads it. False: no room.
bool Server::reserve_reply(Connection& connection, const Reply& reply) const {
  constexpr std::size_t long_reply_bytes = 64 * 1024;
  using Use = node::MemoryBudget::Use;
  if (reply.shared_body || reply.body.empty()) return true;
  auto reservation = std::make_shared<node::MemoryBudget::Reservation>(sockets_.shared_memory());
  const std::size_t bytes = reply.body.size();
  if (!reservation->resize(bytes, bytes > long_reply_bytes ? Use::long_answer : Use::ordinary)) return false;
  connection.hold(std::move(reservation));
  return true;
}

awaitable<Reply> Server::reply_within_limits(std::shared_ptr<Connection> connection) {
  if (pending_calls_ >= limits_.max_pending_calls)
    co_return Reply{503, R"({"fault":"too many calls wait"})", {}};
  connection->limit(node::steady::now() + limits_.call_timeout);
  ++pending_calls_;
  Reply reply = co_await dispatch(connection->in);
  --pending_calls_;
  co_return reply;
}

awaitable<Reply> Server::dispatch(const codec::Message& request) {
  const std::string_view path = request.target().substr(0, request.target().find('?'));
  bool is_known_path = false;
  for (const Handler& handler : handlers_) {
    if (!path.starts_with(handler.path)) continue;
    const std::string argument(path.substr(handler.path.size()));
    if (!handler.path.ends_with('/') && !argument.empty()) continue;
    if (request.method() != handler.method) {
      is_known_path = true;
      continue;
    }
    co_return co_await handler.invoke(argument, request.body());
  }
  co_return Reply{is_known_path ? 405 : 404, R"({"fault":"no such call"})", {}};
}

}  // namespace robinpin::rpc
