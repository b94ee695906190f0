// A store's files under loss of power, failing syncs and damage.
#include <fcntl.h>
#include <leveldb/db.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>

#include "../../src/trove/offline_reader.h"
#include "disk.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using namespace robinpin::mesh_test::disk;

TEST_GROUP(Disk){};

TEST(Disk, what_was_synced_is_there_in_order_whatever_power_does_to_each_file_and_name) {
  Tally tally;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const std::string why = Lives(seed, tally).run(3, 6);
    if (!why.empty()) FAIL(("seed " + std::to_string(seed) + ": " + why).c_str());
  }
  std::printf("%s\n", tally.told().c_str());
}

namespace {

// What a killed process leaves: two tables, a full log that is still needed, a newer one, synced puts in
// each.
struct Left {
  Folder folder;
  Pairs held;
  std::vector<Pairs> states{Pairs{}};
  std::string last_log;
  explicit Left(std::uint32_t seed) {
    Chance chance(seed);
    Recorder files(folder.path);
    std::unique_ptr<KeyValueStore> t;
    std::string why = opened(t, held, [&] { return trove::open_leveldb_store(folder.path, files, small); });
    for (std::size_t i = 1; i <= 60 || !files.waits(); ++i) {  // until a log is full and still needed
      files.work();
      why += trouble_of<void>([&, batch = drawn_batch(chance, i, held)] { return t->write(batch); });
      states.push_back(held);
    }
    for (std::size_t i = 0; i < 4; ++i) {
      why += trouble_of<void>([&, batch = KeyValueStore::WriteBatch{{{"n", std::to_string(states.size())}},
                                                                    {}}] { return t->write(batch); });
      held["n"] = std::to_string(states.size());
      states.push_back(held);
    }
    STRCMP_EQUAL("", why.c_str());
    fs::copy(folder.path, folder.top + "/left");
    files.work();
    t.reset();
    for (const auto& e : fs::directory_iterator(left()))
      if (e.path().extension() == ".log") last_log = std::max(last_log, e.path().filename().string());
  }
  std::string left() const { return folder.top + "/left"; }
  // A copy, to be damaged.
  std::string again() const {
    fs::remove_all(folder.path);
    fs::copy(left(), folder.path);
    return folder.path;
  }
};

std::string bytes_of(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}
void write(const fs::path& file, const std::string& text) { std::ofstream(file, std::ios::binary) << text; }
std::map<std::string, std::string> files_of(const std::string& folder) {
  std::map<std::string, std::string> all;
  for (const auto& e : fs::directory_iterator(folder)) all[e.path().filename().string()] = bytes_of(e.path());
  return all;
}

struct Seen {
  std::string why;  // empty: it opened, as `held`
  Pairs held;
  trove::OfflineContents look;
};
Seen seen(const std::string& folder) {
  Seen s;
  ::setenv("TMPDIR", fs::path(folder).parent_path().c_str(), 1);  // where copies go
  const auto before = files_of(folder);
  const std::string why = trouble_of<void>([&]() -> trove::result<void> {
    BOOST_LEAF_ASSIGN(s.look, trove::read_offline(folder));
    return {};
  });
  if (!why.empty()) s.look.corruption.push_back(why);
  ::unsetenv("TMPDIR");
  CHECK(files_of(folder) == before);
  Recorder files(folder);
  std::unique_ptr<KeyValueStore> t;
  s.why = opened(t, s.held, [&] { return trove::open_leveldb_store(folder, files, small); });
  files.work();
  return s;
}

}  // namespace

