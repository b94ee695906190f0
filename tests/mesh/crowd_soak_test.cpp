// Clients outside the limits beside signals, restarts and changes of a mesh of real processes, drawn from a
// seed: two crowds and two series of disturbances at a time, while ordinary callers keep their connections
// until the process is gone. Whatever comes: no process ends unasked, each ends when it is asked to, memory
// and descriptors stay within the settings, no call hangs, and each port answers afterwards. No time and no
// share of served requests is judged.
#include <cstdlib>
#include <random>

#include "crowd.h"
#include "crowd_targets.h"
#include "help.h"
#include "mesh_processes.h"
#include "resource_usage.h"
#include "test_client.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

constexpr int memory_mb = 64, file_limit = 700;
constexpr int cores = 3, first_sidecar_address = 20;
constexpr int crowds_at_once = 2, disturbances_at_once = 2, connections_of_a_crowd = 150;
constexpr int callers_of_a_sidecar = 2;
constexpr std::size_t megabyte = 1024 * 1024;
constexpr auto limit = 30s;                // for what has to come, on a slow machine too
constexpr auto limit_after_sigterm = 60s;  // far beyond the settings' grace period

int number_from_environment(const char* name, int otherwise) {
  const char* told = std::getenv(name);
  return told ? std::atoi(told) : otherwise;
}

class Soak {
 public:
  Soak(unsigned seed, int sidecars, std::chrono::seconds time)
      : draw_(seed), time_(time), core_(loop_, seed) {
    core_.memory_mb = memory_mb;
    core_.file_limit = file_limit;
    core_.begin(cores);
    for (int n = 0; n < sidecars; ++n) {
      const char* service = n % 2 == 0 ? "one" : "two";
      sidecars_.push_back(
          std::make_unique<Sidecar>(loop_, core_, first_sidecar_address + n, service, arrived_));
      sidecars_.back()->memory_mb = memory_mb;
      sidecars_.back()->file_limit = file_limit;
    }
  }
  ~Soak() {
    for (const auto& sidecar : sidecars_) sidecar->process().kill();
  }
  Soak(const Soak&) = delete;
  Soak& operator=(const Soak&) = delete;

  // What was broken, a line each.
  std::string run() {
    bool over = false;
    asio::co_spawn(loop_.io, whole(), [&](std::exception_ptr thrown) {
      if (thrown) expect(false, "the play threw");
      over = true;
    });
    while (!over) loop_.io.run_one();
    return faults_;
  }

 private:
  // A process that is looked at: whether it is meant to run, and the most it has held.
  struct Observed {
    std::string name;
    rehearse::Daemon* daemon = nullptr;  // null: a core, which Core knows by number
    int core = 0;
    Sidecar* sidecar = nullptr;
    bool is_meant_to_run = true;
    ResourceUsage most;
  };
  enum class Disturbance {
    reload_settings,
    restart_by_sigterm,
    restart_by_sigkill,
    freeze,
    change_route,
    change_bounds,
    faulty_server,
    kill_core,
    count
  };

  void expect(bool holds, const std::string& otherwise) {
    if (!holds && faults_.find(otherwise) == std::string::npos) faults_ += "\n" + otherwise;
  }
  int drawn(int below) { return int(draw_() % unsigned(below)); }
  std::chrono::milliseconds drawn_between(std::chrono::milliseconds least, std::chrono::milliseconds most) {
    return least + std::chrono::milliseconds(drawn(int((most - least).count()) + 1));
  }
  Observed& drawn_sidecar() { return processes_[std::size_t(cores + drawn(int(sidecars_.size())))]; }

  awaitable<void> whole() {
    co_await begin();
    if (!faults_.empty()) co_return;
    end_ = steady::now() + time_;
    for (int n = 0; n < crowds_at_once; ++n) spawn(crowd_after_crowd());
    for (int n = 0; n < disturbances_at_once; ++n) spawn(disturb_again_and_again());
    for (Observed& process : processes_)
      for (int n = 0; process.sidecar && n < callers_of_a_sidecar; ++n) spawn(call_again_and_again(process));
    while (running_ > 0) {
      observe();
      co_await core_.span(50ms);
    }
    expect(calls_ > 0, "no ordinary call was made");
    co_await expect_all_ports_answer();
    observe();
    report();
  }

  void spawn(awaitable<void> part) {
    ++running_;
    asio::co_spawn(loop_.io, std::move(part), [this](std::exception_ptr thrown) {
      if (thrown) expect(false, "a part of the play threw");
      --running_;
    });
  }

  awaitable<void> begin() {
    for (int n = 1; n <= cores; ++n)
      processes_.push_back(Observed{fmt::format("core {}", n), nullptr, n, nullptr, true, {}});
    for (const auto& sidecar : sidecars_) {
      sidecar->start();
      processes_.push_back(
          Observed{"sidecar " + sidecar->ip(), &sidecar->process(), 0, sidecar.get(), true, {}});
    }
    co_await expect_adjusted(first_call(next_version()));
    co_await expect_adjusted(one_route(next_version(), "one", "r0", "/p0/"));
    co_await expect_adjusted(one_route(next_version(), "two", "r1", "/p1/"));
    co_await expect_all_ports_answer();
  }
  std::string next_version() { return fmt::format("{:08x}", ++version_); }

