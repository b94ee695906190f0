// What a file says, held against the house's terms and the four rules. Every refusal names the rule, the
// route and the sum that breaks it.
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>

#include "file.h"

namespace robinpin::config {

namespace {

const char* const no_txn_lost = "rule 1 (no txn lost): ";
const char* const no_effect_twice = "rule 2 (no effect twice): ";

// The schemes by number, in the order of the terms, for messages that do not change from run to run.
std::vector<std::string> names(const std::unordered_map<std::string, int>& by_name, std::size_t most) {
  std::vector<std::string> found(most);
  for (const auto& [name, i] : by_name)
    if (i >= 0 && std::size_t(i) < most) found[std::size_t(i)] = name;
  return found;
}

std::string nearest(const std::string& said, const std::vector<std::string>& known) {
  std::string list;
  for (const auto& k : known) list += (list.empty() ? "" : ", ") + k;
  return fmt::format("\"{}\" is not among the house's: {}", said, list.empty() ? "there are none" : list);
}

// Long lists are told by their first.
std::string told(const std::vector<std::string>& of) {
  std::string all;
  for (std::size_t i = 0; i < std::min<std::size_t>(of.size(), 3); ++i) all += (i ? ", " : "") + of[i];
  return of.size() > 3 ? fmt::format("{} and {} more", all, of.size() - 3) : all;
}

class Check {
 public:
  Check(Reading& r, const read::House& house)
      : r_(r),
        file_(r.file),
        house_(house),
        terms_(house.terms),
        schemes_(names(house.schemes, terms_.schemes.size())),
        tenants_(names(house.tenants, terms_.allowances.size())) {}

  void all() {
    bool known = true;
    for (std::size_t i = 0; i < file_.routes.size(); ++i)
      known = names_known(file_.routes[i], i + 1) && known;
    notes();
    if (!known) return;  // whom a route meets can't be told before its names can
    const limits::Table table(config::routes(file_, house_));
    std::vector<std::set<int>> met(table.routes().size());
    for (std::size_t i = 0; i < met.size(); ++i) meets(table, i, met[i]);
    for (std::size_t i = 0; i < file_.routes.size(); ++i) {
      if (met[i].empty())
        never_met(table, i);
      else
        hold(effective(file_, file_.routes[i]), name_of(file_.routes[i], i + 1) + " ", met[i]);
    }
    hold(file_.defaults, "defaults.", met.back());
  }

 private:
  void fault(At at, const std::string& key, std::string what) {
    r_.faults.push_back({at, key, std::move(what)});
  }
  void note(At at, const std::string& key, std::string what) {
    r_.notes.push_back({at, key, std::move(what)});
  }

  bool names_known(const Route& route, std::size_t number) {
    const std::string where = name_of(route, number);
    bool good = true;
    if (route.scheme.said() && !house_.schemes.contains(route.scheme.value)) {
      fault(route.scheme.at, where + " scheme", nearest(route.scheme.value, schemes_));
      good = false;
    }
    if (route.tenant.said() && !house_.tenants.contains(route.tenant.value)) {
      fault(route.tenant.at, where + " tenant", nearest(route.tenant.value, tenants_));
      good = false;
    }
    return good;
  }

  static const char* method_of(repeats kind) { return kind == repeats::repeatable ? "GET" : "POST"; }

