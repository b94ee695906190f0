#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <set>

#include "history.h"

namespace robinpin::rehearse {

namespace {

constexpr std::size_t most_told = 5;  // breaks of one rule, with their stories

const char* word(answer how) {
  switch (how) {
    case answer::settled:
      return "settled";
    case answer::declined:
      return "declined";
    case answer::failed:
      return "failed";
    case answer::broken:
      return "the connection ended without a whole answer";
    default:
      return "no answer";
  }
}

class Judge {
 public:
  Judge(const History& h, const Grounds& g) : h_(h), g_(g) {}

  Verdict all() {
    v_.by_hall.resize(g_.halls.size());
    v_.by_scheme.resize(g_.schemes.size());
    const auto windows = std::size_t((g_.until - g_.from + g_.window - 1) / g_.window);
    v_.windows.assign(windows, std::vector<Service>(g_.halls.size()));
    for (const Try& t : h_.tries) {
      lost(t);
      twice(t);
      if (t.tier == 0 && t.taken) ++v_.tries;
      v_.postings += t.postings.size();
      if (t.tier == 0 && t.how == answer::declined) ++v_.declined;
      if (t.tier == 0 && t.taken && t.how != answer::settled && t.how != answer::declined) ++v_.failed;
    }
    whole_txns();
    drains();
    for (const Fall& f : h_.falls)
      if (f.told_share >= 2.0 / 3)
        broken(
            4,
            fmt::format(
                "{} fell over at {:.3f} s, cold: {:.0f}% of what it was sent came from nodes that had been "
                "told of its start",
                g_.boxes[std::size_t(f.box)], double(f.at) / 1e6, 100 * f.told_share));
    served();
    std::sort(v_.latency.begin(), v_.latency.end());
    return std::move(v_);
  }

 private:
  void broken(int rule, std::string what) {
    const auto n = ++v_.counts[std::size_t(rule - 1)];
    if (n <= most_told) v_.breaks.push_back({rule, std::move(what)});
  }

  const SchemeFacts& scheme(const Try& t) const { return g_.schemes[std::size_t(t.scheme)]; }

  // Rule 1: one final answer in time, and nothing sent for it afterwards.
  void lost(const Try& t) {
    if (t.spoilt) broken(1, fmt::format("settled with what no box made for it: {}", story(t, g_)));
    if (t.taken && !t.killed && !t.left) {
      if (t.how == answer::none || t.how == answer::broken)
        broken(1, fmt::format("taken and never answered: {}", story(t, g_)));
      else if (t.answered > t.expiry + g_.slack)
        broken(1, fmt::format("answered after its expiry: {}", story(t, g_)));
    }
    if (t.answered >= 0 && t.how != answer::broken)
      for (const auto& p : t.postings)
        if (p.came > t.answered + g_.slack) {
          broken(1, fmt::format("sent again after its final answer: {}", story(t, g_)));
          break;
        }
  }

  // Rule 2, of one request: what may be posted beside or after what.
  void twice(const Try& t) {
    const SchemeFacts& s = scheme(t);
    const auto never_ran = [](const Try::Posting& p) { return p.over >= 0 && !p.ran; };
    if (t.how == answer::declined) {
      const bool harmless =
          s.kind == repeats::repeatable || (s.kind == repeats::referenced && s.within == group::all);
      const bool ran = std::any_of(t.postings.begin(), t.postings.end(),
                                   [&](const auto& p) { return p.ran || (p.over < 0 && !p.gone); });
      if (!harmless && ran) broken(2, fmt::format("declined, and it had run or might yet: {}", story(t, g_)));
    }
    for (std::size_t i = 1; i < t.postings.size(); ++i) {
      const Try::Posting& p = t.postings[i];
      for (std::size_t k = 0; k < i; ++k) {
        const Try::Posting& before = t.postings[k];
        if (never_ran(before) && before.over <= p.came + g_.slack) continue;
        if (!g_.second_copies && before.over < 0 && !before.gone) {
          broken(2, fmt::format("two at once: {}", story(t, g_)));
          return;
        }
        if (s.kind == repeats::repeatable) continue;
        if (s.kind == repeats::once_only) {
          // A connection that broke before the last byte never brought it; one whose posting came did.
          broken(2, fmt::format("once-only, posted again where it may have run: {}", story(t, g_)));
          return;
        }
        const bool zone = g_.box_zone[std::size_t(p.box)] == g_.box_zone[std::size_t(before.box)];
        const bool cell = zone && g_.box_cell[std::size_t(p.box)] == g_.box_cell[std::size_t(before.box)];
        if ((s.within == group::zone && !zone) || (s.within == group::cell && !cell)) {
          broken(2, fmt::format("referenced, posted outside its group: {}", story(t, g_)));
          return;
        }
        if (p.came - before.came > s.memory + g_.slack) {
          broken(2, fmt::format("referenced, posted after its memory: {}", story(t, g_)));
          return;
        }
      }
    }
    if (int(t.postings.size()) > g_.most_postings)
      broken(2, fmt::format("posted more often than allowed: {}", story(t, g_)));
  }

