// DRAIN across restarts: an application server that was acknowledged as draining or departed gets no new
// request, though the sidecar that acknowledged it is killed and an older heartbeat arrives late. In memory,
// where the test orders the events, and with processes.
#include "mesh_processes.h"
#include "simulated_core.h"
#include "test_client.h"

#include "../../src/admission/admission_controller.h"
#include "../../src/app/instance_retirements.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using admission::AdmissionController;
using admission::RejectReason;

namespace {

constexpr std::int64_t second = 1'000'000;

admission::Server heartbeat_of(const std::string& id, std::uint64_t sequence) {
  admission::Server server;
  server.id = id, server.service = "one", server.sequence = sequence;
  return server;
}

// What a sidecar process knows of its application server; a new one for each process.
class SidecarState {
 public:
  SidecarState(Fleet& fleet, gossip::Machine machine)
      : fleet_(fleet), machine_(machine), retirements_(*fleet.nodes.at(machine).creed) {}

  bool on_heartbeat(admission::Server server) {
    server.draining = server.draining || retirements_.is_retired(server.id);
    return admission_.on_heartbeat(fleet_.net.now, std::move(server), 0);
  }
  // Whether the core has recorded the instance within that time.
  bool retire(const std::string& id, std::int64_t limit) {
    gossip::Outbox out;
    retirements_.request(fleet_.net.now, id, cores(), out);
    for (const std::int64_t until = fleet_.net.now + limit; !retirements_.is_retired(id);) {
      send(out);
      if (fleet_.net.now >= until) return false;
      fleet_.run(50'000);
      retirements_.tick(fleet_.net.now, cores(), out);
    }
    return true;
  }
  RejectReason check(const std::string& id) {
    return admission_.check(fleet_.net.now, id, {}, {4 * second, second, 4 * second});
  }

 private:
  const std::vector<gossip::Machine>& cores() const { return fleet_.nodes.at(machine_).rumour->cores(); }
  void send(gossip::Outbox& out) {
    for (const auto& datagram : std::exchange(out, {}))
      fleet_.nodes.at(machine_).span->send(datagram.to, datagram.bytes);
  }
  Fleet& fleet_;
  const gossip::Machine machine_;
  app::InstanceRetirements retirements_;
  AdmissionController admission_;
};

constexpr auto limit = 30s;  // for what has to come, on a slow machine too

// Three cores, one sidecar whose application server's calls the test makes, and a client at that sidecar.
class Mesh {
 public:
  explicit Mesh(std::uint32_t seed) : core_(loop_, seed) {}
  ~Mesh() {
    if (sidecar_) sidecar_->process().kill();
  }
  Mesh(const Mesh&) = delete;
  Mesh& operator=(const Mesh&) = delete;

  // What went wrong; empty: nothing.
  std::string run(awaitable<void> (Mesh::*play)()) {
    bool over = false;
    asio::co_spawn(loop_.io, (this->*play)(), [&](std::exception_ptr thrown) {
      if (thrown) expect(false, "the play threw");
      over = true;
    });
    while (!over) loop_.io.run_one();
    return faults_;
  }

  awaitable<void> sidecar_killed() {
    co_await begin();
    co_await depart("i-a");
    sidecar_->process().kill();
    co_await start_sidecar();
    co_await expect_nothing_after_late_heartbeat();
  }
  awaitable<void> all_killed() {
    co_await begin();
    co_await depart("i-a");
    sidecar_->process().tell(SIGKILL);
    core_.end_all();
    sidecar_->process().kill();
    for (int n = 1; n <= 3; ++n) core_.start(n);
    co_await start_sidecar();
    co_await expect_nothing_after_late_heartbeat();
  }
  awaitable<void> killed_while_draining() {
    co_await begin();
    const int status = co_await heartbeat("i-a", 3, "draining");
    expect(status == 200, fmt::format("draining is answered {}", status));
    sidecar_->process().kill();
    co_await start_sidecar();
    co_await expect_nothing_after_late_heartbeat();
  }
  // Nothing may be acknowledged that only this process would remember.
  awaitable<void> no_core() {
    co_await begin();
    core_.end_all();
    const int status =
        co_await client_.call(sidecar_->control(), "POST", "/v1/Servers.Departure/i-a", "", "");
    expect(status == 503, fmt::format("a departure that no core records is answered {}", status));
    co_await expect_no_arrival("after a departure that was not acknowledged");
  }

