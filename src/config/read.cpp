// Reads the text of our file: types, units, ranges, names. Every fault is kept, with its place.
#include "file.h"
#include "keys.h"

namespace robinpin::config {

namespace {

constexpr std::size_t most_routes = 10'000, most_members = 4096, most_voters = 7;

class Reader : private Keys {
 public:
  explicit Reader(Reading& r) : Keys(r.faults), r_(r) {}

  void all(const toml::table& t) {
    table(t, "",
          {{"node", [&](auto& n) { part(n, "node", node_keys()); }},
           {"log", [&](auto& n) { part(n, "log", log_keys()); }},
           {"records", [&](auto& n) { part(n, "records", records_keys()); }},
           {"clients", [&](auto& n) { part(n, "clients", clients_keys()); }},
           {"deployment", [&](auto& n) { part(n, "deployment", deployment_keys()); }},
           {"fleet", [&](auto& n) { part(n, "fleet", fleet_keys()); }},
           {"defaults", [&](auto& n) { part(n, "defaults", limit_keys(r_.file.defaults, "defaults")); }},
           {"route", [&](auto& n) { routes(n); }}});
  }

 private:
  mapped node_keys() {
    Node& n = r_.file.node;
    return {{"terms", text(n.terms, "node.terms")},
            {"sockets", whole(n.sockets, "node.sockets", 40, 1'000'000)},
            {"longest_answer", size(n.longest_answer, "node.longest_answer", 1024, 1 << 30)}};
  }

  take level(Told<std::string>& to, const std::string& key) {
    return one_of<std::string>(
        to, key,
        {{"debug", "debug"}, {"info", "info"}, {"warning", "warning"}, {"error", "error"}, {"off", "off"}});
  }

  mapped log_keys() {
    Log& l = r_.file.log;
    return {{"format", one_of<std::string>(l.format, "log.format", {{"text", "text"}, {"json", "json"}})},
            {"level", level(l.level, "log.level")},
            {"fold", time(l.fold, "log.fold")},
            {"parts", [&](const toml::node& n) {
               Keys::mapped parts;
               for (const char* part : {"node", "clients", "servers", "list", "config", "records", "fleet"})
                 parts[part] = [&l, this, part](const toml::node& said) {
                   Told<std::string> found;
                   level(found, std::string("log.parts.") + part)(said);
                   if (found.said()) l.parts.emplace_back(part, found);
                 };
               this->part(n, "log.parts", parts);
             }}};
  }

