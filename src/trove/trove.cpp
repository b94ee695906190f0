#include "trove.h"

#include <fcntl.h>
#include <leveldb/db.h>
#include <leveldb/table.h>
#include <leveldb/write_batch.h>
#include <unistd.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <map>
#include <optional>

#include "level.h"

namespace robinpin::trove {

namespace {

namespace fs = std::filesystem;

class Quiet : public leveldb::Logger {  // LevelDB's own words would grow without a bound
  void Logv(const char*, std::va_list) override {}
};

leveldb::Options options_over(leveldb::Env* env, std::size_t buffer) {
  static Quiet quiet;
  leveldb::Options options;
  options.env = env;
  options.info_log = &quiet;
  options.paranoid_checks = true;
  options.write_buffer_size = buffer;
  options.max_open_files = 64;
  return options;
}

leveldb::ReadOptions checked() {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;  // each is read once, at the start
  return options;
}

// LevelDB tells of a damaged table, and not which.
std::string damaged_table(const std::string& folder) {
  std::error_code wrong;
  for (const auto& entry : fs::directory_iterator(folder, wrong)) {
    const std::string path = entry.path().string();
    if (entry.path().extension() != ".ldb") continue;
    if (fs::file_size(path, wrong) == 0) return path;
    leveldb::RandomAccessFile* opened = nullptr;
    if (!leveldb::Env::Default()->NewRandomAccessFile(path, &opened).ok()) return path;
    const std::unique_ptr<leveldb::RandomAccessFile> file(opened);
    leveldb::Options options;
    options.paranoid_checks = true;
    leveldb::Table* table = nullptr;
    if (!leveldb::Table::Open(options, opened, entry.file_size(), &table).ok()) return path;
    const std::unique_ptr<leveldb::Table> held(table);
    const std::unique_ptr<leveldb::Iterator> it(held->NewIterator(checked()));
    for (it->SeekToFirst(); it->Valid(); it->Next()) {
    }
    if (!it->status().ok()) return path;
  }
  return folder;
}

Trouble trouble_of(const char* step, const std::string& folder, const leveldb::Status& s) {
  if (s.IsCorruption()) return {"damage", damaged_table(folder), s.ToString()};
  return {step, folder, s.ToString()};
}

// A table that is too short LevelDB reads, or maps, beyond its end.
Trouble unread(const std::string& folder, const leveldb::Status& s) {
  if (s.IsIOError() && s.ToString().ends_with(std::strerror(EINVAL)))
    return {"damage", damaged_table(folder), "is too short"};
  return trouble_of("read", folder, s);
}

class Level : public Trove {
 public:
  Level(std::string folder, std::unique_ptr<Durable> files, std::unique_ptr<leveldb::DB> db,
        std::uint64_t number)
      : folder_(std::move(folder)),
        files_(std::move(files)),
        db_(std::move(db)),
        number_(number),
        synced_(number) {}
  ~Level() override {
    db_.reset();
    files_->close();
  }

  result<void> put(const Batch& batch, lasting how) override {
    if (failed_) return boost::leaf::new_error(*failed_);
    leveldb::WriteBatch writes;
    writes.Put(leveldb::Slice(Mark::name.data(), Mark::name.size()), written(Mark{number_ + 1, synced_}));
    for (const auto& [k, v] : batch.put) writes.Put(k, v);
    for (const auto& k : batch.drop) writes.Delete(k);
    leveldb::WriteOptions options;
    options.sync = how == lasting::synced;
    auto s = db_->Write(options, &writes);
    if (s.ok()) s = files_->failed();
    if (!s.ok()) return boost::leaf::new_error(*(failed_ = Trouble{"sync", folder_, s.ToString()}));
    files_->next(++number_ + 1);
    if (how == lasting::synced) synced_ = number_;
    return {};
  }

  result<std::vector<Pair>> all() override {
    std::vector<Pair> found;
    const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(checked()));
    for (it->SeekToFirst(); it->Valid(); it->Next())
      if (it->key() != leveldb::Slice(Mark::name.data(), Mark::name.size()))
        found.emplace_back(it->key().ToString(), it->value().ToString());
    if (!it->status().ok()) return boost::leaf::new_error(unread(folder_, it->status()));
    return found;
  }

  result<std::uint64_t> bytes() override {
    std::uint64_t sum = 0;
    std::error_code wrong;
    for (fs::directory_iterator it(folder_, wrong), end; !wrong && it != end; it.increment(wrong)) {
      std::error_code gone;  // since it was listed
      if (const auto size = it->file_size(gone); !gone) sum += size;
    }
    if (wrong) return boost::leaf::new_error(Trouble{"read", folder_, wrong.message()});
    return sum;
  }

 private:
  const std::string folder_;
  const std::unique_ptr<Durable> files_;  // outlives what writes through it
  std::unique_ptr<leveldb::DB> db_;
  std::uint64_t number_, synced_;  // of the last put, and of the last that is known to last
  std::optional<Trouble> failed_;  // final: what is on disk is not known any more
};

struct TemporaryFolder {
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "robinpin-look-XXXXXX").string();
    if (::mkdtemp(name.data())) path = name;
  }
  ~TemporaryFolder() {
    std::error_code wrong;
    if (!path.empty()) fs::remove_all(path, wrong);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string path;
};

