#include "simulated_core.h"

#include <algorithm>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;
using What = control_plane::OperatorRequest::what;

namespace {
constexpr std::int64_t second = 1'000'000;
constexpr auto core = Fleet::core;
constexpr auto ambit = Fleet::ambit;
std::string reads(Fleet& f, Machine m) {
  std::string body;
  return f.settled(m, What::read, {}, &body) == 200 ? body : std::string();
}
// As an operator does it: again where nobody can tell.
int taken(Fleet& f, Machine m, What what, const std::string& text) {
  int status = 0;
  for (int tries = 0; tries < 5 && status != 200; ++tries, f.run(second / 5))
    status = f.settled(m, what, text);
  return status;
}
bool says(Fleet& f, Machine m, const std::string& text) {
  return reads(f, m).find(text) != std::string::npos;
}
// Keeps the last beat of one core, by whom it went to, and brings it again.
struct Late : Fleet {
  Late(Machine whose, std::uint32_t seed) : Fleet(0, 3, seed), of(whose) {}
  void on_datagram(Machine m, Machine from, std::string_view bytes) override {
    if (from == of && bytes[0] == char(control_plane::MessageType::heartbeat) && keeps) beats[m] = bytes;
    Fleet::on_datagram(m, from, bytes);
  }
  void again() {
    for (const auto& [m, bytes] : std::map(beats))
      if (nodes.at(m).up()) Fleet::on_datagram(m, of, bytes);
  }
  const Machine of;
  bool keeps = true;
  std::map<Machine, std::string> beats;
};
}  // namespace

TEST_GROUP(ControlPlane){};

TEST(ControlPlane, a_change_reaches_all_of_15_though_a_tenth_of_the_datagrams_is_lost_or_doubled) {
  Fleet f(12, 3, 1);
  f.net.loss_probability = f.net.duplication_probability = 0.1;
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.run(2 * second);
  CHECK_EQUAL(15, f.with("c/r0", 7));
  CHECK_EQUAL(200, f.settled(core(1), What::adjust, one_route("00000009", "two")));
  f.run(2 * second);
  CHECK_EQUAL(15, f.with("c/r0", 9));
  CHECK(f.faults.empty());
}

TEST(ControlPlane, what_was_acknowledged_is_read_back_after_the_core_that_said_so_has_lost_its_disk) {
  for (int who = 0; who < 3; ++who) {
    Fleet f(0, 3, 10 + std::uint32_t(who));  // no ambit hands anything over: the core alone keeps it
    f.cut(core(0), core(1));                 // one link is down, so that just two hold it
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    for (int i = 0; i < 3; ++i) f.kill(core(i));  // power is off everywhere ...
    f.wipe(core(who));                            // ... and one comes back with an empty disk
    f.join();
    for (int i = 0; i < 3; ++i) f.start(core(i));
    f.run(2 * second);
    for (int i = 0; i < 3; ++i) CHECK(says(f, core(i), "\"r2\""));
  }
}

