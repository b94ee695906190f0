// A core of real `robinpin control-plane` processes on loopback, and what happens to machines: killed,
// stopped and woken, a disk emptied or put back as it was, a core at a new address. Plays are coroutines on
// one loop, so that many run at once. They wait for what has to come; a span of time is waited for only where
// the fault is a span.
#pragma once

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <asio.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <system_error>
#include <vector>

#include "../../src/net/connection.h"
#include "../../src/rehearse/daemon.h"

namespace robinpin::mesh_test {

using asio::awaitable;
using node::steady;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

// With a constructor, as is what else a wait passes on: gcc 12 destroys a temporary without one twice there.
struct Answer {
  explicit Answer(int s = 0, std::string b = "") : status(s), body(std::move(b)) {}
  int status;  // 0: none came
  std::string body;
  // Whether the caller knows what became of its order; if not it sends the same again.
  bool clear() const {
    return status != 0 && status != 408 && status != 429 && (status < 500 || status == 507);
  }
};

struct Loop {
  node::Sockets sockets{8'000};
  asio::io_context io{1};
  int calls = 0;  // under way
};

// A call that its sender does not wait for.
struct Call {
  std::optional<Answer> answer;
};

class Core {
 public:
  static constexpr int most = 9;                        // addresses
  std::string control_plane_command = "control-plane";  // by which processes are started
  int memory_mb = 256, file_limit = 1024;               // as the settings say from the next start on
  Core(Loop& loop, std::uint32_t seed) : loop_(loop) {
    // With the process, as tests with one seed run side by side.
    std::seed_seq addresses{seed, std::uint32_t(::getpid())};
    chance_.seed(addresses);
    // In memory where that can be had: a sync that others hold up for seconds would be a fault that no play
    // means.
    std::string name =
        (::access("/dev/shm", W_OK) == 0 ? "/dev/shm" : std::filesystem::temp_directory_path().string()) +
        "/robinpin-processes-XXXXXX";
    if (!::mkdtemp(name.data())) throw std::system_error(errno, std::generic_category(), name);
    folder_ = name;
  }
  ~Core() {
    end_all();
    if (!std::getenv("ROBINPIN_KEEP")) std::filesystem::remove_all(folder_);
  }
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;

  // Cores 1 to `n`, with empty disks: the system's first start.
  void begin(int n) {
    end_all();
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    for (int tries = 0; tries < 100; ++tries) {
      net_ = fmt::format("127.{}.{}", 1 + chance_() % 254, chance_() % 256);
      control_ = int(10'000 + chance_() % 20'000),
      inner_ = int(10'000 + chance_() % 20'000);  // below what the system draws for callers
      if (free()) break;
    }
    seeds_.resize(std::size_t(n));
    std::iota(seeds_.begin(), seeds_.end(), 1);
    for (const int i : seeds_) start(i, seeds_, true);
  }
  // With the disk that it has, if any.
  void start(int n, const std::vector<int>& seeds, bool first = false) {
    std::filesystem::create_directories(disk(n));
    std::vector<std::string> addresses;
    for (const int s : seeds) addresses.push_back(fmt::format("\"{}:{}\"", ip(s), control_));
    const std::string file = fmt::format("{}/control-plane-{}.json", folder_.string(), n);
    std::ofstream(file) << fmt::format(
        R"({{"node":"control-plane-{0}","machine_class":"core","serves":["supervisor"],"ip":"{1}","ports":{{"control":"{1}:{2}"}},"data_dir":"{3}",)"
        R"("zone":"{4}","region":"home","zones":{{"east":"home","south":"home","west":"home"}},"inner_ports":[{5},{6}],"seed_nodes":[{7}],)"
        R"("first_start":{8},"counts_loss":true,"beat_period":"1500ms","tolerance":{{"machine_losses":1,"zones":1,"region_losses":0}},)"
        R"("saturation":{{"cpu_share":1.0,"memory_mb":{9},"file_limit":{10},"disk_mb":256}},"envelope":{{"contact":"3000ms","ack":"5000ms",)"
        R"("settle":"4s","drain":"2500ms","grace_period":"6s","converge":"2500ms","retry_ratio":0.2,"retry_window":"10s","retry_slack":60,)"
        R"("warmup_overshoot":1.5,"warmup_slack":5,"evacuate":"5000ms","recovery":"15s"}}}})",
        n, ip(n), control_, disk(n).string(),
        n % 3 == 0   ? "west"
        : n % 3 == 1 ? "east"
                     : "south",
        inner_, inner_ + 15, fmt::join(addresses, ","), first, memory_mb, file_limit);
    if (!daemons_[n]) daemons_[n] = std::make_unique<rehearse::Daemon>(loop_.io);
    rehearse::Daemon::Start how;
    how.command = {ROBINPIN_BINARY, control_plane_command, "--settings", file};
    how.log = fmt::format("{}/control-plane-{}.log", folder_.string(), n);
    how.sockets = file_limit;
    daemons_[n]->start(how);
  }
  void start(int n) { start(n, seeds_); }
  void kill(int n) { daemons_.at(n)->kill(); }
  void end_all() {
    for (auto& [n, d] : daemons_) d->tell(SIGKILL);  // all of them before one is waited for
    for (auto& [n, d] : daemons_) d->kill();
  }
  awaitable<void> end(int n) {
    daemons_.at(n)->tell(SIGTERM);
    const auto ended = [&] { return !daemons_.at(n)->running(); };
    co_await eventually(20s, ended);
    kill(n);
  }
  // CommittedPosition still, for certain, once this is done.
  awaitable<void> stop(int n) {
    daemons_.at(n)->tell(SIGSTOP);
    const std::string path = fmt::format("/proc/{}/stat", daemons_.at(n)->pid());
    const auto stopped = [&] {
      std::ifstream in(path);
      const std::string line{std::istreambuf_iterator<char>(in), {}};
      const auto name = line.rfind(") ");
      return name == std::string::npos || line[name + 2] == 'T';
    };
    co_await eventually(20s, stopped);
  }
  void wake(int n) { daemons_.at(n)->tell(SIGCONT); }
  bool running(int n) { return daemons_.contains(n) && daemons_.at(n)->running(); }
  pid_t pid(int n) const { return daemons_.at(n)->pid(); }

