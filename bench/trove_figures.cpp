// What the disk under the core costs: trove_figures FOLDER. Puts synced and in time, opening, and the size of
// a store whose names are set and let go of for long. Not a test.
#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "../src/trove/leveldb_store.h"

namespace {

using robinpin::trove::KeyValueStore;
using Clock = std::chrono::steady_clock;
double since(Clock::time_point begun) {
  return std::chrono::duration<double, std::milli>(Clock::now() - begun).count();
}

double resident() {  // MB
  std::ifstream in("/proc/self/statm");
  std::size_t all = 0, pages = 0;
  in >> all >> pages;
  return double(pages) * 4096 / 1e6;
}

template <typename F>
auto must(const F& f) {
  return boost::leaf::try_handle_all(
      f,
      [](const robinpin::trove::Error& t) -> std::decay_t<decltype(f().value())> {
        std::fprintf(stderr, "%s %s: %s\n", robinpin::trove::to_string(t.step), t.peer.c_str(),
                     t.reason.c_str());
        std::exit(1);
      },
      []() -> std::decay_t<decltype(f().value())> { std::exit(1); });
}
std::unique_ptr<KeyValueStore> opened(const std::string& folder) {
  return must([&] { return robinpin::trove::open_leveldb_store(folder); });
}
void put(KeyValueStore& t, const KeyValueStore::WriteBatch& batch, KeyValueStore::Durability how) {
  must([&]() -> robinpin::trove::result<int> {
    BOOST_LEAF_CHECK(t.write(batch, how));
    return 0;
  });
}
std::uint64_t bytes(KeyValueStore& t) {
  return must([&] { return t.size_on_disk(); });
}

std::mt19937 chance(1);
std::string text() {  // some 200 bytes, half of them like any other's
  std::string s =
      R"({"authority":"a.example","path_prefix":"/p/","mode":"idempotent","deadline":"4000ms","target":")";
  for (int i = 0; i < 100; ++i) s += char(chance());
  return s;
}
std::string name(std::size_t i) { return "i/c/route-" + std::to_string(i); }

void latency(const std::string& folder, KeyValueStore::Durability how, const char* what, int puts) {
  auto t = opened(folder);
  std::vector<double> us;
  for (int i = 0; i < puts; ++i) {
    const auto begun = Clock::now();
    put(*t, {{{name(i % 2'000), text()}}, {}}, how);
    us.push_back(since(begun) * 1'000);
  }
  std::sort(us.begin(), us.end());
  const auto at = [&](double part) { return us[std::size_t(part * double(us.size() - 1))]; };
  std::printf("%s: %d puts, us: p50 %.0f, p99 %.0f, p99.9 %.0f, most %.0f\n", what, puts, at(0.5), at(0.99),
              at(0.999), us.back());
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return std::fprintf(stderr, "trove_figures FOLDER, which is to be empty or not there\n"), 2;
  const std::string folder = argv[1];
  latency(folder + "/synced", KeyValueStore::Durability::synced, "synced", 5'000);
  latency(folder + "/in-time", KeyValueStore::Durability::unsynced, "in time", 50'000);
  for (const std::size_t records : {1'000, 20'000, 100'000}) {
    const std::string at = folder + "/" + std::to_string(records);
    {
      auto t = opened(at);
      for (std::size_t i = 0; i < records; ++i)
        put(*t, {{{name(i), text()}}, {}}, KeyValueStore::Durability::unsynced);
    }
    const double before = resident();
    const auto begun = Clock::now();
    auto t = opened(at);
    const double ms = since(begun);
    const auto all = must([&] { return t->read_all(); });
    std::printf(
        "%zu records: open %.1f ms, then all %.1f ms, %.2f MB on disk, %.1f MB more resident with all of "
        "them\n",
        all.size(), ms, since(begun) - ms, double(bytes(*t)) / 1e6, resident() - before);
  }
  {
    auto t = opened(folder + "/changes");
    std::uint64_t most = 0;
    const double before = resident();
    double most_resident = 0;
    for (std::size_t i = 1; i <= 100'000; ++i) {
      KeyValueStore::WriteBatch batch;
      const std::string n = name(chance() % 2'000);
      if (chance() % 3 == 0)
        batch.removals.push_back(n);
      else
        batch.puts.emplace_back(n, text());
      put(*t, batch, i % 10 == 0 ? KeyValueStore::Durability::synced : KeyValueStore::Durability::unsynced);
      if (i % 100 == 0)
        most = std::max(most, bytes(*t)), most_resident = std::max(most_resident, resident() - before);
      if (i % 25'000 == 0)
        std::printf(
            "%zu changes over 2000 names: %.2f MB on disk, at most %.2f; %.1f MB more resident at most\n", i,
            double(bytes(*t)) / 1e6, double(most) / 1e6, most_resident);
    }
    std::size_t standing = 0;
    for (const auto& [k, v] : must([&] { return t->read_all(); })) standing += k.size() + v.size();
    std::printf("standing: %.2f MB\n", double(standing) / 1e6);
    t.reset();
    const auto begun = Clock::now();
    t = opened(folder + "/changes");
    std::printf("opened after them in %.1f ms, %.2f MB on disk\n", since(begun), double(bytes(*t)) / 1e6);
    // Names that are set once and let go of for good, as months of them would.
    most = 0;
    for (std::size_t i = 0; i < 200'000; ++i) {
      KeyValueStore::WriteBatch batch{{{name(10'000 + i), text()}}, {}};
      if (i >= 1'000) batch.removals.push_back(name(10'000 + i - 1'000));
      put(*t, batch, KeyValueStore::Durability::unsynced);
      if (i % 100 == 0) most = std::max(most, bytes(*t));
    }
    std::printf("200000 names set once and let go of 1000 later: %.2f MB on disk, at most %.2f\n",
                double(bytes(*t)) / 1e6, double(most) / 1e6);
  }
}
