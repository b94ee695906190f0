#include "settings.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>

#include <boost/leaf/error.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../configuration/configuration_change.h"

namespace robinpin::bootstrap {

namespace {

using rapidjson::Value;

constexpr const char* document_name = "settings";  // the peer of an error in the text
constexpr const char* path_variable = "ROBINPIN_CONFIG";
constexpr unsigned max_port = 65'535;
constexpr int min_memory_mb = 1;
constexpr int min_file_limit = 64;

std::string text_of(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

// "address:port", the address numeric IPv4.
bool is_endpoint(const std::string& text) {
  constexpr unsigned max_octet = 255;
  constexpr int field_count = 5;
  unsigned octets[4] = {}, port = 0;
  int end = 0;
  const int fields = std::sscanf(text.c_str(), "%3u.%3u.%3u.%3u:%5u%n", &octets[0], &octets[1], &octets[2],
                                 &octets[3], &port, &end);
  if (fields != field_count || end != int(text.size())) return false;
  for (const unsigned octet : octets)
    if (octet > max_octet) return false;
  return port > 0 && port <= max_port;
}

bool is_port(const Value& value) {
  return value.IsUint() && value.GetUint() >= 1 && value.GetUint() <= max_port;
}

// Typed access to the document by JSON pointers. Collects all faults rather than stopping at the first.
class DocumentReader {
 public:
  explicit DocumentReader(const rapidjson::Document& document) : document_(document) {}

  const std::string& faults() const { return faults_; }  // one line for each

  void add_fault(std::string_view pointer, std::string_view reason) {
    faults_ += fmt::format("{}: {}\n", pointer.empty() ? "/" : pointer, reason);
  }

  // Null: there is none, or it is JSON's null.
  const Value* find(const std::string& pointer) const {
    const Value* value = rapidjson::Pointer(pointer.c_str(), pointer.size()).Get(document_);
    return value && !value->IsNull() ? value : nullptr;
  }

  // Empty: missing or faulty.
  std::string required_text(const std::string& pointer) {
    if (find(pointer)) return optional_text(pointer);
    add_fault(pointer, "is missing");
    return {};
  }
  std::string optional_text(const std::string& pointer) {
    const Value* value = find(pointer);
    if (!value) return {};
    if (value->IsString() && value->GetStringLength() > 0) return text_of(*value);
    add_fault(pointer, "no text");
    return {};
  }
  std::string required_endpoint(const std::string& pointer) {
    std::string text = required_text(pointer);
    if (!text.empty() && !is_endpoint(text)) add_fault(pointer, "'" + text + "' is no address:port");
    return text;
  }

  // What is missing keeps its default.
  void read_duration(const std::string& pointer, std::int64_t& microseconds) {
    const Value* value = find(pointer);
    if (!value) return;
    const long long duration = value->IsString() ? configuration::duration_of(text_of(*value)) : -1;
    if (duration < 0)
      add_fault(pointer, "no time like 1500ms or 2.5s");
    else
      microseconds = duration;
  }
  void read_number(const std::string& pointer, double& number, double minimum) {
    const Value* value = find(pointer);
    if (!value) return;
    if (!value->IsNumber() || value->GetDouble() < minimum)
      add_fault(pointer, fmt::format("no number of {} or more", minimum));
    else
      number = value->GetDouble();
  }
  void read_integer(const std::string& pointer, int& integer, int minimum) {
    double number = integer;
    read_number(pointer, number, minimum);
    integer = int(number);
  }

 private:
  const rapidjson::Document& document_;
  std::string faults_;
};

std::map<std::string, std::string> read_ports(DocumentReader& reader, MachineKind kind) {
  std::map<std::string, std::string> ports;
  for (const char* name : {"outbound", "inbound", "readiness", "control"}) {
    const bool is_required = kind == MachineKind::server || std::string_view(name) == "control";
    if (is_required) ports[name] = reader.required_endpoint(fmt::format("/ports/{}", name));
  }
  return ports;
}

std::uint16_t read_internal_port(DocumentReader& reader) {
  const std::string pointer = "/inner_ports";
  const Value* range = reader.find(pointer);
  if (range && range->IsArray() && range->Size() >= 1 && is_port((*range)[0]))
    return std::uint16_t((*range)[0].GetUint());
  reader.add_fault(pointer, "no list of a first and a last port");
  return 0;
}

std::vector<std::string> read_seed_nodes(DocumentReader& reader) {
  const std::string pointer = "/seed_nodes";
  const Value* nodes = reader.find(pointer);
  if (!nodes || !nodes->IsArray() || nodes->Empty()) {
    reader.add_fault(pointer, "names nobody");
    return {};
  }
  std::vector<std::string> seed_nodes;
  for (rapidjson::SizeType i = 0; i < nodes->Size(); ++i)
    seed_nodes.push_back(reader.required_endpoint(fmt::format("{}/{}", pointer, i)));
  return seed_nodes;
}

std::map<std::string, std::string> read_zones(DocumentReader& reader) {
  const std::string pointer = "/zones";
  const Value* value = reader.find(pointer);
  if (!value) return {};
  if (!value->IsObject()) {
    reader.add_fault(pointer, "no map of zones to regions");
    return {};
  }
  std::map<std::string, std::string> zones;
  for (const auto& [key, region] : value->GetObject()) {
    const std::string zone = text_of(key);
    if (zone.empty() || !region.IsString())
      reader.add_fault(fmt::format("{}/{}", pointer, zone), "no zone with its region");
    else
      zones[zone] = text_of(region);
  }
  return zones;
}

bool read_first_start(DocumentReader& reader) {
  const std::string pointer = "/first_start";
  const Value* value = reader.find(pointer);
  if (!value) return false;
  if (!value->IsBool()) {
    reader.add_fault(pointer, "neither true nor false");
    return false;
  }
  return value->GetBool();
}

void read_limits(DocumentReader& reader, Settings& settings) {
  reader.read_duration("/beat_period", settings.heartbeat_period);
  reader.read_duration("/envelope/contact", settings.contact_timeout);
  reader.read_duration("/envelope/drain", settings.drain_timeout);
  reader.read_duration("/envelope/grace_period", settings.grace_period);
  reader.read_duration("/envelope/evacuate", settings.evacuation_timeout);
  reader.read_duration("/envelope/retry_window", settings.retry_window);
  reader.read_number("/envelope/retry_ratio", settings.retry_ratio, 0);
  reader.read_number("/envelope/retry_slack", settings.retry_slack, 0);
  reader.read_number("/envelope/warmup_overshoot", settings.warmup_overshoot, 0);
  reader.read_number("/envelope/warmup_slack", settings.warmup_slack, 0);
  reader.read_number("/saturation/cpu_share", settings.cpu_share, 0);
  reader.read_number("/saturation/link_mbps", settings.link_mbps, 0);
  reader.read_integer("/saturation/memory_mb", settings.memory_mb, min_memory_mb);
  reader.read_integer("/saturation/file_limit", settings.file_limit, min_file_limit);
}

Settings read_settings(DocumentReader& reader, MachineKind kind) {
  Settings settings;
  settings.node = reader.optional_text("/node");
  settings.role = reader.optional_text("/role");
  settings.ip = reader.required_text("/ip");
  settings.zone = reader.required_text("/zone");
  settings.ports = read_ports(reader, kind);
  settings.internal_port = read_internal_port(reader);
  settings.seed_nodes = read_seed_nodes(reader);
  settings.zones = read_zones(reader);
  settings.first_start = read_first_start(reader);
  if (kind == MachineKind::core) {
    settings.data_dir = reader.required_text("/data_dir");
  } else {
    settings.application = reader.required_endpoint("/application");
    settings.target = reader.required_text("/target");
  }
  read_limits(reader, settings);
  return settings;
}

std::string syntax_fault(const rapidjson::Document& document) {
  return fmt::format("/: no JSON: {} at byte {}\n", rapidjson::GetParseError_En(document.GetParseError()),
                     document.GetErrorOffset());
}

}  // namespace

storage::result<Settings> parse_settings(std::string_view text, MachineKind kind) {
  using Step = storage::Error::Step;
  rapidjson::Document document;
  if (document.Parse(text.data(), text.size()).HasParseError())
    return boost::leaf::new_error(storage::Error{Step::parse, document_name, syntax_fault(document)});
  DocumentReader reader(document);
  Settings settings;
  if (document.IsObject())
    settings = read_settings(reader, kind);
  else
    reader.add_fault("", "no object");
  if (!reader.faults().empty())
    return boost::leaf::new_error(storage::Error{Step::read, document_name, reader.faults()});
  return settings;
}

std::string settings_path(const std::string& path) {
  if (!path.empty()) return path;
  const char* from_environment = std::getenv(path_variable);
  return from_environment ? from_environment : "";
}

storage::result<Settings> load_settings(const std::string& path, MachineKind kind) {
  using Step = storage::Error::Step;
  const std::string file = settings_path(path);
  if (file.empty()) {
    const std::string reason = fmt::format("{} names no file, and none is given\n", path_variable);
    return boost::leaf::new_error(storage::Error{Step::read, document_name, reason});
  }
  std::ifstream in(file, std::ios::binary);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) return boost::leaf::new_error(storage::Error{Step::open, file, "can't be read\n"});
  return parse_settings(text.str(), kind);
}

// Sockets, folders and buffers are created once, and other machines know this process by its address, zone
// and server. first_start matters at the start only, so a later change of it is no reason to reject a file.
std::vector<std::string> settings_needing_restart(const Settings& current, const Settings& next) {
  std::vector<std::string> changed;
  const auto compare = [&](const std::string& pointer, const auto& before, const auto& after) {
    if (before != after) changed.push_back(pointer);
  };
  compare("/node", current.node, next.node);
  compare("/role", current.role, next.role);
  compare("/ip", current.ip, next.ip);
  compare("/zone", current.zone, next.zone);
  for (const auto& [name, endpoint] : current.ports) {
    const auto found = next.ports.find(name);
    compare("/ports/" + name, endpoint, found == next.ports.end() ? std::string() : found->second);
  }
  compare("/inner_ports", current.internal_port, next.internal_port);
  compare("/data_dir", current.data_dir, next.data_dir);
  compare("/application", current.application, next.application);
  compare("/target", current.target, next.target);
  compare("/saturation/memory_mb", current.memory_mb, next.memory_mb);
  compare("/saturation/file_limit", current.file_limit, next.file_limit);
  return changed;
}

}  // namespace robinpin::bootstrap
