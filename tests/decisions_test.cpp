// Every decision of whole model days, hashed in order: a change of the module's text that is to change no
// decision leaves these as they are, and one that is to change some says so by new figures here.
#include <catch2/catch.hpp>
#include <functional>
#include <map>

#include "../src/model/box.h"
#include "../src/model/list.h"
#include "../src/model/load.h"
#include "robinpin/choice.h"

using namespace robinpin;
using namespace robinpin::model;

namespace {

constexpr micros ms = 1000, day = 30'000 * ms;
constexpr int nodes = 3, boxes = 14;

struct Figures {
  std::uint32_t hash = 2166136261U;
  int sends = 0, further = 0, withdrawn = 0, declined = 0, reversed = 0, probes = 0, lists = 0, wakes = 0;
};

// Houses by number: 0 plain with two zones; 1 probes, sizes and connections that carry many; 2 an inner tier
// with a budget of further postings; 3 hundreds of nodes that price crossings, and limits per route.
Terms house(int which, int me) {
  Terms t;
  t.schemes = {{repeats::repeatable, group::all, 0, 500 * ms, 0.5, 1200 * ms, 5, 1},
               {repeats::referenced, group::zone, 4000 * ms, 1000 * ms, 0, 2500 * ms, 2, 0},
               {repeats::once_only, group::all, 0, 1000 * ms, 0, 2500 * ms, 5, 0}};
  t.allowances = {150, 40};
  t.beyond_share = 0.3;
  t.zone = me == 2 ? "there" : "here";
  t.nodes = which == 3 ? 300 : nodes;
  t.me = me;
  t.ask_list = t.may_withdraw = t.advice_heeded = t.repeats_marked = true;
  t.two_at_once = which != 1;
  t.sizes_told = which == 1 || which == 3;
  t.may_probe = which == 1 || which == 2;
  t.warm_keys = t.by_work = which == 1;
  t.streams = which == 1 ? 8 : 1;
  t.most_postings = 4;
  t.longest_advice = 1200 * ms;
  t.ask_every = 2000 * ms;
  t.cold_for = 10'000 * ms, t.cold_from = 0.3, t.tip_multiple = 4, t.tip_window = 1500 * ms;
  if (which == 2)
    t.tier = 1, t.tiers = 2, t.resend_span = 5000 * ms, t.free_resends = 20, t.extra_share = 0.1;
  if (which == 3) t.price_crossing = 0.02, t.rank_crossing = 0.1;
  return t;
}

class Day {
 public:
  Day(int which, std::uint64_t seed) : which_(which), drawn_(seed, "day"), list_(agenda_, {}) {
    auto marks = std::make_shared<Marks>();
    for (int i = 0; i < boxes; ++i) {
      Make make;
      make.speed = i % 3 == 0 ? 2 : 1;
      make.error_rate = 0.005;
      make.cancel = cancels::queued;
      box_.push_back(std::make_unique<Box>(agenda_, make, seed * 100 + i, marks));
      list_.knows(entry(i, state::ready));
    }
    for (int n = 0; n < nodes; ++n)
      node_.push_back(std::make_unique<Balancer>(house(which, n), seed * 10 + n, 0));
    for (int n = 0; n < nodes; ++n) carry(n, [&](Balancer& b) { return b.woke(0); });
    spent_ = std::make_shared<Spent>();
    trouble();
    Mix mix;
    mix.rate = 450;
    mix.form = shape::wave;
    mix.schemes = {
        {"view", 6, 45'000, 0.7, 500 * ms, 1200 * ms, 5, repeats::repeatable},
        {"add", 2, 60'000, 0.5, 1000 * ms, 2500 * ms, 2, repeats::referenced, group::zone, 4000 * ms},
        {"pay", 1, 60'000, 0.5, 1000 * ms, 2500 * ms, 5, repeats::once_only}};
    mix.tenants = {{"large", 3, 150}, {"small", 1, 40}};
    mix.halls = {1, 1, 1};
    for (const Wanted& w : drawn(mix, {{day / 2, day * 2 / 3, 2.2}}, day, seed))
      agenda_.at(w.at, [this, w, mix] { ask(w, mix.schemes[std::size_t(w.scheme)], 0, w.at); });
    agenda_.advance(day + 5000 * ms);
  }
  Figures figures;

 private:
  struct Out {
    int node, n, box;
    std::string id;
    micros sent;
    std::uint64_t number = 0;
  };
  struct Asked {
    Wanted w;
    SchemeOf s;
    int tries;
    micros first;
    bool over = false;
  };

  Entry entry(int i, state is) const {
    const std::string zone = i % 2 == 0 ? "here" : "there";
    return {"s" + std::to_string(i),
            zone,
            i % 3 == 0 ? "large" : "usual",
            i % 4,
            i % 3 == 0 ? 2.0 : 1.0,
            is,
            box_[std::size_t(i)]->started() > 0 ? box_[std::size_t(i)]->started() : 0};
  }
  void trouble() {
    agenda_.at(3000 * ms, [this] { box_[1]->fail(0.7), box_[2]->slow(5); });
    agenda_.at(5000 * ms, [this] {
      box_[3]->hang(true), box_[4]->drain(true), list_.changed(entry(4, state::draining));
    });
    agenda_.at(6000 * ms, [this] { box_[5]->refuse(true); });
    agenda_.at(7000 * ms, [this] { stop(4), stop(6), list_.changed(entry(4, state::gone)); });
    agenda_.at(8000 * ms,
               [this] { box_[1]->fail(0), box_[2]->slow(1), box_[3]->hang(false), list_.broken(true); });
    agenda_.at(11'000 * ms, [this] { list_.broken(false), box_[5]->refuse(false); });
    agenda_.at(12'000 * ms, [this] {
      for (const int i : {4, 6}) box_[std::size_t(i)]->start(true), list_.changed(entry(i, state::ready));
    });
    agenda_.at(14'000 * ms, [this] { adopt(true); });
    agenda_.at(22'000 * ms, [this] { adopt(false), stop(7), list_.changed(entry(7, state::gone), true); });
  }
  void adopt(bool stricter) {
    for (int n = 0; n < nodes; ++n) {
      Terms t = house(which_, n);
      if (stricter)
        t.schemes[0].kind = repeats::referenced, t.schemes[0].memory = 4000 * ms, t.schemes[0].sla *= 2,
        t.most_postings = 2;
      carry(n, [&](Balancer& b) { return b.adopt(agenda_.now(), t); });
    }
  }
  void stop(int i) {
    box_[std::size_t(i)]->stop();
    for (auto [key, o] : std::map(out_))
      if (o.box == i) ended(key, ending::reset, 2 * ms);
  }
  void write(char what, const std::string& id, std::int64_t a = 0, std::int64_t b = 0) {
    const std::string line =
        std::to_string(agenda_.now()) + what + id + ' ' + std::to_string(a) + ' ' + std::to_string(b) + '\n';
    for (const char c : line) figures.hash = (figures.hash ^ std::uint8_t(c)) * 16777619U;
  }
  void carry(int n, const std::function<Decisions(Balancer&)>& call) {
    const Decisions d = call(*node_[std::size_t(n)]);
    write('n', "", n);
    for (const auto& f : d.finals) {
      ++(f.declined ? figures.declined : figures.reversed);
      write('f', f.txn, f.declined, f.come_back * 8 + int(f.why));
      agenda_.in(ms,
                 [this, f] { heard_by(f.txn, f.declined ? heard::declined : heard::failed, f.come_back); });
    }
    for (const auto& w : d.withdrawals) {
      ++figures.withdrawn;
      write('w', w.txn, w.posting);
      const std::string key = w.txn + '#' + std::to_string(w.posting);
      if (const auto o = out_.find(key); o != out_.end())
        box_[std::size_t(o->second.box)]->cancel(o->second.number);
      ended(key, ending::withdrawn, ms);
    }
    for (const auto& s : d.sends) {
      const int at = postings_[s.txn]++, to = std::stoi(s.server.substr(1));
      ++figures.sends, figures.further += at > 0;
      write('s', s.txn + s.server, at, s.wait);
      out_[s.txn + '#' + std::to_string(at)] = {n, at, to, s.txn, agenda_.now()};
      agenda_.in(way(n, to), [this, key = s.txn + '#' + std::to_string(at)] { arrive(key); });
    }
    for (const auto& p : d.probes) {
      ++figures.probes;
      write('p', p);
      const Box& box = *box_[std::size_t(std::stoi(p.substr(1)))];
      const bool ok = box.up() && p != "s3";
      const micros lag = 2 * way(n, std::stoi(p.substr(1))) + (ok ? box.load().latency / 8 : 400 * ms);
      agenda_.in(lag, [this, n, p, ok, lag] {
        carry(n, [&](Balancer& b) { return b.probe_answered(agenda_.now(), p, ok, lag, nullptr); });
      });
    }
    if (d.list == list_call::watch) {
      ++figures.lists;
      write('l', "");
      if (!std::exchange(watching_[n], true)) agenda_.in(5 * ms, [this, n] { watch(n, 8); });
    }
    if (d.wake_in > 0) {
      ++figures.wakes;
      write('t', "", d.wake_in);
      agenda_.in(d.wake_in, [this, n] { carry(n, [&](Balancer& b) { return b.woke(agenda_.now()); }); });
    }
  }
  void watch(int n, int looks) {
    const bool fails = list_.call(1) < 0;
    if (!fails && list_.version() == version_[n] && looks > 0)
      return agenda_.in(200 * ms, [this, n, looks] { watch(n, looks - 1); });
    bool whole = false;
    std::vector<Line> lines;
    for (const Entry& e : list_.since(version_[n], whole)) {
      const standing is = e.is == state::ready      ? standing::serving
                          : e.is == state::draining ? standing::draining
                                                    : standing::gone;
      lines.push_back({e.uid, e.zone, e.kind, e.cell, e.size, is, e.started});
    }
    watching_[n] = !fails;
    if (!fails) version_[n] = list_.version(), agenda_.in(5 * ms, [this, n] { watch(n, 8); });
    carry(n, [&](Balancer& b) {
      return fails ? b.list_failed(agenda_.now()) : b.list_told(agenda_.now(), lines, whole);
    });
  }
  micros way(int n, int to) const { return (to % 2 == 0) == (n != 2) ? 300 : 1500; }

  void ask(const Wanted& w, const SchemeOf& s, int tries, micros first) {
    const std::string id = std::to_string(w.number) + '.' + std::to_string(tries);
    const micros left = patience({}, s, tries);
    const int n = int((std::uint64_t(w.hall) + std::uint64_t(tries)) % nodes);
    Allowed by;
    if (which_ == 3 && w.number % 5 == 0)
      by.further = 0.1, by.spent = spent_, by.wait = 300 * ms, by.copy_after = 150 * ms;
    if (which_ == 3 && w.number % 31 == 0) by.full = true, by.come_back = 200 * ms;
    if (which_ == 3) by.crossing = 1 + double(w.number % 4);
    const bool coming = w.number % 11 == 0, leaves = w.number % 37 == 0;
    asked_[id] = {w, s, tries, first};
    agenda_.in(left, [this, id] { heard_by(id, heard::nothing, 0); });
    if (leaves) agenda_.in(left / 6, [this, id] { heard_by(id, heard::nothing, 0); });
    for (int i = 1; coming && i <= 3; ++i)
      agenda_.in(i * 20 * ms, [this, id, n, i] {
        carry(n, [&](Balancer& b) { return b.still_coming(agenda_.now(), id, 20 * ms, i == 3); });
      });
    node_of_[id] = n;
    carry(n, [&](Balancer& b) {
      return b.txn_taken(agenda_.now(), id, w.scheme, w.tenant, left, which_ % 2 == 0 ? w.work : 0, by,
                         {tries > 0, std::uint32_t(w.number % 200 + 1), coming});
    });
  }
  // By its client, once: what it hears, or that its patience is up.
  void heard_by(const std::string& id, heard how, micros come_back) {
    Asked& a = asked_.at(id);
    if (std::exchange(a.over, true)) return;
    if (how == heard::nothing)
      carry(node_of_[id], [&](Balancer& b) { return b.client_left(agenda_.now(), id); });
    const micros wait = again({}, a.s, a.tries, how, come_back, a.first, agenda_.now(), drawn_);
    if (wait >= 0) agenda_.in(wait, [this, a] { ask(a.w, a.s, a.tries + 1, a.first); });
  }
  void arrive(const std::string& key) {
    const auto it = out_.find(key);
    if (it == out_.end()) return;
    Out& o = it->second;
    Box& box = *box_[std::size_t(o.box)];
    if (!box.up()) return ended(key, ending::unreachable, way(o.node, o.box));
    const Asked& a = asked_.at(o.id);
    Job job;
    job.id = o.id, job.scheme = a.w.scheme, job.work = a.w.work, job.expiry = agenda_.now() + 2500 * ms;
    if (a.s.kind == repeats::referenced) job.mark = std::to_string(a.w.number), job.window = a.s.memory;
    job.runs = [] {};
    if (a.w.number % 23 == 0)  // its answer begins long before its end
      job.runs = [this, key] {
        if (const auto at = out_.find(key); at != out_.end())
          carry(at->second.node,
                [&, out = at->second](Balancer& b) { return b.stream_begun(agenda_.now(), out.id, out.n); });
      };
    job.ended = [this, key](done how) {
      ended(key,
            how == done::served  ? ending::settled
            : how == done::error ? ending::error
                                 : ending::refused,
            ms);
    };
    agenda_.in(2500 * ms, [this, key] { ended(key, ending::timed_out, 0); });
    o.number = box.next_number();
    box.arrive(std::move(job), std::to_string(o.node));
  }
  void ended(const std::string& key, ending how, micros after) {
    agenda_.in(after, [this, key, how] {
      const auto it = out_.find(key);
      if (it == out_.end()) return;
      const Out o = it->second;
      out_.erase(it);
      Asked& a = asked_.at(o.id);
      const bool answers = how == ending::settled && !a.over;
      if (answers) heard_by(o.id, heard::settled, 0);
      carry(o.node, [&](Balancer& b) {
        return b.posting_ended(agenda_.now(), o.id, o.n, how, agenda_.now() - o.sent, a.over, nullptr);
      });
    });
  }

  int which_;
  Agenda agenda_;
  Chance drawn_;
  List list_;
  std::vector<std::unique_ptr<Box>> box_;
  std::vector<std::unique_ptr<Balancer>> node_;
  std::shared_ptr<Spent> spent_;
  std::map<std::string, Out> out_;
  std::map<std::string, int> postings_, node_of_;
  std::map<std::string, Asked> asked_;
  std::array<long long, nodes> version_{};
  std::array<bool, nodes> watching_{};
};

void played(int which, std::uint64_t seed, std::uint32_t hash) {
  const Figures f = Day(which, seed).figures;
  INFO("house " << which << ", seed " << seed << ": sends " << f.sends << ", further " << f.further
                << ", withdrawn " << f.withdrawn << ", declined " << f.declined << ", reversed " << f.reversed
                << ", probes " << f.probes << ", lists " << f.lists << ", wakes " << f.wakes);
  CHECK(f.hash == hash);
}

}  // namespace

TEST_CASE("the decisions of model days are those recorded: a plain house") {
  played(0, 1, 0x993caa82), played(0, 2, 0x3106996e);
}
TEST_CASE("the decisions of model days are those recorded: probes") {
  played(1, 1, 0xf6a0c5c0), played(1, 2, 0x0f7de8e1);
}
TEST_CASE("the decisions of model days are those recorded: an inner tier") {
  played(2, 1, 0xb75284a6), played(2, 2, 0x849e9dad);
}
TEST_CASE("the decisions of model days are those recorded: many nodes") {
  played(3, 1, 0xf0c558a4), played(3, 2, 0xd2b9d8f3);
}
