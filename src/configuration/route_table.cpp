#include "route_table.h"

#include <rapidjson/document.h>
#include <rapidjson/pointer.h>

#include <algorithm>
#include <cctype>

#include "configuration_change.h"

namespace robinpin::configuration {

namespace {

using rapidjson::Value;

std::string text_at(const Value& v, const char* pointer, std::string absent = {}) {
  const Value* found = rapidjson::Pointer(pointer).Get(v);
  return found && found->IsString() ? std::string(found->GetString(), found->GetStringLength()) : absent;
}
double number_at(const Value& v, const char* pointer, double absent) {
  const Value* found = rapidjson::Pointer(pointer).Get(v);
  return found && found->IsNumber() ? found->GetDouble() : absent;
}
std::int64_t duration_at(const Value& v, const char* pointer, std::int64_t absent) {
  const Value* found = rapidjson::Pointer(pointer).Get(v);
  const long long span =
      found && found->IsString() ? duration_of({found->GetString(), found->GetStringLength()}) : -1;
  return span >= 0 ? span : absent;
}

std::string lowered(std::string_view host) {
  if (const auto colon = host.rfind(':');
      colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
    host = host.substr(0, colon);
  std::string text(host);
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return char(std::tolower(c)); });
  return text;
}

Route channel_of(const Value& v) {
  Route c;
  c.label = text_at(v, "/label");
  c.host = lowered(text_at(v, "/authority"));
  c.prefix = text_at(v, "/path_prefix");
  const std::string kind = text_at(v, "/mode");
  c.kind = kind == "idempotent" ? mode::idempotent : kind == "inflow" ? mode::inflow : mode::effectful;
  c.deadline = duration_at(v, "/deadline", 0);
  c.aim = std::min(c.deadline, duration_at(v, "/setpoint_time", c.deadline));
  c.rank = int(std::clamp(number_at(v, "/rank", 0), 0.0, 1'000'000.0));
  c.tries = int(std::clamp(number_at(v, "/tries", 1), 1.0, 100.0));
  if (const Value* split = rapidjson::Pointer("/distribution").Get(v); split && split->IsArray())
    for (const Value& s : split->GetArray())
      if (const double gain = number_at(s, "/gain", 0); gain > 0)
        c.targets.push_back({text_at(s, "/target"), gain});
  if (c.targets.empty()) c.targets.push_back({text_at(v, "/target"), 1});
  for (const WeightedTarget& s : c.targets) c.gains += s.gain;
  return c;
}

}  // namespace

const std::string& Route::service(double position) const {
  double left = position * gains;
  for (const WeightedTarget& s : targets)
    if ((left -= s.gain) < 0) return s.service;
  return targets.back().service;
}

const Route* RouteTable::find(std::string_view host, std::string_view target) const {
  const auto of_host = hosts.find(lowered(host));
  if (of_host == hosts.end()) return nullptr;
  std::string path(target.substr(0, target.find_first_of("?#")));
  while (!path.empty()) {
    const auto slash = path.rfind('/');
    if (slash == std::string::npos) break;
    path.resize(slash + 1);
    if (const auto found = of_host->second.find(path); found != of_host->second.end())
      return found->second.get();
    path.resize(slash);
  }
  return nullptr;
}

std::shared_ptr<const RouteTable> RouteTableBuilder::build(const ConfigurationStore& store) {
  auto plan = std::make_shared<RouteTable>();
  std::unordered_map<std::string, Known> channels;
  channels.reserve(channels_.size());
  const auto read = [](const VersionedItem& item, rapidjson::Document& v) {
    return !v.Parse(item.text.data(), item.text.size()).HasParseError() && v.IsObject();
  };
  for (const auto& [name, item] : store.items()) {
    if (item.dropped) continue;
    if (name.starts_with(channel_prefix)) {
      const std::uint64_t print = print_of(item);
      Known known{print, item.version, nullptr};
      if (auto before = channels_.extract(name); before && before.mapped().print == print) {
        known = std::move(before.mapped());
      } else if (rapidjson::Document v; read(item, v)) {
        known.channel = std::make_shared<const Route>(channel_of(v));
      }
      if (known.channel) {
        // Of routes that share a position the newest is in force.
        auto& standing = plan->hosts[known.channel->host][known.channel->prefix];
        const auto other =
            standing ? channels.find(std::string(channel_prefix) + standing->label) : channels.end();
        if (other == channels.end() || known.version >= other->second.version) standing = known.channel;
      }
      channels.emplace(name, std::move(known));
      continue;
    }
    rapidjson::Document v;
    if (!read(item, v)) continue;
    if (name.starts_with(target_prefix)) {
      Service s;
      s.name = text_at(v, "/label");
      s.probe = text_at(v, "/probe", "/probe");
      s.conn_limit = int(std::clamp(number_at(v, "/conn_limit", 100), 1.0, 100'000.0));
      s.warmup = duration_at(v, "/warmup", 0);
      s.warmup_per_s = number_at(v, "/warmup_per_s", 0);
      plan->services[s.name] = std::move(s);
    } else if (name.starts_with(evacuation_prefix)) {
      plan->emptied.insert(name.substr(evacuation_prefix.size()));
    } else if (name == saturation_name) {
      Bounds& b = plan->bounds;
      b.header_bytes = std::size_t(number_at(v, "/header_bytes", double(b.header_bytes)));
      b.body_bytes = std::size_t(number_at(v, "/body_bytes", double(b.body_bytes)));
      b.header = duration_at(v, "/header", b.header);
      b.idle = duration_at(v, "/idle", b.idle);
    }
  }
  channels_ = std::move(channels);
  return plan;
}

}  // namespace robinpin::configuration
