#include "linear.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <map>
#include <unordered_set>

namespace robinpin::rehearse {

namespace {

using kind = Deed::kind;
using end = Deed::end;

struct State {
  std::uint64_t version = 0;
  int writer = -1;  // which deed wrote it
};

class Search {
 public:
  Search(const std::vector<Deed>& deeds, std::uint64_t most) : deeds_(deeds), most_(most) {}

  // True if there is such an order.
  bool run() {
    // Each step takes one deed that was called before every deed left had been answered.
    done_.assign(deeds_.size(), false);
    return step(State{});
  }
  std::uint64_t looked_at = 0;
  bool given_up = false;

 private:
  const std::string& text(const State& s) const {
    static const std::string none;
    return s.writer < 0 ? none : deeds_[std::size_t(s.writer)].text;
  }

  bool holds(const Deed& d, const State& s) const {
    if (d.what == kind::read) return d.version == s.version && d.text == text(s);
    if (d.how == end::refused) return s.version != d.expected && d.version == s.version && d.text == text(s);
    return s.version == d.expected;
  }

  std::string key(const State& s) const {
    // Deeds are sorted by call: before the first that is left all are done, and long histories need few bits.
    std::size_t first = 0;
    while (first < done_.size() && done_[first]) ++first;
    std::string k =
        std::to_string(first) + "." + std::to_string(s.version) + "." + std::to_string(s.writer) + ".";
    std::size_t last = done_.size();
    while (last > first && !done_[last - 1]) --last;
    for (std::size_t i = first; i < last; ++i) k += done_[i] ? '1' : '0';
    return k;
  }

  bool step(const State& s) {
    if (++looked_at > most_) {
      given_up = true;
      return false;
    }
    micros soonest = std::numeric_limits<micros>::max();
    bool left = false;
    for (std::size_t i = 0; i < deeds_.size(); ++i) {
      if (done_[i]) continue;
      if (deeds_[i].called > soonest) break;
      if (deeds_[i].how == end::unknown) continue;
      left = true;
      soonest = std::min(soonest, deeds_[i].answered);
    }
    if (!left) return true;  // what is unknown need not have been done
    if (!seen_.insert(key(s)).second) return false;
    for (std::size_t i = 0; i < deeds_.size() && deeds_[i].called <= soonest; ++i) {
      if (done_[i] || !holds(deeds_[i], s)) continue;
      State then = s;
      if (deeds_[i].what == kind::write && deeds_[i].how != end::refused)
        then = {deeds_[i].expected + 1, int(i)};
      done_[i] = true;
      if (step(then)) return true;
      done_[i] = false;
      if (given_up) return false;
    }
    return false;
  }

  const std::vector<Deed>& deeds_;
  const std::uint64_t most_;
  std::vector<bool> done_;
  std::unordered_set<std::string> seen_;
};

// As it stood at that time: who had not been answered may have been served or not.
std::vector<Deed> until(const std::vector<Deed>& all, micros t) {
  std::vector<Deed> some;
  for (Deed d : all) {
    if (d.called > t) continue;
    if (d.answered > t && d.how != end::unknown) {
      if (d.what == kind::read || d.how == end::refused) continue;
      d.how = end::unknown;
    }
    some.push_back(std::move(d));
  }
  return some;
}

}  // namespace

std::string told(const Deed& d) {
  const auto span = fmt::format(
      "{:>10.3f} to {}", double(d.called) / 1000,
      d.answered < 0 || d.how == end::unknown ? "?" : fmt::format("{:.3f} ms", double(d.answered) / 1000));
  const auto stood = [&] {
    return d.version == 0 ? std::string("nothing") : fmt::format("version {} \"{}\"", d.version, d.text);
  };
  if (d.what == kind::read)
    return fmt::format("{}  caller {} at n{} reads {}: {}", span, d.caller, d.at + 1, d.where, stood());
  const char* how = d.how == end::done      ? "done"
                    : d.how == end::unknown ? "unknown"
                    : d.how == end::refused ? "refused"
                                            : "not done";
  return d.how == end::refused
             ? fmt::format("{}  caller {} at n{} writes {} on version {}: refused, {} stands", span, d.caller,
                           d.at + 1, d.where, d.expected, stood())
             : fmt::format("{}  caller {} at n{} writes {} on version {}: \"{}\", {}", span, d.caller,
                           d.at + 1, d.where, d.expected, d.text, how);
}

Explained explain_history(const std::vector<Deed>& deeds, std::uint64_t most_states) {
  std::map<std::string, std::vector<Deed>> by_register;
  for (const Deed& d : deeds)
    if (d.how != end::not_done)
      by_register[d.where].push_back(d);  // if it was done all the same, nothing explains what others saw
  Explained e;
  for (auto& [where, all] : by_register) {
    std::stable_sort(all.begin(), all.end(),
                     [](const Deed& a, const Deed& b) { return a.called < b.called; });
    const auto explains = [&](const std::vector<Deed>& some) {
      Search s(some, most_states);
      const bool good = s.run();
      e.looked_at += s.looked_at;
      e.given_up = e.given_up || s.given_up;
      return good || s.given_up;
    };
    if (explains(all)) continue;
    std::vector<micros> answers;
    for (const Deed& d : all)
      if (d.how != end::unknown) answers.push_back(d.answered);
    std::sort(answers.begin(), answers.end());
    std::size_t good = 0, bad = answers.size();  // a beginning of none can be explained, all can't
    while (bad - good > 1) {
      const std::size_t middle = (good + bad) / 2;
      (explains(until(all, answers[middle - 1])) ? good : bad) = middle;
    }
    e.good = false;
    e.where = where;
    e.prefix = until(all, answers[bad - 1]);
    return e;
  }
  return e;
}

}  // namespace robinpin::rehearse
