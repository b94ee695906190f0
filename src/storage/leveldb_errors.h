// LevelDB's statuses as errors of this module, with the file at fault.
#pragma once

#include <leveldb/status.h>

#include <string>

#include "error.h"

namespace robinpin::storage {

// Corruption is reported as Step::corruption whatever the step was.
Error error_of(Error::Step step, const std::string& folder, const leveldb::Status& status);

// The same for Step::read.
Error read_error_of(const std::string& folder, const leveldb::Status& status);

}  // namespace robinpin::storage
