#include "house.h"

#include <algorithm>
#include <initializer_list>
#include <utility>

namespace robinpin::read {

namespace {

// A text that must be one of a few words.
template <typename Meaning>
Meaning one_of(const value& o, const char* name, const char* absent,
               std::initializer_list<std::pair<const char*, Meaning>> words) {
  const std::string said = text(o, name, absent);
  for (const auto& [word, meaning] : words)
    if (said == word) return meaning;
  wrong(std::string(name) + " " + said + " is not known");
}

scheme_row scheme_of(const value& s) {
  object(s, "Schemes entry");
  scheme_row row;
  row.kind = one_of<repeats>(
      s, "Effect", "safe",
      {{"safe", repeats::repeatable}, {"keyed", repeats::referenced}, {"unsafe", repeats::once_only}});
  row.within =
      one_of<group>(s, "Group", "all", {{"all", group::all}, {"zone", group::zone}, {"cell", group::cell}});
  row.memory = time_of(s, "Window", 0);
  row.sla = time_of(s, "SlaTime");
  row.sla_stretch = number(s, "AimStretch", 0);
  row.expiry = time_of(s, "Expiry");
  row.revenue = number(s, "Revenue", 1);
  row.late_revenue = number(s, "TardyRevenue", 0);
  return row;
}

// Of whole things, as far as an int goes; what is no number above 0 the node tells where it checks.
int count_of(const value& o, const char* name) {
  const double n = number(o, name, 1);
  if (!(n < 1e9)) wrong(std::string(name) + " is too large");
  return int(std::max(-1.0, n));
}

void named(std::unordered_map<std::string, int>& numbers, std::vector<std::string>& names,
           const std::string& name) {
  if (!numbers.emplace(name, int(names.size())).second) wrong("Name " + name + " stands twice");
  names.push_back(name);
}

template <typename Row>
void renumber(std::unordered_map<std::string, int>& numbers, std::vector<std::string>& names,
              std::vector<Row>& rows, const std::vector<std::string>& names_now,
              const std::vector<Row>& rows_now) {
  const auto read = std::exchange(names, names_now);
  const auto rows_read = std::exchange(rows, rows_now);
  for (std::size_t i = 0; i < read.size(); ++i) {
    const auto n = std::size_t(std::find(names.begin(), names.end(), read[i]) - names.begin());
    if (n == names.size()) names.push_back(read[i]);
    rows.resize(names.size());
    rows[n] = rows_read[i];
    numbers[read[i]] = int(n);
  }
  if (names.size() > most_names) wrong("more than " + std::to_string(most_names) + " names since the start");
}

}  // namespace

House renumbered(House next, const House& now) {
  inside("Schemes", [&] {
    renumber(next.schemes, next.scheme_names, next.terms.schemes, now.scheme_names, now.terms.schemes);
  });
  inside("Tenants", [&] {
    renumber(next.tenants, next.tenant_names, next.terms.allowances, now.tenant_names, now.terms.allowances);
  });
  return next;
}

House house(const value& c) {
  House h;
  Terms& t = h.terms;
  each(need(c, "Schemes"), "Schemes", [&](const value& s) {
    t.schemes.push_back(scheme_of(s));
    named(h.schemes, h.scheme_names, text(need(s, "Name"), "Name"));
  });
  if (const value* list = find(c, "Tenants"))
    each(*list, "Tenants", [&](const value& s) {
      t.allowances.push_back(number(object(s, "Tenants entry"), "AllowancePerS", 0));
      named(h.tenants, h.tenant_names, text(need(s, "Name"), "Name"));
    });
  const value nothing(rapidjson::kObjectType);
  const auto part = [&](const char* name) -> const value& {
    const value* v = find(c, name);
    return v ? object(*v, name) : nothing;
  };
  const value &allow = part("Permissions"), &rules = part("Guarantees"), &prices = part("Prices");
  const value& stats = part("Stats");
  t.beyond_share = number(c, "BeyondShareRevenue", 1);
  t.zone = text(c, "Zone", "");
  if (const value* v = find(c, "Tier")) t.tier = integer(*v, "Tier");
  if (const value* v = find(c, "Me")) t.me = integer(*v, "Me");
  if (const value* v = find(c, "PeersTotal")) t.nodes = std::max(1, integer(*v, "PeersTotal"));
  if (const value* v = find(c, "Stages")) t.tiers = int(array(*v, "Stages").Size());
  t.by_work = text(c, "RevenueBy", "request") == "work";
  t.ask_list = text(c, "Discovery", "automatic") == "subscribe";
  const std::string weights = text(c, "Weights", "off");
  t.sizes_told = weights == "nominal" || weights == "rough";
  t.may_probe = flag(allow, "Probes");
  t.may_withdraw = flag(allow, "Cancel");
  t.two_at_once = flag(allow, "SecondCopies");
  t.advice_heeded = flag(allow, "RetryAfter");
  t.most_postings = count_of(allow, "MostPostings");
  t.streams = count_of(allow, "StreamsPerConn");
  t.repeats_marked = flag(part("Callers"), "MarksRetry");
  t.warm_keys = flag(part("FamilyInfo"), "WarmKeys");
  t.longest_advice = time_of(allow, "MaxRetryAfter", 0);
  t.ask_every = time_of(rules, "AskEvery", 10000);
  t.cold_for = time_of(rules, "Cold", 0);
  t.cold_from = number(rules, "ColdFrom", 1);
  t.tip_multiple = number(rules, "TipMultiple", 1);
  t.resend_span = time_of(rules, "ResendSpan", 0);
  t.free_resends = number(rules, "FreeResends", 0);
  t.extra_share = number(rules, "ExtraShare", 0);
  t.tip_window = time_of(rules, "OverloadFor", 0);
  t.price_crossing = number(prices, "CrossZone", 0);
  if (const value* names = find(stats, "Names"))
    each(*names, "Stats.Names", [&](const value& n) { h.figures.push_back(text(n, "name")); });
  h.dial_limit = time_of(allow, "DialTimeout", 250);
  h.keep_idle = time_of(allow, "Keepalive", 15000);
  return h;
}

Line line_of(const value& entry, const ListNames& n) {
  object(entry, "list entry");
  Line line;
  line.server = text(need(entry, n.server), n.server);
  line.zone = text(entry, n.zone, "");
  line.kind = text(entry, n.kind, "");
  if (const value* cell = find(entry, n.cell)) line.cell = integer(*cell, n.cell);
  line.size = number(entry, n.size, 1);
  line.started = time_of(entry, n.started, 0);
  line.state = one_of<standing>(
      entry, n.state, "",
      {{n.serving, standing::serving}, {n.draining, standing::draining}, {n.gone, standing::gone}});
  return line;
}

void set_figure(Report& report, const std::string& name, double v) {
  if (name == "pending")
    report.waiting = v;
  else if (name == "busy_reqs")
    report.in_work = v;
  else if (name == "cpu_share")
    report.busy = v;
  else if (name == "svc_ms")
    report.service = time_of(v, "svc_ms");
}

}  // namespace robinpin::read
