// CRC-32C, the checksum of LevelDB's files and of the inventory.
#pragma once

#include <cstdint>
#include <string_view>

namespace robinpin::storage {

std::uint32_t crc32c(std::string_view bytes);

}  // namespace robinpin::storage
