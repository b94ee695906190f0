// Random histories of a store over a simulated disk, at length. Not part of the tests:
//   trove_explore [first seed] [histories] [runs of each] [ends of each run]
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "../tests/mesh/store_history.h"

using namespace robinpin::mesh_test::disk;

int main(int argc, char** argv) {
  const auto number_argument = [&](int index, unsigned long fallback) {
    return argc > index ? std::strtoul(argv[index], nullptr, 10) : fallback;
  };
  const unsigned long first_seed = number_argument(1, 1);
  const unsigned long histories = number_argument(2, 1'000);
  const int runs = int(number_argument(3, 4));
  const int ends_per_run = int(number_argument(4, 8));
  constexpr int most_faults = 10;

  const auto start = std::chrono::steady_clock::now();
  HistoryCounts counts;
  int faults = 0;
  for (unsigned long seed = first_seed; seed < first_seed + histories && faults < most_faults; ++seed) {
    const std::string fault = StoreHistory(std::uint32_t(seed), counts).run(runs, ends_per_run);
    if (fault.empty()) continue;
    ++faults;
    std::printf("seed %lu: %s\n", seed, fault.c_str());
  }
  const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
  std::printf("%s, %.0f s\n", counts.summary().c_str(), elapsed.count());
  return faults > 0;
}
