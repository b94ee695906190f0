#include "explore.h"

#include <algorithm>
#include <tuple>

#include <CppUTest/TestHarness.h>

using namespace robinpin::mesh_test::explored;

namespace {
void holds(const Plot& plot, const Found& f) {
  std::string why = plot.name + ": " + f.broken;
  for (const auto& s : f.trace) why += "\n  " + s;
  CHECK_TEXT(f.broken.empty(), why.c_str());
  CHECK_TEXT(f.acknowledged > 0 && f.losses > 0, plot.name.c_str());  // else nothing could have been lost
}
}  // namespace

TEST_GROUP(Explore){};

TEST(Explore, every_order_of_a_few_steps_keeps_what_is_promised) {
  for (const Plot& plot : plots())
    if (small(plot) && !plot.beats)
      holds(plot, Explorer(plot, false).all(30, plot.scripts.size() > 1 ? 900 : 400));
}

TEST(Explore, drawn_plays_of_many_steps_keep_what_is_promised) {
  for (const Plot& plot : plots()) holds(plot, Explorer(plot).drawn(1, small(plot) ? 4 : 7, 80));
}

// A settled list that its bringer told nobody of; a ballot too low while a voter is down; a seat given to a
// store that is gone; one taken back as soon as it was given; two seats of one machine; fewer voters while
// two of those that stay are lost.
TEST(Explore, drawn_plays_that_broke_the_core_once_keep_what_is_promised) {
  const std::tuple<const char*, std::uint32_t, int> found[] = {
      {"three, and two that stand by", 37, 80},
      {"three", 313, 80},
      {"five", 144, 80},
      {"three, and two that stand by", 1410, 120},
      {"three, and two addresses that are free", 1386, 120},
      {"three to four to five and back", 1320, 120}};
  const auto all = plots();
  for (const auto& [name, seed, steps] : found) {
    const auto plot =
        std::find_if(all.begin(), all.end(), [name = name](const Plot& p) { return p.name == name; });
    CHECK_TEXT(plot != all.end(), name);
    const Found f = Explorer(*plot).drawn(seed, 1, steps);
    CHECK_TEXT(f.broken.empty(), (plot->name + ": " + f.broken).c_str());
  }
}

TEST(Explore, eight_orders_at_once_all_end_within_their_time) {
  for (const int voters : {3, 5})
    for (std::uint32_t seed = 1; seed < 12; ++seed) {
      Plot p;
      p.voters = voters, p.standbys = 1;
      World w(p);
      w.at_once(8, seed, seed % 2 ? 3'000 : 25'000);
      CHECK_TEXT(w.broken.empty(), w.broken.c_str());
    }
}
