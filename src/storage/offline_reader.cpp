#include "offline_reader.h"

#include <fcntl.h>
#include <leveldb/db.h>
#include <unistd.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdlib>
#include <filesystem>
#include <map>

#include "file_names.h"
#include "integrity_check.h"
#include "leveldb_options.h"
#include "leveldb_store.h"

namespace robinpin::storage {

namespace {

namespace fs = std::filesystem;

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = (fs::temp_directory_path() / "robinpin-look-XXXXXX").string();
    if (::mkdtemp(name.data())) path_ = name;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (!path_.empty()) fs::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  const std::string& path() const { return path_; }  // empty: it could not be created

 private:
  std::string path_;
};

// Asks whether another process holds the lock; takes none, and creates no file.
bool is_locked(const std::string& lock_file) {
  const int descriptor = ::open(lock_file.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) return false;
  struct ::flock lock = {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  const bool has_owner = ::fcntl(descriptor, F_GETLK, &lock) == 0 && lock.l_type != F_UNLCK;
  ::close(descriptor);
  return has_owner;
}

struct FileState {
  std::uintmax_t size = 0;
  fs::file_time_type modified;
  bool operator==(const FileState&) const = default;
};
using FolderState = std::map<std::string, FileState>;  // by file name

FolderState state_of(const std::string& folder, std::error_code& error) {
  FolderState state;
  for (fs::directory_iterator entry(folder, error), end; !error && entry != end; entry.increment(error)) {
    std::error_code ignored;  // it may be gone since it was listed
    state[entry->path().filename().string()] = {entry->file_size(ignored), entry->last_write_time(ignored)};
  }
  return state;
}

// Errors: the folder cannot be read, or its store is in use.
result<FolderState> state_of_unused_store(const std::string& folder) {
  std::error_code error;
  FolderState state = state_of(folder, error);
  if (error) return boost::leaf::new_error(Error{Error::Step::open, folder, error.message()});
  if (is_locked(folder + "/" + lock_file_name))
    return boost::leaf::new_error(Error{Error::Step::open, folder, "is in use"});
  return state;
}

// Errors: a file cannot be copied, or the folder is not in state `before` any more once all are.
result<void> copy_store(const std::string& folder, const FolderState& before, const std::string& copy) {
  if (copy.empty())
    return boost::leaf::new_error(Error{Error::Step::copy, folder, "no temporary folder can be created"});
  std::error_code error;
  for (const auto& [name, state] : before) {
    if (name == lock_file_name) continue;
    const fs::path source = fs::path(folder) / name;
    fs::copy_file(source, fs::path(copy) / name, error);
    if (error) return boost::leaf::new_error(Error{Error::Step::copy, source.string(), error.message()});
  }
  if (state_of(folder, error) != before)
    return boost::leaf::new_error(Error{Error::Step::open, folder, "is in use: it changes while it is read"});
  return {};
}

// LevelDB gathers the entries that can still be read, whatever their order in time.
void salvage(const std::string& copy) {
  leveldb::RepairDB(copy, database_options(leveldb::Env::Default(), default_write_buffer_size));
  std::error_code ignored;
  for (const char* name : inventory_file_names) fs::remove(copy + "/" + name, ignored);
}

// Tells corruption with the path in the original folder.
class CorruptionReport {
 public:
  CorruptionReport(std::string original, std::string copy)
      : original_(std::move(original)), copy_(std::move(copy)) {}

  void add(const std::string& path, const std::string& reason) {
    const bool is_copy = path.starts_with(copy_);
    const std::string shown = is_copy ? original_ + path.substr(copy_.size()) : path;
    lines_.push_back(shown + ": " + reason);
  }
  bool empty() const { return lines_.empty(); }
  std::vector<std::string> take() { return std::move(lines_); }

 private:
  const std::string original_, copy_;
  std::vector<std::string> lines_;
};

// Whether the copy could be read; otherwise the list says why.
bool read_copy(const std::string& copy, std::vector<KeyValueStore::Entry>& entries,
               CorruptionReport& corruption) {
  return boost::leaf::try_handle_all(
      [&]() -> result<bool> {
        BOOST_LEAF_AUTO(store, open_leveldb_store(copy));
        BOOST_LEAF_ASSIGN(entries, store->read_all());
        return true;
      },
      [&](const Error& error) {
        corruption.add(error.peer, error.reason);
        return false;
      },
      [] { return false; });
}

}  // namespace

result<OfflineContents> read_offline(const std::string& folder) {
  BOOST_LEAF_AUTO(state, state_of_unused_store(folder));
  const TemporaryFolder copy;
  auto copied = copy_store(folder, state, copy.path());
  if (!copied) return copied.error();
  const IntegrityReport report = check_integrity(copy.path());
  if (report.is_empty && !report.inventory)
    return boost::leaf::new_error(Error{Error::Step::open, folder, "holds no store"});

  OfflineContents contents;
  contents.size_on_disk = report.size_on_disk;
  CorruptionReport corruption(folder, copy.path());
  for (const IntegrityFault& fault : report.faults) corruption.add(fault.file, fault.reason);
  // A store whose corruption shows only while it is read is salvaged and read again.
  constexpr int read_attempts = 2;
  for (int attempt = 0; attempt < read_attempts; ++attempt) {
    if (!corruption.empty()) salvage(copy.path());
    if (read_copy(copy.path(), contents.entries, corruption)) break;
  }
  contents.corruption = corruption.take();
  return contents;
}

}  // namespace robinpin::storage
