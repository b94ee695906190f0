// A faulty application server beside a sidecar of real processes, whose settings name low limits. Whatever it
// sends: the sidecar lives, its memory stays within `memory_mb`, each of its callers gets an answer, or the
// beginning of one and then the end of the connection, and who asks a sound service meanwhile gets an answer
// whole. No time and no share of served requests is judged.
#include "help.h"
#include "mesh_processes.h"
#include "resource_usage.h"
#include "test_client.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

constexpr int memory_mb = 64;
constexpr int file_limit = 700;
constexpr std::size_t megabyte = 1024 * 1024;
constexpr int callers_of_faulty_service = 150;
constexpr int callers_of_sound_service = 8;
constexpr auto duration = 3s;
constexpr auto standstill = 1s;  // of the sidecar, while its server sends on
constexpr auto limit = 30s;      // for what has to come, on a slow machine too

// Where the callers connect: beside the faulty server, or at another node.
enum class CallersAt { same_node, other_node };
enum class Progress { steady, frozen_for_a_while };  // of the sidecar that they connect to

class Play {
 public:
  Play() : core_(loop_, 77) {
    core_.memory_mb = memory_mb;
    core_.file_limit = file_limit;
  }
  ~Play() {
    for (Sidecar* sidecar : sidecars())
      if (sidecar) sidecar->process().kill();
  }
  Play(const Play&) = delete;
  Play& operator=(const Play&) = delete;

  // What was broken, a line each.
  std::string run(FaultyAnswer kind, CallersAt callers_at, Progress progress) {
    bool over = false;
    asio::co_spawn(loop_.io, whole(kind, callers_at, progress), [&](std::exception_ptr thrown) {
      if (thrown) expect(false, "the play threw");
      over = true;
    });
    while (!over) loop_.io.run_one();
    return faults_;
  }

 private:
  struct Callers {
    bool get_whole_answers = true;  // one that was begun and cut off is none
    int running = 0, answered = 0, unanswered = 0;
    std::map<int, int> by_status;
  };

  std::vector<Sidecar*> sidecars() { return {faulty_.get(), sound_.get(), apart_.get()}; }

  void expect(bool holds, const std::string& otherwise) {
    if (!holds) faults_ += "\n" + otherwise;
  }

  awaitable<void> whole(FaultyAnswer kind, CallersAt callers_at, Progress progress) {
    co_await begin();
    if (!faults_.empty()) co_return;
    Sidecar& entry = callers_at == CallersAt::same_node ? *faulty_ : *apart_;
    faulty_->server().answer_with(kind);
    const auto end = steady::now() + duration;
    Callers of_faulty, of_sound;
    of_faulty.get_whole_answers = !begins_as_long_answer(kind);
    for (int n = 0; n < callers_of_faulty_service; ++n) start(of_faulty, entry, "/p0/x", end);
    for (int n = 0; n < callers_of_sound_service; ++n) start(of_sound, entry, "/p1/x", end);
    if (progress == Progress::frozen_for_a_while) co_await freeze(entry);
    while (of_faulty.running + of_sound.running > 0) {
      observe();
      co_await core_.span(20ms);
    }
    print("faulty", of_faulty);
    print("sound", of_sound);
    expect_within_limits();
    expect(of_faulty.unanswered == 0, fmt::format("{} of {} callers of the faulty service got no answer",
                                                  of_faulty.unanswered, of_faulty.answered));
    expect(of_sound.unanswered == 0, fmt::format("{} of {} callers of the sound service got no answer",
                                                 of_sound.unanswered, of_sound.answered));
    co_await expect_served(entry, "/p1/x");
    for (Sidecar* sidecar : sidecars())
      expect(sidecar->process().running(), "a sidecar has ended: " + sidecar->server().service());
  }

  awaitable<void> begin() {
    core_.begin(1);
    faulty_ = std::make_unique<Sidecar>(loop_, core_, 20, "one", arrived_);
    sound_ = std::make_unique<Sidecar>(loop_, core_, 21, "two", arrived_);
    apart_ = std::make_unique<Sidecar>(loop_, core_, 22, "callers", arrived_);
    for (Sidecar* sidecar : sidecars()) {
      sidecar->memory_mb = memory_mb;
      sidecar->file_limit = file_limit;
      sidecar->start();
    }
    co_await expect_adjusted(first_call("00000007"));
    co_await expect_adjusted(one_route("00000008", "one", "r0"));
    co_await expect_adjusted(one_route("00000009", "two", "r1", "/p1/"));
    for (Sidecar* sidecar : {faulty_.get(), apart_.get()}) {
      co_await expect_served(*sidecar, "/p0/x");
      co_await expect_served(*sidecar, "/p1/x");
    }
  }

