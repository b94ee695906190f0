#include "leveldb_errors.h"

#include <leveldb/env.h>
#include <leveldb/iterator.h>
#include <leveldb/table.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <memory>

#include "leveldb_options.h"

namespace robinpin::storage {

namespace {

namespace fs = std::filesystem;

bool is_table_intact(const fs::directory_entry& entry) {
  const std::string path = entry.path().string();
  std::error_code error;
  if (fs::file_size(path, error) == 0) return false;
  leveldb::RandomAccessFile* opened_file = nullptr;
  if (!leveldb::Env::Default()->NewRandomAccessFile(path, &opened_file).ok()) return false;
  const std::unique_ptr<leveldb::RandomAccessFile> file(opened_file);
  leveldb::Options options;
  options.paranoid_checks = true;
  leveldb::Table* opened_table = nullptr;
  if (!leveldb::Table::Open(options, opened_file, entry.file_size(), &opened_table).ok()) return false;
  const std::unique_ptr<leveldb::Table> table(opened_table);
  const std::unique_ptr<leveldb::Iterator> iterator(table->NewIterator(read_options()));
  iterator->SeekToFirst();
  while (iterator->Valid()) iterator->Next();
  return iterator->status().ok();
}

// LevelDB reports a corrupted table without its name. The folder itself if no table is found to be corrupted.
std::string find_corrupted_table(const std::string& folder) {
  std::error_code error;
  for (const auto& entry : fs::directory_iterator(folder, error))
    if (entry.path().extension() == ".ldb" && !is_table_intact(entry)) return entry.path().string();
  return folder;
}

}  // namespace

Error error_of(Error::Step step, const std::string& folder, const leveldb::Status& status) {
  if (status.IsCorruption())
    return {Error::Step::corruption, find_corrupted_table(folder), status.ToString()};
  return {step, folder, status.ToString()};
}

Error read_error_of(const std::string& folder, const leveldb::Status& status) {
  // LevelDB reads, or maps, beyond the end of a table that is too short.
  if (status.IsIOError() && status.ToString().ends_with(std::strerror(EINVAL)))
    return {Error::Step::corruption, find_corrupted_table(folder), "is too short"};
  return error_of(Error::Step::read, folder, status);
}

}  // namespace robinpin::storage
