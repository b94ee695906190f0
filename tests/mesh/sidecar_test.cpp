// The way of a request from a client through two nodes to a server and back, over loopback sockets, each
// place at which it can break or fall silent. The servers' own count of runs is the judge.
#include <asio.hpp>
#include <fmt/format.h>

#include <list>
#include <thread>

#include "../../src/sidecar/outbound_proxy.h"
#include "../../src/net/listening.h"
#include "../../src/rpc/server.h"
#include "../../src/transport/address.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using namespace std::chrono_literals;
using asio::awaitable;
using tcp = asio::ip::tcp;

namespace {

// What a server does with a request: the bytes of its answer; nothing closes the connection without a word.
// The request counts as run where `runs` says so.
struct Box {
  std::function<std::string(const codec::Message&)> answer;
  std::function<std::string(const codec::Message&)>
      early;  // to a long body of which only a part has come: nothing closes
  int arrivals = 0, runs = 0;
  int at = 0, taken_in = 0;  // on which connection the present request came; how many there were
  bool ends = false;         // set by an answer: its connection ends behind it
  std::function<std::chrono::milliseconds()> late;  // how long the next answer is held
  std::vector<std::weak_ptr<node::Connection>> connections;
  std::string last_caller, last_instance, last_head;
};

std::string seal_of(const codec::Message& m, const std::string& body = "whole") {
  return fmt::format(
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Length: {}\r\n\r\n{}",
      m.header("X-Attempt-Id"), body.size(), body);
}
const std::string shed = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

struct Answered {
  int status = 0;
  std::string body, seal, retry_after;
};

// CommittedPosition between two who talk, at the callee's address: after so many bytes of one direction it
// closes both sides, or says nothing more. Later connections pass whole.
struct Relay {
  enum class end { close, reset, silence };
  Relay(asio::io_context& io, tcp::acceptor& callee) : io_(io), door_(io) {
    at_ = callee.local_endpoint();
    callee.close();
    callee.open(tcp::v4());
    callee.bind({at_.address(), 0});
    callee.listen();
    callee.non_blocking(true);
    to_ = callee.local_endpoint();
    door_.open(tcp::v4());
    door_.set_option(tcp::acceptor::reuse_address(true));
    door_.bind(at_);
    door_.listen();
    asio::co_spawn(io_, accept(), asio::detached);
  }
  std::size_t up = ~std::size_t(0), down = ~std::size_t(0);  // bytes that pass
  std::function<std::string(int, std::string)> mangle;  // what becomes of bytes for the caller, by connection
  end how = end::close;
  bool met = false;

 private:
  struct Pair {
    explicit Pair(asio::io_context& io) : caller(io), callee(io) {}
    tcp::socket caller, callee;
    int number = 0;
    bool silent = false;
  };
  awaitable<void> accept() {
    for (;;) {
      auto p = std::make_shared<Pair>(io_);
      p->number = ++pairs_;
      asio::error_code wrong;
      p->caller = co_await door_.async_accept(asio::redirect_error(asio::use_awaitable, wrong));
      if (wrong) co_return;
      co_await p->callee.async_connect(to_, asio::redirect_error(asio::use_awaitable, wrong));
      if (wrong) continue;
      asio::co_spawn(io_, pump(p, p->caller, p->callee, up), asio::detached);
      asio::co_spawn(io_, pump(p, p->callee, p->caller, down), asio::detached);
    }
  }
  awaitable<void> pump(std::shared_ptr<Pair> p, tcp::socket& from, tcp::socket& to, std::size_t& most) {
    std::vector<char> bytes(64 * 1024);
    for (asio::error_code wrong;;) {
      std::size_t n = co_await from.async_read_some(asio::buffer(bytes),
                                                    asio::redirect_error(asio::use_awaitable, wrong));
      if (p->silent) co_return;
      const bool ends = !met && n >= most;
      if (ends) n = most;
      if (!met) most -= n;
      asio::error_code lost;
      std::string said(bytes.data(), n);
      if (n > 0 && mangle && &to == &p->caller) said = mangle(p->number, std::move(said));
      if (n > 0)
        co_await asio::async_write(to, asio::buffer(said), asio::redirect_error(asio::use_awaitable, lost));
      if (ends) met = true;
      if (ends && how == end::silence) {
        p->silent = true;
        co_return;
      }
      if (wrong || lost || ends) {
        for (tcp::socket* s : {&p->caller, &p->callee}) {
          if (ends && how == end::reset) s->set_option(asio::socket_base::linger(true, 0), lost);
          s->close(lost);
        }
        co_return;
      }
    }
  }
  asio::io_context& io_;
  tcp::acceptor door_;
  tcp::endpoint at_, to_;
  int pairs_ = 0;
};

// Nodes 0 .. n-1 of one zone, each with a server of service "one"; a client calls node 0.
class Mesh {
 public:
  explicit Mesh(int n, int tries = 2, std::int64_t deadline_ms = 2'000,
                std::size_t memory_bytes = node::MemoryBudget::unlimited)
      : memory(std::make_shared<node::MemoryBudget>(memory_bytes)), sockets_(1'000, memory) {
    for (std::uint16_t port = 22'000; port < 30'000 && !open(n, port); port = std::uint16_t(port + 7))
      nodes_.clear();
    configuration::ConfigurationStore& c = state;
    const auto route = [&](const char* label, const char* mode) {
      c.take(
          {std::string("c/") + label, 1, false,
           fmt::format(
               R"({{"label":"{0}","authority":"a.example","path_prefix":"/{0}/","mode":"{1}","deadline":"{2}ms","setpoint_time":"{2}ms","target":"one","tries":{3}}})",
               label, mode, deadline_ms, tries)});
    };
    route("safe", "idempotent"), route("once", "effectful"), route("big", "inflow");
    c.take({"t/one", 1, false,
            R"({"label":"one","probe":"/probe","conn_limit":100,"warmup":"3s","warmup_per_s":1})"});
    for (int i = 0; i < n; ++i) {
      gossip::MemberRecord r;
      r.machine = machine(i), r.incarnation = 1, r.sequence = 1, r.zone = "z",
      r.server = fmt::format("i-{}", i), r.service = "one", r.slots = 4;
      roll.take(r, 0);
      admission::Server s;
      s.id = r.server, s.service = "one", s.slots = 4, s.sequence = 1;
      nodes_[std::size_t(i)]->hand->admission().on_heartbeat(sidecar::steady_now(), s, 0);
    }
    plan = configuration::RouteTableBuilder().build(c);
    for (auto& node : nodes_) {
      node->carry->plan(plan);
      node->carry->servers(roll, sidecar::steady_now());
      node->carry->ready(true);
    }
  }

  // As a node does with what it has learnt.
  void apply_state() {
    plan = configuration::RouteTableBuilder().build(state);
    for (auto& node : nodes_) node->carry->plan(plan), node->carry->servers(roll, sidecar::steady_now());
  }
  // Another server takes the place of the one beside a node, of a service that may be unknown so far.
  void serve_as(int i, const std::string& service) {
    gossip::MemberRecord r = *roll.find(machine(i));
    admission::Server s = nodes_[std::size_t(i)]->hand->admission().server();
    s.id = r.server = fmt::format("i-{}-{}", service, ++r.sequence), s.service = r.service = service,
    s.sequence = 1;
    roll.take(r, 0);
    nodes_[std::size_t(i)]->hand->admission().on_heartbeat(sidecar::steady_now(), s, 0);
    for (auto& node : nodes_) node->carry->servers(roll, sidecar::steady_now());
  }
  Box& box(int i) { return nodes_[std::size_t(i)]->box; }
  sidecar::OutboundProxy& carry(int i) { return *nodes_[std::size_t(i)]->carry; }
  sidecar::InboundProxy& hand(int i) { return *nodes_[std::size_t(i)]->hand; }
  // The node takes no connection any more, nor goes on with those it has.
  void break_node(int i) { nodes_[std::size_t(i)]->inbound.close(); }
  enum class place { client, nodes, server };
  std::unique_ptr<Relay> relay(place where, int node) {
    Node& n = *nodes_[std::size_t(node)];
    tcp::acceptor& a = where == place::client  ? n.outbound
                       : where == place::nodes ? n.inbound
                                               : n.application;
    calls_at_ = nodes_[0]->outbound.local_endpoint();
    auto r = std::make_unique<Relay>(io, a);
    serve_at(n, a);
    return r;
  }
  // Another incarnation of the server beside it, at its address: connections end, its id is new (or, against
  // the pages, the same).
  void relive(int i, bool renamed) {
    Node& n = *nodes_[std::size_t(i)];
    for (const auto& weak : std::exchange(n.box.connections, {}))
      if (const auto c = weak.lock()) c->abort();
    if (!renamed) return;
    gossip::MemberRecord r = *roll.find(machine(i));
    admission::Server s = n.hand->admission().server();
    s.id = r.server = fmt::format("i-{}-{}", i, ++r.sequence), s.sequence = 1;
    roll.take(r, 0);
    n.hand->admission().on_heartbeat(sidecar::steady_now(), s, 0);
    for (auto& node : nodes_) node->carry->servers(roll, sidecar::steady_now());
  }
  // Another incarnation of the node: the connections of other nodes end.
  void reset_node(int i) {
    for (const auto& weak : std::exchange(nodes_[std::size_t(i)]->inner, {}))
      if (const auto c = weak.lock()) c->abort();
  }
  std::shared_ptr<node::Connection> client() {
    return std::make_shared<node::Connection>(tcp::socket(io), sockets_, HTTP_RESPONSE);
  }
  tcp::endpoint calls_at() const {
    return calls_at_ == tcp::endpoint() ? nodes_[0]->outbound.local_endpoint() : calls_at_;
  }
  // Only these servers are known to the callers.
  void only(std::initializer_list<int> known) {
    gossip::MembershipTable some;
    for (const int i : known) some.take(*roll.find(machine(i)), 0);
    for (auto& node : nodes_) node->carry->servers(some, sidecar::steady_now());
  }
  int runs() {
    int all = 0;
    for (auto& node : nodes_) all += node->box.runs;
    return all;
  }

