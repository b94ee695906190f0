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

#include "../bootstrap/settings.h"
#include "../configuration/route_table.h"
#include "inbound_proxy.h"
#include "retry_budget.h"
#include "service_balancers.h"
#include "upstream_pool.h"

namespace robinpin::sidecar {

class OutboundProxy {
 public:
  OutboundProxy(asio::io_context& io, const node::Clock& clock, Sockets& sockets,
                const bootstrap::Settings& settings, InboundProxy& hand, std::uint32_t seed);

  void plan(std::shared_ptr<const configuration::RouteTable> plan);
  void servers(const gossip::MembershipTable& roll, std::int64_t now);
  void ready(bool is) { ready_ = is, inbound_proxy_.ready(is); }
  // From now on every answer is the last on its connection, and idle ones are closed after a while. What
  // comes from `refuses_from` on (microseconds of the node's clock) is not taken: it would be given up at the
  // end, with its server at work.
  void ends(micros refuses_from);
  // What is still at work gets its answer by then.
  void end_by(micros at) { balancers_.end_by(at); }
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
  struct ClientRequest {                       // one request on its way
    std::shared_ptr<OutgoingRequest> request;  // without the headers of one try
    std::string common;                        // headers of every try
    const configuration::Route* channel = nullptr;
    std::shared_ptr<const configuration::RouteTable> plan;  // keeps the channel
    std::string service;
    std::function<void()> left;  // the caller has gone away
    node::Desk* desk = nullptr;
    node::Desk::visit visit;
    micros aim_at = 0;
    int offered = 0, arrivals = 0;  // forwarded; that reached a server
    bool may_have_run = false;
    std::shared_ptr<Result> last;  // what a server answered last, if not good
    std::map<int, std::shared_ptr<InFlightRequest>> out;
    std::map<int, std::shared_ptr<Result>> done;
  };
  using client_request = std::shared_ptr<ClientRequest>;

  struct Answer {
    int status = 503;
    std::string headers, body;
    std::shared_ptr<node::MemoryBudget::Reservation> held;  // the body's
    std::shared_ptr<AnswerStream> stream;                   // in place of the body, for a long one
  };

  awaitable<void> refuse_unread(std::shared_ptr<Connection> c);
  // Writes the answer to the request that was read there. False: not all of it was written. `stays`: whether
  // the connection may be used again, which it says to its peer; it is cleared for an answer that ends with
  // it.
  awaitable<bool> write_answer(std::shared_ptr<Connection> c, Answer answer, bool has_body, bool& stays);
  awaitable<Answer> answer_to(std::shared_ptr<Connection> c, std::shared_ptr<Source> source, bool& gone);
  awaitable<Answer> run(std::shared_ptr<Connection> c, client_request t, bool& gone);
  awaitable<void> post(client_request t, node::Order order);
  awaitable<Result> forward(std::shared_ptr<InFlightRequest> in_flight,
                            std::shared_ptr<const OutgoingRequest> request, std::string server,
                            admission::AdmissionController::RequestInfo asked, steady::time_point until);
  // Reads another node's request; before a long body the gate is asked, and what it holds back is not sent at
  // all. A body of more than `Source::handed` is left to be read on.
  awaitable<codec::reading> read_inner(Connection& c, asio::error_code& error, admission::RejectReason& held);
  awaitable<void> probe(node::Desk* desk, std::string server);
  Answer own(int status, std::string_view fault, micros come_back = 0);
  // Each moves the body.
  static Answer passed_on(UpstreamResult& f);
  Answer passed_on(UpstreamResult& f, const ClientRequest& t);
  UpstreamPool& way(gossip::Machine m);
  void extend_idle();

  asio::io_context& io_;
  const node::Clock& clock_;
  Sockets& sockets_;
  const bootstrap::Settings& settings_;
  InboundProxy& inbound_proxy_;
  node::Counters desk_counts_;
  ServiceBalancers balancers_;
  RetryBudget retry_budget_;
  std::shared_ptr<const configuration::RouteTable> plan_;
  std::map<gossip::Machine, std::unique_ptr<UpstreamPool>> upstreams_;
  std::map<const node::Desk*, bool> probing_;
  std::list<std::weak_ptr<Connection>> callers_;
  const std::size_t most_bodies_;
  std::shared_ptr<std::size_t> bodies_ =
      std::make_shared<std::size_t>(0);  // bytes of callers' bodies that are held
  std::size_t most_held_ = 0;
  std::mt19937 chance_;
  std::uint64_t number_ = 0;
  gossip::Machine self_ = 0;
  bool ready_ = false, ending_ = false;
  micros refuses_from_ = std::numeric_limits<micros>::max();
  std::shared_ptr<std::size_t> pending_ = std::make_shared<std::size_t>(0);
  std::uint64_t inner_bytes_ = 0;
  Counts counts_;
  std::map<std::string, std::uint64_t> endings_;  // a few dozen names at the most
};

}  // namespace robinpin::sidecar
