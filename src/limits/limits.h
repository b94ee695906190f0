// Limits per route: which route a txn meets, what that route allows it, and whether the route takes one more
// now. Free of I/O, clock and globals: called with the time, answers by value. What it finds goes to the
// decision module as `Allowed`; nothing is posted, repeated or declined here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::limits {

constexpr int any = -1;

// A txn as a route sees it. Scheme and tenant are the house's numbers, the path ends before its query.
struct Asked {
  int scheme = any, tenant = any;
  std::string_view method, path;
};

struct Route {
  std::string name;
  // Which txns meet it; what is not said fits all.
  int scheme = any, tenant = any;
  std::string method, path;  // a path's prefix, by whole segments
  // What it allows them.
  Allowed allowed;
  int in_flight = 0;  // at once, until their last posting has ended; 0: any number
  double rate = 0;    // a second; 0: any number
  double burst = 1;   // taken at once after a rest
};

bool fits(const Route& route, const Asked& txn);

// What a route has in hand. It outlives a reload, and its route, until the last of its txns is over.
struct Account {
  std::shared_ptr<Spent> spent = std::make_shared<Spent>();
  int in_flight = 0;
  double tokens = 0;
  double turned_away = 0;  // clients told to come back that have not had their turn
  micros filled = -1;      // when both were last brought up to date
};

enum class full { no, in_flight, rate };

// A txn's place on its route, given back when the last copy of it goes.
class Place {
 public:
  Place() = default;
  explicit Place(std::shared_ptr<Account> account);

 private:
  std::shared_ptr<void> held_;
};

struct Taken {
  Allowed allowed;
  const Route* route = nullptr;  // as long as the table
  full why = full::no;
  Place place;
};

// The routes in order, first match wins; compiled once, so that a look-up costs by the path and not by the
// number of routes. The path of a txn is compared in its plain form: dot segments and needless escapes taken
// out.
class Table {
 public:
  // Routes that `before` has by the same name go on with its accounts.
  explicit Table(std::vector<Route> routes, const Table* before = nullptr);
  Table(const Table&) = delete;
  Table& operator=(const Table&) = delete;

  int find(const Asked& txn) const;  // the route's number; `any`: none
  Taken take(const Asked& txn, micros now) const;
  const std::vector<Route>& routes() const { return routes_; }
  const Account& account(int route) const { return *accounts_[std::size_t(route)]; }

 private:
  struct Prefix {
    std::string path;
    int above = any;    // the longest other prefix of this one
    int first = 0;      // the first route here or above
    unsigned says = 0;  // which of scheme, tenant and method its routes say: a bit for each of the eight ways
    std::vector<std::pair<std::uint64_t, int>> routes;  // by what they say of scheme, tenant and method
  };
  int best(const Prefix& p, const Asked& txn, int method, int best) const;
  int method(std::string_view name) const;

  std::vector<Route> routes_;
  std::vector<std::shared_ptr<Account>> accounts_;
  std::vector<Prefix> prefixes_;  // by path
  std::map<std::string, int, std::less<>> methods_;
};

// Brings the account up to `now` and takes one txn, or says why not. `come_back`: when a turn will be free.
full take_one(Account& account, const Route& route, micros now, micros& come_back);

// Without escapes that stand for plain characters, without dot segments; no query.
std::string plain_path(std::string_view target);

// The longest that one txn can be out on postings of so many, one after the other, the second as a copy if
// `copy_after` is above 0: a sum that the checks at load go by.
micros longest(int postings, micros wait, micros copy_after);

}  // namespace robinpin::limits
