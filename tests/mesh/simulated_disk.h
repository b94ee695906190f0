// A model of a disk that loses power. Of each file it keeps what the last sync covered and any part of what
// came after it; each name that was created, renamed or removed since the folder's last sync is kept or lost
// by itself. A recording file system supplies the operations in their order.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "../../src/storage/file_system.h"

namespace robinpin::mesh_test::disk {

namespace fs = std::filesystem;
using leveldb::Status;
using Random = std::mt19937;

inline std::size_t draw_below(Random& random, std::size_t bound) { return bound == 0 ? 0 : random() % bound; }

// What a store asks of its file system, and marks that a test puts between.
struct DiskOperation {
  enum class Kind {
    create,
    append,
    truncate,
    sync,
    failed_sync,
    rewrite_and_sync,
    rename,
    remove,
    sync_folder,
    sync_parent_folder,
    // Marks; their number is that of a write.
    store_opened,
    write_started,
    write_returned,
    synced_write_returned,
  };
  Kind kind;
  std::string name = {};   // of a file
  std::string text = {};   // what is appended, or the new name
  std::size_t number = 0;  // of bytes, or of a write
};

class SimulatedDisk {
 public:
  using Kind = DiskOperation::Kind;

  void apply(const DiskOperation& operation) {
    switch (operation.kind) {
      case Kind::create:
        return create(operation);
      case Kind::append:
        file(operation.name).current += operation.text;
        return;
      case Kind::truncate:
        file(operation.name).current.resize(operation.number);
        return;
      case Kind::sync:
        if (!file(operation.name).sync_has_failed) sync(file(operation.name));
        return;
      case Kind::failed_sync:
        file(operation.name).sync_has_failed = true;
        return;
      case Kind::rewrite_and_sync:
        file(operation.name).sync_has_failed = false;
        sync(file(operation.name));
        return;
      case Kind::rename:
        unsynced_names_.push_back({operation, names_.at(operation.name)});
        names_[operation.text] = names_.at(operation.name);
        names_.erase(operation.name);
        return;
      case Kind::remove:
        unsynced_names_.push_back({operation, names_.at(operation.name)});
        names_.erase(operation.name);
        return;
      case Kind::sync_folder:
        synced_names_ = names_;
        unsynced_names_.clear();
        return;
      case Kind::sync_parent_folder:
        folder_is_synced_ = true;
        return;
      default:  // a mark
        return;
    }
  }

  void lose_power(Random& random) {
    if (!folder_is_synced_ && random() % 2) {
      synced_names_.clear();
      unsynced_names_.clear();
    }
    draw_kept_names(random);
    std::map<int, File> files;
    for (const auto& [name, id] : synced_names_) {
      File& file = files[id];
      file.current = draw_kept_content(files_.at(id), random);
      file.synced = file.current;
    }
    files_ = std::move(files);
    names_ = synced_names_;
  }

  // Replaces the folder by what is on this disk.
  void write_to(const std::string& folder) const {
    fs::remove_all(folder);
    fs::create_directories(folder);
    for (const auto& [name, id] : names_)
      std::ofstream(folder + "/" + name, std::ios::binary) << files_.at(id).current;
  }

 private:
  struct File {
    std::string synced, current;
    // A sync of it has failed: what was written by then is never made durable by a later sync.
    bool sync_has_failed = false;
  };
  struct UnsyncedName {
    DiskOperation operation;
    int file_id;
  };

  File& file(const std::string& name) { return files_.at(names_.at(name)); }
  static void sync(File& file) { file.synced = file.current; }

  void create(const DiskOperation& operation) {
    if (const auto existing = names_.find(operation.name); existing != names_.end()) {
      files_[existing->second].current.clear();
      return;
    }
    ++last_file_id_;
    files_[last_file_id_] = {};
    names_[operation.name] = last_file_id_;
    unsynced_names_.push_back({operation, last_file_id_});
  }

  void draw_kept_names(Random& random) {
    enum { none, half, all };
    const std::size_t share = draw_below(random, 3);
    for (const auto& [operation, id] : unsynced_names_) {
      const bool is_kept = share == all || (share == half && random() % 2);
      if (operation.kind == Kind::create && is_kept) synced_names_[operation.name] = id;
      if (operation.kind == Kind::remove && is_kept) synced_names_.erase(operation.name);
      if (operation.kind != Kind::rename) continue;
      if (is_kept || random() % 2) synced_names_.erase(operation.name);
      if (is_kept)
        synced_names_[operation.text] = id;
      else if (random() % 3 == 0)
        synced_names_.erase(operation.text);  // neither the old name nor the new one
    }
    unsynced_names_.clear();
  }

  static std::string draw_kept_content(const File& file, Random& random) {
    const bool only_grew = file.current.starts_with(file.synced);
    if (!only_grew && random() % 2) return file.synced;
    const bool was_truncated = !file.current.empty() && file.synced.starts_with(file.current);
    if (was_truncated) return file.current;
    const std::string synced = only_grew ? file.synced : std::string();
    const std::string unsynced = file.current.substr(synced.size());
    switch (random() % 5) {
      case 0:
        return synced;
      case 1:
        return synced + unsynced;
      case 2:
        return synced + unsynced.substr(0, draw_below(random, unsynced.size() + 1));
      case 3:
        return with_garbage(synced, unsynced, random);
      default:
        return with_lost_sectors(synced, unsynced, random);
    }
  }