bool in_use(const std::string& lock) {  // asks; takes no lock, and makes no file
  const int fd = ::open(lock.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return false;
  struct ::flock asked = {};
  asked.l_type = F_WRLCK;
  asked.l_whence = SEEK_SET;
  const bool held = ::fcntl(fd, F_GETLK, &asked) == 0 && asked.l_type != F_UNLCK;
  ::close(fd);
  return held;
}

using Listing = std::map<std::string, std::pair<std::uintmax_t, fs::file_time_type>>;
Listing listing(const std::string& folder, std::error_code& wrong) {
  Listing all;
  for (fs::directory_iterator it(folder, wrong), end; !wrong && it != end; it.increment(wrong)) {
    std::error_code gone;
    all[it->path().filename().string()] = {it->file_size(gone), it->last_write_time(gone)};
  }
  return all;
}

}  // namespace

result<std::unique_ptr<Trove>> open(const std::string& folder, Files& files, std::size_t buffer) {
  auto env = std::make_unique<Durable>(files, folder);
  if (const auto s = env->hold(); !s.ok()) return boost::leaf::new_error(trouble_of("open", folder, s));
  const Findings found = inspect(folder);
  if (!found.damage.empty())
    return boost::leaf::new_error(
        Trouble{found.damage[0].lost ? "damage" : "open", found.damage[0].file, found.damage[0].why});
  if (const auto s = env->begin(found); !s.ok()) return boost::leaf::new_error(trouble_of("open", folder, s));
  auto options = options_over(env.get(), buffer);
  options.create_if_missing = found.empty;
  leveldb::DB* opened = nullptr;
  if (const auto s = leveldb::DB::Open(options, folder, &opened); !s.ok())
    return boost::leaf::new_error(trouble_of("open", folder, s));
  std::unique_ptr<leveldb::DB> db(opened);
  std::string text;
  const auto got = db->Get(checked(), leveldb::Slice(Mark::name.data(), Mark::name.size()), &text);
  const auto mark = read_mark(text);
  if (!got.ok() && !got.IsNotFound()) return boost::leaf::new_error(unread(folder, got));
  const std::uint64_t last = got.ok() && mark ? mark->number : 0;
  if (found.last && *found.last > last)  // its tables may be ahead of a log that is let go of next
    return boost::leaf::new_error(Trouble{
        "damage", folder,
        "ends at put " + std::to_string(last) + ", and its logs at put " + std::to_string(*found.last)});
  env->next(last + 1);
  auto s = env->made();
  if (s.ok()) s = env->failed();
  if (!s.ok()) return boost::leaf::new_error(trouble_of("open", folder, s));
  return std::unique_ptr<Trove>(new Level(folder, std::move(env), std::move(db), last));
}

result<std::unique_ptr<Trove>> open(const std::string& folder) {
  return open(folder, Files::of_this_machine());
}

result<Look> look(const std::string& folder) {
  std::error_code wrong;
  const Listing before = listing(folder, wrong);
  if (wrong) return boost::leaf::new_error(Trouble{"open", folder, wrong.message()});
  if (in_use(folder + "/LOCK")) return boost::leaf::new_error(Trouble{"open", folder, "is in use"});
  const TemporaryFolder copy;
  if (copy.path.empty())
    return boost::leaf::new_error(Trouble{"copy", folder, "no folder for a copy can be made"});
  for (const auto& [name, what] : before) {
    if (name == "LOCK") continue;
    fs::copy_file(folder + "/" + name, copy.path + "/" + name, wrong);
    if (wrong) return boost::leaf::new_error(Trouble{"copy", folder + "/" + name, wrong.message()});
  }
  if (listing(folder, wrong) != before)
    return boost::leaf::new_error(Trouble{"open", folder, "is in use: it changes as it is read"});
  const Findings found = inspect(copy.path);
  if (found.empty && !found.inventory)
    return boost::leaf::new_error(Trouble{"open", folder, "holds no store"});
  Look looked;
  looked.bytes = found.bytes;
  const auto here = [&](std::string path) {
    return path.starts_with(copy.path) ? folder + path.substr(copy.path.size()) : path;
  };
  for (const Damage& d : found.damage) looked.damage.push_back(here(d.file) + ": " + d.why);
  for (int tries = 0; tries < 2; ++tries) {
    if (!looked.damage.empty()) {  // what stands is gathered, by itself in order or not
      leveldb::RepairDB(copy.path, options_over(leveldb::Env::Default(), write_buffer));
      for (const char* name : inventory_names) fs::remove(copy.path + "/" + name, wrong);
    }
    const bool read = boost::leaf::try_handle_all(
        [&]() -> result<bool> {
          BOOST_LEAF_AUTO(t, open(copy.path));
          BOOST_LEAF_ASSIGN(looked.pairs, t->all());
          return true;
        },
        [&](const Trouble& t) { return looked.damage.push_back(here(t.peer) + ": " + t.why), false; },
        [] { return false; });
    if (read) break;
  }
  return looked;
}

}  // namespace robinpin::trove