  // The schemes whose txns come to this route, whatever their path and tenant.
  void meets(const limits::Table& table, std::size_t number, std::set<int>& met) const {
    const limits::Route& route = table.routes()[number];
    // A path that no other route can name; below "/" all the same.
    const std::string path = route.path.empty() ? "/\x7f" : route.path;
    std::set<int> customers;  // those that routes name, and one for all others
    if (route.tenant != limits::any) {
      customers.insert(route.tenant);
    } else {
      std::set<int> named;
      for (const auto& r : table.routes())
        if (r.tenant != limits::any) named.insert(r.tenant);
      customers = named;
      for (int t = 0; t <= int(tenants_.size()); ++t)
        if (!named.contains(t) && (t < int(tenants_.size()) || tenants_.empty())) {
          customers.insert(tenants_.empty() ? limits::any : t);
          break;
        }
    }
    for (int s = 0; s < int(schemes_.size()); ++s) {
      if (route.scheme != limits::any && route.scheme != s) continue;
      for (const int t : customers)
        if (table.find({s, t, method_of(terms_.schemes[std::size_t(s)].kind), path}) == int(number)) {
          met.insert(s);
          break;
        }
    }
  }

  void never_met(const limits::Table& table, std::size_t number) {
    const Route& route = file_.routes[number];
    const limits::Route& compiled = table.routes()[number];
    std::string why = "no scheme has that method: GET is for those that may repeat, POST for the others";
    for (int s = 0; s < int(schemes_.size()); ++s) {
      if (compiled.scheme != limits::any && compiled.scheme != s) continue;
      const char* method = method_of(terms_.schemes[std::size_t(s)].kind);
      if (!compiled.method.empty() && compiled.method != method) {
        if (compiled.scheme == s) why = fmt::format("{} comes as {}", schemes_[std::size_t(s)], method);
        continue;
      }
      const int taker =
          table.find({s, compiled.tenant, method, compiled.path.empty() ? "/\x7f" : compiled.path});
      if (taker < 0 || taker >= int(number)) continue;
      why = fmt::format("{} in line {} takes all that it would",
                        name_of(file_.routes[std::size_t(taker)], taker + 1),
                        file_.routes[std::size_t(taker)].at.line);
      break;
    }
    fault(route.at, name_of(route, number + 1),
          "can never be met: " + why + "; first match wins, so put it first");
  }

  const scheme_row& row(int scheme) const { return terms_.schemes[std::size_t(scheme)]; }
  const std::string& scheme(int i) const { return schemes_[std::size_t(i)]; }

  template <typename Condition>
  std::vector<std::string> those(const std::set<int>& met, Condition condition) const {
    std::vector<std::string> found;
    for (const int s : met)
      if (condition(row(s))) found.push_back(scheme(s));
    return found;
  }

  void hold(const Limits& l, const std::string& where, const std::set<int>& met) {
    copies(l, where, met);
    kinds(l, where, met);
    if (l.posting_timeout.said()) time_outs(l, where, met);
  }

  void copies(const Limits& l, const std::string& where, const std::set<int>& met) {
    const repeats said = l.may_repeat.value;
    const auto once =
        those(met, [&](const scheme_row& s) { return std::max(s.kind, said) == repeats::once_only; });
    if (l.second_copies.said() && l.second_copies.value && !once.empty())
      fault(l.second_copies.at, where + "second_copies",
            fmt::format(
                "{}gives {} a second copy, and once-only txns may never run twice; leave the key out here, "
                "or name a scheme that may repeat",
                no_effect_twice, told(once)));
    if (l.second_copy_after.said() && once.size() == met.size() && !met.empty())
      fault(l.second_copy_after.at, where + "second_copy_after",
            fmt::format("never acts: {} gets no second copy", told(once)));
  }

  void kinds(const Limits& l, const std::string& where, const std::set<int>& met) {
    for (const int s : met) {
      const repeats is = row(s).kind, said = l.may_repeat.value;
      if (l.may_repeat.said() && said < is)
        fault(l.may_repeat.at, where + "repeats",
              fmt::format(
                  "{}calls {} {}, and the house's terms say {}; a route may be stricter than the house, not "
                  "looser",
                  no_effect_twice, scheme(s), word(said), word(is)));
      if (l.may_repeat.said() && said == repeats::referenced && is == repeats::repeatable)
        fault(l.may_repeat.at, where + "repeats",
              fmt::format(
                  "{} carries no mark by which a repeat would be known; say once-only, or leave the key out",
                  scheme(s)));
      if (l.within.said() && is == repeats::referenced && l.within.value < row(s).within)
        fault(l.within.at, where + "within",
              fmt::format("{}lets {} repeat in {}, and its repeats are dropped within one {} only",
                          no_effect_twice, scheme(s),
                          l.within.value == group::all ? "all servers" : "its zone", word(row(s).within)));
    }
  }

