// Random numbers in streams by purpose: one more draw for one thing shifts no other.
#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

namespace robinpin::model {

constexpr std::uint64_t mixed(std::uint64_t x) {  // splitmix64's finish
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31);
}

class Chance {
 public:
  Chance(std::uint64_t seed, std::string_view purpose, std::uint64_t n = 0) {
    std::uint64_t of = 1469598103934665603U;
    for (const char c : purpose) of = (of ^ std::uint8_t(c)) * 1099511628211U;
    engine_.seed(mixed(mixed(seed) ^ mixed(of) ^ mixed(n + 0x51ed2701)));
  }
  double part() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  double from(double low, double high) { return low + (high - low) * part(); }
  bool hits(double share) { return part() < share; }
  double exponential(double mean) { return -mean * std::log(1 - part()); }
  // Log-normal by its mean and its coefficient of variation.
  double around(double mean, double cv) {
    if (cv <= 0) return mean;
    const double s2 = std::log(1 + cv * cv);
    return mean * std::exp(std::normal_distribution<double>(0, std::sqrt(s2))(engine_) - s2 / 2);
  }
  std::size_t one_of(std::size_t n) { return std::uniform_int_distribution<std::size_t>(0, n - 1)(engine_); }

 private:
  std::mt19937_64 engine_;
};

}  // namespace robinpin::model
