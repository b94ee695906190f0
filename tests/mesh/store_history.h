// Random histories of a store over a simulated disk: runs that end by a loss of power or the death of the
// process, and what the next run may then find.
#pragma once

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "../../src/storage/leveldb_store.h"
#include "help.h"
#include "simulated_disk.h"

namespace robinpin::mesh_test::disk {

using storage::KeyValueStore;
using Durability = KeyValueStore::Durability;
using Contents = std::map<std::string, std::string>;

// The smallest that LevelDB accepts: a log is full after some twenty writes.
constexpr std::size_t small_write_buffer = 64 << 10;

// The entry that holds the number of the last write.
constexpr const char* counter_key = "n";

inline std::size_t counter_of(const Contents& contents) {
  const auto entry = contents.find(counter_key);
  return entry == contents.end() ? 0 : std::stoul(entry->second);
}

// A temporary folder in memory where there is one, since nothing has to be durable, and a store's path in it.
struct StoreFolder {
  StoreFolder() {
    std::string name = fs::exists("/dev/shm") ? "/dev/shm/robinpin-disk-XXXXXX" : "/tmp/robinpin-disk-XXXXXX";
    root = ::mkdtemp(name.data());
    path = root + "/t";
  }
  ~StoreFolder() { fs::remove_all(root); }
  StoreFolder(const StoreFolder&) = delete;
  StoreFolder& operator=(const StoreFolder&) = delete;
  std::string root, path;
};

// Opens a store and reads it completely. The error's text; empty: none.
inline std::string open_and_read(
    std::unique_ptr<KeyValueStore>& store, Contents& contents,
    const std::function<storage::result<std::unique_ptr<KeyValueStore>>()>& open) {
  return trouble_of<void>([&]() -> storage::result<void> {
    BOOST_LEAF_ASSIGN(store, open());
    BOOST_LEAF_AUTO(entries, store->read_all());
    contents = Contents(entries.begin(), entries.end());
    return {};
  });
}

inline std::string draw_bytes(Random& random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes) byte = char(random());
  return bytes;
}

// A batch of a few puts and removals and the counter. `contents` becomes what the store holds after it.
inline KeyValueStore::WriteBatch draw_batch(Random& random, std::size_t number, Contents& contents) {
  constexpr std::size_t key_count = 12, small_value = 300, large_value = 12'000;
  KeyValueStore::WriteBatch batch;
  for (std::size_t i = 0; i <= draw_below(random, 3); ++i) {
    std::string key = "i/";
    key += char('a' + draw_below(random, key_count));
    if (random() % 4 == 0) {
      batch.removals.push_back(key);
    } else {
      const std::size_t bound = random() % 4 ? small_value : large_value;
      const std::size_t size = draw_below(random, bound);
      batch.puts.emplace_back(key, draw_bytes(random, size));
    }
  }
  batch.puts.emplace_back(counter_key, std::to_string(number));
  for (const auto& [key, value] : batch.puts) contents[key] = value;
  for (const auto& key : batch.removals) contents.erase(key);
  return batch;
}

struct HistoryCounts {
  int histories = 0, power_losses = 0, process_deaths = 0, failed_calls = 0, writes = 0;
  int with_more_than_required = 0;  // how often a run found unsynced writes that could have been lost

  std::string summary() const {
    return std::to_string(histories) + " histories, " + std::to_string(writes) + " writes, " +
           std::to_string(power_losses) + " losses of power, " + std::to_string(process_deaths) +
           " deaths of the process, " + std::to_string(failed_calls) + " failed calls, " +
           std::to_string(with_more_than_required) + " times more than had to be there";
  }
};

// One store through several runs of its process. Of each run several moments are drawn at which it ends; the
// next run opens what each of them leaves, and the history goes on from the last.
class StoreHistory {
 public:
  StoreHistory(std::uint32_t seed, HistoryCounts& counts) : random_(seed), counts_(counts) {}

  // What is wrong; empty: nothing.
  std::string run(int runs, int ends_per_run) {
    ++counts_.histories;
    for (int i = 0; i < runs; ++i)
      if (const auto fault = run_once_and_end(ends_per_run); !fault.empty()) return fault;
    return {};
  }

 private:
  using Kind = DiskOperation::Kind;

  // Numbers of writes, by which states that a run may find are bounded.
  struct Bounds {
    std::size_t after_power_loss = 0;  // the last write that a loss of power spares
    std::size_t after_death = 0;       // the last write that the death of the process spares
    std::size_t last_started = 0;
  };

  std::string run_once_and_end(int ends) {
    const bool with_failing_call = random_() % 4 == 0;
    RecordingFileSystem files(folder_.path);
    if (const auto fault = run_process(files, with_failing_call); !fault.empty()) return fault;
    const SimulatedDisk disk_before = disk_;
    const std::vector<Contents> states_before = states_;
    const Bounds bounds_before = bounds_;
    for (int i = 0; i < ends; ++i) {
      disk_ = disk_before;
      states_ = states_before;
      bounds_ = bounds_before;
      const bool by_power_loss = random_() % 4 != 0;
      end_run(files.operations, by_power_loss);
      RecordingFileSystem next_files(folder_.path);
      if (const auto fault = open_and_check(next_files); !fault.empty())
        return fault + (by_power_loss ? ", after a loss of power" : ", after a death of the process");
    }
    return {};
  }