  void time_outs(const Limits& l, const std::string& where, const std::set<int>& met) {
    const int allowed =
        l.postings.said() ? std::min(l.postings.value, terms_.most_postings) : terms_.most_postings;
    const micros wait = l.posting_timeout.value;
    for (const int s : met) {
      const scheme_row& is = row(s);
      const bool copied = terms_.two_at_once && is.kind != repeats::once_only &&
                          (!l.second_copies.said() || l.second_copies.value);
      const micros copy = copied && l.second_copy_after.said() ? l.second_copy_after.value : 0;
      const micros out = limits::longest(allowed, wait, copy);
      const std::string sum =
          allowed == 1 ? fmt::format("one posting of {}", duration(wait))
          : copy > 0 && copy < wait
              ? fmt::format("{} postings of {}, the second beside the first after {}, end after {}", allowed,
                            duration(wait), duration(copy), duration(out))
              : fmt::format("{} postings of {} end after {}", allowed, duration(wait), duration(out));
      const std::string why =
          l.postings.said() ? "" : fmt::format(" (MostPostings {}: postings is not said)", allowed);
      if (out > is.expiry)
        fault(l.posting_timeout.at, where + "posting_timeout",
              fmt::format("{}{}{}, and the client of {} gives up after {} (Expiry); {} at the most would do",
                          no_txn_lost, sum, why, scheme(s), duration(is.expiry),
                          most_wait(is.expiry, allowed, copy)));
      else
        patience(l, where, s, out, sum, allowed, copy);
      if (is.kind == repeats::referenced && std::max(l.may_repeat.value, is.kind) != repeats::once_only)
        memory(l, where, s, out, sum, allowed);
    }
  }

  static std::string most_wait(micros within, int postings, micros copy) {
    if (within <= 0) return "no time-out";
    const micros each = copy > 0 && postings > 1 ? (within - copy) / (postings - 1) : within / postings;
    return duration(std::max<micros>(0, each) / 1000 * 1000);
  }

  // A client that tries again spends the time of every try and of the waits between.
  void patience(const Limits& l, const std::string& where, int s, micros out, const std::string& sum,
                int allowed, micros copy) {
    const Clients& c = file_.clients;
    if (!c.patience.said()) return;
    const int tries = c.retries.value + 1;
    const micros waits = c.retries.value * c.wait.value;
    if (out <= (c.patience.value - waits) / tries) return;
    fault(
        l.posting_timeout.at, where + "posting_timeout",
        fmt::format(
            "{}{}; a client that tries {} times with {} between them needs {}, and waits {} in all "
            "(clients.patience, line {}): its last try of {} would be worked on after it has left; {} at the "
            "most would do",
            no_txn_lost, sum, tries, duration(c.wait.value), duration(tries * out + waits),
            duration(c.patience.value), c.patience.at.line, scheme(s),
            most_wait((c.patience.value - waits) / tries, allowed, copy)));
  }

  // Servers know a mark again for so long; a repeat that runs later runs twice.
  void memory(const Limits& l, const std::string& where, int s, micros out, const std::string& sum,
              int allowed) {
    const Clients& c = file_.clients;
    const int tries = c.patience.said() ? c.retries.value + 1 : 1;
    const micros all = tries * out + (c.patience.said() ? c.retries.value * c.wait.value : 0);
    if (all <= row(s).memory || (allowed == 1 && tries == 1)) return;
    fault(l.posting_timeout.at, where + "posting_timeout",
          fmt::format(
              "{}{}{}, and servers know a mark of {} again for {} (Window): a later repeat would run twice",
              no_effect_twice, sum,
              tries == 1 ? "" : fmt::format(", {} tries and their waits after {}", tries, duration(all)),
              scheme(s), duration(row(s).memory)));
  }

