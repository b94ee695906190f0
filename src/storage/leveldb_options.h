// How this software opens and reads LevelDB's databases.
#pragma once

#include <leveldb/env.h>
#include <leveldb/options.h>

#include <cstddef>

namespace robinpin::storage {

leveldb::Options database_options(leveldb::Env* environment, std::size_t write_buffer_size);

// With checksums verified, and without the cache: each entry is read once, at the start.
leveldb::ReadOptions read_options();

}  // namespace robinpin::storage
