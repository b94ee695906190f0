// The kit: plans and their faults, daemons that misbehave, and short rehearsals against real nodes.
#include <signal.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <thread>

#include "../src/rehearse/daemon.h"
#include "../src/rehearse/peer.h"
#include "../src/rehearse/report.h"

using namespace robinpin;
using namespace robinpin::rehearse;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("robinpin-kit-" + std::to_string(::getpid()));
  Folder() { std::filesystem::create_directories(path); }
  ~Folder() { std::filesystem::remove_all(path); }
};

const std::string small = R"(
length = "4s"
warm_up = "500ms"
[load]
rate = 60
[nodes]
count = 2
front_notice = "200ms"
memory_mb = 0              # a build with sanitizers maps more than any limit allows
[terms]
ask_every = "500ms"
[list]
notice = "300ms"
add = "200ms"
[[hall]]
name = "ruwi"
[[hall]]
name = "seeb"
[[tier]]
name = "front"
work = 0.6
  [[tier.box]]
  name = "f"
  count = 3
  cores = 4
  cold_for = "1s"
[[tier]]
name = "back"
work = 0.4
calls = [1, 2]
  [[tier.box]]
  name = "b"
  count = 3
  cores = 4
[[scheme]]
name = "view"
share = 2
work = "20ms"
[[scheme]]
name = "pay"
work = "20ms"
repeats = "once-only"
[[scheme]]
name = "add"
work = "20ms"
repeats = "referenced"
memory = "4s"
)";

Outcome played(const std::string& text, policy by = policy::module) {
  const Folder f;
  const PlanRead r = read_plan("p.toml", text);
  INFO(config::text("p.toml", r.faults));
  REQUIRE(r.good());
  Setup setup;
  setup.daemon = ROBINPIN_BINARY;
  setup.out = f.path;
  setup.by = by;
  return play(
      r.plan, setup, [](const Progress&) {}, [] { return false; });
}

std::string told(const Outcome& o) {
  std::string all;
  for (const auto& b : o.verdict.breaks) all += b.what + "\n";
  for (const auto& c : o.crashed) all += c + "\n";
  return all;
}

}  // namespace

TEST_CASE("every fault of a plan is told with its place") {
  const auto r = read_plan(
      "p.toml",
      "length = \"4s\"\nwarm_up = \"9s\"\n[lod]\nrate = 5\n[[hall]]\nname = \"ruwi\"\n[[tier]]\nname = "
      "\"t\"\n"
      "[[tier.box]]\nname = \"f\"\ncores = 0\n[[scheme]]\nname = \"x\"\nrepeats = \"referenced\"\n"
      "[[fault]]\nwhat = \"taken\"\nat = \"1s\"\nsize = 3\n[[fault]]\nwhat = \"flood\"\nat = \"1s\"\n"
      "[[fault]]\nwhat = \"slow\"\nat = \"7s\"\nboxes = [\"g-1\"]\n[expect]\nservice = "
      "120\n[expect.hall]\nmars = 50\n");
  const std::string faults = config::text("p.toml", r.faults);
  for (const char* what :
       {"p.toml:3:2: lod: no such key; did you mean \"load\"?", "leaves nothing of the length",
        "tier.box.cores: is zero", "scheme.memory: is missing", "is a share, from above 0 to 1",
        "\"flood\" is none of", "after the plan's end", "\"g-1\" is not in the plan; there are f-1",
        "expect.service: 120 is over the most", "\"mars\" is not in the plan"})
    CHECK_THAT(faults, Contains(what));
}

TEST_CASE("a key can be set over the file's, in tables, lists by name and by number") {
  const auto r =
      read_plan("p.toml", small,
                {"load.rate=500", "tier.back.box.b.cores=9", "hall.1.share=3", "nodes.count=\"many\""});
  CHECK(r.plan.mix.rate == 500);
  CHECK(r.plan.tiers.at(1).kinds.at(0).make.cores == 9);
  CHECK(r.plan.halls.at(1).share == 3);
  CHECK_THAT(config::text("p.toml", r.faults), Contains("nodes.count: must be a whole number"));
  CHECK_THAT(config::text("p", read_plan("p", small, {"tier.none.box=3"}).faults), Contains("names nothing"));
  CHECK_THAT(config::text("p", read_plan("p", small, {"load"}).faults), Contains("no key=value"));
}