  node::steady::duration patience = 4s;
  node::steady::duration before_body{};  // between a client's head and its body
  bool breaks_off = false;               // the client closes after what it has sent
  bool until(const std::function<bool()>& is) {
    for (const auto late = node::steady::now() + 5s; !is() && node::steady::now() < late;)
      io.run_one_for(100ms);
    return is();
  }
  void rest() { io.run_for(3ms); }  // what is under way ends: all of it is on this machine
  // A client's call at node 0, until its answer is there.
  Answered call(const std::string& head, const std::string& body = {}) {
    Answered got;
    bool done = false;
    asio::co_spawn(
        io,
        [&]() -> awaitable<void> {
          auto c = client();
          c->limit(node::steady::now() + patience);  // who gets no answer goes
          if (!co_await c->connect(calls_at())) {
            std::size_t written = 0;
            if (before_body > 0s) {
              co_await c->write(head, {}, written);
              asio::steady_timer pause(io, before_body);
              co_await pause.async_wait(asio::use_awaitable);
            }
            co_await c->write(before_body > 0s ? std::string_view() : head, body, written);
            if (breaks_off) {
              c->close();
              done = true;
              co_return;
            }
            asio::error_code error;
            if (co_await c->read(error) == codec::reading::complete) {
              got.status = c->in.status();
              got.body = c->in.body(), got.seal = c->in.header("X-Server-Seal"),
              got.retry_after = c->in.header("Retry-After");
            }
          }
          done = true;
        },
        asio::detached);
    while (!done) {
      io.run_one_for(10s);
      if (const auto then = meanwhile) then();
    }
    return got;
  }
  Answered get(const std::string& path = "/safe/x", const std::string& more = {}) {
    return call(fmt::format(
        "GET {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t{}\r\nX-Remaining-Ms: 2000\r\n{}\r\n", path,
        ++number_, more));
  }
  Answered post(const std::string& path = "/once/x", const std::string& body = "pay") {
    return call(fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t{}\r\nX-Remaining-Ms: "
                            "2000\r\nContent-Length: {}\r\n\r\n",
                            path, ++number_, body.size()),
                body);
  }
  static gossip::Machine machine(int i) {
    return transport::parse_address(fmt::format("127.0.22.{}", i + 1));
  }
  std::function<void()> meanwhile;  // after each turn of a call

  const std::shared_ptr<node::MemoryBudget> memory;  // of all nodes and servers together
  asio::io_context io;
  gossip::MembershipTable roll;
  configuration::ConfigurationStore state;
  std::shared_ptr<const configuration::RouteTable> plan;

 private:
  struct Node {
    explicit Node(asio::io_context& io) : outbound(io), inbound(io), application(io) {}
    bootstrap::Settings settings;
    tcp::acceptor outbound, inbound, application;
    Box box;
    std::vector<std::weak_ptr<node::Connection>> inner;  // of other nodes
    std::unique_ptr<sidecar::InboundProxy> hand;
    std::unique_ptr<sidecar::OutboundProxy> carry;
  };
  bool open(int n, std::uint16_t port) {
    for (int i = 0; i < n; ++i) {
      nodes_.push_back(std::make_unique<Node>(io));
      Node& node = *nodes_.back();
      node.settings.ip = transport::format_address(machine(i));
      node.settings.zone = "z";
      node.settings.target = "caller";
      node.settings.retry_ratio = 0.2, node.settings.retry_slack = 60;
      for (const auto& [name, at] : {std::pair{"outbound", port},
                                     {"inbound", std::uint16_t(port + 1)},
                                     {"application", std::uint16_t(port + 2)}})
        node.settings.ports[name] = fmt::format("{}:{}", node.settings.ip, at);
      try {
        listen(node.outbound, node.settings.ports["outbound"]);
        listen(node.inbound, node.settings.ports["inbound"]);
        listen(node.application, node.settings.ports["application"]);
      } catch (const std::exception&) {
        return false;
      }
      node.hand = std::make_unique<sidecar::InboundProxy>(io, sockets_, node.settings,
                                                          node.application.local_endpoint());
      node.carry =
          std::make_unique<sidecar::OutboundProxy>(io, clock_, sockets_, node.settings, *node.hand, 7);
      for (tcp::acceptor* a : {&node.outbound, &node.inbound, &node.application}) serve_at(node, *a);
    }
    return true;
  }
  void serve_at(Node& node, tcp::acceptor& a) {
    std::function<awaitable<void>(std::shared_ptr<node::Connection>)> f = [this, &node](auto c) {
      return serve(node.box, std::move(c));
    };
    if (&a == &node.outbound) f = [&node](auto c) { return node.carry->serve(std::move(c)); };
    if (&a == &node.inbound)
      f = [&node](auto c) { return node.inner.push_back(c), node.carry->serve_inner(std::move(c)); };
    asio::co_spawn(io, rpc::accept(a, sockets_, {16 * 1024, 1024 * 1024}, std::move(f)), asio::detached);
  }
  static void listen(tcp::acceptor& a, const std::string& at) {
    const auto endpoint = node::endpoint_of(at);
    a.open(endpoint.protocol());
    a.set_option(tcp::acceptor::reuse_address(true));
    a.bind(endpoint);
    a.listen();
    a.non_blocking(true);
  }
  awaitable<void> serve(Box& box, std::shared_ptr<node::Connection> c) {
    box.connections.push_back(c);
    for (const int me = ++box.taken_in;;) {
      asio::error_code error;
      codec::reading got = c->in.is_complete() ? codec::reading::complete : co_await c->read(error, 100'000);
      if (got == codec::reading::longer && box.early) {
        std::size_t written = 0;
        while (c->in.came() < 200'000 && co_await c->more(error) == codec::reading::unfinished && !error)
          c->in.pass_on();
        const std::string said = box.early(c->in);
        if (!said.empty()) co_await c->write(said, {}, written);
        if (box.late) {
          asio::steady_timer pause(io, box.late());
          co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
        c->abort();
        co_return;
      }
      if (got == codec::reading::longer) got = co_await c->read(error);
      if (got != codec::reading::complete) co_return;
      ++box.arrivals, box.at = me;
      box.last_caller = c->in.header("X-Caller-Service");
      box.last_instance = c->in.header("X-Target-Instance");
      box.last_head.clear();
      for (std::size_t i = 0; i < c->in.headers(); ++i)
        box.last_head += fmt::format("{}: {}\n", c->in.header(i).first, c->in.header(i).second);
      const std::string bytes = box.answer ? box.answer(c->in) : (++box.runs, seal_of(c->in));
      const bool ends = std::exchange(box.ends, false);
      if (bytes.empty()) co_return;
      if (box.late) {
        asio::steady_timer pause(io, box.late());
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
      }
      std::size_t written = 0;
      if (co_await c->write(bytes, {}, written) || ends) co_return;
      if (bytes.find("Connection: close") != bytes.npos || c->in.next() == codec::reading::malformed)
        co_return;
    }
  }
  node::Clock clock_;
  node::Sockets sockets_;
  tcp::endpoint calls_at_;
  std::vector<std::unique_ptr<Node>> nodes_;
  int number_ = 0;
};

}  // namespace

TEST_GROUP(Sidecar){};

TEST(Sidecar, a_request_reaches_a_server_as_it_was_sent_and_who_calls_is_not_what_it_says) {
  Mesh m(2);
  m.only({1});
  const Answered a = m.get("/safe/x?y=1",
                           "X-Caller-Service: forged\r\nX-Target-Instance: i-9\r\nX-Mesh-Held: "
                           "x\r\nConnection: X-Drop\r\nX-Drop: 1\r\nX-Kept: 2\r\n");
  CHECK_EQUAL(200, a.status);
  STRCMP_EQUAL("whole", a.body.c_str());
  STRCMP_EQUAL("s", a.seal.c_str());
  STRCMP_EQUAL("caller", m.box(1).last_caller.c_str());
  STRCMP_EQUAL("i-1", m.box(1).last_instance.c_str());
  CHECK(m.box(1).last_head.find("X-Drop") == std::string::npos);
  CHECK(m.box(1).last_head.find("X-Mesh") == std::string::npos);
  CHECK(m.box(1).last_head.find("X-Kept: 2") != std::string::npos);
}

TEST(Sidecar, routes_added_later_by_the_hundred_to_a_service_known_before_them_are_served_like_the_first) {
  Mesh m(3);
  m.serve_as(1, "two");
  CHECK_EQUAL(200, m.get().status);
  std::uint64_t version = 1;
  const auto add = [&](int from, int to) {
    ++version;
    m.state.take(
        {"t/two", version, false, R"({"label":"two","conn_limit":100,"warmup":"3s","warmup_per_s":1})"});
    for (int i = from; i < to; ++i)
      m.state.take(
          {fmt::format("c/later-{}", i), version, false,
           fmt::format(
               R"({{"label":"later-{0}","authority":"a.example","path_prefix":"/later-{0}/","mode":"{1}","deadline":"{2}ms","setpoint_time":"{3}ms","target":"{4}","tries":2}})",
               i, i % 2 ? "idempotent" : "effectful", 2'000 + i, 1'000 + i, i % 3 ? "two" : "one")});
    m.apply_state();
  };
  add(0, 10), add(10, 1'400);
  int served = 0, calls = 0;
  for (int i = 0; i < 1'400; i += 23, ++calls) {
    const int status = m.get(fmt::format("/later-{}/x", i)).status;
    served += status == 200;
    CHECK_EQUAL(200, m.get().status);  // and the first ones as before
  }
  CHECK_EQUAL(calls, served);
  // A route that moves to the other service runs there alone from then on.
  m.state.take(
      {"c/safe", ++version, false,
       R"({"label":"safe","authority":"a.example","path_prefix":"/safe/","mode":"idempotent","deadline":"2s","target":"two"})"});
  m.apply_state();
  const int before = m.box(1).runs;
  for (int i = 0; i < 20; ++i) CHECK_EQUAL(200, m.get().status);
  CHECK_EQUAL(before + 20, m.box(1).runs);
}

TEST(Sidecar, what_a_server_turned_away_runs_at_another_in_every_mode) {
  for (const char* path : {"/once/x", "/big/x", "/safe/x"}) {
    Mesh m(2);
    m.box(0).answer = m.box(1).answer = [&m](const codec::Message& in) {
      return m.box(0).arrivals + m.box(1).arrivals == 1 ? shed : (++m.box(0).runs, seal_of(in));
    };
    CHECK_EQUAL(200, m.post(path).status);
    CHECK_EQUAL(1, m.runs());
    CHECK_EQUAL(2, m.box(0).arrivals + m.box(1).arrivals);
  }
}

TEST(Sidecar, a_server_that_breaks_off_after_it_has_the_request_is_no_promise_and_no_second_run) {
  for (const char* path : {"/once/x", "/big/x"})
    for (int remote = 0; remote < 2; ++remote) {
      Mesh m(2);
      m.only({remote});
      m.box(remote).answer = [&](const codec::Message&) { return ++m.box(remote).runs, std::string(); };
      CHECK_EQUAL(502, m.post(path).status);
      CHECK_EQUAL(1, m.runs());
    }
}

TEST(Sidecar, what_may_run_again_does_and_within_its_tries) {
  Mesh m(2);
  m.box(0).answer = m.box(1).answer = [&](const codec::Message&) { return ++m.box(0).runs, std::string(); };
  CHECK_EQUAL(502, m.get().status);
  CHECK_EQUAL(2, m.runs());
}

TEST(Sidecar, an_answer_that_is_none_never_reaches_a_client_as_one) {
  const auto id = [](const codec::Message& in) { return std::string(in.header("X-Attempt-Id")); };
  const std::vector<std::function<std::string(const codec::Message&)>> spoilt = {
      [&](const auto& in) {
        return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nContent-Length: 2\r\n\r\nok", id(in));
      },
      [&](const auto& in) {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: other{}\r\nX-Server-Seal: s\r\nConnection: "
            "close\r\nContent-Length: 2\r\n\r\nok",
            id(in));
      },
      [&](const auto& in) {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nConnection: close\r\nContent-Length: "
            "20\r\n\r\nok",
            id(in));
      },
      [&](const auto& in) {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nConnection: close\r\n\r\nok", id(in));
      },
      [&](const auto& in) {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Encoding: "
            "gzip\r\nContent-Length: 2\r\n\r\nok",
            id(in));
      },
      [&](const auto&) { return std::string("SSH-2.0 hello\r\n\r\n"); },
  };
  for (std::size_t i = 0; i < spoilt.size(); ++i) {
    Mesh m(2);
    m.only({1});
    m.box(1).answer = [&](const codec::Message& in) { return ++m.box(1).runs, spoilt[i](in); };
    CHECK_EQUAL(502, m.post().status);
    CHECK_EQUAL(1, m.runs());
  }
}

