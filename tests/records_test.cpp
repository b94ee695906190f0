// Records and the log: what is written, what is read back, and disks and pipes that fail.
#include "../src/records/records.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "../src/log/log.h"
#include "help.h"

using namespace robinpin;
using namespace robinpin::help;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("robinpin-records-" + std::to_string(::getpid()));
  Folder() { std::filesystem::create_directories(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string file(const std::string& name = "r.jsonl") const { return path / name; }
};

// What the writer says of its disk, from its own thread, which may outlive a test.
struct Told {
  std::mutex mutex;
  std::vector<std::string> lines;
};

records::Facts facts(const records::Keeping& keeping, std::shared_ptr<Told> told = std::make_shared<Told>()) {
  return {keeping, "n1", [] { return micros(5); },
          [told](const std::string& line) {
            const std::lock_guard lock(told->mutex);
            told->lines.push_back(line);
          }};
}

template <typename Condition>
bool soon(Condition condition) {
  for (int i = 0; i < 2000 && !condition(); ++i) std::this_thread::sleep_for(1ms);
  return condition();
}

records::Keeping keeping(const std::string& path) { return {path, 1 << 20, 3, 1000, 2 * ms}; }

}  // namespace

TEST_CASE(
    "facts are read back as they were, across starts of a node that was killed in the middle of a line") {
  const Folder folder;
  {
    auto f = facts(keeping(folder.file()));
    f.names({"view", "pay"}, {"choir"});
    f.started("robinpin", 0);
    f.taken("1", 1, 0, 300 * ms, "deposits");
    f.limited("1", "deposits", "rate", 20 * ms);
    f.posted("1", 0, "box \"a\"\n", 0);
    f.posting_ended("1", 0, "settled", 7 * ms);
    f.answered("1", "settled", 0);
  }
  std::ofstream(folder.file(), std::ios::app) << R"({"fact":"posted","node":"n1","st)";
  {
    auto f = facts(keeping(folder.file()));
    f.left("2");
  }
  const auto back = records::read_back(folder.file());
  CHECK(back.broken == 1);
  REQUIRE(back.facts.size() == 8);
  CHECK((back.facts[0].fact == "records" && back.facts[0].start == 1));
  CHECK((back.facts[2].scheme == "pay" && back.facts[2].tenant == "choir" &&
         back.facts[2].route == "deposits"));
  CHECK((back.facts[2].time == 300 * ms && back.facts[2].steady == 5 && back.facts[2].wall > 0));
  CHECK(back.facts[4].server == "box \"a\"\n");
  CHECK((back.facts[5].how == "settled" && back.facts[5].posting == 0));
  CHECK((back.facts[7].fact == "left" && back.facts[7].start == 2 && back.facts[7].number == 1));
}

TEST_CASE("a line of another schema is none of ours") {
  CHECK(
      records::read_fact(R"({"fact":"records","node":"n","start":1,"n":0,"steady":1,"wall":1,"schema":1})"));
  CHECK_FALSE(
      records::read_fact(R"({"fact":"records","node":"n","start":1,"n":0,"steady":1,"wall":1,"schema":2})"));
  CHECK_FALSE(records::read_fact(R"({"fact":"records","node":"n","start":"1","n":0,"steady":1,"wall":1})"));
  CHECK_FALSE(records::read_fact("7"));
}

TEST_CASE("files are rotated by size, so many are kept, and each begins with its schema") {
  const Folder folder;
  auto k = keeping(folder.file());
  k.rotate_at = 4096;
  k.keep = 2;
  {
    auto f = facts(k);
    for (int i = 0; i < 200; ++i) f.left("txn-" + std::to_string(i));
  }
  for (const char* name : {"r.jsonl", "r.jsonl.1", "r.jsonl.2"}) {
    REQUIRE(std::filesystem::exists(folder.file(name)));
    CHECK(std::filesystem::file_size(folder.file(name)) <= 4096 + 200);
    std::string first;
    std::ifstream file(folder.file(name));
    std::getline(file, first);
    CHECK_THAT(first, Contains("\"schema\":1"));
  }
  CHECK_FALSE(std::filesystem::exists(folder.file("r.jsonl.3")));
  const auto back = records::read_back(folder.file());
  CHECK(back.broken == 0);
  CHECK(back.facts.back().txn == "txn-199");
}

TEST_CASE("a disk that fills loses records and nothing else, and says how many once it takes lines again") {
  const Folder folder;
  std::filesystem::create_symlink("/dev/full", folder.file());
  const auto told = std::make_shared<Told>();
  auto f = facts(keeping(folder.file()), told);
  for (int i = 0; i < 5; ++i) f.left("lost");
  REQUIRE(soon([&] { return f.dropped() == 5; }));
  std::filesystem::remove(folder.file());
  REQUIRE(soon([&] {
    f.left("kept");
    const auto back = records::read_back(folder.file());
    return !back.facts.empty() && back.facts.back().txn == "kept";
  }));
  const auto back = records::read_back(folder.file());
  REQUIRE(back.facts.size() >= 3);
  CHECK(back.facts[1].fact == "dropped");
  CHECK(back.facts[1].version >= 5);
  const std::lock_guard lock(told->mutex);
  REQUIRE(told->lines.size() == 2);  // once with its cause, once when it is over
  CHECK_THAT(told->lines[0], Contains("No space left"));
  CHECK_THAT(told->lines[1], Contains("written again"));
}