  awaitable<void> crowd_after_crowd() {
    while (steady::now() < end_) {
      const auto port = Port(drawn(int(Port::core_control) + 1));
      const auto kind = CrowdKind(drawn(int(CrowdKind::mixed) + 1));
      const Sidecar& sidecar = *drawn_sidecar().sidecar;
      const tcp::endpoint core = core_endpoint(1 + drawn(cores));
      Crowd crowd(loop_, kind, crowd_target(port, sidecar, core), connections_of_a_crowd);
      crowd.start();
      co_await core_.span(drawn_between(2000ms, 5000ms));
      crowd.stop();
      while (!crowd.is_over()) co_await core_.span(20ms);
    }
  }

  awaitable<void> disturb_again_and_again() {
    while (steady::now() < end_) {
      co_await disturb(Disturbance(drawn(int(Disturbance::count))));
      co_await core_.span(drawn_between(0ms, 600ms));
    }
  }
  awaitable<void> disturb(Disturbance disturbance) {
    Observed& process = drawn_sidecar();
    switch (disturbance) {
      case Disturbance::reload_settings:
        process.sidecar->change_settings();
        break;
      case Disturbance::restart_by_sigterm:
        co_await restart(process, SIGTERM);
        break;
      case Disturbance::restart_by_sigkill:
        co_await restart(process, SIGKILL);
        break;
      case Disturbance::freeze:
        process.daemon->tell(SIGSTOP);
        co_await core_.span(drawn_between(200ms, 1500ms));
        process.daemon->tell(SIGCONT);
        break;
      case Disturbance::change_route:
        co_await change(one_route(next_version(), drawn(2) == 0 ? "one" : "two", "r2", "/p2/"));
        break;
      case Disturbance::change_bounds:
        co_await change(fmt::format(
            R"({{"apply":{{"saturation":{{"header_bytes":16384,"body_bytes":67108864,"header":"{}ms","idle":"15000ms","revision":"{}"}}}}}})",
            2000 + drawn(2000), next_version()));
        break;
      case Disturbance::faulty_server:
        process.sidecar->server().answer_with(
            FaultyAnswer(1 + drawn(int(FaultyAnswer::bytes_behind_an_answer))));
        co_await core_.span(drawn_between(500ms, 2000ms));
        process.sidecar->server().answer_with(FaultyAnswer::none);
        break;
      case Disturbance::kill_core:
        co_await kill_core();
        break;
      case Disturbance::count:
        break;
    }
  }
  // A change may fail in the midst of this, and need not be known.
  awaitable<void> change(std::string body) {
    co_await client_.request(core_endpoint(1 + drawn(cores)), "POST", "/v1/Configuration.Adjust", body);
  }
  awaitable<void> restart(Observed& process, int signal) {
    if (!process.is_meant_to_run) co_return;
    process.is_meant_to_run = false;
    process.daemon->tell(signal);
    const auto has_ended = [&] { return !process.daemon->running(); };
    const bool ended = co_await core_.eventually(limit_after_sigterm, has_ended);
    expect(ended, fmt::format("{} runs on after signal {}", process.name, signal));
    process.daemon->kill();
    co_await core_.span(drawn_between(0ms, 500ms));
    process.sidecar->start();
    process.is_meant_to_run = true;
  }
  // One at a time, so that a majority stays.
  awaitable<void> kill_core() {
    if (is_core_down_) co_return;
    is_core_down_ = true;
    Observed& process = processes_[std::size_t(drawn(cores))];
    process.is_meant_to_run = false;
    core_.kill(process.core);
    co_await core_.span(drawn_between(0ms, 800ms));
    core_.start(process.core);
    process.is_meant_to_run = true;
    co_await core_.span(4s);
    is_core_down_ = false;
  }

