#include "stage.h"

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

namespace robinpin::rehearse {

namespace {

using namespace std::chrono_literals;
using asio::redirect_error;
using asio::use_awaitable;
using codec::reading;

constexpr micros second = 1'000'000;
constexpr auto ready_limit = 20s;

std::string text_of(const tcp::endpoint& e) { return fmt::format("{}:{}", e.address().to_string(), e.port()); }

class Stage {
 public:
  Stage(const Plan& plan, const Setup& setup) : plan_(plan), setup_(setup), agenda_(0), asker_(io_), timer_(io_) {
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

  Outcome run(const std::function<void(const Progress&)>& progress, const std::function<bool()>& stop) {
    for (auto& list : lists_)
      list->on_change = [this] {
        for (auto* t : watching_) t->cancel();
      };
    pump();
    if (setup_.boxes_only) {
      while (!stop()) io_.run_for(100ms);
      return std::move(out_);
    }
    start_nodes();
    begin_ = now();
    const micros end = begin_ + plan_.length;
    out_.grounds.from = begin_ + plan_.warm_up;
    out_.grounds.until = end;
    for (const Mishap& m : plan_.mishaps) agenda_.at(begin_ + m.from, [this, &m] { befall(m); });
    ask_all();
    const double cpu = kit_cpu();
    const micros asked_for = longest_expiry() * (plan_.clients.retries + 1);
    for (auto told = steady::now(); now() < end || (clients_out_ > 0 && now() < end + asked_for);) {
      io_.run_for(50ms);
      if (stop()) {
        out_.void_because = "interrupted";
        break;
      }
      if (steady::now() - told < 1s) continue;
      told = steady::now();
      look_after_nodes();
      progress(how_it_goes());
    }
    out_.kit_cores = (kit_cpu() - cpu) / (double(now() - begin_) / 1e6);
    finish();
    return std::move(out_);
  }

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
    std::map<int, bool> told;   // of each box, whether it serves
    std::map<int, micros> starts_told;
    bool believed = false, meant = false;  // taken for alive by the front; to be alive, as far as the plan goes
  };

  micros now() const {
    return std::chrono::duration_cast<std::chrono::microseconds>(steady::now() - start_).count();
  }
  steady::time_point at(micros t) const { return start_ + std::chrono::microseconds(t); }

  // Whatever the model was told, it may be due to act sooner now.
  void pump() {
    agenda_.advance(now());
    const auto next = agenda_.next();
    if (!next) return;
    timer_.expires_at(at(*next));
    timer_.async_wait([this](asio::error_code cancelled) {
      if (!cancelled) pump();
    });
  }

  awaitable<void> sleep(micros span) {
    asio::steady_timer t(io_, std::chrono::microseconds(span));
    co_await t.async_wait(use_awaitable);
  }

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

  std::string address(int third, int fourth) const {
    return fmt::format("127.{}.{}.{}", 64 + int(::getpid()) % 150, third, fourth);
  }

  tcp::acceptor listening(tcp::endpoint at, int backlog = 1024) {
    tcp::acceptor a(io_);
    asio::error_code wrong;
    a.open(at.protocol());
    a.set_option(tcp::acceptor::reuse_address(true));
    a.bind(at, wrong);
    if (!wrong) a.listen(backlog, wrong);
    if (wrong) throw std::runtime_error(fmt::format("{}: {}", text_of(at), wrong.message()));
    return a;
  }

  tcp::endpoint box_at(int box, int hall) const {
    return {asio::ip::make_address(address(10 + hall, box % 250 + 1)), std::uint16_t(3000 + box / 250)};
  }

  void set_up() {
    std::vector<std::shared_ptr<model::Marks>> marks;
    model::Chance places(setup_.seed, "places");
    std::vector<int> in_hall(plan_.halls.size());
    for (std::size_t tier = 0; tier < plan_.tiers.size(); ++tier) {
      std::map<int, std::shared_ptr<model::Marks>> by_group;
      const bool wide = std::all_of(plan_.mix.schemes.begin(), plan_.mix.schemes.end(), [](const auto& s) {
        return s.kind != repeats::referenced || s.within == group::all;
      });
      int spread = int(places.one_of(plan_.halls.size()));
      for (const BoxKind& kind : plan_.tiers[tier].kinds)
        for (int i = 1; i <= kind.count; ++i) {
          auto b = std::make_unique<BoxHost>();
          b->number = int(boxes_.size());
          b->tier = tier;
          b->name = fmt::format("{}-{}", kind.name, i);
          b->hall = spread++ % int(plan_.halls.size());
          const int cell = b->hall * 100 + in_hall[std::size_t(b->hall)]++ / 4;
          auto& group = by_group[wide ? 0 : b->hall];
          if (!group) group = std::make_shared<model::Marks>();
          b->box = std::make_unique<model::Box>(agenda_, kind.make, setup_.seed * 1000 + std::uint64_t(b->number), group);
          b->entry = {b->name, plan_.halls[std::size_t(b->hall)].name, kind.name, cell,
                      kind.make.cores * kind.make.speed, model::state::ready, 0};
          for (int hall = 0; hall < int(plan_.halls.size()); ++hall)
            b->acceptors.push_back(listening(box_at(b->number, hall)));
          b->fillers.resize(plan_.halls.size());
          out_.grounds.boxes.push_back(b->name);
          out_.grounds.box_zone.push_back(b->hall);
          out_.grounds.box_cell.push_back(cell);
          BoxHost* box = b.get();
          b->box->on_fall = [this, box](const auto& by_sender) { fell(*box, by_sender); };
          boxes_.push_back(std::move(b));
          lists_[tier]->knows(boxes_.back()->entry);
        }
    }
    for (auto& b : boxes_)
      for (int hall = 0; hall < int(b->acceptors.size()); ++hall) open(*b, hall);
    if (setup_.boxes_only) return;
    for (int n = 0; n < plan_.nodes; ++n) add_node(fmt::format("front-{}", n + 1), n % int(plan_.halls.size()), 0, n, plan_.nodes);
    for (std::size_t tier = 0; tier + 1 < plan_.tiers.size(); ++tier) {
      int callers = 0, me = 0;
      for (const auto& b : boxes_) callers += b->tier == tier ? 1 : 0;
      for (auto& b : boxes_)
        if (b->tier == tier) {
          b->own_node = int(nodes_.size());
          add_node("of-" + b->name, b->hall, tier + 1, me++, callers);
        }
    }
  }

