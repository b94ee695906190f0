// What a process takes of its machine's memory and descriptors, and the events when it comes near its limits.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "../event_log/event_log.h"

namespace robinpin::app {

struct ResourceUsage {
  std::size_t resident_bytes = 0;
  std::size_t memory_limit_bytes = 0;
  std::size_t unread_bytes = 0;  // have arrived at this process's connections
  std::size_t unsent_bytes = 0;  // were written to them, and their peers have not acknowledged them
  int connections = 0;
  int connection_limit = 0;
  std::uint64_t connections_refused = 0;  // for want of descriptors, since the start
};

// Resident memory of this process, in bytes; 0 if the system does not tell.
std::size_t resident_bytes();

// Decides when to log that memory or descriptors are short: at once, then no more than once in 10 s.
class ResourceWatch {
 public:
  struct Notice {
    event_log::EventType type;
    std::string text;
  };
  // `now`: microseconds of the steady clock.
  std::optional<Notice> memory_notice(std::int64_t now, const ResourceUsage& usage);
  std::optional<Notice> descriptor_notice(std::int64_t now, const ResourceUsage& usage);

 private:
  std::int64_t next_memory_notice_ = 0;
  std::int64_t next_descriptor_notice_ = 0;
  std::uint64_t noticed_refusals_ = 0;
};

}  // namespace robinpin::app
