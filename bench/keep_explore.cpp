// Exploration of the core's state logic at length. Not part of the tests:
//   keep_explore [most states of a plot] [most depth] [drawn plays of a plot] [first seed] [number of the one plot]
#include <cstdio>
#include <cstdlib>

#include "../tests/mesh/explore.h"

using namespace robinpin::mesh_test::explored;

namespace {

bool tell(const Plot& plot, const char* how, const Found& f) {
  std::printf("%-45s %-6s %9llu states, depth %2d%s, %d plays, %llu with a change acknowledged, %llu losses of power, %llu steps, %.1f s%s%s\n", plot.name.c_str(), how,
              (unsigned long long)f.states, f.depth, f.all ? " all" : "", f.plays, (unsigned long long)f.acknowledged, (unsigned long long)f.losses,
              (unsigned long long)f.steps, f.seconds, f.broken.empty() ? "" : "  BROKEN: ", f.broken.c_str());
  for (const auto& step : f.trace) std::printf("    %s\n", step.c_str());
  std::fflush(stdout);
  return f.broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  const auto number = [&](int i, unsigned long otherwise) { return argc > i ? std::strtoul(argv[i], nullptr, 10) : otherwise; };
  const unsigned long most = number(1, 100'000), depth = number(2, 20), drawn = number(3, 20'000), seed = number(4, 1), only = number(5, 999);
  const auto all = plots();
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (only != 999 && only != i) continue;
    if (most > 0 && !tell(all[i], "all", Explorer(all[i]).all(int(depth), most))) return 1;
    if (drawn > 0 && !tell(all[i], "drawn", Explorer(all[i]).drawn(std::uint32_t(seed), int(drawn), 60))) return 1;
  }
  return 0;
}
