// Clients that stay inside no limit, at each port of real processes whose settings name low limits. Whatever
// they do: the process lives, its memory stays within `memory_mb`, with what the kernel holds for it in both
// directions, and its descriptors within `file_limit`, and an ordinary caller is answered while they stay and
// afterwards. No time and no share of served requests is judged.
#include "crowd.h"
#include "crowd_targets.h"
#include "help.h"
#include "mesh_processes.h"
#include "resource_usage.h"
#include "test_client.h"

#include "../../src/control_plane/request_validation.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

// How large a crowd is, and the limits of the processes that it meets.
struct Size {
  int connections = Crowd::usual_connections;
  int memory_mb = 64;
  int file_limit = 700;
};

// How long a crowd stays: ordinary callers ask from a while after its start on, and it stays until one has
// been answered, but not longer than that.
constexpr std::chrono::milliseconds least_stay = 3s, ordinary_callers_begin_after = 1500ms,
                                    longest_stay = 20s;
#ifdef ROBINPIN_SANITIZED
constexpr auto stay_limit = least_stay;
#else
constexpr auto stay_limit = longest_stay;
#endif
constexpr std::size_t megabyte = 1024 * 1024;
constexpr int many_routes = 3'000;  // a configuration whose text is long
constexpr auto limit = 30s;         // for what has to come, on a slow machine too

// A core, a sidecar with an application server that answers, and a sidecar of callers.
class Play {
 public:
  explicit Play(Size size = {}) : size_(size), core_(loop_, 74) {
    core_.memory_mb = size_.memory_mb;
    core_.file_limit = size_.file_limit;
  }
  ~Play() {
    for (auto* sidecar : {callers_.get(), servers_.get()})
      if (sidecar) sidecar->process().kill();
  }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  // What was broken, a line each.
  std::string run(Port port, CrowdKind kind) { return played(whole(port, kind)); }
  std::string run_in_calm() { return played(longest_change_in_calm()); }

 private:
  struct ObservedProcess {
    std::string name;
    ProcessAddresses addresses;
    ResourceUsage most;
  };

  std::string played(awaitable<void> play) {
    bool over = false;
    asio::co_spawn(loop_.io, std::move(play), [&](std::exception_ptr thrown) {
      if (thrown) expect(false, "the play threw");
      over = true;
    });
    while (!over) loop_.io.run_one();
    return faults_;
  }

  // A call of nearly `max_change_bytes`, and a core within its memory.
  awaitable<void> longest_change_in_calm() {
    co_await begin(3);
    if (!faults_.empty()) co_return;
    const std::size_t few = 1'000;
    const std::size_t item_bytes = configuration::read_call(first_call("00000001", few)).bytes() / few;
    const std::size_t many = control_plane::max_change_bytes / item_bytes;
    std::vector<ObservedProcess> processes = observed_processes(Port::core_control);
    co_await expect_adjusted(first_call("0000000a", int(many)));
    observe(processes);
    for (const ObservedProcess& process : processes) expect_within_limits(process);
    co_await expect_ordinary_callers_are_answered();
  }

  void expect(bool holds, const std::string& otherwise) {
    if (!holds) faults_ += "\n" + otherwise;
  }

  awaitable<void> whole(Port port, CrowdKind kind) {
    co_await begin(port == Port::core_control ? many_routes : 3);
    if (!faults_.empty()) co_return;
    const int connections = kind == CrowdKind::idle_connections ? Crowd::idle_connections : size_.connections;
    Crowd crowd(loop_, kind, target_at(port), connections);
    crowd.start();
    std::vector<ObservedProcess> processes = observed_processes(port);
    const auto begin = steady::now();
    int asked = 0, answered = 0;
    bool asks = true, is_asking = false;
    while (steady::now() < begin + least_stay || (answered == 0 && steady::now() < begin + stay_limit)) {
      observe(processes);
      if (!is_asking && steady::now() >= begin + ordinary_callers_begin_after) {
        is_asking = true;
        asio::co_spawn(loop_.io, ask_while(port, asks, asked, answered),
                       [&is_asking](std::exception_ptr) { is_asking = false; });
      }
      co_await core_.span(20ms);
    }
    asks = false;
    crowd.stop();
    while (!crowd.is_over() || is_asking) {
      observe(processes);
      co_await core_.span(20ms);
    }
    fmt::print("ordinary requests beside the crowd: {} of {} answered 200\n", answered, asked);
#ifndef ROBINPIN_SANITIZED  // whose processes are too slow for it
    expect(answered > 0, fmt::format("none of {} ordinary requests was answered beside the crowd", asked));
#endif
    for (const ObservedProcess& process : processes) expect_within_limits(process);
    co_await expect_ordinary_callers_are_answered();
    expect(core_.running(1), "the core has ended");
    expect(callers_->process().running(), "the callers' sidecar has ended");
    expect(servers_->process().running(), "the server's sidecar has ended");
  }

