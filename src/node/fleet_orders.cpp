#include "fleet_orders.h"

#include <fmt/format.h>

#include <cstdio>
#include <random>

#include "../config/file.h"
#include "../peer/caller.h"
#include "../peer/wire.h"

namespace robinpin::node {

namespace {

using namespace std::chrono_literals;
constexpr int good = 0, faulty = 1, misused = 2, unknown = 3;
constexpr auto wait = 5s;

void print(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stdout); }
void complain(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stderr); }

struct Node {
  std::string fleet, at;
};

peer::Answer call(const Node& node, const std::string& body) {
  asio::io_context io;
  Sockets sockets(4);
  peer::Answer answer;
  std::random_device draw;
  const auto caller = std::make_shared<peer::Caller>(
      io, sockets, peer::Who{node.fleet, "operator", fmt::format("{:08x}", unsigned(draw()))},
      endpoint_of(node.at));
  asio::co_spawn(io, caller->call("/fleet/order", body, steady::now() + wait),
                 [&](std::exception_ptr, peer::Answer a) {
                   answer = std::move(a);
                   io.stop();
                 });
  io.run();
  return answer;
}

std::string ago(std::int64_t us) {
  return us < 10'000'000 ? fmt::format("{:.1f} s", double(us) / 1e6) : fmt::format("{} s", us / 1'000'000);
}

std::string table(const rapidjson::Document& d) {
  using read::text;
  std::string out = fmt::format(
      "fleet {}, asked at {}: {}; voters version {}{}\n", text(d, "fleet", ""), text(d, "me", ""),
      read::flag(d, "majority") ? "a majority answers" : "NO MAJORITY ANSWERS",
      peer::count(d, "voters_version"), read::flag(d, "changing") ? ", a change is under way" : "");
  out += fmt::format("{:<16} {:<22} {:<14} {}\n", "voter", "address", "is", "store");
  read::each(read::need(d, "voters"), "voters", [&](const read::value& v) {
    const std::string change = text(v, "change", "");
    out += fmt::format("{:<16} {:<22} {:<14} {}{}\n", text(v, "voter", ""), text(v, "address", ""),
                       text(v, "is", ""), text(v, "store", ""),
                       change.empty() || change == "stays" ? "" : " " + change);
  });
  if (!read::flag(d, "members_known")) return out + "members: no voter tells\n";
  out += fmt::format("{:<16} {:<10} {:>4} {:<9} {:>10} {:>10} {:>6} {:<8} {}\n", "member", "hall", "tier",
                     "is", "last", "for", "starts", "version", "config");
  read::each(read::need(d, "members"), "members", [&](const read::value& m) {
    out += fmt::format("{:<16} {:<10} {:>4} {:<9} {:>10} {:>10} {:>6} {:<8} {}{}\n", text(m, "name", ""),
                       text(m, "hall", ""), int(read::number(m, "tier", 0)), text(m, "is", ""),
                       ago(std::int64_t(read::number(m, "last_us", 0))) + " ago",
                       ago(std::int64_t(read::number(m, "since_us", 0))), int(read::number(m, "starts", 1)),
                       text(m, "version", ""), text(m, "config", ""),
                       read::flag(m, "twice") ? "  TWO PROCESSES" : "");
  });
  return out;
}

}  // namespace

int run(const FleetOrder& o) {
  Node node{"", o.at};
  const config::Reading r = config::load(o.config, nullptr);
  if (!r.good()) {
    complain(config::text(o.config, r.faults));
    return faulty;
  }
  if (!r.file.fleet.on()) {
    complain(o.config + ": has no [fleet]\n");
    return faulty;
  }
  node.fleet = r.file.fleet.name.value;
  if (node.at.empty()) node.at = r.file.fleet.listen.value;
  try {
    peer::Out body;
    body.put("within_ms", 4000);
    if (o.what == "replace" || o.what == "add" || o.what == "remove") {
      body.put("do", "change").put("add", o.add).put("remove", o.remove).put("force", o.force);
    } else {
      body.put("do", o.what).put("name", o.name).put("text", o.text);
    }
    if (o.what == "set") {
      std::uint64_t version = std::uint64_t(std::max(0LL, o.version));
      if (o.version < 0) {
        const auto a = call(node, peer::Out().put("do", "get").put("name", o.name).end());
        if (a.how != peer::came::answered || a.status != 200) {
          complain(a.how == peer::came::answered ? a.body + "\n"
                                                 : fmt::format("{}: {}\n", node.at, peer::word(a.how)));
          return faulty;
        }
        // What could not be read has no version: to write on none might make a register that another majority
        // has.
        const auto stands = peer::parsed(a.body);
        if (const std::string how = read::text(stands, "how", ""); how != "chosen") {
          complain(how + "\n");
          return faulty;
        }
        version = peer::count(stands, "version");
      }
      body.put("version", version);
    }
    const peer::Answer a = call(node, body.end());
    if (a.how != peer::came::answered) {
      complain(fmt::format("{}: {}\n", node.at, peer::word(a.how)));
      const bool writes = o.what != "status" && o.what != "get";
      return writes && a.how != peer::came::unreachable ? unknown : faulty;
    }
    const auto d = peer::parsed(a.body);
    if (a.status != 200) {
      complain(read::text(d, "why", "refused") + "\n");
      return faulty;
    }
    if (o.json) print(a.body + "\n");
    if (o.what == "get" || o.what == "set") {
      const std::string how = read::text(d, "how", "");
      if (!o.json && (how == "chosen" || how == "refused"))
        print(fmt::format("{}{} version {}\n{}{}", how == "refused" ? "refused: it is at " : "", o.name,
                          peer::count(d, "version"), read::text(d, "text", ""), "\n"));
      else if (!o.json)
        complain(how + "\n");
      return how == "chosen" ? good : how == "unknown" || how == "overtaken" ? unknown : faulty;
    }
    if (!o.json) print(table(d));
    return read::flag(d, "majority") ? good : faulty;
  } catch (const read::malformed& wrong) {
    complain(fmt::format("{}: {}\n", node.at, wrong.what()));
    return misused;
  }
}

}  // namespace robinpin::node