  // Rule 2, of a client's txn over all its tries: what has one effect at the most.
  void whole_txns() {
    for (std::size_t i = 0; i < h_.deals.size(); ++i) {
      const Deal& d = h_.deals[i];
      const SchemeFacts& s = g_.schemes[std::size_t(d.scheme)];
      if (s.kind == repeats::repeatable || d.effects <= 1) continue;
      std::string told = fmt::format("{} of {} had its effect {} times:", i, s.name, d.effects);
      for (const Try& t : h_.tries)
        if (t.txn == i && t.tier == 0) told += fmt::format(" {};", story(t, g_));
      broken(2, told);
    }
  }

  // Rule 3: nothing new later than the grace after this node was told.
  void drains() {
    std::map<std::pair<int, int>, std::vector<std::pair<micros, bool>>> told;
    for (const Told& t : h_.told) told[{t.node, t.box}].emplace_back(t.at, t.serving);
    for (const Try& t : h_.tries)
      for (const auto& p : t.postings) {
        const auto it = told.find({t.node, p.box});
        if (it == told.end()) continue;
        // The last word before it came, and since when that word is "off".
        micros off = -1;
        for (const auto& [at, serving] : it->second) {
          if (at > p.came) break;
          off = serving ? -1 : off < 0 ? at : off;
        }
        if (off >= 0 && p.came > off + g_.drain_grace + g_.slack)
          broken(3, fmt::format("posted to {} {:.3f} s after {} was told that it drains or is gone: {}",
                                g_.boxes[std::size_t(p.box)], double(p.came - off) / 1e6,
                                g_.nodes[std::size_t(t.node)], story(t, g_)));
      }
  }

  void served() {
    for (const Deal& d : h_.deals) {
      if (d.asked < g_.from || d.asked >= g_.until) continue;
      ++v_.txns;
      const SchemeFacts& s = g_.schemes[std::size_t(d.scheme)];
      const bool in_time = d.answered >= 0 && d.answered - d.asked <= s.sla;
      const auto count = [&](Service& to) {
        to.asked += s.revenue;
        if (in_time) to.served += s.revenue;
      };
      count(v_.service);
      count(v_.by_hall[std::size_t(d.hall)]);
      count(v_.by_scheme[std::size_t(d.scheme)]);
      count(v_.windows[std::size_t((d.asked - g_.from) / g_.window)][std::size_t(d.hall)]);
      if (d.answered >= 0) v_.latency.push_back(double(d.answered - d.asked) / 1000);
    }
  }

  const History& h_;
  const Grounds& g_;
  Verdict v_;
};

}  // namespace

std::string story(const Try& t, const Grounds& g) {
  const auto at = [](micros m) { return fmt::format("{:.3f} s", double(m) / 1e6); };
  std::string told =
      fmt::format("{} ({}, txn {}) asked {} at {}, expiry {}", t.id, g.schemes[std::size_t(t.scheme)].name,
                  t.txn, g.nodes[std::size_t(t.node)], at(t.sent), at(t.expiry));
  for (const auto& p : t.postings) {
    told += fmt::format(", came to {} at {}", g.boxes[std::size_t(p.box)], at(p.came));
    if (p.ran)
      told += fmt::format(" and ran{}", p.begun >= 0 ? fmt::format(" from {}", at(p.begun)) : std::string());
    if (p.over >= 0) told += fmt::format(", {} at {}", p.ran ? "done" : "turned away", at(p.over));
    if (p.gone) told += ", its connection gone";
  }
  told += fmt::format(", {}{}", word(t.how),
                      t.answered >= 0 ? fmt::format(" at {}", at(t.answered)) : std::string());
  if (t.left) told += ", its client left";
  if (t.killed) told += ", its node ended";
  return told;
}

Verdict judge(const History& history, const Grounds& grounds) { return Judge(history, grounds).all(); }

}  // namespace robinpin::rehearse
