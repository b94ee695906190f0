// Figures of the store on disk: latency of writes, time to open, and the size of a store whose entries are
// written and removed for long. Not a test: trove_figures FOLDER
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

#include "../src/storage/leveldb_store.h"

namespace {

using robinpin::storage::KeyValueStore;
using Durability = KeyValueStore::Durability;
using Clock = std::chrono::steady_clock;

constexpr std::size_t live_keys = 2'000;
constexpr double bytes_per_megabyte = 1e6;

std::mt19937 generator(1);

double milliseconds_since(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

double megabytes(std::uint64_t bytes) { return double(bytes) / bytes_per_megabyte; }

double resident_megabytes() {
  constexpr std::uint64_t page_size = 4096;
  std::ifstream in("/proc/self/statm");
  std::uint64_t total_pages = 0, resident_pages = 0;
  in >> total_pages >> resident_pages;
  return megabytes(resident_pages * page_size);
}

// The value of a result; ends the process with the error's text if there is none.
template <typename Function>
auto value_or_exit(const Function& function) {
  using Value = std::decay_t<decltype(function().value())>;
  return boost::leaf::try_handle_all(
      function,
      [](const robinpin::storage::Error& error) -> Value {
        std::fprintf(stderr, "%s %s: %s\n", robinpin::storage::to_string(error.step), error.peer.c_str(),
                     error.reason.c_str());
        std::exit(1);
      },
      []() -> Value { std::exit(1); });
}

std::unique_ptr<KeyValueStore> open_store(const std::string& folder) {
  return value_or_exit([&] { return robinpin::storage::open_leveldb_store(folder); });
}

void write(KeyValueStore& store, const KeyValueStore::WriteBatch& batch, Durability durability) {
  value_or_exit([&]() -> robinpin::storage::result<int> {
    BOOST_LEAF_CHECK(store.write(batch, durability));
    return 0;
  });
}

std::uint64_t size_on_disk(KeyValueStore& store) {
  return value_or_exit([&] { return store.size_on_disk(); });
}

std::string key_of(std::size_t index) { return "i/c/route-" + std::to_string(index); }

// Some 200 bytes, half of which are the same in all values.
std::string draw_value() {
  constexpr int random_bytes = 100;
  std::string value =
      R"({"authority":"a.example","path_prefix":"/p/","mode":"idempotent","deadline":"4000ms","target":")";
  for (int i = 0; i < random_bytes; ++i) value += char(generator());
  return value;
}

void measure_latency(const std::string& folder, Durability durability, const char* label,
                     std::size_t writes) {
  const auto store = open_store(folder);
  std::vector<double> microseconds;
  for (std::size_t i = 0; i < writes; ++i) {
    const auto start = Clock::now();
    write(*store, {{{key_of(i % live_keys), draw_value()}}, {}}, durability);
    microseconds.push_back(milliseconds_since(start) * 1'000);
  }
  std::sort(microseconds.begin(), microseconds.end());
  const auto percentile = [&](double fraction) {
    return microseconds[std::size_t(fraction * double(microseconds.size() - 1))];
  };
  std::printf("%s: %zu writes, us: p50 %.0f, p99 %.0f, p99.9 %.0f, max %.0f\n", label, writes,
              percentile(0.5), percentile(0.99), percentile(0.999), microseconds.back());
}

void measure_open(const std::string& folder, std::size_t entry_count) {
  {
    const auto store = open_store(folder);
    for (std::size_t i = 0; i < entry_count; ++i)
      write(*store, {{{key_of(i), draw_value()}}, {}}, Durability::unsynced);
  }
  const double resident_before = resident_megabytes();
  const auto start = Clock::now();
  const auto store = open_store(folder);
  const double open_time = milliseconds_since(start);
  const auto entries = value_or_exit([&] { return store->read_all(); });
  const double read_time = milliseconds_since(start) - open_time;
  std::printf(
      "%zu entries: open %.1f ms, then read all %.1f ms, %.2f MB on disk, %.1f MB more resident with all of "
      "them\n",
      entries.size(), open_time, read_time, megabytes(size_on_disk(*store)),
      resident_megabytes() - resident_before);
}

// The same keys written and removed again and again.
void measure_changes(const std::string& folder) {
  constexpr std::size_t changes = 100'000, synced_one_in = 10, measured_one_in = 100, printed_one_in = 25'000;
  const auto store = open_store(folder);
  const double resident_before = resident_megabytes();
  std::uint64_t largest = 0;
  double most_resident = 0;
  for (std::size_t i = 1; i <= changes; ++i) {
    KeyValueStore::WriteBatch batch;
    const std::string key = key_of(generator() % live_keys);
    if (generator() % 3 == 0)
      batch.removals.push_back(key);
    else
      batch.puts.emplace_back(key, draw_value());
    write(*store, batch, i % synced_one_in == 0 ? Durability::synced : Durability::unsynced);
    if (i % measured_one_in == 0) {
      largest = std::max(largest, size_on_disk(*store));
      most_resident = std::max(most_resident, resident_megabytes() - resident_before);
    }
    if (i % printed_one_in == 0)
      std::printf("%zu changes of %zu keys: %.2f MB on disk, at most %.2f; %.1f MB more resident at most\n",
                  i, live_keys, megabytes(size_on_disk(*store)), megabytes(largest), most_resident);
  }
  std::uint64_t content_size = 0;
  for (const auto& [key, value] : value_or_exit([&] { return store->read_all(); }))
    content_size += key.size() + value.size();
  std::printf("contents: %.2f MB\n", megabytes(content_size));
}

// Keys that are written once and removed for good, as months of them would be.
void measure_removals(const std::string& folder) {
  constexpr std::size_t writes = 200'000, live_entries = 1'000, first_key = 10'000, measured_one_in = 100;
  const auto start = Clock::now();
  const auto store = open_store(folder);
  std::printf("opened after them in %.1f ms, %.2f MB on disk\n", milliseconds_since(start),
              megabytes(size_on_disk(*store)));
  std::uint64_t largest = 0;
  for (std::size_t i = 0; i < writes; ++i) {
    KeyValueStore::WriteBatch batch{{{key_of(first_key + i), draw_value()}}, {}};
    if (i >= live_entries) batch.removals.push_back(key_of(first_key + i - live_entries));
    write(*store, batch, Durability::unsynced);
    if (i % measured_one_in == 0) largest = std::max(largest, size_on_disk(*store));
  }
  std::printf("%zu keys written once and removed %zu later: %.2f MB on disk, at most %.2f\n", writes,
              live_entries, megabytes(size_on_disk(*store)), megabytes(largest));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) {
    std::fprintf(stderr, "trove_figures FOLDER, which has to be empty or not to exist\n");
    return 2;
  }
  const std::string folder = argv[1];
  measure_latency(folder + "/synced", Durability::synced, "synced", 5'000);
  measure_latency(folder + "/unsynced", Durability::unsynced, "unsynced", 50'000);
  for (const std::size_t entry_count : {1'000, 20'000, 100'000})
    measure_open(folder + "/" + std::to_string(entry_count), entry_count);
  measure_changes(folder + "/changes");
  measure_removals(folder + "/changes");
}
