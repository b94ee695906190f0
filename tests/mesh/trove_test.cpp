// A store's files under loss of power, failing syncs and damage.
#include <sys/wait.h>
#include <unistd.h>
#include <fcntl.h>

#include <algorithm>
#include <cstdio>

#include "disk.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using namespace robinpin::mesh_test::disk;

namespace {

using trove::Trove;
using lasting = Trove::lasting;
using Pairs = std::map<std::string, std::string>;
constexpr std::size_t small = 64 << 10;  // the least buffer that LevelDB takes: a log is full after some twenty puts

struct Folder {
  Folder() {
    std::string name = fs::exists("/dev/shm") ? "/dev/shm/robinpin-disk-XXXXXX" : "/tmp/robinpin-disk-XXXXXX";  // nothing has to last
    top = ::mkdtemp(name.data());
    path = top + "/t";
  }
  ~Folder() { fs::remove_all(top); }
  std::string top, path;
};

std::string opened(std::unique_ptr<Trove>& t, Pairs& held, const std::function<trove::result<std::unique_ptr<Trove>>()>& how) {
  return trouble_of<void>([&]() -> trove::result<void> {
    BOOST_LEAF_ASSIGN(t, how());
    BOOST_LEAF_AUTO(all, t->all());
    held = Pairs(all.begin(), all.end());
    return {};
  });
}

// A put of a few names, some of them let go of, that counts itself; `held` is what stands after it.
Trove::Batch drawn_batch(Chance& chance, std::size_t number, Pairs& held) {
  Trove::Batch batch;
  for (std::size_t i = 0; i <= below(chance, 3); ++i) {
    std::string name = "i/";
    name += char('a' + below(chance, 12));
    if (chance() % 4 == 0) {
      batch.drop.push_back(name);
    } else {
      std::string text(below(chance, chance() % 4 ? 300 : 12'000), '\0');
      for (char& c : text) c = char(chance());
      batch.put.emplace_back(name, std::move(text));
    }
  }
  batch.put.emplace_back("n", std::to_string(number));
  for (const auto& [k, v] : batch.put) held[k] = v;
  for (const auto& k : batch.drop) held.erase(k);
  return batch;
}

struct Tally {
  int histories = 0, losses = 0, deaths = 0, failures = 0, puts = 0, kept_of_unsynced = 0;
};

// Lives of one store, each from what a loss of power or a death at any moment of the one before may have left; of each moment
// drawn, the next life is opened and compared, and one of them goes on.
class Lives {
 public:
  Lives(std::uint32_t seed, Tally& tally) : chance_(seed), tally_(tally) {}

  std::string run(int lives, int branches) {
    ++tally_.histories;
    for (int life = 0; life < lives; ++life) {
      const bool faulty = chance_() % 4 == 0;
      Recorder files(folder_.path);
      if (const auto why = live(files, faulty); !why.empty()) return why;
      const World base = world_;
      std::vector<Pairs> states = states_;
      const Range range = range_;
      for (int b = 0; b < branches; ++b) {
        world_ = base, states_ = states, range_ = range;
        const bool power = chance_() % 4 != 0;
        end(files.events, power);
        Recorder next(folder_.path);
        if (const auto why = look_in(next); !why.empty()) return why + (power ? ", after a loss of power" : ", after a death");
        if (b + 1 == branches) break;
      }
    }
    return {};
  }

 private:
  struct Range {  // which of the states may be found: the last one that had to last whatever power does; or a mere death; the last one begun
    std::size_t power = 0, death = 0, last = 0;
  };

  std::string look_in(Recorder& files) {  // opens what is there: one of the states that may be
    world_.lay_out(folder_.path);
    std::unique_ptr<Trove> t;
    Pairs held;
    const std::string why = opened(t, held, [&] { return trove::open(folder_.path, files, small); });
    files.work();
    if (!why.empty()) return "it does not open: " + why;
    return judge(held);
  }
  std::string judge(const Pairs& held) {
    const auto at = held.find("n");
    const std::size_t n = at == held.end() ? 0 : std::stoul(at->second);
    if (n < range_.death) return "put " + std::to_string(range_.death) + " has to be there, and it ends at " + std::to_string(n);
    if (n > range_.last) return "put " + std::to_string(n) + " was never begun";
    if (held != states_[n]) return "what it holds is not put " + std::to_string(n);
    tally_.kept_of_unsynced += n > range_.death;
    states_.resize(n + 1);
    return {};
  }

  std::string live(Recorder& files, bool faulty) {
    world_.lay_out(folder_.path);
    if (faulty) files.fails_at = below(chance_, 160);
    std::unique_ptr<Trove> t;
    Pairs held;
    const std::string why = opened(t, held, [&] { return trove::open(folder_.path, files, small); });
    if (!why.empty()) {
      tally_.failures += files.failed;
      return files.failed ? "" : "it does not open: " + why;
    }
    if (const auto wrong = judge(held); !wrong.empty()) return wrong;
    files.note({Event::is::opened, {}, {}, states_.size() - 1});
    bool refused = false;
    std::size_t owed = 0;
    const std::size_t puts = 2 + below(chance_, 60);
    for (std::size_t i = 0; i < puts; ++i) {
      const std::size_t number = states_.size();
      Pairs after = states_.back();
      const auto batch = drawn_batch(chance_, number, after);
      const auto how = chance_() % 2 ? lasting::synced : lasting::in_time;
      if (!refused) states_.push_back(after), files.note({Event::is::begun, {}, {}, number});
      const bool good = trouble_of<void>([&] { return t->put(batch, how); }).empty();
      if (good && refused) return "a put was taken behind one that failed";
      if (!good && !files.failed) return "a put fails by itself";
      refused = !good;
      if (good) files.note({how == lasting::synced ? Event::is::put_synced : Event::is::put, {}, {}, number}), ++tally_.puts;
      if (files.waits() && (owed++ == 2 || chance_() % 2)) files.work(), owed = 0;  // before its buffer is full again
    }
    files.work();
    tally_.failures += files.failed;
    t.reset();
    return {};
  }

  // At a moment of that history.
  void end(const std::vector<Event>& events, bool power) {
    const std::size_t moment = below(chance_, events.size() + 1);
    for (std::size_t i = 0; i < moment; ++i) {
      const Event& e = events[i];
      world_.take(e);
      if (e.what == Event::is::opened) range_ = {e.number, e.number, e.number};
      if (e.what == Event::is::begun) range_.last = e.number;
      if (e.what == Event::is::put) range_.death = e.number;
      if (e.what == Event::is::put_synced) range_.death = range_.power = e.number;
    }
    if (power) world_.lose_power(chance_), range_.death = range_.power;
    ++(power ? tally_.losses : tally_.deaths);
  }

  Folder folder_;
  Chance chance_;
  Tally& tally_;
  World world_;
  std::vector<Pairs> states_{Pairs{}};
  Range range_;
};

}  // namespace

TEST_GROUP(Disk){};

TEST(Disk, what_was_synced_is_there_in_order_whatever_power_does_to_each_file_and_name) {
  Tally tally;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const std::string why = Lives(seed, tally).run(3, 6);
    if (!why.empty()) FAIL(("seed " + std::to_string(seed) + ": " + why).c_str());
  }
  std::printf("%d histories, %d puts, %d losses of power, %d deaths, %d failed calls, %d times more than had to be there\n", tally.histories, tally.puts, tally.losses,
              tally.deaths, tally.failures, tally.kept_of_unsynced);
}
