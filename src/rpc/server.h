// The server of control calls, from application servers, operators and the platform. A call is a type that
// reads itself from a request, and its answer one that converts to status and body. HTTP/1.1, JSON.
#pragma once

#include <asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "../net/connection.h"

namespace robinpin::rpc {

using asio::awaitable;
using node::Connection;
using node::Sockets;
using tcp = asio::ip::tcp;

struct Reply {
  int status = 200;
  std::string body = "{}";
  std::string headers;  // additional ones, each with its line end
  // Microseconds of the steady clock. From then on the reply no longer describes the present, and 503 is sent
  // in its place. 0: never.
  std::int64_t valid_until = 0;
  // In place of `body`: a text that several replies share.
  std::shared_ptr<const std::string> shared_body = nullptr;
  const std::string& text() const { return shared_body ? *shared_body : body; }
};

// Limits on the calls in progress at one server.
struct ServerLimits {
  std::size_t max_pending_calls = 128;            // a further one is answered 503 unread
  std::chrono::milliseconds call_timeout{3'000};  // then the connection is closed without an answer
  // A call whose caller has closed its end is not begun: the caller retries it elsewhere.
  bool only_for_connected_callers = false;
};

// The reason phrase of an HTTP status.
std::string_view phrase(int status);

// Accepts connections and passes each to `serve`, until the acceptor is closed. Out of descriptors it pauses
// instead of spinning.
awaitable<void> accept(tcp::acceptor& acceptor, Sockets& sockets, codec::Limits limits,
                       std::function<awaitable<void>(std::shared_ptr<Connection>)> serve);

// Serves typed calls over HTTP/1.1 at one address. Not thread-safe; has to outlive the loop's run.
class Server {
 public:
  Server(asio::io_context& io, Sockets& sockets, codec::Limits message_limits, ServerLimits limits = {})
      : io_(io), sockets_(sockets), message_limits_(message_limits), limits_(limits), acceptor_(io) {}

  // Registers the handler of a call. `Call` has `method`, `path` (what follows it is the argument) and
  // `read(argument, body)`, which returns nothing for a request that is no such call; `Call::Answer` converts
  // to a Reply.
  template <typename Call>
  void handle(std::function<awaitable<typename Call::Answer>(Call)> handler) {
    handlers_.push_back({Call::method, Call::path,
                         [handler](std::string_view argument, std::string_view body) -> awaitable<Reply> {
                           std::optional<Call> call = Call::read(argument, body);
                           if (!call) co_return Reply{400, R"({"fault":"this call can't be read"})", {}};
                           typename Call::Answer answer = co_await handler(std::move(*call));
                           co_return Reply(answer);
                         }});
  }
  // Throws std::runtime_error if the address cannot be bound.
  void listen(tcp::endpoint at);
  // Starts to accept connections.
  void run();

 private:
  struct Handler {
    std::string_view method, path;
    std::function<awaitable<Reply>(std::string_view argument, std::string_view body)> invoke;
  };

  awaitable<void> serve(std::shared_ptr<Connection> connection);
  // The reply to a request that has been read completely.
  awaitable<Reply> reply_within_limits(std::shared_ptr<Connection> connection);
  bool reserve_reply(Connection& connection, const Reply& reply) const;
  awaitable<Reply> dispatch(const codec::Message& request);

  asio::io_context& io_;
  Sockets& sockets_;
  codec::Limits message_limits_;
  const ServerLimits limits_;
  std::size_t pending_calls_ = 0;
  tcp::acceptor acceptor_;
  std::vector<Handler> handlers_;
};

}  // namespace robinpin::rpc