  std::string ip(int n) const { return fmt::format("{}.{}", net_, n); }
  int control_port() const { return control_; }
  int inner_port() const { return inner_; }
  const std::vector<int>& seeds() const { return seeds_; }
  const std::filesystem::path& folder() const { return folder_; }
  std::filesystem::path disk(int n) const { return folder_ / fmt::format("disk-{}", n); }
  void empty(int n) { std::filesystem::remove_all(disk(n)); }
  void copy(int n) {
    std::filesystem::remove_all(copy_of(n));
    std::filesystem::copy(disk(n), copy_of(n), std::filesystem::copy_options::recursive);
  }
  void put_back(int n) {
    empty(n);
    std::filesystem::copy(copy_of(n), disk(n), std::filesystem::copy_options::recursive);
  }

  awaitable<Answer> call(int n, std::string method, std::string path, std::string body = "",
                         steady::duration limit = 5s) {
    struct Count {
      int& calls;
      explicit Count(int& c) : calls(c) { ++calls; }
      ~Count() { --calls; }
    } count(loop_.calls);
    const auto c = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets, HTTP_RESPONSE,
                                                      codec::Limits{16 * 1024, 64 * 1024 * 1024});
    c->limit(steady::now() + limit);
    const tcp::endpoint to(asio::ip::make_address(ip(n)), std::uint16_t(control_));
    asio::error_code error = co_await c->connect(to);
    const std::string head = fmt::format(
        "{} {} HTTP/1.1\r\nHost: {}:{}\r\nContent-Type: application/json\r\nConnection: "
        "close\r\nContent-Length: {}\r\n\r\n",
        method, path, ip(n), control_, body.size());
    std::size_t written = 0;
    if (!error) error = co_await c->write(head, body, written);
    if (error) co_return Answer();
    const codec::reading got = co_await c->read(error);
    if (error || got != codec::reading::complete) co_return Answer();
    co_return Answer(c->in.status(), std::string(c->in.body()));
  }
  // The same, under way at once.
  std::shared_ptr<Call> send(int n, std::string method, std::string path, std::string body = "",
                             steady::duration limit = 30s) {
    auto c = std::make_shared<Call>();
    asio::co_spawn(loop_.io, call(n, std::move(method), std::move(path), std::move(body), limit),
                   [c](std::exception_ptr, Answer a) { c->answer = std::move(a); });
    return c;
  }

  awaitable<void> span(steady::duration time) {
    asio::steady_timer timer(loop_.io, time);
    co_await timer.async_wait(asio::use_awaitable);
  }
  // Looks again and again; false if it has not come by then.
  template <typename Condition>
  awaitable<bool> eventually(steady::duration limit, const Condition& condition) {
    for (const auto until = steady::now() + limit; !condition();) {
      if (steady::now() > until) co_return false;
      co_await span(2ms);
    }
    co_return true;
  }
  template <typename Condition>
  awaitable<bool> eventually(steady::duration limit, const Condition&& temporary) = delete;

 private:
  std::filesystem::path copy_of(int n) const { return folder_ / fmt::format("copy-{}", n); }
  bool free() {
    for (int n = 1; n <= most; ++n) {
      asio::error_code taken;
      tcp::acceptor control(loop_.io);
      asio::ip::udp::socket inner(loop_.io);
      control.open(tcp::v4()), inner.open(asio::ip::udp::v4());
      control.bind({asio::ip::make_address(ip(n)), std::uint16_t(control_)}, taken);
      if (!taken) inner.bind({asio::ip::make_address(ip(n)), std::uint16_t(inner_)}, taken);
      if (taken) return false;
    }
    return true;
  }

  Loop& loop_;
  std::mt19937 chance_;  // of addresses alone
  std::filesystem::path folder_;
  std::string net_;
  int control_ = 0, inner_ = 0;
  std::vector<int> seeds_;
  std::map<int, std::unique_ptr<rehearse::Daemon>> daemons_;
};

}  // namespace robinpin::mesh_test
