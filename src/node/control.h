// Where the operators call: whether this process takes clients, and its figures. Its callers have descriptors
// of their own, so that no crowd of clients keeps them out.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include "connection.h"

namespace robinpin::node {

struct Pages {
  std::function<bool()> ready;
  std::function<std::string()> metrics;
  std::function<std::string()> fleet = nullptr;  // none: this node is of no fleet
};

class Control {
 public:
  // Who has brought no whole call for longest makes room for the next one beyond that.
  static constexpr int most_callers = 12, descriptors = most_callers + 2;

  Control(asio::io_context& io, Pages pages);
  void listen(tcp::endpoint at);  // throws if it can't
  tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  awaitable<void> accept();  // runs as long as the node
  int callers() const { return int(callers_.size()); }

 private:
  using connection = std::shared_ptr<Connection>;
  awaitable<void> serve(connection c);
  std::string answer_to(reading got, const Message& call) const;

  asio::io_context& io_;
  const Pages pages_;
  Sockets sockets_{descriptors};
  tcp::acceptor acceptor_;
  std::list<connection> callers_;  // the longest here first
};

}  // namespace robinpin::node