TEST_CASE("a daemon that floods its log neither waits nor fills the disk, one that ignores SIGTERM is ended",
          "[processes]") {
  const Folder f;
  asio::io_context io;
  Daemon d(io);
  Daemon::Start how;
  how.command = {"/bin/sh", "-c", "trap '' TERM; head -c 20000000 /dev/zero; echo done >&2; sleep 30"};
  how.log = f.path / "log";
  d.start(how);
  const auto begun = std::chrono::steady_clock::now();
  while (d.log_dropped() < 20'000'000 - (16 << 20) && std::chrono::steady_clock::now() - begun < 10s)
    io.run_for(5ms);
  CHECK(d.log_dropped() >= 20'000'000 - (16 << 20));
  CHECK(std::filesystem::file_size(how.log) <= 16 << 20);
  d.tell(SIGTERM);
  io.run_for(50ms);
  CHECK(d.running());
  d.kill();
  CHECK(d.ended() == 128 + SIGKILL);
  how.command = {"/bin/sh", "-c", "exit 3"};
  d.start(how);
  for (int i = 0; i < 500 && d.running(); ++i) std::this_thread::sleep_for(2ms);
  CHECK(d.ended() == 3);
  how.command = {"/none"};
  d.start(how);
  for (int i = 0; i < 500 && d.running(); ++i) std::this_thread::sleep_for(2ms);
  CHECK(d.ended() == 127);
}

TEST_CASE("two tiers through real nodes: all is served, and the judge saw every try and posting",
          "[processes]") {
  const Outcome o = played(small);
  INFO(told(o));
  CHECK(o.verdict.rules_kept());
  CHECK(o.crashed.empty());
  CHECK(o.verdict.txns > 150);
  CHECK(o.verdict.service.share() > 0.9);
  CHECK(o.verdict.postings >= o.verdict.txns * 2);
}

TEST_CASE("nodes told to end and killed, boxes dead, silent and resetting, a list behind: no rule breaks",
          "[processes]") {
  const Outcome o = played(small + R"(
[[fault]]
what = "list-behind"
at = "500ms"
for = "2s"
size = 1.0
[[fault]]
what = "nodes-restart"
at = "800ms"
for = "1s"
down = "200ms"
[[fault]]
what = "nodes-restart"
at = "2500ms"
for = "200ms"
share = 0.5
down = "200ms"
killed = true
[[fault]]
what = "silent"
boxes = ["f-1"]
at = "1s"
for = "1s"
[[fault]]
what = "dead"
boxes = ["b-1"]
at = "1500ms"
for = "1s"
[[fault]]
what = "reset"
share = 0.5
size = 0.1
at = "600ms"
for = "3s"
)");
  INFO(told(o));
  CHECK(o.verdict.rules_kept());
  CHECK(o.crashed.empty());
  CHECK(o.happened.size() >= 8);
}

// No machine is on time to a hundredth of a microsecond.
TEST_CASE("a kit that is short of processor says by how much it ran late, and the run is void",
          "[processes]") {
  const Outcome o = played("length = \"1s\"\nwarm_up = \"0ms\"\n[kit]\nlate_p99 = \"1us\"\n" +
                           small.substr(small.find("[load]")));
  CHECK_THAT(o.void_because, Contains("the kit ran late") && Contains("limit 1us"));
}

TEST_CASE("a client's retry that crosses the answer on its way is a try of its own, and no rule breaks",
          "[processes]") {
  std::string text = small +
                     "[[fault]]\nwhat = \"hanging\"\nat = \"1s\"\nfor = \"1500ms\"\n[clients]\nwait = "
                     "\"0ms\"\ntry_share = 0.4\n[net]\nclient = \"0ms\"\n";
  text.replace(text.find("share = 2\nwork"), 9, "share = 2\nsla = \"300ms\"\nexpiry = \"800ms\"");
  const Outcome o = played(text);
  INFO(told(o));
  int crossed = 0;
  for (const Try& t : o.history.tries)
    for (const Try& next : o.history.tries)
      if (t.tier == 0 && next.tier == 0 && t.txn == next.txn && next.id > t.id && t.answered > next.sent)
        ++crossed;
  CHECK(crossed > 0);
  CHECK(o.verdict.rules_kept());
}

