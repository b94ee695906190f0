// The contract of storing: what was put lasts once put() has said so, whatever power does then. A failed put
// is final: nothing is known of the disk any more, and who has this trove ends.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace robinpin::trove {

template <typename T>
using result = boost::leaf::result<T>;

// What went wrong: at which step, with whom, and why. Carried by every error of the mesh's parts. Of a
// trove's: "damage" is what was synced and is not there any more; any other step may be right again later, or
// elsewhere.
struct Trouble {
  std::string step, peer, why;
};

class Trove {  // not for several threads at once
 public:
  using Pair = std::pair<std::string, std::string>;
  struct Batch {  // all of it or none; a name in both is let go of. No name begins with a zero byte
    std::vector<Pair> put;
    std::vector<std::string> drop;  // names let go of
  };
  // synced: it lasts whatever power does once this has returned. Otherwise it is there for this life and the
  // next, in order with the others, and power may take it: any later synced one, or the next open, makes it
  // last.
  enum class lasting { synced, in_time };
  virtual ~Trove() = default;
  virtual result<void> put(const Batch& batch, lasting how = lasting::synced) = 0;
  virtual result<std::vector<Pair>> all() = 0;
  virtual result<std::uint64_t> bytes() = 0;  // on disk, about
};

// In a folder on disk, made where there is none. Errors: "open", it can't be made, read or written to now, or
// is in use; "damage", it lacks what was synced (docs/design/disk.md says what can be told); the peer is the
// file. A store that opens may still be told as damaged by all(), which alone reads every table.
result<std::unique_ptr<Trove>> open(const std::string& folder);

// A look at a store that is not in use. Its folder is left as it is: a copy is opened.
struct Look {
  std::vector<Trove::Pair> pairs;   // of a damaged one: what can still be read, perhaps of different times
  std::vector<std::string> damage;  // "file: what is wrong"
  std::uint64_t bytes = 0;
};
// Errors: there is no store, it is in use, or it can't be copied.
result<Look> look(const std::string& folder);

// For tests: what a disk does to writes that a process has died over, or that power has. Shared, so that a
// process's next life finds it.
class Memory : public Trove {
 public:
  struct Disk {
    std::map<std::string, std::string> lasts, written;  // whatever power does; beside that, put in time
    std::set<std::string> waiting;                      // names in which they differ
    void lose_power() { written = lasts, waiting.clear(); }
    bool operator==(const Disk&) const = default;
  };
  explicit Memory(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {}
  result<void> put(const Batch& batch, lasting how = lasting::synced) override {
    if (fails) return boost::leaf::new_error(Trouble{"sync", "memory", "told to fail"});
    for (const auto& [k, v] : batch.put) disk_->written[k] = v, disk_->waiting.insert(k);
    for (const auto& k : batch.drop) disk_->written.erase(k), disk_->waiting.insert(k);
    if (how == lasting::in_time) return {};
    for (const auto& k : disk_->waiting)
      if (const auto it = disk_->written.find(k); it != disk_->written.end())
        disk_->lasts[k] = it->second;
      else
        disk_->lasts.erase(k);
    disk_->waiting.clear();
    return {};
  }
  result<std::vector<Pair>> all() override {
    return std::vector<Pair>(disk_->written.begin(), disk_->written.end());
  }
  result<std::uint64_t> bytes() override {
    std::uint64_t sum = 0;
    for (const auto& [k, v] : disk_->written) sum += k.size() + v.size();
    return sum;
  }
  bool fails = false;

 private:
  std::shared_ptr<Disk> disk_;
};

}  // namespace robinpin::trove
