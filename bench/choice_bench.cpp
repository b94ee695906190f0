// What a decision costs by servers known and calls in flight: a call taken, sent and reported, and a wake
// with nothing due.
#include <benchmark/benchmark.h>

#include "robinpin/choice.h"

namespace {

using namespace robinpin;

// A node that knows so many servers, each with a few answers, and has so many calls out.
struct Node {
  micros now = 1'000'000'000;
  Balancer b;
  long number = 0;
  std::vector<std::string> out;

  static Terms terms() {
    Terms t;
    t.schemes = {{repeats::repeatable, group::all, 0, 500'000, 0, 1'200'000, 5, 0}};
    t.may_withdraw = true;
    t.most_postings = 3;
    t.tier = 1;  // what is out stays out: nothing is declined for want of room
    t.tiers = 2;
    return t;
  }
  Node(int servers, int in_flight) : b(terms(), 7, now) {
    std::vector<Line> lines;
    for (int i = 0; i < servers; ++i)
      lines.push_back({"server-" + std::to_string(i), "", "", 0, 1, standing::serving, 0});
    b.list_told(now, lines, true);
    for (int i = 0; i < 300; ++i) report(take());
    for (int i = 0; i < in_flight; ++i) out.push_back(take());
  }
  std::string take() {
    std::string id = "txn-" + std::to_string(++number);
    benchmark::DoNotOptimize(b.txn_taken(now += 10, id, 0, -1, 1'200'000, 0));
    return id;
  }
  void report(const std::string& id) {
    benchmark::DoNotOptimize(b.posting_ended(now += 10, id, 0, ending::settled, 20'000, true, nullptr));
  }
};

void txn(benchmark::State& state) {
  Node node(int(state.range(0)), int(state.range(1)));
  for (auto _ : state) {
    node.report(node.take());
    if (node.now > 1'000'400'000) {  // before the time of those out is up
      state.PauseTiming();
      node.~Node();
      new (&node) Node(int(state.range(0)), int(state.range(1)));
      state.ResumeTiming();
    }
  }
}

void wake(benchmark::State& state) {
  Node node(int(state.range(0)), int(state.range(1)));
  for (auto _ : state) benchmark::DoNotOptimize(node.b.woke(node.now));
}

const std::vector<std::vector<int64_t>> sizes = {{10, 100, 500, 2000}, {1, 10, 100, 1000}};

}  // namespace

BENCHMARK(txn)->ArgsProduct(sizes)->Unit(benchmark::kMicrosecond)->MinTime(0.1);
BENCHMARK(wake)->ArgsProduct(sizes)->Unit(benchmark::kMicrosecond)->MinTime(0.05);
BENCHMARK_MAIN();
