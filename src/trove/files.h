// What LevelDB asks of its files and doesn't do itself: the folder is synced before anything rests on a name
// in it, a log is synced before its successor is written to, and the inventory says which files there have to
// be.
#pragma once

#include <leveldb/env.h>

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

#include "inspect.h"

namespace robinpin::trove {

// A file system: LevelDB's own, and what that lacks. Tests put theirs in its place.
class Files : public leveldb::EnvWrapper {
 public:
  Files() : EnvWrapper(leveldb::Env::Default()) {}
  virtual leveldb::Status sync_folder(const std::string& folder);
  virtual leveldb::Status cut(const std::string& path, std::uint64_t size);  // synced
  // What an earlier process wrote may be read and yet not last, also where a sync of its has failed: written
  // again as it is, and synced.
  virtual leveldb::Status settle(const std::string& path);
  static Files& of_this_machine();
};

class Durable : public leveldb::EnvWrapper {
 public:
  Durable(Files& files, std::string folder) : EnvWrapper(&files), files_(files), folder_(std::move(folder)) {}
  ~Durable() override;
  // Makes the folder where there is none, and keeps others out until it ends. LevelDB's own lock goes through
  // this one.
  leveldb::Status hold();
  // Ends what power cut short, as found; from here on the inventory is kept, unless the store is yet to be
  // made.
  leveldb::Status begin(const Findings& found);
  // Of the next put: a log that is made holds none before it.
  void next(std::uint64_t number);
  leveldb::Status made();   // the store is whole: the inventory is kept from here on
  leveldb::Status close();  // LevelDB has closed its files: the inventory says how long they are
  leveldb::Status
  failed();  // the first failure, which LevelDB may not have seen. Nothing is written behind it

  leveldb::Status NewWritableFile(const std::string& path, leveldb::WritableFile** file) override;
  leveldb::Status RemoveFile(const std::string& path) override;
  leveldb::Status RenameFile(const std::string& from, const std::string& to) override;
  leveldb::Status LockFile(const std::string& path, leveldb::FileLock** lock) override;
  leveldb::Status UnlockFile(leveldb::FileLock* lock) override;

 private:
  class Written;
  void synced(const std::string& name, std::uint64_t size);
  leveldb::Status keep_inventory();                                            // under the lock
  leveldb::Status put_file(const std::string& name, const std::string& text);  // synced
  leveldb::Status fail(leveldb::Status s);
  std::string path(const std::string& name) const { return folder_ + "/" + name; }

  Files& files_;
  const std::string folder_;
  leveldb::FileLock* lock_ = nullptr;
  std::mutex guard_;  // LevelDB writes on a thread of its own, too
  Inventory inventory_;
  std::uint64_t next_ = 0;
  bool kept_ = false;
  leveldb::Status failed_;
};

}  // namespace robinpin::trove
