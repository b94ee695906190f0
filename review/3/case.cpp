// DRAIN: a server's departure is acknowledged, the sidecar beside it is killed and started again, and a late
// beat of the server arrives.
#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

#include "../harness.h"

using namespace review;
using namespace std::chrono_literals;

namespace {

constexpr auto drain = 2500ms, contact = 3000ms;  // SYSTEM.md, Bounds
constexpr auto kill_after = 300ms, restart_after = 300ms;
constexpr auto beat_is_late_by = 2000ms;  // NEWS-22: a beat may come seconds late
constexpr auto serves_on_for = 7000ms;    // after the acknowledgement, then the server ends
constexpr auto between_requests = 50ms;
constexpr int client_count = 6;

int play(const std::string& folder, Record& record) {
  Mesh mesh(folder, record);
  RunCounter runs;
  // Clients and an application of another service beside the first sidecar; two servers of hold-desk.
  const int clients_machine = mesh.add_sidecar("slot-finder", 0);
  const int leaving_machine = mesh.add_sidecar("hold-desk", 0),
            other_machine = mesh.add_sidecar("hold-desk", 1);
  Server finder(mesh, clients_machine, "slot-finder", record, runs);
  Server leaving(mesh, leaving_machine, "hold-desk", record, runs);
  Server other(mesh, other_machine, "hold-desk", record, runs);
  for (Server* server : {&finder, &leaving, &other}) {
    server->start();
    server->start_beats();
  }
  mesh.adjust(first_configuration("effectful", "hold-desk", {"slot-finder", "hold-desk"}));
  mesh.wait_until_ready();
  std::this_thread::sleep_for(contact + 1s);  // from here on all machines are in touch

  std::atomic<bool> finished{false};
  std::atomic<int> number{0}, good{0}, failed{0};
  const auto send_requests = [&] {
    while (!finished) {
      const std::string id = "c-" + std::to_string(number++);
      Message answer;
      try {
        Connection connection(mesh.address(clients_machine), mesh.outbound_port(), 1000ms);
        record.write("sent " + id + " to " + mesh.address(clients_machine));
        connection.send(client_request("POST", id, "deposit"));
        connection.receive(answer, 8000ms);
      } catch (const std::runtime_error&) {
      }
      record.write("answer " + id + " " + std::to_string(answer.status()));
      ++(answer.status() == 200 ? good : failed);
      std::this_thread::sleep_for(between_requests);
    }
  };
  std::vector<std::thread> clients;
  for (int i = 0; i < client_count; ++i) clients.emplace_back(send_requests);
  const auto wait_until = [](Clock::time_point until) { std::this_thread::sleep_until(until); };
  wait_until(Clock::now() + 2s);
  const std::size_t before = leaving.arrivals().size();

  leaving.stop_beats();
  const std::string late_beat = leaving.make_beat();  // made now, arrives late
  if (leaving.depart() != 200) throw std::runtime_error("the departure is not acknowledged");
  const auto acknowledged = Clock::now();
  const std::int64_t acknowledged_ms = record.now_ms();
  record.write("departure of " + leaving.id() + " acknowledged");
  wait_until(acknowledged + kill_after);
  if (has_trouble()) {
    mesh.kill(leaving_machine);
    std::this_thread::sleep_for(restart_after);
    mesh.start(leaving_machine);
  }
  const std::int64_t in_touch_ms = record.now_ms() + std::chrono::milliseconds(contact).count();
  wait_until(acknowledged + beat_is_late_by);
  record.write("a beat of " + leaving.id() + " arrives late, answered " +
               std::to_string(leaving.send_beat(late_beat)));
  wait_until(acknowledged + serves_on_for);
  leaving.end();
  std::this_thread::sleep_for(1s);
  finished = true;
  for (std::thread& client : clients) client.join();

  // Only what arrived while every machine that handled it was in touch again.
  const std::int64_t bound_ms =
      std::max(acknowledged_ms + std::chrono::milliseconds(drain).count(), in_touch_ms);
  int late = 0;
  for (const std::int64_t at : leaving.arrivals())
    if (at > bound_ms)
      ++late, record.write("DRAIN: arrival at " + leaving.id() + " at " + std::to_string(at));
  const std::string summary =
      std::to_string(number) + " requests, " + std::to_string(good) + " answered 200, " +
      std::to_string(failed) +
      " others; at the departed server before its departure: " + std::to_string(before) +
      "; later than drain after the acknowledgement, all in touch: " + std::to_string(late) +
      "; lost as it ended: " + std::to_string(leaving.lost()) +
      "; processes that ended: " + std::to_string(mesh.unexpected_ends());
  record.write(summary);
  std::cout << summary << "\n";
  if (before == 0 || good < number / 2) return could_not_run;
  return late > 0 ? rule_broken : rule_kept;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, play); }