 private:
  void expect(bool holds, const std::string& otherwise) {
    if (!holds) faults_ += "\n" + otherwise;
  }

  awaitable<void> begin() {
    core_.begin(3);
    sidecar_ = std::make_unique<Sidecar>(loop_, core_, 20, "one", arrived_, Heartbeats::by_the_test);
    const std::string body = first_call("00000007");
    for (const auto until = steady::now() + limit; steady::now() < until;) {
      const Answer answer = co_await core_.call(1, "POST", "/v1/Configuration.Adjust", body);
      if (answer.status == 200) break;
      co_await core_.span(20ms);
    }
    co_await start_sidecar();
    int status = co_await heartbeat("i-a", 1, "admitted");
    expect(status == 200, fmt::format("the first heartbeat is answered {}", status));
    status = 0;
    for (const auto until = steady::now() + limit; status != 200 && steady::now() < until;)
      status = co_await request();
    expect(status == 200, "no request is served before the departure");
  }
  awaitable<void> start_sidecar() {
    sidecar_->start();
    int status = 0;
    for (const auto until = steady::now() + limit; status != 200 && steady::now() < until;) {
      status = co_await client_.call(sidecar_->readiness(), "GET", "/v1/readiness", "", "");
      co_await core_.span(10ms);
    }
    expect(status == 200, "the sidecar does not become ready");
  }
  awaitable<void> depart(std::string id) {
    const std::string path = "/v1/Servers.Departure/" + id;
    int status = 0;
    for (const auto until = steady::now() + limit; status != 200 && steady::now() < until;)
      status = co_await client_.call(sidecar_->control(), "POST", path, "", "");
    expect(status == 200, "the departure is not acknowledged");
  }
  // Made before the departure, it arrives now.
  awaitable<void> expect_nothing_after_late_heartbeat() {
    co_await heartbeat("i-a", 2, "admitted");
    co_await expect_no_arrival("after the departure was acknowledged");
  }
  awaitable<void> expect_no_arrival(std::string when) {
    const std::size_t before = arrived_.size();
    for (int n = 0; n < 10; ++n) {
      const int status = co_await request();
      expect(status == 503, fmt::format("a request {} is answered {}", when, status));
    }
    expect(arrived_.size() == before,
           fmt::format("{} requests reach the server {}", arrived_.size() - before, when));
  }

  awaitable<int> request() {
    const std::string headers = fmt::format("X-Attempt-Id: r{}\r\nX-Remaining-Ms: 2000\r\n", ++requests_);
    const int status = co_await client_.call(sidecar_->outbound(), "GET", "/p0/x", headers, "");
    co_return status;
  }
  awaitable<int> heartbeat(std::string id, int sequence, std::string state) {
    const std::string body = fmt::format(
        R"({{"target":"one","address":"{}","zone":"east","revision":"v1","capacity":32,"state":"{}","warmup_left":"0ms","sequence":{}}})",
        sidecar_->server().address(), state, sequence);
    const std::string path = "/v1/Servers.Heartbeat/" + id;
    const int status = co_await client_.call(sidecar_->control(), "POST", path, "", body);
    co_return status;
  }

