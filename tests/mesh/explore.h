// The core's state logic explored as it is: every order of steps to a stated depth, or drawn plays; see
// world.h for what a step is and what is held to. States are told apart by what each incarnation has heard,
// what is under way, what operators know.
#pragma once

#include <chrono>
#include <unordered_set>

#include "simulated_world.h"

namespace robinpin::mesh_test::explored {

struct Found {
  std::uint64_t states = 0, steps = 0, losses = 0, acknowledged = 0;  // `losses` of power that were looked at
  std::uint64_t epochs = 0;                                           // plays in which the voters changed
  int depth = 0, plays = 0;
  bool all = true;  // each state up to that depth
  double seconds = 0;
  std::string broken;  // empty: nothing
  std::vector<std::string> trace;
};

class Explorer {
 public:
  // `thorough`: of a loss of power each disk gone and none are looked at, else one of these in a third of the
  // states.
  explicit Explorer(const Plot& plot, bool thorough = true) : plot_(plot), thorough_(thorough) {}

  // Every state that so many steps lead to, shorter ways first.
  Found all(int depth, std::uint64_t most) {
    std::vector<std::uint32_t> front{0}, next;
    for (; found_.depth < depth && !front.empty(); ++found_.depth) {
      for (const std::uint32_t end : front) {
        const Path path = path_to(end);
        const auto at = [&] {
          auto w = std::make_unique<World>(plot_, true);
          for (const auto& s : path) w->take(s);
          found_.steps += path.size();
          return w;
        };
        auto first = at();
        for (auto& step : first->options(false)) {
          const auto w = first ? std::move(first) : at();
          w->take(step), ++found_.steps;
          if (!seen_.insert(w->print()).second) continue;
          next.push_back(std::uint32_t(trail_.size()));
          trail_.push_back({end, std::move(step)});
          if (const auto how = judged(*w, true, found_.states % (thorough_ ? 16 : 64) == 0); !how.empty())
            return told(path_to(next.back()), how, true);
          if (found_.states >= most) return found_.all = false, done();
        }
      }
      front = std::exchange(next, {});
    }
    return done();
  }

  // Plays drawn under seeds from `seed` on.
  Found drawn(std::uint32_t seed, int plays, int depth) {
    found_.all = false, found_.depth = depth;
    for (int p = 0; p < plays; ++p) {
      std::mt19937 chance(seed + std::uint32_t(p));
      World w(plot_);
      Path path;
      ++found_.plays;
      for (int d = 0; d < depth; ++d) {
        path.push_back(draw(w, chance));
        w.take(path.back());
        ++found_.steps, ++found_.states;
        const bool last = d + 1 == depth || !w.broken.empty();
        if (const auto how = last || chance() % 24 == 0 ? judged(w, false, last) : std::string();
            !how.empty()) {
          told(std::move(path), how, false);
          found_.trace.insert(found_.trace.begin(), "seed " + std::to_string(seed + std::uint32_t(p)));
          return found_;
        }
      }
      found_.epochs += w.epoch() > 1;
    }
    return done();
  }

 private:
  using Path = std::vector<World::Step>;
  using does = World::does;

  // What goes on, what is lost and what comes back, each in its measure.
  static World::Step draw(const World& w, std::mt19937& chance) {
    std::vector<World::Step> on, time, asked, lost, back;
    for (auto& s : w.options(true)) {
      const bool torn = s.spared >= 0;
      const auto is = s.is;
      (torn || is == does::twice || is == does::kill || is == does::wipe || is == does::older ||
               is == does::power || is == does::join || is == does::leave || is == does::cut ||
               is == does::freeze
           ? lost
       : is == does::start || is == does::mend || is == does::wake ? back
       : is == does::call || is == does::again                     ? asked
       : is == does::deliver                                       ? on
                                                                   : time)
          .push_back(std::move(s));
    }
    const std::pair<std::vector<World::Step>*, unsigned> kinds[] = {
        {&on, 40}, {&time, 25}, {&asked, 15}, {&lost, 12}, {&back, 8}};
    for (;;) {
      unsigned at = unsigned(chance() % 100);
      for (const auto& [steps, part] : kinds) {
        if (at >= part) {
          at -= part;
          continue;
        }
        if (steps->empty()) break;
        if (steps == &lost) {  // each kind alike, however many letters could be struck by it
          const auto kind = (*steps)[chance() % steps->size()].is,
                     other = (*steps)[chance() % steps->size()].is;
          if (kind == does::twice && other != kind)
            std::erase_if(*steps, [&](const auto& s) { return s.is != other; });
        }
        auto s = (*steps)[chance() % steps->size()];
        s.seed = s.is == does::run || s.is == does::power ? std::uint32_t(chance()) | 1U : 0;
        return s;
      }
    }
  }
  Path path_to(std::uint32_t end) const {
    Path path;
    for (; end != 0; end = trail_[end].first) path.push_back(trail_[end].second);
    std::reverse(path.begin(), path.end());
    return path;
  }

  // Empty, or how it broke. A loss of power is looked at in each state that differs in what it leaves.
  std::string judged(World& w, bool count, bool further) {
    found_.states += count;
    found_.acknowledged += w.acknowledged() > 0;
    if (!w.broken.empty()) return w.broken;
    if (lasting_.insert(w.lasting()).second) {
      const std::uint32_t seed = std::uint32_t(w.lasting());
      const int one = seed % 3 == 0 || further ? int(seed / 7 % (w.machines() + 1)) - 1 : int(w.machines());
      for (int wiped = -1; wiped < int(w.machines()); ++wiped) {
        if (!thorough_ && wiped != one) continue;
        if (wiped >= 0 && (!w.may_wipe() || !w.is_there(wiped))) continue;
        World after(w, wiped);
        after.heal(seed, wiped < 0 && w.may_wipe() ? int(seed % 3) : -1);
        if (further && after.broken.empty() && (wiped < 0 || wiped == int(seed % w.machines())))
          after.loses_one_more(seed);
        ++found_.losses;
        if (!after.broken.empty())
          return "power is lost" + (wiped < 0 ? "" : ", the disk of " + std::to_string(wiped) + " is gone") +
                 ": " + after.broken;
      }
    }
    if (!further) return {};
    // As it goes on when all come back with what they have.
    w.heal(std::uint32_t(found_.states));
    if (w.broken.empty()) w.loses_one_more(std::uint32_t(found_.states));
    return w.broken.empty() ? std::string() : "all come back: " + w.broken;
  }

