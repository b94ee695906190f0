#include "files.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <utility>
#include <vector>

namespace robinpin::trove {

using leveldb::Status;

namespace {

bool listed(const std::string& name) { return name.ends_with(".log") || name.starts_with("MANIFEST-"); }
std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }

}  // namespace

Files& Files::of_this_machine() {
  static Files files;
  return files;
}

namespace {

template <typename F>
Status with(const std::string& path, int flags, const F& f) {
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC);
  if (fd < 0) return Status::IOError(path, std::strerror(errno));
  const int wrong = f(fd) == 0 ? 0 : errno;
  ::close(fd);
  return wrong == 0 ? Status::OK() : Status::IOError(path, std::strerror(wrong));
}

}  // namespace

Status Files::sync_folder(const std::string& folder) {
  return with(folder, O_RDONLY | O_DIRECTORY, [](int fd) { return ::fsync(fd); });
}

Status Files::cut(const std::string& path, std::uint64_t size) {
  return with(path, O_WRONLY, [&](int fd) { return ::ftruncate(fd, off_t(size)) == 0 ? ::fsync(fd) : -1; });
}

Status Files::settle(const std::string& path) {
  std::string text;
  if (const Status s = leveldb::ReadFileToString(this, path, &text); !s.ok()) return s;
  return with(path, O_WRONLY, [&](int fd) {
    return ::pwrite(fd, text.data(), text.size(), 0) == ssize_t(text.size()) ? ::fsync(fd) : -1;
  });
}

class Durable::Written : public leveldb::WritableFile {
 public:
  Written(Durable& of, std::string name, leveldb::WritableFile* file)
      : of_(of), name_(std::move(name)), file_(file) {}
  ~Written() override {
    if (file_) of_.fail(Close());  // LevelDB lets go of a full log this way, and looks at nothing
  }
  Status Append(const leveldb::Slice& data) override {
    if (const Status s = of_.failed(); !s.ok()) return s;  // nothing lasts that is behind what may not
    size_ += data.size();
    dirty_ = true;
    return of_.fail(file_->Append(data));
  }
  Status Flush() override { return file_->Flush(); }
  Status Sync() override {
    if (const Status s = of_.failed(); !s.ok()) return s;
    const Status s = file_->Sync();
    if (!s.ok()) return of_.fail(s);
    dirty_ = false;
    of_.synced(name_, size_);
    return s;
  }
  Status Close() override {
    Status s =
        dirty_ && name_.ends_with(".log") ? Sync() : Status::OK();  // its successor may be written to next
    const Status closed = file_->Close();
    file_.reset();
    return s.ok() ? closed : s;
  }

 private:
  Durable& of_;
  const std::string name_;
  std::unique_ptr<leveldb::WritableFile> file_;
  std::uint64_t size_ = 0;
  bool dirty_ = false;
};

Durable::~Durable() {
  if (lock_) files_.UnlockFile(lock_);
}

Status Durable::hold() {
  std::vector<std::filesystem::path> made;
  std::error_code wrong;
  for (std::filesystem::path at = std::filesystem::absolute(folder_, wrong);
       !wrong && !std::filesystem::exists(at, wrong) && at.has_relative_path(); at = at.parent_path())
    made.push_back(at);
  std::filesystem::create_directories(folder_, wrong);
  if (wrong) return Status::IOError(folder_, wrong.message());
  if (made.empty())
    made.push_back(
        std::filesystem::absolute(folder_, wrong));  // perhaps by a life that ended before its sync
  for (const auto& one : made)
    if (const Status s = files_.sync_folder(one.parent_path().string()); !s.ok()) return s;
  const Status s = files_.LockFile(path("LOCK"), &lock_);
  return s.ok() ? s : Status::IOError("is in use", s.ToString());
}

Status Durable::begin(const Findings& found) {
  const std::lock_guard lock(guard_);
  if (found.last) next_ = *found.last + 1;
  if (found.inventory)
    inventory_ = *found.inventory, kept_ = true;
  else if (found.empty)
    next_ = 1;
  Status s;
  if (kept_)
    s = files_.settle(path(inventory_names[inventory_.turn % 2]));  // the other one is written over next
  if (!s.ok()) return s;
  for (const auto& [name, good] : found.torn)
    if (s = files_.cut(path(name), good); !s.ok()) return s;
  if (found.current) {
    if (s = put_file("current.dbtmp", *found.current + "\n"); !s.ok()) return s;
    if (s = files_.RenameFile(path("current.dbtmp"), path("CURRENT")); !s.ok()) return s;
    if (s = files_.sync_folder(folder_); !s.ok()) return s;
  }
  return s;
}

