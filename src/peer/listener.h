// Where other processes of the fleet call: who may, and how much at once. What a call means is its taker's
// matter.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "caller.h"

namespace robinpin::peer {

struct Call {
  std::string path, from, incarnation, body;
};
struct Told {
  int status = 200;
  std::string body;  // JSON
};

class Listener {
 public:
  using taker = std::function<awaitable<Told>(Call)>;
  Listener(asio::io_context& io, Sockets& sockets, std::string fleet, taker take)
      : io_(io), sockets_(sockets), fleet_(std::move(fleet)), take_(std::move(take)), acceptor_(io) {}
  void listen(tcp::endpoint at);  // throws if it can't
  tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  awaitable<void> accept();  // runs as long as the node
  bool evict();              // closes the longest idle caller, if there is one
  std::size_t callers() const { return callers_.size(); }
  std::uint64_t strangers() const { return strangers_; }  // calls that were turned away

 private:
  struct Caller {
    std::shared_ptr<Connection> c;
    bool at_work = false;
    steady::time_point since{};
  };
  awaitable<void> serve(std::list<Caller>::iterator caller);
  std::string refusal(const codec::Message& m) const;  // empty: it may call
  asio::io_context& io_;
  Sockets& sockets_;
  const std::string fleet_;
  const taker take_;
  tcp::acceptor acceptor_;
  std::list<Caller> callers_;
  std::uint64_t strangers_ = 0;
};

}  // namespace robinpin::peer
