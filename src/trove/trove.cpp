#include "trove.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <boost/leaf/error.hpp>
#include <filesystem>
#include <optional>

namespace robinpin::trove {

namespace {

class Level : public Trove {
 public:
  Level(std::string folder, std::unique_ptr<leveldb::DB> db) : folder_(std::move(folder)), db_(std::move(db)) {}

  result<void> put(const Batch& batch, lasting how) override {
    if (failed_) return boost::leaf::new_error(*failed_);
    leveldb::WriteBatch writes;
    for (const auto& [k, v] : batch.put) writes.Put(k, v);
    for (const auto& k : batch.drop) writes.Delete(k);
    leveldb::WriteOptions options;
    options.sync = how == lasting::synced;
    if (const auto s = db_->Write(options, &writes); !s.ok()) return boost::leaf::new_error(*(failed_ = Trouble{"sync", folder_, s.ToString()}));
    return {};
  }

  result<std::vector<Pair>> all() override {
    std::vector<Pair> found;
    leveldb::ReadOptions checked;
    checked.verify_checksums = true;
    const std::unique_ptr<leveldb::Iterator> it(db_->NewIterator(checked));
    for (it->SeekToFirst(); it->Valid(); it->Next()) found.emplace_back(it->key().ToString(), it->value().ToString());
    if (!it->status().ok()) return boost::leaf::new_error(Trouble{"read", folder_, it->status().ToString()});
    return found;
  }

  result<std::uint64_t> bytes() override {
    std::uint64_t sum = 0;
    std::error_code wrong;
    for (std::filesystem::directory_iterator it(folder_, wrong), end; !wrong && it != end; it.increment(wrong)) {
      std::error_code gone;  // since it was listed
      if (const auto size = it->file_size(gone); !gone) sum += size;
    }
    if (wrong) return boost::leaf::new_error(Trouble{"read", folder_, wrong.message()});
    return sum;
  }

 private:
  std::string folder_;
  std::unique_ptr<leveldb::DB> db_;
  std::optional<Trouble> failed_;  // final: what is on disk is not known any more
};

}  // namespace

result<std::unique_ptr<Trove>> open(const std::string& folder) {
  std::error_code wrong;
  std::filesystem::create_directories(folder, wrong);
  leveldb::Options options;
  options.create_if_missing = true;
  options.write_buffer_size = 1 << 20;
  options.max_open_files = 64;
  leveldb::DB* db = nullptr;
  if (const auto s = leveldb::DB::Open(options, folder, &db); !s.ok()) return boost::leaf::new_error(Trouble{"open", folder, s.ToString()});
  return std::unique_ptr<Trove>(new Level(folder, std::unique_ptr<leveldb::DB>(db)));
}

}  // namespace robinpin::trove
