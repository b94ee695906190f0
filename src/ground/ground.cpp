#include "ground.h"

#include <fmt/format.h>
#include <rapidjson/document.h>
#include <rapidjson/error/en.h>
#include <rapidjson/pointer.h>

#include <boost/leaf/error.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "../creed/adjust.h"

namespace robinpin::ground {

namespace {

using rapidjson::Value;

struct Reading {
  const rapidjson::Document& doc;
  std::string faults;

  void fault(std::string_view pointer, std::string_view reason) {
    faults += fmt::format("{}: {}\n", pointer.empty() ? "/" : pointer, reason);
  }
  const Value* at(const std::string& pointer) const {
    const Value* v = rapidjson::Pointer(pointer.c_str(), pointer.size()).Get(doc);
    return v && !v->IsNull() ? v : nullptr;
  }
  std::string text(const std::string& pointer, bool needed) {
    const Value* v = at(pointer);
    if (!v && !needed) return {};
    if (!v || !v->IsString() || v->GetStringLength() == 0)
      return fault(pointer, v ? "no text" : "is missing"), std::string();
    return {v->GetString(), v->GetStringLength()};
  }
  void span(const std::string& pointer, std::int64_t& into) {
    const Value* v = at(pointer);
    if (!v) return;
    const long long s = v->IsString() ? creed::span_of({v->GetString(), v->GetStringLength()}) : -1;
    if (s < 0)
      fault(pointer, "no time like 1500ms or 2.5s");
    else
      into = s;
  }
  void number(const std::string& pointer, double& into, double least) {
    const Value* v = at(pointer);
    if (!v) return;
    if (!v->IsNumber() || v->GetDouble() < least)
      fault(pointer, fmt::format("no number of {} or more", least));
    else
      into = v->GetDouble();
  }
  // "address:port", numeric IPv4.
  std::string address(const std::string& pointer, bool needed) {
    const std::string a = text(pointer, needed);
    if (a.empty()) return a;
    unsigned b[4] = {}, port = 0;
    int end = 0;
    const bool fits =
        std::sscanf(a.c_str(), "%3u.%3u.%3u.%3u:%5u%n", &b[0], &b[1], &b[2], &b[3], &port, &end) == 5 &&
        end == int(a.size()) && port > 0 && port < 65536 && b[0] < 256 && b[1] < 256 && b[2] < 256 &&
        b[3] < 256;
    if (!fits) fault(pointer, "'" + a + "' is no address:port");
    return a;
  }
};

}  // namespace

trove::result<Settings> read(std::string_view text, bool core) {
  rapidjson::Document doc;
  if (doc.Parse(text.data(), text.size()).HasParseError())
    return boost::leaf::new_error(
        trove::Error{trove::Error::Step::parse, "settings",
                     fmt::format("/: no JSON: {} at byte {}\n",
                                 rapidjson::GetParseError_En(doc.GetParseError()), doc.GetErrorOffset())});
  Reading r{doc, {}};
  Settings s;
  if (!doc.IsObject()) {
    r.fault("", "no object");
  } else {
    s.node = r.text("/node", false);
    s.role = r.text("/role", false);
    s.ip = r.text("/ip", true);
    s.zone = r.text("/zone", true);
    for (const char* name : {"outbound", "inbound", "readiness", "control"})
      if (const bool needed = core ? std::string_view(name) == "control" : true; needed)
        s.ports[name] = r.address(fmt::format("/ports/{}", name), true);
    const Value* inner = r.at("/inner_ports");
    if (!inner || !inner->IsArray() || inner->Size() < 1 || !(*inner)[0].IsUint() ||
        (*inner)[0].GetUint() < 1 || (*inner)[0].GetUint() > 65535)
      r.fault("/inner_ports", "no list of a first and a last port");
    else
      s.inner_port = std::uint16_t((*inner)[0].GetUint());
    const Value* seeds = r.at("/seed_nodes");
    if (!seeds || !seeds->IsArray() || seeds->Empty())
      r.fault("/seed_nodes", "names nobody");
    else
      for (rapidjson::SizeType i = 0; i < seeds->Size(); ++i)
        s.seeds.push_back(r.address(fmt::format("/seed_nodes/{}", i), true));
    if (const Value* zones = r.at("/zones"); zones && !zones->IsObject())
      r.fault("/zones", "no map of zones to regions");
    else if (zones)
      for (const auto& [zone, region] : zones->GetObject()) {
        const std::string name(zone.GetString(), zone.GetStringLength());
        if (name.empty() || !region.IsString())
          r.fault("/zones/" + name, "no zone with its region");
        else
          s.zones[name] = std::string(region.GetString(), region.GetStringLength());
      }
    const Value* first = r.at("/first_start");
    if (first && !first->IsBool()) r.fault("/first_start", "neither true nor false");
    s.first_start = first && first->IsBool() && first->GetBool();
    if (core)
      s.data_dir = r.text("/data_dir", true);
    else
      s.application = r.address("/application", true), s.target = r.text("/target", true);
    r.span("/beat_period", s.beat_period);
    r.span("/envelope/contact", s.contact);
    r.span("/envelope/drain", s.drain);
    r.span("/envelope/grace_period", s.grace);
    r.span("/envelope/evacuate", s.evacuate);
    r.span("/envelope/retry_window", s.retry_window);
    r.number("/envelope/retry_ratio", s.retry_ratio, 0);
    r.number("/envelope/retry_slack", s.retry_slack, 0);
    r.number("/envelope/warmup_overshoot", s.warmup_overshoot, 0);
    r.number("/envelope/warmup_slack", s.warmup_slack, 0);
    r.number("/saturation/cpu_share", s.cpu_share, 0);
    r.number("/saturation/link_mbps", s.link_mbps, 0);
    double memory = s.memory_mb, files = s.file_limit;
    r.number("/saturation/memory_mb", memory, 1);
    r.number("/saturation/file_limit", files, 64);
    s.memory_mb = int(memory), s.file_limit = int(files);
  }
  if (!r.faults.empty())
    return boost::leaf::new_error(trove::Error{trove::Error::Step::read, "settings", r.faults});
  return s;
}

std::string path_told(const std::string& path) {
  const char* told = std::getenv("ROBINPIN_CONFIG");
  return !path.empty() ? path : told ? told : "";
}

trove::result<Settings> load(const std::string& path, bool core) {
  const std::string file = path_told(path);
  if (file.empty())
    return boost::leaf::new_error(trove::Error{trove::Error::Step::read, "settings",
                                               "ROBINPIN_CONFIG names no file, and none is given\n"});
  std::ifstream in(file, std::ios::binary);
  std::stringstream text;
  text << in.rdbuf();
  if (!in) return boost::leaf::new_error(trove::Error{trove::Error::Step::open, file, "can't be read\n"});
  return read(text.str(), core);
}

// Sockets, folders and rooms are made once, and others know this process by its address, zone and server.
// first_start tells of the start alone, so that its turning false later is no reason to refuse a file.
std::vector<std::string> needs_start(const Settings& old, const Settings& next) {
  std::vector<std::string> found;
  const auto hold = [&](const std::string& pointer, const auto& a, const auto& b) {
    if (a != b) found.push_back(pointer);
  };
  hold("/node", old.node, next.node);
  hold("/role", old.role, next.role);
  hold("/ip", old.ip, next.ip);
  hold("/zone", old.zone, next.zone);
  for (const auto& [name, address] : old.ports) {
    const auto it = next.ports.find(name);
    hold("/ports/" + name, address, it == next.ports.end() ? std::string() : it->second);
  }
  hold("/inner_ports", old.inner_port, next.inner_port);
  hold("/data_dir", old.data_dir, next.data_dir);
  hold("/application", old.application, next.application);
  hold("/target", old.target, next.target);
  hold("/saturation/memory_mb", old.memory_mb, next.memory_mb);
  hold("/saturation/file_limit", old.file_limit, next.file_limit);
  return found;
}

}  // namespace robinpin::ground
