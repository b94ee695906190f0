// The settings that a process of the mesh is started with, and may be given anew while it runs.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "../storage/error.h"

namespace robinpin::bootstrap {

// What kind of machine a process runs on: it decides which settings are required.
enum class MachineKind {
  server,  // beside an application server: the sidecar
  core,    // has a disk and serves operators: the control plane
};

// The key of each field in the file is named where it differs from the field. Times are in microseconds.
struct Settings {
  std::string node;
  std::string role;
  std::string ip;           // numeric IPv4
  std::string zone;         // of this machine
  std::string data_dir;     // core only
  std::string application;  // server only: "address:port" of the application server
  std::string target;       // server only: the service that the application server belongs to

  std::map<std::string, std::string> ports;  // outbound, inbound, readiness, control: "address:port" each
  std::uint16_t internal_port = 0;           // first of "inner_ports": datagrams among the mesh's processes
  std::vector<std::string> seed_nodes;       // "address:port" each
  std::map<std::string, std::string> zones;  // zone to region; empty: the file names none
  bool first_start = false;                  // this core may found a new cluster

  std::int64_t heartbeat_period = 1'500'000;    // "beat_period"; of the application server
  std::int64_t contact_timeout = 3'000'000;     // "envelope/contact"; connected this long: in contact
  std::int64_t drain_timeout = 2'500'000;       // "envelope/drain"
  std::int64_t grace_period = 6'000'000;        // "envelope/grace_period"; from a stop signal to the exit
  std::int64_t evacuation_timeout = 5'000'000;  // "envelope/evacuate"
  std::int64_t retry_window = 10'000'000;       // "envelope/retry_window"; over which retries are counted
  double retry_ratio = 0.2;                     // "envelope/retry_ratio"; retries per request in a window
  double retry_slack = 0;                       // "envelope/retry_slack"; retries beyond the ratio
  double warmup_overshoot = 1;                  // "envelope/warmup_overshoot"; factor on a slow start's rate
  double warmup_slack = 0;                      // "envelope/warmup_slack"; requests beyond it

  double cpu_share = 1;   // "saturation/cpu_share"
  double link_mbps = 0;   // "saturation/link_mbps"; megabits per second; 0: not known
  int memory_mb = 256;    // "saturation/memory_mb"
  int file_limit = 1024;  // "saturation/file_limit"; open descriptors

  bool operator==(const Settings&) const = default;

  // False only if the file names zones and this is none of them.
  bool may_be_zone(const std::string& name) const {
    return zones.empty() || name == zone || zones.contains(name);
  }
};

// Reads the JSON text of a settings file; unknown keys are ignored. Errors: Step::parse, the text is no JSON,
// so perhaps half written; Step::read, with one line "pointer: reason" for each fault.
storage::result<Settings> parse_settings(std::string_view text, MachineKind kind);

// Reads the file at settings_path(path). Errors: as above; Step::open, it cannot be read; Step::read, no file
// is named.
storage::result<Settings> load_settings(const std::string& path, MachineKind kind);

// `path`, or what the environment variable ROBINPIN_CONFIG names if that is empty.
std::string settings_path(const std::string& path);

// The pointers of what differs in `next` and takes effect with a restart only. Empty: a process that runs
// with `current` can apply `next`.
std::vector<std::string> settings_needing_restart(const Settings& current, const Settings& next);

}  // namespace robinpin::bootstrap
