// How many processes of this node live: a new one starts while the old one still serves, and to the
// platform's limits the two are one. Each holds a lock on a file of its own in the folder that they share,
// which ends with the process however that ends; nothing else is said between them, so nothing can be old or
// torn.
#pragma once

#include <chrono>
#include <string>

namespace robinpin::node {

class Twins {
 public:
  static constexpr int most = 8;

  Twins() = default;  // alone
  explicit Twins(const std::string& folder);
  ~Twins();
  Twins(const Twins&) = delete;
  Twins& operator=(const Twins&) = delete;

  int alive() const;  // this one among them; where no lock can be had, two, for it can't be known

 private:
  std::string file(int slot) const;
  std::string folder_;
  int lock_ = -1, slot_ = -1;
};

// Since the kernel made it, to 10 ms; zero where that can't be told.
std::chrono::milliseconds age_of_process();

}  // namespace robinpin::node
