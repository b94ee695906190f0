// A file system as power leaves it: of each file what its last sync covered and any part of what came after;
// each name made, renamed or removed since the folder's last sync kept or lost by itself. What a store asks
// of it is recorded in order.
#pragma once

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "../../src/trove/file_system.h"
#include "../../src/trove/leveldb_store.h"
#include "help.h"

namespace robinpin::mesh_test::disk {

namespace fs = std::filesystem;
using leveldb::Status;
using Chance = std::mt19937;
inline std::size_t below(Chance& chance, std::size_t n) { return n == 0 ? 0 : chance() % n; }

struct Event {
  enum class is {
    make,
    append,
    cut,
    sync,
    failed_sync,
    settle,
    rename,
    remove,
    folder,
    parent,
    opened,
    begun,
    put,
    put_synced
  } what;
  std::string name = {}, text = {};  // a rename: the new name
  std::size_t number = 0;
};

class World {
 public:
  struct File {
    std::string lasts, now;
    bool poisoned =
        false;  // a sync of it has failed: what was written by then is never synced by a later one
  };
  std::map<std::string, int> names;
  std::map<int, File> files;

  void take(const Event& e) {
    using is = Event::is;
    switch (e.what) {
      case is::make: {
        if (const auto at = names.find(e.name); at != names.end()) return files[at->second].now.clear();
        files[++made_] = {};
        names[e.name] = made_;
        pending_.push_back({e, made_});
        return;
      }
      case is::append:
        return void(file(e.name).now += e.text);
      case is::cut:
        return file(e.name).now.resize(e.number);
      case is::sync:
        if (!file(e.name).poisoned) file(e.name).lasts = file(e.name).now;
        return;
      case is::failed_sync:
        return void(file(e.name).poisoned = true);
      case is::settle:
        file(e.name).poisoned = false;
        return void(file(e.name).lasts = file(e.name).now);
      case is::rename:
        pending_.push_back({e, names.at(e.name)});
        names[e.text] = names.at(e.name);
        names.erase(e.name);
        return;
      case is::remove:
        pending_.push_back({e, names.at(e.name)});
        names.erase(e.name);
        return;
      case is::folder:
        lasting_ = names;
        return pending_.clear();
      case is::parent:
        return void(folder_lasts_ = true);
      default:
        return;
    }
  }

  void lose_power(Chance& chance) {
    if (!folder_lasts_ && chance() % 2) lasting_.clear(), pending_.clear();
    const std::size_t often = below(chance, 3);  // none, half or all of the names
    for (const auto& [e, id] : pending_) {
      const bool kept = often == 2 || (often == 1 && chance() % 2);
      if (e.what == Event::is::make && kept) lasting_[e.name] = id;
      if (e.what == Event::is::remove && kept) lasting_.erase(e.name);
      if (e.what != Event::is::rename) continue;
      if (kept || chance() % 2) lasting_.erase(e.name);
      if (kept)
        lasting_[e.text] = id;
      else if (chance() % 3 == 0)
        lasting_.erase(e.text);  // neither the old one nor the new
    }
    pending_.clear();
    std::map<int, File> left;
    for (const auto& [name, id] : lasting_) left[id].lasts = left[id].now = torn(files.at(id), chance);
    files = std::move(left);
    names = lasting_;
  }

  // As it stands, to be opened by the next life.
  void lay_out(const std::string& folder) const {
    fs::remove_all(folder);
    fs::create_directories(folder);
    for (const auto& [name, id] : names)
      std::ofstream(folder + "/" + name, std::ios::binary) << files.at(id).now;
  }

 private:
  File& file(const std::string& name) { return files.at(names.at(name)); }
  static std::string torn(const File& f, Chance& chance) {
    const bool grown = f.now.starts_with(f.lasts);
    if (!grown && chance() % 2) return f.lasts;
    if (!f.now.empty() && f.lasts.starts_with(f.now)) return f.now;  // cut
    std::string text = grown ? f.lasts : std::string(), rest = f.now.substr(text.size());
    switch (chance() % 5) {
      case 0:
        return text;
      case 1:
        return text + rest;
      case 2:
        return text + rest.substr(0, below(chance, rest.size() + 1));
      case 3: {  // its length is there, what was in it is not
        const std::size_t good = below(chance, rest.size() + 1),
                          end = good + below(chance, rest.size() - good + 1);
        text += rest.substr(0, good);
        const bool zeros = chance() % 2;
        for (std::size_t i = good; i < end; ++i) text += zeros ? '\0' : char(chance());
        return text;
      }
      default:  // sector by sector
        for (std::size_t at = 0, n = 0; at < rest.size(); at += n) {
          n = std::min<std::size_t>(512 - text.size() % 512, rest.size() - at);
          text += chance() % 2 ? rest.substr(at, n) : std::string(n, '\0');
        }
        return text;
    }
  }

