// The control state as a node acts on it: routes by host and longest prefix, services, limits, emptied zones.
// Built whole from a copy of the state and never changed: who is at work keeps the one it began with.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "configuration_store.h"

namespace robinpin::configuration {

enum class mode { idempotent, effectful, inflow };

struct WeightedTarget {
  std::string service;
  double gain = 0;
};

struct Route {
  std::string label, host, prefix;
  mode kind = mode::effectful;
  std::int64_t deadline = 0, aim = 0;  // microseconds
  int rank = 0, tries = 1;
  std::vector<WeightedTarget> targets;  // never empty
  double gains = 0;                     // their sum
  // The service for a draw from [0, 1).
  const std::string& service(double position) const;
};

struct Service {
  std::string name, probe = "/probe";
  int conn_limit = 100;
  std::int64_t warmup = 0;  // microseconds
  double warmup_per_s = 0;  // requests; 0: no bound is told
};

struct Bounds {  // on what a client may send, and how long it may take
  std::size_t header_bytes = 16 * 1024, body_bytes = 64 * 1024 * 1024;
  std::int64_t header = 3'000'000, idle = 15'000'000;  // microseconds
};

struct RouteTable {
  std::unordered_map<std::string, std::unordered_map<std::string, std::shared_ptr<const Route>>>
      hosts;  // by host, by prefix
  std::map<std::string, Service, std::less<>> services;
  std::set<std::string, std::less<>> emptied;  // zones
  Bounds bounds;
  const Route* find(std::string_view host, std::string_view target) const;
};

// Builds plans of one copy as it grows: of a change only what changed is read again.
class RouteTableBuilder {
 public:
  std::shared_ptr<const RouteTable> build(const ConfigurationStore& store);

 private:
  struct Known {
    std::uint64_t print = 0, version = 0;
    std::shared_ptr<const Route> channel;
  };
  std::unordered_map<std::string, Known> channels_;  // by item; as many as stand
};

}  // namespace robinpin::configuration
