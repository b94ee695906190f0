// The facts as lines, and the lines as facts.
#include <fmt/format.h>
#include <rapidjson/document.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include "records.h"

namespace robinpin::records {

namespace {

micros wall_now() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void quote(fmt::memory_buffer& to, std::string_view text) {
  to.push_back('"');
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      to.push_back('\\');
      to.push_back(c);
    } else if (static_cast<unsigned char>(c) < 0x20) {
      fmt::format_to(std::back_inserter(to), "\\u{:04x}", int(static_cast<unsigned char>(c)));
    } else {
      to.push_back(c);
    }
  }
  to.push_back('"');
}

}  // namespace

struct Facts::Line {
  fmt::memory_buffer text;
  void add(std::string_view more) { text.append(more.data(), more.data() + more.size()); }
  Line& put(std::string_view key, std::string_view value) {
    add(",\"");
    add(key);
    add("\":");
    quote(text, value);
    return *this;
  }
  Line& put(std::string_view key, std::int64_t value) {
    add(",\"");
    add(key);
    add("\":");
    const fmt::format_int digits(value);
    add({digits.data(), digits.size()});
    return *this;
  }
};

// Devices and pipes have no past: to read one may never end.
static bool kept(const std::string& path) {
  std::error_code none;
  return std::filesystem::is_regular_file(path, none);
}

// The last line that can be read tells, wherever the last start began.
int starts_before(const std::string& path) {
  constexpr std::streamoff tail = 64 * 1024;
  for (const std::string& name : {path, path + ".1"}) {
    if (!kept(name)) continue;
    std::ifstream file(name, std::ios::binary | std::ios::ate);
    if (!file) continue;
    const std::streamoff size = file.tellg();
    file.seekg(std::max<std::streamoff>(0, size - tail));
    int last = 0;
    for (std::string line; std::getline(file, line);)
      if (const auto f = read_fact(line)) last = f->start;
    if (last > 0) return last;
  }
  return 0;
}

Facts::Facts(const Keeping& keeping, std::string node, std::function<micros()> now, Writer::told trouble)
    : node_(std::move(node)), start_(starts_before(keeping.path) + 1), now_(std::move(now)) {
  // What the writer's thread needs is given to it by value: it may outlive this.
  const auto common = [node = node_, start = start_, now = now_](const char* fact) {
    Line l;
    l.add(fmt::format("{{\"fact\":\"{}\",\"node\":", fact));
    quote(l.text, node);
    l.put("start", std::int64_t(start))
        .put("n", std::int64_t(0))
        .put("steady", now())
        .put("wall", wall_now());
    return l;
  };
  writer_ = std::make_unique<Writer>(
      keeping,
      [common](int file) {
        Line l = common("records");
        l.put("schema", std::int64_t(schema)).put("file", std::int64_t(file));
        l.add("}\n");
        return fmt::to_string(l.text);
      },
      [common](std::uint64_t lost) {
        Line l = common("dropped");
        l.put("version", std::int64_t(lost));
        l.add("}\n");
        return fmt::to_string(l.text);
      },
      std::move(trouble));
}

void Facts::names(std::vector<std::string> schemes, std::vector<std::string> tenants) {
  schemes_ = std::move(schemes);
  tenants_ = std::move(tenants);
}

Facts::Line Facts::begin(const char* fact) {
  Line l;
  l.add("{\"fact\":\"");
  l.add(fact);
  l.add("\",\"node\":");
  quote(l.text, node_);
  l.put("start", std::int64_t(start_)).put("n", std::int64_t(++number_)).put("steady", now_());
  l.put("wall", wall_now());
  return l;
}

void Facts::put(Line& line) {
  line.add("}\n");
  writer_->put(fmt::to_string(line.text));
}

void Facts::started(const std::string& program, int tier) {
  if (!on()) return;
  Line l = begin("started");
  put(l.put("text", program).put("tier", std::int64_t(tier)));
}

void Facts::ended(const std::string& why) {
  if (!on()) return;
  Line l = begin("ended");
  put(l.put("text", why));
}

void Facts::listed(const std::string& server, const std::string& zone, const char* state,
                   std::int64_t version) {
  if (!on()) return;
  Line l = begin("listed");
  put(l.put("server", server).put("text", zone).put("how", state).put("version", version));
}

