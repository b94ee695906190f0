#include "write_sequence.h"

#include "little_endian.h"

namespace robinpin::storage {

std::string encode(const WriteSequence& sequence) {
  std::string text;
  append_little_endian(text, sequence.number);
  append_little_endian(text, sequence.last_synced);
  return text;
}

std::optional<WriteSequence> decode_write_sequence(std::string_view text) {
  if (text.size() != WriteSequence::encoded_size) return {};
  return WriteSequence{read_little_endian<std::uint64_t>(text, 0),
                       read_little_endian<std::uint64_t>(text, sizeof(std::uint64_t))};
}

}  // namespace robinpin::storage