TEST(Sidecar, a_surplus_answer_belongs_to_no_request) {
  Mesh m(1);
  int n = 0;
  m.box(0).answer = [&](const codec::Message& in) {
    std::string a = (++m.box(0).runs, seal_of(in, fmt::format("b{}", ++n)));
    return n == 1 ? a + seal_of(in, "again") : a;
  };
  STRCMP_EQUAL("b1", m.get().body.c_str());
  STRCMP_EQUAL("b2", m.get().body.c_str());
}

TEST(Sidecar, requests_that_a_client_pipelines_are_answered_each_and_in_their_order) {
  for (const int remote : {0, 1}) {
    Mesh m(2);
    m.only({remote});
    Box& box = m.box(remote);
    box.answer = [&](const codec::Message& in) {
      return ++box.runs, seal_of(in, std::string(in.header("X-Attempt-Id")));
    };
    box.late = [&] { return box.runs == 1 ? 20ms : 0ms; };
    std::string got;
    bool over = false;
    asio::co_spawn(
        m.io,
        [&]() -> awaitable<void> {
          const auto c = m.client();
          c->limit(node::steady::now() + 3s);
          co_await c->connect(m.calls_at());
          std::string text;
          for (const std::size_t size : {3, 0, 100'000, 7})
            text += fmt::format(
                "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: p{}\r\nContent-Length: "
                "{}\r\n\r\n{}",
                size, size, std::string(size, 'x'));
          std::size_t written = 0;
          asio::error_code error = co_await c->write(text, {}, written);
          for (int n = 0; n < 4 && !error; ++n) {
            if (!c->in.is_complete()) co_await c->read(error);
            if (!error) got += std::string(c->in.body()) + " ", c->in.next();
          }
          over = true;
        },
        asio::detached);
    CHECK(m.until([&] { return over; }));
    STRCMP_EQUAL("p3 p0 p100000 p7 ", got.c_str());
    CHECK_EQUAL(4, m.runs());
  }
}

// Right behind an answer, or later: the connection rests, and is looked at before it is used again. No call
// is lost to it.
TEST(Sidecar, what_comes_behind_an_answer_ends_its_connection_and_costs_no_call) {
  enum class then { behind, later, closed };
  for (const then when : {then::behind, then::later, then::closed})
    for (const int remote : {0, 1}) {
      Mesh m(2);
      m.only({remote});
      Box& box = m.box(remote);
      box.answer = [&](const codec::Message& in) {
        return ++box.runs, seal_of(in) + (when == then::behind ? "not an answer\r\n\r\n" : "");
      };
      CHECK_EQUAL(200, m.post().status);
      const auto c = box.connections.back().lock();
      asio::error_code wrong;
      if (when == then::later) asio::write(c->socket, asio::buffer("not an answer\r\n\r\n", 17), wrong);
      if (when == then::closed) c->close();
      CHECK_EQUAL(200, m.post().status);
      CHECK_EQUAL(2, box.taken_in);
      CHECK_EQUAL(2, m.runs());
    }
}

TEST(Sidecar, a_late_answer_of_an_earlier_request_is_read_past) {
  Mesh m(1);
  std::string before;
  int n = 0;
  m.box(0).answer = [&](const codec::Message& in) {
    ++m.box(0).runs;
    const std::string stale = before;
    before = seal_of(in, "stale");
    return ++n == 1 ? seal_of(in, "first") : stale + seal_of(in, "second");
  };
  STRCMP_EQUAL("first", m.get().body.c_str());
  STRCMP_EQUAL("second", m.post().body.c_str());
  CHECK_EQUAL(2, m.runs());
}

TEST(Sidecar, a_node_that_takes_no_connection_costs_a_once_only_request_nothing) {
  Mesh m(3);
  m.only({1, 2});
  m.break_node(1);
  for (int i = 0; i < 6; ++i) CHECK_EQUAL(200, m.post().status);
  CHECK_EQUAL(6, m.box(2).runs);
}

TEST(Sidecar, what_a_gate_holds_back_has_not_arrived_and_goes_to_another) {
  Mesh m(3);
  m.only({1, 2});
  admission::Server s = m.hand(1).admission().server();
  s.draining = true, s.sequence = 9;
  m.hand(1).admission().on_heartbeat(sidecar::steady_now(), s, 0);  // callers have not heard of it
  for (int i = 0; i < 6; ++i) CHECK_EQUAL(200, m.post().status);
  CHECK_EQUAL(0, m.box(1).arrivals);
  CHECK_EQUAL(6, m.box(2).runs);
  CHECK_EQUAL(0, m.carry(0).counts().further);  // of the shared limit nothing is spent
}

TEST(Sidecar, where_all_hold_it_back_the_answer_is_a_promise_with_a_time_at_once) {
  Mesh m(2);
  for (int i = 0; i < 2; ++i) m.hand(i).admission().on_departure(fmt::format("i-{}", i));
  const Answered a = m.post();
  CHECK_EQUAL(503, a.status);
  CHECK(!a.retry_after.empty());
  CHECK_EQUAL(0, m.runs());
}

TEST(Sidecar, a_long_body_is_not_sent_to_a_node_that_holds_it_back) {
  Mesh m(3);
  m.only({1, 2});
  m.hand(1).admission().on_departure("i-1");
  const std::string body(300'000, 'b');
  for (int i = 0; i < 4; ++i) CHECK_EQUAL(200, m.post("/big/x", body).status);
  CHECK_EQUAL(4, m.box(2).runs);
  CHECK(m.carry(1).inner_bytes() == 0);
  CHECK(m.carry(2).inner_bytes() == 4 * body.size());
}

TEST(Sidecar, an_address_that_another_service_has_now_runs_nothing) {
  Mesh m(2);
  m.only({1});
  admission::Server s;
  s.id = "i-other", s.service = "other", s.sequence = 1;
  m.hand(1).admission().on_heartbeat(sidecar::steady_now(), s, 0);
  CHECK_EQUAL(503, m.get().status);
  CHECK_EQUAL(0, m.box(1).arrivals);
}

TEST(Sidecar, a_silent_server_ends_with_the_deadline_and_no_promise) {
  Mesh m(2, 2, 300);
  m.only({1});
  std::vector<std::shared_ptr<int>> held;
  m.box(1).answer = [&](const codec::Message& in) {
    ++m.box(1).runs;
    return fmt::format(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Length: 9\r\n\r\nhalf",
        in.header("X-Attempt-Id"));
  };
  CHECK_EQUAL(504, m.post().status);
  CHECK_EQUAL(1, m.runs());
}

TEST(Sidecar, a_callers_final_answer_leaves_before_its_time_is_over) {
  Mesh m(1);
  m.box(0).answer = [](const codec::Message&) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  };
  m.patience = 2s;  // as long as it tells
  CHECK_EQUAL(504, m.post().status);
}

TEST(Sidecar, the_time_of_a_request_runs_from_its_first_byte_also_while_its_body_comes) {
  Mesh m(1, 2, 600);
  m.box(0).answer = [](const codec::Message&) {
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  };
  m.before_body = 400ms;
  const auto begun = std::chrono::steady_clock::now();
  CHECK_EQUAL(504, m.post().status);
  CHECK(std::chrono::steady_clock::now() - begun < 900ms);
}

TEST(Sidecar, the_time_of_a_request_on_a_kept_connection_does_not_run_from_an_earlier_one) {
  Mesh m(1, 2, 600);
  m.box(0).late = [] { return 300ms; };
  std::vector<int> statuses;
  bool done = false;
  asio::co_spawn(
      m.io,
      [&]() -> awaitable<void> {
        auto c = m.client();
        asio::error_code error = co_await c->connect(m.calls_at());
        for (int i = 0; i < 2 && !error; ++i) {
          std::size_t written = 0;
          error = co_await c->write(
              fmt::format("GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: k{}\r\n\r\n", i), {},
              written);
          if (!error && co_await c->read(error) == codec::reading::complete)
            statuses.push_back(c->in.status());
          c->next();
          asio::steady_timer pause(m.io, 400ms);
          co_await pause.async_wait(asio::use_awaitable);
        }
        done = true;
      },
      asio::detached);
  CHECK(m.until([&] { return done; }));
  CHECK(statuses == std::vector<int>({200, 200}));
}

TEST(Sidecar, proper_4xx_of_our_own_and_none_else) {
  Mesh m(1);
  CHECK_EQUAL(404, m.get("/none/x").status);
  CHECK_EQUAL(400, m.call("GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n").status);
  CHECK_EQUAL(400, m.call("nonsense\r\n\r\n").status);
  CHECK_EQUAL(
      400,
      m.call("GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: a\r\nX-Attempt-Id: b\r\n\r\n").status);
  m.carry(0).ready(false);
  const Answered a = m.get("/none/x");
  CHECK_EQUAL(503, a.status);  // it may only not know the route yet
  CHECK(!a.retry_after.empty());
  CHECK_EQUAL(0, m.box(0).arrivals);
}

TEST(Sidecar, a_node_that_ends_answers_the_last_request_and_closes_behind_it) {
  Mesh m(1);
  m.carry(0).ends(std::numeric_limits<micros>::max());
  const Answered a = m.get();
  CHECK_EQUAL(200, a.status);
}

// The process ends once nothing is pending: an answer of which a part waits for its reader is.
TEST(Sidecar, an_answer_that_its_client_reads_slowly_is_pending_until_it_is_written) {
  for (const int remote : {0, 1}) {
    Mesh m(2);
    m.only({remote});
    const std::string large(8 * 1024 * 1024, 'x');
    m.box(remote).answer = [&](const codec::Message& in) { return ++m.box(remote).runs, seal_of(in, large); };
    node::Sockets sockets(10);
    const auto c = std::make_shared<node::Connection>(tcp::socket(m.io), sockets, HTTP_RESPONSE,
                                                      codec::Limits{16 * 1024, 16 * 1024 * 1024});
    bool connected = false;
    asio::co_spawn(
        m.io,
        [&]() -> awaitable<void> {
          co_await c->connect(m.calls_at());
          c->socket.set_option(asio::socket_base::receive_buffer_size(128 * 1024));
          std::size_t written = 0;
          co_await c->write("GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t1\r\n\r\n", {},
                            written);
          connected = true;
        },
        asio::detached);
    CHECK(m.until([&] { return connected && m.runs() == 1; }));
    m.io.run_for(200ms);
    CHECK_EQUAL(1, m.carry(0).pending());
    codec::reading got = codec::reading::unfinished;
    asio::co_spawn(
        m.io,
        [&]() -> awaitable<void> {
          asio::error_code error;
          got = co_await c->read(error);
        },
        asio::detached);
    CHECK(m.until([&] { return got != codec::reading::unfinished; }));
    CHECK(c->in.body() == large);
    CHECK(m.until([&] { return m.carry(0).pending() == 0; }));
  }
}

namespace {

// A client of its own that asks node 0 once, and reads what it is answered.
class Reader {
 public:
  explicit Reader(Mesh& mesh, std::string id = "reader")
      : mesh_(mesh),
        id_(std::move(id)),
        connection_(std::make_shared<node::Connection>(tcp::socket(mesh.io), sockets_, HTTP_RESPONSE,
                                                       codec::Limits{16 * 1024, 16 * 1024 * 1024})) {
    asio::co_spawn(mesh.io, ask(), asio::detached);
  }
  void read() { asio::co_spawn(mesh_.io, read_whole(), asio::detached); }
  void leave() { connection_->close(); }
  bool is_over() const { return is_over_; }
  bool is_whole() const { return connection_->in.is_complete(); }
  const codec::Message& answer() const { return connection_->in; }

 private:
  awaitable<void> ask() {
    co_await connection_->connect(mesh_.calls_at());
    std::size_t written = 0;
    const std::string request =
        fmt::format("GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\n\r\n", id_);
    co_await connection_->write(request, {}, written);
  }
  awaitable<void> read_whole() {
    asio::error_code error;
    co_await connection_->read(error);
    is_over_ = true;
  }
  Mesh& mesh_;
  const std::string id_;
  node::Sockets sockets_{10};
  const std::shared_ptr<node::Connection> connection_;
  bool is_over_ = false;
};

std::string sealed_head(const codec::Message& request, const std::string& framing) {
  return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\n{}\r\n\r\n",
                     request.header("X-Attempt-Id"), framing);
}

std::string in_chunks(const std::string& body, std::size_t size) {
  std::string text;
  for (std::size_t at = 0; at < body.size(); at += size) {
    const std::string piece = body.substr(at, size);
    text += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
  }
  return text + "0\r\n\r\n";
}

std::string counted_text(std::size_t bytes) {
  std::string text;
  for (int n = 0; text.size() < bytes; ++n) text += std::to_string(n);
  return text.substr(0, bytes);
}

constexpr std::size_t megabyte = 1024 * 1024;

}  // namespace

// Guards against answers that a node holds whole: a crowd of slow readers took all memory, or was refused it.
TEST(Sidecar, a_long_answer_arrives_whole_through_nodes_that_have_no_memory_for_it) {
  const std::string body = counted_text(8 * megabyte);
  for (const int remote : {0, 1})
    for (const bool has_length : {true, false}) {
      Mesh m(2, 2, 2'000, 2 * megabyte);
      m.only({remote});
      m.box(remote).answer = [&](const codec::Message& in) {
        ++m.box(remote).runs;
        return has_length ? sealed_head(in, fmt::format("Content-Length: {}", body.size())) + body
                          : sealed_head(in, "Transfer-Encoding: chunked") + in_chunks(body, 10'000);
      };
      for (int n = 1; n <= 2; ++n) {  // the second over the same connections
        Reader reader(m, fmt::format("reader-{}", n));
        reader.read();
        CHECK(m.until([&] { return reader.is_over(); }));
        CHECK_EQUAL(200, reader.answer().status());
        CHECK(reader.answer().body() == body);
        CHECK_EQUAL(has_length, reader.answer().times("Content-Length") == 1);
        CHECK(m.until([&] { return m.carry(0).pending() + m.carry(1).pending() == 0; }));
        CHECK_EQUAL(n, m.runs());
      }
      CHECK_EQUAL(1, m.box(remote).taken_in);
      CHECK_EQUAL(0, m.memory->refused());
    }
}

// Guards against a client that takes half of an answer for the whole of it.
TEST(Sidecar, a_long_answer_that_its_server_breaks_off_ends_as_one_that_is_not_whole) {
  for (const int remote : {0, 1})
    for (const bool has_length : {true, false}) {
      Mesh m(2);
      m.only({remote});
      m.box(remote).answer = [&](const codec::Message& in) {
        ++m.box(remote).runs;
        m.box(remote).ends = true;
        const std::string part = counted_text(megabyte);
        return has_length ? sealed_head(in, "Content-Length: 2000000") + part
                          : sealed_head(in, "Transfer-Encoding: chunked") +
                                in_chunks(part, 10'000).substr(0, megabyte);
      };
      Reader reader(m);
      reader.read();
      CHECK(m.until([&] { return reader.is_over(); }));
      CHECK_EQUAL(200, reader.answer().status());
      CHECK_FALSE(reader.is_whole());
      CHECK_EQUAL(1, m.runs());
      CHECK(m.until([&] { return m.carry(0).pending() + m.carry(1).pending() == 0; }));
    }
}

// Guards against an answer that goes on before another's could not take its place any more.
TEST(Sidecar, a_long_answer_that_breaks_off_at_its_beginning_is_replaced_by_another_servers) {
  Mesh m(3);
  const std::string body = counted_text(megabyte);
  int broken = 0;
  for (const int i : {1, 2})
    m.box(i).answer = [&, i](const codec::Message& in) {
      ++m.box(i).runs;
      const std::string whole = sealed_head(in, fmt::format("Content-Length: {}", body.size())) + body;
      m.box(i).ends = broken++ == 0;
      return m.box(i).ends ? whole.substr(0, 20'000) : whole;
    };
  m.only({1, 2});
  Reader reader(m);
  reader.read();
  CHECK(m.until([&] { return reader.is_over(); }));
  CHECK_EQUAL(200, reader.answer().status());
  CHECK(reader.answer().body() == body);
  CHECK_EQUAL(2, m.runs());
}

// Guards against servers that go on sending to clients that have left.
TEST(Sidecar, a_client_that_leaves_in_the_midst_of_a_long_answer_ends_it_at_its_server) {
  for (const int remote : {0, 1}) {
    Mesh m(2);
    m.only({remote});
    m.box(remote).answer = [&](const codec::Message& in) {
      ++m.box(remote).runs;
      return sealed_head(in, fmt::format("Content-Length: {}", 8 * megabyte)) +
             std::string(8 * megabyte, 'x');
    };
    Reader reader(m);
    CHECK(m.until([&] { return m.runs() == 1; }));
    m.io.run_for(100ms);
    CHECK_EQUAL(1, m.carry(0).pending());
    reader.leave();
    CHECK(m.until([&] { return m.carry(0).pending() + m.carry(1).pending() == 0; }));
    const auto& connections = m.box(remote).connections;
    CHECK(m.until([&] {
      return std::all_of(connections.begin(), connections.end(),
                         [](const auto& c) { return c.expired() || !c.lock()->open(); });
    }));
  }
}

// Guards against readers that take nothing and keep others from their long answers.
TEST(Sidecar, who_reads_nothing_of_a_long_answer_gives_way_to_who_does) {
  const std::string body = counted_text(megabyte);
  Mesh m(1, 2, 20'000, 2 * megabyte);
  m.box(0).answer = [&](const codec::Message& in) {
    ++m.box(0).runs;
    return sealed_head(in, fmt::format("Content-Length: {}", body.size())) + body;
  };
  std::list<Reader> idle;
  for (int n = 0; n < 12; ++n) idle.emplace_back(m);
  CHECK(m.until([&] { return m.runs() >= 4; }));
  m.io.run_for(std::chrono::seconds(node::MemoryBudget::least_age_to_evict) + 200ms);
  Reader reader(m);
  reader.read();
  CHECK(m.until([&] { return reader.is_over(); }));
  CHECK(reader.answer().body() == body);
  CHECK(m.memory->evicted() > 0);
}

TEST(Sidecar, requests_that_were_pipelined_before_a_node_ends_are_all_answered) {
  Mesh m(1);
  m.box(0).late = [] { return 20ms; };
  int answers = 0;
  bool over = false, closed = false;
  asio::co_spawn(
      m.io,
      [&]() -> awaitable<void> {
        const auto c = m.client();
        c->limit(node::steady::now() + 3s);
        co_await c->connect(m.calls_at());
        std::string text;
        for (int n = 0; n < 3; ++n)
          text += fmt::format("GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: p{}\r\n\r\n", n);
        std::size_t written = 0;
        asio::error_code error = co_await c->write(text, {}, written);
        while (!error && answers < 3) {
          if (!c->in.is_complete()) co_await c->read(error);
          if (error) break;
          ++answers, closed = !c->in.keep_alive();
          c->in.next();
        }
        over = true;
      },
      asio::detached);
  CHECK(m.until([&] { return m.box(0).arrivals == 1; }));
  m.carry(0).ends(std::numeric_limits<micros>::max());
  CHECK(m.until([&] { return over; }));
  CHECK_EQUAL(3, answers);
  CHECK(closed);
}

// A connection closed over unread bytes is reset, and what of its last answer has not been sent goes with it.
TEST(Sidecar, bytes_behind_the_last_request_of_a_connection_do_not_cost_its_answer) {
  Mesh m(1);
  const std::string large(2 * 1024 * 1024, 'x');
  m.box(0).answer = [&](const codec::Message& in) { return ++m.box(0).runs, seal_of(in, large); };
  node::Sockets sockets(10);
  const auto c = std::make_shared<node::Connection>(tcp::socket(m.io), sockets, HTTP_RESPONSE,
                                                    codec::Limits{16 * 1024, 16 * 1024 * 1024});
  bool over = false;
  asio::co_spawn(
      m.io,
      [&]() -> awaitable<void> {
        co_await c->connect(m.calls_at());
        c->socket.set_option(asio::socket_base::receive_buffer_size(128 * 1024));
        std::size_t written = 0;
        co_await c->write(
            "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t1\r\nConnection: close\r\n\r\n", {},
            written);
        asio::steady_timer pause(m.io, 200ms);
        asio::error_code error;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        co_await c->write("GET /safe/y HTTP/1.1\r\n", {}, written);
        pause.expires_after(100ms);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
        co_await c->read(error);
        over = true;
      },
      asio::detached);
  CHECK(m.until([&] { return over; }));
  CHECK(c->in.body() == large);
}

namespace {

// A client's connection that carries one request after the other.
struct KeptConnection {
  explicit KeptConnection(Mesh& mesh) : mesh_(mesh), connection_(mesh.client()) {
    connection_->socket.connect(mesh.calls_at());
  }
  void send() {
    asio::write(connection_->socket,
                asio::buffer(fmt::format(
                    "GET /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: k{}\r\n\r\n", ++number_)));
  }
  void end_sending() { connection_->socket.shutdown(tcp::socket::shutdown_send); }
  // The status that comes; 0: the connection ended.
  int status() {
    int status = -1;
    asio::co_spawn(
        mesh_.io,
        [&]() -> awaitable<void> {
          asio::error_code error;
          const bool whole = co_await connection_->read(error) == codec::reading::complete;
          status = whole ? connection_->in.status() : 0;
          connection_->in.next();
        },
        asio::detached);
    mesh_.until([&] { return status >= 0; });
    return status;
  }

 private:
  Mesh& mesh_;
  std::shared_ptr<node::Connection> connection_;
  int number_ = 0;
};

void set_idle(Mesh& m, std::chrono::microseconds idle) {
  auto plan = std::make_shared<configuration::RouteTable>(*m.plan);
  plan->bounds.idle = idle.count();
  m.carry(0).plan(plan);
}

}  // namespace

TEST(Sidecar, a_connection_that_rests_goes_by_a_longer_idle_limit_as_soon_as_it_is_in_force) {
  Mesh m(1);
  set_idle(m, 100ms);
  KeptConnection client(m);
  client.send();
  CHECK_EQUAL(200, client.status());
  m.io.run_for(30ms);
  set_idle(m, 5s);
  m.io.run_for(300ms);
  client.send();
  CHECK_EQUAL(200, client.status());
}

TEST(Sidecar, a_request_that_arrives_as_the_idle_limit_ends_while_the_process_is_busy_is_answered) {
  Mesh m(1);
  set_idle(m, 50ms);
  KeptConnection client(m);
  client.send();
  CHECK_EQUAL(200, client.status());
  m.io.run_for(20ms);
  client.send();
  std::this_thread::sleep_for(100ms);  // the process does other work: its timers and sockets wait
  CHECK_EQUAL(200, client.status());
}

// Of a route that changes all the time each deadline it ever had stays known; in between requests go on.
TEST(Sidecar, requests_go_on_while_a_route_changes_its_deadline_and_its_service_hundreds_of_times) {
  Mesh m(1);
  m.box(0).late = [] { return 2ms; };
  KeptConnection client(m);
  std::chrono::microseconds first{}, last{};
  constexpr int changes = 300;
  for (int n = 1; n <= changes; ++n) {
    auto plan = std::make_shared<configuration::RouteTable>(*m.plan);
    auto channel = std::make_shared<configuration::Route>(*m.plan->find("a.example", "/safe/x"));
    channel->deadline += 1'000 * n, channel->aim = channel->deadline;
    plan->hosts["a.example"]["/safe/"] = channel;
    if (n % 2 == 0) plan->hosts["a.example"].erase("/safe/");  // dropped as the request is at work
    client.send();
    CHECK(m.until([&] { return m.box(0).arrivals == n; }));
    const auto begun = node::steady::now();
    m.carry(0).plan(plan);
    m.carry(0).servers(m.roll, sidecar::steady_now());
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(node::steady::now() - begun);
    (n <= 20 ? first : last) += n <= 20 || n > changes - 20 ? took : 0us;
    CHECK_EQUAL(200, client.status());
    m.carry(0).plan(m.plan);
  }
  CHECK(last < first + 20 * 5ms);  // of twenty changes: the event loop is not held up
  CHECK_EQUAL(changes, m.runs());
}

// Nothing tells a client that only ends its sending from one that has closed, and for that one no server may
// go on working.
TEST(Sidecar, a_client_that_ends_its_sending_counts_as_gone) {
  Mesh m(1);
  m.box(0).late = [] { return 100ms; };
  KeptConnection client(m);
  client.send();
  client.end_sending();
  CHECK_EQUAL(0, client.status());
  CHECK(m.box(0).arrivals <= 1);
}

// Else it is given up when the node's time is over, though its server is at work on it.
TEST(Sidecar, a_node_that_is_about_to_end_takes_no_request_that_it_would_give_up) {
  Mesh m(1);
  m.carry(0).ends(0);
  const Answered a = m.get();
  CHECK_EQUAL(503, a.status);
  CHECK(!a.retry_after.empty());
  CHECK_EQUAL(0, m.box(0).arrivals);
}

TEST(Sidecar, a_chunked_upload_arrives_whole_and_runs_once) {
  Mesh m(2);
  m.only({1});
  std::string got;
  m.box(1).answer = [&](const codec::Message& in) {
    got = in.body();
    return ++m.box(1).runs, seal_of(in);
  };
  const Answered a = m.call(
      "POST /big/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: u1\r\nX-Remaining-Ms: "
      "2000\r\nTransfer-Encoding: chunked\r\n\r\n",
      "5\r\nhello\r\n6\r\n, mesh\r\n0\r\n\r\n");
  CHECK_EQUAL(200, a.status);
  STRCMP_EQUAL("hello, mesh", got.c_str());
  CHECK_EQUAL(1, m.runs());
}

TEST(Sidecar, an_upload_goes_on_as_it_comes_and_takes_no_more_of_a_node_than_its_buffer) {
  for (const int remote : {0, 1}) {
    Mesh m(2);
    m.only({remote});
    const std::string body(900'000, 'u');
    std::size_t got = 0;
    m.box(remote).answer = [&](const codec::Message& in) {
      got = in.body().size();
      return ++m.box(remote).runs, seal_of(in);
    };
    CHECK_EQUAL(200, m.post("/big/x", body).status);
    CHECK_EQUAL(body.size(), got);
    CHECK_EQUAL(1, m.runs());
    CHECK(m.carry(0).most_held() <= 64 * 1024);
    // The next one on the same connections, with chunks.
    std::string chunks;
    for (int i = 0; i < 30; ++i) chunks += fmt::format("{:x}\r\n{}\r\n", 10'000, std::string(10'000, 'c'));
    CHECK_EQUAL(200, m.call("POST /big/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: u9\r\nX-Remaining-Ms: "
                            "2000\r\nTransfer-Encoding: chunked\r\n\r\n",
                            chunks + "0\r\n\r\n")
                         .status);
    CHECK_EQUAL(300'000, int(got));
  }
}

TEST(Sidecar, an_upload_that_its_sender_breaks_off_runs_nowhere_and_leaves_nothing_at_the_gate) {
  for (const int remote : {0, 1}) {
    Mesh m(2);
    m.only({remote});
    m.breaks_off = true;
    m.call(
        "POST /big/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: u1\r\nX-Remaining-Ms: "
        "2000\r\nContent-Length: 900000\r\n\r\n",
        std::string(400'000, 'u'));
    CHECK(m.until([&] {
      return m.carry(0).pending() == 0 && m.carry(1).pending() == 0 &&
             m.hand(remote).admission().in_progress() == 0;
    }));
    CHECK_EQUAL(0, m.box(remote).arrivals);
  }
}

TEST(Sidecar, an_upload_cut_off_on_its_way_has_not_run_and_is_told_so_at_once_and_never_sent_again) {
  const std::string not_executed = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  for (const std::string& said : {std::string(), not_executed})
    for (const int remote : {0, 1}) {
      Mesh m(2);
      int cut = 0;
      for (int i = 0; i < 2; ++i) m.box(i).early = [&](const codec::Message&) { return ++cut, said; };
      m.only({remote});
      const auto begun = std::chrono::steady_clock::now();
      const Answered a = m.post("/big/x", std::string(900'000, 'u'));
      CHECK_EQUAL(503, a.status);
      CHECK(!a.retry_after.empty());
      CHECK_EQUAL(1, cut);
      CHECK_EQUAL(0, m.runs());
      int held = 0;
      for (const auto& [name, n] : m.carry(0).endings())
        held += name.find("held unreachable") != std::string::npos ? int(n) : 0;
      CHECK_EQUAL(0, held);                                  // it has reached the server: an arrival
      CHECK(std::chrono::steady_clock::now() - begun < 1s);  // of the two that it may take
    }
}

// A quarter of the aim ends as a server turns up, in one turn of the loop: the order to send is met by a call
// that is over.
TEST(Sidecar, what_is_ordered_as_its_caller_is_held_out_is_not_sent) {
  Mesh m(1, 2, 200);
  CHECK_EQUAL(200, m.get().status);  // a connection to the server is kept: a byte that is written arrives
  m.only({});
  const auto taken = m.carry(0).counts().taken;
  asio::steady_timer turns_up(m.io);
  m.meanwhile = [&] {
    if (m.carry(0).counts().taken == taken) return;
    m.meanwhile = nullptr;
    const auto now = std::chrono::steady_clock::now();
    turns_up.expires_at(now);
    turns_up.async_wait([&](asio::error_code) { m.only({0}); });
    while (std::chrono::steady_clock::now() < now + 51ms)
      continue;  // both times have come before either is looked at
  };
  const Answered a = m.post();
  for (int i = 0; i < 100; ++i) m.io.poll();  // what is under way arrives
  CHECK_FALSE(bool(m.meanwhile));
  CHECK_EQUAL(1, m.carry(0).endings().count("one:given up held out"));
  CHECK_EQUAL(503, a.status);
  CHECK_EQUAL(1, m.runs());
}

// Each way of a request, broken after so many bytes of either direction, closed, reset or silent, in each
// mode. The servers' own count of runs is the judge.
TEST(Sidecar, wherever_a_way_breaks_nothing_runs_twice_and_no_promise_is_made_for_what_ran) {
  using place = Mesh::place;
  constexpr std::size_t all = ~std::size_t(0);
  struct Break {
    std::size_t up = all, down = all;
  };
  int met = 0, promises = 0, good = 0;
  const auto play = [&](place where, int remote, const char* path, const std::string& body, Relay::end how,
                        Break b) {
    Mesh m(2, 2, how == Relay::end::silence ? 60 : 2'000);
    m.only({remote});
    const auto relay = m.relay(where, where == place::client ? 0 : remote);
    m.patience = how == Relay::end::silence ? 100ms : 3s;
    relay->up = b.up, relay->down = b.down, relay->how = how;
    const Answered a = m.post(path, body);
    m.rest();
    met += relay->met;
    const bool once = std::string_view(path) != "/safe/x";
    const bool promise = a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421;
    if (once) CHECK(m.runs() <= 1);
    if (once && promise) CHECK_EQUAL(0, m.runs());
    if (promise) CHECK(!a.retry_after.empty() || how == Relay::end::silence);
    if (a.status == 200) STRCMP_EQUAL("whole", a.body.c_str());
    if (a.status == 200) CHECK(m.runs() >= 1);
    promises += promise, good += a.status == 200;
  };
  for (const auto& [where, remote] :
       {std::pair{place::client, 1}, {place::nodes, 1}, {place::server, 1}, {place::server, 0}})
    for (const char* path : {"/safe/x", "/once/x", "/big/x"})
      for (const std::size_t size : {std::size_t(3), std::size_t(150'000)}) {
        const std::string body(size, 'x');
        for (const Relay::end how : {Relay::end::close, Relay::end::reset}) {
          for (const std::size_t up :
               {std::size_t(0), std::size_t(120), std::size_t(250), size / 2 + 200, size + 200, size + 300})
            play(where, remote, path, body, how, {up, all});
          if (how == Relay::end::close)
            for (const std::size_t down : {0, 30, 95}) play(where, remote, path, body, how, {all, down});
        }
        if (size == 3)
          for (const Break b : {Break{0, all}, Break{120, all}, Break{all, 0}, Break{all, 40}})
            play(where, remote, path, body, Relay::end::silence, b);
      }
  CHECK(met > 200);
  CHECK(promises > 20);
  CHECK(good > 50);
}

// A turned-away request that names none: a copy of it, late on a kept connection, is not the next one's.
TEST(Sidecar, a_refusal_that_names_no_request_is_taken_once) {
  Mesh m(1);
  int n = 0;
  std::map<int, std::string> owed;
  m.box(0).answer = [&](const codec::Message& in) {
    const std::string before = std::exchange(owed[m.box(0).at], "");
    return ++n == 1 ? (owed[m.box(0).at] = shed) : before + (++m.box(0).runs, seal_of(in));
  };
  CHECK_EQUAL(200, m.post().status);  // turned away, and sent again
  CHECK_EQUAL(200, m.post().status);
  CHECK_EQUAL(2, m.runs());
}

// The same server again, and what it said first comes a second time as it is at work on what was sent again.
TEST(Sidecar, an_answer_to_a_request_under_the_same_id_that_comes_doubled_and_late_counts_once) {
  for (const int remote : {0, 1})
    for (const bool between : {false, true}) {
      if (between && !remote) continue;
      Mesh m(2);
      m.only({remote});
      std::map<int, std::string> owed;
      int n = 0;
      const auto refusal = [](const codec::Message& in) {
        return fmt::format(
            "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n",
            in.header("X-Attempt-Id"));
      };
      m.box(remote).answer = [&](const codec::Message& in) {
        const std::string before = std::exchange(owed[m.box(remote).at], "");
        if (++n == 1) return between ? refusal(in) : (owed[m.box(remote).at] = refusal(in));
        return before + (++m.box(remote).runs, seal_of(in));
      };
      std::unique_ptr<Relay> relay;
      if (between) {
        relay = m.relay(Mesh::place::nodes, remote);
        relay->mangle = [&](int at, std::string bytes) {
          return std::exchange(owed[at], n == 1 ? bytes : "") + bytes;
        };
      }
      const Answered a = m.post();
      m.rest();
      CHECK_EQUAL(200, a.status);
      CHECK_EQUAL(1, m.runs());
    }
}

TEST(Sidecar, an_answer_after_its_time_reaches_nobody_and_its_connection_is_not_used_again) {
  for (const int remote : {0, 1}) {
    Mesh m(2, 1, 60);
    m.only({remote});
    Box& box = m.box(remote);
    box.answer = [&](const codec::Message& in) { return seal_of(in, fmt::format("b{}", ++box.runs)); };
    CHECK_EQUAL(200, m.post().status);
    box.late = [&] { return box.runs == 2 ? 90ms : 0ms; };
    CHECK_EQUAL(504, m.post().status);
    STRCMP_EQUAL("b3", m.post().body.c_str());
    CHECK_EQUAL(2, box.taken_in);
    m.io.run_for(100ms);
    STRCMP_EQUAL("b4", m.post().body.c_str());
    CHECK_EQUAL(4, m.runs());
  }
}

TEST(Sidecar, a_surplus_that_was_cut_off_does_not_lend_its_head_to_the_answer_behind_it) {
  const std::string head =
      "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Sent: 7\r\nX-Attempt-Id: before\r\nContent-Length: "
      "0\r\n\r\n";
  for (std::size_t cut = 1; cut < head.size(); ++cut) {
    Mesh m(2);
    m.only({0});
    int n = 0;
    m.box(0).answer = [&](const codec::Message& in) {
      return (n++ > 0 ? head.substr(0, cut) : "") + (++m.box(0).runs, seal_of(in));
    };
    m.get();
    const int status = m.post().status;
    m.rest();
    CHECK_EQUAL(2, m.runs());
    CHECK(status == 502 || status == 200);
  }
}

TEST(Sidecar, a_servers_own_status_makes_no_promise_for_what_may_run_once) {
  for (const int status : {503, 429, 408})
    for (const char* path : {"/once/x", "/big/x"})
      for (const int remote : {0, 1}) {
        Mesh m(2, 1);
        m.only({remote});
        m.box(remote).answer = [&](const codec::Message& in) {
          return ++m.box(remote).runs,
                 fmt::format("HTTP/1.1 {} Own\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n", status,
                             in.header("X-Attempt-Id"));
        };
        CHECK_EQUAL(502, m.post(path).status);
        CHECK_EQUAL(1, m.runs());
      }
}

TEST(Sidecar, a_probe_takes_no_requests_answer_for_its_own_nor_a_request_a_probes) {
  Mesh m(1);
  std::string owed;
  m.box(0).answer = [&](const codec::Message& in) {
    const std::string before = std::exchange(owed, "");
    if (in.target() != "/probe") return before + (++m.box(0).runs, owed = seal_of(in, "b"));
    owed = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    return before + owed;
  };
  CHECK_EQUAL(200, m.post().status);
  int probed = 0;
  asio::co_spawn(
      m.io, [&]() -> awaitable<void> { probed = (co_await m.hand(0).probe("i-0", 1s))->status; },
      asio::detached);
  CHECK(m.until([&] { return probed != 0; }));
  CHECK_EQUAL(503, probed);
  m.box(0).answer = [&](const codec::Message& in) {
    const bool same = m.box(0).at == 1;
    return (same ? owed : "") + (++m.box(0).runs, seal_of(in));
  };
  CHECK_EQUAL(200, m.post().status);
  CHECK_EQUAL(2, m.runs());
}

// Guards against interim answers without end, which held a request until its deadline.
TEST(Sidecar, a_few_interim_answers_are_read_past_and_many_are_a_spoilt_answer) {
  for (const auto& [interims, status] : {std::pair(16, 200), std::pair(17, 502)}) {
    Mesh m(1);
    m.box(0).answer = [&, count = interims](const codec::Message& in) {
      std::string text;
      for (int n = 0; n < count; ++n) text += "HTTP/1.1 103 Early Hints\r\n\r\n";
      return ++m.box(0).runs, text + seal_of(in);
    };
    CHECK_EQUAL(status, m.post().status);
    CHECK_EQUAL(1, m.runs());
  }
}

// Guards against a probe that holds as much of a faulty server's answer as a request may.
TEST(Sidecar, a_long_answer_to_a_probe_is_a_spoilt_one) {
  Mesh m(1);
  std::size_t bytes = 0;
  m.box(0).answer = [&](const codec::Message&) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", bytes, std::string(bytes, 'b'));
  };
  for (const auto& [longest, answered] : {std::pair(64 * 1024, true), std::pair(64 * 1024 + 1, false)}) {
    bytes = std::size_t(longest);
    std::optional<sidecar::UpstreamResult> probed;
    asio::co_spawn(
        m.io, [&]() -> awaitable<void> { probed = co_await m.hand(0).probe("i-0", 1s); }, asio::detached);
    CHECK(m.until([&] { return probed.has_value(); }));
    CHECK_EQUAL(answered, probed->how_far == sidecar::came::answered);
    CHECK_EQUAL(!answered, probed->broken);
  }
}

TEST(Sidecar, a_server_that_announces_its_warmup_in_a_probes_answer_is_treated_as_cold) {
  Mesh m(1);
  std::string answering = "i-9";  // another instance: says nothing of this one
  m.box(0).answer = [&](const codec::Message&) {
    return fmt::format(
        "HTTP/1.1 200 OK\r\nX-Answering-Instance: {}\r\nX-Warmup-Ms: 2000\r\nContent-Length: 0\r\n\r\n",
        answering);
  };
  const auto probe = [&] {
    int probed = 0;
    asio::co_spawn(
        m.io, [&]() -> awaitable<void> { probed = (co_await m.hand(0).probe("i-0", 1s))->status; },
        asio::detached);
    CHECK(m.until([&] { return probed != 0; }));
    return probed;
  };
  CHECK_EQUAL(200, probe());
  CHECK(!m.hand(0).admission().warming_up(sidecar::steady_now()));
  answering = "i-0";
  CHECK_EQUAL(200, probe());
  CHECK(m.hand(0).admission().warming_up(sidecar::steady_now()));
}

TEST(Sidecar, a_servers_keep_alive_timeout_bounds_the_reuse_of_its_connection) {
  Mesh m(1);
  std::string timeout = "60";
  m.box(0).answer = [&](const codec::Message& in) {
    std::string answer = seal_of(in);
    answer.insert(answer.find("\r\n") + 2, fmt::format("Keep-Alive: timeout={}\r\n", timeout));
    return answer;
  };
  for (int i = 0; i < 2; ++i) CHECK_EQUAL(200, m.get("/safe/x", "Keep-Alive: timeout=5\r\n").status);
  CHECK_EQUAL(1, m.box(0).at);
  CHECK(m.box(0).last_head.find("Keep-Alive") == std::string::npos);  // concerns one connection only
  timeout = "0";
  for (int i = 0; i < 2; ++i) CHECK_EQUAL(200, m.get().status);
  CHECK_EQUAL(2, m.box(0).at);
}

// A stray answer in the midst of an upload: it is no answer to what no server has whole, and nothing is
// waited for.
TEST(Sidecar, a_stray_answer_ends_an_upload_at_once_and_is_not_its_answer) {
  Mesh m(1);
  m.box(0).early = [&](const codec::Message&) {
    return std::string(
        "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\no");
  };
  m.box(0).late = [] { return 1'800ms; };  // and does not close
  const auto begun = std::chrono::steady_clock::now();
  const Answered a = m.post("/big/x", std::string(900'000, 'u'));
  CHECK_EQUAL(503, a.status);
  CHECK(!a.retry_after.empty());
  CHECK_EQUAL(0, m.runs());
  CHECK(std::chrono::steady_clock::now() - begun < 1s);
}

namespace {

// The whole answers at the beginning of what has come, which are taken out of it. Each tells its length, or
// has no body.
std::string taken_whole_answers(std::string& come) {
  std::size_t whole = 0;
  for (;;) {
    const auto head_end = come.find("\r\n\r\n", whole);
    if (head_end == come.npos) break;
    const auto length = come.find("Content-Length: ", whole);
    std::size_t end = head_end + 4;
    if (length < head_end) end += std::stoul(come.substr(length + 16, 20));
    if (end > come.size()) break;
    whole = end;
  }
  std::string taken = come.substr(0, whole);
  come.erase(0, whole);
  return taken;
}

// Drawn plays: clients that keep connections, pipeline and leave; servers whose answers come doubled, late,
// cut off, under another name or none, that fall silent, reset and live again; between the nodes the same.
// Who answered what is written down by the servers, and each client holds its answers against that.
class Play {
 public:
  explicit Play(unsigned seed) : chance_(seed), servers_(1 + draw(3)), m_(servers_, 2, 120) {
    for (int i = 0; i < servers_; ++i)
      m_.box(i).answer = [this, i](const codec::Message& in) { return server(i, in); };
    for (int i = 1; i < servers_ && draw(2) == 0; ++i) {
      relays_.push_back(m_.relay(Mesh::place::nodes, i));
      relays_.back()->mangle = [this, i](int at, std::string bytes) {
        std::string& pending = pending_between_[{i, at}];
        pending += bytes;
        const std::string whole = taken_whole_answers(pending);
        return whole.empty() ? whole : surplus(owed_between_[{i, at}], whole, 10);
      };
    }
    for (int i = 0; i < clients; ++i) asio::co_spawn(m_.io, client(), asio::detached);
    while (left_ > 0 && faults.empty()) {
      m_.io.run_one_for(1s);
      if (draw(150) == 0) m_.relive(draw(servers_), draw(3) > 0);
      if (draw(150) == 0) m_.reset_node(draw(servers_));
    }
    m_.rest();
    for (const auto& [id, r] : asked_) judge(id, r);
  }
  std::string faults;
  int good = 0, promises = 0, unknown = 0, none = 0, surpluses = 0, requests = 0;

 private:
  static constexpr int clients = 5, each = 8;
  struct Request {
    bool once = false;
    int runs = 0, status = 0;
    std::string body;
    std::vector<std::string> said;  // by servers, whole and sealed
  };
  int draw(int of) { return int(chance_() % unsigned(of)); }
  void fault(const std::string& text) { faults += text + "\n"; }

  // What goes out in place of an answer: with a copy of it at once, or later on this connection, whole or cut
  // off.
  std::string surplus(std::string& owed, std::string bytes, int one_in) {
    std::string out = std::exchange(owed, "") + bytes;
    if (draw(one_in) != 0) return out;
    ++surpluses;
    const std::string copy = draw(2) ? bytes : bytes.substr(0, std::size_t(1 + draw(int(bytes.size()))));
    (draw(3) == 0 ? out : owed) += copy;
    return out;
  }
  std::string server(int i, const codec::Message& in) {
    Box& box = m_.box(i);
    const std::string id(in.header("X-Attempt-Id"));
    if (in.target() == "/probe") return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    const auto asked = asked_.find(id);
    if (asked == asked_.end()) return fault(id + " was asked by nobody"), "";
    Request& r = asked->second;
    const auto is = [&](int status, const std::string& more, const std::string& body = {}) {
      return fmt::format("HTTP/1.1 {} Said\r\n{}Content-Length: {}\r\n\r\n{}", status, more, body.size(),
                         body);
    };
    const std::string named = "X-Attempt-Id: " + id + "\r\n", sealed = named + "X-Server-Seal: s\r\n";
    const std::string body =
        fmt::format("{} by {} {}", id, i, std::string(std::size_t(draw(4) ? draw(40) : draw(40'000)), 'w'));
    std::string said;
    const int kind = draw(100);
    if (kind < 8)
      said = is(503, named + "X-Not-Executed: 1\r\n");
    else if (kind < 12)
      said = is(503, "X-Not-Executed: 1\r\n");
    else if (kind < 14)
      said = is(421, draw(2) ? named : "");
    else {
      ++r.runs;
      if (kind < 16) return "";  // a reset, in effect
      if (kind < 18)
        said = is(500, sealed, body);
      else if (kind < 19)
        said = is(draw(2) ? 503 : 429, named);
      else if (kind < 20)
        said = is(500, named + "X-Mesh-Held: cold\r\nX-Mesh-Broke: late\r\n");
      else if (kind < 22)
        said = is(200, "X-Attempt-Id: other\r\nX-Server-Seal: s\r\n", "not yours");
      else if (kind < 24)
        said = is(200, sealed + "Content-Encoding: gzip\r\n", "not plain");
      else if (kind < 26)
        said = is(200, named, "not sealed");
      else if (kind < 28)
        said = is(200, sealed + "Expect: 100-continue\r\n", body), r.said.push_back(body);
      else if (kind < 32) {
        const std::string whole = is(200, sealed, body);
        box.ends = kind < 31;  // else silence
        return whole.substr(0, std::size_t(1 + draw(int(whole.size()) - 1)));
      } else
        said = is(200, sealed, body), r.said.push_back(body);
    }
    return surplus(owed_[{i, box.at}], std::move(said), 4);
  }

  awaitable<void> client() {
    std::shared_ptr<node::Connection> c;
    for (int n = 0; n < each;) {
      if (!c) {
        c = m_.client();
        if (co_await c->connect(m_.calls_at())) break;
      }
      c->limit(node::steady::now() + 2s);
      std::vector<std::string> ids;
      std::string text;
      for (int piped = draw(6) == 0 ? 2 : 1; piped-- > 0 && n < each; ++n) {
        const std::string id = fmt::format("t{}", ++requests),
                          path = std::array{"safe", "once", "big"}[std::size_t(draw(3))];
        const std::string body(std::size_t(draw(8) == 0 ? 80'000 + draw(50'000) : draw(3) * draw(500)), 'u');
        asked_[id].once = path != "safe";
        text += fmt::format(
            "POST /{}/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Remaining-Ms: "
            "100\r\nContent-Length: {}\r\n\r\n{}",
            path, id, body.size(), body);
        ids.push_back(id);
      }
      std::size_t written = 0;
      asio::error_code error = co_await c->write(text, {}, written);
      if (draw(20) == 0) {  // goes away
        c.reset();
        continue;
      }
      bool stays = !error;
      for (const std::string& id : ids) {
        if (!stays) break;
        const auto got = c->in.is_complete() ? codec::reading::complete : co_await c->read(error);
        stays = got == codec::reading::complete && c->in.keep_alive();
        if (c->ran_out()) fault(id + " got no answer");
        if (got != codec::reading::complete) break;
        Request& r = asked_[id];
        r.status = c->in.status(), r.body = c->in.body();
        if (r.status < 300 && c->in.header("X-Attempt-Id") != id)
          fault(id + " got the answer of " + std::string(c->in.header("X-Attempt-Id")));
        if (c->in.next() == codec::reading::malformed) fault(id + " is followed by no answer");
      }
      if (stays && !c->quiet()) fault(ids.back() + " got more than its answer");
      if (!stays) c.reset();
    }
    --left_;
  }

  void judge(const std::string& id, const Request& r) {
    const bool promise = r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421;
    if (r.once && r.runs > 1) fault(fmt::format("{} ran {} times", id, r.runs));
    if (r.once && promise && r.runs > 0) fault(fmt::format("{} ran and got {}", id, r.status));
    if (r.status == 200 && std::find(r.said.begin(), r.said.end(), r.body) == r.said.end())
      fault(fmt::format("{} got 200 '{}'", id, r.body.substr(0, 60)));
    good += r.status == 200, promises += promise, none += r.status == 0,
        unknown += r.status >= 500 && !promise;
  }

  std::mt19937 chance_;
  const int servers_;
  std::map<std::string, Request> asked_;
  std::map<std::pair<int, int>, std::string> owed_, owed_between_, pending_between_;
  Mesh m_;
  std::vector<std::unique_ptr<Relay>> relays_;
  int left_ = clients;
};

}  // namespace

TEST(Sidecar, drawn_plays_of_late_doubled_cut_and_nameless_answers_over_both_hops_bring_each_its_own) {
  int good = 0, promises = 0, unknown = 0, surpluses = 0;
  const char* told = std::getenv("ROBINPIN_PLAYS");  // for a long run
  const unsigned plays = told ? unsigned(std::atoi(told)) : 60;
  for (unsigned seed = 1; seed <= plays; ++seed) {
    Play p(seed);
    STRCMP_EQUAL_TEXT("", p.faults.c_str(), fmt::format("seed {}", seed).c_str());
    good += p.good, promises += p.promises, unknown += p.unknown, surpluses += p.surpluses;
  }
  UT_PRINT(fmt::format("{} plays: {} good, {} promises, {} unknown, {} surpluses", plays, good, promises,
                       unknown, surpluses)
               .c_str());
  CHECK(good > 900 && promises > 30 && unknown > 75 && surpluses > 150);
}
