// Exploration of src/consensus as it is: every order of delivery, loss, doubling, crash and restart between a
// few proposers and voters, to the end or to a bound, with states told apart by hash. What is acted upon is
// held against two promises: one value at most for each version of a register, and no acknowledged write
// lost.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "../src/consensus/proposal.h"
#include "../src/consensus/voter.h"

namespace robinpin::explore {

using namespace consensus;

struct Script {  // what one proposer does, one call after the other
  std::vector<Want> wants;
  int tries = 2;                 // of each call
  std::vector<Seat> succession;  // or: it changes the voters to these
};

struct Case {
  std::vector<std::string> founders{"A", "B", "C"}, others;  // stores
  std::vector<Script> scripts;
  int crashes = 0;   // of proposers and of voters, in all
  int doubles = 0;   // messages delivered twice
  int give_ups = 2;  // calls whose answers are waited for no longer
  std::uint64_t most_states = 1'000'000;
};

struct Found {
  std::uint64_t states = 0;
  int depth = 0;
  bool complete = true;            // every reachable state was seen
  std::string broken;              // what promise; empty: none
  std::vector<std::string> trace;  // the way there
  std::uint64_t chosen_states = 0, all_done = 0;
};

class World {
 public:
  explicit World(const Case& c) : crashes_(c.crashes), doubles_(c.doubles), give_ups_(c.give_ups) {
    Voters v;
    v.version = 1;
    for (const auto& s : c.founders) v.now.push_back({s, s, s});
    for (const auto& s : c.founders) {
      Memory m;
      m.store = s;
      Voter voter(m);
      const auto change = voter.found(v);
      apply(m, *change);
      disks_[s] = m;
      voters_.emplace(s, Voter(m));
    }
    for (const auto& s : c.others) {
      Memory m;
      m.store = s;
      disks_[s] = m;
      voters_.emplace(s, Voter(m));
    }
    proposers_.resize(c.scripts.size());
    for (auto& p : proposers_) p.known = v;
  }

  struct Move {
    enum { begin, deliver, twice, give_up, crash_proposer, crash_voter } what;
    std::size_t which;
    std::string voter;
  };

  std::vector<Move> moves(const Case& c) const {
    std::vector<Move> all;
    for (std::size_t p = 0; p < proposers_.size(); ++p) {
      const auto& me = proposers_[p];
      if (me.call && !me.call->over()) {
        if (give_ups_ > 0) all.push_back({Move::give_up, p, ""});
        if (crashes_ > 0) all.push_back({Move::crash_proposer, p, ""});
      } else if (left(me, c.scripts[p])) {
        all.push_back({Move::begin, p, ""});
      }
    }
    for (std::size_t i = 0; i < net_.size(); ++i) {
      if (i > 0 && net_[i]->key == net_[i - 1]->key) continue;
      all.push_back({Move::deliver, i, ""});
      if (doubles_ > 0) all.push_back({Move::twice, i, ""});
    }
    if (crashes_ > 0)
      for (const auto& [store, v] : voters_) all.push_back({Move::crash_voter, 0, store});
    return all;
  }

  void make(const Move& m, const Case& c) {
    act(m, c);
    // An answer that its proposer will pass over, now and for ever, is as good as gone.
    std::erase_if(net_, [&](const auto& n) { return !n->to_voter && !heeded(*n); });
  }

 private:
  void act(const Move& m, const Case& c) {
    switch (m.what) {
      case Move::begin:
        return begin(m.which, c.scripts[m.which]);
      case Move::deliver: {
        const auto message = net_[m.which];
        net_.erase(net_.begin() + std::ptrdiff_t(m.which));
        return deliver(*message, c);
      }
      case Move::twice: {
        --doubles_;
        const auto message = net_[m.which];
        return deliver(*message, c);
      }
      case Move::give_up: {
        --give_ups_;
        auto& p = proposers_[m.which];
        for (const Seat& s : p.asked)
          if (!p.call->over()) take(m.which, p.call->lost(s.store, p.call->stage()), c.scripts[m.which]);
        return;
      }
      case Move::crash_proposer: {
        --crashes_;
        auto& p = proposers_[m.which];
        p.call.reset();
        p.change.reset();
        p.tried = 0;
        ++p.incarnation;
        p.round = 0;
        if (c.scripts[m.which].succession.empty()) ++p.done;  // what it began is nobody's now
        return;
      }
      case Move::crash_voter:
        --crashes_;
        voters_.erase(m.voter);
        voters_.emplace(m.voter, Voter(disks_.at(m.voter)));
        return;
    }
  }