  // The way there, without the steps that it breaks without as well.
  Found& told(Path path, std::string how, bool all) {
    const auto breaks = [&](const Path& p) {
      World w(plot_, all);
      for (const auto& s : p) w.take(s);
      lasting_.clear();
      return judged(w, false, true);
    };
    const auto states = found_.states;
    if (!breaks(path).empty())
      for (std::size_t part = std::max<std::size_t>(1, path.size() / 4); part > 0; part /= 2)
        for (std::size_t i = 0; i + part <= path.size();) {
          Path less = path;
          less.erase(less.begin() + std::ptrdiff_t(i), less.begin() + std::ptrdiff_t(i + part));
          if (const auto still = breaks(less); !still.empty())
            path = std::move(less), how = still;
          else
            ++i;
        }
    found_.states = states;
    found_.broken = how;
    for (const auto& s : path) found_.trace.push_back(s.told());
    return done();
  }
  Found& done() {
    found_.seconds = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun_).count();
    return found_;
  }

  const Plot& plot_;
  const bool thorough_;
  Found found_;
  std::vector<std::pair<std::uint32_t, World::Step>> trail_{1};  // each step with the one before it
  std::unordered_set<std::uint64_t> seen_, lasting_;
  std::chrono::steady_clock::time_point begun_ = std::chrono::steady_clock::now();
};

// Beside the name: what operators do, machines, and what may go wrong.
inline std::vector<Plot> plots() {
  const Call one = route(3, "one"), two = route(3, "two"), gone = drop("channels", "r0", 4),
             further = route(5, "one"), never = route(9, "three"), service_gone = drop("targets", "two", 5),
             needs = route(6, "two", "r3"), read = reading(), several = both(3, "one", "r3", "r0"),
             clashes = both(3, "two", "r4", "r2"), clash = route(3, "one", "r2"),
             back_again = route(1, "one", "r1"), many = change(first_call("00000007", 8));
  const std::vector<std::vector<Call>> scripts{{one, gone, service_gone, never, zone(true)},
                                               {two, further, needs, several, zone(false)},
                                               {read, clash, read, clashes, read}};
  std::vector<Plot> all;
  const auto add = [&](std::string name, std::vector<std::vector<Call>> what) -> Plot& {
    Plot p;
    p.name = std::move(name), p.scripts = std::move(what);
    return all.emplace_back(std::move(p));
  };
  // Small ones, gone through in every order.
  add("two wordings compete", {{one}, {two}});
  {
    auto& p = add("a change, a death, perhaps its disk", {{one}});
    p.deaths = p.wipes = 1;
  }
  {
    auto& p = add("a change, a death, perhaps an older disk", {{one}});
    p.deaths = p.olds = 1;
  }
  add("a change and a reader", {{one}, {read}});
  {
    auto& p = add("a change, a reader, a core that stood still", {{one}, {read}});
    p.leaps = 1;
  }
  {
    auto& p = add("a change sent again", {{one}});
    p.agains = 1, p.ticks = 1;
  }
  add("a drop, then a further version", {{gone, further}});
  add("a service dropped and then needed", {{service_gone, needs}});
  add("several items, one of them clashes", {{clash}, {clashes}});
  {
    auto& p = add("a death in the midst of a put", {{several}});
    p.deaths = p.torn = 1;
  }
  {
    auto& p = add("beats, a core whose clock goes on", {{one}});
    p.beats = true, p.ticks = 2, p.leaps = 1;
  }
  {
    auto& p = add("a disk from before a name was let go of", {{back_again}});
    p.pruned = true, p.deaths = p.olds = 1;
  }
  // Large ones, drawn.
  const auto much = [](Plot& p) -> Plot& {
    p.gossip = p.beats = true;
    p.deaths = 6, p.torn = 2, p.wipes = 2, p.olds = 1, p.doubles = 4, p.agains = 6, p.ticks = 12, p.leaps = 2,
    p.powers = 2, p.cuts = 4, p.freezes = 3;
    return p;
  };
  much(add("three", scripts));
  {
    auto& p = much(add("three, and two that stand by", scripts));
    p.standbys = 2, p.leaves = 1;
  }
  {
    auto& p = much(add("three, and two addresses that are free", scripts));
    p.vacant = 2, p.joins = 2, p.leaves = 1;
  }
  {
    auto& p = much(add("five", scripts));
    p.voters = 5, p.wipes = 3;
  }
  {
    auto& p = much(add("three, names let go of", scripts));
    p.pruned = true, p.olds = 2;
  }
  {
    auto& p = much(add("three to four to five and back", {{size("4"), one, size("5"), gone, size("3")},
                                                          {two, size("5"), further, size("4"), read},
                                                          {read, clash, size("3"), needs}}));
    p.standbys = 2, p.leaves = 1;
  }
  much(add("many routes", {{many, read}, {one, read}, {read, gone, read}}));
  return all;
}
inline bool small(const Plot& p) {
  return p.scripts.size() < 3;
}  // all of its orders can be gone through, to some depth

}  // namespace robinpin::mesh_test::explored
