// What the parts of a rehearsal on sockets share: boxes, list, clients, daemons and timeline stand in a file
// each, over one state. Included by those alone.
#pragma once

#include <fmt/format.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <unordered_set>

#include "../records/records.h"
#include "daemon.h"
#include "peer.h"
#include "plain.h"
#include "stage.h"

namespace robinpin::rehearse {

using namespace std::chrono_literals;
using asio::redirect_error;
using asio::use_awaitable;
using codec::reading;

inline constexpr micros second = 1'000'000;
inline constexpr auto ready_limit = 20s;

inline std::string text_of(const tcp::endpoint& e) {
  return fmt::format("{}:{}", e.address().to_string(), e.port());
}

class Stage {
 public:
  Stage(const Plan& plan, const Setup& setup)
      : plan_(plan), setup_(setup), agenda_(0), asker_(io_), timer_(io_) {
    for (std::size_t i = 0; i < plan.tiers.size(); ++i)
      lists_.push_back(std::make_unique<model::List>(agenda_, plan.list));
    out_.grounds.drain_grace = plan.permissions.drain_grace;
    out_.grounds.second_copies = plan.permissions.second_copies;
    out_.grounds.most_postings = plan.permissions.most_postings;
    for (const auto& s : plan.mix.schemes)
      out_.grounds.schemes.push_back({s.name, s.kind, s.within, s.memory, s.sla, s.revenue});
    for (const auto& h : plan.halls) out_.grounds.halls.push_back(h.name);
    set_up();
  }

  Outcome run(const std::function<void(const Progress&)>& progress, const std::function<bool()>& stop);

 private:
  struct BoxHost {
    int number = 0;
    std::size_t tier = 0;
    std::string name;
    int hall = 0;
    std::unique_ptr<model::Box> box;
    std::vector<tcp::acceptor> acceptors;  // by the hall of who comes
    std::vector<std::vector<tcp::socket>> fillers;
    std::vector<std::weak_ptr<Peer>> peers;
    model::Entry entry;
    int own_node = -1;
    bool silent = false;
    double reset = 0, spoilt = 0;
    std::uint64_t life = 0;
  };
  struct NodeHost {
    int number = 0;
    std::string name;
    int hall = 0;
    std::size_t tier = 0;
    int me = 0, nodes = 1, starts = 0;
    tcp::endpoint listen, list;
    std::unique_ptr<tcp::acceptor> list_acceptor;
    std::unique_ptr<Daemon> daemon;
    std::unique_ptr<PlainNode> plain;
    std::string known;
    std::map<int, bool> told;  // of each box, whether it serves
    std::map<int, micros> starts_told;
    bool believed = false,
         meant = false;  // taken for alive by the front; to be alive, as far as the plan goes
  };
  micros now() const;
  steady::time_point at(micros t) const { return start_ + std::chrono::microseconds(t); }

  void pump();
  awaitable<void> sleep(micros span);

  template <typename Work>
  void spawn(Work work) {
    asio::co_spawn(io_, std::move(work), [this](std::exception_ptr failure) {
      if (!failure) return;
      try {
        std::rethrow_exception(failure);
      } catch (const std::exception& what) {
        if (out_.void_because.empty()) out_.void_because = fmt::format("the kit failed: {}", what.what());
      }
    });
  }

  // ---- setting up

  std::string address(int third, int fourth) const;
  tcp::acceptor listening(tcp::endpoint at, int backlog = 1024);
  tcp::endpoint box_at(int box, int hall) const;
  void set_up();
  void add_node(const std::string& name, int hall, std::size_t tier, int me, int nodes);
  void start_nodes();
  void start(NodeHost& n);
  awaitable<void> await_ready(NodeHost& n);

  // ---- the list

  model::List& list_of(const NodeHost& n) const { return *lists_[n.tier]; }

  std::string list_json(const NodeHost& n, const std::vector<model::Entry>& entries, long long version,
                        bool all) const;

