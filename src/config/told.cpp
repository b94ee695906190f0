// Times and faults as text, files as bytes.
#include "told.h"

#include <fmt/format.h>
#include <sys/stat.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <fstream>
#include <iterator>
#include <numeric>
#include <thread>

#include "keys.h"

namespace robinpin::config {

namespace {

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t(0));
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j)
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])}));
  }
  return row[b.size()];
}

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit times[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}};
constexpr Unit sizes[] = {{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"KB", 1e3}, {"MB", 1e6},
                          {"GB", 1e9},   {"B", 1}};

template <std::size_t n>
std::optional<double> with_unit(std::string_view text, const Unit (&units)[n]) {
  double v = 0;
  const auto [stop, wrong] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (wrong != std::errc() || !std::isfinite(v)) return std::nullopt;
  const std::string_view unit = text.substr(std::size_t(stop - text.data()));
  for (const Unit& u : units)
    if (unit == u.name) return v * u.factor;
  return std::nullopt;
}

struct Bytes {
  std::string text;
  timespec changed{};
  bool operator==(const Bytes& other) const {
    return text == other.text && changed.tv_sec == other.changed.tv_sec &&
           changed.tv_nsec == other.changed.tv_nsec;
  }
};

std::optional<Bytes> bytes_of(const std::string& path) {
  struct stat s {};
  std::ifstream file(path, std::ios::binary);
  if (!file || ::stat(path.c_str(), &s) != 0 || !S_ISREG(s.st_mode)) return std::nullopt;
  Bytes b{{std::istreambuf_iterator<char>(file), {}}, s.st_mtim};
  if (file.bad()) return std::nullopt;
  return b;
}

}  // namespace

std::string nearest_name(const std::string& name, const std::vector<std::string>& known) {
  std::string nearest;
  std::size_t off = std::max<std::size_t>(2, name.size() / 2);
  for (const auto& other : known)
    if (const std::size_t d = distance(name, other); d < off) {
      off = d;
      nearest = other;
    }
  return nearest;
}

std::optional<double> bytes(std::string_view text) { return with_unit(text, sizes); }

std::optional<micros> duration(std::string_view text) {
  const auto us = with_unit(text, times);
  if (!us || std::abs(*us) > 1e15) return std::nullopt;
  return micros(std::llround(*us));
}

std::string duration(micros t) {
  if (t != 0 && t % 1'000'000 == 0) return fmt::format("{}s", t / 1'000'000);
  if (t >= 1'000'000 && t % 1000 == 0) return fmt::format("{}s", double(t) / 1e6);
  if (t % 1000 == 0) return fmt::format("{}ms", t / 1000);
  return t > 1000 ? fmt::format("{}ms", double(t) / 1e3) : fmt::format("{}us", t);
}

std::string text(const std::string& path, const std::vector<Fault>& faults) {
  std::string all;
  for (const Fault& f : faults)
    all += f.at.said() ? fmt::format("{}:{}:{}: {}: {}\n", path, f.at.line, f.at.column, f.key, f.what)
                       : fmt::format("{}: {}: {}\n", path, f.key, f.what);
  return all;
}

std::string hash_of(std::string_view bytes) {
  return fmt::format("{:016x}", std::uint64_t(XXH64(bytes.data(), bytes.size(), 0)));
}

// Written in place just now, it may be there by half: it has to stand still first.
std::optional<std::string> settled_bytes(const std::string& path) {
  using namespace std::chrono_literals;
  constexpr auto settled = 60ms;
  constexpr int looks = 8;
  auto b = bytes_of(path);
  for (int i = 0; b && i < looks; ++i) {
    const auto changed =
        std::chrono::seconds(b->changed.tv_sec) + std::chrono::nanoseconds(b->changed.tv_nsec);
    if (std::chrono::system_clock::now().time_since_epoch() - changed > settled) break;
    std::this_thread::sleep_for(settled);
    auto again = bytes_of(path);
    const bool same = again == b;
    b = std::move(again);
    if (same) break;
  }
  if (!b) return std::nullopt;
  return std::move(b->text);
}

}  // namespace robinpin::config