// Each file in turn gone, emptied, cut or with a bit turned: it opens as it was, or not at all. The newest
// log's end alone may go unseen: whoever kept a later number tells that one.
TEST(Disk, a_store_that_lacks_what_was_synced_does_not_open) {
  const Left left(1);
  Chance chance(2);
  int told = 0, whole = 0, shorter = 0;
  for (const auto& [name, bytes] : files_of(left.left())) {
    std::vector<std::pair<std::string, std::optional<std::string>>> damages{{"gone", std::nullopt},
                                                                            {"emptied", std::string()}};
    if (!bytes.empty()) damages.emplace_back("without its last byte", bytes.substr(0, bytes.size() - 1));
    for (int i = 0; i < 8 && !bytes.empty(); ++i) {
      const std::size_t at = below(chance, bytes.size());
      damages.emplace_back("cut at " + std::to_string(at), bytes.substr(0, at));
      std::string turned = bytes;
      turned[at] ^= char(1 << below(chance, 8));
      damages.emplace_back("turned at " + std::to_string(at), turned);
    }
    for (const auto& [what, text] : damages) {
      const std::string folder = left.again(), where = name + " " + what;
      if (text)
        write(folder + "/" + name, *text);
      else
        fs::remove(folder + "/" + name);
      const Seen s = seen(folder);
      if (s.why.empty() != s.look.corruption.empty())
        FAIL((where + ": opened: '" + s.why +
              "', looked at: " + (s.look.corruption.empty() ? "nothing" : s.look.corruption[0]))
                 .c_str());
      if (!s.why.empty()) {
        ++told;
        if (!s.why.starts_with("corruption|" + folder) || s.why.find(folder + "/") == std::string::npos)
          FAIL((where + ": which file? " + s.why).c_str());
        continue;
      }
      if (Pairs(s.look.entries.begin(), s.look.entries.end()) != s.held)
        FAIL((where + ": looked at, it differs").c_str());
      if (s.held == left.held) {
        ++whole;
        continue;
      }
      const std::size_t n = s.held.contains("n") ? std::stoul(s.held.at("n")) : 0;
      const bool end = name == left.last_log && n < left.states.size() && s.held == left.states[n] &&
                       (what.starts_with("turned") ? n + 2 >= left.states.size() : true);
      if (!end) FAIL((where + ": opened as put " + std::to_string(n)).c_str());
      ++shorter;
    }
  }
  std::printf("%d damages told, %d without harm, %d of the newest log's end\n", told, whole, shorter);
  CHECK(told > 70 && whole + shorter < told);
}

TEST(Disk, logs_that_took_each_others_place_are_told_by_the_numbers_in_them) {
  const Left left(5);
  std::vector<std::string> logs;
  for (const auto& [name, bytes] : files_of(left.left()))
    if (name.ends_with(".log")) logs.push_back(name);
  CHECK_EQUAL(2, logs.size());
  const std::string folder = left.again();
  fs::copy_file(left.left() + "/" + logs[0], folder + "/" + logs[1], fs::copy_options::overwrite_existing);
  const Seen s = seen(folder);
  CHECK(s.why.starts_with("corruption|" + folder + "/" + logs[1] + "|has write "));
}

TEST(Disk, of_a_damaged_store_a_look_tells_the_damage_and_what_can_still_be_read) {
  const Left left(3);
  const std::string folder = left.again();
  fs::remove(folder + "/" + left.last_log);
  const Seen s = seen(folder);
  CHECK_EQUAL(1, s.look.corruption.size());
  STRCMP_EQUAL((folder + "/" + left.last_log + ": is missing").c_str(), s.look.corruption[0].c_str());
  CHECK(!s.look.entries.empty() && s.look.size_on_disk > small);
}

TEST(Disk, a_look_makes_no_store_and_leaves_one_that_is_in_use) {
  const Folder f;
  const auto why = [&] {
    return trouble_of<trove::OfflineContents>([&] { return trove::read_offline(f.path); });
  };
  CHECK(why().starts_with("open|" + f.path + "|"));
  CHECK_FALSE(fs::exists(f.path));
  fs::create_directory(f.path);
  STRCMP_EQUAL(("open|" + f.path + "|holds no store").c_str(), why().c_str());
  CHECK(fs::is_empty(f.path));
  write(f.path + "/LOCK", "");
  int ready[2], done[2];
  CHECK(::pipe(ready) == 0 && ::pipe(done) == 0);
  const pid_t other = ::fork();
  if (other == 0) {  // locks are of a process
    const int fd = ::open((f.path + "/LOCK").c_str(), O_RDWR);
    struct ::flock lock = {};
    lock.l_type = F_WRLCK;
    char c = ::fcntl(fd, F_SETLK, &lock) == 0 ? 'y' : 'n';
    ::close(done[1]);
    if (::write(ready[1], &c, 1) != 1 || ::read(done[0], &c, 1) != 0) ::_exit(1);
    ::_exit(0);
  }
  char locked = 'n';
  CHECK_EQUAL(1, ::read(ready[0], &locked, 1));
  const std::string in_use = why(), second = trouble_of<std::unique_ptr<KeyValueStore>>(
                                        [&] { return trove::open_leveldb_store(f.path); });
  for (const int fd : {done[1], done[0], ready[0], ready[1]}) ::close(fd);
  int status = 1;
  ::waitpid(other, &status, 0);
  CHECK_EQUAL(0, status);
  if (locked != 'y') return;  // where locks are not granted
  STRCMP_EQUAL(("open|" + f.path + "|is in use").c_str(), in_use.c_str());
  CHECK(second.starts_with("open|" + f.path) && second.find("is in use") != std::string::npos);
}