  void add_node(const std::string& name, int hall, std::size_t tier, int me, int nodes) {
    auto n = std::make_unique<NodeHost>();
    n->number = int(nodes_.size());
    n->name = name;
    n->hall = hall;
    n->tier = tier;
    n->me = me;
    n->nodes = nodes;
    const int third = 1 + n->number / 250 * 2, fourth = n->number % 250 + 1;
    n->listen = {asio::ip::make_address(address(third, fourth)), 3000};
    n->list = {asio::ip::make_address(address(third + 1, fourth)), 8500};
    n->list_acceptor = std::make_unique<tcp::acceptor>(listening(n->list));
    out_.grounds.nodes.push_back(name);
    listening(n->listen);  // taken by somebody else? said now, not by a daemon's log
    nodes_.push_back(std::move(n));
    NodeHost* host = nodes_.back().get();
    spawn([this, host]() -> awaitable<void> {
      for (;;) {
        asio::error_code error;
        tcp::socket s = co_await host->list_acceptor->async_accept(redirect_error(use_awaitable, error));
        if (error) co_return;
        auto p = std::make_shared<Peer>(std::move(s), HTTP_REQUEST);
        spawn([this, host, p]() { return serve_list(*host, p); });
      }
    });
  }

  void start_nodes() {
    for (auto& n : nodes_) start(*n);
    const auto until = steady::now() + ready_limit;
    const auto all_ready = [&] {
      return std::all_of(nodes_.begin(), nodes_.end(), [](const auto& n) { return n->believed; });
    };
    while (!all_ready() && steady::now() < until) {
      io_.run_for(20ms);
      for (auto& n : nodes_)
        if (n->daemon && !n->daemon->running())
          throw std::runtime_error(fmt::format("{} did not start (exit code {}); its log: {}/{}.log", n->name,
                                               n->daemon->ended().value_or(-1), setup_.out, n->name));
    }
    if (!all_ready()) throw std::runtime_error("nodes are not ready after 20 s; their logs are in " + setup_.out);
  }

  void start(NodeHost& n) {
    n.meant = true;
    ++n.starts;
    if (n.known.empty()) {
      n.known = list_json(n, list_of(n).whole(), list_of(n).version(), true);
      for (const auto& e : list_of(n).whole()) remember(n, e);
    }
    if (setup_.by != policy::module) {
      n.plain = std::make_unique<PlainNode>(
          io_, n.listen, setup_.by == policy::random, setup_.seed * 7919 + std::uint64_t(n.number),
          PlainNode::World{[this, &n] { return boxes_for(n); }, plan_.permissions.most_postings,
                           [this](const std::string& name) { return kind_of(name); }});
      n.believed = true;
      return;
    }
    NodeFacts facts{n.name, text_of(n.listen), text_of(n.list), plan_.halls[std::size_t(n.hall)].name, n.known,
                    int(n.tier), n.me, n.nodes, model::mixed(setup_.seed * 1009 + std::uint64_t(n.number * 100 + n.starts))};
    const std::string file = fmt::format("{}/{}.json", setup_.out, n.name);
    std::ofstream(file) << node_json(plan_, facts);
    Daemon::Start how;
    how.command = {setup_.daemon, "serve"};
    if (!plan_.config.empty())
      how.command.insert(how.command.end(),
                         {"--config", (std::filesystem::path(plan_.path).parent_path() / plan_.config).string()});
    how.environment = {{"EDGE_CONFIG", file}};
    how.log = fmt::format("{}/{}.log", setup_.out, n.name);
    how.sockets = plan_.sockets;
    how.memory_mb = plan_.memory_mb;
    if (!n.daemon) n.daemon = std::make_unique<Daemon>(io_);
    n.daemon->start(how);
    spawn([this, &n]() { return await_ready(n); });
  }