  mapped records_keys() {
    Records& k = r_.file.records;
    return {{"path", text(k.path, "records.path")},
            {"rotate_at", size(k.rotate_at, "records.rotate_at", 4096, double(1UL << 40))},
            {"keep", whole(k.keep, "records.keep", 1, 10'000)},
            {"queue", whole(k.queue, "records.queue", 16, 10'000'000)},
            {"flush", time(k.flush, "records.flush", 1000)}};
  }

  mapped clients_keys() {
    Clients& c = r_.file.clients;
    return {{"patience", time(c.patience, "clients.patience")},
            {"retries", whole(c.retries, "clients.retries", 0, 100)},
            {"wait", time(c.wait, "clients.wait", 0)}};
  }

  mapped deployment_keys() {
    Deployment& d = r_.file.deployment;
    return {{"streams", whole(d.streams, "deployment.streams", 1, 100'000)},
            {"repeats_marked", flag(d.repeats_marked, "deployment.repeats_marked")},
            {"warm_keys", flag(d.warm_keys, "deployment.warm_keys")}};
  }

  mapped fleet_keys() {
    Fleet& f = r_.file.fleet;
    return {{"name", text(f.name, "fleet.name")},
            {"me", text(f.me, "fleet.me")},
            {"hall", text(f.hall, "fleet.hall")},
            {"listen", text(f.listen, "fleet.listen")},
            {"store", text(f.store, "fleet.store")},
            {"beat", time(f.beat, "fleet.beat", 20'000, 60'000'000)},
            {"drift", number(f.drift, "fleet.drift", 0.2, "no clock runs that true")},
            {"open", flag(f.open, "fleet.open")},
            {"member", [&](const toml::node& n) {
               each(n, "fleet.member", most_members, [&](const toml::table& t, At at) {
                 Fleet::Member& m = f.members.emplace_back();
                 m.at = at;
                 const std::string where = fmt::format("fleet.member {}", f.members.size());
                 table(t, where,
                       {{"name", text(m.name, in(where, "name"))},
                        {"address", text(m.address, in(where, "address"))},
                        {"voter", flag(m.voter, in(where, "voter"))}});
               });
             }}};
  }

  mapped limit_keys(Limits& l, const std::string& where) {
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
            {"repeats", one_of<repeats>(l.may_repeat, key("repeats"),
                                        {{"repeatable", repeats::repeatable},
                                         {"referenced", repeats::referenced},
                                         {"once-only", repeats::once_only}})},
            {"within", one_of<group>(l.within, key("within"),
                                     {{"all", group::all}, {"zone", group::zone}, {"cell", group::cell}})}};
  }

  void routes(const toml::node& n) {
    each(n, "route", most_routes, [&](const toml::table& t, At at) {
      Route& r = r_.file.routes.emplace_back();
      r.at = at;
      if (const auto* name = t.get("name")) r.name.value = name->value_exact<std::string>().value_or("");
      const std::string where = name_of(r, r_.file.routes.size());
      mapped own = limit_keys(r.limits, where);
      own["name"] = text(r.name, in(where, "name"));
      own["scheme"] = text(r.scheme, in(where, "scheme"));
      own["method"] = text(r.method, in(where, "method"));
      own["path"] = text(r.path, in(where, "path"));
      own["tenant"] = text(r.tenant, in(where, "tenant"));
      table(t, where, own);
      if (!t.get("name"))
        fault(r.at, in(where, "name"), "is missing; name the route, for its log and counts");
      if (const std::string& p = r.path.value;
          !p.empty() && (p[0] != '/' || p.find_first_of("?# ") != std::string::npos))
        fault(r.path.at, in(where, "path"),
              "must be a path that begins with / and has no query, as \"/api\"");
      if (const std::string& m = r.method.value;
          std::any_of(m.begin(), m.end(), [](char c) { return c < 'A' || c > 'Z'; }))
        fault(r.method.at, in(where, "method"), "must be a method in capitals, as \"POST\"");
    });
  }

  Reading& r_;
};

// Names and addresses go into what voters agree on and into headers: plain words.
bool plain(const std::string& s) {
  return s.size() <= 64 && std::all_of(s.begin(), s.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
                  c == '_' || c == '.';
         });
}

bool numeric_address(const std::string& s) {
  const auto colon = s.rfind(':');
  if (colon == std::string::npos || colon == 0) return false;
  const std::string port = s.substr(colon + 1);
  const std::string host = s.substr(0, colon);
  return !port.empty() && port.size() <= 5 &&
         std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; }) &&
         std::stoi(port) >= 1 && std::stoi(port) <= 65535 &&
         host.find_first_not_of("0123456789abcdefABCDEF.:[]") == std::string::npos;
}

void sort_out_fleet(const Fleet& f, const std::function<void(At, std::string, std::string)>& fault) {
  const bool any = f.listen.said() || f.store.said() || f.me.said() || !f.members.empty();
  if (!f.on()) {
    if (any)
      fault(f.listen.said()  ? f.listen.at
            : f.store.said() ? f.store.at
            : f.me.said()    ? f.me.at
                             : f.members[0].at,
            "fleet.name", "is missing: which fleet is this a member of?");
    return;
  }
  if (!plain(f.name.value)) fault(f.name.at, "fleet.name", "must be a plain word: letters, digits and -_.");
  if (f.me.said() && !plain(f.me.value))
    fault(f.me.at, "fleet.me", "must be a plain word: letters, digits and -_.");
  if (!f.listen.said())
    fault(f.name.at, "fleet.listen", "is missing: where other nodes reach this one, as \"10.0.0.7:7100\"");
  if (f.listen.said() && !numeric_address(f.listen.value))
    fault(f.listen.at, "fleet.listen", "must be a numeric address and port, as \"10.0.0.7:7100\"");
  if (f.listen.said() && !f.open.value &&
      (f.listen.value.starts_with("0.0.0.0:") || f.listen.value.starts_with("[::]:")))
    fault(f.listen.at, "fleet.listen",
          "is every address of the machine, and who reaches it is believed: name the one of the inner "
          "network, or say open = true");
  std::map<std::string, At> names;
  std::size_t voters = 0;
  for (const auto& m : f.members) {
    if (!m.name.said() || !plain(m.name.value))
      fault(m.name.said() ? m.name.at : m.at, "fleet.member name", "is missing or no plain word");
    if (!m.address.said() || !numeric_address(m.address.value))
      fault(m.address.said() ? m.address.at : m.at, "fleet.member address",
            "must be a numeric address and port");
    if (const auto [it, fresh] = names.try_emplace(m.name.value, m.at); !fresh && m.name.said())
      fault(m.name.at, "fleet.member name", fmt::format("stands in line {}, too", it->second.line));
    voters += m.voter.value ? 1 : 0;
  }
  if (voters == 0)
    fault(f.name.at, "fleet.member",
          "none is a voter: say voter = true for three of them, or five, or seven");
  if (voters > most_voters)
    fault(f.name.at, "fleet.member", fmt::format("{} voters are over the most, {}", voters, most_voters));
}

// What no house can make good: limits that contradict each other, names that stand twice.
void sort_out(Reading& r) {
  const auto fault = [&](At at, std::string key, std::string what) {
    r.faults.push_back({at, std::move(key), std::move(what)});
  };
  sort_out_fleet(r.file.fleet, fault);
  if (const auto n = std::count_if(r.file.fleet.members.begin(), r.file.fleet.members.end(),
                                   [](const auto& m) { return m.voter.value; });
      n > 0 && n % 2 == 0)
    r.notes.push_back({r.file.fleet.name.at, "fleet.member",
                       fmt::format("{} voters bear no more failures than {}", n, n - 1)});
  std::map<std::string, At> names{{"defaults", {}}};
  const auto limits = [&](const Limits& own, const Limits& all, const std::string& where,
                          const std::string& dot) {
    // Told at the place where a fault is to be mended: the route's own word before the defaults'.
    const auto at = [&](At first, At then) { return first.said() ? first : then; };
    if (all.burst.said() && !all.rate.said())
      fault(at(own.burst.at, all.burst.at), where + dot + "burst",
            "says nothing without a rate; say rate, too");
    if (all.burst.said() && all.burst.value < 1)
      fault(at(own.burst.at, all.burst.at), where + dot + "burst",
            "is under one: nothing would ever be taken");
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
          fmt::format("leaves no time for a try: {} waits of {} are {}", c.retries.value,
                      duration(c.wait.value), duration(c.retries.value * c.wait.value)));
}

}  // namespace

std::string name_of(const Route& route, std::size_t number) {
  return route.name.value.empty() ? fmt::format("route \"{}\"", number)
                                  : fmt::format("route \"{}\"", route.name.value);
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

read::House applied(const File& file, read::House house) {
  const Deployment& d = file.deployment;
  if (d.streams.said()) house.terms.streams = d.streams.value;
  if (d.repeats_marked.said()) house.terms.repeats_marked = d.repeats_marked.value;
  if (d.warm_keys.said()) house.terms.warm_keys = d.warm_keys.value;
  return house;
}

Reading read(const std::string& path, std::string_view text) {
  Reading r;
  r.file.path = path;
  r.file.hash = hash_of(text);
  read_toml(path, text, r.faults, [&](const toml::table& t) {
    Reader(r).all(t);
    sort_out(r);
  });
  return r;
}

Reading load(const std::string& path, const read::House* house) {
  Reading r;
  if (const auto text = settled_bytes(path)) {
    r = read(path, *text);
    if (house) check(r, *house);
    return r;
  }
  r.file.path = path;
  r.faults.push_back({{}, "file", "can't be read"});
  return r;
}

}  // namespace robinpin::config