void Durable::next(std::uint64_t number) {
  const std::lock_guard lock(guard_);
  next_ = number;
}

Status Durable::made() {
  const std::lock_guard lock(guard_);
  bool changed = !kept_;
  for (auto at = inventory_.files.rbegin(); at != inventory_.files.rend(); ++at)
    if (at->first.ends_with(".log")) {  // the newest: nothing is in it yet
      changed = changed || at->second.first != next_;
      at->second.first = next_;
      break;
    }
  if (!changed) return failed_;
  const bool first = !std::exchange(kept_, true);
  const Status s = keep_inventory();
  return s.ok() && first ? keep_inventory() : s;  // both copies are there before the first put
}

Status Durable::close() {
  const std::lock_guard lock(guard_);
  return kept_ && failed_.ok() ? keep_inventory() : failed_;
}

Status Durable::failed() {
  const std::lock_guard lock(guard_);
  return failed_;
}

Status Durable::fail(Status s) {
  const std::lock_guard lock(guard_);
  if (!s.ok() && failed_.ok()) failed_ = s;
  return s;
}

void Durable::synced(const std::string& name, std::uint64_t size) {
  if (!listed(name)) return;
  const std::lock_guard lock(guard_);
  const auto at = inventory_.files.find(name);
  if (failed_.ok() && at != inventory_.files.end())
    at->second.size = size;  // goes to disk with the next change of names
}

Status Durable::put_file(const std::string& name, const std::string& text) {
  leveldb::WritableFile* opened = nullptr;
  if (const Status s = files_.NewWritableFile(path(name), &opened); !s.ok()) return s;
  const std::unique_ptr<leveldb::WritableFile> file(opened);
  Status s = file->Append(text);
  if (s.ok()) s = file->Sync();
  const Status closed = file->Close();
  return s.ok() ? closed : s;
}

// Each copy is written in place while the other one stands, so that no name changes.
Status Durable::keep_inventory() {
  if (!failed_.ok()) return failed_;
  ++inventory_.turn;
  const std::string name = inventory_names[inventory_.turn % 2];
  const bool is_new = inventory_.turn <= 2;
  Status s = put_file(name, written(inventory_));
  if (s.ok() && is_new) s = files_.sync_folder(folder_);
  if (!s.ok()) failed_ = s;
  return s;
}

Status Durable::NewWritableFile(const std::string& full, leveldb::WritableFile** file) {
  const std::string name = name_of(full);
  *file = nullptr;
  if (const Status s = failed(); !s.ok()) return s;
  if (listed(name)) {
    const std::lock_guard lock(guard_);
    if (const auto at = inventory_.files.find(name);
        kept_ && at != inventory_.files.end() &&
        at->second.size > 0) {  // made anew: no shorter than said at any time
      at->second.size = 0;
      if (const Status s = keep_inventory(); !s.ok()) return s;
    }
  }
  leveldb::WritableFile* made = nullptr;
  if (const Status s = files_.NewWritableFile(full, &made); !s.ok()) return s;
  auto watched = std::make_unique<Written>(*this, name, made);
  if (!name.ends_with(".dbtmp")) {  // that one is renamed, and synced by then
    if (const Status s = fail(files_.sync_folder(folder_)); !s.ok()) return s;
  }
  if (listed(name)) {
    const std::lock_guard lock(guard_);
    inventory_.files[name] = {0, name.ends_with(".log") ? next_ : 0};
    if (kept_)
      if (const Status s = keep_inventory(); !s.ok()) return s;
  }
  *file = watched.release();
  return Status::OK();
}

// What is said to be there is there: it is taken off the inventory first.
Status Durable::RemoveFile(const std::string& full) {
  const std::string name = name_of(full);
  if (const Status s = failed(); !s.ok()) return s;
  if (listed(name)) {
    const std::lock_guard lock(guard_);
    if (inventory_.files.erase(name) > 0 && kept_)
      if (const Status s = keep_inventory(); !s.ok()) return s;
  }
  return fail(files_.RemoveFile(full));
}

Status Durable::RenameFile(const std::string& from, const std::string& to) {
  if (const Status s = failed(); !s.ok()) return s;
  Status s = files_.RenameFile(from, to);
  if (s.ok()) s = files_.sync_folder(folder_);
  return fail(s);
}

Status Durable::LockFile(const std::string&, leveldb::FileLock** lock) {
  class Held : public leveldb::FileLock {};
  *lock = new Held;
  return Status::OK();
}

Status Durable::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

}  // namespace robinpin::trove
