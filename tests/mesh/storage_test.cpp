// The store on disk under loss of power, failing calls and corruption.
#include <fcntl.h>
#include <leveldb/db.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <optional>

#include "../../src/storage/offline_reader.h"
#include "store_history.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using namespace robinpin::mesh_test::disk;

TEST_GROUP(Disk){};

TEST(Disk, synced_writes_are_found_in_order_whatever_a_loss_of_power_does_to_files_and_names) {
  HistoryCounts counts;
  for (std::uint32_t seed = 1; seed <= 50; ++seed) {
    const std::string fault = StoreHistory(seed, counts).run(3, 6);
    if (!fault.empty()) FAIL(("seed " + std::to_string(seed) + ": " + fault).c_str());
  }
  std::printf("%s\n", counts.summary().c_str());
}

namespace {

std::string read_file(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

void write_file(const fs::path& file, const std::string& text) {
  std::ofstream(file, std::ios::binary) << text;
}

std::map<std::string, std::string> read_files(const std::string& folder) {
  std::map<std::string, std::string> files;
  for (const auto& entry : fs::directory_iterator(folder))
    files[entry.path().filename().string()] = read_file(entry.path());
  return files;
}

// The store of a killed process: two tables, a full log that is still needed and a newer one, with synced
// writes in each.
class KilledStore {
 public:
  explicit KilledStore(std::uint32_t seed) {
    Random random(seed);
    RecordingFileSystem files(folder_.path);
    std::unique_ptr<KeyValueStore> store;
    std::string errors = open_and_read(store, contents, [&] {
      return storage::open_leveldb_store(folder_.path, files, small_write_buffer);
    });
    for (std::size_t i = 1; i <= 60 || !files.has_background_work(); ++i) {
      files.run_background_work();
      const auto batch = draw_batch(random, i, contents);
      errors += trouble_of<void>([&] { return store->write(batch); });
      states.push_back(contents);
    }
    for (int i = 0; i < 4; ++i) {
      const std::string number = std::to_string(states.size());
      errors += trouble_of<void>([&] { return store->write({{{counter_key, number}}, {}}); });
      contents[counter_key] = number;
      states.push_back(contents);
    }
    STRCMP_EQUAL("", errors.c_str());
    fs::copy(folder_.path, original_path());
    files.run_background_work();
    store.reset();
    for (const auto& entry : fs::directory_iterator(original_path()))
      if (entry.path().extension() == ".log")
        newest_log = std::max(newest_log, entry.path().filename().string());
  }

  std::string original_path() const { return folder_.root + "/original"; }

  // The path of a fresh copy, to be corrupted.
  std::string make_copy() const {
    fs::remove_all(folder_.path);
    fs::copy(original_path(), folder_.path);
    return folder_.path;
  }

  Contents contents;
  std::vector<Contents> states{Contents{}};  // by the number of the last write
  std::string newest_log;

 private:
  StoreFolder folder_;
};

struct Observation {
  std::string error;  // of opening and reading; empty: none
  Contents contents;
  storage::OfflineContents offline;
};

// Reads the store offline, which must leave its files as they are, and then opens it.
Observation observe(const std::string& folder) {
  Observation observation;
  ::setenv("TMPDIR", fs::path(folder).parent_path().c_str(), 1);  // where copies go
  const auto before = read_files(folder);
  const std::string offline_error = trouble_of<void>([&]() -> storage::result<void> {
    BOOST_LEAF_ASSIGN(observation.offline, storage::read_offline(folder));
    return {};
  });
  if (!offline_error.empty()) observation.offline.corruption.push_back(offline_error);
  ::unsetenv("TMPDIR");
  CHECK(read_files(folder) == before);
  RecordingFileSystem files(folder);
  std::unique_ptr<KeyValueStore> store;
  observation.error = open_and_read(store, observation.contents, [&] {
    return storage::open_leveldb_store(folder, files, small_write_buffer);
  });
  files.run_background_work();
  return observation;
}

struct FileCorruption {
  std::string description;
  std::optional<std::string> content;  // none: the file is removed
};

std::vector<FileCorruption> draw_corruptions(const std::string& content, Random& random) {
  std::vector<FileCorruption> corruptions{{"removed", std::nullopt}, {"emptied", std::string()}};
  if (content.empty()) return corruptions;
  corruptions.push_back({"without its last byte", content.substr(0, content.size() - 1)});
  for (int i = 0; i < 8; ++i) {
    const std::size_t offset = draw_below(random, content.size());
    corruptions.push_back({"truncated at " + std::to_string(offset), content.substr(0, offset)});
    std::string flipped = content;
    flipped[offset] ^= char(1 << draw_below(random, 8));
    corruptions.push_back({"bit flipped at " + std::to_string(offset), flipped});
  }
  return corruptions;
}

struct CorruptionCounts {
  int reported = 0, harmless = 0, shorter = 0;
};

// The end of the newest log alone may be lost unnoticed.
bool is_allowed_loss(const KilledStore& store, const std::string& file, const FileCorruption& corruption,
                     const Contents& found) {
  const std::size_t number = counter_of(found);
  if (file != store.newest_log || number >= store.states.size() || found != store.states[number])
    return false;
  const bool is_bit_flip = corruption.description.starts_with("bit flipped");
  return !is_bit_flip || number + 2 >= store.states.size();
}

void check_corruption(const KilledStore& store, const std::string& file, const FileCorruption& corruption,
                      CorruptionCounts& counts) {
  const std::string folder = store.make_copy();
  const std::string where = file + " " + corruption.description;
  if (corruption.content)
    write_file(folder + "/" + file, *corruption.content);
  else
    fs::remove(folder + "/" + file);
  const Observation observation = observe(folder);
  const auto& offline = observation.offline;
  if (observation.error.empty() != offline.corruption.empty())
    FAIL((where + ": opened: '" + observation.error +
          "', offline: " + (offline.corruption.empty() ? "nothing" : offline.corruption[0]))
             .c_str());
  if (!observation.error.empty()) {
    ++counts.reported;
    const bool names_file = observation.error.find(folder + "/") != std::string::npos;
    if (!observation.error.starts_with("corruption|" + folder) || !names_file)
      FAIL((where + ": which file? " + observation.error).c_str());
    return;
  }
  if (Contents(offline.entries.begin(), offline.entries.end()) != observation.contents)
    FAIL((where + ": read offline, it differs").c_str());
  if (observation.contents == store.contents) {
    ++counts.harmless;
    return;
  }
  if (!is_allowed_loss(store, file, corruption, observation.contents))
    FAIL((where + ": opened as write " + std::to_string(counter_of(observation.contents))).c_str());
  ++counts.shorter;
}

}  // namespace

// Each file in turn is removed, emptied, truncated or has a bit flipped: the store opens as it was, or not at
// all. The newest log's end alone may be lost unnoticed: peers that remember a later number detect that.
TEST(Disk, a_store_that_lacks_what_was_synced_does_not_open) {
  const KilledStore store(1);
  Random random(2);
  CorruptionCounts counts;
  for (const auto& [file, content] : read_files(store.original_path()))
    for (const auto& corruption : draw_corruptions(content, random))
      check_corruption(store, file, corruption, counts);
  std::printf("%d corruptions reported, %d harmless, %d of the newest log's end\n", counts.reported,
              counts.harmless, counts.shorter);
  CHECK(counts.reported > 70 && counts.harmless + counts.shorter < counts.reported);
}

TEST(Disk, logs_that_took_each_others_place_are_detected_by_the_numbers_in_them) {
  const KilledStore store(5);
  std::vector<std::string> logs;
  for (const auto& [name, content] : read_files(store.original_path()))
    if (name.ends_with(".log")) logs.push_back(name);
  CHECK_EQUAL(2, logs.size());
  const std::string folder = store.make_copy();
  fs::copy_file(store.original_path() + "/" + logs[0], folder + "/" + logs[1],
                fs::copy_options::overwrite_existing);
  CHECK(observe(folder).error.starts_with("corruption|" + folder + "/" + logs[1] + "|has write "));
}

TEST(Disk, of_a_corrupted_store_the_offline_reader_reports_the_corruption_and_what_can_still_be_read) {
  const KilledStore store(3);
  const std::string folder = store.make_copy();
  fs::remove(folder + "/" + store.newest_log);
  const auto offline = observe(folder).offline;
  CHECK_EQUAL(1, offline.corruption.size());
  STRCMP_EQUAL((folder + "/" + store.newest_log + ": is missing").c_str(), offline.corruption[0].c_str());
  CHECK(!offline.entries.empty() && offline.size_on_disk > small_write_buffer);
}

TEST(Disk, the_offline_reader_creates_no_store_and_refuses_one_that_is_in_use) {
  const StoreFolder folder;
  const auto offline_error = [&] {
    return trouble_of<storage::OfflineContents>([&] { return storage::read_offline(folder.path); });
  };
  CHECK(offline_error().starts_with("open|" + folder.path + "|"));
  CHECK_FALSE(fs::exists(folder.path));
  fs::create_directory(folder.path);
  STRCMP_EQUAL(("open|" + folder.path + "|holds no store").c_str(), offline_error().c_str());
  CHECK(fs::is_empty(folder.path));
  write_file(folder.path + "/LOCK", "");
  int ready[2], done[2];
  CHECK(::pipe(ready) == 0 && ::pipe(done) == 0);
  const pid_t child = ::fork();
  if (child == 0) {  // a process is not kept out by its own locks
    const int descriptor = ::open((folder.path + "/LOCK").c_str(), O_RDWR);
    struct ::flock lock = {};
    lock.l_type = F_WRLCK;
    char is_locked = ::fcntl(descriptor, F_SETLK, &lock) == 0 ? 'y' : 'n';
    ::close(done[1]);
    if (::write(ready[1], &is_locked, 1) != 1 || ::read(done[0], &is_locked, 1) != 0) ::_exit(1);
    ::_exit(0);
  }
  char is_locked = 'n';
  CHECK_EQUAL(1, ::read(ready[0], &is_locked, 1));
  const std::string offline = offline_error();
  const std::string opened =
      trouble_of<std::unique_ptr<KeyValueStore>>([&] { return storage::open_leveldb_store(folder.path); });
  for (const int descriptor : {done[1], done[0], ready[0], ready[1]}) ::close(descriptor);
  int status = 1;
  ::waitpid(child, &status, 0);
  CHECK_EQUAL(0, status);
  if (is_locked != 'y') return;  // where locks are not granted
  STRCMP_EQUAL(("open|" + folder.path + "|is in use").c_str(), offline.c_str());
  CHECK(opened.starts_with("open|" + folder.path) && opened.find("is in use") != std::string::npos);
}

namespace {

// What LevelDB alone leaves: no inventory and no write sequence.
void write_with_plain_leveldb(const std::string& folder, const std::string& value) {
  leveldb::Options options;
  options.create_if_missing = true;
  leveldb::DB* opened = nullptr;
  CHECK(leveldb::DB::Open(options, folder, &opened).ok());
  const std::unique_ptr<leveldb::DB> database(opened);
  CHECK(database->Put({}, "own", value).ok() && database->Put({}, "i/a", "1").ok());
}

}  // namespace

TEST(Disk, a_store_from_before_there_were_inventories_is_opened_and_upgraded) {
  const StoreFolder folder;
  write_with_plain_leveldb(folder.path, "0");
  write_with_plain_leveldb(folder.path, "1");
  for (const char* log : {"/000005.log", "/000006.log"})  // one that is no longer needed, and the last
    std::ofstream(folder.path + log, std::ios::app) << "torn";
  const auto open = [&] { return storage::open_leveldb_store(folder.path); };
  Contents contents;
  for (int run = 0; run < 2; ++run) {
    std::unique_ptr<KeyValueStore> store;
    STRCMP_EQUAL("", open_and_read(store, contents, open).c_str());
    const std::string expected = run == 0 ? "1" : "2";
    CHECK(contents == (Contents{{"i/a", expected}, {"own", "1"}}));
    STRCMP_EQUAL("", trouble_of<void>([&] { return store->write({{{"i/a", "2"}}, {}}); }).c_str());
  }
  fs::remove(folder.path + "/CURRENT");  // restored: a loss of power may take it while it is renamed
  std::unique_ptr<KeyValueStore> store;
  STRCMP_EQUAL("", open_and_read(store, contents, open).c_str());
  CHECK(contents == (Contents{{"i/a", "2"}, {"own", "1"}}));
}

namespace {

// Whether a write met the one call that fails. Checks that it fails then, and each write after it.
bool write_over_failing_call(KeyValueStore& store, RecordingFileSystem& files, Contents& contents) {
  bool has_failed = false;
  Random random(std::uint32_t(7));
  for (std::size_t i = 1; i <= 60; ++i) {
    const bool call_failed_before = files.has_failed;
    const auto batch = draw_batch(random, i, contents);
    const auto durability = i % 2 ? Durability::synced : Durability::unsynced;
    const bool is_written = trouble_of<void>([&] { return store.write(batch, durability); }).empty();
    if (is_written && (has_failed || call_failed_before))
      FAIL(("call " + std::to_string(files.failing_call) + ", write " + std::to_string(i) + " succeeded")
               .c_str());
    has_failed = !is_written;
    files.run_background_work();
  }
  return has_failed;
}

}  // namespace

// Of the calls to the file system that a history makes, one fails, once: the write that meets it fails, and
// so does each after it.
TEST(Disk, a_failing_call_is_final) {
  std::size_t failures = 0;
  for (std::size_t call = 0; call < 400; call += 3) {
    const StoreFolder folder;
    RecordingFileSystem files(folder.path);
    files.failing_call = call;
    std::unique_ptr<KeyValueStore> store;
    Contents contents;
    const std::string error = open_and_read(
        store, contents, [&] { return storage::open_leveldb_store(folder.path, files, small_write_buffer); });
    if (!error.empty()) {
      CHECK(files.has_failed);
      continue;
    }
    failures += write_over_failing_call(*store, files, contents);
  }
  CHECK(failures > 50);
}

TEST(Disk, removed_entries_free_their_space) {
  constexpr int writes = 60'000, live_entries = 1'000, value_size = 200;
  const StoreFolder folder;
  RecordingFileSystem files(folder.path);
  Contents contents;
  std::unique_ptr<KeyValueStore> store;
  const auto open = [&] { return storage::open_leveldb_store(folder.path, files); };
  STRCMP_EQUAL("", open_and_read(store, contents, open).c_str());
  Random random(3);
  std::uint64_t largest = 0;
  for (int i = 0; i < writes; ++i) {
    KeyValueStore::WriteBatch batch{{{"i/" + std::to_string(i), draw_bytes(random, value_size)}}, {}};
    if (i >= live_entries) batch.removals.push_back("i/" + std::to_string(i - live_entries));
    CHECK(trouble_of<void>([&] { return store->write(batch, Durability::unsynced); }).empty());
    files.run_background_work();
    files.operations.clear();
    if (i % 500 != 0) continue;
    trouble_of<void>([&]() -> storage::result<void> {
      BOOST_LEAF_AUTO(size, store->size_on_disk());
      largest = std::max(largest, size);
      return {};
    });
  }
  CHECK(largest > 1'000'000 && largest < 12'000'000);
}
