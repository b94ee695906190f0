#include "inspect.h"

#include <algorithm>
#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

namespace robinpin::trove {

namespace {

using Crc = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;  // CRC-32C

std::uint32_t crc_of(std::string_view bytes) {
  Crc crc;
  crc.process_bytes(bytes.data(), bytes.size());
  return crc.checksum();
}

template <typename T>
T number_at(std::string_view text, std::size_t at) {
  T x = 0;
  for (std::size_t i = 0; i < sizeof x; ++i) x |= T(T(static_cast<unsigned char>(text[at + i])) << (8 * i));
  return x;
}
void add_number(std::string& text, std::uint64_t x) {
  for (int i = 0; i < 8; ++i) text += char(x >> (8 * i) & 0xff);
}

// LevelDB's log format (its doc/log_format.md), used by logs and manifests: blocks of 32 KiB, in them records
// with a checksum, a length and a kind: whole, first, middle, last.
constexpr std::size_t block = 32'768, header = 7;
enum kind : unsigned char { whole = 1, first = 2, middle = 3, last = 4 };

// The record at `at`, or none if it is torn.
std::optional<std::string_view> record_at(std::string_view log, std::size_t at) {
  const std::size_t left = block - at % block;
  if (left < header || at + header > log.size()) return {};
  const std::size_t length = number_at<std::uint16_t>(log, at + 4);
  const auto is = static_cast<unsigned char>(log[at + 6]);
  if (is < whole || is > last || header + length > left || at + header + length > log.size()) return {};
  const std::uint32_t crc = crc_of(log.substr(at + 6, 1 + length));
  if (((crc >> 15 | crc << 17) + 0xa282ead8u) != number_at<std::uint32_t>(log, at)) return {};
  return log.substr(at + header, length);
}

// A batch of LevelDB's (its write_batch.cc) begins with its sequence and count, 12 bytes; then, here, the
// mark.
constexpr std::size_t batch_head = 12;
const std::string& mark_head() {
  static const std::string text = [] {
    std::string t = "\x01";  // a put
    t += char(Mark::name.size());
    t += Mark::name;
    t += char(16);
    return t;
  }();
  return text;
}
std::optional<Mark> mark_in(std::string_view batch) {
  const std::string& head = mark_head();
  if (batch.size() < batch_head + head.size() + 16 || batch.substr(batch_head, head.size()) != head)
    return {};
  return read_mark(batch.substr(batch_head + head.size(), 16));
}

struct Scan {
  std::size_t good = 0;              // up to here whole batches stand
  std::vector<std::string> batches;  // their beginnings
};
Scan scan(std::string_view log) {
  Scan s;
  std::string batch;
  bool open = false;
  for (std::size_t at = 0; at < log.size();) {
    if (block - at % block < header) {  // filled up with zeros
      at += block - at % block;
      continue;
    }
    const auto record = record_at(log, at);
    if (!record) break;
    const auto is = static_cast<unsigned char>(log[at + 6]);
    if (open != (is == middle || is == last)) break;
    if (!open) batch.clear();
    batch += record->substr(
        0, std::min<std::size_t>(record->size(), 64 - std::min<std::size_t>(64, batch.size())));
    open = is == first || is == middle;
    at += header + record->size();
    if (!open) s.good = at, s.batches.push_back(batch);
  }
  return s;
}

// Up to which put all were synced, by what stands whole from `from` on, behind something torn.
std::optional<Mark> mark_behind(std::string_view log, std::size_t from) {
  std::optional<Mark> most;
  const std::string& head = mark_head();
  for (std::size_t at = from; (at = log.find(head, at)) != std::string_view::npos; ++at) {
    if (at < from + batch_head + header) continue;
    const auto record = record_at(log, at - batch_head - header);
    if (!record) continue;
    const auto mark = mark_in(*record);
    if (mark && (!most || mark->synced > most->synced)) most = mark;
  }
  return most;
}

std::optional<std::string> text_of(const std::filesystem::path& file) {
  std::ifstream in(file, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) return {};
  return text;
}

std::uint64_t number_of(const std::string& file) {  // 000012.log, MANIFEST-000012
  std::uint64_t n = 0;
  const std::size_t at = file.starts_with("MANIFEST-") ? 9 : 0;
  std::from_chars(file.data() + at, file.data() + file.size(), n);
  return n;
}
bool is_log(const std::string& file) { return file.ends_with(".log"); }
bool is_manifest(const std::string& file) { return file.starts_with("MANIFEST-"); }

class Inspector {
 public:
  explicit Inspector(const std::string& folder) : folder_(folder) {}

