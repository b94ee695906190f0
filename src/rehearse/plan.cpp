#include "plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "../config/keys.h"

namespace robinpin::rehearse {

namespace {

using config::Keys;

constexpr std::pair<const char*, trouble> troubles[] = {{"slow", trouble::slow},
                                                        {"taken", trouble::taken},
                                                        {"silent", trouble::silent},
                                                        {"dead", trouble::dead},
                                                        {"hanging", trouble::hanging},
                                                        {"failing", trouble::failing},
                                                        {"refusing", trouble::refusing},
                                                        {"reset", trouble::reset},
                                                        {"spoilt", trouble::spoilt},
                                                        {"dear", trouble::dear},
                                                        {"list-behind", trouble::list_behind},
                                                        {"list-broken", trouble::list_broken},
                                                        {"nodes-restart", trouble::nodes_restart},
                                                        {"hall-cut", trouble::hall_cut},
                                                        {"deploy", trouble::deploy},
                                                        {"jump", trouble::jump}};

// What a key is read into must outlive the reading; this keeps those that are not the plan's own type.
class Reader : private Keys {
 public:
  explicit Reader(PlanRead& r) : Keys(r.faults), plan_(r.plan) {}

  void all(const toml::table& t) {
    Plan& p = plan_;
    table(t, "",
          {{"name", plain(p.name, "name")},
           {"about", plain(p.about, "about")},
           {"length", span(p.length, "length", 1'000'000)},
           {"warm_up", span(p.warm_up, "warm_up", 0)},
           {"nodes", [&](auto& n) { part(n, "nodes", nodes()); }},
           {"load", [&](auto& n) { part(n, "load", load()); }},
           {"clients", [&](auto& n) { part(n, "clients", clients()); }},
           {"net", [&](auto& n) { part(n, "net", net()); }},
           {"list", [&](auto& n) { part(n, "list", list()); }},
           {"terms", [&](auto& n) { part(n, "terms", terms()); }},
           {"kit",
            [&](auto& n) {
              part(n, "kit", {{"late_p99", span(p.late_limit, "kit.late_p99", 1)}});
            }},
           {"hall", [&](auto& n) { halls(n); }},
           {"tier", [&](auto& n) { tiers(n); }},
           {"scheme", [&](auto& n) { schemes(n); }},
           {"tenant", [&](auto& n) { tenants(n); }},
           {"fault", [&](auto& n) { mishaps(n); }},
           {"expect", [&](auto& n) { expect(n); }}});
    sort_out();
  }

 private:
  // A key read straight into a field.
  template <typename T, typename Take>
  take straight(T& to, Take read) {
    return [this, &to, read](const toml::node& n) {
      Told<T> told;
      read(told)(n);
      if (told.said()) to = told.value;
    };
  }
  take span(micros& to, const std::string& key, micros least) {
    return straight(to, [=, this](Told<micros>& t) { return time(t, key, least); });
  }
  take num(double& to, const std::string& key, double most, bool zero = false) {
    return straight(
        to, [=, this](Told<double>& t) { return number(t, key, most, zero ? "" : "it must be above zero"); });
  }
  take count(int& to, const std::string& key, int least, int most) {
    return straight(to, [=, this](Told<int>& t) { return whole(t, key, least, most); });
  }
  take plain(std::string& to, const std::string& key) {
    return straight(to, [=, this](Told<std::string>& t) { return text(t, key); });
  }
  take yes(bool& to, const std::string& key) {
    return straight(to, [=, this](Told<bool>& t) { return flag(t, key); });
  }
  template <typename T>
  take word_of(T& to, const std::string& key, std::vector<std::pair<std::string, T>> words) {
    return straight(to, [=, this](Told<T>& t) { return one_of<T>(t, key, words); });
  }
  take pair(std::pair<double, double>& to, const std::string& key) {
    return [this, &to, key](const toml::node& n) {
      const auto* list = n.as_array();
      const auto a = list && list->size() == 2 ? (*list)[0].value<double>() : std::nullopt;
      const auto b = list && list->size() == 2 ? (*list)[1].value<double>() : std::nullopt;
      if (!a || !b || !(*a >= 0 && *a <= *b && *b <= 100))
        fault(config::at_of(n), key, "must be two numbers from 0 to 100, the lower first, as [1.5, 2.5]");
      else
        to = {*a, *b};
    };
  }

