// What limits and records cost: a look-up by number of routes, a file's load and check, a txn's facts.
#include <benchmark/benchmark.h>
#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>

#include "../src/config/file.h"
#include "../src/limits/limits.h"
#include "../src/records/records.h"

namespace {

using namespace robinpin;

read::House house() {
  read::House h;
  h.terms.schemes = {{repeats::repeatable, group::all, 0, 500'000, 0, 1'200'000, 5, 0},
                     {repeats::referenced, group::all, 4'000'000, 1'000'000, 0, 2'500'000, 2, 0},
                     {repeats::once_only, group::all, 0, 1'000'000, 0, 2'500'000, 5, 0}};
  h.terms.most_postings = 5;
  h.schemes = {{"view", 0}, {"add", 1}, {"pay", 2}};
  for (int t = 0; t < 20; ++t) {
    h.tenants[fmt::format("t{}", t)] = t;
    h.terms.allowances.push_back(100);
  }
  return h;
}

// Routes as a large house would have them: a path each, some for one scheme or tenant.
std::string file(int routes) {
  std::string text =
      "[clients]\npatience = \"4s\"\nretries = 2\nwait = \"100ms\"\n[defaults]\npostings = 2\n";
  for (int i = 0; i < routes; ++i)
    text += fmt::format(
        "[[route]]\nname = \"r{0}\"\npath = \"/api/v{1}/service-{0}/calls\"\n{2}{3}posting_timeout = "
        "\"{4}ms\"\nin_flight = {5}\nrate = {5}.5\nburst = 10\n",
        i, i % 7, i % 3 == 0 ? "scheme = \"view\"\n" : "",
        i % 5 == 0 ? fmt::format("tenant = \"t{}\"\n", i % 20) : "", 200 + i % 300, 10 + i);
  return text;
}

void look_up(benchmark::State& state) {
  const auto h = house();
  const int n = int(state.range(0));
  const limits::Table table(config::routes(config::read("f", file(n)).file, h));
  std::vector<std::string> paths;
  for (int i = 0; i < 64; ++i)
    paths.push_back(fmt::format("/api/v{}/service-{}/calls/{}", (i * 37 % n) % 7, i * 37 % n, i));
  std::size_t i = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(table.find({int(i % 3), int(i % 20), "GET", paths[i % 64]}));
    ++i;
  }
}
BENCHMARK(look_up)->Arg(1)->Arg(100)->Arg(1000);

// All routes at one path, told apart by nothing but scheme, tenant and method; and a path's prefixes all
// routes.
void look_up_worst(benchmark::State& state) {
  std::vector<limits::Route> routes;
  std::string path;
  for (int i = 0; i < int(state.range(0)); ++i) {
    limits::Route r;
    r.name = std::to_string(i);
    r.path = path += i < 200 ? "/a" : "";
    r.scheme = i % 3;
    r.tenant = i;
    routes.push_back(r);
  }
  std::reverse(routes.begin(), routes.end());
  const limits::Table table(routes);
  for (auto _ : state) benchmark::DoNotOptimize(table.find({5, 2000, "GET", path}));
}
BENCHMARK(look_up_worst)->Arg(1000);

void take(benchmark::State& state) {
  const auto h = house();
  const limits::Table table(config::routes(config::read("f", file(1000)).file, h));
  micros now = 1;
  for (auto _ : state)
    benchmark::DoNotOptimize(table.take({0, 3, "GET", "/api/v1/service-8/calls"}, now += 1000));
}
BENCHMARK(take);

void load_and_check(benchmark::State& state) {
  const auto h = house();
  const std::string text = file(int(state.range(0)));
  for (auto _ : state) {
    auto r = config::read("f", text);
    config::check(r, h);
    if (!r.good()) state.SkipWithError(config::text("f", r.faults).c_str());
    benchmark::DoNotOptimize(r);
  }
}
BENCHMARK(load_and_check)->Arg(10)->Arg(1000)->Unit(benchmark::kMillisecond);

// The four facts of a txn with one posting, as the desk writes them.
void txn_facts(records::Facts& f, const std::string& id, const std::string& server) {
  f.taken(id, 0, 0, 1'000'000, "deposits");
  f.posted(id, 0, server, 0);
  f.posting_ended(id, 0, "settled", 60'000);
  f.answered(id, "settled", 0);
}

void records_off(benchmark::State& state) {
  records::Facts f;
  const std::string id = "9b1f03aa5c7e2d41", server = "s-5be2a07c";
  for (auto _ : state) txn_facts(f, id, server);
}
BENCHMARK(records_off);

void records_on(benchmark::State& state) {
  const std::string path =
      std::filesystem::temp_directory_path() / fmt::format("robinpin-bench-{}.jsonl", ::getpid());
  {
    records::Facts f(
        {path, 64UL << 20, 1, 1 << 20, 200'000}, "n1", [] { return micros(0); }, [](const std::string&) {});
    f.names({"view-calendar"}, {"choir"});
    const std::string id = "9b1f03aa5c7e2d41", server = "s-5be2a07c";
    for (auto _ : state) txn_facts(f, id, server);
    state.counters["dropped"] = double(f.dropped());
  }
  std::filesystem::remove(path);
  std::filesystem::remove(path + ".1");
}
BENCHMARK(records_on)->Iterations(200'000);

}  // namespace

BENCHMARK_MAIN();