  Loop loop_;
  TestClient client_{loop_};
  Core core_;
  std::set<std::string> arrived_;
  std::unique_ptr<Sidecar> sidecar_;
  int requests_ = 0;
  std::string faults_;
};

std::string played(awaitable<void> (Mesh::*play)()) {
  Mesh mesh(73);
  return mesh.run(play);
}

}  // namespace

TEST_GROUP(Departure){};

// Guards against DRAIN broken by a restart: what was acknowledged was held by the memory of one process.
TEST(Departure, an_acknowledged_departure_binds_every_later_process_though_all_memory_is_lost) {
  for (const bool cores_too : {false, true}) {
    Fleet fleet(4, 3, 5);
    const gossip::Machine machine = Fleet::ambit(0);
    CHECK_EQUAL(200, fleet.settled(Fleet::core(0), control_plane::OperatorRequest::what::adjust,
                                   first_call("00000007")));
    fleet.run(2 * second);
    {
      SidecarState before(fleet, machine);
      CHECK(before.on_heartbeat(heartbeat_of("i-a", 4)));
      CHECK(RejectReason::none == before.check("i-a"));
      CHECK(before.retire("i-a", second));
    }
    std::vector<gossip::Machine> killed{machine};
    if (cores_too)
      for (const auto& [m, node] : fleet.nodes)
        if (m != machine) killed.push_back(m);
    for (const gossip::Machine m : killed) fleet.kill(m);
    for (const gossip::Machine m : killed) fleet.start(m);
    for (int i = 0; i < 100 && !fleet.nodes.at(machine).rumour->caught_up(); ++i) fleet.run(100'000);
    CHECK(fleet.nodes.at(machine).rumour->caught_up());
    SidecarState after(fleet, machine);
    after.on_heartbeat(heartbeat_of("i-a", 5));  // made before the departure
    CHECK(RejectReason::none != after.check("i-a"));
    after.on_heartbeat(heartbeat_of("i-b", 1));
    CHECK(RejectReason::none == after.check("i-b"));  // its successor is served
    CHECK(fleet.faults.empty());
  }
}

// Guards against an acknowledgement that no core has recorded.
TEST(Departure, nothing_is_recorded_while_no_majority_of_the_core_answers) {
  Fleet fleet(2, 3, 6);
  CHECK_EQUAL(200, fleet.settled(Fleet::core(0), control_plane::OperatorRequest::what::adjust,
                                 first_call("00000007")));
  fleet.run(2 * second);
  fleet.kill(Fleet::core(1)), fleet.kill(Fleet::core(2));
  SidecarState sidecar(fleet, Fleet::ambit(0));
  CHECK_FALSE(sidecar.retire("i-a", 2 * second));
  fleet.start(Fleet::core(1));
  CHECK(sidecar.retire("i-a", 10 * second));
}

// Guards against records that grow without bound.
TEST(Departure, records_are_dropped_after_their_lifetime_and_are_bounded_before) {
  Fleet fleet(1, 3, 7);
  CHECK_EQUAL(200, fleet.settled(Fleet::core(0), control_plane::OperatorRequest::what::adjust,
                                 first_call("00000007")));
  fleet.run(2 * second);
  SidecarState sidecar(fleet, Fleet::ambit(0));
  CHECK(sidecar.retire("i-a", second));
  const auto& held = *fleet.nodes.at(Fleet::core(1)).creed;
  fleet.run(control_plane::ReplicatedState::retirement_lifetime / 2);
  CHECK(held.stands("r/i-a"));
  fleet.run(control_plane::ReplicatedState::retirement_lifetime / 2 + 5 * second);
  CHECK_FALSE(held.stands("r/i-a"));
  configuration::ConfigurationStore full;
  for (std::size_t i = 0; i < control_plane::max_retired_instances; ++i)
    full.take({"r/i" + std::to_string(i), 1, false, "{}", i + 1});
  control_plane::StateView view(full);
  const control_plane::ValidatedCall call({control_plane::OperatorRequest::what::retire, "i-new"});
  CHECK_EQUAL(200, call.evaluate(view).status);
  CHECK_EQUAL(control_plane::max_retired_instances, view.standing());
  CHECK(view.find("r/i0")->dropped);
}

TEST_GROUP(ProcessDeparture){};

// Guards against DRAIN broken by a restart of the sidecar that acknowledged a departure.
TEST(ProcessDeparture, a_departed_server_gets_nothing_by_a_late_heartbeat_after_its_sidecar_was_killed) {
  STRCMP_EQUAL("", played(&Mesh::sidecar_killed).c_str());
}
// The same where the core's processes are killed at that moment, too.
TEST(ProcessDeparture, a_departed_server_gets_nothing_after_all_processes_were_killed_at_once) {
  STRCMP_EQUAL("", played(&Mesh::all_killed).c_str());
}
// Guards against DRAIN broken by a restart of the sidecar that acknowledged `draining`.
TEST(ProcessDeparture, a_draining_server_gets_nothing_by_a_late_heartbeat_after_its_sidecar_was_killed) {
  STRCMP_EQUAL("", played(&Mesh::killed_while_draining).c_str());
}
// Guards against an acknowledgement that one process's memory alone holds.
TEST(ProcessDeparture, a_departure_that_no_core_records_is_not_acknowledged_and_binds_all_the_same) {
  STRCMP_EQUAL("", played(&Mesh::no_core).c_str());
}
