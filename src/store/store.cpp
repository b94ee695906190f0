#include "store.h"

#include <fcntl.h>
#include <sqlite3.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <deque>
#include <filesystem>
#include <mutex>
#include <random>
#include <thread>

namespace robinpin::store {

using consensus::Ballot;
using consensus::Change;
using consensus::Memory;
using consensus::Slot;
using consensus::Voters;

namespace {

constexpr int ours = 0x7270696e;       // the file's mark, "rpin"
constexpr int checkpoint_from = 1000;  // pages of the log that waits to be taken into the file

struct broken : std::runtime_error {
  int code;
  broken(int c, const std::string& what) : std::runtime_error(what), code(c) {}
};

class Db {
 public:
  explicit Db(const std::string& path) {
    const int code = sqlite3_open_v2(
        path.c_str(), &db_, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_NOMUTEX, nullptr);
    if (code != SQLITE_OK) {
      const std::string what = db_ ? sqlite3_errmsg(db_) : "no memory";
      sqlite3_close(db_);
      throw broken(code, what);
    }
    sqlite3_extended_result_codes(db_, 1);
  }
  ~Db() { sqlite3_close_v2(db_); }
  Db(const Db&) = delete;
  Db& operator=(const Db&) = delete;

  void run(const char* sql) { must(sqlite3_exec(db_, sql, nullptr, nullptr, nullptr)); }
  void must(int code) const {
    if (code != SQLITE_OK && code != SQLITE_DONE && code != SQLITE_ROW)
      throw broken(code & 0xff, sqlite3_errmsg(db_));
  }
  sqlite3* raw() { return db_; }

 private:
  sqlite3* db_ = nullptr;
};

class Statement {
 public:
  Statement(Db& db, const char* sql) : db_(db) {
    db.must(sqlite3_prepare_v2(db.raw(), sql, -1, &s_, nullptr));
  }
  ~Statement() { sqlite3_finalize(s_); }
  Statement(const Statement&) = delete;
  Statement& operator=(const Statement&) = delete;
  Statement& put(const std::string& text) {
    db_.must(sqlite3_bind_text(s_, ++at_, text.data(), int(text.size()), SQLITE_TRANSIENT));
    return *this;
  }
  Statement& put(std::uint64_t n) {
    db_.must(sqlite3_bind_int64(s_, ++at_, std::int64_t(n)));
    return *this;
  }
  bool step() {  // true: a row is there
    const int code = sqlite3_step(s_);
    db_.must(code);
    return code == SQLITE_ROW;
  }
  void once() {
    step();
    db_.must(sqlite3_reset(s_));
    at_ = 0;
  }
  std::string text(int column) const {
    const auto* t = sqlite3_column_text(s_, column);
    return t ? std::string(reinterpret_cast<const char*>(t), std::size_t(sqlite3_column_bytes(s_, column)))
             : "";
  }
  std::uint64_t number(int column) const { return std::uint64_t(sqlite3_column_int64(s_, column)); }