  // Over one connection until it ends, then over another.
  awaitable<void> call_again_and_again(Observed& process) {
    while (steady::now() < end_) {
      co_await call_over_one_connection(process);
      co_await core_.span(100ms);
    }
  }
  awaitable<void> call_over_one_connection(Observed& process) {
    const auto connection = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets,
                                                               HTTP_RESPONSE, message_limits);
    connection->limit(steady::now() + limit);
    asio::error_code error = co_await connection->connect(process.sidecar->outbound());
    while (!error && steady::now() < end_) {
      ++calls_;
      const std::string head = fmt::format(
          "GET /p{}/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: s{}\r\nX-Remaining-Ms: 4000\r\n\r\n",
          drawn(3), calls_);
      connection->limit(steady::now() + limit);
      std::size_t written = 0;
      error = co_await connection->write(head, {}, written);
      codec::reading got = codec::reading::unfinished;
      while (!error && got == codec::reading::unfinished) {
        got = co_await connection->more(error);
        if (got == codec::reading::unfinished) connection->in.pass_on();
      }
      expect(!connection->ran_out(), fmt::format("a call at {} hung", process.name));
      if (error || got != codec::reading::complete) co_return;
      ++answered_[connection->in.status()];
      if (!connection->in.keep_alive() || connection->next() == codec::reading::malformed) co_return;
      co_await core_.span(20ms);
    }
  }

  void observe() {
    const std::vector<KernelSocket> sockets = kernel_sockets();
    for (Observed& process : processes_) {
      const bool is_running = process.daemon ? process.daemon->running() : core_.running(process.core);
      if (!process.is_meant_to_run) continue;
      expect(is_running, process.name + " has ended unasked");
      const ResourceUsage now = usage_of(addresses(process), sockets);
      process.most.memory = std::max(process.most.memory, now.memory);
      process.most.descriptors = std::max(process.most.descriptors, now.descriptors);
    }
  }
  ProcessAddresses addresses(const Observed& process) const {
    if (process.sidecar) return addresses_of(*process.sidecar, {});
    return {core_.pid(process.core), core_.ip(process.core), {}, {}};
  }
  void report() {
    ResourceUsage most;
    for (const Observed& process : processes_) {
      most.memory = std::max(most.memory, process.most.memory);
      most.descriptors = std::max(most.descriptors, process.most.descriptors);
#ifndef ROBINPIN_SANITIZED  // the sanitizers' own memory is a multiple of the program's
      expect(
          process.most.memory <= memory_mb * megabyte,
          fmt::format("{}: memory was {} MB of {}", process.name, process.most.memory / megabyte, memory_mb));
#endif
      expect(
          process.most.descriptors <= std::size_t(file_limit),
          fmt::format("{}: descriptors were {} of {}", process.name, process.most.descriptors, file_limit));
    }
    fmt::print("{} calls; at most {} MB, {} descriptors;", calls_, most.memory / megabyte, most.descriptors);
    for (const auto& [status, times] : answered_) fmt::print(" {}: {}", status, times);
    fmt::print("\n");
  }

  tcp::endpoint core_endpoint(int n) const {
    return {asio::ip::make_address(core_.ip(n)), std::uint16_t(core_.control_port())};
  }
  awaitable<void> expect_all_ports_answer() {
    for (int n = 1; n <= cores; ++n) co_await expect_answer(core_endpoint(n), "GET", "/v1/status");
    co_await expect_answer(core_endpoint(1), "GET", "/v1/Configuration.Read");
    for (const auto& sidecar : sidecars_) {
      co_await expect_answer(sidecar->control(), "GET", "/v1/status");
      co_await expect_answer(sidecar->readiness(), "GET", "/v1/readiness");
      co_await expect_answer(sidecar->outbound(), "GET", "/p0/x");
      co_await expect_answer(sidecar->outbound(), "GET", "/p1/x");
    }
  }
  awaitable<void> expect_adjusted(std::string body) {
    co_await expect_answer(core_endpoint(1), "POST", "/v1/Configuration.Adjust", body);
  }
  // A caller tries again until it is answered.
  awaitable<void> expect_answer(tcp::endpoint to, std::string method, std::string path,
                                std::string body = "") {
    const int status = co_await client_.request_until_served(to, method, path, body, limit);
    expect(status == 200, fmt::format("{} {} at {}:{} is answered {} in the end", method, path,
                                      to.address().to_string(), to.port(), status));
  }

  std::mt19937 draw_;
  const std::chrono::seconds time_;
  Loop loop_;
  TestClient client_{loop_};
  Core core_;
  std::set<std::string> arrived_;
  std::vector<std::unique_ptr<Sidecar>> sidecars_;
  std::vector<Observed> processes_;  // the cores first
  steady::time_point end_{};
  int running_ = 0, version_ = 0, calls_ = 0;
  bool is_core_down_ = false;
  std::map<int, int> answered_;  // ordinary calls by status
  std::string faults_;
};

}  // namespace

TEST_GROUP(CrowdSoak){};

// Guards against what clients outside the limits break only beside restarts, signals and changes.
// ROBINPIN_PLAY_SEED, ROBINPIN_PLAY_SECONDS and ROBINPIN_PLAY_SIDECARS make it another, or longer and larger.
TEST(CrowdSoak, crowds_beside_signals_restarts_and_changes) {
  const int seed = number_from_environment("ROBINPIN_PLAY_SEED", 80);
  const int seconds = number_from_environment("ROBINPIN_PLAY_SECONDS", 20);
  const int sidecars = number_from_environment("ROBINPIN_PLAY_SIDECARS", 4);
  STRCMP_EQUAL("", Soak(unsigned(seed), sidecars, std::chrono::seconds(seconds)).run().c_str());
}
