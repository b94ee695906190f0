// The module as the network code sees it: a txn is taken, its next order picked, a posting's end reported,
// time ticks. Here the module's decisions are turned into orders; nothing is decided.
#pragma once

#include <asio.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "../limits/limits.h"
#include "../records/records.h"
#include "clock.h"
#include "counters.h"

namespace robinpin::node {

using asio::awaitable;

struct Order {
  enum class what { post, withdraw, settled, declined, reversed, gone };
  what next = what::gone;
  int posting = 0;          // post, withdraw, settled
  std::string server;       // post
  micros wait = 0;          // post: for its answer; 0: until the txn's expiry
  micros come_back = 0;     // declined: how long the client should stay away; 0: not told
  cause why = cause::late;  // declined, reversed
};

class Desk {
 public:
  // A txn's place at the desk.
  class Visit {
   public:
    const std::string id;
    micros expiry;
    bool over() const { return over_; }

   private:
    friend class Desk;
    Visit(asio::io_context& io, std::string name, micros taken, micros until)
        : id(std::move(name)), expiry(until), moved_(taken), news_(io, steady::time_point::max()) {}
    micros moved_;  // when its time began to run, as last told
    asio::steady_timer news_;
    std::deque<Order> orders_;
    int sent_ = 0, out_ = 0;
    limits::Place place_;  // on its route, until its last posting has ended
    bool over_ = false;    // it has its final answer, or nobody waits for it
  };
  using visit = std::shared_ptr<Visit>;

  Desk(asio::io_context& io, const Clock& clock, Counters& counters, Terms terms, std::uint32_t seed,
       records::Facts* facts = nullptr);

  bool knows(const std::string& id) const { return visits_.contains(id); }
  // `arrived`: when its last byte came, from which the time left counts.
  visit take(const std::string& id, int scheme, int tenant, micros arrived, micros left, double cost,
             limits::Taken route = {}, Said said = {});
  awaitable<Order> pick(visit v);  // the next order; the last is a final answer or gone
  void report(const visit& v, int posting, ending how, micros lag, const Report* report);
  // Other terms from now on; what can't be switched while the node runs, by name, and then nothing is.
  std::string adopt(const Terms& next);
  void leave(const visit& v);  // the client has gone away
  // Of a long body more has come: until it is whole the txn's time stands still.
  void still_coming(const visit& v, bool whole);
  void no_further(const visit& v);  // postings: a part of its body is gone
  void end_by(micros at);           // no txn may wait longer: the node ends
  awaitable<void> tick();           // runs as long as the node

  std::size_t members() const;  // servers in the list
  std::size_t avoided() const;  // of them, by the module now

  void want_list();  // without waiting until the module asks
  awaitable<void> list_wanted();
  void list_told(const std::vector<Line>& lines, bool whole, bool asked);
  void list_failed();

  // Who carries the module's probes out, where its terms allow any; each ends with `probed`.
  void probes_by(std::function<void(const std::string& server)> probe) { probe_ = std::move(probe); }
  void probed(const std::string& server, bool ok, micros lag);

 private:
  void carry_out(const Decisions& d);
  void give(const std::string& id, Order order);
  void clip();

  asio::io_context& io_;
  const Clock& clock_;
  Counters& counters_;
  records::Facts none_;  // off
  records::Facts& facts_;
  Balancer balancer_;
  std::unordered_map<std::string, visit> visits_;  // by txn, while it is not over or postings are out
  asio::steady_timer wake_, list_;
  micros due_ = 0;   // of the next look; 0: none
  micros ends_ = 0;  // when the node does; 0: not told
  bool list_wanted_ = false;
  std::function<void(const std::string&)> probe_;
};

}  // namespace robinpin::node