  // Ordinary requests to what the crowd is at, one after another.
  awaitable<void> ask_while(Port port, const bool& asks, int& asked, int& answered) {
    while (asks) {
      ++asked;
      const int status = co_await ask(port);
      if (status == 200 && asks) ++answered;  // else the crowd has gone meanwhile
      co_await core_.span(100ms);
    }
  }
  awaitable<int> ask(Port port) {
    tcp::endpoint to = callers_->outbound();  // by which other nodes call at `inbound`, too
    std::string path = "/p0/x";
    if (port == Port::sidecar_control) to = callers_->control(), path = "/v1/status";
    if (port == Port::readiness) to = callers_->readiness(), path = "/v1/readiness";
    if (port == Port::core_control) to = core_endpoint(), path = "/v1/Configuration.Read";
    const int status = co_await client_.request(to, "GET", path);
    co_return status;
  }

  awaitable<void> begin(int routes) {
    core_.begin(1);
    servers_ = std::make_unique<Sidecar>(loop_, core_, 20, "one", arrived_);
    callers_ = std::make_unique<Sidecar>(loop_, core_, 21, "callers", arrived_);
    for (Sidecar* sidecar : {servers_.get(), callers_.get()}) {
      sidecar->memory_mb = size_.memory_mb;
      sidecar->file_limit = size_.file_limit;
      sidecar->start();
    }
    co_await expect_adjusted(first_call("00000007", routes));
    co_await expect_adjusted(one_route("00000009", "one"));
    co_await expect_ordinary_callers_are_answered();
  }

  std::vector<ObservedProcess> observed_processes(Port crowd_at) {
    std::vector<KernelEndpoint> only_callers_connect_to;
    if (crowd_at != Port::inbound) only_callers_connect_to.push_back(kernel_endpoint_of(servers_->inbound()));
    return {{"core", {core_.pid(1), core_.ip(1), {}, {}}, {}},
            {"callers' sidecar", addresses_of(*callers_, only_callers_connect_to), {}},
            {"server's sidecar", addresses_of(*servers_, {}), {}}};
  }
  static void observe(std::vector<ObservedProcess>& processes) {
    const std::vector<KernelSocket> sockets = kernel_sockets();
    for (ObservedProcess& process : processes) {
      const ResourceUsage now = usage_of(process.addresses, sockets);
      process.most.memory = std::max(process.most.memory, now.memory);
      process.most.unsent = std::max(process.most.unsent, now.unsent);
      process.most.unowned = std::max(process.most.unowned, now.unowned);
      process.most.descriptors = std::max(process.most.descriptors, now.descriptors);
    }
  }
  void expect_within_limits(const ObservedProcess& process) {
    const std::size_t memory = process.most.memory / megabyte, descriptors = process.most.descriptors;
    fmt::print("{}: at most {} MB ({} MB unsent, {} MB unowned), {} descriptors\n", process.name, memory,
               process.most.unsent / megabyte, process.most.unowned / megabyte, descriptors);
#ifndef ROBINPIN_SANITIZED  // the sanitizers' own memory is a multiple of the program's
    expect(memory <= std::size_t(size_.memory_mb),
           fmt::format("{}: memory was {} MB of {}", process.name, memory, size_.memory_mb));
#endif
    expect(descriptors <= std::size_t(size_.file_limit),
           fmt::format("{}: descriptors were {} of {}", process.name, descriptors, size_.file_limit));
  }

  CrowdTarget target_at(Port port) {
    return crowd_target(port, port == Port::inbound ? *servers_ : *callers_, core_endpoint());
  }
  tcp::endpoint core_endpoint() const {
    return {asio::ip::make_address(core_.ip(1)), std::uint16_t(core_.control_port())};
  }

  awaitable<void> expect_ordinary_callers_are_answered() {
    co_await expect_answer(core_endpoint(), "GET", "/v1/Configuration.Read");
    co_await expect_answer(callers_->readiness(), "GET", "/v1/readiness");
    co_await expect_answer(callers_->control(), "GET", "/v1/status");
    co_await expect_answer(callers_->outbound(), "GET", "/p0/x");
  }
  awaitable<void> expect_adjusted(std::string body) {
    co_await expect_answer(core_endpoint(), "POST", "/v1/Configuration.Adjust", body);
  }
  // A caller tries again until it is answered.
  awaitable<void> expect_answer(tcp::endpoint to, std::string method, std::string path,
                                std::string body = "") {
    const int status = co_await client_.request_until_served(to, method, path, body, limit);
    expect(status == 200, fmt::format("{} {} is answered {} in the end", method, path, status));
  }

  const Size size_;
  Loop loop_;
  TestClient client_{loop_};
  Core core_;
  std::set<std::string> arrived_;
  std::unique_ptr<Sidecar> servers_, callers_;
  std::string faults_;
};

void expect_held(Port port, CrowdKind kind, Size size = {}) {
  STRCMP_EQUAL("", Play(size).run(port, kind).c_str());
}

}  // namespace

