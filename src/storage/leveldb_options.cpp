#include "leveldb_options.h"

#include <cstdarg>

namespace robinpin::storage {

namespace {

constexpr int open_file_limit = 64;

// LevelDB's own log file would grow without a bound.
class DiscardingLogger : public leveldb::Logger {
  void Logv(const char*, std::va_list) override {}
};

}  // namespace

leveldb::Options database_options(leveldb::Env* environment, std::size_t write_buffer_size) {
  static DiscardingLogger logger;
  leveldb::Options options;
  options.env = environment;
  options.info_log = &logger;
  options.paranoid_checks = true;
  options.write_buffer_size = write_buffer_size;
  options.max_open_files = open_file_limit;
  return options;
}

leveldb::ReadOptions read_options() {
  leveldb::ReadOptions options;
  options.verify_checksums = true;
  options.fill_cache = false;
  return options;
}

}  // namespace robinpin::storage
