// Loss of power and death drawn at length through a store's own files. Not part of the tests:
//   trove_explore [first seed] [histories] [lives of each] [moments of each life]
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "../tests/mesh/disk.h"

using namespace robinpin::mesh_test::disk;

int main(int argc, char** argv) {
  const auto number = [&](int i, unsigned long otherwise) {
    return argc > i ? std::strtoul(argv[i], nullptr, 10) : otherwise;
  };
  const unsigned long first = number(1, 1), histories = number(2, 1'000), lives = number(3, 4),
                      moments = number(4, 8);
  const auto begun = std::chrono::steady_clock::now();
  Tally tally;
  int broken = 0;
  for (unsigned long seed = first; seed < first + histories && broken < 10; ++seed)
    if (const std::string why = Lives(std::uint32_t(seed), tally).run(int(lives), int(moments)); !why.empty())
      ++broken, std::printf("seed %lu: %s\n", seed, why.c_str());
  std::printf("%s, %.0f s\n", tally.told().c_str(),
              std::chrono::duration<double>(std::chrono::steady_clock::now() - begun).count());
  return broken > 0;
}
