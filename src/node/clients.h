// The clients as peers: takes their txns in, asks the desk what to do with each, and answers.
#pragma once

#include <algorithm>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "../read/house.h"
#include "connection.h"
#include "counters.h"
#include "desk.h"
#include "routes.h"
#include "servers.h"

namespace robinpin::node {

// A client's txn as far as the desk needs it, or the status with which it is turned down.
struct Asked {
  int status = 0;  // 0: fit to be taken
  std::string why;
  std::string id;
  int scheme = -1, tenant = -1;
  micros left = 0;
  Said said;
  double cost = 0;  // its work, in microseconds, where clients tell; else 0
  std::shared_ptr<Outbound> outbound;
};
Asked asked_of(const Message& m, const read::House& house);

class Clients {
 public:
  Clients(asio::io_context& io, const Clock& clock, Sockets& sockets, Counters& counters, Desk& desk,
          Servers& servers, const read::House& house, const Routes& routes);

  // On the descriptor that the platform handed over, where there is one. Throws if it can't.
  void listen(tcp::endpoint at, int inherited = -1);
  tcp::endpoint at() const { return acceptor_.local_endpoint(); }
  awaitable<void> accept();  // until drained
  bool takes() const { return taking_ && !draining_; }
  std::size_t pending() const {  // txns taken and not ended
    return std::size_t(
        std::count_if(seats_.begin(), seats_.end(), [](const Seat& s) { return s.what == doing::txn; }));
  }
  // From now on not ready; goes on serving for as long as the longest expiry, answers all, then returns.
  awaitable<void> drain();

 private:
  using connection = std::shared_ptr<Connection>;
  enum class doing { arriving, nothing, reading, page, txn, leaving };
  struct Seat {  // of an open connection
    std::weak_ptr<Connection> connection;
    doing what = doing::nothing;
    steady::time_point since{};
  };
  using seat = std::list<Seat>::iterator;

  void now_doing(seat s, doing what);
  bool evict();
  bool evict(doing what, steady::duration old);
  void close_idle();
  awaitable<void> serve(connection c);
  awaitable<bool> serve_next(connection c, seat s, steady::time_point until);
  bool stays(const Connection& c) const;
  awaitable<bool> turn_down(connection c, seat s, int status, std::string_view why);
  awaitable<bool> own_page(connection c, seat s);
  awaitable<bool> txn(connection c, seat s);
  awaitable<void> posting(connection c, Desk::visit v, std::shared_ptr<Call> call, Order order,
                          std::shared_ptr<const Outbound> outbound);
  awaitable<bool> answer(connection c, int status, std::string_view headers, std::string_view body,
                         bool may_stay = true);
  awaitable<bool> answer_last(connection c, seat s, int status, std::string_view headers,
                              std::string_view body);
  awaitable<bool> relay(connection c, Call& call, int scheme);
  void watch(const connection& c, std::function<void()> gone);

  asio::io_context& io_;
  const Clock& clock_;
  Sockets& sockets_;
  Counters& counters_;
  Desk& desk_;
  Servers& servers_;
  const read::House& house_;
  const Routes& routes_;
  tcp::acceptor acceptor_;
  std::list<Seat> seats_;  // the longest idle or reading first
  bool taking_ = false, draining_ = false, closing_ = false;
  bool inherited_ = false;  // the listening socket: other processes have it too
};

}  // namespace robinpin::node
