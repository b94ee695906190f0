// What a process holds, as the kernel tells.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <cstddef>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <system_error>

namespace robinpin::mesh_test {

struct ResourceUsage {
  std::size_t memory = 0;  // bytes: resident, and arrived at its sockets but not read yet
  std::size_t descriptors = 0;
};

inline std::size_t resident_bytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::size_t total = 0, resident = 0;
  in >> total >> resident;
  return resident * std::size_t(::sysconf(_SC_PAGESIZE));
}

// Bytes that have arrived unread at the TCP sockets whose own, or whose peer's, IPv4 address (and port)
// begins so, as /proc/net/tcp has it.
enum class Side { local, remote };
inline std::size_t unread_bytes(Side side, const std::string& kernel_address) {
  std::ifstream in("/proc/net/tcp");
  std::size_t bytes = 0;
  std::string line;
  std::getline(in, line);
  constexpr const char* listening = "0A";
  while (std::getline(in, line)) {
    std::istringstream fields(line);
    std::string number, local, remote, state, queues;
    fields >> number >> local >> remote >> state >> queues;
    if (state == listening || !(side == Side::local ? local : remote).starts_with(kernel_address)) continue;
    bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
  }
  return bytes;
}

// "127.1.2.3" as /proc/net/tcp writes it.
inline std::string kernel_address_of(const std::string& ip) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
  char text[9];
  std::snprintf(text, sizeof text, "%02X%02X%02X%02X", d, c, b, a);
  return text;
}

// "127.1.2.3:8080" likewise.
inline std::string kernel_endpoint_of(const std::string& endpoint) {
  const auto colon = endpoint.find(':');
  char port[5];
  std::snprintf(port, sizeof port, "%04X", unsigned(std::stoul(endpoint.substr(colon + 1))));
  return kernel_address_of(endpoint.substr(0, colon)) + ":" + port;
}

inline std::size_t descriptors_of(pid_t pid) {
  std::error_code gone;
  const std::filesystem::directory_iterator first("/proc/" + std::to_string(pid) + "/fd", gone), last;
  std::size_t count = 0;
  for (auto it = first; !gone && it != last; it.increment(gone)) ++count;
  return count;
}

inline ResourceUsage usage_of(pid_t pid, const std::string& ip) {
  return {resident_bytes(pid) + unread_bytes(Side::local, kernel_address_of(ip)), descriptors_of(pid)};
}

}  // namespace robinpin::mesh_test
