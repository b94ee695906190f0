// What the settings say of the house: the module's Terms, and the names by which the fronts know schemes,
// tenants and load figures. The same settings reach a node by file and an instance on the bench by wire.
#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "json.h"
#include "robinpin/choice.h"

namespace robinpin::read {

struct House {
  Terms terms;
  std::unordered_map<std::string, int> schemes, tenants;
  std::vector<std::string> scheme_names,
      tenant_names;                  // by number, also of those that vanished since the start
  std::vector<std::string> figures;  // of a load report, in order
  micros dial_limit = 0;             // how long a connection may take to come up
  micros keep_idle = 0;              // servers close connections that idle for so long
};

// Throws malformed, naming the faulty key.
House house(const value& settings);

// Terms read later, in the numbers of those in force: a name keeps its number as long as the process lives, a
// new one gets the next, and the row of one that vanished stays for the txns under way. Throws malformed
// where there are too many names.
House renumbered(House next, const House& now);
constexpr std::size_t most_names = 256;

// What a list of servers calls its fields, and the states that an entry may have.
struct ListNames {
  const char *server, *zone, *kind, *cell, *size, *started, *state;
  const char *serving, *draining, *gone;
};

// Throws malformed, naming the faulty key.
Line line_of(const value& entry, const ListNames& names);

// Sets one figure of a load report; names that the module has no use for are passed over.
void set_figure(Report& report, const std::string& name, double v);

}  // namespace robinpin::read
