#include "integrity_check.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "file_names.h"
#include "leveldb_log.h"

namespace robinpin::storage {

namespace {

namespace fs = std::filesystem;

std::optional<std::string> read_file(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) return {};
  return text;
}

std::string corrupted_at(std::uint64_t offset) { return "is corrupted at byte " + std::to_string(offset); }

// Reads the logs of one store in their order and follows the numbers of the writes through them.
class LogChecker {
 public:
  LogChecker(const std::optional<Inventory>& inventory, std::map<std::string, std::uint64_t>& torn_files)
      : inventory_(inventory), torn_files_(torn_files) {}

  struct Fault {
    std::string file_name, reason;
  };

  // None: the log is good, or its end is torn as a loss of power explains.
  std::optional<Fault> check(const std::string& name, std::string_view text) {
    const Inventory::File listed = inventory_ ? inventory_->files.at(name) : Inventory::File();
    const LogScan scan = scan_log(text);
    if (scan.valid_size < listed.synced_size)
      return Fault{name,
                   corrupted_at(scan.valid_size) + " of " + std::to_string(listed.synced_size) + " synced"};
    if (!torn_log_.empty()) return check_after_torn_log(name, text, scan);
    if (auto fault = follow_writes(name, listed, scan)) return fault;
    if (scan.valid_size == text.size()) return {};
    return check_torn_end(name, text, scan);
  }

  const std::optional<std::uint64_t>& last_write() const { return last_write_; }

 private:
  // A log is synced completely before anything is written to the next one.
  std::optional<Fault> check_after_torn_log(const std::string& name, std::string_view text,
                                            const LogScan& scan) {
    if (!scan.entry_prefixes.empty() || latest_write_sequence_after(text, 0))
      return Fault{torn_log_, corrupted_at(torn_offset_) + ", and " + name + " has later writes"};
    if (!text.empty()) torn_files_[name] = 0;
    return {};
  }

  std::optional<Fault> follow_writes(const std::string& name, const Inventory::File& listed,
                                     const LogScan& scan) {
    const std::uint64_t first_write = listed.first_write_number;  // 0: not known
    if (first_write != 0 && !scan.entry_prefixes.empty() && last_write_ && *last_write_ + 1 != first_write)
      return Fault{name, "begins at write " + std::to_string(first_write) + ", and those before it end at " +
                             std::to_string(*last_write_)};
    if (first_write != 0 && !last_write_) last_write_ = first_write - 1;
    for (const std::string& entry : scan.entry_prefixes) {
      const auto sequence = write_sequence_of(entry);
      if (!sequence) continue;  // from an older store
      if (last_write_ && sequence->number != *last_write_ + 1)
        return Fault{name, "has write " + std::to_string(sequence->number) + " after write " +
                               std::to_string(*last_write_)};
      last_write_ = sequence->number;
    }
    return {};
  }

  std::optional<Fault> check_torn_end(const std::string& name, std::string_view text, const LogScan& scan) {
    const auto later = latest_write_sequence_after(text, scan.valid_size);
    if (later && (!last_write_ || later->last_synced > *last_write_))
      return Fault{name, corrupted_at(scan.valid_size) + ", before writes that were synced"};
    torn_files_[name] = scan.valid_size;
    if (!inventory_) return {};  // it may be one that LevelDB no longer needs
    torn_log_ = name;
    torn_offset_ = scan.valid_size;
    return {};
  }

  const std::optional<Inventory>& inventory_;
  std::map<std::string, std::uint64_t>& torn_files_;
  std::string torn_log_;  // the first one whose end is torn
  std::uint64_t torn_offset_ = 0;
  std::optional<std::uint64_t> last_write_;
};

class IntegrityChecker {
 public:
  explicit IntegrityChecker(const std::string& folder) : folder_(folder) {}

  IntegrityReport run() {
    read_folder();
    read_inventories();
    detect_content();
    check_listed_files();
    check_manifest();
    check_logs();
    return std::move(report_);
  }

 private:
  bool exists(const std::string& name) const { return file_sizes_.contains(name); }
  std::optional<std::string> read_if_exists(const std::string& name) const {
    return exists(name) ? read_file(folder_ / name) : std::nullopt;
  }
  void add_corruption(const std::string& name, const std::string& reason) {
    report_.faults.push_back({(folder_ / name).string(), reason, true});
  }
  void add_unreadable(const std::string& name) {
    report_.faults.push_back({(folder_ / name).string(), "cannot be read", false});
  }

  void read_folder() {
    std::error_code folder_error;
    for (fs::directory_iterator entry(folder_, folder_error), end; !folder_error && entry != end;
         entry.increment(folder_error)) {
      std::error_code size_error;  // it may be gone since it was listed
      const auto size = entry->file_size(size_error);
      if (size_error) continue;
      file_sizes_[entry->path().filename().string()] = size;
      report_.size_on_disk += size;
    }
    if (folder_error) report_.faults.push_back({folder_.string(), folder_error.message(), false});
  }

