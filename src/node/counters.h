// What the node takes in, sends and answers, in plain counts.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::node {

constexpr std::array<const char*, 8> ending_names = {"settled",     "error", "refused",   "timed_out",
                                                     "unreachable", "reset", "withdrawn", "moot"};

constexpr std::array<const char*, 7> cause_names = {"slow",  "foreseen",     "no_room", "waited",
                                                    "spent", "may_have_run", "late"};

struct Ended {  // txns, by their final answer
  std::uint64_t settled = 0, declined = 0, reversed = 0;
};

struct Counters {
  using count = std::uint64_t;
  std::vector<Ended> by_scheme;
  Ended& ended(int scheme) {
    if (by_scheme.size() <= std::size_t(scheme)) by_scheme.resize(std::size_t(scheme) + 1);
    return by_scheme[std::size_t(scheme)];
  }
  Ended all() const {
    Ended sum;
    for (const Ended& e : by_scheme)
      sum.settled += e.settled, sum.declined += e.declined, sum.reversed += e.reversed;
    return sum;
  }
  count postings_written = 0;            // whole, to servers
  count reloads = 0, reload_errors = 0;  // files taken and turned down at SIGHUP
  count clients_accepted = 0, clients_evicted = 0, accepts_failed = 0;
  count txns_taken = 0, clients_left = 0, answers_broken = 0;
  count bad_requests = 0, health_calls = 0;
  std::array<count, 8> postings{};  // by ending
  std::array<count, 7> given_up{};  // by cause
  count dials = 0, dials_failed = 0, reuses = 0, idle_closed = 0, idle_evicted = 0, no_room = 0;
  count list_calls = 0, list_failures = 0, list_news = 0, list_doubts = 0, list_older = 0, list_empty = 0,
        list_paced = 0;
  count limited_in_flight = 0, limited_by_rate = 0, config_accepted = 0, config_refused = 0,
        records_dropped = 0;
  count terms_switched = 0, terms_refused = 0;
  count exceptions = 0;

  void each(const std::function<void(std::string_view, count)>& put) const;
  // One `name value` a line.
  std::string text() const;
};

}  // namespace robinpin::node
