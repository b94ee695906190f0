// The record with which every write batch begins: it numbers the batches, so that a gap can be detected.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace robinpin::storage {

struct WriteSequence {
  static constexpr std::string_view key{"\0trove", 6};  // part of the format on disk
  static constexpr std::size_t encoded_size = 16;       // two little-endian 64-bit integers

  std::uint64_t number = 0;       // of this batch; the first is 1
  std::uint64_t last_synced = 0;  // the highest number known to be synced when this batch was written
};

std::string encode(const WriteSequence& sequence);
std::optional<WriteSequence> decode_write_sequence(std::string_view text);  // none: not of encoded_size

}  // namespace robinpin::storage