  struct Message;
  bool heeded(const Message& m) const {
    const auto& p = proposers_[m.proposer];
    return m.incarnation == p.incarnation && p.call && !p.call->over() && m.reply.what == p.call->stage() &&
           m.reply.ballot == p.ballot;
  }

 public:
  std::string state() const {
    std::string s;
    s.reserve(2048);
    s += std::to_string(crashes_) + "." + std::to_string(doubles_) + "." + std::to_string(give_ups_);
    const auto ballot = [](const Ballot& b) { return std::to_string(b.round) + b.proposer; };
    const auto memory = [&](const Memory& m) {
      s += "|" + m.store + "v" + std::to_string(m.voters.version);
      for (const auto& [name, slot] : m.slots)
        s += ";" + name + ballot(slot.promised) + "," + ballot(slot.accepted) + "," +
             std::to_string(slot.value.version) + slot.value.by;
    };
    for (const auto& [store, v] : voters_) memory(v.memory());
    for (const auto& [store, m] : disks_)
      if (m.slots != voters_.at(store).memory().slots || m.voters != voters_.at(store).memory().voters)
        memory(m);
    for (const auto& p : proposers_) {
      s += "#" + std::to_string(p.done) + "." + std::to_string(p.tried) + "." + std::to_string(p.round) +
           "." + std::to_string(p.incarnation) + "v" + std::to_string(p.known.version);
      if (p.call && !p.call->over()) s += p.call->state();
      if (p.change) s += "c" + std::to_string(p.jobs);
    }
    for (const auto& m : net_) (s += "\n") += m->key;
    for (const auto& [version, by] : chosen_) s += "!" + version + by;
    for (const auto& [version, by] : acknowledged_) s += "?" + version + by;
    for (const auto& [at, who] : accepted_by_) {
      s += "*" + at;
      for (const auto& w : who) s += w;
    }
    return s;
  }

  const std::string& broken() const { return broken_; }
  bool any_chosen() const { return !chosen_.empty(); }
  bool all_acknowledged(const Case& c) const {
    for (std::size_t p = 0; p < proposers_.size(); ++p)
      if (left(proposers_[p], c.scripts[p]) || (proposers_[p].call && !proposers_[p].call->over()))
        return false;
    return !acknowledged_.empty();
  }

  static std::string told(const Move& m) {
    constexpr const char* words[] = {"begin",   "deliver",          "twice",
                                     "give up", "proposer crashes", "voter crashes"};
    return std::string(words[m.what]) + " " + std::to_string(m.which) + m.voter;
  }

 private:
  struct Message {
    bool to_voter = true;
    std::size_t proposer = 0;
    int incarnation = 0;
    Ask ask;
    Reply reply;
    std::string key;
  };
  struct Proposer {
    Voters known;
    std::optional<Proposal> call;
    std::optional<Succession> change;
    std::vector<Seat> asked;
    std::size_t done = 0;
    int tried = 0, incarnation = 0, jobs = 0;
    std::uint64_t round = 0;
    Ballot ballot;
    Want want;
  };

  static bool left(const Proposer& p, const Script& s) {
    if (!s.succession.empty()) return p.done == 0 && p.tried < s.tries * 4;
    return p.done < s.wants.size();
  }

