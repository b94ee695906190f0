// The callers' side of a node: takes their requests in, finds the route, asks the module for a server,
// forwards to the node beside it, and answers. Every request ends here with exactly one answer.
#pragma once

#include <functional>
#include <limits>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "../creed/plan.h"
#include "../ground/settings.h"
#include "account.h"
#include "choices.h"
#include "hand.h"
#include "way.h"

namespace robinpin::ambit {

class Carry {
 public:
  Carry(asio::io_context& io, const node::Clock& clock, Sockets& sockets, const ground::Settings& settings,
        Hand& hand, std::uint32_t seed);

  void plan(std::shared_ptr<const creed::Plan> plan);
  void servers(const rumour::Roll& roll, std::int64_t now);
  void ready(bool is) { ready_ = is, hand_.ready(is); }
  // From now on every answer is the last on its connection, and idle ones are closed after a while. What
  // comes from `refuses_from` on (microseconds of the node's clock) is not taken: it would be given up at the
  // end, with its server at work.
  void ends(micros refuses_from);
  // What is still at work gets its answer by then.
  void end_by(micros at) { choices_.end_by(at); }
  // Requests of which bytes have come and whose answer is not written whole yet.
  std::size_t pending() const { return *pending_; }
  std::size_t most_held() const { return most_held_; }  // bytes of callers' bodies at once, so far
  void sweep();

  awaitable<void> serve(std::shared_ptr<Connection> c);        // a caller's
  awaitable<void> serve_inner(std::shared_ptr<Connection> c);  // another node's

  struct Counts {
    std::uint64_t taken = 0, good = 0, failed = 0, refused = 0, further = 0, held = 0, own_4xx = 0,
                  probes = 0;
  };
  const Counts& counts() const { return counts_; }
  std::uint64_t inner_bytes() const { return inner_bytes_; }  // of bodies that other nodes sent
  // How tries of this node's callers ended, by what the server's node said, and its own answers by why.
  const std::map<std::string, std::uint64_t>& endings() const { return endings_; }

 private:
  struct Trip {                      // one request on its way
    std::shared_ptr<Parcel> parcel;  // without the headers of one try
    std::string common;              // headers of every try
    const creed::Channel* channel = nullptr;
    std::shared_ptr<const creed::Plan> plan;  // keeps the channel
    std::string service;
    std::function<void()> left;  // the caller has gone away
    node::Desk* desk = nullptr;
    node::Desk::visit visit;
    micros aim_at = 0;
    int offered = 0, arrivals = 0;  // forwarded; that reached a server
    bool may_have_run = false;
    std::shared_ptr<Result> last;  // what a server answered last, if not good
    std::map<int, std::shared_ptr<Errand>> out;
    std::map<int, std::shared_ptr<Result>> done;
  };
  using trip = std::shared_ptr<Trip>;

  struct Answer {
    int status = 503;
    std::string headers, body;
  };

  awaitable<Answer> answer_to(std::shared_ptr<Connection> c, std::shared_ptr<Source> source, bool& gone);
  awaitable<Answer> run(std::shared_ptr<Connection> c, trip t, bool& gone);
  awaitable<void> post(trip t, node::Order order);
  awaitable<Result> forward(std::shared_ptr<Errand> errand, std::shared_ptr<const Parcel> parcel,
                            std::string server, gate::Gate::Asked asked, steady::time_point until);
  // Reads another node's request; before a long body the gate is asked, and what it holds back is not sent at
  // all. A body of more than `Source::handed` is left to be read on.
  awaitable<codec::reading> read_inner(Connection& c, asio::error_code& error, gate::held& held);
  awaitable<void> probe(node::Desk* desk, std::string server);
  Answer own(int status, std::string_view fault, micros come_back = 0);
  static Answer passed_on(const Fate& f);
  Answer passed_on(const Fate& f, const Trip& t);
  Way& way(rumour::Machine m);
  void extend_idle();

  asio::io_context& io_;
  const node::Clock& clock_;
  Sockets& sockets_;
  const ground::Settings& settings_;
  Hand& hand_;
  node::Counters desk_counts_;
  Choices choices_;
  Account account_;
  std::shared_ptr<const creed::Plan> plan_;
  std::map<rumour::Machine, std::unique_ptr<Way>> ways_;
  std::map<const node::Desk*, bool> probing_;
  std::list<std::weak_ptr<Connection>> callers_;
  const std::size_t most_bodies_;
  std::shared_ptr<std::size_t> bodies_ =
      std::make_shared<std::size_t>(0);  // bytes of callers' bodies that are held
  std::size_t most_held_ = 0;
  std::mt19937 chance_;
  std::uint64_t number_ = 0;
  rumour::Machine self_ = 0;
  bool ready_ = false, ending_ = false;
  micros refuses_from_ = std::numeric_limits<micros>::max();
  std::shared_ptr<std::size_t> pending_ = std::make_shared<std::size_t>(0);
  std::uint64_t inner_bytes_ = 0;
  Counts counts_;
  std::map<std::string, std::uint64_t> endings_;  // a few dozen names at the most
};

}  // namespace robinpin::ambit
