#include "trove.h"

#include <leveldb/db.h>
#include <leveldb/write_batch.h>

#include <boost/leaf/error.hpp>
#include <filesystem>

namespace robinpin::trove {

namespace {

class Level : public Trove {
 public:
  Level(std::string folder, std::unique_ptr<leveldb::DB> db) : folder_(std::move(folder)), db_(std::move(db)) {}

  result<void> put(const std::vector<Pair>& pairs) override {
    leveldb::WriteBatch batch;
    for (const auto& [k, v] : pairs) batch.Put(k, v);
    leveldb::WriteOptions synced;
    synced.sync = true;
    if (const auto s = db_->Write(synced, &batch); !s.ok()) return boost::leaf::new_error(Trouble{"sync", folder_, s.ToString()});
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

 private:
  std::string folder_;
  std::unique_ptr<leveldb::DB> db_;
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
