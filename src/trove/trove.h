// The contract of storing: what was put lasts once put() has said so, whatever power does then. A failed put is final:
// nothing is known of the disk any more, and who has this trove ends.
#pragma once

#include <boost/leaf/result.hpp>
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
  virtual ~Trove() = default;
  // All of them or none; synced when it returns.
  virtual result<void> put(const std::vector<Pair>& pairs) = 0;
  virtual result<std::vector<Pair>> all() = 0;
};

// In a folder on disk. Errors: it can't be made or opened, or is damaged beyond what a loss of power explains.
result<std::unique_ptr<Trove>> open(const std::string& folder);

// For tests: what a disk does to writes that a process has died over. Shared, so that a process's next life finds it.
class Memory : public Trove {
 public:
  using Disk = std::map<std::string, std::string>;
  explicit Memory(std::shared_ptr<Disk> disk) : disk_(std::move(disk)) {}
  result<void> put(const std::vector<Pair>& pairs) override {
    if (fails) return boost::leaf::new_error(Trouble{"sync", "memory", "told to fail"});
    for (const auto& [k, v] : pairs) (*disk_)[k] = v;
    return {};
  }
  result<std::vector<Pair>> all() override { return std::vector<Pair>(disk_->begin(), disk_->end()); }
  bool fails = false;

 private:
  std::shared_ptr<Disk> disk_;
};

}  // namespace robinpin::trove