  const BoxHost* box(const std::string& name) const {
    for (const auto& b : boxes_)
      if (b->name == name) return b.get();
    return nullptr;
  }

  void remember(NodeHost& n, const model::Entry& e);
  awaitable<void> serve_list(NodeHost& n, std::shared_ptr<Peer> p);

  // ---- boxes

  bool cut(int a, int b) const { return a != b && (cut_off_.contains(a) || cut_off_.contains(b)); }

  void open(BoxHost& b, int hall);
  void fall_silent(BoxHost& b, int hall);
  void speak_again(BoxHost& b, int hall);
  micros delay(int a, int b, const std::string& id) const;
  awaitable<bool> reaches(BoxHost& b, int hall, std::uint64_t life);
  awaitable<void> serve(BoxHost& b, std::shared_ptr<Peer> p, int hall);
  struct Exchange;
  awaitable<bool> one(BoxHost& b, std::shared_ptr<Peer> p, int hall, std::uint64_t life);
  std::string answer(const BoxHost& b, model::done how, const std::string& id) const;

  // The number that the box gives to the next job: known before it, for what the job is to tell.
  std::uint64_t next_job(const BoxHost& b) const { return b.box->next_number(); }

  double work_of(const Try& t) const;
  Try by_hand(const codec::Message& m, const std::string& id, micros wait) const;
  std::string request(const std::string& id, int scheme, int tenant, micros left, const std::string& mark,
                      bool repeat = false) const;
  awaitable<void> call_next(BoxHost& b, std::uint64_t job, Try caller, std::size_t posting, int n,
                            micros expiry, std::string mark);
  awaitable<Heard> ask(Try t, NodeHost& node, std::string text);

  // ---- clients

  micros longest_expiry() const;
  std::vector<model::Wanted> wanted() const;
  std::vector<model::Wanted> replayed() const;
  void ask_all();
  void ask_next();
  NodeHost* front(int hall, model::Chance& chance);
  awaitable<Heard> ask_for(Try t, NodeHost& node, std::string text);
  awaitable<void> client(std::size_t deal);

  // ---- what goes wrong

  void say(std::string what) { out_.happened.emplace_back(now() - begin_, std::move(what)); }

  std::vector<BoxHost*> struck(const Mishap& m);
  int scheme(const std::string& name) const;
  void befall(const Mishap& m);
  void die(BoxHost& b, bool silently);
  void hang_up(BoxHost& b);
  void revive(BoxHost& b);
  void deploy(const Mishap& m, std::vector<BoxHost*> boxes);
  void kill(NodeHost& n);
  void forgive(const NodeHost& n);
  void roll(const Mishap& m);
  void restart(NodeHost& n, bool killed, micros down);
  void look_after_nodes();
  void fell(BoxHost& b, const std::map<std::string, double>& by_sender);

  // ---- for baselines

  std::vector<PlainNode::Target> boxes_for(const NodeHost& n) const;
  repeats kind_of(const std::string& name) const;

  // ---- the end

  static double kit_cpu();
  Progress how_it_goes();
  void finish();

  const Plan& plan_;
  const Setup& setup_;
  Outcome out_;
  asio::io_context io_{1};
  const steady::time_point start_ = steady::now();
  const std::int64_t unix_start_ms_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count();
  model::Agenda agenda_;
  std::vector<std::unique_ptr<model::List>> lists_;  // a tier's each
  Asker asker_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<BoxHost>> boxes_;
  std::vector<std::unique_ptr<NodeHost>> nodes_;
  std::set<asio::steady_timer*> watching_;
  std::set<int> cut_off_;
  std::multiset<std::string> wrong_;
  std::vector<model::Wanted> wanted_;
  std::vector<double> works_, late_;
  std::unordered_set<std::size_t> out_tries_;
  std::size_t next_client_ = 0, clients_out_ = 0, sends_ = 0;
  double lately_asked_ = 0, lately_served_ = 0;
  micros begin_ = 0;
};

}  // namespace robinpin::rehearse
