// What a core machine keeps of the control state, and how an operator's call is settled with a majority of the core:
// merged with what a majority holds, checked against that, synced by so many cores that any loss within the stated
// tolerance leaves a copy that every later reader meets, and only then acknowledged. Told the time, free of I/O beside
// the trove.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "../creed/adjust.h"
#include "../creed/creed.h"
#include "../rumour/rumour.h"
#include "../trove/trove.h"

namespace robinpin::locus {

using rumour::Machine;
using rumour::Outbox;

struct Outcome {
  int status = 503;
  std::string body;
};

struct Order {
  enum class what { read, adjust, begin, finish };
  what is = what::read;
  std::string text;  // a configuration, or a zone
};

class Keep {
 public:
  static constexpr std::int64_t patience = 850'000;  // microseconds: callers go elsewhere after a second of silence
  static constexpr std::int64_t again = 70'000;      // until what got no answer is sent again, each time twice as long
  static constexpr std::size_t most_orders = 64;

  using Done = std::function<void(Outcome)>;

  Keep(Machine self, creed::Creed& creed, rumour::Rumour& rumour, trove::Trove& trove, std::uint64_t chance);

  // What the disk holds is taken on. An empty one counts as a copy only at the system's first start, else it has first to
  // learn from so many others that it has missed nothing.
  trove::result<void> begin(bool first_start, const std::vector<Machine>& seeds);
  // Other seeds: a core that is no copy yet asks those, too, as the ones it began with may be gone.
  void seeds(const std::vector<Machine>& told);
  void order(std::int64_t now, Order order, Done done, Outbox& out);
  void heard(std::int64_t now, Machine from, std::string_view datagram, Outbox& out);
  void tick(std::int64_t now, Outbox& out);
  // Items that came as rumours: stored, too.
  void keep(const std::vector<creed::Item>& items);

  bool whole() const { return whole_; }
  const std::vector<Machine>& cores() const { return cores_; }
  std::size_t majority() const { return cores_.size() / 2 + 1; }
  std::size_t orders() const { return work_.size(); }
  // The disk has failed: nothing may be acknowledged any more.
  const std::optional<trove::Trouble>& failed() const { return failed_; }

 private:
  struct Asked {  // of another core, in one round
    std::map<std::uint32_t, bool> pieces;
    std::uint32_t of = 0;
    bool whole = false, done = false;
  };
  struct Work {
    Order order;
    Done done;  // none: this core learns
    std::int64_t until = 0, next = 0, pause = again;
    std::uint32_t round = 0;
    bool storing = false;
    std::map<Machine, Asked> asked;
    std::vector<std::vector<creed::Item>> pieces;  // to be stored
    std::map<std::uint64_t, std::pair<std::size_t, Machine>> stores;  // by id: which piece, by whom
    std::map<Machine, std::set<std::size_t>> lacking;
    std::vector<creed::Item> items;
  };
  using Place = std::map<std::uint64_t, Work>::iterator;

  void send_fetches(Work& w, std::uint64_t id, Outbox& out);
  void send_stores(Work& w, Outbox& out);
  void merged(std::int64_t now, Place at, Outbox& out);
  void settle(std::int64_t now, Place at, Outbox& out);
  bool enough_merged(const Work& w) const;
  bool enough_stored(const Work& w) const;
  void end(Place at, Outcome outcome);
  bool put(const std::vector<creed::Item>& items);
  bool put_own();
  void learn(std::int64_t now, Outbox& out);

  const Machine self_;
  creed::Creed& creed_;
  rumour::Rumour& rumour_;
  trove::Trove& trove_;
  std::vector<Machine> cores_;
  bool whole_ = false;
  std::uint64_t next_id_;
  std::map<std::uint64_t, Work> work_;
  std::optional<trove::Trouble> failed_;
  bool learning_ = false;
};

}  // namespace robinpin::locus
