// Exploration of src/consensus at length: every order of small cases, and drawn orders of larger ones. Not
// part of the tests:
//   consensus_explore [most states of a case] [drawn plays of a case]
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>

#include "../tests/explore.h"

using namespace robinpin::explore;

namespace {

int broken = 0;

void tell(const char* name, const std::function<Found()>& look) {
  const auto begun = std::chrono::steady_clock::now();
  const Found f = look();
  const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count();
  std::printf("%-44s %10llu states, depth %3d, %s, %llu with a value chosen, %.1f s%s%s\n", name,
              (unsigned long long)f.states, f.depth, f.complete ? "all" : "not all",
              (unsigned long long)f.chosen_states, took,
              f.broken.empty() ? "" : "  BROKEN: ", f.broken.c_str());
  for (const auto& step : f.trace) std::printf("    %s\n", step.c_str());
  std::fflush(stdout);
  broken += f.broken.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  const std::uint64_t most = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 2'000'000;
  const int plays = argc > 2 ? std::atoi(argv[2]) : 20'000;
  const Want first{wish::write, "r", 0, "t", ""}, second{wish::write, "r", 1, "t", ""},
      reads{wish::read, "r", 0, "", ""};
  const std::vector<Seat> abd{{"A", "A", "A"}, {"B", "B", "B"}, {"D", "D", "D"}};
  const std::vector<Seat> ade{{"A", "A", "A"}, {"D", "D", "D"}, {"E", "E", "E"}};
  Case c;
  c.most_states = most;
  c.give_ups = 0;
  c.scripts = {{{first}, 1, {}}, {{first}, 1, {}}};
  tell("two writers, one try", [&] { return explore(c); });
  c.scripts[1].wants = {reads};
  tell("a writer and a reader, one try", [&] { return explore(c); });
  c.crashes = 1;
  tell("a writer and a reader, a crash", [&] { return explore(c); });
  c.crashes = 0;
  c.doubles = 1;
  tell("a writer and a reader, a doubled message", [&] { return explore(c); });
  c.doubles = 0;
  c.give_ups = 1;
  c.scripts = {{{first}, 2, {}}, {{first}, 2, {}}};
  tell("two writers, two tries, one given up", [&] { return explore(c); });
  c.give_ups = 0;
  c.crashes = 1;
  c.scripts = {{{first}, 1, {}}, {{first}, 1, {}}};
  tell("two writers, a crash", [&] { return explore(c); });
  c.crashes = 0;
  c.scripts = {{{first}, 1, {}}, {{first}, 1, {}}, {{reads}, 1, {}}};
  c.give_ups = 0;
  tell("two writers and a reader", [&] { return explore(c); });
  c.give_ups = 3;
  c.crashes = 6;
  c.scripts = {{{first}, 2, {}}, {{first}, 2, {}}};
  tell("drawn: two writers, six crashes", [&] { return stroll(c, 5, plays); });
  c.give_ups = 6;
  c.crashes = 2;
  c.doubles = 3;
  c.scripts = {{{first, second}, 3, {}}, {{first, second}, 3, {}}, {{reads, reads, reads}, 3, {}}};
  tell("drawn: two writers, a reader", [&] { return stroll(c, 1, plays); });
  c.scripts = {{{first, second}, 3, {}}, {{first}, 3, {}}, {{}, 5, abd}};
  c.others = {"D"};
  tell("drawn: two writers, a voter replaced", [&] { return stroll(c, 2, plays); });
  c.scripts = {{{first, second}, 3, {}}, {{first, reads}, 3, {}}, {{}, 5, abd}, {{}, 5, ade}};
  c.others = {"D", "E"};
  tell("drawn: two writers, two changes of voters", [&] { return stroll(c, 3, plays); });
  c.founders = {"A", "B", "C", "F", "G"};
  c.others.clear();
  c.scripts = {{{first, second}, 3, {}}, {{first}, 3, {}}, {{first, reads}, 3, {}}};
  tell("drawn: three writers, five voters", [&] { return stroll(c, 4, plays); });
  return broken > 0 ? 1 : 0;
}