  mapped nodes() {
    Plan& p = plan_;
    return {{"count", count(p.nodes, "nodes.count", 1, 64)},
            {"config", plain(p.config, "nodes.config")},
            {"memory_mb", count(p.memory_mb, "nodes.memory_mb", 0, 65536)},
            {"sockets", count(p.sockets, "nodes.sockets", 64, 65536)},
            {"front_notice", span(p.front_notice, "nodes.front_notice", 0)}};
  }
  mapped load() {
    model::Mix& m = plan_.mix;
    return {{"rate", num(m.rate, "load.rate", 20'000)},
            {"shape", word_of<model::shape>(m.form, "load.shape",
                                            {{"steady", model::shape::steady},
                                             {"ramp", model::shape::ramp},
                                             {"wave", model::shape::wave},
                                             {"bursty", model::shape::bursty}})},
            {"swing", num(m.swing, "load.swing", 0.95, true)},
            {"turn", span(m.turn, "load.turn", 100'000)},
            {"replay", plain(plan_.replay, "load.replay")},
            {"pace", num(plan_.pace, "load.pace", 100)}};
  }
  mapped clients() {
    model::Manners& c = plan_.clients;
    return {{"retries", count(c.retries, "clients.retries", 0, 10)},
            {"try_share", num(c.try_share, "clients.try_share", 1)},
            {"wait", span(c.wait, "clients.wait", 0)},
            {"doubling", yes(c.doubling, "clients.doubling")},
            {"heeds", num(c.heeds, "clients.heeds", 1, true)},
            {"longest_advice", span(c.longest_advice, "clients.longest_advice", 0)},
            {"marks", yes(c.marks, "clients.marks")}};
  }
  mapped net() {
    Net& n = plan_.net;
    return {{"same", span(n.same, "net.same", 0)},
            {"cross", span(n.cross, "net.cross", 0)},
            {"client", span(n.client, "net.client", 0)},
            {"jitter", num(n.jitter, "net.jitter", 1, true)}};
  }
  mapped list() {
    model::Ways& w = plan_.list;
    return {{"notice", span(w.notice, "list.notice", 0)},
            {"silent_notice", span(w.silent_notice, "list.silent_notice", 0)},
            {"add", span(w.add, "list.add", 0)},
            {"call_lines", num(w.call_lines, "list.call_lines", 1e6, true)},
            {"lines_a_second", num(w.lines_a_second, "list.lines_a_second", 1e9, true)},
            {"gives_up", span(w.gives_up, "list.gives_up", 1000)}};
  }
  mapped terms() {
    Permissions& p = plan_.permissions;
    return {{"postings", count(p.most_postings, "terms.postings", 1, 100)},
            {"cancel", yes(p.cancel, "terms.cancel")},
            {"second_copies", yes(p.second_copies, "terms.second_copies")},
            {"retry_after", yes(p.retry_after, "terms.retry_after")},
            {"dial", span(p.dial, "terms.dial", 1000)},
            {"keepalive", span(p.keepalive, "terms.keepalive", 100'000)},
            {"ask_every", span(p.ask_every, "terms.ask_every", 100'000)},
            {"drain_grace", span(p.drain_grace, "terms.drain_grace", 0)}};
  }

  void halls(const toml::node& n) {
    each(n, "hall", 16, [&](const toml::table& t, At) {
      Hall& h = plan_.halls.emplace_back();
      table(t, "hall", {{"name", plain(h.name, "hall.name")}, {"share", num(h.share, "hall.share", 1000)}});
    });
  }

  mapped make(BoxKind& k, const std::string& where) {
    model::Make& m = k.make;
    const auto key = [&](const char* name) { return where + "." + name; };
    return {{"name", plain(k.name, key("name"))},
            {"count", count(k.count, key("count"), 1, 500)},
            {"cores", count(m.cores, key("cores"), 1, 256)},
            {"speed", num(m.speed, key("speed"), 100)},
            {"slots", count(m.slots, key("slots"), 1, 100'000)},
            {"queue", count(m.queue, key("queue"), 0, 100'000)},
            {"thrash", num(m.thrash, key("thrash"), 10, true)},
            {"thrash_at", num(m.thrash_at, key("thrash_at"), 1000)},
            {"cold_from", num(m.cold_from, key("cold_from"), 1)},
            {"cold_for", span(m.cold_for, key("cold_for"), 0)},
            {"cancel", word_of<model::cancels>(m.cancel, key("cancel"),
                                               {{"none", model::cancels::none},
                                                {"queued", model::cancels::queued},
                                                {"all", model::cancels::all}})},
            {"drops_expired", yes(m.drops_expired, key("drops_expired"))},
            {"connections", count(m.connections, key("connections"), 1, 100'000)},
            {"handshake", span(m.handshake, key("handshake"), 0)},
            {"error_rate", num(m.error_rate, key("error_rate"), 1, true)},
            {"choke_at", num(m.choke_at, key("choke_at"), 1e6)},
            {"choke_slower", num(m.choke_slower, key("choke_slower"), 100)},
            {"choke_below", num(m.choke_below, key("choke_below"), 1)},
            {"choke_over", span(m.choke_over, key("choke_over"), 100'000)},
            {"choke_rest", span(m.choke_rest, key("choke_rest"), 0)},
            {"choke_most", span(m.choke_most, key("choke_most"), 0)},
            {"fall_multiple", num(m.fall_multiple, key("fall_multiple"), 1000)},
            {"fall_window", span(m.fall_window, key("fall_window"), 100'000)},
            {"report_every", span(m.report_every, key("report_every"), 100'000)},
            {"report_delay", span(m.report_delay, key("report_delay"), 0)},
            {"report_noise", num(m.report_noise, key("report_noise"), 1, true)}};
  }

  void tiers(const toml::node& n) {
    each(n, "tier", 4, [&](const toml::table& t, At) {
      Tier& tier = plan_.tiers.emplace_back();
      table(t, "tier",
            {{"name", plain(tier.name, "tier.name")},
             {"work", num(tier.work, "tier.work", 1)},
             {"calls", pair(tier.calls, "tier.calls")},
             {"box", [&](const toml::node& boxes) {
                each(boxes, "tier.box", 32, [&](const toml::table& b, At) {
                  BoxKind kind;
                  const mapped keys = make(kind, "tier.box");
                  table(b, "tier.box", keys);
                  tier.kinds.push_back(kind);
                });
              }}});
    });
  }

  void schemes(const toml::node& n) {
    each(n, "scheme", 32, [&](const toml::table& t, At at) {
      model::SchemeOf s;
      Told<micros> work;
      const std::string w = "scheme";
      table(t, w,
            {{"name", plain(s.name, w + ".name")},
             {"share", num(s.share, w + ".share", 1000)},
             {"work", time(work, w + ".work")},
             {"spread", num(s.spread, w + ".spread", 10, true)},
             {"sla", span(s.sla, w + ".sla", 1000)},
             {"expiry", span(s.expiry, w + ".expiry", 1000)},
             {"revenue", num(s.revenue, w + ".revenue", 1e9)},
             {"repeats", word_of<repeats>(s.kind, w + ".repeats",
                                          {{"repeatable", repeats::repeatable},
                                           {"referenced", repeats::referenced},
                                           {"once-only", repeats::once_only}})},
             {"within", word_of<group>(s.within, w + ".within",
                                       {{"all", group::all}, {"zone", group::zone}, {"cell", group::cell}})},
             {"memory", span(s.memory, w + ".memory", 0)}});
      if (work.said()) s.work = double(work.value);
      if (s.sla > s.expiry) fault(at, "scheme.sla", "is longer than the scheme's expiry");
      if (s.kind == repeats::referenced && s.memory == 0)
        fault(at, "scheme.memory", "is missing: how long boxes know a mark of a referenced scheme");
      plan_.mix.schemes.push_back(std::move(s));
    });
  }

  void tenants(const toml::node& n) {
    each(n, "tenant", 1000, [&](const toml::table& t, At) {
      model::TenantOf tenant;
      table(t, "tenant",
            {{"name", plain(tenant.name, "tenant.name")},
             {"share", num(tenant.share, "tenant.share", 1000)},
             {"allowance", num(tenant.allowance, "tenant.allowance", 1e9)}});
      plan_.mix.tenants.push_back(std::move(tenant));
    });
  }

  void mishaps(const toml::node& n) {
    each(n, "fault", 200, [&](const toml::table& t, At at) {
      Mishap m;
      m.at = at;
      Told<std::vector<std::string>> boxes;
      Told<trouble> what;
      Told<bool> killed;
      std::vector<std::pair<std::string, trouble>> words;
      for (const auto& [name, meaning] : troubles) words.emplace_back(name, meaning);
      table(t, "fault",
            {{"what", one_of<trouble>(what, "fault.what", words)},
             {"at", span(m.from, "fault.at", 0)},
             {"for", span(m.span, "fault.for", 100'000)},
             {"tier", plain(m.tier, "fault.tier")},
             {"hall", plain(m.hall, "fault.hall")},
             {"scheme", plain(m.scheme, "fault.scheme")},
             {"boxes", this->words(boxes, "fault.boxes")},
             {"share", num(m.share, "fault.share", 1)},
             {"size", num(m.size, "fault.size", 1000)},
             {"together", count(m.together, "fault.together", 1, 500)},
             {"down", span(m.down, "fault.down", 0)},
             {"killed", yes(m.killed, "fault.killed")}});
      m.boxes = boxes.value;
      m.what = what.value;
      if (!t.get("what")) fault(at, "fault.what", "is missing");
      if (!t.get("at")) fault(at, "fault.at", "is missing: when it begins, as \"10s\"");
      if (what.said()) sized(m);
      plan_.mishaps.push_back(std::move(m));
    });
  }

  void sized(const Mishap& m) {
    const bool part = m.what == trouble::taken || m.what == trouble::failing || m.what == trouble::reset ||
                      m.what == trouble::spoilt;
    if (part && m.size > 1)
      fault(m.at, "fault.size", fmt::format("of \"{}\" is a share, from above 0 to 1", word(m.what)));
    if (m.what == trouble::taken && m.size == 1) fault(m.at, "fault.size", "leaves nothing; say hanging");
    if (m.what == trouble::slow && m.size < 1)
      fault(m.at, "fault.size", "of \"slow\" is how many times slower, from 1");
    if (m.what == trouble::dear && m.scheme.empty())
      fault(m.at, "fault.scheme", "is missing: whose txns turn dear");
    if (m.what == trouble::hall_cut && m.hall.empty())
      fault(m.at, "fault.hall", "is missing: which hall is cut off");
  }

  void expect(const toml::node& n) {
    Expect& e = plan_.expect;
    const auto points = [&](Told<double>& to, const std::string& key) { return number(to, key, 100, ""); };
    const auto by_name = [&, points](std::map<std::string, Told<double>>& to, const std::string& where) {
      return [this, &to, where, points](const toml::node& of) {
        const auto* t = of.as_table();
        if (!t) return fault(config::at_of(of), where, fmt::format("must be a table: [{}]", where));
        for (const auto& [k, v] : *t) points(to[std::string(k.str())], where + "." + std::string(k.str()))(v);
      };
    };
    part(n, "expect",
         {{"service", points(e.service, "expect.service")},
          {"waste", points(e.waste, "expect.waste")},
          {"tipped", whole(e.tipped, "expect.tipped", 0, 100'000)},
          {"hall", by_name(e.halls, "expect.hall")},
          {"scheme", by_name(e.schemes, "expect.scheme")}});
  }

  template <typename List>
  std::set<std::string> names_of(const List& list, const char* what) {
    std::set<std::string> names;
    for (const auto& one : list) {
      if (one.name.empty()) fault({1, 1}, std::string(what) + ".name", "is missing");
      if (!names.insert(one.name).second)
        fault({1, 1}, std::string(what) + ".name", "\"" + one.name + "\" stands twice");
    }
    return names;
  }

  void known(At at, const std::string& key, const std::string& name, const std::set<std::string>& names) {
    if (!name.empty() && !names.contains(name))
      fault(at, key, fmt::format("\"{}\" is not in the plan; there are {}", name, fmt::join(names, ", ")));
  }

  void sort_out() {
    Plan& p = plan_;
    if (p.halls.empty()) p.halls.push_back({"here", 1});
    for (const Hall& h : p.halls) p.mix.halls.push_back(h.share);
    for (std::size_t i = 1; i < p.tiers.size(); ++i) p.mix.calls.push_back(p.tiers[i].calls);
    if (p.tiers.empty())
      fault({1, 1}, "tier", "is missing: a plan needs boxes, as [[tier]] with [[tier.box]]");
    if (p.mix.schemes.empty()) fault({1, 1}, "scheme", "is missing: a plan needs txns, as [[scheme]]");
    if (p.warm_up >= p.length) fault({1, 1}, "warm_up", "leaves nothing of the length to count");
    const auto halls = names_of(p.halls, "hall"), tiers = names_of(p.tiers, "tier"),
               schemes = names_of(p.mix.schemes, "scheme");
    names_of(p.mix.tenants, "tenant");
    std::set<std::string> boxes, kinds;
    for (const Tier& t : p.tiers) {
      if (t.kinds.empty()) fault({1, 1}, "tier.box", "is missing in tier \"" + t.name + "\"");
      for (const BoxKind& k : t.kinds) {
        if (k.name.empty()) fault({1, 1}, "tier.box.name", "is missing");
        if (!kinds.insert(k.name).second) fault({1, 1}, "tier.box.name", "\"" + k.name + "\" stands twice");
        for (int i = 1; i <= k.count; ++i) boxes.insert(k.name + "-" + std::to_string(i));
      }
    }
    for (const Mishap& m : p.mishaps) {
      known(m.at, "fault.hall", m.hall, halls);
      known(m.at, "fault.tier", m.tier, tiers);
      known(m.at, "fault.scheme", m.scheme, schemes);
      for (const auto& b : m.boxes) known(m.at, "fault.boxes", b, boxes);
      if (m.from >= p.length) fault(m.at, "fault.at", "is after the plan's end");
    }
    for (const auto& [name, told] : p.expect.halls) known(told.at, "expect.hall", name, halls);
    for (const auto& [name, told] : p.expect.schemes) known(told.at, "expect.scheme", name, schemes);
  }

  Plan& plan_;
};

// "load.rate=500" into the table: tables by dots, lists of tables by their name or number.
std::string put(toml::table& t, const std::string& pair) {
  const auto equals = pair.find('=');
  if (equals == std::string::npos || equals == 0) return "is no key=value";
  std::string key = pair.substr(0, equals);
  const std::string value = pair.substr(equals + 1);
  toml::table said;
  try {
    said = toml::parse("v = " + value);
  } catch (const toml::parse_error&) {
    said = toml::table{{"v", value}};  // a bare word is text
  }
  toml::node* at = &t;
  for (;;) {
    const auto dot = key.find('.');
    const std::string name = key.substr(0, dot);
    const bool last = dot == std::string::npos;
    if (auto* list = at->as_array()) {
      toml::node* found = nullptr;
      for (auto& one : *list)
        if (const auto* table = one.as_table(); table && (*table)["name"].value<std::string>() == name)
          found = &one;
      if (!found && !name.empty() && name.find_first_not_of("0123456789") == std::string::npos &&
          name.size() < 6)
        found = list->get(std::size_t(std::stoul(name)));
      if (!found || last) return "names nothing in the plan";
      at = found;
    } else if (auto* table = at->as_table()) {
      if (last) {
        table->insert_or_assign(name, *said.get("v"));
        return "";
      }
      if (!table->get(name)) table->insert(name, toml::table{});
      at = table->get(name);
    } else {
      return "names nothing in the plan";
    }
    key = key.substr(dot + 1);
  }
}

}  // namespace

const char* word(trouble what) {
  for (const auto& [name, meaning] : troubles)
    if (meaning == what) return name;
  return "";
}

PlanRead read_plan(const std::string& path, std::string_view text, const std::vector<std::string>& set) {
  PlanRead r;
  r.plan.path = path;
  r.plan.name = std::filesystem::path(path).stem().string();
  config::read_toml(path, text, r.faults, [&](toml::table& t) {
    for (const std::string& pair : set)
      if (const std::string wrong = put(t, pair); !wrong.empty())
        r.faults.push_back({{}, "--set " + pair, wrong});
    Reader(r).all(t);
  });
  return r;
}

PlanRead load_plan(const std::string& path, const std::vector<std::string>& set) {
  if (const auto text = config::settled_bytes(path)) return read_plan(path, *text, set);
  PlanRead r;
  r.plan.path = path;
  r.faults.push_back({{}, "file", "can't be read"});
  return r;
}

}  // namespace robinpin::rehearse