  void begin(std::size_t i, const Script& s) {
    auto& p = proposers_[i];
    Voters under = p.known;
    if (!s.succession.empty()) {
      if (!p.change) p.change.emplace(p.known, s.succession);
      const auto job = p.change->next();
      if (!job) {
        p.done = 1;
        return;
      }
      p.want = job->want;
      under = job->under;
    } else {
      p.want = s.wants[p.done];
      if (p.want.by.empty()) p.want.by = std::to_string(i) + "." + std::to_string(p.done);
    }
    ++p.tried;
    p.ballot = {++p.round, std::string(1, char('p' + i)) + std::to_string(p.incarnation)};
    p.call.emplace(under, p.ballot, p.want, p.tried > 1);
    take(i, p.call->begin(), s);
  }

  void take(std::size_t i, const Step& step, const Script& s) {
    auto& p = proposers_[i];
    if (!step.send.empty()) p.asked.clear();
    for (const auto& send : step.send) {
      p.asked.push_back(send.to);
      Message m;
      m.proposer = i;
      m.incarnation = p.incarnation;
      m.ask = send.ask;
      put(std::move(m));
    }
    if (!step.end) return;
    const Outcome& o = *step.end;
    p.round = std::max(p.round, o.round);
    if (o.newer && o.newer->version > p.known.version) p.known = *o.newer;
    const bool final = o.how == fate::chosen || o.how == fate::refused || o.how == fate::overtaken;
    if (o.how == fate::chosen && p.want.what == wish::write)
      acknowledge(p.want.name, std::to_string(p.want.expected + 1), p.want.by);
    if (o.how == fate::chosen && (p.want.what == wish::read || p.want.what == wish::settle) &&
        o.value.version > 0)
      acknowledge(p.want.name, std::to_string(o.value.version), o.value.by);
    if (!s.succession.empty()) {
      p.change->ended(o);
      ++p.jobs;
      if (p.change->done()) p.known = p.change->voters(), p.done = 1;
      if (o.newer) p.change.reset();
      return;
    }
    if (final || p.tried >= s.tries) {
      ++p.done;
      p.tried = 0;
    }
  }

  void acknowledge(const std::string& name, const std::string& version, const std::string& by) {
    const std::string key = name + "@" + version + ":";
    if (const auto it = chosen_.find(key); it == chosen_.end() || it->second != by)
      broken_ = "told as chosen, and it is not: " + key + by;
    acknowledged_[key] = by;
  }

  void put(Message m) {
    const auto ballot = [](const Ballot& b) { return std::to_string(b.round) + b.proposer; };
    if (m.to_voter)
      m.key = ">" + m.ask.store + std::to_string(int(m.ask.what)) + m.ask.name + ballot(m.ask.ballot) + "," +
              std::to_string(m.ask.value.version) + m.ask.value.by + "v" +
              std::to_string(m.ask.voters.version);
    else
      m.key = "<" + std::to_string(m.proposer) + m.reply.store + std::to_string(int(m.reply.what)) +
              std::to_string(int(m.reply.how)) + ballot(m.reply.ballot) + "," + ballot(m.reply.promised) +
              "," + ballot(m.reply.accepted) + "," + std::to_string(m.reply.value.version) +
              m.reply.value.by + "v" + std::to_string(m.reply.voters.version);
    const auto at = std::upper_bound(net_.begin(), net_.end(), m.key,
                                     [](const auto& key, const auto& o) { return key < o->key; });
    net_.insert(at, std::make_shared<const Message>(std::move(m)));
  }

  void deliver(const Message& m, const Case& c) {
    if (!m.to_voter) {
      auto& p = proposers_[m.proposer];
      if (heeded(m)) take(m.proposer, p.call->heard(m.reply), c.scripts[m.proposer]);
      return;
    }
    Voter& v = voters_.at(m.ask.store);
    const Heard h = v.ask(m.ask);
    if (h.change) apply(disks_.at(m.ask.store), *h.change);
    if (m.ask.what == phase::accept && h.reply.how == verdict::yes) accepted(m.ask);
    Message back;
    back.to_voter = false;
    back.proposer = m.proposer;
    back.incarnation = m.incarnation;
    back.reply = h.reply;
    put(std::move(back));
  }

