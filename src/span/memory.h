// A network in memory under one seed: delay, loss, doubling, cuts (one way, too). Told the time; for tests.
#pragma once

#include <map>
#include <random>
#include <set>
#include <utility>

#include "span.h"

namespace robinpin::span {

class Net {
 public:
  explicit Net(std::uint32_t seed) : chance_(seed) {}
  double loss = 0, doubled = 0;
  std::int64_t least = 200, most = 3'000;     // microseconds on the way
  std::set<std::pair<Machine, Machine>> cut;  // from, to
  std::uint64_t sent = 0, bytes = 0;
  // Of each receiver's socket, as the kernel counts; 0: no bound. Its reader empties it every `read_every`.
  std::size_t socket_buffer = 0;
  std::int64_t read_every = 20'000;

  void send(Machine from, Machine to, std::string_view datagram) {
    ++sent, bytes += datagram.size();
    const int copies = 1 + (part() < doubled ? 1 : 0);
    for (int i = 0; i < copies; ++i)
      if (part() >= loss && !cut.contains({from, to}))
        under_way_.emplace(now + least + std::int64_t(part() * double(most - least)),
                           Letter{from, to, std::string(datagram)});
  }
  // Hands over all that has come by then, in order of time.
  void run(std::int64_t until) {
    while (!under_way_.empty() && under_way_.begin()->first <= until) {
      const auto [at, letter] = *under_way_.begin();
      under_way_.erase(under_way_.begin());
      now = at;
      if (const auto it = heard.find(letter.to); it != heard.end() &&
                                                 !cut.contains({letter.from, letter.to}) && it->second &&
                                                 fits(letter.to, letter.bytes.size()))
        it->second(letter.from, letter.bytes);
    }
    now = until;
  }
  std::int64_t now = 0;
  std::map<Machine, Heard> heard;

 private:
  struct Letter {
    Machine from, to;
    std::string bytes;
  };
  // What the kernel charges for a datagram beside its payload, rounded up to whole pages.
  static constexpr std::size_t overhead = 768, page = 4'096;
  bool fits(Machine to, std::size_t size) {
    if (socket_buffer == 0) return true;
    Waiting& w = waiting_[to];
    if (const std::int64_t turn = now / read_every; w.turn != turn) w = {turn, 0};
    const std::size_t charged = (size + overhead + page - 1) / page * page;
    if (w.bytes + charged > socket_buffer) return false;
    w.bytes += charged;
    return true;
  }
  struct Waiting {
    std::int64_t turn = -1;
    std::size_t bytes = 0;
  };
  std::map<Machine, Waiting> waiting_;
  double part() { return double(chance_()) / 4294967296.0; }
  std::mt19937 chance_;
  std::multimap<std::int64_t, Letter> under_way_;
};

class Memory : public Span {
 public:
  Memory(Net& net, Machine self) : net_(net), self_(self) {}
  ~Memory() override { net_.heard.erase(self_); }
  void send(Machine to, std::string_view datagram) override {
    if (datagram.size() <= rumour::longest_datagram) net_.send(self_, to, datagram);
  }
  void listen(Heard heard) override { net_.heard[self_] = std::move(heard); }

 private:
  Net& net_;
  Machine self_;
};

}  // namespace robinpin::span