  // The length was stored, and the content only in part.
  static std::string with_garbage(std::string text, const std::string& unsynced, Random& random) {
    const std::size_t kept = draw_below(random, unsynced.size() + 1);
    const std::size_t end = kept + draw_below(random, unsynced.size() - kept + 1);
    text += unsynced.substr(0, kept);
    const bool are_zeros = random() % 2;
    for (std::size_t i = kept; i < end; ++i) text += are_zeros ? '\0' : char(random());
    return text;
  }

  static std::string with_lost_sectors(std::string text, const std::string& unsynced, Random& random) {
    constexpr std::size_t sector_size = 512;
    std::size_t size = 0;
    for (std::size_t offset = 0; offset < unsynced.size(); offset += size) {
      size = std::min<std::size_t>(sector_size - text.size() % sector_size, unsynced.size() - offset);
      text += random() % 2 ? unsynced.substr(offset, size) : std::string(size, '\0');
    }
    return text;
  }

  std::map<std::string, int> names_, synced_names_;  // to file ids
  std::map<int, File> files_;                        // by id
  std::vector<UnsyncedName> unsynced_names_;
  int last_file_id_ = 0;
  bool folder_is_synced_ = false;
};

// Records what is asked of it and does it, but syncs nothing. LevelDB's background work waits until the test
// runs it, so that a seed is a history.
class RecordingFileSystem : public storage::FileSystem {
 public:
  using Kind = DiskOperation::Kind;

  explicit RecordingFileSystem(std::string folder) : folder_(std::move(folder)) {}

  std::vector<DiskOperation> operations;
  std::size_t failing_call = std::size_t(-1);  // the index of the one call that fails
  std::size_t calls = 0;
  bool has_failed = false;

  void record(DiskOperation operation) { operations.push_back(std::move(operation)); }

  bool has_background_work() const { return !background_work_.empty(); }
  void run_background_work() {
    while (has_background_work()) {
      const auto [function, argument] = background_work_.front();
      background_work_.pop_front();
      function(argument);
    }
  }

  Status sync_folder(const std::string& folder) override {
    if (call_fails()) return injected_failure(folder);
    if (folder == folder_) record({Kind::sync_folder});
    if (folder == fs::path(folder_).parent_path().string()) record({Kind::sync_parent_folder});
    return Status::OK();
  }
  Status truncate_and_sync(const std::string& path, std::uint64_t size) override {
    if (call_fails()) return injected_failure(path);
    fs::resize_file(path, size);
    record({Kind::truncate, name_of(path), {}, std::size_t(size)});
    record({Kind::sync, name_of(path)});
    return Status::OK();
  }
  Status rewrite_and_sync(const std::string& path) override {
    if (call_fails()) return injected_failure(path);
    record({Kind::rewrite_and_sync, name_of(path)});
    return Status::OK();
  }
  Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override {
    if (call_fails()) return injected_failure(path);
    const Status status = target()->NewWritableFile(path, file);
    if (!status.ok()) return status;
    record({Kind::create, name_of(path)});
    *file = new RecordingFile(*this, name_of(path), *file);
    return status;
  }
  Status RemoveFile(const std::string& path) override {
    if (call_fails()) return injected_failure(path);
    const Status status = target()->RemoveFile(path);
    if (status.ok()) record({Kind::remove, name_of(path)});
    return status;
  }
  Status RenameFile(const std::string& from, const std::string& to) override {
    if (call_fails()) return injected_failure(from);
    const Status status = target()->RenameFile(from, to);
    if (status.ok()) record({Kind::rename, name_of(from), name_of(to)});
    return status;
  }
  Status LockFile(const std::string&, leveldb::FileLock** lock) override {
    class GrantedLock : public leveldb::FileLock {};
    *lock = new GrantedLock;
    return Status::OK();
  }
  Status UnlockFile(leveldb::FileLock* lock) override {
    delete lock;
    return Status::OK();
  }
  void Schedule(void (*function)(void*), void* argument) override {
    background_work_.push_back({function, argument});
  }

 private:
  class RecordingFile : public leveldb::WritableFile {
   public:
    RecordingFile(RecordingFileSystem& file_system, std::string name, leveldb::WritableFile* file)
        : file_system_(file_system), name_(std::move(name)), file_(file) {}

    // A call that fails still appends half of its data.
    Status Append(const leveldb::Slice& data) override {
      const bool fails = file_system_.call_fails();
      const leveldb::Slice appended(data.data(), fails ? data.size() / 2 : data.size());
      const Status status = file_->Append(appended);
      buffered_ += appended.ToString();
      return fails ? injected_failure(name_) : status;
    }
    Status Close() override {
      record_buffered();
      return file_->Close();
    }
    Status Flush() override {
      record_buffered();
      return file_->Flush();
    }
    Status Sync() override {
      Flush();
      const bool fails = file_system_.call_fails();
      file_system_.record({fails ? Kind::failed_sync : Kind::sync, name_});
      return fails ? injected_failure(name_) : Status::OK();
    }

   private:
    void record_buffered() {
      if (!buffered_.empty()) file_system_.record({Kind::append, name_, std::exchange(buffered_, {})});
    }

    RecordingFileSystem& file_system_;
    const std::string name_;
    std::string buffered_;  // by the process, and lost with it
    const std::unique_ptr<leveldb::WritableFile> file_;
  };

  bool call_fails() {
    if (calls++ != failing_call) return false;
    has_failed = true;
    return true;
  }
  static Status injected_failure(const std::string& path) {
    return Status::IOError(path, "injected failure");
  }
  static std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }

  const std::string folder_;
  std::deque<std::pair<void (*)(void*), void*>> background_work_;
};

}  // namespace robinpin::mesh_test::disk