  // What the house's terms cut short: allowed, but worth knowing.
  void notes() {
    const auto of = [&](const Limits& l, const std::string& where) {
      if (l.postings.said() && l.postings.value > terms_.most_postings)
        note(l.postings.at, where + "postings",
             fmt::format("{} are cut to {} by the terms (MostPostings)", l.postings.value,
                         terms_.most_postings));
      if (l.second_copies.said() && l.second_copies.value && !terms_.two_at_once)
        note(l.second_copies.at, where + "second_copies", "never acts: the terms allow none (SecondCopies)");
      if (l.come_back.said() && !terms_.advice_heeded)
        note(l.come_back.at, where + "come_back",
             "never told: the terms give clients no advice (RetryAfter)");
      else if (l.come_back.said() && l.come_back.value > terms_.longest_advice)
        note(l.come_back.at, where + "come_back",
             fmt::format("{} is cut to {} by the terms (MaxRetryAfter)", duration(l.come_back.value),
                         duration(terms_.longest_advice)));
    };
    of(file_.defaults, "defaults.");
    for (std::size_t i = 0; i < file_.routes.size(); ++i)
      of(file_.routes[i].limits, name_of(file_.routes[i], i + 1) + " ");
  }

  Reading& r_;
  const File& file_;
  const read::House& house_;
  const Terms& terms_;
  std::vector<std::string> schemes_, tenants_;
};

}  // namespace

const char* word(repeats kind) {
  return kind == repeats::repeatable   ? "repeatable"
         : kind == repeats::referenced ? "referenced"
                                       : "once-only";
}

const char* word(group within) {
  return within == group::all ? "all" : within == group::zone ? "zone" : "cell";
}

void check(Reading& reading, const read::House& house) {
  if (!reading.good()) return;  // what could not be read says nothing of the rules
  Check(reading, house).all();
  std::stable_sort(reading.faults.begin(), reading.faults.end(), [](const Fault& a, const Fault& b) {
    return std::pair(a.at.line, a.at.column) < std::pair(b.at.line, b.at.column);
  });
}

limits::Route compiled(const File& file, const Route& route, const read::House& house) {
  const Limits l = effective(file, route);
  limits::Route r;
  r.name = route.name.value;
  if (route.scheme.said()) r.scheme = house.schemes.at(route.scheme.value);
  if (route.tenant.said()) r.tenant = house.tenants.at(route.tenant.value);
  r.method = route.method.value;
  r.path = route.path.value;
  Allowed& a = r.allowed;
  if (l.may_repeat.said()) a.kind = l.may_repeat.value;
  if (l.within.said()) a.within = l.within.value;
  if (l.postings.said()) a.postings = l.postings.value;
  if (l.posting_timeout.said()) a.wait = l.posting_timeout.value;
  if (l.second_copies.said()) a.two_at_once = l.second_copies.value;
  if (l.second_copy_after.said()) a.copy_after = l.second_copy_after.value;
  if (l.further_share.said()) a.further = l.further_share.value;
  if (l.come_back.said()) a.come_back = l.come_back.value;
  if (l.in_flight.said()) r.in_flight = l.in_flight.value;
  if (l.rate.said()) r.rate = l.rate.value;
  if (l.burst.said()) r.burst = l.burst.value;
  return r;
}

std::vector<limits::Route> routes(const File& file, const read::House& house) {
  std::vector<limits::Route> all;
  all.reserve(file.routes.size() + 1);
  for (const Route& r : file.routes) all.push_back(compiled(file, r, house));
  Route last;
  last.name.value = "defaults";
  all.push_back(compiled(file, last, house));
  return all;
}

}  // namespace robinpin::config