  void start(Callers& callers, Sidecar& at, std::string path, steady::time_point end) {
    ++callers.running;
    asio::co_spawn(loop_.io, ask_until(callers, at, std::move(path), end),
                   [&callers](std::exception_ptr) { --callers.running; });
  }
  // Each request over a connection of its own, again after its answer.
  awaitable<void> ask_until(Callers& callers, Sidecar& at, std::string path, steady::time_point end) {
    while (steady::now() < end) {
      const TestClient::Outcome outcome =
          co_await client_.outcome_of_request(at.outbound(), "GET", path, "", limit);
      const bool is_answered = outcome.status != 0 && (outcome.is_whole || !callers.get_whole_answers);
      ++(is_answered ? callers.answered : callers.unanswered);
      ++callers.by_status[outcome.status];
      co_await core_.span(20ms);
    }
  }

  // While it stands still nothing is read: what its peers send has to wait in bounds.
  awaitable<void> freeze(Sidecar& sidecar) {
    co_await core_.span(duration / 3);
    sidecar.process().tell(SIGSTOP);
    for (const auto until = steady::now() + standstill; steady::now() < until;) {
      observe();
      co_await core_.span(20ms);
    }
    sidecar.process().tell(SIGCONT);
  }

  void observe() {
    const std::vector<KernelSocket> sockets = kernel_sockets();
    for (Sidecar* sidecar : sidecars()) {
      const KernelEndpoint server = kernel_endpoint_of(sidecar->server().address());
      const ResourceUsage now =
          usage_of({sidecar->process().pid(), sidecar->ip(), {server}, {server}}, sockets);
      ResourceUsage& most = most_[sidecar];
      most.memory = std::max(most.memory, now.memory);
      most.descriptors = std::max(most.descriptors, now.descriptors);
    }
  }
  void expect_within_limits() {
    for (const auto& [sidecar, most] : most_) {
      const std::string name = "sidecar of " + sidecar->server().service();
      const std::size_t memory = most.memory / megabyte;
      fmt::print("{}: at most {} MB, {} descriptors\n", name, memory, most.descriptors);
#ifndef ROBINPIN_SANITIZED  // the sanitizers' own memory is a multiple of the program's
      expect(memory <= memory_mb, fmt::format("{}: memory was {} MB of {}", name, memory, memory_mb));
#endif
      expect(most.descriptors <= file_limit,
             fmt::format("{}: descriptors were {} of {}", name, most.descriptors, file_limit));
    }
  }
  static void print(const char* service, const Callers& callers) {
    fmt::print("callers of the {} service: {} answered, {} not;", service, callers.answered,
               callers.unanswered);
    for (const auto& [status, times] : callers.by_status) fmt::print(" {}: {}", status, times);
    fmt::print("\n");
  }

  awaitable<void> expect_adjusted(std::string body) {
    const tcp::endpoint core(asio::ip::make_address(core_.ip(1)), std::uint16_t(core_.control_port()));
    co_await expect_answer(core, "POST", "/v1/Configuration.Adjust", body);
  }
  awaitable<void> expect_served(Sidecar& at, std::string path) {
    co_await expect_answer(at.outbound(), "GET", path, "");
  }
  // A caller tries again until it is answered.
  awaitable<void> expect_answer(tcp::endpoint to, std::string method, std::string path, std::string body) {
    const int status = co_await client_.request_until_served(to, method, path, body, limit);
    expect(status == 200, fmt::format("{} {} is answered {} in the end", method, path, status));
  }

  Loop loop_;
  TestClient client_{loop_};
  Core core_;
  std::set<std::string> arrived_;
  std::unique_ptr<Sidecar> faulty_, sound_, apart_;
  std::map<Sidecar*, ResourceUsage> most_;
  std::string faults_;
};

void expect_contained(FaultyAnswer kind, CallersAt callers_at = CallersAt::same_node,
                      Progress progress = Progress::steady) {
  STRCMP_EQUAL("", Play().run(kind, callers_at, progress).c_str());
}

}  // namespace

TEST_GROUP(FaultyServer){};

// Each guards against a server whose answer never ends: it takes its sidecar's memory, or the answers of
// other callers.
#define FAULTY_ANSWER(kind) \
  TEST(FaultyServer, kind) { expect_contained(FaultyAnswer::kind); }

FAULTY_ANSWER(endless_header_value)
FAULTY_ANSWER(endless_header_lines)
FAULTY_ANSWER(interim_answers)
FAULTY_ANSWER(body_of_legal_length)
FAULTY_ANSWER(body_until_the_end)
FAULTY_ANSWER(chunks)
FAULTY_ANSWER(one_byte_chunks)
FAULTY_ANSWER(one_endless_chunk)
FAULTY_ANSWER(endless_trailers)
FAULTY_ANSWER(stalled_short_answer)
FAULTY_ANSWER(bytes_behind_an_answer)

// Guards against bytes that wait unread, without a bound, where the process has opened the connection.
TEST(FaultyServer, unread_bytes_of_a_frozen_sidecar) {
  expect_contained(FaultyAnswer::chunks, CallersAt::same_node, Progress::frozen_for_a_while);
}

// Guards against an endless answer that takes the memory, or the answers, at the caller's node.
TEST(FaultyServer, callers_at_another_node) { expect_contained(FaultyAnswer::chunks, CallersAt::other_node); }
