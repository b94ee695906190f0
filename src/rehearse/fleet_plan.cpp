#include "fleet_plan.h"

#include "../config/keys.h"

namespace robinpin::rehearse {

namespace {

using config::Keys;
using config::Told;

constexpr std::pair<const char*, breach> breaches[] = {{"cut", breach::cut},
                                                       {"deaf", breach::deaf},
                                                       {"mute", breach::mute},
                                                       {"refused", breach::refused},
                                                       {"slow", breach::slow},
                                                       {"dribble", breach::dribble},
                                                       {"reset", breach::reset},
                                                       {"late", breach::late},
                                                       {"twice", breach::twice},
                                                       {"kill", breach::kill},
                                                       {"stop", breach::stop},
                                                       {"disk-full", breach::disk_full},
                                                       {"sync-fails", breach::sync_fails},
                                                       {"clock", breach::clock},
                                                       {"wall-jump", breach::wall_jump},
                                                       {"replace", breach::replace}};

class Reader : private Keys {
 public:
  explicit Reader(FleetPlanRead& r) : Keys(r.faults), plan_(r.plan) {}

  void all(const toml::table& t) {
    FleetPlan& p = plan_;
    auto& e = p.expect;
    table(t, "",
          {{"name", plain(p.name, "name")},
           {"about", plain(p.about, "about")},
           {"length", span(p.length, "length", 1'000'000, 30'000'000)},
           {"fleet",
            [&](auto& n) {
              part(n, "fleet",
                   {{"voters", count(p.voters, "fleet.voters", 1, 7)},
                    {"nodes", count(p.nodes, "fleet.nodes", 1, 64)},
                    {"spares", count(p.spares, "fleet.spares", 0, 4)},
                    {"beat", span(p.beat, "fleet.beat", 20'000)}});
            }},
           {"callers",
            [&](auto& n) {
              part(n, "callers",
                   {{"count", count(p.callers, "callers.count", 1, 64)},
                    {"registers", count(p.registers, "callers.registers", 1, 256)},
                    {"pace", span(p.pace, "callers.pace", 100)}});
            }},
           {"drawn", count(p.drawn, "drawn", 0, 100)},
           {"fault",
            [&](auto& n) {
              each(n, "fault", 100, [&](const toml::table& one, config::At at) { fault_of(one, at); });
            }},
           {"expect", [&](auto& n) {
              part(n, "expect",
                   {{"written", whole(e.written, "expect.written", 1, 1'000'000)},
                    {"without_write", time(e.without_write, "expect.without_write")},
                    {"returns", time(e.returns, "expect.returns")},
                    {"all_vote", flag(e.all_vote, "expect.all_vote")}});
            }}});
    // Keys come in no order of the file's: what one says of another is looked at when all are read.
    if (p.voters + p.spares > p.nodes) fault({1, 1}, "fleet.nodes", "are fewer than voters and spares");
    for (std::size_t i = 0; i < p.breaches.size(); ++i) {
      const Breach& b = p.breaches[i];
      const std::string where = fmt::format("fault {}", i + 1);
      if (b.from + b.span > p.length) fault(b.at, where, "goes on after the plan's length");
      for (const auto& w : b.who) {
        const int n = w.size() > 1 && w[0] == 'n' ? std::atoi(w.c_str() + 1) : 0;
        if (n < 1 || n > p.nodes)
          fault(b.at, in(where, "who"), fmt::format("\"{}\" is no node: they are n1 to n{}", w, p.nodes));
      }
    }
  }

 private:
  template <typename T, typename Take>
  take straight(T& to, Take read) {
    return [&to, read](const toml::node& n) {
      Told<T> told;
      read(told)(n);
      if (told.said()) to = told.value;
    };
  }
  take span(micros& to, const std::string& key, micros least, micros most = 3'600'000'000) {
    return straight(to, [=, this](Told<micros>& t) { return time(t, key, least, most); });
  }
  take count(int& to, const std::string& key, int least, int most) {
    return straight(to, [=, this](Told<int>& t) { return whole(t, key, least, most); });
  }
  take plain(std::string& to, const std::string& key) {
    return straight(to, [=, this](Told<std::string>& t) { return text(t, key); });
  }

  void fault_of(const toml::table& t, config::At at) {
    Breach b;
    b.at = at;
    std::string kind, of = "voters";
    const std::string where = fmt::format("fault {}", plan_.breaches.size() + 1);
    Told<std::vector<std::string>> who;
    Told<double> size;
    table(t, where,
          {{"kind", plain(kind, in(where, "kind"))},
           {"at", span(b.from, in(where, "at"), 0)},
           {"for", span(b.span, in(where, "for"), 1000)},
           {"who", words(who, in(where, "who"))},
           {"count", count(b.count, in(where, "count"), 1, 64)},
           {"of", plain(of, in(where, "of"))},
           {"size", number(size, in(where, "size"), 1e9, "leave the key out")},
           {"disk", plain(b.disk, in(where, "disk"))}});
    b.who = who.value;
    b.size = size.value;
    b.of_voters = of == "voters";
    const auto* known = std::find_if(std::begin(breaches), std::end(breaches),
                                     [&](const auto& w) { return w.first == kind; });
    if (known == std::end(breaches)) {
      std::string all;
      for (const auto& [w, none] : breaches) all += std::string(" ") + w;
      fault(at, in(where, "kind"), fmt::format("\"{}\" is none of{}", kind, all));
      return;
    }
    b.what = known->second;
    if (of != "voters" && of != "nodes") fault(at, in(where, "of"), "is neither voters nor nodes");
    if (b.disk != "kept" && b.disk != "lost" && b.disk != "older")
      fault(at, in(where, "disk"), "is none of kept lost older");
    if (b.what == breach::replace && b.who.size() != 2)
      fault(at, in(where, "who"), "a voter that goes and the node that comes");
    plan_.breaches.push_back(std::move(b));
  }

  FleetPlan& plan_;
};

}  // namespace

const char* word(breach b) {
  for (const auto& [w, known] : breaches)
    if (known == b) return w;
  return "";
}

bool is_fleet_plan(std::string_view text) {
  try {
    return toml::parse(text).contains("fleet");
  } catch (const toml::parse_error&) {
    return false;  // told by whoever reads it as a plan
  }
}

FleetPlanRead read_fleet_plan(const std::string& path, std::string_view text) {
  FleetPlanRead r;
  r.plan.path = path;
  config::read_toml(path, text, r.faults, [&](const toml::table& t) { Reader(r).all(t); });
  return r;
}

}  // namespace robinpin::rehearse