  std::map<std::string, int> lasting_;
  std::vector<std::pair<Event, int>> pending_;
  int made_ = 0;
  bool folder_lasts_ = false;
};

// Records what is asked, does it, and syncs nothing. LevelDB's background work waits until `work`, so that a
// seed is a history.
class Recorder : public trove::FileSystem {
 public:
  explicit Recorder(std::string folder) : folder_(std::move(folder)) {}
  std::vector<Event> events;
  std::size_t fails_at = std::size_t(-1), asked = 0;  // so many calls on, one fails, once
  bool failed = false;

  void work() {
    while (!waits_.empty()) {
      const auto [f, a] = waits_.front();
      waits_.pop_front();
      f(a);
    }
  }
  bool waits() const { return !waits_.empty(); }
  void note(Event e) { events.push_back(std::move(e)); }

  Status sync_folder(const std::string& folder) override {
    if (fails()) return broken(folder);
    if (folder == folder_) note({Event::is::folder});
    if (folder == fs::path(folder_).parent_path().string()) note({Event::is::parent});
    return Status::OK();
  }
  Status truncate_and_sync(const std::string& path, std::uint64_t size) override {
    if (fails()) return broken(path);
    fs::resize_file(path, size);
    note({Event::is::cut, name(path), {}, std::size_t(size)});
    note({Event::is::sync, name(path)});
    return Status::OK();
  }
  Status rewrite_and_sync(const std::string& path) override {
    if (fails()) return broken(path);
    return note({Event::is::settle, name(path)}), Status::OK();
  }
  Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override {
    if (fails()) return broken(path);
    const Status s = target()->NewWritableFile(path, file);
    if (!s.ok()) return s;
    note({Event::is::make, name(path)});
    *file = new Written(*this, name(path), *file);
    return s;
  }
  Status RemoveFile(const std::string& path) override {
    if (fails()) return broken(path);
    const Status s = target()->RemoveFile(path);
    if (s.ok()) note({Event::is::remove, name(path)});
    return s;
  }
  Status RenameFile(const std::string& from, const std::string& to) override {
    if (fails()) return broken(from);
    const Status s = target()->RenameFile(from, to);
    if (s.ok()) note({Event::is::rename, name(from), name(to)});
    return s;
  }
  Status LockFile(const std::string&, leveldb::FileLock** lock) override {
    class Lock : public leveldb::FileLock {};
    *lock = new Lock;
    return Status::OK();
  }
  Status UnlockFile(leveldb::FileLock* lock) override { return delete lock, Status::OK(); }
  void Schedule(void (*f)(void*), void* a) override { waits_.push_back({f, a}); }

 private:
  class Written : public leveldb::WritableFile {
   public:
    Written(Recorder& of, std::string name, leveldb::WritableFile* file)
        : of_(of), name_(std::move(name)), file_(file) {}
    Status Append(const leveldb::Slice& data) override {
      const bool short_of_room = of_.fails();  // half of it still went in
      const leveldb::Slice part(data.data(), short_of_room ? data.size() / 2 : data.size());
      const Status s = file_->Append(part);
      held_ += part.ToString();
      return short_of_room ? broken(name_) : s;
    }
    Status Close() override { return written(), file_->Close(); }
    Status Flush() override { return written(), file_->Flush(); }
    Status Sync() override {
      Flush();
      if (of_.fails()) return of_.note({Event::is::failed_sync, name_}), broken(name_);
      return of_.note({Event::is::sync, name_}), Status::OK();
    }

   private:
    void written() {
      if (!held_.empty()) of_.note({Event::is::append, name_, std::exchange(held_, {})});
    }
    Recorder& of_;
    const std::string name_;
    std::string held_;  // by the process: lost with it
    const std::unique_ptr<leveldb::WritableFile> file_;
  };
  bool fails() {
    if (asked++ != fails_at) return false;
    return failed = true;
  }
  static Status broken(const std::string& path) { return Status::IOError(path, "told to fail"); }
  static std::string name(const std::string& path) { return path.substr(path.rfind('/') + 1); }

