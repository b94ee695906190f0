// One generic handler for the calls of servers, operators and the platform: a call is a type that reads
// itself from a request, its answer another that tells status and body. HTTP/1.1, JSON.
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
  std::string headers;     // further ones, each with its line end
  std::int64_t until = 0;  // microseconds of the steady clock: after it this says nothing of now, and 503 is
                           // answered. 0: for ever
};

// Of the calls at work on one port.
struct Bounds {
  std::size_t most_waiting = 128;         // one more is answered 503 unheard
  std::chrono::milliseconds wait{3'000};  // for an answer; then the connection ends without one
  bool for_who_waits =
      false;  // a call whose caller has closed its end is not begun: it has gone elsewhere with it
};

std::string_view phrase(int status);

// Takes connections in and gives each to `serve`. Out of descriptors it waits a little instead of spinning.
awaitable<void> accept(tcp::acceptor& acceptor, Sockets& sockets, codec::Limits limits,
                       std::function<awaitable<void>(std::shared_ptr<Connection>)> serve);

class Port {
 public:
  Port(asio::io_context& io, Sockets& sockets, codec::Limits limits, Bounds bounds = {})
      : io_(io), sockets_(sockets), limits_(limits), bounds_(bounds), acceptor_(io) {}

  // `Call` has `method`, `path` (what follows it is the argument) and `read(argument, body)`, which gives
  // nothing for a text that is no such call; `Call::Answer` turns into a Reply.
  template <typename Call>
  void on(std::function<awaitable<typename Call::Answer>(Call)> answer) {
    calls_.push_back({Call::method, Call::path,
                      [answer](std::string_view argument, std::string_view body) -> awaitable<Reply> {
                        std::optional<Call> call = Call::read(argument, body);
                        if (!call) co_return Reply{400, R"({"fault":"this call can't be read"})", {}};
                        typename Call::Answer said = co_await answer(std::move(*call));
                        co_return Reply(said);
                      }});
  }
  // Throws std::runtime_error if the address can't be had.
  void listen(tcp::endpoint at);
  void run();

 private:
  struct Entry {
    std::string_view method, path;
    std::function<awaitable<Reply>(std::string_view, std::string_view)> answer;
  };
  awaitable<void> serve(std::shared_ptr<Connection> c);
  awaitable<Reply> reply(const codec::Message& m);
  asio::io_context& io_;
  Sockets& sockets_;
  codec::Limits limits_;
  const Bounds bounds_;
  std::size_t waiting_ = 0;
  tcp::acceptor acceptor_;
  std::vector<Entry> calls_;
};

}  // namespace robinpin::rpc
