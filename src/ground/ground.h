// What a process is told by its settings file, read by JSON pointers and checked as a whole.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "../trove/error.h"

namespace robinpin::ground {

struct Settings {
  std::string node, role, ip, zone, data_dir, application, target;
  std::map<std::string, std::string> ports;  // outbound, inbound, readiness, control
  std::uint16_t inner_port = 0;
  std::vector<std::string> seeds;
  std::map<std::string, std::string> zones;  // each with its region; none: not told
  bool first_start = false;
  std::int64_t beat_period = 1'500'000;  // microseconds, as are those below
  std::int64_t contact = 3'000'000, drain = 2'500'000, grace = 6'000'000, evacuate = 5'000'000;
  std::int64_t retry_window = 10'000'000;
  double retry_ratio = 0.2, retry_slack = 0;
  double warmup_overshoot = 1, warmup_slack = 0;
  double cpu_share = 1;
  double link_mbps = 0;  // 0: not told
  int memory_mb = 256, file_limit = 1024;
  bool operator==(const Settings&) const = default;
  // False only where zones are told and it is none of them.
  bool may_be_zone(const std::string& name) const {
    return zones.empty() || name == zone || zones.contains(name);
  }
};

// `core`: of a core machine, which has a disk and serves operators. Errors: every fault of the text, a line
// each with its pointer and the reason; at the step "parse" where it is no JSON, so perhaps half written.
trove::result<Settings> read(std::string_view text, bool core);
// Of the file that ROBINPIN_CONFIG names, or `path` where that is not empty. Errors: as above; at "open"
// where it can't be read.
trove::result<Settings> load(const std::string& path, bool core);
std::string path_told(const std::string& path);
// What a process that runs by `old` can't take on of `next`: the pointers of what only a new start does, none
// where it can take on all.
std::vector<std::string> needs_start(const Settings& old, const Settings& next);

}  // namespace robinpin::ground