  awaitable<void> await_ready(NodeHost& n) {
    const int start = n.starts;
    while (n.meant && n.starts == start && n.daemon->running()) {
      const Heard h = co_await asker_.ask(n.listen, "GET /health/ready HTTP/1.1\r\nHost: n\r\n\r\n", steady::now() + 200ms, [] {});
      if (h.how == came::answered && h.status == 200) {
        n.believed = n.meant && n.starts == start;
        co_return;
      }
      co_await sleep(20'000);
    }
  }

  // ---- the list

  model::List& list_of(const NodeHost& n) const { return *lists_[n.tier]; }

  std::string list_json(const NodeHost& n, const std::vector<model::Entry>& entries, long long version, bool all) const {
    std::string out = fmt::format(R"({{"rev":{},"all":{},"targets":[)", version, all ? "true" : "false");
    bool first = true;
    for (const auto& e : entries) {
      const BoxHost& b = *box(e.uid);
      const char* is = e.is == model::state::ready ? "Ready" : e.is == model::state::draining ? "Terminating" : "Gone";
      const auto boot = e.started == 0 ? 0 : unix_start_ms_ + e.started / 1000;
      out += fmt::format(
          R"({}{{"uid":"{}","endpoint":"{}","az":"{}","model":"{}","pod_group":{},"state":"{}","capacity_hint":{:.3f},"boot_ms":{}}})",
          first ? "" : ",", e.uid, text_of(box_at(b.number, n.hall)), e.zone, e.kind, e.cell, is, e.size, boot);
      first = false;
    }
    return out + "]}";
  }

  const BoxHost* box(const std::string& name) const {
    for (const auto& b : boxes_)
      if (b->name == name) return b.get();
    return nullptr;
  }

  void remember(NodeHost& n, const model::Entry& e) {
    const int number = box(e.uid)->number;
    const bool serving = e.is == model::state::ready;
    n.starts_told[number] = e.started;
    const auto [it, fresh] = n.told.try_emplace(number, serving);
    if (!fresh && it->second == serving) return;
    it->second = serving;
    out_.history.told.push_back({n.number, number, now(), serving});
  }

  awaitable<void> serve_list(NodeHost& n, std::shared_ptr<Peer> p) {
    for (;;) {
      if (co_await p->read() != reading::complete) co_return;
      const std::string target(p->in.target());
      const auto figure = [&](const char* name) {
        const auto found = target.find(name);
        return found == std::string::npos ? -1LL : std::atoll(target.c_str() + found + std::strlen(name));
      };
      const long long after = figure("after=");
      const auto until = steady::now() + std::chrono::milliseconds(std::clamp(figure("wait_ms="), 0LL, 60'000LL));
      bool all = false;
      std::vector<model::Entry> news;
      for (;;) {
        pump();
        news = list_of(n).since(after, all);
        if (all || !news.empty() || steady::now() >= until) break;
        asio::steady_timer t(io_, until);
        watching_.insert(&t);
        asio::error_code woken;
        co_await t.async_wait(redirect_error(use_awaitable, woken));
        watching_.erase(&t);
        if (p->gone()) co_return;
      }
      const micros when = list_of(n).call(news.size());
      if (when < 0) {
        co_await sleep(20'000);
        co_await p->write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
        continue;
      }
      if (when > now()) co_await sleep(when - now());
      const std::string body = list_json(n, news, list_of(n).version(), all);
      if (!co_await p->write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body))) co_return;
      std::set<int> told;
      for (const auto& e : news) {
        remember(n, e);
        told.insert(box(e.uid)->number);
      }
      if (all)
        for (auto& [number, serving] : n.told)
          if (serving && !told.contains(number)) {
            serving = false;
            out_.history.told.push_back({n.number, number, now(), false});
          }
      n.known = list_json(n, list_of(n).whole(), list_of(n).version(), true);
    }
  }

  // ---- boxes

  bool cut(int a, int b) const { return a != b && (cut_off_.contains(a) || cut_off_.contains(b)); }

  void open(BoxHost& b, int hall) {
    spawn([this, &b, hall]() -> awaitable<void> {
      for (;;) {
        asio::error_code error;
        auto& acceptor = b.acceptors[std::size_t(hall)];
        tcp::socket s = co_await acceptor.async_accept(redirect_error(use_awaitable, error));
        if (error) co_return;
        s.set_option(tcp::no_delay(true), error);
        auto p = std::make_shared<Peer>(std::move(s), HTTP_REQUEST);
        std::erase_if(b.peers, [](const auto& w) { return w.expired(); });
        b.peers.push_back(p);
        spawn([this, &b, p, hall]() { return serve(b, p, hall); });
      }
    });
  }

  // Nobody comes up to who is not there: a full queue of connections drops what knocks, as a dead machine does.
  void fall_silent(BoxHost& b, int hall) {
    asio::error_code ignored;
    auto& a = b.acceptors[std::size_t(hall)];
    a.close(ignored);
    a = listening(box_at(b.number, hall), 0);
    auto& fillers = b.fillers[std::size_t(hall)];
    for (int i = 0; i < 3; ++i) {
      fillers.emplace_back(io_);
      fillers.back().open(tcp::v4());
      fillers.back().non_blocking(true);
      // Asio's own would wait for a queue that is to stay full.
      const auto to = box_at(b.number, hall);
      if (::connect(fillers.back().native_handle(), to.data(), socklen_t(to.size())) != 0 && errno != EINPROGRESS)
        throw std::runtime_error(fmt::format("{}: {}", text_of(to), std::strerror(errno)));
    }
  }
  void speak_again(BoxHost& b, int hall) {
    asio::error_code ignored;
    b.fillers[std::size_t(hall)].clear();
    b.acceptors[std::size_t(hall)].close(ignored);
    b.acceptors[std::size_t(hall)] = listening(box_at(b.number, hall));
    open(b, hall);
  }

  micros delay(int a, int b, const std::string& id) const {
    const micros usual = a == b ? plan_.net.same : plan_.net.cross;
    std::uint64_t of = 0;
    for (const char c : id) of = of * 131 + std::uint8_t(c);
    return micros(double(usual) * (1 + plan_.net.jitter * (2 * model::Chance(of, "delay").part() - 1)));
  }

  // A machine that is cut off or silent gets nothing; what was under way comes when it is back, or never.
  awaitable<bool> reaches(BoxHost& b, int hall, std::uint64_t life) {
    while ((b.silent || cut(b.hall, hall)) && b.life == life) co_await sleep(20'000);
    co_return b.life == life;
  }

  awaitable<void> serve(BoxHost& b, std::shared_ptr<Peer> p, int hall) {
    const std::uint64_t life = b.life;
    if (!b.box->connected()) {
      p->reset();
      co_return;
    }
    pump();
    for (;;) {
      const reading got = co_await p->read();
      if (b.life != life) co_return p->reset();
      if (got == reading::unfinished) break;
      if (got != reading::complete) {
        co_await p->write("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        break;
      }
      if (!co_await one(b, p, hall, life)) break;
      if (b.life != life) co_return p->reset();
    }
    b.box->disconnected();
  }

  struct Exchange {
    explicit Exchange(asio::io_context& io) : news(io, steady::time_point::max()) {}
    asio::steady_timer news;
    std::optional<model::done> how;
    bool left = false;
  };

  awaitable<bool> one(BoxHost& b, std::shared_ptr<Peer> p, int hall, std::uint64_t life) {
    const std::string id(p->in.header("Request-Id"));
    const micros wait = std::max(0LL, codec::whole_number(p->in.header("Request-Timeout-Ms"))) * 1000;
    Try* t = out_.history.find(id);
    if (!t) {
      if (!setup_.boxes_only) {
        co_await p->write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
        co_return true;
      }
      t = &out_.history.begin(by_hand(p->in, id, wait));
    }
    const std::size_t number = t->postings.size();
    t->postings.push_back({});
    t->postings.back().box = b.number;
    t->postings.back().came = now();
    const auto posting = [this, id, number]() -> Try::Posting& { return out_.history.find(id)->postings[number]; };
    const micros expiry = now() + wait;
    if (!co_await reaches(b, hall, life)) co_return false;
    co_await sleep(delay(b.hall, hall, id));
    if (b.life != life) co_return false;

    auto x = std::make_shared<Exchange>(io_);
    const Try facts = *out_.history.find(id);
    const auto& scheme = plan_.mix.schemes[std::size_t(facts.scheme)];
    model::Job job;
    job.id = id;
    job.scheme = facts.scheme;
    job.expiry = expiry;
    job.work = work_of(facts) * plan_.tiers[b.tier].work;
    job.calls = b.own_node >= 0 ? model::calls_of(plan_.mix, b.tier, facts.txn, setup_.seed) : 0;
    if (scheme.kind == repeats::referenced) {
      job.mark = std::string(p->in.header("Idempotency-Key"));
      job.window = scheme.memory;
    }
    const std::uint64_t job_number = next_job(b);
    job.ended = [x](model::done how) {
      x->how = how;
      x->news.cancel();
    };
    job.runs = [this, posting, facts] {
      posting().ran = true;
      posting().begun = agenda_.now();
      if (facts.tier == 0 && facts.txn < out_.history.deals.size()) ++out_.history.deals[facts.txn].effects;
    };
    job.call = [this, &b, job_number, facts, number, expiry, mark = job.mark](int n) {
      spawn([=, this, &b]() { return call_next(b, job_number, facts, number, n, expiry, mark); });
    };
    agenda_.advance(now());
    b.box->arrive(std::move(job), out_.grounds.nodes.empty() ? "" : out_.grounds.nodes[std::size_t(facts.node)]);
    pump();
    p->socket.async_wait(tcp::socket::wait_read, [x, p](asio::error_code cancelled) {
      if (cancelled || !p->gone()) return;
      x->left = true;
      x->news.cancel();
    });
    while (!x->how && !x->left && b.life == life) {
      asio::error_code woken;
      co_await x->news.async_wait(redirect_error(use_awaitable, woken));
    }
    asio::error_code ignored;
    if (p->socket.is_open()) p->socket.cancel(ignored);
    if (b.life != life) co_return false;
    if (x->left && !x->how) {
      posting().gone = true;
      agenda_.advance(now());
      b.box->cancel(job_number);
      pump();
      co_return false;
    }
    posting().over = now();
    co_await sleep(delay(b.hall, hall, id));
    if (!co_await reaches(b, hall, life)) co_return false;
    model::Chance fate(setup_.seed, "fate" + id, number);
    if (*x->how == model::done::served && fate.hits(b.reset)) {
      p->reset();
      co_return false;
    }
    if (*x->how == model::done::served && fate.hits(b.spoilt)) {
      co_await p->write("HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n" + id);
      co_return true;
    }
    co_return co_await p->write(answer(b, *x->how, id));
  }

  std::string answer(const BoxHost& b, model::done how, const std::string& id) const {
    const model::Load l = b.box->load();
    const std::string load = fmt::format("Server-Load: pending={},busy_reqs={},cpu_share={:.2f},svc_ms={:.1f}\r\n",
                                         l.waiting, l.in_work, l.busy, double(l.latency) / 1000);
    if (how == model::done::served) {
      const std::string body = id + " by " + b.name;
      return fmt::format("HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}", load, body.size(), body);
    }
    return how == model::done::refused
               ? fmt::format("HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\n{}Content-Length: 0\r\n\r\n", load)
               : fmt::format("HTTP/1.1 500 Internal Server Error\r\n{}Content-Length: 0\r\n\r\n", load);
  }

  // The number that the box gives to the next job: known before it, for what the job is to tell.
  std::uint64_t next_job(const BoxHost& b) const { return b.box->next_number(); }

  double work_of(const Try& t) const {
    return t.txn < works_.size() ? works_[t.txn] : plan_.mix.schemes[std::size_t(t.scheme)].work;
  }

  // A request poked in by hand, where only the boxes are played.
  Try by_hand(const codec::Message& m, const std::string& id, micros wait) const {
    Try t;
    t.id = id;
    t.txn = ~0ULL;
    t.expiry = now() + wait;
    for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
      if (plan_.mix.schemes[i].name == m.header("Request-Class")) t.scheme = int(i);
    return t;
  }

  std::string request(const std::string& id, int scheme, int tenant, micros left, const std::string& mark,
                      bool repeat = false) const {
    const auto& s = plan_.mix.schemes[std::size_t(scheme)];
    const std::string key = s.kind == repeats::referenced ? fmt::format("Idempotency-Key: {}\r\n", mark) : "";
    const std::string who =
        tenant >= 0 ? fmt::format("Tenant: {}\r\n", plan_.mix.tenants[std::size_t(tenant)].name) : "";
    return fmt::format(
        "{} /api HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: {}\r\nRequest-Class: {}\r\n{}{}"
        "{}Request-Timeout-Ms: {}\r\nContent-Length: 0\r\n\r\n",
        s.kind == repeats::repeatable ? "GET" : "POST", id, s.name, who, key,
        repeat ? "Client-Retry: 1\r\n" : "", std::max<micros>(0, left / 1000));
  }

  awaitable<void> call_next(BoxHost& b, std::uint64_t job, Try caller, std::size_t posting, int n, micros expiry,
                            std::string mark) {
    const std::uint64_t life = b.life;
    NodeHost& node = *nodes_[std::size_t(b.own_node)];
    Try t;
    t.id = fmt::format("{}.{}-{}", caller.id, posting, n);
    t.tier = caller.tier + 1;
    t.scheme = caller.scheme;
    t.node = node.number;
    t.txn = caller.txn;
    t.sent = now();
    t.expiry = expiry;
    bool served = false;
    const int tenant = caller.txn < out_.history.deals.size() ? out_.history.deals[caller.txn].tenant : -1;
    if (expiry - now() > 1000) {
      const std::string id = t.id;
      const Heard h = co_await ask(std::move(t), node, request(id, caller.scheme, tenant, expiry - now(), mark + "." + std::to_string(n)));
      served = h.how == came::answered && h.status == 200;
    }
    if (b.life != life) co_return;
    agenda_.advance(now());
    b.box->called(job, served);
    pump();
  }

  // One try from its sending to its answer, in the history.
  awaitable<Heard> ask(Try t, NodeHost& node, std::string text) {
    const std::string id = t.id;
    const micros until = t.expiry + 2 * out_.grounds.slack;
    const std::size_t number = out_.history.tries.size();
    out_.history.begin(std::move(t));
    out_tries_.insert(number);
    const Heard h = co_await asker_.ask(node.listen, std::move(text), at(until), [this, number] {
      Try& sent = out_.history.tries[number];
      // Kept as it was first sent: the client's time runs from there.
      if (!sent.taken) sent.expiry += now() - sent.sent, sent.sent = now();
      sent.taken = true;
      ++sends_;
    });
    out_tries_.erase(number);
    Try& done = out_.history.tries[number];
    if (h.how == came::answered) {
      done.answered = now();
      done.how = h.status == 200                        ? answer::settled
                 : h.status == 429 || h.status == 503 ? answer::declined
                                                      : answer::failed;
      done.spoilt = h.status == 200 && !h.body.starts_with(id + " by ");
    } else if (h.how == came::broken) {
      done.how = answer::broken;
      done.answered = now();
    }
    co_return h;
  }

  // ---- clients

  micros longest_expiry() const {
    micros most = 0;
    for (const auto& s : plan_.mix.schemes) most = std::max(most, s.expiry);
    return most;
  }

  std::vector<model::Wanted> wanted() const {
    if (plan_.replay.empty()) {
      std::vector<model::Jump> jumps;
      for (const Mishap& m : plan_.mishaps)
        if (m.what == trouble::jump) jumps.push_back({m.from, m.from + m.span, m.size});
      return model::drawn(plan_.mix, jumps, plan_.length, setup_.seed);
    }
    return replayed();
  }

  // The mix and the pacing of txns that a node has recorded; what they cost is drawn.
  std::vector<model::Wanted> replayed() const {
    const auto path = std::filesystem::path(plan_.path).parent_path() / plan_.replay;
    std::vector<model::Wanted> all;
    micros first = -1;
    for (const auto& f : records::read_back(path.string()).facts) {
      if (f.fact != "taken") continue;
      if (first < 0) first = f.wall;
      model::Wanted w;
      w.at = micros(double(f.wall - first) / plan_.pace);
      if (w.at < 0 || w.at >= plan_.length) continue;
      w.number = all.size();
      bool known = false;
      for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
        if (plan_.mix.schemes[i].name == f.scheme) w.scheme = int(i), known = true;
      if (!known) continue;
      for (std::size_t i = 0; i < plan_.mix.tenants.size(); ++i)
        if (plan_.mix.tenants[i].name == f.tenant) w.tenant = int(i);
      if (w.tenant < 0 && !plan_.mix.tenants.empty()) w.tenant = 0;
      model::Chance own(setup_.seed, "txn", w.number);
      w.hall = int(own.one_of(plan_.halls.size()));
      const auto& s = plan_.mix.schemes[std::size_t(w.scheme)];
      w.work = own.around(s.work, s.spread);
      all.push_back(w);
    }
    if (all.empty()) throw std::runtime_error(path.string() + ": holds no txns of the plan's schemes");
    std::stable_sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    return all;
  }

  void ask_all() {
    wanted_ = wanted();
    for (auto& w : wanted_) {
      works_.push_back(w.work);
      Deal d;
      d.asked = begin_ + w.at;
      d.scheme = w.scheme;
      d.tenant = w.tenant;
      d.hall = w.hall;
      out_.history.deals.push_back(d);
    }
    out_.history.tries.reserve(wanted_.size() * 4);
    next_client_ = 0;
    ask_next();
  }

  // One entry at a time: the agenda holds the next client only.
  void ask_next() {
    if (next_client_ >= wanted_.size()) return;
    const std::size_t deal = next_client_++;
    const micros due = begin_ + wanted_[deal].at;
    agenda_.at(due, [this, deal, due] {
      ++clients_out_;
      late_.push_back(double(std::max<micros>(0, now() - due)) / 1000);
      spawn([this, deal]() -> awaitable<void> {
        co_await client(deal);
        --clients_out_;
      });
      ask_next();
    });
  }

  NodeHost* front(int hall, model::Chance& chance) {
    std::vector<NodeHost*> near, any;
    for (auto& n : nodes_)
      if (n->tier == 0 && n->believed) {
        any.push_back(n.get());
        if (n->hall == hall) near.push_back(n.get());
      }
    auto& from = near.empty() ? any : near;
    return from.empty() ? nullptr : from[chance.one_of(from.size())];
  }

  // A client gives up when its time is over, and what it does next may cross the answer that is on its way.
  awaitable<Heard> ask_for(Try t, NodeHost& node, std::string text) {
    struct Waiting {
      explicit Waiting(asio::io_context& io) : news(io) {}
      asio::steady_timer news;
      std::optional<Heard> heard;
    };
    auto w = std::make_shared<Waiting>(io_);
    w->news.expires_at(at(t.expiry));
    spawn([this, w, t = std::move(t), &node, text = std::move(text)]() -> awaitable<void> {
      w->heard = co_await ask(t, node, text);
      w->news.cancel();
    });
    asio::error_code woken;
    co_await w->news.async_wait(redirect_error(use_awaitable, woken));
    Heard late;
    late.how = came::late;
    co_return w->heard ? std::move(*w->heard) : late;
  }

  awaitable<void> client(std::size_t deal) {
    const model::Wanted w = wanted_[deal];
    const auto& scheme = plan_.mix.schemes[std::size_t(w.scheme)];
    model::Chance chance(setup_.seed, "client", w.number);
    const std::string mark = fmt::format("{:016x}", model::mixed(setup_.seed ^ model::mixed(w.number)));
    for (int n = 0;; ++n) {
      Deal& asked = out_.history.deals[deal];
      const micros wait = model::patience(plan_.clients, scheme, n, n > 0 ? now() - asked.asked : 0);
      if (wait <= 0) break;
      ++asked.tries;
      model::heard how = model::heard::unreachable;
      micros come_back = 0;
      if (NodeHost* node = front(w.hall, chance)) {
        co_await sleep(plan_.net.client);
        Try t;
        t.id = fmt::format("{}-{}", mark, n);
        t.scheme = w.scheme;
        t.node = node->number;
        t.txn = deal;
        t.sent = now();
        t.expiry = t.sent + wait;
        const std::string text = request(t.id, w.scheme, w.tenant, wait, mark, n > 0 && plan_.clients.marks);
        const Heard h = co_await ask_for(std::move(t), *node, text);
        co_await sleep(plan_.net.client);
        come_back = h.come_back;
        how = h.how == came::unreachable ? model::heard::unreachable
              : h.how != came::answered  ? (h.how == came::late ? model::heard::nothing : model::heard::failed)
              : h.status == 200          ? model::heard::settled
              : h.status == 503 || h.status == 429 ? model::heard::declined
                                                   : model::heard::failed;
      }
      Deal& d = out_.history.deals[deal];
      if (how == model::heard::settled) {
        d.answered = now();
        lately_served_ += 1;
      }
      const micros rest = model::again(plan_.clients, scheme, n, how, come_back, d.asked, now(), chance);
      if (rest < 0) break;
      co_await sleep(rest);
    }
    lately_asked_ += 1;
  }

  // ---- what goes wrong

  void say(std::string what) { out_.happened.emplace_back(now() - begin_, std::move(what)); }

  std::vector<BoxHost*> struck(const Mishap& m) {
    std::vector<BoxHost*> fit;
    for (auto& b : boxes_) {
      if (!m.boxes.empty()) {
        if (std::find(m.boxes.begin(), m.boxes.end(), b->name) != m.boxes.end()) fit.push_back(b.get());
        continue;
      }
      if (!m.tier.empty() && plan_.tiers[b->tier].name != m.tier) continue;
      if (m.tier.empty() && b->tier != 0 && m.what != trouble::dear && m.hall.empty()) continue;
      if (!m.hall.empty() && plan_.halls[std::size_t(b->hall)].name != m.hall) continue;
      fit.push_back(b.get());
    }
    if (!m.boxes.empty() || m.share >= 1 || m.what == trouble::dear) return fit;
    // Drawn by the fault's place in the plan: the same boxes on every run of a seed.
    model::Chance chance(setup_.seed, "struck", std::uint64_t(&m - plan_.mishaps.data()));
    const auto wanted = std::size_t(std::max(1.0, std::round(m.share * double(fit.size()))));
    while (fit.size() > wanted) fit.erase(fit.begin() + std::ptrdiff_t(chance.one_of(fit.size())));
    return fit;
  }

  int scheme(const std::string& name) const {
    for (std::size_t i = 0; i < plan_.mix.schemes.size(); ++i)
      if (plan_.mix.schemes[i].name == name) return int(i);
    return -1;
  }

  void befall(const Mishap& m) {
    const auto boxes = struck(m);
    const std::string label = fmt::format("{} ({})", word(m.what), boxes.size() == 1 ? boxes[0]->name : fmt::format("{} boxes", boxes.size()));
    const auto over = [&](std::function<void()> then, const std::string& what) {
      wrong_.insert(what);
      agenda_.in(m.span, [this, then = std::move(then), what] {
        then();
        wrong_.erase(wrong_.find(what));
        say(what + " is over");
      });
    };
    const auto each = [&](auto change, auto back) {
      for (auto* b : boxes) change(*b);
      over([boxes, back] { for (auto* b : boxes) back(*b); }, label);
      say(label);
    };
    switch (m.what) {
      case trouble::slow:
        return each([&](BoxHost& b) { b.box->slow(m.size); }, [](BoxHost& b) { b.box->slow(1); });
      case trouble::taken:
        return each([&](BoxHost& b) { b.box->take_away(m.size); }, [](BoxHost& b) { b.box->take_away(0); });
      case trouble::hanging:
        return each([](BoxHost& b) { b.box->hang(true); }, [](BoxHost& b) { b.box->hang(false); });
      case trouble::failing:
        return each([&](BoxHost& b) { b.box->fail(m.size); }, [](BoxHost& b) { b.box->fail(0); });
      case trouble::refusing:
        return each([](BoxHost& b) { b.box->refuse(true); }, [](BoxHost& b) { b.box->refuse(false); });
      case trouble::reset:
        return each([&](BoxHost& b) { b.reset = m.size; }, [](BoxHost& b) { b.reset = 0; });
      case trouble::spoilt:
        return each([&](BoxHost& b) { b.spoilt = m.size; }, [](BoxHost& b) { b.spoilt = 0; });
      case trouble::dear: {
        const int s = scheme(m.scheme);
        return each([&](BoxHost& b) { b.box->dear(s, m.share, m.size); }, [s](BoxHost& b) { b.box->cheap(s); });
      }
      case trouble::dead:
        return each([this](BoxHost& b) { die(b, false); }, [this](BoxHost& b) { revive(b); });
      case trouble::silent:
        return each([this](BoxHost& b) { die(b, true); }, [this](BoxHost& b) { revive(b); });
      case trouble::list_behind:
        for (auto& list : lists_) list->behind(micros(m.size * 1e6));
        say(fmt::format("the list falls {:.1f} s behind", m.size));
        return over([this] { for (auto& list : lists_) list->behind(0); }, "list-behind");
      case trouble::list_broken:
        for (auto& list : lists_) list->broken(true);
        say("the list is broken");
        return over([this] { for (auto& list : lists_) list->broken(false); }, "list-broken");
      case trouble::hall_cut: {
        const int hall = int(std::find(out_.grounds.halls.begin(), out_.grounds.halls.end(), m.hall) - out_.grounds.halls.begin());
        say("hall-cut " + m.hall);
        cut_off_.insert(hall);
        for (auto& b : boxes_)
          for (int h = 0; h < int(plan_.halls.size()); ++h)
            if (cut(b->hall, h)) fall_silent(*b, h);
        return over([this, hall] {
          cut_off_.erase(hall);
          for (auto& b : boxes_)
            for (int h = 0; h < int(plan_.halls.size()); ++h)
              if (h != b->hall && !cut(b->hall, h) && (h == hall || b->hall == hall) && !b->silent && b->box->up()) speak_again(*b, h);
        }, "hall-cut " + m.hall);
      }
      case trouble::nodes_restart:
        return roll(m);
      case trouble::deploy:
        return deploy(m, boxes);
      case trouble::jump:
        say(fmt::format("traffic x {:.2f}", m.size));
        return over([] {}, "jump");
    }
  }

  void die(BoxHost& b, bool silently) {
    ++b.life;
    b.box->stop();
    b.silent = silently;
    b.entry.is = model::state::gone;
    lists_[b.tier]->changed(b.entry, silently);
    for (int h = 0; h < int(b.acceptors.size()); ++h) {
      if (silently) {
        fall_silent(b, h);
      } else {
        asio::error_code ignored;
        b.acceptors[std::size_t(h)].close(ignored);
      }
    }
    if (!silently) hang_up(b);
    if (b.own_node >= 0) kill(*nodes_[std::size_t(b.own_node)]);
  }

  void hang_up(BoxHost& b) {
    for (auto& w : b.peers)
      if (const auto p = w.lock()) p->reset();
    b.peers.clear();
  }

  void revive(BoxHost& b) {
    if (b.box->up()) return;
    hang_up(b);
    ++b.life;
    b.silent = false;
    b.box->start(true);
    b.entry.is = model::state::ready;
    b.entry.started = agenda_.now();
    lists_[b.tier]->changed(b.entry);
    for (int h = 0; h < int(b.acceptors.size()); ++h)
      if (!cut(b.hall, h)) speak_again(b, h);
    if (b.own_node >= 0) start(*nodes_[std::size_t(b.own_node)]);
    say(b.name + " is back, cold");
  }

  // Boxes in turn: each drains, ends, and comes back cold.
  void deploy(const Mishap& m, std::vector<BoxHost*> boxes) {
    const int batches = (int(boxes.size()) + m.together - 1) / m.together;
    const micros each = m.span / std::max(1, batches);
    say(fmt::format("deploy of {} boxes, {} at a time", boxes.size(), m.together));
    wrong_.insert("deploy");
    agenda_.in(m.span, [this] { wrong_.erase(wrong_.find("deploy")); });
    for (std::size_t i = 0; i < boxes.size(); ++i) {
      BoxHost* b = boxes[i];
      const micros begins = micros(i / std::size_t(m.together)) * each;
      agenda_.in(begins, [this, b] {
        b->entry.is = model::state::draining;
        lists_[b->tier]->changed(b->entry);
      });
      // It takes what comes until all have been told; then no more, and ends what it has.
      const micros drained = begins + std::max<micros>(each / 2, plan_.list.notice + plan_.permissions.drain_grace);
      agenda_.in(drained, [this, b] { b->box->drain(true); });
      agenda_.in(drained + m.down, [this, b] { if (b->box->up()) die(*b, false); });
      agenda_.in(drained + 2 * m.down, [this, b] { revive(*b); });
    }
  }

  void kill(NodeHost& n) {
    n.meant = n.believed = false;
    if (n.daemon) n.daemon->kill();
    n.plain.reset();
    asker_.forget(n.listen);
    forgive(n);
  }

  // What a node held that was killed outright is its client's to repeat.
  void forgive(const NodeHost& n) {
    for (const std::size_t i : out_tries_)
      if (out_.history.tries[i].node == n.number) out_.history.tries[i].killed = true;
  }

  void roll(const Mishap& m) {
    std::vector<NodeHost*> all;
    for (auto& n : nodes_)
      if (n->tier == 0 && (m.hall.empty() || plan_.halls[std::size_t(n->hall)].name == m.hall)) all.push_back(n.get());
    model::Chance chance(setup_.seed, "roll", std::uint64_t(&m - plan_.mishaps.data()));
    const auto wanted = std::size_t(std::max(1.0, std::round(m.share * double(all.size()))));
    while (all.size() > wanted) all.erase(all.begin() + std::ptrdiff_t(chance.one_of(all.size())));
    const std::size_t batches = (all.size() + std::size_t(m.together) - 1) / std::size_t(m.together);
    say(fmt::format("{} nodes restart, {} at once, {}", all.size(), m.together, m.killed ? "killed" : "told to end"));
    for (std::size_t i = 0; i < all.size(); ++i) {
      NodeHost* n = all[i];
      const micros at = micros(i / std::size_t(m.together)) * (m.span / micros(std::max<std::size_t>(1, batches)));
      agenda_.in(at, [this, n, &m] { restart(*n, m.killed, m.down); });
    }
  }

  void restart(NodeHost& n, bool killed, micros down) {
    const int start_number = n.starts;
    n.meant = false;
    const auto again = [this, &n, start_number] {
      if (n.starts == start_number) start(n);
    };
    if (killed || n.plain) {
      if (n.daemon) n.daemon->kill();
      n.plain.reset();
      forgive(n);
      agenda_.in(plan_.front_notice, [&n, start_number] { if (n.starts == start_number) n.believed = false; });
      agenda_.in(down, again);
      return;
    }
    n.daemon->tell(SIGTERM);
    agenda_.in(300'000, [&n] { n.believed = false; });
    // It has its longest expiry (3 s at most) and 0.7 s more; a node that does not end is ended, and has failed.
    const micros patience = std::min<micros>(longest_expiry(), 3 * second) + 700'000;
    spawn([this, &n, down, patience, again]() -> awaitable<void> {
      const micros until = now() + patience;
      while (n.daemon->running() && now() < until) co_await sleep(20'000);
      if (n.daemon->running()) out_.crashed.push_back(n.name + " did not end when told to");
      else if (n.daemon->ended().value_or(0) != 0)
        out_.crashed.push_back(fmt::format("{} ended with {} when told to end", n.name, *n.daemon->ended()));
      n.daemon->kill();
      co_await sleep(down);
      again();
    });
  }

  void look_after_nodes() {
    for (auto& n : nodes_)
      if (n->meant && n->daemon && !n->daemon->running()) {
        out_.crashed.push_back(fmt::format("{} ended by itself with {}", n->name, n->daemon->ended().value_or(-1)));
        say(out_.crashed.back());
        n->meant = n->believed = false;
        agenda_.in(second, [this, host = n.get(), starts = n->starts] { if (host->starts == starts) start(*host); });
      }
  }

  void fell(BoxHost& b, const std::map<std::string, double>& by_sender) {
    double sum = 0, told = 0;
    for (const auto& [sender, work] : by_sender) {
      sum += work;
      for (const auto& n : nodes_)
        if (n->name == sender) {
          const auto t = n->starts_told.find(b.number);
          if (t != n->starts_told.end() && t->second == b.entry.started) told += work;
        }
    }
    out_.history.falls.push_back({b.number, now(), sum > 0 ? told / sum : 0});
    say(b.name + " fell over, cold");
  }

  // ---- for baselines

  std::vector<PlainNode::Target> boxes_for(const NodeHost& n) const {
    std::vector<PlainNode::Target> all;
    for (const auto& e : list_of(n).whole())
      if (e.is == model::state::ready)
        all.push_back({e.uid, box_at(box(e.uid)->number, n.hall)});
    return all;
  }
  repeats kind_of(const std::string& name) const {
    const int s = scheme(name);
    return s < 0 ? repeats::once_only : plan_.mix.schemes[std::size_t(s)].kind;
  }

  // ---- the end

  static double kit_cpu() {
    rusage u{};
    ::getrusage(RUSAGE_SELF, &u);
    return double(u.ru_utime.tv_sec + u.ru_stime.tv_sec) + double(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1e6;
  }

  Progress how_it_goes() {
    Progress p;
    p.part = double(now() - begin_) / double(plan_.length);
    p.service = lately_asked_ > 0 ? lately_served_ / lately_asked_ : 1;
    lately_asked_ = lately_served_ = 0;
    p.going_wrong.assign(wrong_.begin(), wrong_.end());
    return p;
  }

  void finish() {
    for (const std::size_t i : out_tries_) out_.history.tries[i].left = true;  // the end of the run cut them short
    look_after_nodes();
    for (auto& n : nodes_) {
      n->meant = false;
      if (n->daemon) n->daemon->kill();
    }
    double done = 0, wasted = 0;
    for (const auto& b : boxes_) {
      out_.tipped += b->box->tipped;
      done += b->box->work_done;
      wasted += b->box->work_wasted;
    }
    out_.fallen = int(out_.history.falls.size());
    out_.waste = done > 0 ? wasted / done : 0;
    std::sort(late_.begin(), late_.end());
    out_.late_p99_ms = late_.empty() ? 0 : late_[std::min(late_.size() - 1, std::size_t(0.99 * double(late_.size())))];
    out_.sends_a_second = double(sends_) / (double(now() - begin_) / 1e6);
    if (out_.void_because.empty() && out_.late_p99_ms * 1000 > double(plan_.late_limit))
      out_.void_because = fmt::format("the kit ran late: one send in a hundred by over {:.1f} ms (limit {}); it wants more of the machine",
                                      out_.late_p99_ms, config::duration(plan_.late_limit));
    out_.verdict = judge(out_.history, out_.grounds);
    io_.stop();
  }

  const Plan& plan_;
  const Setup& setup_;
  Outcome out_;
  asio::io_context io_{1};
  const steady::time_point start_ = steady::now();
  const std::int64_t unix_start_ms_ =
      std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
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

}  // namespace

Outcome play(const Plan& plan, const Setup& setup, const std::function<void(const Progress&)>& progress,
             const std::function<bool()>& stop) {
  std::filesystem::create_directories(setup.out);
  Stage stage(plan, setup);
  return stage.run(progress, stop);
}

std::string node_json(const Plan& plan, const NodeFacts& n) {
  const auto ms = [](micros t) { return fmt::format("{:.3f}", double(t) / 1000); };
  std::string schemes, tenants, stages;
  for (const auto& s : plan.mix.schemes)
    schemes += fmt::format(
        R"({}{{"Name":"{}","Effect":"{}","Group":"{}","Window":{},"SlaTime":{},"Expiry":{},"Revenue":{}}})",
        schemes.empty() ? "" : ",", s.name,
        s.kind == repeats::repeatable ? "safe" : s.kind == repeats::referenced ? "keyed" : "unsafe",
        s.within == group::all ? "all" : s.within == group::zone ? "zone" : "cell", ms(s.memory), ms(s.sla),
        ms(s.expiry), s.revenue);
  for (const auto& t : plan.mix.tenants)
    tenants += fmt::format(R"({}{{"Name":"{}","AllowancePerS":{}}})", tenants.empty() ? "" : ",", t.name,
                           t.allowance > 0 ? t.allowance : 1e9);
  for (const auto& t : plan.tiers) stages += fmt::format(R"({}"{}")", stages.empty() ? "" : ",", t.name);
  const model::Make& make = plan.tiers[std::size_t(n.tier)].kinds[0].make;
  const Permissions& p = plan.permissions;
  return fmt::format(
      R"({{"name":"{}","listen":"{}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},)"
      R"("known":{},"settings":{{"Schemes":[{}],"Tenants":[{}],)"
      R"("Permissions":{{"MostPostings":{},"DialTimeout":{},"Keepalive":{},"Cancel":{},"SecondCopies":{},"RetryAfter":{},"MaxRetryAfter":{}}},)"
      R"("Guarantees":{{"AskEvery":{},"Cold":{},"ColdFrom":{},"TipMultiple":{},"OverloadFor":{},"DrainGrace":{}}},)"
      R"("Prices":{{"CrossZone":0.01,"Waste":0.2,"LateFail":0.06}},"Stats":{{"Names":["pending","busy_reqs","cpu_share","svc_ms"]}},)"
      R"("Callers":{{"MarksRetry":{}}},"Stages":[{}],"Tier":{},"Me":{},"PeersTotal":{},"Zone":"{}","Weights":"nominal","Discovery":"subscribe"}}}})",
      n.name, n.listen, n.discovery, n.seed, plan.memory_mb > 0 ? plan.memory_mb : 256, plan.sockets, n.known, schemes, tenants, p.most_postings,
      ms(p.dial), ms(p.keepalive), p.cancel, p.second_copies, p.retry_after, ms(plan.clients.longest_advice),
      ms(p.ask_every), ms(make.cold_for), make.cold_from, make.fall_multiple, ms(make.fall_window), ms(p.drain_grace),
      plan.clients.marks, stages, n.tier, n.me, n.nodes, n.zone);
}

}  // namespace robinpin::rehearse
