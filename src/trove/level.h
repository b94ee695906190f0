// A trove on other files than this machine's, for tests.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "files.h"
#include "trove.h"

namespace robinpin::trove {

inline constexpr std::size_t write_buffer =
    1 << 20;  // bytes: a log grows to about that, and is then made a table
result<std::unique_ptr<Trove>> open(const std::string& folder, Files& files,
                                    std::size_t buffer = write_buffer);

}  // namespace robinpin::trove
