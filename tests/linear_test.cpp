// Histories of registers: those that can be explained, and the shortest beginning of those that can't.
#include "../src/rehearse/linear.h"

#include <catch2/catch.hpp>

using namespace robinpin;
using namespace robinpin::rehearse;

namespace {

using kind = Deed::kind;
using over = Deed::end;

Deed write(std::uint64_t on, const std::string& text, micros from, micros to, over how = over::done) {
  return {1, 0, "r", kind::write, how, on, text, 0, from, to};
}
Deed read(std::uint64_t version, const std::string& text, micros from, micros to) {
  return {2, 0, "r", kind::read, over::done, 0, text, version, from, to};
}
Deed refused(std::uint64_t on, std::uint64_t version, const std::string& text, micros from, micros to) {
  return {3, 0, "r", kind::write, over::refused, on, text, version, from, to};
}

}  // namespace

TEST_CASE("a read beside a write may see it or not, one after it has to") {
  CHECK(explain_history({write(0, "a", 0, 10), read(0, "", 5, 8), read(1, "a", 6, 9)}).good);
  CHECK(explain_history({write(0, "a", 0, 10), read(0, "", 11, 12)}).good == false);
  CHECK(explain_history({write(0, "a", 0, 10), read(1, "a", 2, 4), read(0, "", 5, 6)}).good == false);
}

TEST_CASE("a write that is unknown may have been done, be done later, or never") {
  CHECK(
      explain_history({write(0, "a", 0, 10, over::unknown), read(0, "", 20, 30), read(1, "a", 40, 50)}).good);
  CHECK(
      explain_history({write(0, "a", 0, 10, over::unknown), read(0, "", 20, 30), read(0, "", 40, 50)}).good);
  CHECK(explain_history({write(0, "a", 0, 10, over::unknown), read(1, "a", 20, 30), read(0, "", 40, 50)})
            .good == false);
}

TEST_CASE("a write that was told not to be done, and is seen, explains nothing") {
  CHECK(explain_history({write(0, "a", 0, 10, over::not_done), read(1, "a", 20, 30)}).good == false);
}

TEST_CASE("two writes on one version, both told as done") {
  CHECK(explain_history({write(0, "a", 0, 10), write(0, "b", 5, 20)}).good == false);
  CHECK(explain_history({write(0, "a", 0, 10), refused(0, 1, "a", 5, 20), write(1, "b", 21, 30)}).good);
  CHECK(explain_history({write(0, "a", 0, 10), refused(0, 1, "x", 5, 20)}).good == false);
}

TEST_CASE(
    "an acknowledged write that is lost: the shortest beginning that can't be explained ends with the first "
    "who missed it") {
  const Explained e = explain_history({write(0, "a", 0, 10), read(1, "a", 12, 14), write(1, "b", 20, 30),
                                       read(1, "a", 40, 45), read(2, "b", 50, 60), read(1, "a", 70, 80)});
  REQUIRE_FALSE(e.good);
  CHECK(e.where == "r");
  REQUIRE(e.prefix.size() == 4);
  CHECK(e.prefix.back().called == 40);
}

TEST_CASE("hundreds of callers' deeds with many unknown among them are told within bounds") {
  std::vector<Deed> all;
  for (int i = 0; i < 300; ++i) {
    const micros t = i * 100;
    all.push_back(write(std::uint64_t(i), "v" + std::to_string(i), t, t + 60));
    all.push_back(read(std::uint64_t(i + 1), "v" + std::to_string(i), t + 50, t + 90));
    if (i % 10 == 0)
      all.push_back(write(std::uint64_t(i), "lost" + std::to_string(i), t + 10, t + 20, over::unknown));
  }
  const Explained e = explain_history(all);
  CHECK(e.good);
  CHECK_FALSE(e.given_up);
  CHECK(e.looked_at < 100'000);
}