TEST_CASE("a disk that vanishes and comes back is written to again") {
  const Folder folder;
  std::filesystem::create_directories(folder.file("disk"));
  auto f = facts(keeping(folder.file("disk/r.jsonl")));
  f.left("1");
  REQUIRE(soon([&] { return std::filesystem::exists(folder.file("disk/r.jsonl")); }));
  std::filesystem::rename(folder.file("disk"), folder.file("away"));
  f.left("2");
  REQUIRE(soon([&] { return f.dropped() == 1; }));
  std::filesystem::create_directories(folder.file("disk"));
  CHECK(soon([&] {
    f.left("3");
    return std::filesystem::exists(folder.file("disk/r.jsonl"));
  }));
}

// A pipe that nobody reads hangs whoever opens it.
TEST_CASE(
    "a disk that hangs holds up nobody: what finds no room is dropped, and the end does not wait for it") {
  const Folder folder;
  REQUIRE(::mkfifo(folder.file().c_str(), 0600) == 0);
  auto k = keeping(folder.file());
  k.queue = 50;
  const auto begun = std::chrono::steady_clock::now();
  {
    records::Writer w(
        k, [](int) { return std::string("{}\n"); }, [](std::uint64_t) { return std::string(); },
        [](const std::string&) {});
    int dropped = 0;
    for (int i = 0; i < 1000; ++i) dropped += w.put("line\n") ? 0 : 1;
    CHECK(dropped >= 850);  // one batch may have been taken out before the thread hung
    CHECK(w.dropped() == std::uint64_t(dropped));
    CHECK(std::chrono::steady_clock::now() - begun < 200ms);
  }
  CHECK(std::chrono::steady_clock::now() - begun < 1500ms);
  ::close(::open(folder.file().c_str(), O_RDWR | O_NONBLOCK));  // lets the thread go
}

TEST_CASE("a line that is repeated is written once, and told with its count when its time is over") {
  log::Folding folding(10s, 3);
  const log::Folding::time t{};
  std::vector<log::Folding::Line> due;
  CHECK(folding.take(t, 0, 1, "x", due));
  for (int i = 0; i < 4; ++i) CHECK_FALSE(folding.take(t + 1s, 0, 1, "x", due));
  CHECK(folding.take(t + 1s, 0, 2, "x", due));  // another level is another line
  CHECK(folding.take(t + 1s, 1, 1, "x", due));
  CHECK(due.empty());
  CHECK(folding.take(t + 2s, 0, 1, "y", due));  // out of room: the oldest is told first
  REQUIRE(due.size() == 1);
  CHECK((due[0].text == "x" && due[0].times == 5));
  due.clear();
  folding.take(t + 3s, 0, 1, "y", due);
  folding.sweep(t + 13s, due);
  REQUIRE(due.size() == 1);
  CHECK(due[0].text == "y");
  CHECK(folding.take(t + 13s, 0, 1, "y", due));
}

TEST_CASE(
    "a peer's failure is told once with its cause, again when the cause changes, and once when it is over") {
  log::Trouble t;
  const log::Trouble::clock::time_point noon_{};
  CHECK_FALSE(t.mended());
  CHECK(t.fails("refused", noon_));
  CHECK_FALSE(t.fails("refused", noon_ + 1s));
  CHECK(t.fails("silent", noon_ + 2s));
  CHECK(t.mended(noon_ + 3s));
  CHECK((t.times() == 3 && t.lasted() == 3));
  CHECK_FALSE(t.mended());
  CHECK(t.fails("silent", noon_ + 4s));
}

// Whoever read the log may have stopped reading.
TEST_CASE("a log that nobody reads holds up nobody, and says later what it dropped") {
  int pipe_ends[2];
  REQUIRE(::pipe(pipe_ends) == 0);
  const int kept = ::dup(STDERR_FILENO);
  ::dup2(pipe_ends[1], STDERR_FILENO);
  log::open({true,
             {log::level::info, log::level::info, log::level::off, log::level::info, log::level::info,
              log::level::info},
             10s});
  const auto begun = std::chrono::steady_clock::now();
  for (int i = 0; i < 3000; ++i) log::info(log::part::node, "line {} {}", i, std::string(100, 'x'));
  log::error(log::part::servers, "this part is off");
  const bool quick = std::chrono::steady_clock::now() - begun < 1s;
  const auto dropped = log::dropped();
  std::string heard(1 << 17, 0);
  heard.resize(std::size_t(::read(pipe_ends[0], heard.data(), heard.size())));
  log::warning(log::part::list, "said \"again\"\n");
  std::string rest(1 << 16, 0);
  rest.resize(std::size_t(::read(pipe_ends[0], rest.data(), rest.size())));
  ::dup2(kept, STDERR_FILENO);
  for (const int fd : {kept, pipe_ends[0], pipe_ends[1]}) ::close(fd);
  log::open({});
  CHECK(quick);
  CHECK(dropped > 0);
  CHECK_THAT(heard,
             Contains(R"("level":"info","part":"node","text":"line 0 x)") && !Contains("this part is off"));
  CHECK_THAT(rest, Contains("lines of the log were dropped") && Contains(R"(said \"again\"\u000a)"));
}
