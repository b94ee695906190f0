// Our file: what it says, with the place of each word, and every fault in it. Reading and checking are
// functions of the text and the house's terms; only load() touches the disk. Source: docs/configuration.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "../limits/limits.h"
#include "../read/house.h"
#include "told.h"

namespace robinpin::config {

// The limits of a route, or those of [defaults] for routes that do not say theirs.
struct Limits {
  Told<micros> posting_timeout, second_copy_after, come_back;
  Told<int> postings, in_flight;
  Told<bool> second_copies;
  Told<double> further_share, rate, burst;
  Told<repeats> may_repeat;
  Told<group> within;
};

struct Route {
  At at;
  Told<std::string> name, scheme, method, path, tenant;
  Limits limits;
};

struct Node {
  Told<std::string> terms;  // where EDGE_CONFIG is not set; as seen from the file's folder
  Told<int> sockets;
  Told<std::size_t> longest_answer;  // bytes
};

struct Log {
  Told<std::string> format{"text", {}}, level{"info", {}};
  Told<micros> fold{10'000'000, {}};
  std::vector<std::pair<std::string, Told<std::string>>> parts;  // levels of their own
};

struct Records {
  Told<std::string> path;  // none: no records
  Told<std::size_t> rotate_at{64UL << 20, {}};
  Told<int> keep{8, {}}, queue{65536, {}};
  Told<micros> flush{200'000, {}};
};

struct Clients {                // as those who come to this node are known to be
  Told<micros> patience, wait;  // for all tries together; between one try's end and the next
  Told<int> retries;
};

struct Deployment {   // what the module reads of the shape of a deployment, where it is not as the platform
                      // says
  Told<int> streams;  // txns that a connection carries at once
  Told<bool> repeats_marked, warm_keys;
};

// What ties this node to others of its fleet. Without a name nothing of it starts.
struct Fleet {
  struct Member {
    At at;
    Told<std::string> name, address;  // where this node finds it
    Told<bool> voter;                 // one of the fleet's first voters
  };
  Told<std::string> name, me, hall, listen,
      store;  // me: else the node's name; store: a file; with it the node can vote
  Told<micros> beat{1'000'000, {}};
  Told<double> drift{0.01, {}};  // a machine's clock runs off by this share at the most
  Told<bool> open;               // listen may be every address of the machine
  std::vector<Member> members;
  bool on() const { return name.said(); }
};

struct File {
  std::string path, hash;  // of its bytes, 16 hexadecimal digits
  Node node;
  Log log;
  Records records;
  Clients clients;
  Deployment deployment;
  Fleet fleet;
  Limits defaults;
  std::vector<Route> routes;
};

struct Reading {
  File file;
  std::vector<Fault> faults;  // none: it can be used
  std::vector<Fault> notes;   // what is cut by something stricter, or never acts
  bool good() const { return faults.empty(); }
};

// All that can be known without the house's terms.
Reading read(const std::string& path, std::string_view text);
// What stands against the four rules and the house's terms.
void check(Reading& reading, const read::House& house);

// Reads the file from disk; once more while it is still being written. An unreadable file is a fault.
Reading load(const std::string& path, const read::House* house);

// The routes in their order, that of [defaults] last. The file is one without faults.
std::vector<limits::Route> routes(const File& file, const read::House& house);

// The platform's terms with what the file says of the deployment in their place.
read::House applied(const File& file, read::House house);

std::string json(const Reading& reading);
// Which route a txn meets, each limit in force and what set it. Names are the file's and the house's.
struct Question {
  std::string scheme, tenant, method, path;
};
std::string explain(const File& file, const read::House& house, const Question& txn);

// What the other files of this package share.
Limits effective(const File& file, const Route& route);
limits::Route compiled(const File& file, const Route& route, const read::House& house);
std::string name_of(const Route& route, std::size_t number);
const char* word(repeats kind);
const char* word(group within);

}  // namespace robinpin::config