TEST(ControlPlane,
     what_was_acknowledged_lasts_though_all_machines_lose_power_in_that_moment_and_disks_are_lost) {
  for (std::uint32_t seed = 0; seed < 40; ++seed) {
    const int cores = seed % 2 ? 5 : 3, emptied = cores / 2;
    Fleet f(3, cores, 900 + seed);
    f.run(second);
    f.net.loss_probability = seed % 4 == 3 ? 0.1 : 0;
    // Every core is asked for something, all at once: what is answered by then has to last.
    std::vector<std::pair<std::string, std::shared_ptr<std::optional<control_plane::RequestOutcome>>>> asked;
    CHECK_EQUAL(200, taken(f, core(0), What::adjust, first_call("00000007")));
    for (int i = 0; i < cores; ++i) {
      const std::string label = "new-" + std::to_string(i);
      asked.emplace_back("c/" + label, f.order(core(i), What::adjust, one_route("00000009", "two", label)));
      const std::string zone = "zone-" + std::to_string(i);
      asked.emplace_back("e/" + zone, f.order(core(i), What::begin, zone));
    }
    const auto answered = [&](std::size_t count) {
      return std::size_t(std::count_if(asked.begin(), asked.end(), [](const auto& a) {
               return *a.second && (*a.second)->status == 200;
             })) >= count;
    };
    for (int i = 0; i < 5'000 && !answered(1 + seed % asked.size()); ++i) f.run(500);
    CHECK(answered(1));
    std::set<std::string> acknowledged = {"c/r0"};
    for (const auto& [name, outcome] : asked)
      if (*outcome && (*outcome)->status == 200) acknowledged.insert(name);
    for (auto& [m, n] : f.nodes) f.kill(m), n.disk->lose_power();
    for (int i = 0; i < emptied; ++i) f.wipe(core((int(seed / 2) + i) % cores));
    f.net.loss_probability = 0;
    for (auto& [m, n] : f.nodes) f.start(m);
    f.run(4 * second);
    for (int i = 0; i < cores; ++i) {
      CHECK(!reads(f, core(i)).empty());
      for (const auto& name : acknowledged) CHECK(f.nodes.at(core(i)).creed->stands(name));
    }
    for (const auto& why : f.faults) FAIL(why.c_str());
  }
}

TEST(ControlPlane, an_empty_disk_is_no_copy_before_it_has_met_all_that_may_be_lost_with_it) {
  Fleet f(0, 3, 4);
  f.cut(core(0), core(2));
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.kill(core(0)), f.kill(core(1));
  f.wipe(core(0));
  f.join();
  f.start(
      core(0));  // with it the one that has nothing: two of three answer, and neither knows what core 1 holds
  f.run(3 * second);
  CHECK_FALSE(f.nodes.at(core(0)).keep->is_current(f.net.now));
  CHECK_FALSE(f.nodes.at(core(0)).keep->is_voter());
  CHECK_EQUAL(503, f.settled(core(2), What::read));
  CHECK_EQUAL(503, f.settled(core(0), What::adjust, first_call("00000008")));
  f.start(core(1));
  f.run(3 * second);
  CHECK(f.nodes.at(core(0)).keep->is_current(f.net.now));
  CHECK(f.nodes.at(core(0)).keep->is_voter());  // in the seat of the disk that was lost
  CHECK(says(f, core(2), "\"r2\""));
}

TEST(ControlPlane, a_core_alone_acknowledges_nothing_and_says_so_before_its_caller_goes) {
  Fleet f(3, 3, 5);
  f.cut_off(core(0));
  const auto o = f.order(core(0), What::adjust, first_call("00000007"));
  f.run(950'000);
  CHECK(o->has_value());
  CHECK_EQUAL(503, (*o)->status);
  CHECK_EQUAL(0, f.with("c/r0", 7));
  CHECK_EQUAL(200, f.settled(core(1), What::adjust, first_call("00000007")));
  f.join();
  f.run(2 * second);
  CHECK_EQUAL(6, f.with("c/r0", 7));
}

TEST(ControlPlane, a_core_that_was_cut_off_judges_a_call_by_what_the_others_hold) {
  Fleet f(0, 3, 6);
  f.run(second);
  f.cut_off(core(2));
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.join();
  // Heard of nothing yet: a service known to the others is no reason to refuse, one dropped there is.
  const auto valid = f.order(core(2), What::adjust, one_route("00000008", "two"));
  f.run(second);
  CHECK_EQUAL(200, (*valid)->status);
  CHECK_EQUAL(400, f.settled(core(2), What::adjust, one_route("00000009", "three")));
  CHECK_EQUAL(0, f.with("c/r0", 9));
}

// At once, and one after the other; the loser learns which version stands, and the same wording again is
// taken again.
TEST(ControlPlane, of_two_operators_with_one_version_one_is_confirmed_and_what_was_confirmed_stands) {
  for (std::uint32_t seed = 20; seed < 40; ++seed) {
    Fleet f(4, 3, seed);
    f.net.loss_probability = f.net.duplication_probability = 0.05;
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    const char* const words[] = {"one", "two"};
    const auto a = f.order(core(0), What::adjust, one_route("0000000a", words[0]));
    if (seed % 2) f.run(std::int64_t(f.chance() % 20'000));
    const auto b = f.order(core(1 + int(seed % 2)), What::adjust, one_route("0000000a", words[1]));
    f.run(3 * second);
    CHECK(a->has_value() && b->has_value());
    CHECK((*a)->status != 400 && (*b)->status != 400);
    CHECK_FALSE((*a)->status == 200 && (*b)->status == 200);
    const configuration::VersionedItem settled = *f.nodes.at(core(0)).creed->find("c/r0");
    CHECK_EQUAL(10, settled.version);
    for (int i = 0; i < 2; ++i)
      if (const auto& o = i ? b : a; (*o)->status == 200)
        CHECK(settled.text.find("\"target\":\"" + std::string(words[i])) != std::string::npos);
    const bool first = settled.text.find("\"target\":\"one") != std::string::npos;
    for (int i = 0; i < 3; ++i) {
      CHECK_EQUAL(200, f.settled(core(i), What::adjust, one_route("0000000a", words[first ? 0 : 1])));
      CHECK_EQUAL(409, f.settled(core(i), What::adjust, one_route("0000000a", words[first ? 1 : 0])));
      CHECK_EQUAL(200, f.settled(core(i), What::adjust,
                                 one_route("00000009", words[first ? 1 : 0])));  // overtaken: changes nothing
      CHECK(reads(f, core(i)) == reads(f, core(0)));
    }
    f.run(2 * second);
    for (const auto& [m, n] : f.nodes) CHECK(*n.creed->find("c/r0") == settled);
  }
}

TEST(ControlPlane, an_evacuation_taken_back_stays_so_though_a_core_slept_through_both) {
  Fleet f(3, 3, 7);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.cut_off(core(2));
  CHECK_EQUAL(200, f.settled(core(0), What::begin, "zone-a"));
  CHECK_EQUAL(200, f.settled(core(1), What::finish, "zone-a"));
  f.join();
  CHECK_EQUAL(200, f.settled(core(2), What::begin, "zone-a"));  // above all that a majority knows
  f.run(2 * second);
  for (const auto& [m, n] : f.nodes) CHECK(n.creed->stands("e/zone-a"));
  CHECK_EQUAL(200, f.settled(core(2), What::begin, "zone-a"));  // asked again: nothing new
  CHECK_EQUAL(200, f.settled(core(0), What::finish, "zone-a"));
  f.run(2 * second);
  for (const auto& [m, n] : f.nodes) CHECK_FALSE(n.creed->stands("e/zone-a"));
}

TEST(ControlPlane, a_failed_sync_is_final_and_nothing_is_acknowledged_after_it) {
  Fleet f(0, 3, 8);
  f.run(second);
  f.nodes.at(core(0)).trove->fail_writes = true;
  CHECK_EQUAL(503, f.settled(core(0), What::adjust, first_call("00000007")));
  f.nodes.at(core(0)).trove->fail_writes = false;
  CHECK_EQUAL(503, f.settled(core(0), What::adjust, first_call("00000007")));
  CHECK_EQUAL(200, f.settled(core(1), What::adjust, first_call("00000007")));  // the other two are a majority
  f.nodes.at(core(2)).trove->fail_writes = true;
  CHECK_EQUAL(503, f.settled(core(1), What::adjust, first_call("00000009")));
}

TEST(ControlPlane, a_member_that_is_silent_lapses_and_one_word_of_its_own_takes_that_back) {
  Fleet f(6, 3, 9);
  gossip::MemberRecord r;
  r.server = "i-1", r.service = "one";
  f.state(ambit(0), r);
  f.run(8 * second);
  CHECK_FALSE(f.nodes.at(ambit(5)).rumour->members().find(ambit(0))->expired);
  f.cut_off(ambit(0));
  f.run(9 * second);
  CHECK(f.nodes.at(ambit(5)).rumour->members().find(ambit(0))->expired);
  f.join();
  f.run(3 * second);
  CHECK_FALSE(f.nodes.at(ambit(5)).rumour->members().find(ambit(0))->expired);
  STRCMP_EQUAL("i-1", f.nodes.at(ambit(5)).rumour->members().find(ambit(0))->server.c_str());
}

TEST(ControlPlane, a_core_that_is_cut_off_or_has_just_come_back_empties_nobodys_list) {
  Fleet f(6, 3, 11);
  f.run(3 * second);
  f.cut_off(core(0));
  f.run(20 * second);
  f.join();
  f.run(second);
  for (int i = 1; i < 3; ++i) f.kill(core(i));
  f.run(20 * second);
  for (int i = 1; i < 3; ++i) f.start(core(i));
  f.run(4 * second);
  for (const auto& [m, e] : f.nodes.at(ambit(3)).rumour->members().entries()) CHECK_FALSE(e.record.expired);
}

// Else of two that compete both could get a majority: one before the voter was down, the other after it came
// back.
TEST(ControlPlane, what_a_voter_has_promised_or_accepted_binds_it_after_a_loss_of_power) {
  Fleet f(0, 3, 21);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.run(second);
  const auto& voter = *f.nodes.at(core(0)).keep;
  const std::string store = voter.store();
  const std::uint64_t next = voter.committed_number() + 1;
  std::vector<consensus::Reply> replies;
  transport::SimulatedTransport proposer(f.net, 77);
  proposer.set_handler([&](Machine, std::string_view bytes) {
    if (const auto a = control_plane::decode<control_plane::ConsensusReply>(bytes))
      replies.push_back(a->reply);
  });
  const auto asked = [&](consensus::phase what, std::uint64_t round, const std::string& text = {},
                         std::uint64_t ahead = 0) {
    control_plane::ConsensusRequest a;
    a.ask = {what,
             store,
             "state",
             {round, "77/drawn"},
             {text.empty() ? 0 : next + ahead, text, "77/" + text},
             f.nodes.at(core(0)).keep->voters(),
             {}};
    replies.clear();
    proposer.send(core(0), control_plane::encode(control_plane::MessageType::consensus_request, a));
    f.run(20'000);
    CHECK_EQUAL(1, replies.size());
    return replies.front();
  };
  const auto power_off = [&] {
    f.kill(core(0));
    f.nodes.at(core(0)).disk->lose_power();
    f.start(core(0));
    f.run(second);
    CHECK(f.nodes.at(core(0)).keep->is_voter());
  };
  const std::string text = control_plane::encode_items({{"c/r0", 9, true, {}, 0}});
  CHECK(asked(consensus::phase::prepare, 1'000).how == consensus::verdict::yes);
  power_off();
  CHECK(asked(consensus::phase::accept, 999, text).how == consensus::verdict::lower);
  CHECK(asked(consensus::phase::prepare, 999).how == consensus::verdict::lower);
  // Nor does it accept a number whose state it could not hand on, as it lacks the one before.
  CHECK(asked(consensus::phase::accept, 1'000, text, 1).how == consensus::verdict::returning);
  CHECK(asked(consensus::phase::accept, 1'000, text).how == consensus::verdict::yes);
  power_off();
  const auto told = asked(consensus::phase::look, 2'000);
  CHECK(told.accepted.round >= 1'000 && told.value.version == next && told.value.text == text);
}

// Taken back within a second once they hear each other again, and so not to be seen then.
TEST(ControlPlane, a_node_that_hears_one_cut_off_core_alone_keeps_its_list) {
  Fleet f(6, 3, 12);
  f.run(3 * second);
  for (const auto& [m, n] : f.nodes)
    if (m != core(0) && m != ambit(5)) f.cut(core(0), m), f.cut(ambit(5), m);
  f.run(20 * second);
  for (const Machine at : {core(0), ambit(5)}) {
    CHECK_EQUAL(9, f.nodes.at(at).rumour->members().entries().size());
    for (const auto& [m, e] : f.nodes.at(at).rumour->members().entries()) CHECK_FALSE(e.record.expired);
  }
}

// Answers to its beats lay in its sockets, and say nothing of the present.
TEST(ControlPlane, a_core_that_wakes_is_not_whole_by_answers_from_before_it_stood_still) {
  struct Asked : Fleet {
    using Fleet::Fleet;
    void on_datagram(Machine m, Machine from, std::string_view bytes) override {
      asked += m != core(0) && from == core(0) && bytes[0] == char(control_plane::MessageType::heartbeat);
      Fleet::on_datagram(m, from, bytes);
    }
    int asked = 0;
  };
  for (std::uint32_t seed = 540; seed < 560; ++seed) {
    Asked f(0, 3, seed);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    f.run(second + std::int64_t(seed % 10) * 50'000);
    f.asked = 0;
    while (f.asked == 0) f.run(200);
    f.freeze(core(0));  // its beat is out, and the answers are on their way
    f.run(20'000);
    f.cut_off(core(0));
    CHECK_EQUAL(200, f.settled(core(1), What::adjust, one_route("00000009", "two")));
    f.run(6 * second);
    f.thaw(core(0));
    CHECK_FALSE(f.nodes.at(core(0)).keep->is_current(f.net.now));
    f.join();
    f.run(2 * second);
    CHECK(f.nodes.at(core(0)).keep->is_current(f.net.now));
  }
}

TEST(ControlPlane, a_life_with_a_clock_set_back_is_believed_after_the_life_before_it) {
  Fleet f(4, 3, 12);
  f.nodes.at(ambit(0)).incarnation = 1000;
  f.kill(ambit(0));
  gossip::MemberRecord r;
  r.server = "i-1";
  f.nodes.at(ambit(0)).record = r;
  f.start(ambit(0));
  f.run(2 * second);
  f.nodes.at(ambit(0)).incarnation = 5;
  f.kill(ambit(0));
  r.server = "i-2";
  f.nodes.at(ambit(0)).record = r;
  f.start(ambit(0));
  f.run(3 * second);
  STRCMP_EQUAL("i-2", f.nodes.at(ambit(3)).rumour->members().find(ambit(0))->server.c_str());
}

TEST(ControlPlane, a_node_that_begins_waits_until_it_has_what_a_majority_of_the_core_holds) {
  Fleet f(4, 3, 13);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.run(second);
  f.cut_off(core(2));
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, one_route("00000009", "two")));
  f.run(2 * second);
  f.kill(ambit(0));
  f.join();
  f.start(ambit(0));
  for (const auto& [m, n] : f.nodes)
    if (m != core(2)) f.cut(ambit(0), m);            // only the stale one is heard ...
  f.cut(core(2), core(0)), f.cut(core(2), core(1));  // ... which hears none of the others
  f.run(second);
  CHECK_FALSE(f.nodes.at(ambit(0)).rumour->caught_up());
  f.net.blocked_links.erase({core(2), core(0)}),
      f.net.blocked_links.erase({core(0), core(2)});  // now it does: by its word alone, and by nothing older
  for (int i = 0; i < 40 && !f.nodes.at(ambit(0)).rumour->caught_up(); ++i) f.run(50'000);
  CHECK(f.nodes.at(ambit(0)).rumour->caught_up());
  CHECK_EQUAL(9, f.nodes.at(ambit(0)).creed->find("c/r0")->version);
}

// A core that is cut off from the others says of itself that it is no longer in contact, and nobody begins by
// its word, however long; nor by that of a member which did begin before.
TEST(
    ControlPlane,
    a_node_that_hears_one_cut_off_core_alone_never_begins_and_takes_the_newer_version_once_it_hears_another) {
  for (std::uint32_t seed = 300; seed < 400; ++seed) {
    Fleet f(1 + int(seed % 3), 3, seed);
    const auto hears_stale = [&] {
      f.cut_off(core(2)), f.net.blocked_links.erase({core(2), ambit(0)}),
          f.net.blocked_links.erase({ambit(0), core(2)});
    };
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    f.run(second);
    f.kill(ambit(0)), f.cut_off(ambit(0)), hears_stale();
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, one_route("00000009", "two")));
    f.run(2 * second);
    f.start(ambit(0));
    const auto& n = f.nodes.at(ambit(0));
    f.run(20 * second + std::int64_t(seed % 100) * 10'000);
    CHECK_FALSE(n.rumour->caught_up());
    CHECK_FALSE(f.nodes.at(core(2)).keep->is_current(f.net.now));
    f.join(), hears_stale();
    f.run(2 * second);  // it asks ever less often, and each 1.6 s at the least
    CHECK(n.rumour->caught_up());
    CHECK_EQUAL(9, n.creed->find("c/r0")->version);
    CHECK(f.faults.empty());
  }
}

// A core that stood still finds answers to what it asked before in its sockets: they say nothing of now.
TEST(ControlPlane, a_core_that_wakes_answers_no_read_by_what_it_was_told_before_it_stood_still) {
  for (std::uint32_t seed = 500; seed < 540; ++seed) {
    Fleet f(0, 3, seed);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    f.run(second);
    const auto read = f.order(core(0), What::read),
               change = f.order(core(0), What::adjust, one_route("00000008", "one", "r1"));
    f.run(std::int64_t(seed % 8) * 500);
    const bool before = read->has_value();
    f.freeze(core(0));
    f.run(second);
    CHECK_EQUAL(200, f.settled(core(1), What::adjust, one_route("00000009", "two")));
    f.run(5 * second);
    f.thaw(core(0));
    f.run(second);
    CHECK(read->has_value() && change->has_value());
    if (!before) CHECK_EQUAL(503, (*read)->status);
    CHECK(says(f, core(0), "00000009"));
  }
}

// The third is gone for good, an empty one comes at a new address: within `settle` of its start a further
// loss is borne.
TEST(ControlPlane, a_core_replaced_at_a_new_address_votes_before_the_next_loss_and_the_old_one_never_again) {
  for (std::uint32_t seed = 600; seed < 620; ++seed) {
    Fleet f(2, 3, seed);
    f.net.loss_probability = 0.03;
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    const Machine gone = core(int(seed % 3)), next = core(int((seed + 1) % 3)),
                  last = core(int((seed + 2) % 3)), fresh = core(9);
    f.freeze(gone);  // not gone: it will wake
    f.run(second);
    f.add(fresh, true, 9), f.start(fresh);
    f.run(4 * second);
    CHECK(f.nodes.at(fresh).keep->is_voter());
    f.kill(next);
    f.run(second);
    for (const Machine m : {last, fresh})
      CHECK_EQUAL(200, f.settled(m, What::adjust, one_route(configuration::version_text(m), "two")));
    // Two majorities: the old two must not agree on anything, and the new two find all that was confirmed.
    f.kill(last), f.kill(fresh);
    f.start(next), f.thaw(gone);
    f.run(2 * second);
    for (const Machine m : {gone, next})
      CHECK_EQUAL(503, f.settled(m, What::adjust, one_route("00000fff", "one")));
    f.kill(gone), f.kill(next);
    f.start(last), f.start(fresh);
    f.run(2 * second);
    for (const Machine m : {last, fresh})
      CHECK(says(f, m, configuration::version_text(std::max(last, fresh))));
    CHECK(f.faults.empty());
  }
}

// The two are a majority of the earlier list, and the word that it has changed gets lost: whoever is asked
// under it says so.
TEST(ControlPlane, a_core_that_missed_a_change_of_voters_settles_nothing_with_one_that_did_not) {
  struct Deaf : Fleet {
    using Fleet::Fleet;
    void on_datagram(Machine m, Machine from, std::string_view bytes) override {
      if (!(deaf && m == core(2) && from == core(1) &&
            bytes[0] == char(control_plane::MessageType::heartbeat)))
        Fleet::on_datagram(m, from, bytes);
    }
    bool deaf = false;
  };
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    Deaf f(0, 3, 620 + seed);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    f.cut_off(core(2));
    f.add(core(3), true, 3), f.start(core(3));
    f.cut(core(2), core(3));
    f.run(4 * second);
    CHECK(f.nodes.at(core(3)).keep->is_voter());
    for (const int there : {0, 3}) f.cut(core(1), core(there));
    for (auto it = f.net.blocked_links.begin(); it != f.net.blocked_links.end();)
      if (std::set<Machine>{it->first, it->second} == std::set<Machine>{core(1), core(2)})
        it = f.net.blocked_links.erase(it);
      else
        ++it;
    f.deaf = true;
    const auto missed = f.order(core(2), What::adjust, one_route("00000008", "one")),
               read = f.order(core(2), What::read);
    CHECK_EQUAL(200, taken(f, core(0), What::adjust, one_route("00000009", "two")));
    f.run(second);
    CHECK(missed->has_value() && (*missed)->status == 503);
    CHECK(read->has_value() && (*read)->status == 503);
  }
}

// A planned end: while the list changes a majority of both is needed, and who goes is let go once a majority
// of the new one has all.
TEST(ControlPlane, who_leaves_goes_once_others_hold_all_and_while_the_list_changes_neither_list_is_enough) {
  int changing = 0;
  for (std::uint32_t seed = 1; seed <= 40; ++seed) {
    Fleet f(0, 3, 650 + seed);
    f.add(core(3), true, 3), f.start(core(3));
    f.run(second);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    const auto& leaver = *f.nodes.at(core(2)).keep;
    gossip::Outbox out;
    f.nodes.at(core(2)).keep->start_leaving(f.net.now, out);
    CHECK_FALSE(leaver.may_stop());
    const auto& first = *f.nodes.at(core(0)).keep;
    for (int i = 0; i < 4'000 && !(seed % 2 ? first.voters().changing() : leaver.may_stop()); ++i)
      f.run(1'000);
    if (leaver.may_stop()) {
      const auto& list = leaver.voters();
      CHECK_FALSE(list.seat(leaver.store()));
      std::set<std::string> hold;
      for (const int i : {0, 1, 3})
        if (const auto& k = *f.nodes.at(core(i)).keep; k.committed_number() == leaver.committed_number())
          hold.insert(k.store());
      CHECK(list.majority(hold));
    } else if (first.voters().changing()) {
      ++changing;
      // Two of the earlier list on one side, two of the next on the other.
      for (const int a : {0, 2})
        for (const int b : {1, 3}) f.cut(core(a), core(b));
      f.run(second / 10);
      for (const int at : {0, 2})
        CHECK_EQUAL(503, f.settled(core(at), What::adjust, one_route("00000008", "two")));
      if (f.nodes.at(core(1)).keep->voters().changing())  // else the change was over before the cut
        for (const int at : {1, 3})
          CHECK_EQUAL(503, f.settled(core(at), What::adjust, one_route("00000008", "two")));
      f.join();
      f.run(3 * second);
      CHECK(leaver.may_stop());
    }
    f.kill(core(2)), f.wipe(core(2));
    f.run(second);
    f.kill(core(int(seed) % 2));
    f.run(second);
    CHECK_EQUAL(200, taken(f, core(3), What::adjust, one_route("00000009", "two")));
    CHECK(says(f, core(3), "\"r2\""));
  }
  CHECK(changing > 5);
}

// Its words come late and doubled after it has gone for good: a seat given to it would be one more loss.
TEST(ControlPlane, a_machine_that_has_left_gets_no_seat_by_what_it_said_before) {
  Late f(core(3), 77);
  f.add(core(3), true, 3), f.start(core(3));
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.run(2 * second);
  const std::string store = f.nodes.at(core(3)).keep->store();
  f.keeps = false;
  gossip::Outbox out;
  f.nodes.at(core(3)).keep->start_leaving(f.net.now, out);
  CHECK(f.nodes.at(core(3)).keep->may_stop());
  for (const auto& d : out) f.nodes.at(core(3)).span->send(d.to, d.bytes);
  f.run(10'000);
  f.kill(core(3)), f.wipe(core(3));
  f.kill(core(2));
  for (int i = 0; i < 30; ++i) f.again(), f.run(100'000);
  for (const int i : {0, 1}) {
    CHECK_FALSE(f.nodes.at(core(i)).keep->voters().seat(store));
    CHECK_EQUAL(200, f.settled(core(i), What::adjust,
                               one_route(configuration::version_text(std::uint64_t(20 + i)), "two")));
  }
}

// Two lives are new to who has just started, and the earlier one's word came last.
TEST(ControlPlane, a_late_word_of_an_earlier_life_does_not_shut_the_present_one_out) {
  Late f(core(2), 78);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  f.run(2 * second);
  f.keeps = false;
  f.kill(core(2)), f.start(core(2));
  f.run(second);
  f.kill(core(0)), f.start(core(0));
  f.run(second);
  f.again();
  f.run(second);
  const auto& peers = f.nodes.at(core(0)).keep->peers();
  CHECK(f.net.now - peers.at(core(2)).last_heard < second);
  f.kill(core(1));
  f.run(2 * second);
  CHECK_EQUAL(200, taken(f, core(0), What::adjust, one_route("00000009", "two")));
}

// One standby for two seats: the disk that was lost, and a machine that is about to go.
TEST(ControlPlane, a_machine_with_an_empty_disk_takes_its_own_seat_back_and_never_a_second_one) {
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    Fleet f(0, 3, 700 + seed);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    gossip::Outbox out;
    f.nodes.at(core(1)).keep->start_leaving(f.net.now, out);
    f.kill(core(2)), f.wipe(core(2)), f.start(core(2));
    f.run(3 * second);
    for (int i = 0; i < 3; ++i) {
      std::set<std::string> addresses;
      for (const auto& seat : f.nodes.at(core(i)).keep->voters().now) addresses.insert(seat.address);
      CHECK_EQUAL(3, addresses.size());
      CHECK(f.nodes.at(core(i)).keep->is_voter());
    }
    f.kill(core(int(seed % 3)));
    f.run(second);
    CHECK_EQUAL(200, f.settled(core(int(seed + 1) % 3), What::adjust, one_route("00000008", "two")));
  }
}

TEST(ControlPlane, a_machine_that_has_a_seat_takes_no_other_and_a_dead_one_waits_for_who_has_none) {
  const consensus::Voters voters{4, {{"1", "a", "1"}, {"2", "b", "2"}, {"3", "c", "3"}}, {}};
  const control_plane::Standby again{{"2", "x", "2"}}, other{{"4", "d", "4"}};
  CHECK_FALSE(
      control_plane::propose_voters(voters, {"a"}, {}, {again}, 3));  // nobody has said yet that b is gone
  CHECK_FALSE(control_plane::propose_voters(voters, {}, {}, {again}, 4));
  const auto seats = control_plane::propose_voters(voters, {"a"}, {}, {again, other}, 3);
  CHECK(seats && seats->front().store == "d" && seats->at(1).store == "b");
  const auto own = control_plane::propose_voters(voters, {"a", "b"}, {}, {again, other}, 3);
  CHECK(own && own->front().store == "a" && own->at(1).store == "x");
  // Fewer: who is gone goes; else nobody while one that stays may be lost, as then the fewer may have no
  // majority.
  const auto fewer = control_plane::propose_voters(voters, {"b"}, {"c"}, {}, 2);
  CHECK(fewer && fewer->size() == 2 && fewer->at(1).store == "c");
  CHECK_FALSE(control_plane::propose_voters(voters, {}, {"a"}, {}, 2));
  CHECK(control_plane::propose_voters(voters, {}, {}, {}, 2)->at(1).store == "b");
}

TEST(ControlPlane, the_core_grows_to_four_and_five_and_back_to_three_and_bears_losses_at_each_size) {
  for (std::uint32_t seed = 1; seed <= 6; ++seed) {
    Fleet f(3, 3, 800 + seed);
    f.net.loss_probability = 0.02;
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    for (const int i : {3, 4}) f.add(core(i), true, i), f.start(core(i));
    std::uint64_t version = 7;
    for (const std::size_t size : {4U, 5U, 4U, 3U, 5U, 3U}) {
      CHECK_EQUAL(200, taken(f, core(int(seed + size) % 5), What::size, std::to_string(size)));
      f.run(4 * second);
      for (int i = 0; i < 5; ++i) CHECK_EQUAL(size, f.nodes.at(core(i)).keep->voters().now.size());
      const int lost = size == 5 ? 2 : 1;  // as many as leave a majority, the first of the voters
      const auto voters = f.nodes.at(core(0)).keep->voters().now;
      std::vector<Machine> down;
      for (int i = 0; i < lost; ++i)
        down.push_back(Machine(std::stoul(voters[(seed + std::size_t(i)) % voters.size()].address)));
      for (const Machine m : down) f.kill(m);
      for (auto& [m, n] : f.nodes) {
        if (!n.core || !n.up()) continue;
        const std::string change =
            one_route(configuration::version_text(version + 1), version % 2 ? "one" : "two");
        ++version;
        CHECK_EQUAL(200, taken(f, m, What::adjust, change));
      }
      for (const Machine m : down) f.start(m);
      f.run(3 * second);
      for (int i = 0; i < 5; ++i) CHECK(says(f, core(i), configuration::version_text(version)));
    }
    CHECK(f.faults.empty());
  }
}

TEST(ControlPlane, an_item_that_no_datagram_carries_is_refused_and_one_just_below_reaches_all) {
  Fleet f(4, 3, 31);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  const auto service = [](std::size_t bytes, const std::string& version) {
    return R"({"apply":{"targets":{"axes":["label","probe","conn_limit","protocol","tls","warmup","warmup_per_s","revision"],"records":[["three","/)" +
           std::string(bytes, 'p') + R"(",130,"h1",false,"3s",21.0,")" + version + R"("]]}}})";
  };
  CHECK_EQUAL(413, f.settled(core(0), What::adjust, service(control_plane::max_item_bytes, "00000008")));
  CHECK_EQUAL(200,
              f.settled(core(0), What::adjust, service(control_plane::max_item_bytes - 400, "00000008")));
  f.run(2 * second);
  CHECK_EQUAL(7, f.with("t/three", 8));
}

TEST(ControlPlane, a_call_that_was_taken_is_taken_again_though_its_service_has_gone_since) {
  Fleet f(0, 3, 17);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  const std::string change = one_route("00000008", "two");
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, change));
  CHECK_EQUAL(200, f.settled(core(1), What::adjust, one_route("00000009", "one")));
  CHECK_EQUAL(200, f.settled(core(1), What::adjust,
                             R"({"remove":{"targets":[{"label":"two","revision":"00000009"}]}})"));
  for (int i = 0; i < 3; ++i) CHECK_EQUAL(200, f.settled(core(i), What::adjust, change));
  CHECK_EQUAL(400, f.settled(core(0), What::adjust, one_route("0000000a", "two")));
  CHECK(says(f, core(2), "00000009"));
}

// Names are let go of, and what there is no room for is refused, never confirmed and lost.
TEST(ControlPlane,
     routes_set_and_dropped_by_the_ten_thousand_leave_room_and_what_is_confirmed_is_on_each_disk) {
  Fleet f(0, 3, 18);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
  std::uint64_t version = 7;
  const auto calls = [&](int from, int to, bool drop) {
    std::string records;
    const std::string v = configuration::version_text(++version);
    for (int i = from; i < to; ++i)
      records += (records.empty() ? "" : ",") +
                 (drop ? R"({"label":"n)" + std::to_string(i) + R"(","revision":")" + v + R"("})"
                       : R"(["n)" + std::to_string(i) + R"(","a.example","/n)" + std::to_string(i) +
                             R"(/","idempotent","4000ms",")" + v + R"(","one"])");
    return drop
               ? R"({"remove":{"channels":[)" + records + "]}}"
               : R"({"apply":{"channels":{"axes":["label","authority","path_prefix","mode","deadline","revision","target"],"records":[)" +
                     records + "]}}}";
  };
  for (int i = 0; i < 42; ++i) {
    CHECK_EQUAL(200, f.settled(core(i % 3), What::adjust, calls(i * 500, i * 500 + 500, false)));
    CHECK_EQUAL(200, f.settled(core(i % 3), What::adjust, calls(i * 500, i * 500 + 500, true)));
  }
  f.run(second);
  for (int i = 0; i < 3; ++i) {
    const Fleet::Node& n = f.nodes.at(core(i));
    CHECK(n.creed->dropped() <= configuration::ConfigurationStore::most_dropped && n.creed->floor() > 0);
    CHECK(n.creed->digest() == f.nodes.at(core(0)).creed->digest());
    CHECK(n.disk->written.size() < 5'000);
  }
  int status = 200, held = 0;
  for (; status == 200 && held < 60; held += status == 200)
    status = f.settled(core(held % 3), What::adjust, calls(50'000 + held * 500, 50'500 + held * 500, false));
  CHECK_EQUAL(507, status);
  CHECK_EQUAL(39, held);  // with the 6 of the first call
  for (int i = 0; i < 3; ++i) f.kill(core(i));
  for (int i = 0; i < 3; ++i) f.start(core(i));
  f.run(2 * second);
  CHECK(says(f, core(1), "\"n" + std::to_string(50'000 + held * 500 - 1) + "\""));
}

// Fifty pieces, a fifth of which is lost, doubled, or comes before the one that it follows.
TEST(ControlPlane, a_core_that_catches_up_by_pieces_lacks_none_of_those_that_were_lost) {
  for (std::uint32_t seed = 1; seed <= 5; ++seed) {
    Fleet f(0, 3, 900 + seed);
    CHECK_EQUAL(200, taken(f, core(0), What::adjust, first_call("00000007", 1'500)));
    f.run(second);
    f.kill(core(2));
    if (seed % 2) f.wipe(core(2));  // all of it, or what it missed
    CHECK_EQUAL(200, taken(f, core(0), What::adjust, first_call("00000008", 1'200)));
    f.net.loss_probability = f.net.duplication_probability = 0.1;
    f.start(core(2));
    for (int i = 0; i < 300 && f.nodes.at(core(2)).keep->committed_number() <
                                   f.nodes.at(core(0)).keep->committed_number();
         ++i)
      f.run(100'000);
    CHECK_EQUAL(f.nodes.at(core(0)).keep->committed_number(), f.nodes.at(core(2)).keep->committed_number());
    CHECK(f.nodes.at(core(0)).creed->items() == f.nodes.at(core(2)).creed->items());
  }
}

TEST(ControlPlane, new_seeds_are_asked_until_one_with_a_whole_copy_has_told_who_is_core) {
  configuration::ConfigurationStore c;
  gossip::Gossip r({1000, "z", false}, 1, {100}, c, 7);
  std::int64_t now = 0;
  gossip::Outbox out;
  const auto told_by = [&](Machine m, bool whole, std::vector<Machine> cores) {
    const gossip::DigestMessage t{true, whole, c.digest(), r.members().digest(), std::move(cores),
                                  {},   true,  0};
    r.on_datagram(now, m, gossip::written(gossip::kind::digest, t), out);
  };
  const auto asks = [&] {  // who is asked so that an answer must come
    r.tick(now += 2 * second, out);
    std::vector<Machine> to;
    for (const auto& d : std::exchange(out, {}))
      if (const auto t = gossip::read<gossip::DigestMessage>(d.bytes); t && !t->whole) to.push_back(d.to);
    return to;
  };
  told_by(100, true, {100});
  CHECK(r.caught_up() && asks().empty());
  r.seeds(now, {100, 101, 102}, out);
  CHECK_EQUAL(2, std::exchange(out, {}).size());
  CHECK(asks() == std::vector<Machine>({101, 102}));
  told_by(102, false, {});  // a core that is no copy knows no more than this node
  out.clear();
  CHECK(asks() == std::vector<Machine>({101, 102}));
  told_by(101, true, {101, 102, 103});
  CHECK(asks().empty());
  CHECK(r.cores() == std::vector<Machine>({101, 102, 103}));
}

TEST(ControlPlane, idle_members_cost_bounded_bytes_that_do_not_grow_with_the_fleet) {
  double cost[2];
  for (int i = 0; i < 2; ++i) {
    const int ambits = i == 0 ? 12 : 86;
    Fleet f(ambits, 3, 14);
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007")));
    f.run(5 * second);
    const auto before = f.net.bytes_sent;
    f.run(10 * second);
    cost[i] = double(f.net.bytes_sent - before) / 10 / (ambits + 3);
  }
  CHECK(cost[0] < 2500);  // bytes a second sent by each, both ways of a digest
  CHECK(cost[1] < 1.2 * cost[0]);
}

// 90 that come back at once must not drown a core of a tenth of a processor: what it has to read and send is
// bounded.
TEST(ControlPlane, the_return_of_ninety_at_once_costs_a_core_few_datagrams_and_all_catch_up) {
  Fleet f(86, 3, 15);
  CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000007", 20)));
  f.run(3 * second);
  for (auto& [m, n] : f.nodes) f.kill(m);
  f.run(second);
  for (auto& [m, n] : f.nodes) f.start(m);
  const auto before = f.net.datagrams_sent, bytes = f.net.bytes_sent;
  f.run(2 * second);
  for (const auto& [m, n] : f.nodes) CHECK(n.core || n.rumour->caught_up());
  CHECK(f.net.datagrams_sent - before < 89 * 500);
  CHECK(f.net.bytes_sent - bytes < 89 * 160'000);
  CHECK_EQUAL(200, f.settled(core(1), What::read));
}

// Kills, wiped disks, cuts, losses, two operators: whatever is drawn within the tolerance (one counted
// machine at a time), what was acknowledged is read back as it was sent or newer, and no node of any
// incarnation goes back.
TEST(ControlPlane, nothing_acknowledged_is_lost_and_no_version_goes_back_under_drawn_faults) {
  const auto play = [](int ambits, int cores, std::uint32_t seed, int rounds) {
    Fleet f(ambits, cores, seed);
    std::mt19937 chance(seed * 7 + 1);
    f.net.loss_probability = 0.05, f.net.duplication_probability = 0.02;
    CHECK_EQUAL(200, f.settled(core(0), What::adjust, first_call("00000001", 6)));
    std::map<std::string, std::uint64_t> acknowledged;
    std::uint64_t version = 1;
    int taken = 0;
    for (int round = 0; round < rounds; ++round) {
      const Machine hurt = core(int(chance() % std::uint32_t(cores)));
      const auto how = chance() % 4;
      std::vector<std::pair<std::string, std::shared_ptr<std::optional<control_plane::RequestOutcome>>>>
          calls;
      for (int i = 0; i < 2; ++i) {
        const std::string label = "r" + std::to_string(chance() % 6);
        version += 1 + chance() % 3;
        calls.emplace_back(
            "c/" + label + "@" + std::to_string(version),
            f.order(core(int(chance() % std::uint32_t(cores))), What::adjust,
                    one_route(configuration::version_text(version), chance() % 2 ? "one" : "two", label)));
      }
      f.run(std::int64_t(chance() % 9'000));  // struck in the midst of it
      if (how == 0) f.kill(hurt);
      if (how == 1) f.kill(hurt), f.wipe(hurt);
      if (how == 2) f.cut_off(hurt);
      if (how == 3) f.kill(ambit(int(chance() % std::uint32_t(ambits))));
      f.run(1'500'000);
      for (const auto& [what, o] : calls)
        if (*o && (*o)->status == 200) {
          auto& v = acknowledged[what.substr(0, what.find('@'))];
          v = std::max<std::uint64_t>(v, std::stoull(what.substr(what.find('@') + 1)));
          ++taken;
        }
      f.join();
      for (auto& [m, n] : f.nodes)
        if (!n.up()) f.start(m);
      f.run(4 * second);
    }
    for (int i = 0; i < cores; ++i) f.kill(core(i));
    f.wipe(core(int(chance() % std::uint32_t(cores))));
    for (int i = 0; i < ambits; ++i) f.kill(ambit(i));
    for (auto& [m, n] : f.nodes) f.start(m);
    f.run(4 * second);
    for (int i = 0; i < cores; ++i) {
      CHECK_EQUAL(200, f.settled(core(i), What::read));
      for (const auto& [name, v] : acknowledged) CHECK(f.nodes.at(core(i)).creed->find(name)->version >= v);
    }
    CHECK(taken > rounds / 2);
    CHECK(f.faults.empty());
  };
  for (std::uint32_t seed = 100; seed < 130; ++seed) play(12, 3, seed, 12);
  for (std::uint32_t seed = 200; seed < 202; ++seed) play(86, 4, seed, 6);
}