void Facts::taken(const std::string& txn, int scheme, int tenant, micros left, std::string_view route) {
  if (!on()) return;
  Line l = begin("taken");
  l.put("txn", txn);
  if (std::size_t(scheme) < schemes_.size()) l.put("scheme", schemes_[std::size_t(scheme)]);
  if (tenant >= 0 && std::size_t(tenant) < tenants_.size()) l.put("tenant", tenants_[std::size_t(tenant)]);
  if (!route.empty()) l.put("route", route);
  put(l.put("time", left));
}

void Facts::limited(const std::string& txn, std::string_view route, const char* by, micros come_back) {
  if (!on()) return;
  Line l = begin("limited");
  put(l.put("txn", txn).put("route", route).put("how", by).put("time", come_back));
}

void Facts::posted(const std::string& txn, int posting, const std::string& server, micros wait) {
  if (!on()) return;
  Line l = begin("posted");
  put(l.put("txn", txn).put("posting", std::int64_t(posting)).put("server", server).put("time", wait));
}

void Facts::posting_ended(const std::string& txn, int posting, const char* how, micros lag) {
  if (!on()) return;
  Line l = begin("posting_ended");
  put(l.put("txn", txn).put("posting", std::int64_t(posting)).put("how", how).put("time", lag));
}

void Facts::answered(const std::string& txn, const char* how, micros come_back, const char* why) {
  if (!on()) return;
  Line l = begin("answered");
  l.put("txn", txn).put("how", how).put("time", come_back);
  if (*why) l.put("text", why);
  put(l);
}

void Facts::left(const std::string& txn) {
  if (!on()) return;
  Line l = begin("left");
  put(l.put("txn", txn));
}

void Facts::agreed(const char* how, const std::string& what, std::int64_t version) {
  if (!on()) return;
  Line l = begin("fleet");
  put(l.put("how", how).put("text", what).put("version", version));
}

void Facts::configured(const std::string& hash, int version, const std::string& faults) {
  if (!on()) return;
  Line l = begin("configured");
  put(l.put("how", faults.empty() ? "accepted" : "refused")
          .put("text", faults.empty() ? hash : faults)
          .put("version", std::int64_t(version)));
}

std::optional<Fact> read_fact(std::string_view line) {
  rapidjson::Document document;
  document.Parse<rapidjson::kParseIterativeFlag>(line.data(), line.size());
  if (document.HasParseError() || !document.IsObject()) return std::nullopt;
  const rapidjson::Document& d = document;
  const auto text = [&](const char* key, std::string& to) {
    const auto m = d.FindMember(key);
    if (m == d.MemberEnd()) return false;
    if (m->value.IsString()) to.assign(m->value.GetString(), m->value.GetStringLength());
    return m->value.IsString();
  };
  const auto number = [&](const char* key, auto& to) {
    const auto m = d.FindMember(key);
    if (m == d.MemberEnd()) return false;
    if (m->value.IsInt64()) to = std::remove_reference_t<decltype(to)>(m->value.GetInt64());
    return m->value.IsInt64();
  };
  Fact f;
  if (!text("fact", f.fact) || !text("node", f.node) || !number("start", f.start) || !number("n", f.number) ||
      !number("steady", f.steady) || !number("wall", f.wall))
    return std::nullopt;
  int of = schema;
  number("schema", of);
  if (of != schema) return std::nullopt;
  text("txn", f.txn);
  text("scheme", f.scheme);
  text("tenant", f.tenant);
  text("server", f.server);
  text("route", f.route);
  text("how", f.how);
  text("text", f.text);
  number("posting", f.posting);
  number("time", f.time);
  number("version", f.version);
  return f;
}

Back read_back(const std::string& path) {
  std::vector<std::string> files;
  for (int n = 1;; ++n) {
    std::string older = fmt::format("{}.{}", path, n);
    if (!kept(older)) break;
    files.insert(files.begin(), std::move(older));
  }
  if (kept(path)) files.push_back(path);
  Back back;
  for (const std::string& name : files) {
    std::ifstream file(name);
    for (std::string line; std::getline(file, line);) {
      if (line.empty()) continue;
      if (auto f = read_fact(line))
        back.facts.push_back(std::move(*f));
      else
        ++back.broken;
    }
  }
  return back;
}

}  // namespace robinpin::records
