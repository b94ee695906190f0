// Reads the text of our file: types, units, ranges, names. Every fault is kept, with its place.
#include <fmt/format.h>
#include <sys/stat.h>
#include <toml++/toml.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cmath>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <set>
#include <thread>

#include "file.h"

namespace robinpin::config {

namespace {

constexpr micros longest_time = 3'600'000'000;
constexpr std::size_t most_routes = 10'000;

At at_of(const toml::node& n) { return {int(n.source().begin.line), int(n.source().begin.column)}; }
At at_of(const toml::key& k) { return {int(k.source().begin.line), int(k.source().begin.column)}; }

std::size_t distance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t(0));
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t corner = std::exchange(row[0], i);
    for (std::size_t j = 1; j <= b.size(); ++j)
      corner = std::exchange(row[j], std::min({row[j] + 1, row[j - 1] + 1, corner + (a[i - 1] != b[j - 1])}));
  }
  return row[b.size()];
}

struct Unit {
  std::string_view name;
  double factor;
};
constexpr Unit times[] = {{"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}};
constexpr Unit sizes[] = {{"KiB", 1024}, {"MiB", 1048576}, {"GiB", 1073741824}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"B", 1}};

template <std::size_t n>
std::optional<double> with_unit(std::string_view text, const Unit (&units)[n]) {
  double v = 0;
  const auto [stop, wrong] = std::from_chars(text.data(), text.data() + text.size(), v);
  if (wrong != std::errc() || !std::isfinite(v)) return std::nullopt;
  const std::string_view unit = text.substr(std::size_t(stop - text.data()));
  for (const Unit& u : units)
    if (unit == u.name) return v * u.factor;
  return std::nullopt;
}

class Reader {
 public:
  explicit Reader(Reading& r) : r_(r) {}

  void all(const toml::table& t) {
    table(t, "",
          {{"node", [&](auto& n) { part(n, "node", node_keys()); }},
           {"log", [&](auto& n) { part(n, "log", log_keys()); }},
           {"records", [&](auto& n) { part(n, "records", records_keys()); }},
           {"clients", [&](auto& n) { part(n, "clients", clients_keys()); }},
           {"defaults", [&](auto& n) { part(n, "defaults", limit_keys(r_.file.defaults, "defaults")); }},
           {"route", [&](auto& n) { routes(n); }}});
  }

  void fault(At at, std::string key, std::string what) {
    r_.faults.push_back({at, std::move(key), std::move(what)});
  }

 private:
  using take = std::function<void(const toml::node&)>;
  using keys = std::map<std::string, take, std::less<>>;

  void table(const toml::table& t, const std::string& where, const keys& known) {
    for (const auto& [k, node] : t) {
      const std::string name(k.str());
      if (const auto it = known.find(name); it != known.end()) {
        it->second(node);
        continue;
      }
      std::string nearest;
      std::size_t off = std::max<std::size_t>(2, name.size() / 2);
      for (const auto& [other, none] : known)
        if (const std::size_t d = distance(name, other); d < off) {
          off = d;
          nearest = other;
        }
      std::string what = "no such key";
      if (!nearest.empty()) {
        what += fmt::format("; did you mean \"{}\"?", nearest);
      } else {
        what += "; there are";
        for (const auto& [other, none] : known) what += " " + other;
      }
      fault(at_of(k), in(where, name), what);
    }
  }

  void part(const toml::node& n, const std::string& where, const keys& known) {
    if (const auto* t = n.as_table())
      table(*t, where, known);
    else
      fault(at_of(n), where, fmt::format("must be a table: [{}]", where));
  }

  static std::string in(const std::string& where, const std::string& name) {
    return where.empty() ? name : where + (where.back() == '"' ? " " : ".") + name;
  }

  // One key's value, through `read`, which says what is wrong with it.
  template <typename T>
  take into(Told<T>& to, std::string key, std::function<std::string(const toml::node&, T&)> read) {
    return [this, &to, key = std::move(key), read = std::move(read)](const toml::node& n) {
      T value{};
      if (const std::string wrong = read(n, value); !wrong.empty())
        fault(at_of(n), key, wrong);
      else
        to = {std::move(value), at_of(n)};
    };
  }

  take time(Told<micros>& to, const std::string& key, micros least = 1) {
    return into<micros>(to, key, [least](const toml::node& n, micros& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      if (!said) return "must be text with a unit, as \"250ms\" (us, ms, s, m)";
      const auto t = duration(*said);
      if (!t) return fmt::format("\"{}\" is no time; say a number and us, ms, s or m, as \"250ms\"", *said);
      if (*t < 0) return fmt::format("\"{}\" is below zero", *said);
      if (*t < least) return fmt::format("\"{}\" is zero; leave the key out for no limit", *said);
      if (*t > longest_time) return fmt::format("\"{}\" is longer than the longest, 60m", *said);
      v = *t;
      return "";
    });
  }

  take size(Told<std::size_t>& to, const std::string& key, double least, double most) {
    return into<std::size_t>(to, key, [=](const toml::node& n, std::size_t& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      const auto b = said ? with_unit(*said, sizes) : std::nullopt;
      if (!b) return "must be text with a unit, as \"2MiB\" (B, KiB, MiB, GiB, KB, MB, GB)";
      if (!(*b >= least && *b <= most))
        return fmt::format("\"{}\" is not from {:.0f} to {:.0f} bytes", *said, least, most);
      v = std::size_t(*b);
      return "";
    });
  }

  take whole(Told<int>& to, const std::string& key, int least, int most) {
    return into<int>(to, key, [=](const toml::node& n, int& v) -> std::string {
      const auto said = n.value_exact<std::int64_t>();
      if (!said) return "must be a whole number";
      if (*said == 0 && least == 1) return "is zero: nothing would ever go out; leave the key out for no limit";
      if (*said < least || *said > most) return fmt::format("{} is not from {} to {}", *said, least, most);
      v = int(*said);
      return "";
    });
  }

  take number(Told<double>& to, const std::string& key, double most, const char* for_none) {
    return into<double>(to, key, [=](const toml::node& n, double& v) -> std::string {
      if (!n.is_number()) return "must be a number";
      const double said = n.value<double>().value_or(std::nan(""));
      if (std::isnan(said)) return "is not a number (nan)";
      if (said == 0) return fmt::format("is zero; {}", for_none);
      if (said < 0) return fmt::format("{} is below zero", said);
      if (!(said <= most)) return fmt::format("{} is over the most, {:.0f}", said, most);
      v = said;
      return "";
    });
  }

  take flag(Told<bool>& to, const std::string& key) {
    return into<bool>(to, key, [](const toml::node& n, bool& v) -> std::string {
      if (!n.is_boolean()) return "must be true or false";
      v = n.value<bool>().value_or(false);
      return "";
    });
  }

  take text(Told<std::string>& to, const std::string& key) {
    return into<std::string>(to, key, [](const toml::node& n, std::string& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      if (!said || said->empty()) return "must be text that is not empty";
      v = *said;
      return "";
    });
  }

  template <typename T>
  take one_of(Told<T>& to, const std::string& key, std::vector<std::pair<std::string, T>> words) {
    return into<T>(to, key, [words = std::move(words)](const toml::node& n, T& v) -> std::string {
      const auto said = n.value_exact<std::string>();
      std::string what = said ? "\"" + *said + "\" is none of" : "must be one of";
      for (const auto& [word, meaning] : words) {
        if (said && *said == word) {
          v = meaning;
          return "";
        }
        what += " \"" + word + "\"";
      }
      return what;
    });
  }

  keys node_keys() {
    Node& n = r_.file.node;
    return {{"terms", text(n.terms, "node.terms")},
            {"sockets", whole(n.sockets, "node.sockets", 40, 1'000'000)},
            {"longest_answer", size(n.longest_answer, "node.longest_answer", 1024, 1 << 30)}};
  }

  take level(Told<std::string>& to, const std::string& key) {
    return one_of<std::string>(
        to, key, {{"debug", "debug"}, {"info", "info"}, {"warning", "warning"}, {"error", "error"}, {"off", "off"}});
  }

  keys log_keys() {
    Log& l = r_.file.log;
    return {{"format", one_of<std::string>(l.format, "log.format", {{"text", "text"}, {"json", "json"}})},
            {"level", level(l.level, "log.level")},
            {"fold", time(l.fold, "log.fold")},
            {"parts", [&](const toml::node& n) {
               keys known;
               for (const char* part : {"node", "clients", "servers", "list", "config", "records"})
                 known[part] = [&l, this, part](const toml::node& said) {
                   Told<std::string> found;
                   level(found, std::string("log.parts.") + part)(said);
                   if (found.said()) l.parts.emplace_back(part, found);
                 };
               this->part(n, "log.parts", known);
             }}};
  }

  keys records_keys() {
    Records& k = r_.file.records;
    return {{"path", text(k.path, "records.path")},
            {"rotate_at", size(k.rotate_at, "records.rotate_at", 4096, double(1UL << 40))},
            {"keep", whole(k.keep, "records.keep", 1, 10'000)},
            {"queue", whole(k.queue, "records.queue", 16, 10'000'000)},
            {"flush", time(k.flush, "records.flush", 1000)}};
  }

  keys clients_keys() {
    Clients& c = r_.file.clients;
    return {{"patience", time(c.patience, "clients.patience")},
            {"retries", whole(c.retries, "clients.retries", 0, 100)},
            {"wait", time(c.wait, "clients.wait", 0)}};
  }

  keys limit_keys(Limits& l, const std::string& where) {
    const auto key = [&](const char* name) { return in(where, name); };
    return {{"posting_timeout", time(l.posting_timeout, key("posting_timeout"))},
            {"postings", whole(l.postings, key("postings"), 1, 1000)},
            {"second_copies", flag(l.second_copies, key("second_copies"))},
            {"second_copy_after", time(l.second_copy_after, key("second_copy_after"))},
            {"further_share", number(l.further_share, key("further_share"), 100, "postings = 1 says it")},
            {"in_flight", whole(l.in_flight, key("in_flight"), 1, 1'000'000)},
            {"rate", number(l.rate, key("rate"), 1e9, "leave the key out for no limit")},
            {"burst", number(l.burst, key("burst"), 1e9, "a route takes one at once at the least")},
            {"come_back", time(l.come_back, key("come_back"))},
            {"repeats",
             one_of<repeats>(l.may_repeat, key("repeats"),
                             {{"repeatable", repeats::repeatable}, {"referenced", repeats::referenced}, {"once-only", repeats::once_only}})},
            {"within", one_of<group>(l.within, key("within"),
                                     {{"all", group::all}, {"zone", group::zone}, {"cell", group::cell}})}};
  }

  void routes(const toml::node& n) {
    const auto* list = n.as_array();
    if (!list) return fault(at_of(n), "route", "must be a list of tables: [[route]]");
    if (list->size() > most_routes)
      return fault(at_of(n), "route", fmt::format("{} routes are over the most, {}", list->size(), most_routes));
    r_.file.routes.reserve(list->size());  // what reads keeps references
    for (const toml::node& entry : *list) {
      Route& r = r_.file.routes.emplace_back();
      r.at = at_of(entry);
      const auto* t = entry.as_table();
      if (t)
        if (const auto* name = t->get("name")) r.name.value = name->value_exact<std::string>().value_or("");
      const std::string where = name_of(r, r_.file.routes.size());
      if (!t) {
        fault(r.at, where, "must be a table: [[route]]");
        continue;
      }
      keys known = limit_keys(r.limits, where);
      known["name"] = text(r.name, in(where, "name"));
      known["scheme"] = text(r.scheme, in(where, "scheme"));
      known["method"] = text(r.method, in(where, "method"));
      known["path"] = text(r.path, in(where, "path"));
      known["tenant"] = text(r.tenant, in(where, "tenant"));
      table(*t, where, known);
      if (!t->get("name")) fault(r.at, in(where, "name"), "is missing; name the route, for its log and counts");
      if (const std::string& p = r.path.value; !p.empty() && (p[0] != '/' || p.find_first_of("?# ") != p.npos))
        fault(r.path.at, in(where, "path"), "must be a path that begins with / and has no query, as \"/api\"");
      if (const std::string& m = r.method.value;
          std::any_of(m.begin(), m.end(), [](char c) { return c < 'A' || c > 'Z'; }))
        fault(r.method.at, in(where, "method"), "must be a method in capitals, as \"POST\"");
    }
  }

  Reading& r_;
};

// What no house can make good: limits that contradict each other, names that stand twice.
void sort_out(Reading& r) {
  const auto fault = [&](At at, std::string key, std::string what) {
    r.faults.push_back({at, std::move(key), std::move(what)});
  };
  std::map<std::string, At> names{{"defaults", {}}};
  const auto limits = [&](const Limits& own, const Limits& all, const std::string& where, const std::string& dot) {
    // Told at the place where a fault is to be mended: the route's own word before the defaults'.
    const auto at = [&](At first, At then) { return first.said() ? first : then; };
    if (all.burst.said() && !all.rate.said())
      fault(at(own.burst.at, all.burst.at), where + dot + "burst", "says nothing without a rate; say rate, too");
    if (all.burst.said() && all.burst.value < 1)
      fault(at(own.burst.at, all.burst.at), where + dot + "burst", "is under one: nothing would ever be taken");
    if (all.second_copy_after.said() && all.second_copies.said() && !all.second_copies.value)
      fault(at(own.second_copy_after.at, all.second_copy_after.at), where + dot + "second_copy_after",
            fmt::format("never acts: second_copies is false in line {}", all.second_copies.at.line));
    if (all.second_copy_after.said() && all.posting_timeout.said() &&
        all.second_copy_after.value >= all.posting_timeout.value)
      fault(at(own.second_copy_after.at, all.second_copy_after.at), where + dot + "second_copy_after",
            fmt::format("never acts: the first posting ends before, after {} (line {})",
                        duration(all.posting_timeout.value), all.posting_timeout.at.line));
    if (all.postings.said() && all.postings.value == 1 && all.second_copies.said() && all.second_copies.value)
      fault(at(own.second_copies.at, all.second_copies.at), where + dot + "second_copies",
            fmt::format("is a second posting, and line {} allows one", all.postings.at.line));
  };
  limits(r.file.defaults, r.file.defaults, "defaults", ".");
  for (std::size_t i = 0; i < r.file.routes.size(); ++i) {
    const Route& route = r.file.routes[i];
    const std::string where = name_of(route, i + 1);
    if (route.name.said())
      if (const auto [it, fresh] = names.try_emplace(route.name.value, route.name.at); !fresh)
        fault(route.name.at, where + " name",
              it->second.said() ? fmt::format("stands for the route in line {}, too", it->second.line)
                                : "is what the log calls the txns that meet no route; choose another");
    limits(route.limits, effective(r.file, route), where, " ");
  }
  const Clients& c = r.file.clients;
  if ((c.retries.said() || c.wait.said()) && !c.patience.said())
    fault(c.retries.said() ? c.retries.at : c.wait.at, "clients",
          "patience is missing: how long a client waits for all its tries together");
  if (c.patience.said() && c.retries.value * c.wait.value >= c.patience.value)
    fault(c.patience.at, "clients.patience",
          fmt::format("leaves no time for a try: {} waits of {} are {}", c.retries.value, duration(c.wait.value),
                      duration(c.retries.value * c.wait.value)));
}

}  // namespace

std::optional<micros> duration(std::string_view text) {
  const auto us = with_unit(text, times);
  if (!us || std::abs(*us) > 1e15) return std::nullopt;
  return micros(std::llround(*us));
}

std::string duration(micros t) {
  if (t != 0 && t % 1'000'000 == 0) return fmt::format("{}s", t / 1'000'000);
  if (t >= 1'000'000 && t % 1000 == 0) return fmt::format("{}s", double(t) / 1e6);
  if (t % 1000 == 0) return fmt::format("{}ms", t / 1000);
  return t > 1000 ? fmt::format("{}ms", double(t) / 1e3) : fmt::format("{}us", t);
}

std::string name_of(const Route& route, std::size_t number) {
  return route.name.value.empty() ? fmt::format("route \"{}\"", number) : fmt::format("route \"{}\"", route.name.value);
}

Limits effective(const File& file, const Route& route) {
  Limits l = route.limits;
  const Limits& d = file.defaults;
  const auto fill = [](auto& own, const auto& all) {
    if (!own.said()) own = all;
  };
  fill(l.posting_timeout, d.posting_timeout);
  fill(l.second_copy_after, d.second_copy_after);
  fill(l.come_back, d.come_back);
  fill(l.postings, d.postings);
  fill(l.in_flight, d.in_flight);
  fill(l.second_copies, d.second_copies);
  fill(l.further_share, d.further_share);
  // A pace and its burst are one word: a route's own rate does not go by another's burst.
  if (!l.rate.said()) {
    l.rate = d.rate;
    fill(l.burst, d.burst);
  }
  fill(l.may_repeat, d.may_repeat);
  fill(l.within, d.within);
  return l;
}

Reading read(const std::string& path, std::string_view text) {
  Reading r;
  r.file.path = path;
  r.file.hash = fmt::format("{:016x}", std::uint64_t(XXH64(text.data(), text.size(), 0)));
  try {
    const toml::table t = toml::parse(text, path);
    Reader(r).all(t);
    sort_out(r);
  } catch (const toml::parse_error& wrong) {
    const auto& at = wrong.source().begin;
    r.faults.push_back({{int(at.line), int(at.column)}, "TOML", std::string(wrong.description())});
  }
  std::stable_sort(r.faults.begin(), r.faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
  return r;
}

namespace {

struct Bytes {
  bool there = false;
  std::string text;
  timespec changed{};
};

Bytes bytes_of(const std::string& path) {
  Bytes b;
  struct stat s {};
  std::ifstream file(path, std::ios::binary);
  if (!file || ::stat(path.c_str(), &s) != 0 || !S_ISREG(s.st_mode)) return b;
  b.text.assign(std::istreambuf_iterator<char>(file), {});
  b.there = !file.bad();
  b.changed = s.st_mtim;
  return b;
}

}  // namespace

Reading load(const std::string& path, const read::House* house) {
  using namespace std::chrono_literals;
  constexpr auto settled = 60ms;
  constexpr int looks = 8;
  Bytes b = bytes_of(path);
  // Written in place just now, it may be there by half: it has to stand still first.
  for (int i = 0; b.there && i < looks; ++i) {
    const auto changed = std::chrono::seconds(b.changed.tv_sec) + std::chrono::nanoseconds(b.changed.tv_nsec);
    if (std::chrono::system_clock::now().time_since_epoch() - changed > settled) break;
    std::this_thread::sleep_for(settled);
    Bytes again = bytes_of(path);
    const bool same = again.there && again.text == b.text && again.changed.tv_sec == b.changed.tv_sec &&
                      again.changed.tv_nsec == b.changed.tv_nsec;
    b = std::move(again);
    if (same) break;
  }
  Reading r;
  if (!b.there) {
    r.file.path = path;
    r.faults.push_back({{}, "file", "can't be read"});
    return r;
  }
  r = read(path, b.text);
  if (house) check(r, *house);
  return r;
}

}  // namespace robinpin::config
