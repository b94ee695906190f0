#include "limits.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <unordered_map>
#include <utility>

namespace robinpin::limits {

namespace {

constexpr double second = 1e6;
constexpr double most_waiting = 10'000;  // turned away, of whom an account still thinks

// Of a text that is a prefix of the path: whether it ends with a segment.
bool whole_segments(std::string_view path, std::string_view prefix) {
  return prefix.empty() || path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

bool under(std::string_view path, std::string_view prefix) {
  return path.starts_with(prefix) && whole_segments(path, prefix);
}

int digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  c = char(std::tolower(static_cast<unsigned char>(c)));
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

bool plain(char c) {
  return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '.' || c == '_' || c == '~';
}

// One pass: most paths are plain, and long ones are walked with every txn.
bool is_plain(std::string_view path) {
  for (std::size_t i = 0; i < path.size(); ++i) {
    const char c = path[i], next = i + 1 < path.size() ? path[i + 1] : 'x';
    if (c == '%' || c == '?' || c == '#' || (c == '/' && (next == '.' || next == '/'))) return false;
  }
  return true;
}

// Scheme, tenant and method as one key; `any` is 0.
std::uint64_t key(int scheme, int tenant, int method) {
  const auto part = [](int n) { return std::uint64_t(std::uint32_t(n + 1)) & 0xffffffU; };
  return part(scheme) << 40 | part(tenant) << 16 | (part(method) & 0xffffU);
}

}  // namespace

std::string plain_path(std::string_view target) {
  target = target.substr(0, target.find_first_of("?#"));
  std::string path;
  path.reserve(target.size());
  for (std::size_t i = 0; i < target.size(); ++i) {
    if (target[i] == '%' && i + 2 < target.size() && digit(target[i + 1]) >= 0 && digit(target[i + 2]) >= 0) {
      const char c = char(digit(target[i + 1]) * 16 + digit(target[i + 2]));
      if (plain(c)) {
        path += c;
        i += 2;
        continue;
      }
    }
    path += target[i];
  }
  if (path.find("/.") == std::string::npos && path.find("//") == std::string::npos) return path;
  std::vector<std::string_view> segments;
  const std::string_view whole = path;
  bool directory = false;
  for (std::size_t at = 0; at < whole.size();) {
    const auto end = std::min(whole.find('/', at), whole.size());
    const std::string_view part = whole.substr(at, end - at);
    directory = end < whole.size() || part == "." || part == "..";
    if (part == ".." && !segments.empty()) segments.pop_back();
    if (!part.empty() && part != "." && part != "..") segments.push_back(part);
    at = end + 1;
  }
  std::string found;
  for (const auto part : segments) (found += '/') += part;
  if (directory || found.empty()) found += '/';
  return found;
}

bool fits(const Route& r, const Asked& t) {
  return (r.scheme == any || r.scheme == t.scheme) && (r.tenant == any || r.tenant == t.tenant) &&
         (r.method.empty() || r.method == t.method) && under(t.path, r.path);
}

Place::Place(std::shared_ptr<Account> account) {
  ++account->in_flight;
  Account* counted = account.get();
  held_ = {counted, [kept = std::move(account)](void*) { --kept->in_flight; }};
}

Table::Table(std::vector<Route> routes, const Table* before) : routes_(std::move(routes)) {
  std::unordered_map<std::string, std::shared_ptr<Account>> kept;
  if (before)
    for (std::size_t i = 0; i < before->routes_.size(); ++i)
      kept[before->routes_[i].name] = before->accounts_[i];
  std::map<std::string, std::vector<int>> by_path;
  for (int i = 0; i < int(routes_.size()); ++i) {
    Route& r = routes_[std::size_t(i)];
    if (!r.path.empty()) r.path = plain_path(r.path);
    if (!r.method.empty()) methods_.try_emplace(r.method, int(methods_.size()));
    by_path[r.path].push_back(i);
    auto& account = kept[r.name];
    accounts_.push_back(account ? account : std::make_shared<Account>());
    r.allowed.spent = accounts_.back()->spent;
  }
  for (auto& [path, numbers] : by_path) {
    Prefix p;
    p.path = path;
    p.first = numbers.front();
    for (const int i : numbers) {
      const Route& r = routes_[std::size_t(i)];
      p.says |= 1U << ((r.scheme != any ? 1 : 0) + (r.tenant != any ? 2 : 0) + (r.method.empty() ? 0 : 4));
      p.routes.emplace_back(key(r.scheme, r.tenant, r.method.empty() ? any : method(r.method)), i);
    }
    std::sort(p.routes.begin(), p.routes.end());  // of those that say the same, the first is met
    // The one before, or one above it: all between a text and its prefix begin with that prefix.
    for (int up = int(prefixes_.size()) - 1; up != any; up = prefixes_[std::size_t(up)].above)
      if (path.starts_with(prefixes_[std::size_t(up)].path)) {
        p.above = up;
        p.first = std::min(p.first, prefixes_[std::size_t(up)].first);
        break;
      }
    prefixes_.push_back(std::move(p));
  }
}

int Table::method(std::string_view name) const {
  const auto m = methods_.find(name);
  return m == methods_.end() ? int(methods_.size()) : m->second;
}

int Table::best(const Prefix& p, const Asked& t, int m, int best) const {
  for (int which = 0; which < 8; ++which) {
    if ((p.says >> which & 1) == 0) continue;
    const std::uint64_t said =
        key((which & 1) != 0 ? t.scheme : any, (which & 2) != 0 ? t.tenant : any, (which & 4) != 0 ? m : any);
    const auto r = std::lower_bound(p.routes.begin(), p.routes.end(), std::pair(said, any));
    if (r != p.routes.end() && r->first == said) best = std::min(best, r->second);
  }
  return best;
}

int Table::find(const Asked& t) const {
  std::string made_plain;
  std::string_view path = t.path;
  if (!is_plain(path)) path = made_plain = plain_path(path);
  const int none = int(routes_.size()), m = method(t.method);
  const auto after = std::upper_bound(prefixes_.begin(), prefixes_.end(), path,
                                      [](std::string_view p, const Prefix& a) { return p < a.path; });
  int found = none;
  bool prefix = false;  // what is above a prefix of the path is one, too
  for (int i = int(after - prefixes_.begin()) - 1; i != any;) {
    const Prefix& p = prefixes_[std::size_t(i)];
    if (p.first >= found) break;  // no earlier route here or above
    prefix = prefix || path.starts_with(p.path);
    if (prefix && whole_segments(path, p.path)) found = best(p, t, m, found);
    i = p.above;
  }
  return found == none ? any : found;
}

full take_one(Account& a, const Route& r, micros now, micros& come_back) {
  come_back = 0;
  if (r.rate > 0) {
    const double passed = a.filled < 0 ? 0 : double(std::max<micros>(0, now - a.filled)) / second * r.rate;
    a.tokens = a.filled < 0 ? r.burst : std::min(r.burst, a.tokens + passed);
    a.turned_away = std::max(0.0, a.turned_away - passed);
    a.filled = now;
  }
  if (r.in_flight > 0 && a.in_flight >= r.in_flight) return full::in_flight;
  if (r.rate <= 0) return full::no;
  if (a.tokens < 1) {
    // Each is told a turn of its own, else all would come back for the same one.
    a.turned_away = std::min(a.turned_away + 1, most_waiting);
    come_back = micros(std::ceil((a.turned_away - a.tokens) / r.rate * second));
    return full::rate;
  }
  a.tokens -= 1;
  return full::no;
}

Taken Table::take(const Asked& txn, micros now) const {
  Taken t;
  const int i = find(txn);
  if (i == any) return t;
  t.route = &routes_[std::size_t(i)];
  t.allowed = t.route->allowed;
  const auto& account = accounts_[std::size_t(i)];
  micros turn = 0;
  t.why = take_one(*account, *t.route, now, turn);
  t.allowed.full = t.why != full::no;
  t.allowed.come_back = std::max(t.allowed.come_back, turn);
  if (!t.allowed.full) t.place = Place(account);
  return t;
}

micros longest(int postings, micros wait, micros copy_after) {
  if (postings <= 0 || wait <= 0) return 0;
  constexpr micros most = micros(1) << 60;
  const bool copies = copy_after > 0 && copy_after < wait && postings > 1;
  const int in_a_row = copies ? postings - 1 : postings;
  if (wait > (most - copy_after) / in_a_row) return most;
  return in_a_row * wait + (copies ? copy_after : 0);
}

}  // namespace robinpin::limits
