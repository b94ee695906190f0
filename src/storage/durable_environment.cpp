#include "durable_environment.h"

#include <filesystem>
#include <memory>
#include <utility>
#include <vector>

#include "file_names.h"

namespace robinpin::storage {

using leveldb::Status;

namespace {

namespace fs = std::filesystem;

constexpr const char* restored_current_file_name = "current.dbtmp";

std::string name_of(const std::string& path) { return path.substr(path.rfind('/') + 1); }

// The folder and its ancestors that do not exist yet, the innermost first.
std::vector<fs::path> missing_folders(const std::string& folder, std::error_code& error) {
  std::vector<fs::path> missing;
  fs::path path = fs::absolute(folder, error);
  while (!error && !fs::exists(path, error) && path.has_relative_path()) {
    missing.push_back(path);
    path = path.parent_path();
  }
  return missing;
}

}  // namespace

// A file that LevelDB writes; reports to the environment what is synced and what failed.
class DurableEnvironment::DurableFile : public leveldb::WritableFile {
 public:
  DurableFile(DurableEnvironment& environment, std::string name, leveldb::WritableFile* file)
      : environment_(environment), name_(std::move(name)), file_(file) {}

  // LevelDB closes a full log by destroying it, and ignores a failure.
  ~DurableFile() override {
    if (file_) environment_.record_failure(Close());
  }

  Status Append(const leveldb::Slice& data) override {
    // Nothing is durable that comes after something that may not be.
    if (Status failure = environment_.first_failure(); !failure.ok()) return failure;
    size_ += data.size();
    has_unsynced_data_ = true;
    return environment_.record_failure(file_->Append(data));
  }

  Status Flush() override { return file_->Flush(); }

  Status Sync() override {
    if (Status failure = environment_.first_failure(); !failure.ok()) return failure;
    Status status = file_->Sync();
    if (!status.ok()) return environment_.record_failure(status);
    has_unsynced_data_ = false;
    environment_.record_synced_size(name_, size_);
    return status;
  }

  Status Close() override {
    const bool needs_sync = has_unsynced_data_ && is_log(name_);  // its successor may be written to next
    Status synced = needs_sync ? Sync() : Status::OK();
    Status closed = file_->Close();
    file_.reset();
    return synced.ok() ? closed : synced;
  }