  std::string open_store(RecordingFileSystem& files, std::unique_ptr<KeyValueStore>& store,
                         Contents& contents) {
    return open_and_read(store, contents, [&] {
      return storage::open_leveldb_store(folder_.path, files, small_write_buffer);
    });
  }

  std::string open_and_check(RecordingFileSystem& files) {
    disk_.write_to(folder_.path);
    std::unique_ptr<KeyValueStore> store;
    Contents contents;
    const std::string error = open_store(files, store, contents);
    files.run_background_work();
    if (!error.empty()) return "it does not open: " + error;
    return check(contents);
  }

  std::string check(const Contents& contents) {
    const std::size_t number = counter_of(contents);
    if (number < bounds_.after_death)
      return "write " + std::to_string(bounds_.after_death) + " has to be there, and it ends at " +
             std::to_string(number);
    if (number > bounds_.last_started) return "write " + std::to_string(number) + " was never started";
    if (contents != states_[number]) return "its contents are not those of write " + std::to_string(number);
    counts_.with_more_than_required += number > bounds_.after_death;
    states_.resize(number + 1);
    return {};
  }

  std::string run_process(RecordingFileSystem& files, bool with_failing_call) {
    constexpr std::size_t failing_call_bound = 160;
    disk_.write_to(folder_.path);
    if (with_failing_call) files.failing_call = draw_below(random_, failing_call_bound);
    std::unique_ptr<KeyValueStore> store;
    Contents contents;
    const std::string error = open_store(files, store, contents);
    if (!error.empty()) {
      counts_.failed_calls += files.has_failed;
      return files.has_failed ? "" : "it does not open: " + error;
    }
    if (const auto fault = check(contents); !fault.empty()) return fault;
    files.record({Kind::store_opened, {}, {}, states_.size() - 1});
    if (const auto fault = write_batches(*store, files); !fault.empty()) return fault;
    files.run_background_work();
    counts_.failed_calls += files.has_failed;
    return {};
  }

  std::string write_batches(KeyValueStore& store, RecordingFileSystem& files) {
    bool has_failed = false;
    std::size_t postponed = 0;
    const std::size_t writes = 2 + draw_below(random_, 60);
    const std::size_t synced_one_in = std::size_t(1) << draw_below(random_, 6);
    for (std::size_t i = 0; i < writes; ++i) {
      const std::size_t number = states_.size();
      Contents after = states_.back();
      const auto batch = draw_batch(random_, number, after);
      const bool is_synced = draw_below(random_, synced_one_in) == 0;
      if (!has_failed) {
        states_.push_back(after);
        files.record({Kind::write_started, {}, {}, number});
      }
      const auto durability = is_synced ? Durability::synced : Durability::unsynced;
      const bool is_written = trouble_of<void>([&] { return store.write(batch, durability); }).empty();
      if (is_written && has_failed) return "a write succeeded after one that failed";
      if (!is_written && !files.has_failed) return "a write failed without a failing call";
      has_failed = !is_written;
      if (is_written) {
        files.record({is_synced ? Kind::synced_write_returned : Kind::write_returned, {}, {}, number});
        ++counts_.writes;
      }
      // At the latest before LevelDB's buffer is full again.
      if (files.has_background_work() && (postponed++ == 2 || random_() % 2)) {
        files.run_background_work();
        postponed = 0;
      }
    }
    return {};
  }

  // Ends the recorded run at a moment that is drawn; each third time while it was being opened.
  void end_run(const std::vector<DiskOperation>& operations, bool by_power_loss) {
    constexpr std::size_t operations_of_open = 50;  // some forty
    const std::size_t all = operations.size() + 1;
    const std::size_t bound = random_() % 3 ? all : std::min(all, operations_of_open);
    const std::size_t moment = draw_below(random_, bound);
    for (std::size_t i = 0; i < moment; ++i) {
      const DiskOperation& operation = operations[i];
      disk_.apply(operation);
      update_bounds(operation);
    }
    if (by_power_loss) {
      disk_.lose_power(random_);
      bounds_.after_death = bounds_.after_power_loss;
      ++counts_.power_losses;
    } else {
      ++counts_.process_deaths;
    }
  }

  void update_bounds(const DiskOperation& operation) {
    if (operation.kind == Kind::store_opened)
      bounds_ = {operation.number, operation.number, operation.number};
    if (operation.kind == Kind::write_started) bounds_.last_started = operation.number;
    if (operation.kind == Kind::write_returned) bounds_.after_death = operation.number;
    if (operation.kind == Kind::synced_write_returned) {
      bounds_.after_death = operation.number;
      bounds_.after_power_loss = operation.number;
    }
  }

  StoreFolder folder_;
  Random random_;
  HistoryCounts& counts_;
  SimulatedDisk disk_;
  std::vector<Contents> states_{Contents{}};  // by the number of the last write
  Bounds bounds_;
};

}  // namespace robinpin::mesh_test::disk
