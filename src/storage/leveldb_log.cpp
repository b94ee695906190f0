#include "leveldb_log.h"

#include <algorithm>
#include <cstdint>

#include "checksum.h"
#include "little_endian.h"

namespace robinpin::storage {

namespace {

// A log is a sequence of blocks. Records do not cross blocks; an entry is one record or several.
constexpr std::size_t block_size = 32'768;
constexpr std::size_t length_offset = 4;  // in a record: checksum, length, type, payload
constexpr std::size_t type_offset = 6;
constexpr std::size_t record_header_size = 7;
constexpr std::uint32_t checksum_mask_delta = 0xa282ead8u;

enum RecordType : unsigned char { full = 1, first = 2, middle = 3, last = 4 };

// Enough of an entry to hold its batch header and write sequence.
constexpr std::size_t entry_prefix_size = 64;

// LevelDB's batch header (its write_batch.cc): a sequence number and a count.
constexpr std::size_t batch_header_size = 12;
constexpr char put_operation = 1;

std::uint32_t masked_checksum(std::string_view bytes) {
  const std::uint32_t checksum = crc32c(bytes);
  return (checksum >> 15 | checksum << 17) + checksum_mask_delta;
}

RecordType record_type_at(std::string_view log, std::size_t offset) {
  return RecordType(static_cast<unsigned char>(log[offset + type_offset]));
}

// The payload of the record at `offset`. None: it is torn or corrupted.
std::optional<std::string_view> record_at(std::string_view log, std::size_t offset) {
  const std::size_t left_in_block = block_size - offset % block_size;
  if (left_in_block < record_header_size || offset + record_header_size > log.size()) return {};
  const std::size_t length = read_little_endian<std::uint16_t>(log, offset + length_offset);
  const RecordType type = record_type_at(log, offset);
  if (type < full || type > last) return {};
  const std::size_t record_size = record_header_size + length;
  if (record_size > left_in_block || offset + record_size > log.size()) return {};
  const std::uint32_t checksum = masked_checksum(log.substr(offset + type_offset, 1 + length));
  if (checksum != read_little_endian<std::uint32_t>(log, offset)) return {};
  return log.substr(offset + record_header_size, length);
}

// How LevelDB encodes the put of the write sequence, up to its value.
const std::string& write_sequence_prefix() {
  static const std::string prefix = [] {
    std::string text(1, put_operation);
    text += char(WriteSequence::key.size());
    text += WriteSequence::key;
    text += char(WriteSequence::encoded_size);
    return text;
  }();
  return prefix;
}

void append_prefix(std::string& prefix, std::string_view payload) {
  const std::size_t missing = entry_prefix_size - std::min(entry_prefix_size, prefix.size());
  prefix += payload.substr(0, missing);
}

}  // namespace

LogScan scan_log(std::string_view log) {
  LogScan scan;
  std::string prefix;
  bool inside_entry = false;
  for (std::size_t offset = 0; offset < log.size();) {
    const std::size_t left_in_block = block_size - offset % block_size;
    if (left_in_block < record_header_size) {  // filled with zeros
      offset += left_in_block;
      continue;
    }
    const auto payload = record_at(log, offset);
    if (!payload) break;
    const RecordType type = record_type_at(log, offset);
    const bool continues_entry = type == middle || type == last;
    if (inside_entry != continues_entry) break;
    if (!inside_entry) prefix.clear();
    append_prefix(prefix, *payload);
    inside_entry = type == first || type == middle;
    offset += record_header_size + payload->size();
    if (inside_entry) continue;
    scan.valid_size = offset;
    scan.entry_prefixes.push_back(prefix);
  }
  return scan;
}

std::optional<WriteSequence> write_sequence_of(std::string_view entry) {
  const std::string& prefix = write_sequence_prefix();
  if (entry.size() < batch_header_size + prefix.size() + WriteSequence::encoded_size) return {};
  if (entry.substr(batch_header_size, prefix.size()) != prefix) return {};
  return decode_write_sequence(entry.substr(batch_header_size + prefix.size(), WriteSequence::encoded_size));
}

std::optional<WriteSequence> latest_write_sequence_after(std::string_view log, std::size_t offset) {
  constexpr std::size_t headers_size = batch_header_size + record_header_size;
  const std::string& prefix = write_sequence_prefix();
  std::optional<WriteSequence> latest;
  std::size_t found = log.find(prefix, offset);
  for (; found != std::string_view::npos; found = log.find(prefix, found + 1)) {
    if (found < offset + headers_size) continue;
    const auto payload = record_at(log, found - headers_size);
    if (!payload) continue;
    const auto sequence = write_sequence_of(*payload);
    if (sequence && (!latest || sequence->last_synced > latest->last_synced)) latest = sequence;
  }
  return latest;
}

}  // namespace robinpin::storage