  Findings run() {
    list();
    read_inventories();
    for (const auto& [name, size] : there_)
      if (name.ends_with(".ldb") || name.ends_with(".sst") || (is_log(name) && size > 0)) f_.empty = false;
    if (f_.inventory) {
      f_.empty = false;
      for (const auto& [name, file] : f_.inventory->files) {
        const auto at = there_.find(name);
        if (at == there_.end())
          bad(name, "is missing");
        else if (at->second < file.size)
          bad(name, "holds " + std::to_string(at->second) + " bytes, and " + std::to_string(file.size) +
                        " were synced");
      }
    }
    manifest();
    logs();
    return std::move(f_);
  }

 private:
  void bad(const std::string& name, const std::string& why, bool lost = true) {
    f_.damage.push_back({(folder_ / name).string(), why, lost});
  }

  void list() {
    std::error_code wrong;
    for (std::filesystem::directory_iterator it(folder_, wrong), end; !wrong && it != end;
         it.increment(wrong)) {
      std::error_code gone;
      const auto size = it->file_size(gone);
      if (gone) continue;
      there_[it->path().filename().string()] = size;
      f_.bytes += size;
    }
    if (wrong) f_.damage.push_back({folder_.string(), wrong.message(), false});
  }
  void read_inventories() {
    std::string torn;
    for (const char* name : inventory_names) {
      if (!there_.contains(name)) continue;
      const auto text = text_of(folder_ / name);
      auto one = text ? read_inventory(*text) : std::nullopt;
      if (!one)
        torn = name;
      else if (!f_.inventory || one->turn > f_.inventory->turn)
        f_.inventory = std::move(one);
    }
    // Both are there before the first put: one alone, and torn, is of a store that was never whole.
    if (!f_.inventory && there_.contains(inventory_names[0]) && there_.contains(inventory_names[1]))
      bad(torn, "can't be read, nor can the other");
  }

  void manifest() {
    const bool listed = f_.inventory.has_value();
    std::string name;
    if (const auto text = there_.contains("CURRENT") ? text_of(folder_ / "CURRENT") : std::nullopt) {
      name = text->substr(0, text->find('\n'));
      if (!is_manifest(name) || name + "\n" != *text) return bad("CURRENT", "names no manifest");
      if (!there_.contains(name)) return bad("CURRENT", "names " + name + ", which is missing");
    } else if (listed) {  // lost in its renaming: the newest manifest was whole by then
      for (const auto& [n, file] : f_.inventory->files)
        if (is_manifest(n) && there_.contains(n) && number_of(n) >= number_of(name)) name = n;
      if (name.empty()) return bad("CURRENT", "is missing");
      f_.current = name;
    } else if (!f_.empty) {
      return bad("CURRENT", "is missing");
    } else {
      return;
    }
    const auto text = text_of(folder_ / name);
    if (!text) return bad(name, "can't be read", false);
    const std::size_t good = scan(*text).good;
    std::uint64_t synced = 0;
    if (listed)
      if (const auto at = f_.inventory->files.find(name); at != f_.inventory->files.end())
        synced = at->second.size;
    if (good < synced)
      bad(name, "is damaged at byte " + std::to_string(good) + " of " + std::to_string(synced) + " synced");
    else if (good == 0)
      bad(name, "is damaged at its beginning");
    else if (good < text->size())
      f_.torn[name] = good;
  }