 private:
  Db& db_;
  sqlite3_stmt* s_ = nullptr;
  int at_ = 0;
};

std::uint64_t pragma(Db& db, const char* name) {
  Statement s(db, (std::string("PRAGMA ") + name).c_str());
  return s.step() ? s.number(0) : 0;
}

std::string drawn_identity() {
  std::random_device draw;
  std::string out;
  for (int i = 0; i < 4; ++i) {
    char part[9];
    std::snprintf(part, sizeof part, "%08x", unsigned(draw()));
    out += part;
  }
  return out;
}

// That the file is there after a crash is the folder's to remember.
void keep_folder(const std::string& path) {
  const auto folder = std::filesystem::absolute(path).parent_path();
  const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool kept = fd >= 0 && ::fsync(fd) == 0;
  if (fd >= 0) ::close(fd);
  if (!kept) throw broken(SQLITE_IOERR, "its folder can't be synced");
}

void make(Db& db, const std::string& fleet, const std::string& voter) {
  db.run(
      "BEGIN IMMEDIATE;"
      "CREATE TABLE about(what TEXT PRIMARY KEY, said TEXT) WITHOUT ROWID;"
      "CREATE TABLE slots(name TEXT PRIMARY KEY, promised INTEGER, promised_by TEXT, accepted INTEGER, "
      "accepted_by TEXT,"
      " version INTEGER, text TEXT, writer TEXT) WITHOUT ROWID;"
      "CREATE TABLE seen(store TEXT PRIMARY KEY, counter INTEGER) WITHOUT ROWID;");
  Statement s(db, "INSERT INTO about VALUES(?, ?)");
  s.put("fleet").put(fleet).once();
  s.put("voter").put(voter).once();
  s.put("store").put(drawn_identity()).once();
  s.put("counter").put("0").once();
  s.put("voters").put("").once();
  s.put("voters_version").put("0").once();
  s.put("openings").put("0").once();
  db.run(("PRAGMA application_id=" + std::to_string(ours)).c_str());
  db.run(("PRAGMA user_version=" + std::to_string(schema)).c_str());
  db.run("COMMIT");
}

std::string about(Db& db, const char* what) {
  Statement s(db, "SELECT said FROM about WHERE what=?");
  s.put(std::string(what));
  if (!s.step()) throw broken(SQLITE_CORRUPT, std::string("it does not say its ") + what);
  return s.text(0);
}

Memory read(Db& db) {
  Memory m;
  m.store = about(db, "store");
  m.counter = std::stoull(about(db, "counter"));
  const auto version = std::stoull(about(db, "voters_version"));
  if (version > 0) {
    const auto voters = Voters::read(version, about(db, "voters"));
    if (!voters) throw broken(SQLITE_CORRUPT, "its voters can't be read");
    m.voters = *voters;
  }
  for (Statement s(
           db, "SELECT name, promised, promised_by, accepted, accepted_by, version, text, writer FROM slots");
       s.step();)
    m.slots[s.text(0)] = {
        {s.number(1), s.text(2)}, {s.number(3), s.text(4)}, {s.number(5), s.text(6), s.text(7)}};
  for (Statement s(db, "SELECT store, counter FROM seen"); s.step();) m.seen[s.text(0)] = s.number(1);
  return m;
}

}  // namespace

struct Store::Work {
  std::unique_ptr<Db> db;
  mutable std::mutex lock;
  std::condition_variable wake;
  std::deque<std::pair<std::optional<Change>, std::function<void(bool)>>> queue;
  bool over = false;
  std::string failure;
  Figures figures;
  std::thread thread;
};

Store::Store(const std::string& path, const std::string& fleet, const std::string& voter)
    : work_(std::make_unique<Work>()) {
  const auto no = [&](const std::string& why) { throw refused("store " + path + ": " + why); };
  try {
    std::error_code none;
    const bool there = std::filesystem::exists(path, none) && std::filesystem::file_size(path, none) > 0;
    work_->db = std::make_unique<Db>(path);
    Db& db = *work_->db;
    // Held for the life of the process: a second one on the same store is told no.
    db.run("PRAGMA locking_mode=EXCLUSIVE");
    if (there && pragma(db, "application_id") != ours) no("is not a robinpin store");
    if (there && pragma(db, "user_version") > schema)
      no("is of schema " + std::to_string(pragma(db, "user_version")) + ", this program knows " +
         std::to_string(schema));
    db.run(
        "PRAGMA journal_mode=WAL; PRAGMA synchronous=FULL; PRAGMA wal_autocheckpoint=0; PRAGMA fullfsync=1;");
    db.run("BEGIN IMMEDIATE; COMMIT");  // takes the lock
    if (!there) {
      make(db, fleet, voter);
      keep_folder(path);
    } else {
      Statement s(db, "PRAGMA quick_check(1)");
      if (!s.step() || s.text(0) != "ok") no("is torn: " + s.text(0));
    }
    if (about(db, "fleet") != fleet) no("belongs to fleet \"" + about(db, "fleet") + "\"");
    if (about(db, "voter") != voter)
      no("belongs to \"" + about(db, "voter") + "\", a copy of another voter's can't vote here");
    again_ = about(db, "openings") != "0";
    db.run("UPDATE about SET said=CAST(said AS INTEGER)+1 WHERE what='openings'");
    memory_ = read(db);
  } catch (const broken& b) {
    if (b.code == SQLITE_BUSY || b.code == SQLITE_LOCKED) no("is in use by another process");
    if (b.code == SQLITE_CORRUPT || b.code == SQLITE_NOTADB)
      no(std::string("is torn or not a store: ") + b.what());
    no(b.what());
  } catch (const std::logic_error&) {
    no("is torn: a number in it can't be read");
  }
  work_->thread = std::thread([w = work_.get()] { run(*w); });
}

Store::~Store() {
  {
    const std::lock_guard held(work_->lock);
    work_->over = true;
  }
  work_->wake.notify_one();
  if (work_->thread.joinable()) work_->thread.join();
}

void Store::put(std::optional<Change> change, std::function<void(bool)> then) {
  {
    const std::lock_guard held(work_->lock);
    work_->queue.emplace_back(std::move(change), std::move(then));
  }
  work_->wake.notify_one();
}

bool Store::full() const {
  const std::lock_guard held(work_->lock);
  return work_->queue.size() >= most_waiting;
}

std::string Store::failure() const {
  const std::lock_guard held(work_->lock);
  return work_->failure;
}

Store::Figures Store::figures() const {
  const std::lock_guard held(work_->lock);
  return work_->figures;
}

void Store::run(Work& w) {
  Db& db = *w.db;
  Statement slot(db, "INSERT OR REPLACE INTO slots VALUES(?, ?, ?, ?, ?, ?, ?, ?)");
  Statement told(db, "UPDATE about SET said=? WHERE what=?");
  Statement seen(db, "INSERT OR REPLACE INTO seen VALUES(?, ?)");
  const auto write = [&](const Change& c) {
    if (!c.name.empty())
      slot.put(c.name)
          .put(c.slot.promised.round)
          .put(c.slot.promised.proposer)
          .put(c.slot.accepted.round)
          .put(c.slot.accepted.proposer)
          .put(c.slot.value.version)
          .put(c.slot.value.text)
          .put(c.slot.value.by)
          .once();
    if (c.voters) {
      told.put(c.voters->text()).put("voters").once();
      told.put(std::to_string(c.voters->version)).put("voters_version").once();
    }
    for (const auto& [store, counter] : c.seen) seen.put(store).put(counter).once();
    told.put(std::to_string(c.counter)).put("counter").once();
  };
  std::string failure;
  int pages = 0;  // of the log
  sqlite3_wal_hook(
      db.raw(), [](void* to, sqlite3*, const char*, int n) { return *static_cast<int*>(to) = n, SQLITE_OK; },
      &pages);
  for (std::unique_lock held(w.lock);;) {
    w.wake.wait(held, [&] { return w.over || !w.queue.empty(); });
    if (w.queue.empty()) return;
    auto together = std::move(w.queue);
    w.queue.clear();
    held.unlock();
    std::uint64_t writes = 0;
    for (const auto& [change, then] : together) writes += change ? 1 : 0;
    const auto begun = std::chrono::steady_clock::now();
    if (failure.empty() && writes > 0) try {
        db.run("BEGIN IMMEDIATE");
        for (const auto& [change, then] : together)
          if (change) write(*change);
        db.run("COMMIT");
        // The log is taken into the file here and not behind our back, where a failed sync would be passed
        // over.
        if (pages > checkpoint_from) {
          db.must(sqlite3_wal_checkpoint_v2(db.raw(), nullptr, SQLITE_CHECKPOINT_TRUNCATE, nullptr, nullptr));
          pages = 0;
        }
      } catch (const std::exception& wrong) {
        // What the disk holds now nobody can say, and a sync tried again may claim what was lost: this is
        // final.
        failure = wrong.what();
      }
    const auto took =
        std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begun)
            .count();
    held.lock();
    w.failure = failure;  // before anybody is told that it failed: who is, asks why
    if (writes > 0 && failure.empty()) {
      ++w.figures.commits;
      w.figures.writes += writes;
      w.figures.longest_us = std::max(w.figures.longest_us, std::uint64_t(took));
    }
    held.unlock();
    for (const auto& [change, then] : together) then(failure.empty());
    held.lock();
  }
}

}  // namespace robinpin::store