  // Chosen is what a majority has accepted under one ballot, whoever knows of it.
  void accepted(const Ask& a) {
    const std::string key = a.name + "@" + std::to_string(a.value.version) + ":";
    auto& who = accepted_by_[a.name + "/" + std::to_string(a.ballot.round) + a.ballot.proposer + "=" + key +
                             a.value.by];
    who.insert(a.store);
    if (!a.voters.majority(who)) return;
    const auto [it, fresh] = chosen_.emplace(key, a.value.by);
    if (it->second != a.value.by)
      broken_ = "two values of one version: " + key + it->second + " and " + a.value.by;
  }

  int crashes_, doubles_, give_ups_;
  std::map<std::string, Voter> voters_;
  std::map<std::string, Memory> disks_;
  std::vector<Proposer> proposers_;
  std::vector<std::shared_ptr<const Message>> net_;  // sorted by key
  std::map<std::string, std::string> chosen_, acknowledged_;
  std::map<std::string, std::set<std::string>> accepted_by_;
  std::string broken_;
};

// 128 bits, so that a billion states are told apart.
struct Hash {
  std::uint64_t a = 0xcbf29ce484222325ULL, b = 0x9e3779b97f4a7c15ULL;
  explicit Hash(std::string_view s) {
    for (const char c : s) {
      a = (a ^ std::uint8_t(c)) * 0x100000001b3ULL;
      b = (b + std::uint8_t(c)) * 0xff51afd7ed558ccdULL;
      b ^= b >> 29;
    }
  }
  bool operator==(const Hash&) const = default;
  struct Of {
    std::size_t operator()(const Hash& h) const { return h.a ^ h.b; }
  };
};

inline Found explore(const Case& c) {
  Found f;
  std::unordered_set<Hash, Hash::Of> seen;
  struct Level {
    World world;
    std::vector<World::Move> moves;
    std::size_t next = 0;
  };
  std::vector<Level> way;
  World first(c);
  seen.insert(Hash(first.state()));
  way.push_back({first, first.moves(c)});
  f.states = 1;
  while (!way.empty()) {
    Level& l = way.back();
    if (l.next >= l.moves.size()) {
      way.pop_back();
      continue;
    }
    const World::Move move = l.moves[l.next++];
    World w = l.world;
    w.make(move, c);
    if (!w.broken().empty()) {
      f.broken = w.broken();
      for (const auto& level : way) f.trace.push_back(World::told(level.moves[level.next - 1]));
      return f;
    }
    if (!seen.insert(Hash(w.state())).second) continue;
    f.chosen_states += w.any_chosen() ? 1 : 0;
    f.all_done += w.all_acknowledged(c) ? 1 : 0;
    if (++f.states >= c.most_states) {
      f.complete = false;
      return f;
    }
    auto moves = w.moves(c);
    way.push_back({std::move(w), std::move(moves)});
    f.depth = std::max(f.depth, int(way.size()));
  }
  return f;
}

// So many plays, each move drawn: where every order is too many to see.
inline Found stroll(const Case& c, std::uint32_t seed, int plays) {
  Found f;
  f.complete = false;
  std::mt19937 draw(seed);
  for (int i = 0; i < plays; ++i) {
    World w(c);
    std::vector<std::string> trace;
    for (auto moves = w.moves(c); !moves.empty() && trace.size() < 400; moves = w.moves(c)) {
      const auto& move = moves[draw() % moves.size()];
      trace.push_back(World::told(move));
      w.make(move, c);
      ++f.states;
      if (!w.broken().empty()) {
        f.broken = w.broken();
        f.trace = trace;
        return f;
      }
    }
    f.depth = std::max(f.depth, int(trace.size()));
    f.chosen_states += w.any_chosen() ? 1 : 0;
    f.all_done += w.all_acknowledged(c) ? 1 : 0;
  }
  return f;
}

}  // namespace robinpin::explore