  void logs() {
    std::vector<std::string> names;
    if (f_.inventory) {
      for (const auto& [name, file] : f_.inventory->files)
        if (is_log(name)) names.push_back(name);
    } else {
      for (const auto& [name, size] : there_)
        if (is_log(name)) names.push_back(name);
    }
    std::sort(names.begin(), names.end(),
              [](const auto& a, const auto& b) { return number_of(a) < number_of(b); });
    std::string torn;  // the first that is, and where from
    std::uint64_t torn_at = 0;
    for (const std::string& name : names) {
      const auto text = there_.contains(name) ? text_of(folder_ / name) : std::nullopt;
      if (!text) {
        if (there_.contains(name)) bad(name, "can't be read", false);
        return;  // its lack is told
      }
      const Inventory::File file = f_.inventory ? f_.inventory->files.at(name) : Inventory::File();
      const Scan s = scan(*text);
      if (s.good < file.size) return bad(name, told(s.good) + " of " + std::to_string(file.size) + " synced");
      if (!torn.empty()) {  // a log is synced whole before anything is written to the next
        if (!s.batches.empty() || mark_behind(*text, 0))
          return bad(torn, told(torn_at) + ", and " + name + " goes on");
        if (!text->empty()) f_.torn[name] = 0;
        continue;
      }
      if (file.first != 0 && !s.batches.empty() && f_.last && *f_.last + 1 != file.first)
        return bad(name, "begins at put " + std::to_string(file.first) + ", and those before it end at " +
                             std::to_string(*f_.last));
      if (file.first != 0 && !f_.last) f_.last = file.first - 1;
      for (const std::string& batch : s.batches) {
        const auto mark = mark_in(batch);
        if (!mark) continue;  // from before there were any
        if (f_.last && mark->number != *f_.last + 1)
          return bad(name,
                     "has put " + std::to_string(mark->number) + " behind put " + std::to_string(*f_.last));
        f_.last = mark->number;
      }
      if (s.good == text->size()) continue;
      if (const auto behind = mark_behind(*text, s.good); behind && (!f_.last || behind->synced > *f_.last))
        return bad(name, told(s.good) + ", before puts that were synced");
      f_.torn[name] = s.good;
      if (f_.inventory) torn = name, torn_at = s.good;  // else it may be one that LevelDB has let go of
    }
  }
  static std::string told(std::uint64_t at) { return "is damaged at byte " + std::to_string(at); }

  std::filesystem::path folder_;
  std::map<std::string, std::uint64_t> there_;
  Findings f_;
};

}  // namespace

std::string written(const Inventory& inventory) {
  std::string text = "turn " + std::to_string(inventory.turn) + "\n";
  for (const auto& [name, file] : inventory.files)
    text += name + " " + std::to_string(file.size) + " " + std::to_string(file.first) + "\n";
  return text + "end " + std::to_string(crc_of(text)) + "\n";
}

std::optional<Inventory> read_inventory(std::string_view text) {
  const std::size_t end = text.rfind("end ");
  if (end == std::string_view::npos ||
      text.substr(end) != "end " + std::to_string(crc_of(text.substr(0, end))) + "\n")
    return {};
  Inventory all;
  std::istringstream in{std::string(text.substr(0, end))};
  std::string name;
  if (!(in >> name >> all.turn) || name != "turn") return {};
  for (Inventory::File file; in >> name >> file.size >> file.first;) all.files[name] = file;
  return all;
}

std::string written(const Mark& mark) {
  std::string text;
  add_number(text, mark.number);
  add_number(text, mark.synced);
  return text;
}

std::optional<Mark> read_mark(std::string_view text) {
  if (text.size() != 16) return {};
  return Mark{number_at<std::uint64_t>(text, 0), number_at<std::uint64_t>(text, 8)};
}

Findings inspect(const std::string& folder) { return Inspector(folder).run(); }

}  // namespace robinpin::trove