  void read_inventories() {
    std::string unreadable;
    for (const char* name : inventory_file_names) {
      if (!exists(name)) continue;
      const auto text = read_file(folder_ / name);
      auto inventory = text ? decode_inventory(*text) : std::nullopt;
      if (!inventory)
        unreadable = name;
      else if (!report_.inventory || inventory->revision > report_.inventory->revision)
        report_.inventory = std::move(inventory);
    }
    // Both exist before the first write: a single torn one means that creating the store did not finish.
    const bool both_exist = exists(inventory_file_names[0]) && exists(inventory_file_names[1]);
    if (!report_.inventory && both_exist)
      add_corruption(unreadable, "cannot be read, nor can the other copy");
  }

  void detect_content() {
    if (report_.inventory) report_.is_empty = false;
    for (const auto& [name, size] : file_sizes_)
      if (is_table(name) || (is_log(name) && size > 0)) report_.is_empty = false;
  }

  void check_listed_files() {
    if (!report_.inventory) return;
    for (const auto& [name, listed] : report_.inventory->files) {
      const auto found = file_sizes_.find(name);
      if (found == file_sizes_.end())
        add_corruption(name, "is missing");
      else if (found->second < listed.synced_size)
        add_corruption(name, "has " + std::to_string(found->second) + " bytes, and " +
                                 std::to_string(listed.synced_size) + " were synced");
    }
  }

  // The manifest in force. None: the store is empty, or CURRENT is corrupted, which is then in the report.
  std::optional<std::string> find_manifest() {
    if (const auto text = read_if_exists(current_file_name)) return manifest_named_by(*text);
    if (report_.inventory) return manifest_of_lost_current();
    if (!report_.is_empty) add_corruption(current_file_name, "is missing");
    return {};
  }

  std::optional<std::string> manifest_named_by(const std::string& current) {
    const std::string name = current.substr(0, current.find('\n'));
    if (!is_manifest(name) || name + "\n" != current) {
      add_corruption(current_file_name, "names no manifest");
      return {};
    }
    if (!exists(name)) {
      add_corruption(current_file_name, "names " + name + ", which is missing");
      return {};
    }
    return name;
  }

  // A loss of power during its renaming may take CURRENT. The newest manifest was complete by then.
  std::optional<std::string> manifest_of_lost_current() {
    std::string newest;
    for (const auto& [name, listed] : report_.inventory->files)
      if (is_manifest(name) && exists(name) && file_number(name) >= file_number(newest)) newest = name;
    if (newest.empty()) {
      add_corruption(current_file_name, "is missing");
      return {};
    }
    report_.lost_current = newest;
    return newest;
  }

  std::uint64_t synced_size_of(const std::string& name) const {
    if (!report_.inventory) return 0;
    const auto listed = report_.inventory->files.find(name);
    return listed == report_.inventory->files.end() ? 0 : listed->second.synced_size;
  }

  void check_manifest() {
    const auto name = find_manifest();
    if (!name) return;
    const auto text = read_file(folder_ / *name);
    if (!text) return add_unreadable(*name);
    const std::size_t valid_size = scan_log(*text).valid_size;
    const std::uint64_t synced_size = synced_size_of(*name);
    if (valid_size < synced_size)
      add_corruption(*name, corrupted_at(valid_size) + " of " + std::to_string(synced_size) + " synced");
    else if (valid_size == 0)
      add_corruption(*name, "is corrupted at its beginning");
    else if (valid_size < text->size())
      report_.torn_files[*name] = valid_size;
  }

  std::vector<std::string> log_names_in_order() const {
    std::vector<std::string> names;
    if (report_.inventory) {
      for (const auto& [name, listed] : report_.inventory->files)
        if (is_log(name)) names.push_back(name);
    } else {
      for (const auto& [name, size] : file_sizes_)
        if (is_log(name)) names.push_back(name);
    }
    std::sort(names.begin(), names.end(),
              [](const auto& left, const auto& right) { return file_number(left) < file_number(right); });
    return names;
  }

  void check_logs() {
    LogChecker checker(report_.inventory, report_.torn_files);
    for (const std::string& name : log_names_in_order()) {
      const auto text = read_if_exists(name);
      if (!text) {
        if (exists(name)) add_unreadable(name);
        break;  // a missing one is in the report already
      }
      if (const auto fault = checker.check(name, *text)) {
        add_corruption(fault->file_name, fault->reason);
        break;
      }
    }
    report_.last_write = checker.last_write();
  }

  const fs::path folder_;
  std::map<std::string, std::uint64_t> file_sizes_;  // by name
  IntegrityReport report_;
};

}  // namespace

IntegrityReport check_integrity(const std::string& folder) { return IntegrityChecker(folder).run(); }

}  // namespace robinpin::storage
