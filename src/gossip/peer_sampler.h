// Machines to draw from, each in it once. A draw costs as many steps as it draws, however many there are.
#pragma once

#include <cstdint>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace robinpin::gossip {

class PeerSampler {
 public:
  using Machine = std::uint32_t;

  void put(Machine m, bool in) {
    const auto it = place_.find(m);
    if (in == (it != place_.end())) return;
    if (in) {
      place_.emplace(m, all_.size());
      all_.push_back(m);
    } else {
      swap(it->second, all_.size() - 1);
      all_.pop_back();
      place_.erase(m);
    }
  }
  // So many at the most, each as likely as any other.
  template <typename Chance>
  std::vector<Machine> draw(std::size_t most, Machine but, Chance& chance) {
    std::vector<Machine> drawn;
    for (std::size_t i = 0; i < all_.size() && drawn.size() < most; ++i) {
      swap(i, std::uniform_int_distribution<std::size_t>(i, all_.size() - 1)(chance));
      if (all_[i] != but) drawn.push_back(all_[i]);
    }
    return drawn;
  }
  std::size_t size() const { return all_.size(); }

 private:
  void swap(std::size_t a, std::size_t b) {
    std::swap(all_[a], all_[b]);
    place_[all_[a]] = a, place_[all_[b]] = b;
  }
  std::vector<Machine> all_;
  std::unordered_map<Machine, std::size_t> place_;
};

}  // namespace robinpin::gossip