  const std::string folder_;
  std::deque<std::pair<void (*)(void*), void*>> waits_;
};

using trove::KeyValueStore;
using Durability = KeyValueStore::Durability;
using Pairs = std::map<std::string, std::string>;
constexpr std::size_t small =
    64 << 10;  // the least buffer that LevelDB takes: a log is full after some twenty puts

struct Folder {
  Folder() {
    std::string name = fs::exists("/dev/shm") ? "/dev/shm/robinpin-disk-XXXXXX"
                                              : "/tmp/robinpin-disk-XXXXXX";  // nothing has to last
    top = ::mkdtemp(name.data());
    path = top + "/t";
  }
  ~Folder() { fs::remove_all(top); }
  std::string top, path;
};

inline std::string opened(std::unique_ptr<KeyValueStore>& t, Pairs& held,
                          const std::function<trove::result<std::unique_ptr<KeyValueStore>>()>& how) {
  return trouble_of<void>([&]() -> trove::result<void> {
    BOOST_LEAF_ASSIGN(t, how());
    BOOST_LEAF_AUTO(all, t->read_all());
    held = Pairs(all.begin(), all.end());
    return {};
  });
}

// A put of a few names, some of them let go of, that counts itself; `held` is what stands after it.
inline KeyValueStore::WriteBatch drawn_batch(Chance& chance, std::size_t number, Pairs& held) {
  KeyValueStore::WriteBatch batch;
  for (std::size_t i = 0; i <= below(chance, 3); ++i) {
    std::string name = "i/";
    name += char('a' + below(chance, 12));
    if (chance() % 4 == 0) {
      batch.removals.push_back(name);
    } else {
      std::string text(below(chance, chance() % 4 ? 300 : 12'000), '\0');
      for (char& c : text) c = char(chance());
      batch.puts.emplace_back(name, std::move(text));
    }
  }
  batch.puts.emplace_back("n", std::to_string(number));
  for (const auto& [k, v] : batch.puts) held[k] = v;
  for (const auto& k : batch.removals) held.erase(k);
  return batch;
}

struct Tally {
  int histories = 0, losses = 0, deaths = 0, failures = 0, puts = 0, kept_of_unsynced = 0;
  std::string told() const {
    return std::to_string(histories) + " histories, " + std::to_string(puts) + " puts, " +
           std::to_string(losses) + " losses of power, " + std::to_string(deaths) + " deaths, " +
           std::to_string(failures) + " failed calls, " + std::to_string(kept_of_unsynced) +
           " times more than had to be there";
  }
};

// Lives of one store, each from what a loss of power or a death at any moment of the one before may have
// left; of each moment drawn, the next life is opened and compared, and one of them goes on.
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
        if (const auto why = look_in(next); !why.empty())
          return why + (power ? ", after a loss of power" : ", after a death");
        if (b + 1 == branches) break;
      }
    }
    return {};
  }

 private:
  struct Range {  // which of the states may be found: the last one that had to last whatever power does; or a
                  // mere death; the last one begun
    std::size_t power = 0, death = 0, last = 0;
  };

  std::string look_in(Recorder& files) {  // opens what is there: one of the states that may be
    world_.lay_out(folder_.path);
    std::unique_ptr<KeyValueStore> t;
    Pairs held;
    const std::string why =
        opened(t, held, [&] { return trove::open_leveldb_store(folder_.path, files, small); });
    files.work();
    if (!why.empty()) return "it does not open: " + why;
    return judge(held);
  }
  std::string judge(const Pairs& held) {
    const auto at = held.find("n");
    const std::size_t n = at == held.end() ? 0 : std::stoul(at->second);
    if (n < range_.death)
      return "put " + std::to_string(range_.death) + " has to be there, and it ends at " + std::to_string(n);
    if (n > range_.last) return "put " + std::to_string(n) + " was never begun";
    if (held != states_[n]) return "what it holds is not put " + std::to_string(n);
    tally_.kept_of_unsynced += n > range_.death;
    states_.resize(n + 1);
    return {};
  }

  std::string live(Recorder& files, bool faulty) {
    world_.lay_out(folder_.path);
    if (faulty) files.fails_at = below(chance_, 160);
    std::unique_ptr<KeyValueStore> t;
    Pairs held;
    const std::string why =
        opened(t, held, [&] { return trove::open_leveldb_store(folder_.path, files, small); });
    if (!why.empty()) {
      tally_.failures += files.failed;
      return files.failed ? "" : "it does not open: " + why;
    }
    if (const auto wrong = judge(held); !wrong.empty()) return wrong;
    files.note({Event::is::opened, {}, {}, states_.size() - 1});
    bool refused = false;
    std::size_t owed = 0;
    const std::size_t puts = 2 + below(chance_, 60), seldom = std::size_t(1) << below(chance_, 6);
    for (std::size_t i = 0; i < puts; ++i) {
      const std::size_t number = states_.size();
      Pairs after = states_.back();
      const auto batch = drawn_batch(chance_, number, after);
      const auto how = below(chance_, seldom) == 0 ? Durability::synced : Durability::unsynced;
      if (!refused) states_.push_back(after), files.note({Event::is::begun, {}, {}, number});
      const bool good = trouble_of<void>([&] { return t->write(batch, how); }).empty();
      if (good && refused) return "a put was taken behind one that failed";
      if (!good && !files.failed) return "a put fails by itself";
      refused = !good;
      if (good)
        files.note({how == Durability::synced ? Event::is::put_synced : Event::is::put, {}, {}, number}),
            ++tally_.puts;
      if (files.waits() && (owed++ == 2 || chance_() % 2))
        files.work(), owed = 0;  // before its buffer is full again
    }
    files.work();
    tally_.failures += files.failed;
    t.reset();
    return {};
  }

  // At a moment of that history.
  void end(const std::vector<Event>& events, bool power) {
    const std::size_t moment = below(
        chance_, chance_() % 3 ? events.size() + 1
                               : std::min<std::size_t>(events.size() + 1, 50));  // an open takes some forty
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

}  // namespace robinpin::mesh_test::disk
