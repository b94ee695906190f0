// The contract of storing: what was put lasts once put() has said so, whatever power does then. A failed put is final:
// nothing is known of the disk any more, and who has this trove ends.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace robinpin::trove {

template <typename T>
using result = boost::leaf::result<T>;

// What went wrong: at which step, with whom, and why. Carried by every error of the mesh's parts.
struct Trouble {
  std::string step, peer, why;
};

class Trove {
 public:
  using Pair = std::pair<std::string, std::string>;
  struct Batch {  // all of it or none; a name in both is let go of. No name begins with a zero byte
    std::vector<Pair> put;
    std::vector<std::string> drop;  // names let go of
  };
  // synced: it lasts whatever power does once this has returned. Otherwise it is there for this life and the next, in order
  // with the others, and power may take it: any later synced one, or the next open, makes it last.
  enum class lasting { synced, in_time };
  virtual ~Trove() = default;
  virtual result<void> put(const Batch& batch, lasting how = lasting::synced) = 0;
  virtual result<std::vector<Pair>> all() = 0;
  virtual result<std::uint64_t> bytes() = 0;  // on disk, about
};

// In a folder on disk. Errors: it can't be made or opened, or is damaged beyond what a loss of power explains.
result<std::unique_ptr<Trove>> open(const std::string& folder);

// For tests: what a disk does to writes that a process has died over, or that power has. Shared, so that a process's next
// life finds it.
class Memory : public Trove {
 public:
  struct Disk {
    std::map<std::string, std::string> lasts, written;  // whatever power does; beside that, put in time
    void lose_power() { written = lasts; }
    bool operator==(const Disk&) const = default;
  };
  explicit Memory(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {}
  result<void> put(const Batch& batch, lasting how = lasting::synced) override {
    if (fails) return boost::leaf::new_error(Trouble{"sync", "memory", "told to fail"});
    for (const auto& [k, v] : batch.put) disk_->written[k] = v;
    for (const auto& k : batch.drop) disk_->written.erase(k);
    if (how == lasting::synced) disk_->lasts = disk_->written;
    return {};
  }
  result<std::vector<Pair>> all() override { return std::vector<Pair>(disk_->written.begin(), disk_->written.end()); }
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
