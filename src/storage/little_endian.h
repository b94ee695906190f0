// Little-endian integers in byte strings.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace robinpin::storage {

inline constexpr int bits_per_byte = 8;

// The integer at `offset`. The text has to hold all of its bytes.
template <typename Integer>
Integer read_little_endian(std::string_view text, std::size_t offset) {
  Integer value = 0;
  for (std::size_t i = 0; i < sizeof value; ++i) {
    const auto byte = static_cast<unsigned char>(text[offset + i]);
    value |= Integer(Integer(byte) << (bits_per_byte * i));
  }
  return value;
}

inline void append_little_endian(std::string& text, std::uint64_t value) {
  for (std::size_t i = 0; i < sizeof value; ++i) text += char(value >> (bits_per_byte * i) & 0xff);
}

}  // namespace robinpin::storage
