#include "daemon.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace robinpin::rehearse {

namespace {
constexpr std::size_t most_log = 16 << 20;  // bytes of one node's log; a flood beyond is counted
}

Daemon::~Daemon() {
  kill();
  if (log_ >= 0) ::close(log_);
}

void Daemon::start(const Start& how) {
  kill();
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::system_error(errno, std::generic_category(), "pipe");
  // All that can fail for want of memory is made before the fork.
  std::vector<std::string> words = how.command, settings;
  for (char** e = environ; *e; ++e) settings.emplace_back(*e);
  for (const auto& [name, value] : how.environment) settings.push_back(name + "=" + value);
  std::vector<char*> args, env;
  for (auto& w : words) args.push_back(w.data());
  for (auto& s : settings) env.push_back(s.data());
  args.push_back(nullptr);
  env.push_back(nullptr);
  const pid_t kit = ::getpid(), child = ::fork();
  if (child < 0) {
    ::close(ends[0]);
    ::close(ends[1]);
    throw std::system_error(errno, std::generic_category(), "fork");
  }
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the kit may die without a word
    if (::getppid() != kit) ::_exit(127);
    sigset_t none;
    sigemptyset(&none);
    ::sigprocmask(SIG_SETMASK, &none, nullptr);
    for (const int s : {SIGINT, SIGTERM, SIGHUP, SIGPIPE, SIGUSR1}) ::signal(s, SIG_DFL);
    const rlimit files{rlim_t(how.sockets), rlim_t(how.sockets)};
    ::setrlimit(RLIMIT_NOFILE, &files);
    if (how.memory_mb > 0) {
      const rlimit data{rlim_t(how.memory_mb) << 20, rlim_t(how.memory_mb) << 20};
      ::setrlimit(RLIMIT_DATA, &data);
    }
    ::setpgid(0, 0);  // an interrupt at the terminal is the kit's to pass on
    ::dup2(ends[1], 1);
    ::dup2(ends[1], 2);
    ::close_range(3, ~0U, 0);  // the kit's listening sockets, above all: they would stay in use
    ::execvpe(args[0], args.data(), env.data());
    ::_exit(127);
  }
  ::close(ends[1]);
  pid_ = child;
  ended_.reset();
  if (log_ < 0) log_ = ::open(how.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  pipe_.assign(ends[0]);
  pipe_.non_blocking(true);
  listen();
}

// Read always, kept to a limit: a node that floods its log must neither wait for us nor fill the disk.
void Daemon::listen() {
  pipe_.async_read_some(asio::buffer(buffer_), [this](asio::error_code error, std::size_t n) {
    if (error) return;
    const std::size_t room = kept_ < most_log ? std::min(n, most_log - kept_) : 0;
    if (log_ >= 0 && room > 0 && ::write(log_, buffer_.data(), room) > 0) kept_ += room;
    dropped_ += n - room;
    listen();
  });
}

void Daemon::tell(int signal) {
  if (running()) ::kill(pid_, signal);
}

bool Daemon::running() {
  if (pid_ < 0) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return true;
  ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  pid_ = -1;
  return false;
}

void Daemon::kill() {
  if (pid_ >= 0) {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    ended_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    pid_ = -1;
  }
  if (pipe_.is_open()) {
    // What it said last.
    asio::error_code error;
    for (;;) {
      const auto n = pipe_.read_some(asio::buffer(buffer_), error);
      if (error || n == 0) break;
      if (log_ >= 0 && kept_<most_log&& ::write(log_, buffer_.data(), n)> 0) kept_ += n;
    }
    pipe_.close(error);
  }
}

}  // namespace robinpin::rehearse
