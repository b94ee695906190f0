#include "inventory.h"

#include <sstream>

#include "checksum.h"

namespace robinpin::storage {

namespace {

constexpr const char* revision_keyword = "turn";  // both are part of the format on disk
constexpr std::string_view checksum_keyword = "end ";

std::string checksum_line(std::string_view body) {
  return std::string(checksum_keyword) + std::to_string(crc32c(body)) + "\n";
}

}  // namespace

std::string encode(const Inventory& inventory) {
  std::string text = std::string(revision_keyword) + " " + std::to_string(inventory.revision) + "\n";
  for (const auto& [name, file] : inventory.files)
    text +=
        name + " " + std::to_string(file.synced_size) + " " + std::to_string(file.first_write_number) + "\n";
  return text + checksum_line(text);
}

std::optional<Inventory> decode_inventory(std::string_view text) {
  const std::size_t body_size = text.rfind(checksum_keyword);
  if (body_size == std::string_view::npos) return {};
  const std::string_view body = text.substr(0, body_size);
  if (text.substr(body_size) != checksum_line(body)) return {};

  Inventory inventory;
  std::istringstream in{std::string(body)};
  std::string name;
  if (!(in >> name >> inventory.revision) || name != revision_keyword) return {};
  for (Inventory::File file; in >> name >> file.synced_size >> file.first_write_number;)
    inventory.files[name] = file;
  return inventory;
}

}  // namespace robinpin::storage