// Its mix and pacing, twice as fast; what is not of the plan's schemes is passed over.
TEST_CASE("a node's records are played again", "[processes]") {
  const Folder f;
  std::ofstream(f.path / "r.jsonl") << [] {
    std::string lines;
    for (int i = 0; i < 40; ++i)
      lines += "{\"fact\":\"taken\",\"node\":\"n\",\"start\":1,\"n\":1,\"steady\":1,\"wall\":" +
               std::to_string(1'000'000 + i * 50'000) + ",\"scheme\":\"" + (i % 4 == 0 ? "other" : "view") +
               "\"}\n";
    return lines;
  }();
  std::string text = small;
  text.replace(text.find("rate = 60"), 9, "replay = \"" + (f.path / "r.jsonl").string() + "\"\npace = 2\n");
  text.replace(text.find("\"4s\""), 4, "\"2s\"");
  const Outcome o = played(text);
  INFO(told(o));
  CHECK(o.history.deals.size() == 30);
  CHECK(o.history.deals.back().asked - o.history.deals.front().asked == 950'000);
  CHECK(o.verdict.rules_kept());
}

TEST_CASE("the baselines play the same plans by the same rules", "[processes]") {
  for (const policy by : {policy::random, policy::least}) {
    const Outcome o = played(small, by);
    INFO(told(o));
    CHECK(o.verdict.counts[1] == 0);
    CHECK(o.verdict.service.share() > 0.9);
  }
}

TEST_CASE(
    "expectations that are not met are named, a kit that ran late voids the run, and the report reads back") {
  PlanRead r = read_plan("p.toml",
                         small + "[expect]\nservice = 90\nwaste = 1\ntipped = 0\n[expect.hall]\nseeb = 50\n");
  REQUIRE(r.good());
  Outcome o;
  o.grounds.halls = {"ruwi", "seeb"};
  o.grounds.schemes = {{"view"}};
  o.verdict.service = {100, 80};
  o.verdict.by_hall = {{50, 50}, {50, 20}};
  o.verdict.by_scheme = {{100, 80}};
  o.verdict.txns = 10;
  o.waste = 0.02;
  o.tipped = 1;
  const auto missed = unmet(r.plan, o);
  REQUIRE(missed.size() == 4);
  CHECK_THAT(missed[0], Contains("service is 80.00, expected 90"));
  CHECK_THAT(missed[1], Contains("service of seeb is 40.00"));
  CHECK(verdict_of(r.plan, o) == verdict::broken);
  o.verdict.counts[1] = 2;
  CHECK_THAT(unmet(r.plan, o)[0], Contains("rule 2 (no effect twice) is broken 2 times"));
  o.void_because = "the kit ran late";
  CHECK(verdict_of(r.plan, o) == verdict::voided);
  const Folder f;
  std::ofstream(f.path / "report.json") << json(r.plan, o, 9);
  const Kept k = kept(f.path);
  CHECK((k.seed == 9 && k.service == 80 && k.breaks == 2 && k.voided));
  CHECK_THROWS_WITH(kept(f.path / "none"), Contains("no report"));
  const auto d = difference({1, 2, 3}, {2, 4, 6});
  CHECK((d.pairs == 3 && d.mean == Approx(2) && d.either_side == Approx(4.303 / std::sqrt(3.0))));
}

TEST_CASE("an address that is taken is named, and nothing is left running", "[processes]") {
  asio::io_context io;
  tcp::acceptor taken(io);
  taken.open(tcp::v4());
  taken.set_option(tcp::acceptor::reuse_address(true));
  taken.bind({asio::ip::make_address("127." + std::to_string(64 + ::getpid() % 150) + ".10.1"), 3000});
  taken.listen();
  CHECK_THROWS_WITH(played(small), Contains(".10.1:3000: Address already in use"));
}
