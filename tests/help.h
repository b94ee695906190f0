// What the tests share: a house's terms, a node that knows some servers, and samples for a window.
#pragma once

#include <catch2/catch.hpp>
#include <initializer_list>
#include <string>
#include <utility>

#include "robinpin/choice.h"

namespace robinpin::help {

constexpr micros ms = 1000;
constexpr micros noon = 1'000'000 * ms;

inline Terms terms() {
  Terms t;
  t.schemes = {{repeats::repeatable, group::all, 0, 500 * ms, 0, 1200 * ms, 5, 0},
               {repeats::referenced, group::zone, 4000 * ms, 1000 * ms, 0, 2500 * ms, 2, 0},
               {repeats::once_only, group::all, 0, 1000 * ms, 0, 2500 * ms, 5, 0}};
  t.zone = "here";
  t.may_withdraw = t.two_at_once = true;
  t.most_postings = 5;
  return t;
}

inline Line line(const std::string& name, const std::string& zone = "here") {
  Line l;
  l.server = name;
  l.zone = zone;
  return l;
}

inline Balancer node(std::initializer_list<const char*> names, Terms t = terms()) {
  Balancer b(std::move(t), 7, noon);
  for (const char* n : names) b.servers[n].line = line(n);
  b.draw_rings();
  return b;
}

inline void fill(Balancer& b, const std::string& server, micros latency, int samples = 50) {
  for (int i = 0; i < samples; ++i) b.servers[server].window.take(b.bin_of(latency), 50);
}

inline Txn txn(int scheme) {
  Txn t;
  t.scheme = scheme;
  t.taken = noon;
  t.sla = noon + 500 * ms;
  t.expiry = noon + 1200 * ms;
  return t;
}

inline Posting posted(Balancer& b, const std::string& server, micros sent = noon) {
  Posting p;
  p.server = &b.servers[server];
  p.sent = sent;
  return p;
}

}  // namespace robinpin::help