 private:
  DurableEnvironment& environment_;
  const std::string name_;
  std::unique_ptr<leveldb::WritableFile> file_;
  std::uint64_t size_ = 0;
  bool has_unsynced_data_ = false;
};

DurableEnvironment::~DurableEnvironment() {
  if (folder_lock_) files_.UnlockFile(folder_lock_);
}

Status DurableEnvironment::lock_folder() {
  std::error_code error;
  std::vector<fs::path> created = missing_folders(folder_, error);
  fs::create_directories(folder_, error);
  if (error) return Status::IOError(folder_, error.message());
  // An earlier process may have ended between creating the folder and its sync.
  if (created.empty()) created.push_back(fs::absolute(folder_, error));
  for (const auto& folder : created) {
    Status synced = files_.sync_folder(folder.parent_path().string());
    if (!synced.ok()) return synced;
  }
  Status locked = files_.LockFile(path_of(lock_file_name), &folder_lock_);
  return locked.ok() ? locked : Status::IOError("is in use", locked.ToString());
}

Status DurableEnvironment::recover(const IntegrityReport& report) {
  const std::lock_guard lock(mutex_);
  if (report.last_write) next_write_number_ = *report.last_write + 1;
  if (report.inventory) {
    inventory_ = *report.inventory;
    inventory_is_active_ = true;
  } else if (report.is_empty) {
    next_write_number_ = 1;
  }
  if (inventory_is_active_) {  // the other copy is overwritten next, so this one has to be durable
    Status status = files_.rewrite_and_sync(path_of(inventory_file_name(inventory_.revision)));
    if (!status.ok()) return status;
  }
  for (const auto& [name, valid_size] : report.torn_files) {
    Status status = files_.truncate_and_sync(path_of(name), valid_size);
    if (!status.ok()) return status;
  }
  return report.lost_current ? restore_current(*report.lost_current) : Status::OK();
}

Status DurableEnvironment::restore_current(const std::string& manifest) {
  Status written = write_synced_file(restored_current_file_name, manifest + "\n");
  if (!written.ok()) return written;
  Status renamed = files_.RenameFile(path_of(restored_current_file_name), path_of(current_file_name));
  if (!renamed.ok()) return renamed;
  return files_.sync_folder(folder_);
}

Status DurableEnvironment::finish_open() {
  const std::lock_guard lock(mutex_);
  bool has_changed = !inventory_is_active_;
  for (auto file = inventory_.files.rbegin(); file != inventory_.files.rend(); ++file) {
    if (!is_log(file->first)) continue;
    // The newest log: nothing is in it yet.
    has_changed = has_changed || file->second.first_write_number != next_write_number_;
    file->second.first_write_number = next_write_number_;
    break;
  }
  if (!has_changed) return first_failure_;
  const bool is_first_save = !std::exchange(inventory_is_active_, true);
  Status saved = save_inventory();
  // Both copies exist before the first write.
  return saved.ok() && is_first_save ? save_inventory() : saved;
}

Status DurableEnvironment::finish_close() {
  const std::lock_guard lock(mutex_);
  return inventory_is_active_ && first_failure_.ok() ? save_inventory() : first_failure_;
}

void DurableEnvironment::set_next_write_number(std::uint64_t number) {
  const std::lock_guard lock(mutex_);
  next_write_number_ = number;
}

Status DurableEnvironment::first_failure() {
  const std::lock_guard lock(mutex_);
  return first_failure_;
}

Status DurableEnvironment::record_failure(Status status) {
  const std::lock_guard lock(mutex_);
  if (!status.ok() && first_failure_.ok()) first_failure_ = status;
  return status;
}

// The size goes to disk with the next change of names.
void DurableEnvironment::record_synced_size(const std::string& name, std::uint64_t size) {
  if (!is_in_inventory(name)) return;
  const std::lock_guard lock(mutex_);
  const auto file = inventory_.files.find(name);
  if (first_failure_.ok() && file != inventory_.files.end()) file->second.synced_size = size;
}

Status DurableEnvironment::write_synced_file(const std::string& name, const std::string& text) {
  leveldb::WritableFile* opened = nullptr;
  if (Status status = files_.NewWritableFile(path_of(name), &opened); !status.ok()) return status;
  const std::unique_ptr<leveldb::WritableFile> file(opened);
  Status status = file->Append(text);
  if (status.ok()) status = file->Sync();
  Status closed = file->Close();
  return status.ok() ? closed : status;
}

// Each copy is overwritten in place while the other one stands, so that no name changes.
Status DurableEnvironment::save_inventory() {
  if (!first_failure_.ok()) return first_failure_;
  ++inventory_.revision;
  const bool is_new_file = inventory_.revision <= inventory_file_names.size();
  Status status = write_synced_file(inventory_file_name(inventory_.revision), encode(inventory_));
  if (status.ok() && is_new_file) status = files_.sync_folder(folder_);
  if (!status.ok()) first_failure_ = status;
  return status;
}

Status DurableEnvironment::unlist_size(const std::string& name) {
  const std::lock_guard lock(mutex_);
  const auto file = inventory_.files.find(name);
  if (!inventory_is_active_ || file == inventory_.files.end() || file->second.synced_size == 0)
    return Status::OK();
  file->second.synced_size = 0;
  return save_inventory();
}

Status DurableEnvironment::add_to_inventory(const std::string& name) {
  const std::lock_guard lock(mutex_);
  inventory_.files[name] = {0, is_log(name) ? next_write_number_ : 0};
  return inventory_is_active_ ? save_inventory() : Status::OK();
}

Status DurableEnvironment::NewWritableFile(const std::string& path, leveldb::WritableFile** file) {
  const std::string name = name_of(path);
  *file = nullptr;
  if (Status failure = first_failure(); !failure.ok()) return failure;
  if (is_in_inventory(name))
    if (Status status = unlist_size(name); !status.ok()) return status;
  leveldb::WritableFile* created = nullptr;
  if (Status status = files_.NewWritableFile(path, &created); !status.ok()) return status;
  auto durable_file = std::make_unique<DurableFile>(*this, name, created);
  if (!is_temporary(name)) {  // a temporary file is renamed, which syncs the folder
    Status status = record_failure(files_.sync_folder(folder_));
    if (!status.ok()) return status;
  }
  if (is_in_inventory(name))
    if (Status status = add_to_inventory(name); !status.ok()) return status;
  *file = durable_file.release();
  return Status::OK();
}

// Taken off the inventory first: what it lists has to exist.
Status DurableEnvironment::RemoveFile(const std::string& path) {
  const std::string name = name_of(path);
  if (Status failure = first_failure(); !failure.ok()) return failure;
  if (is_in_inventory(name)) {
    const std::lock_guard lock(mutex_);
    const bool was_listed = inventory_.files.erase(name) > 0;
    if (was_listed && inventory_is_active_)
      if (Status status = save_inventory(); !status.ok()) return status;
  }
  return record_failure(files_.RemoveFile(path));
}

Status DurableEnvironment::RenameFile(const std::string& from, const std::string& to) {
  if (Status failure = first_failure(); !failure.ok()) return failure;
  Status status = files_.RenameFile(from, to);
  if (status.ok()) status = files_.sync_folder(folder_);
  return record_failure(status);
}

Status DurableEnvironment::LockFile(const std::string&, leveldb::FileLock** lock) {
  class GrantedLock : public leveldb::FileLock {};
  *lock = new GrantedLock;
  return Status::OK();
}

Status DurableEnvironment::UnlockFile(leveldb::FileLock* lock) {
  delete lock;
  return Status::OK();
}

}  // namespace robinpin::storage
