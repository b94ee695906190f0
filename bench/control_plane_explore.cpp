// Exploration of the core's state logic at length. Not part of the tests:
//   keep_explore [most states of a small plot] [most depth] [drawn plays of a plot] [their steps] [first
//   seed] [number of the one plot]
#include <cstdio>
#include <cstdlib>

#include "../tests/mesh/explore.h"

using namespace robinpin::mesh_test::explored;

namespace {

bool tell(const Plot& plot, const char* how, const Found& f) {
  std::printf("| %s | %s | %llu | %d%s | %llu | %llu | %llu | %.1f |%s%s\n", plot.name.c_str(), how,
              (unsigned long long)f.states, f.depth,
              f.plays > 0 ? (" x " + std::to_string(f.plays)).c_str()
              : f.all     ? ", the end"
                          : "",
              (unsigned long long)f.acknowledged, (unsigned long long)f.losses, (unsigned long long)f.epochs,
              f.seconds, f.broken.empty() ? "" : "  BROKEN: ", f.broken.c_str());
  for (const auto& step : f.trace) std::printf("    %s\n", step.c_str());
  std::fflush(stdout);
  return f.broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  const auto number = [&](int i, unsigned long otherwise) {
    return argc > i ? std::strtoul(argv[i], nullptr, 10) : otherwise;
  };
  const unsigned long most = number(1, 100'000), depth = number(2, 40), drawn = number(3, 2'000),
                      steps = number(4, 80), seed = number(5, 1), only = number(6, 999);
  const auto all = plots();
  std::printf(
      "| plot | how | states | depth | with a change acknowledged | losses of power | plays with other "
      "voters | s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  for (std::size_t i = 0; i < all.size(); ++i) {
    if (only != 999 && only != i) continue;
    if (most > 0 && small(all[i]) && !tell(all[i], "all", Explorer(all[i]).all(int(depth), most))) return 1;
    if (drawn > 0 &&
        !tell(all[i], "drawn", Explorer(all[i]).drawn(std::uint32_t(seed), int(drawn), int(steps))))
      return 1;
  }
  return 0;
}
