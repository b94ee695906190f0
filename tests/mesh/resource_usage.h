// What a process holds, as the kernel tells.
#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <string>
#include <system_error>
#include <vector>

namespace robinpin::mesh_test {

struct ResourceUsage {
  // Bytes: resident, arrived at its sockets and not read yet, and written to them and not acknowledged by the
  // peer yet; also at sockets that it has closed, and at those that it has not accepted yet.
  std::size_t memory = 0;
  std::size_t unsent = 0;   // bytes of these that are written and not acknowledged
  std::size_t unowned = 0;  // bytes of these at sockets that it has closed or not accepted yet
  std::size_t descriptors = 0;
};

inline std::size_t resident_bytes(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/statm");
  std::size_t total = 0, resident = 0;
  in >> total >> resident;
  return resident * std::size_t(::sysconf(_SC_PAGESIZE));
}

// An IPv4 address and port as /proc/net/tcp has them.
struct KernelEndpoint {
  std::uint32_t address = 0;
  unsigned port = 0;
  bool operator==(const KernelEndpoint&) const = default;
};

// "127.1.2.3".
inline std::uint32_t kernel_address_of(const std::string& ip) {
  unsigned a = 0, b = 0, c = 0, d = 0;
  std::sscanf(ip.c_str(), "%u.%u.%u.%u", &a, &b, &c, &d);
  return d << 24 | c << 16 | b << 8 | a;
}

// "127.1.2.3:8080".
inline KernelEndpoint kernel_endpoint_of(const std::string& endpoint) {
  const auto colon = endpoint.find(':');
  return {kernel_address_of(endpoint.substr(0, colon)), unsigned(std::stoul(endpoint.substr(colon + 1)))};
}

// A TCP socket that does not listen.
struct KernelSocket {
  KernelEndpoint local, remote;
  std::size_t unsent = 0, unread = 0;  // bytes
  std::uint64_t inode = 0;             // 0: no process has it open
};

// The IPv4 sockets of the system's table, all at one time.
inline std::vector<KernelSocket> kernel_sockets() {
  std::ifstream in("/proc/net/tcp");
  std::vector<KernelSocket> sockets;
  constexpr unsigned connecting = 2, being_connected = 3, listening = 10;
  constexpr int fields = 8;
  for (std::string line; std::getline(in, line);) {
    KernelSocket socket;
    unsigned state = 0;
    unsigned long unsent = 0, unread = 0, inode = 0;
    const int read = std::sscanf(line.c_str(), " %*d: %x:%x %x:%x %x %lx:%lx %*x:%*x %*x %*u %*u %lu",
                                 &socket.local.address, &socket.local.port, &socket.remote.address,
                                 &socket.remote.port, &state, &unsent, &unread, &inode);
    if (read != fields || state == listening) continue;
    // While it connects nothing is written yet, and the table may show the difference of two numbers of which
    // one is not set.
    socket.unsent = state == connecting || state == being_connected ? 0 : unsent;
    socket.unread = unread;
    socket.inode = inode;
    sockets.push_back(socket);
  }
  return sockets;
}

// Of the sockets that a process has open.
inline std::set<std::uint64_t> socket_inodes_of(pid_t pid) {
  std::set<std::uint64_t> inodes;
  std::error_code gone;
  const std::filesystem::directory_iterator first("/proc/" + std::to_string(pid) + "/fd", gone), last;
  for (auto it = first; !gone && it != last; it.increment(gone)) {
    std::error_code closed;
    const std::string target = std::filesystem::read_symlink(it->path(), closed).string();
    unsigned long inode = 0;
    if (!closed && std::sscanf(target.c_str(), "socket:[%lu]", &inode) == 1) inodes.insert(inode);
  }
  return inodes;
}

inline std::size_t descriptors_of(pid_t pid) {
  std::error_code gone;
  const std::filesystem::directory_iterator first("/proc/" + std::to_string(pid) + "/fd", gone), last;
  std::size_t count = 0;
  for (auto it = first; !gone && it != last; it.increment(gone)) ++count;
  return count;
}

// A process whose use is looked at.
struct ProcessAddresses {
  pid_t pid = 0;
  std::string ip;                                // where it listens
  std::vector<KernelEndpoint> connects_to = {};  // no other process does so
  std::vector<KernelEndpoint> of_others = {};    // at its address, where other processes listen
};

inline bool contains(const std::vector<KernelEndpoint>& endpoints, const KernelEndpoint& endpoint) {
  return std::find(endpoints.begin(), endpoints.end(), endpoint) != endpoints.end();
}

inline ResourceUsage usage_of(const ProcessAddresses& process, const std::vector<KernelSocket>& sockets) {
  ResourceUsage usage;
  usage.memory = resident_bytes(process.pid);
  usage.descriptors = descriptors_of(process.pid);
  const std::set<std::uint64_t> open = socket_inodes_of(process.pid);
  const std::uint32_t address = kernel_address_of(process.ip);
  for (const KernelSocket& socket : sockets) {
    const bool is_open = socket.inode != 0 && open.contains(socket.inode);
    const bool is_accepted = socket.local.address == address && !contains(process.of_others, socket.local);
    const bool is_closed = socket.inode == 0 && (is_accepted || contains(process.connects_to, socket.remote));
    if (!is_open && !is_closed) continue;
    usage.memory += socket.unread + socket.unsent;
    usage.unsent += socket.unsent;
    if (!is_open) usage.unowned += socket.unread + socket.unsent;
  }
  return usage;
}

}  // namespace robinpin::mesh_test