// A store from before there were inventories and numbers, in use until it was killed.
TEST(Disk, an_older_store_is_taken_on) {
  const Folder f;
  const auto by_itself = [&](const std::string& value) {
    leveldb::Options options;
    options.create_if_missing = true;
    leveldb::DB* opened_db = nullptr;
    CHECK(leveldb::DB::Open(options, f.path, &opened_db).ok());
    const std::unique_ptr<leveldb::DB> db(opened_db);
    CHECK(db->Put({}, "own", value).ok() && db->Put({}, "i/a", "1").ok());
  };
  by_itself("0"), by_itself("1");
  for (const char* log : {"/000005.log", "/000006.log"})
    std::ofstream(f.path + log, std::ios::app) << "torn";  // one let go of, and the last
  Pairs held;
  for (int life = 0; life < 2; ++life) {
    std::unique_ptr<KeyValueStore> t;
    STRCMP_EQUAL("", opened(t, held, [&] { return trove::open_leveldb_store(f.path); }).c_str());
    CHECK(held == (life == 0 ? Pairs{{"i/a", "1"}, {"own", "1"}} : Pairs{{"i/a", "2"}, {"own", "1"}}));
    STRCMP_EQUAL("", trouble_of<void>([&] { return t->write({{{"i/a", "2"}}, {}}); }).c_str());
  }
  fs::remove(f.path + "/CURRENT");  // rebuilt: a loss of power may take it in its renaming
  std::unique_ptr<KeyValueStore> t;
  STRCMP_EQUAL("", opened(t, held, [&] { return trove::open_leveldb_store(f.path); }).c_str());
  CHECK(held == (Pairs{{"i/a", "2"}, {"own", "1"}}));
}

// Each call in turn that a history makes of its files fails, once: the put that meets it fails, and so does
// each after it.
TEST(Disk, one_failing_call_is_final) {
  std::size_t met = 0;
  for (std::size_t at = 0; at < 400; at += 3) {
    const Folder f;
    Recorder files(f.path);
    files.fails_at = at;
    std::unique_ptr<KeyValueStore> t;
    Pairs held;
    if (!opened(t, held, [&] { return trove::open_leveldb_store(f.path, files, small); }).empty()) {
      CHECK(files.failed);
      continue;
    }
    bool refused = false;
    Chance chance(std::uint32_t(7));
    for (std::size_t i = 1; i <= 60; ++i) {
      const bool before = files.failed;
      const bool good = trouble_of<void>([&, batch = drawn_batch(chance, i, held)] {
                          return t->write(batch, i % 2 ? Durability::synced : Durability::unsynced);
                        }).empty();
      if (good && (refused || before))
        FAIL(("call " + std::to_string(at) + ", put " + std::to_string(i) + " taken").c_str());
      refused = !good;
      files.work();
    }
    met += refused;
  }
  CHECK(met > 50);
}

TEST(Disk, names_let_go_of_give_their_room_back) {
  const Folder f;
  Recorder files(f.path);
  Pairs held;
  std::unique_ptr<KeyValueStore> t;
  STRCMP_EQUAL("", opened(t, held, [&] { return trove::open_leveldb_store(f.path, files); }).c_str());
  Chance chance(3);
  std::uint64_t most = 0;
  for (int i = 0; i < 60'000; ++i) {
    std::string text(200, '\0');
    for (char& c : text) c = char(chance());
    const KeyValueStore::WriteBatch batch{
        {{"i/" + std::to_string(i), text}},
        i < 1'000 ? std::vector<std::string>() : std::vector<std::string>{"i/" + std::to_string(i - 1'000)}};
    CHECK(trouble_of<void>([&] { return t->write(batch, Durability::unsynced); }).empty());
    files.work();
    files.events.clear();
    if (i % 500 == 0)
      trouble_of<void>([&]() -> trove::result<void> {
        BOOST_LEAF_AUTO(size, t->size_on_disk());
        most = std::max(most, size);
        return {};
      });
  }
  CHECK(most > 1'000'000 && most < 12'000'000);
}