TEST_GROUP(Crowd){};

// Guards against limits on what peers hold that refuse a call inside the limits.
TEST(Crowd, the_longest_change_is_taken_in_calm) { STRCMP_EQUAL("", Play().run_in_calm().c_str()); }

// Each guards against a process that clients outside the limits make outgrow its memory or its descriptors,
// or that answers nobody else while they are there.
#define CROWD_AT(port, kind) \
  TEST(Crowd, port##_##kind) { expect_held(Port::port, CrowdKind::kind); }
#define SIZED_CROWD_AT(port, kind, connections, memory_mb, file_limit)                  \
  TEST(Crowd, port##_##kind##_##connections##_##memory_mb) {                            \
    expect_held(Port::port, CrowdKind::kind, Size{connections, memory_mb, file_limit}); \
  }

CROWD_AT(outbound, idle_connections)
CROWD_AT(outbound, endless_header_value)
CROWD_AT(outbound, endless_header_lines)
CROWD_AT(outbound, almost_whole_heads)
CROWD_AT(outbound, empty_lines)
CROWD_AT(outbound, slow_readers)
CROWD_AT(outbound, pipelined_unread)
CROWD_AT(outbound, bodies_short_of_a_byte)
CROWD_AT(outbound, chunks_short_of_an_end)
CROWD_AT(outbound, one_byte_chunks)
CROWD_AT(outbound, whole_bodies)
CROWD_AT(outbound, unread_answers)
CROWD_AT(outbound, bodies_that_trickle)
CROWD_AT(outbound, mixed)
CROWD_AT(inbound, idle_connections)
CROWD_AT(inbound, endless_header_value)
CROWD_AT(inbound, endless_header_lines)
CROWD_AT(inbound, almost_whole_heads)
CROWD_AT(inbound, empty_lines)
CROWD_AT(inbound, slow_readers)
CROWD_AT(inbound, pipelined_unread)
CROWD_AT(inbound, bodies_short_of_a_byte)
CROWD_AT(inbound, chunks_short_of_an_end)
CROWD_AT(inbound, one_byte_chunks)
CROWD_AT(inbound, whole_bodies)
CROWD_AT(inbound, unread_answers)
CROWD_AT(inbound, bodies_that_trickle)
CROWD_AT(inbound, mixed)
CROWD_AT(sidecar_control, idle_connections)
CROWD_AT(sidecar_control, endless_header_value)
CROWD_AT(sidecar_control, endless_header_lines)
CROWD_AT(sidecar_control, almost_whole_heads)
CROWD_AT(sidecar_control, empty_lines)
CROWD_AT(sidecar_control, pipelined_unread)
CROWD_AT(sidecar_control, bodies_short_of_a_byte)
CROWD_AT(sidecar_control, chunks_short_of_an_end)
CROWD_AT(sidecar_control, one_byte_chunks)
CROWD_AT(sidecar_control, whole_bodies)
CROWD_AT(sidecar_control, bodies_of_many_values)
CROWD_AT(sidecar_control, bodies_nested_deeply)
CROWD_AT(sidecar_control, bodies_that_trickle)
CROWD_AT(sidecar_control, mixed)
CROWD_AT(readiness, idle_connections)
CROWD_AT(readiness, endless_header_value)
CROWD_AT(readiness, endless_header_lines)
CROWD_AT(readiness, empty_lines)
CROWD_AT(readiness, pipelined_unread)
CROWD_AT(readiness, mixed)
CROWD_AT(core_control, idle_connections)
CROWD_AT(core_control, endless_header_value)
CROWD_AT(core_control, endless_header_lines)
CROWD_AT(core_control, almost_whole_heads)
CROWD_AT(core_control, empty_lines)
CROWD_AT(core_control, slow_readers)
CROWD_AT(core_control, pipelined_unread)
CROWD_AT(core_control, bodies_short_of_a_byte)
CROWD_AT(core_control, chunks_short_of_an_end)
CROWD_AT(core_control, one_byte_chunks)
CROWD_AT(core_control, whole_bodies)
CROWD_AT(core_control, bodies_of_many_values)
CROWD_AT(core_control, bodies_nested_deeply)
CROWD_AT(core_control, bodies_of_long_names)
CROWD_AT(core_control, bodies_that_trickle)
CROWD_AT(core_control, mixed)
// The second as the operators' machines have it.
SIZED_CROWD_AT(outbound, pipelined_unread, 500, 64, 1400)
SIZED_CROWD_AT(outbound, pipelined_unread, 2000, 220, 4100)
SIZED_CROWD_AT(outbound, pipelined_unread, 500, 96, 700)
SIZED_CROWD_AT(inbound, pipelined_unread, 500, 64, 1400)
SIZED_CROWD_AT(outbound, mixed, 500, 64, 1400)
SIZED_CROWD_AT(outbound, mixed, 2000, 220, 4100)
