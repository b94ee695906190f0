#include "leveldb_store.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <boost/leaf/error.hpp>
#include <filesystem>
#include <optional>

#include "durable_environment.h"
#include "leveldb_errors.h"
#include "leveldb_options.h"
#include "write_sequence.h"

namespace robinpin::storage {

namespace {

namespace fs = std::filesystem;

leveldb::Slice write_sequence_key() { return {WriteSequence::key.data(), WriteSequence::key.size()}; }

class LevelDbStore : public KeyValueStore {
 public:
  // `last_write` is durable by now: opening has synced it.
  LevelDbStore(std::string folder, std::unique_ptr<DurableEnvironment> environment,
               std::unique_ptr<leveldb::DB> database, std::uint64_t last_write)
      : folder_(std::move(folder)),
        environment_(std::move(environment)),
        database_(std::move(database)),
        sequence_{last_write, last_write} {}

  ~LevelDbStore() override {
    database_.reset();
    environment_->finish_close();
  }

  result<void> write(const WriteBatch& batch, Durability durability) override {
    if (failure_) return boost::leaf::new_error(*failure_);
    const std::uint64_t number = sequence_.number + 1;
    leveldb::WriteBatch operations;
    operations.Put(write_sequence_key(), encode(WriteSequence{number, sequence_.last_synced}));
    for (const auto& [key, value] : batch.puts) operations.Put(key, value);
    for (const auto& key : batch.removals) operations.Delete(key);
    leveldb::WriteOptions options;
    options.sync = durability == Durability::synced;
    auto status = database_->Write(options, &operations);
    if (status.ok()) status = environment_->first_failure();
    if (!status.ok()) {
      failure_ = Error{Error::Step::sync, folder_, status.ToString()};
      return boost::leaf::new_error(*failure_);
    }
    sequence_.number = number;
    environment_->set_next_write_number(number + 1);
    if (durability == Durability::synced) sequence_.last_synced = number;
    return {};
  }

  result<std::vector<Entry>> read_all() override {
    std::vector<Entry> entries;
    const std::unique_ptr<leveldb::Iterator> iterator(database_->NewIterator(read_options()));
    for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next())
      if (iterator->key() != write_sequence_key())
        entries.emplace_back(iterator->key().ToString(), iterator->value().ToString());
    if (!iterator->status().ok()) return boost::leaf::new_error(read_error_of(folder_, iterator->status()));
    return entries;
  }

  result<std::uint64_t> size_on_disk() override {
    std::uint64_t total = 0;
    std::error_code folder_error;
    for (fs::directory_iterator entry(folder_, folder_error), end; !folder_error && entry != end;
         entry.increment(folder_error)) {
      std::error_code size_error;  // it may be gone since it was listed
      const auto size = entry->file_size(size_error);
      if (!size_error) total += size;
    }
    if (folder_error)
      return boost::leaf::new_error(Error{Error::Step::read, folder_, folder_error.message()});
    return total;
  }

 private:
  const std::string folder_;
  const std::unique_ptr<DurableEnvironment> environment_;  // outlives the database, which writes through it
  std::unique_ptr<leveldb::DB> database_;
  WriteSequence sequence_;        // of the last write
  std::optional<Error> failure_;  // final: the state on disk is unknown from then on
};

// The number of the last write that the database itself knows; 0: an empty store, or one from before writes
// were numbered.
result<std::uint64_t> read_last_write(leveldb::DB& database, const std::string& folder) {
  std::string text;
  const auto status = database.Get(read_options(), write_sequence_key(), &text);
  if (!status.ok() && !status.IsNotFound()) return boost::leaf::new_error(read_error_of(folder, status));
  const auto sequence = decode_write_sequence(text);
  return status.ok() && sequence ? sequence->number : 0;
}

result<std::unique_ptr<leveldb::DB>> open_database(const std::string& folder,
                                                   const leveldb::Options& options) {
  leveldb::DB* opened = nullptr;
  const auto status = leveldb::DB::Open(options, folder, &opened);
  if (!status.ok()) return boost::leaf::new_error(error_of(Error::Step::open, folder, status));
  return std::unique_ptr<leveldb::DB>(opened);
}

}  // namespace

result<std::unique_ptr<KeyValueStore>> open_leveldb_store(const std::string& folder, FileSystem& files,
                                                          std::size_t write_buffer_size) {
  const auto open_error = [&](const leveldb::Status& status) {
    return boost::leaf::new_error(error_of(Error::Step::open, folder, status));
  };
  auto environment = std::make_unique<DurableEnvironment>(files, folder);
  if (const auto status = environment->lock_folder(); !status.ok()) return open_error(status);

  const IntegrityReport report = check_integrity(folder);
  if (!report.faults.empty()) {
    const IntegrityFault& fault = report.faults.front();
    const auto step = fault.is_corruption ? Error::Step::corruption : Error::Step::open;
    return boost::leaf::new_error(Error{step, fault.file, fault.reason});
  }
  if (const auto status = environment->recover(report); !status.ok()) return open_error(status);

  auto options = database_options(environment.get(), write_buffer_size);
  options.create_if_missing = report.is_empty;
  BOOST_LEAF_AUTO(database, open_database(folder, options));
  BOOST_LEAF_AUTO(last_write, read_last_write(*database, folder));
  // The tables may be ahead of a log that LevelDB is about to remove, never behind the logs.
  if (report.last_write && *report.last_write > last_write)
    return boost::leaf::new_error(Error{Error::Step::corruption, folder,
                                        "ends at write " + std::to_string(last_write) +
                                            ", and its logs at write " + std::to_string(*report.last_write)});

  environment->set_next_write_number(last_write + 1);
  auto status = environment->finish_open();
  if (status.ok()) status = environment->first_failure();
  if (!status.ok()) return open_error(status);
  return std::unique_ptr<KeyValueStore>(
      new LevelDbStore(folder, std::move(environment), std::move(database), last_write));
}

result<std::unique_ptr<KeyValueStore>> open_leveldb_store(const std::string& folder) {
  return open_leveldb_store(folder, FileSystem::local());
}

}  // namespace robinpin::storage
