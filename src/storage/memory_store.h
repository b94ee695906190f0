// A key-value store in memory for tests, with a model of what a loss of power does.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "key_value_store.h"

namespace robinpin::storage {

class MemoryStore : public KeyValueStore {
 public:
  // What outlives the process. Shared with the test, which hands it to the store of the next process.
  struct Disk {
    std::map<std::string, std::string> synced;   // survives a loss of power
    std::map<std::string, std::string> written;  // survives the death of the process
    std::set<std::string> unsynced_keys;         // in which the two may differ

    void lose_power() {
      written = synced;
      unsynced_keys.clear();
    }
    void sync() {
      for (const auto& key : unsynced_keys)
        if (const auto found = written.find(key); found != written.end())
          synced[key] = found->second;
        else
          synced.erase(key);
      unsynced_keys.clear();
    }
    bool operator==(const Disk&) const = default;
  };

  explicit MemoryStore(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {}

  result<void> write(const WriteBatch& batch, Durability durability = Durability::synced) override {
    if (fail_writes) return boost::leaf::new_error(Error{Error::Step::sync, "memory", "injected failure"});
    for (const auto& [key, value] : batch.puts) {
      disk_->written[key] = value;
      disk_->unsynced_keys.insert(key);
    }
    for (const auto& key : batch.removals) {
      disk_->written.erase(key);
      disk_->unsynced_keys.insert(key);
    }
    if (durability == Durability::synced) disk_->sync();
    return {};
  }

  result<std::vector<Entry>> read_all() override {
    return std::vector<Entry>(disk_->written.begin(), disk_->written.end());
  }

  result<std::uint64_t> size_on_disk() override {
    std::uint64_t size = 0;
    for (const auto& [key, value] : disk_->written) size += key.size() + value.size();
    return size;
  }

  bool fail_writes = false;  // set by a test: every write fails

 private:
  std::shared_ptr<Disk> disk_;
};

}  // namespace robinpin::storage
