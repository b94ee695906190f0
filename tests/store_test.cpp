// A voter's store: what is in it after its process, and when it is not to be used.
#include "../src/store/store.h"

#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>

using namespace robinpin::consensus;
using namespace robinpin::store;
using Catch::Matchers::Contains;

namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("robinpin-store-" + std::to_string(::getpid()));
  Folder() { std::filesystem::create_directories(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string store() const { return path / "a.store"; }
};

Change change(const Memory& m, const std::string& name, const std::string& text, std::uint64_t version = 1) {
  Change c;
  c.counter = m.counter + version;
  c.name = name;
  c.slot = {{5, "p/1"}, {4, "q/2"}, {version, text, "w"}};
  return c;
}

bool put(Store& s, std::optional<Change> c) {
  std::promise<bool> lasts;
  s.put(std::move(c), [&](bool good) { lasts.set_value(good); });
  return lasts.get_future().get();
}

void sql(const std::string& path, const char* text) {
  sqlite3* db = nullptr;
  REQUIRE(sqlite3_open(path.c_str(), &db) == SQLITE_OK);
  REQUIRE(sqlite3_exec(db, text, nullptr, nullptr, nullptr) == SQLITE_OK);
  sqlite3_close(db);
}

}  // namespace

TEST_CASE("what was promised and accepted is there after the process, with its identity and counter") {
  const Folder f;
  std::string identity;
  {
    Store s(f.store(), "muscat", "a");
    CHECK_FALSE(s.again());
    identity = s.memory().store;
    CHECK(identity.size() == 32);
    Change c = change(s.memory(), "r", "text");
    c.voters = Voters::read(1, "now a " + identity + " x\n");
    c.seen = {{"other", 7}};
    CHECK(put(s, c));
    CHECK(put(s, std::nullopt));
  }
  Store s(f.store(), "muscat", "a");
  CHECK(s.again());
  CHECK(s.memory().store == identity);
  CHECK(s.memory().counter == 1);
  CHECK(s.memory().slots.at("r") == Slot{{5, "p/1"}, {4, "q/2"}, {1, "text", "w"}});
  CHECK(s.memory().voters.version == 1);
  CHECK(s.memory().seen.at("other") == 7);
}

TEST_CASE(
    "a store that is in use, torn, foreign, newer, another fleet's or another voter's is refused with its "
    "reason") {
  const Folder f;
  const auto refusal = [&](const std::string& fleet = "muscat",
                           const std::string& voter = "a") -> std::string {
    try {
      Store s(f.store(), fleet, voter);
    } catch (const refused& why) {
      return why.what();
    }
    return "taken";
  };
  // A lock is a process's own, and SQLite does not live through a fork: the other process is there before the
  // store is open.
  int go[2];
  REQUIRE(::pipe(go) == 0);
  const pid_t other = ::fork();
  if (other == 0) {
    ::close(go[1]);
    char opened = 0;
    if (::read(go[0], &opened, 1) != 1) ::_exit(2);
    ::_exit(refusal().find("in use by another process") != std::string::npos ? 0 : 1);
  }
  ::close(go[0]);
  auto first = std::make_unique<Store>(f.store(), "muscat", "a");
  REQUIRE(::write(go[1], "x", 1) == 1);
  ::close(go[1]);
  int status = 1;
  ::waitpid(other, &status, 0);
  CHECK(status == 0);
  first.reset();
  CHECK_THAT(refusal("salalah"), Contains("belongs to fleet \"muscat\""));
  CHECK_THAT(refusal("muscat", "b"), Contains("belongs to \"a\""));  // a copy on a second machine
  CHECK(refusal() == "taken");
  SECTION("newer") {
    sql(f.store(), "PRAGMA user_version=99");
    CHECK_THAT(refusal(), Contains("schema 99"));
  }
  SECTION("another program's") {
    std::filesystem::remove(f.store());
    sql(f.store(), "CREATE TABLE t(x)");
    CHECK_THAT(refusal(), Contains("not a robinpin store"));
  }
  SECTION("torn") {
    std::filesystem::resize_file(f.store(), std::filesystem::file_size(f.store()) / 2);
    CHECK_THAT(refusal(), Contains("torn"));
  }
  SECTION("no store at all") {
    std::ofstream(f.store(), std::ios::trunc) << "what is this";
    CHECK_THAT(refusal(), Contains("torn or not a store"));
  }
}

TEST_CASE("writes that wait together are committed together, and answered in their order") {
  const Folder f;
  Store s(f.store(), "muscat", "a");
  std::vector<int> order;
  std::promise<void> over;
  for (int i = 0; i < 200; ++i)
    s.put(change(s.memory(), "r", "v", std::uint64_t(i + 1)), [&, i](bool good) {
      order.push_back(good ? i : -1);
      if (i == 199) over.set_value();
    });
  over.get_future().wait();
  std::vector<int> asked(200);
  for (int i = 0; i < 200; ++i) asked[std::size_t(i)] = i;
  CHECK(order == asked);
  CHECK(put(s, std::nullopt));
  CHECK(s.figures().writes == 200);
  CHECK(s.figures().commits < 200);
}

TEST_CASE("a write that fails is final for the process, also when the disk takes writes again") {
  const Folder f;
  const pid_t child = ::fork();  // with a limit on the size of its files
  if (child == 0) {
    std::signal(SIGXFSZ, SIG_IGN);
    bool kept = true;
    {
      Store s(f.store(), "muscat", "a");
      kept = put(s, change(s.memory(), "r", "first"));
      const rlimit small{200'000, RLIM_INFINITY};
      ::setrlimit(RLIMIT_FSIZE, &small);
      const std::string text(60'000, 'x');
      bool failed = false;
      for (std::uint64_t i = 2; i < 20 && !failed; ++i)
        failed = !put(s, change(s.memory(), "r" + std::to_string(i), text, i));
      const rlimit wide{RLIM_INFINITY, RLIM_INFINITY};
      ::setrlimit(RLIMIT_FSIZE, &wide);
      kept = kept && failed && !s.failure().empty() && !put(s, change(s.memory(), "late", "y", 50));
    }
    Store again(f.store(), "muscat", "a");
    kept =
        kept && again.memory().slots.at("r").value.text == "first" && !again.memory().slots.contains("late");
    ::_exit(kept ? 0 : 1);
  }
  int status = 1;
  ::waitpid(child, &status, 0);
  CHECK(status == 0);
}
