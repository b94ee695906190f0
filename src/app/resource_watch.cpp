#include "resource_watch.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <cstdio>

namespace robinpin::app {

namespace {

constexpr std::int64_t notice_interval = 10'000'000;  // microseconds
// Of the limit, from which on memory is high.
constexpr std::size_t high_memory_numerator = 3, high_memory_denominator = 4;

std::string described(const ResourceUsage& usage) {
  return fmt::format("resident={} unread={} unsent={} limit={} connections={} connection_limit={} refused={}",
                     usage.resident_bytes, usage.unread_bytes, usage.unsent_bytes, usage.memory_limit_bytes,
                     usage.connections, usage.connection_limit, usage.connections_refused);
}

}  // namespace

std::size_t resident_bytes() {
  // Second field of the file, in pages.
  std::array<char, 128> text{};
  const int file = ::open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (file < 0) return 0;
  const auto size = ::read(file, text.data(), text.size() - 1);
  ::close(file);
  unsigned long long total = 0, resident = 0;
  if (size <= 0 || std::sscanf(text.data(), "%llu %llu", &total, &resident) != 2) return 0;
  return std::size_t(resident) * std::size_t(::sysconf(_SC_PAGESIZE));
}

std::optional<ResourceWatch::Notice> ResourceWatch::memory_notice(std::int64_t now,
                                                                  const ResourceUsage& usage) {
  const std::size_t used = usage.resident_bytes + usage.unread_bytes + usage.unsent_bytes;
  const bool is_high = used >= usage.memory_limit_bytes / high_memory_denominator * high_memory_numerator;
  if (!is_high || now < next_memory_notice_) return std::nullopt;
  next_memory_notice_ = now + notice_interval;
  return Notice{event_log::EventType::memory_high, described(usage)};
}

std::optional<ResourceWatch::Notice> ResourceWatch::descriptor_notice(std::int64_t now,
                                                                      const ResourceUsage& usage) {
  if (usage.connections_refused == noticed_refusals_ || now < next_descriptor_notice_) return std::nullopt;
  noticed_refusals_ = usage.connections_refused;
  next_descriptor_notice_ = now + notice_interval;
  return Notice{event_log::EventType::descriptors_short, described(usage)};
}

}  // namespace robinpin::app
