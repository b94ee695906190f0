// A node's process: started, told, killed; none outlives the kit. What it logs is kept up to a limit.
#pragma once

#include <sys/types.h>

#include <asio.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace robinpin::rehearse {

class Daemon {
 public:
  struct Start {
    std::vector<std::string> command;
    std::vector<std::pair<std::string, std::string>> environment;  // beside the kit's own
    std::string log;                                               // a file; appended to
    int sockets = 1024, memory_mb = 0;                             // 0: no limit
  };
  explicit Daemon(asio::io_context& io) : io_(io), pipe_(io) {}
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Throws std::system_error if no process can be started.
  void start(const Start& how);
  void tell(int signal);  // nothing, if it does not run
  void kill();            // outright, and waits for it
  bool running();         // looks: it may have ended by itself
  // How it ended, once it has: its exit code, or 128 and the signal.
  std::optional<int> ended() const { return ended_; }
  std::size_t log_dropped() const { return dropped_; }
  pid_t pid() const { return pid_; }

 private:
  void listen();
  asio::io_context& io_;
  asio::posix::stream_descriptor pipe_;
  pid_t pid_ = -1;
  std::optional<int> ended_;
  int log_ = -1;
  std::size_t kept_ = 0, dropped_ = 0;
  std::vector<char> buffer_ = std::vector<char>(16384);
};

}  // namespace robinpin::rehearse
