// Our file: what it says, every fault with its place, and the four rules at load.
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <future>

#include "../src/config/file.h"
#include "help.h"

using namespace robinpin;
using namespace robinpin::help;
using Catch::Matchers::Contains;

namespace {

// "view" may repeat (1.2 s), "add" within its zone for 4 s (2.5 s), "pay" runs once (2.5 s); five postings.
config::Reading against(const std::string& text, const read::House& house = net::house()) {
  config::Reading r = config::read("f.toml", text);
  config::check(r, house);
  return r;
}

std::string faults(const config::Reading& r) { return config::text("f.toml", r.faults); }

std::string route(const std::string& more) { return "[[route]]\nname = \"r\"\n" + more; }

}  // namespace

TEST_CASE("every fault of a file is told, each with its line, its column and what would do") {
  const auto r =
      config::read("f.toml",
                   "[node]\nsocket = 5\n[log]\nformat = \"xml\"\n[defaults]\nposting_timeout = 250\n"
                   "postings = 0\nfurther_share = nan\nrate = -1.0\n[[route]]\nscheme = \"\"\n"
                   "come_back = \"-5ms\"\nposting_timeout = \"5 parsecs\"\nin_flight = 99999999999\n");
  const std::string told = faults(r);
  for (const char* what :
       {"f.toml:2:1: node.socket: no such key; did you mean \"sockets\"?",
        "f.toml:4:10: log.format: \"xml\" is none of",
        "f.toml:6:19: defaults.posting_timeout: must be text with a unit",
        "f.toml:7:12: defaults.postings: is zero", "defaults.further_share: is not a number",
        "defaults.rate: -1 is below zero", "name: is missing", "scheme: must be text that is not empty",
        "\"-5ms\" is below zero", "\"5 parsecs\" is no time", "in_flight: 99999999999 is not from 1 to"})
    CHECK_THAT(told, Contains(what));
  CHECK(r.faults.size() == 11);
}

TEST_CASE("what can't be TOML, can't be read, or says one thing twice is a fault with its place") {
  const auto [text, what] = GENERATE(table<std::string, std::string>({
      {"[defaults\n", "f.toml:1"},
      {"[defaults]\nrate = 99999999999999999999999\n", "f.toml:2"},
      {"[defaults]\npostings = 2\npostings = 3\n", "f.toml:3"},
      {"defaults = 5\n", "must be a table"},
      {"route = 5\n", "must be a list of tables"},
      {route("") + route(""), "stands for the route in line 2"},
      {"[[route]]\nname = \"defaults\"\n", "choose another"},
      {route("path = \"api\"\n"), "must be a path that begins with /"},
      {route("path = \"/api?x=1\"\n"), "has no query"},
      {route("method = \"post\"\n"), "must be a method in capitals"},
      {route("burst = 5\n"), "says nothing without a rate"},
      {route("rate = 5\nburst = 0.5\n"), "under one"},
      {route("second_copies = false\nsecond_copy_after = \"20ms\"\n"), "never acts"},
      {route("posting_timeout = \"20ms\"\nsecond_copy_after = \"20ms\"\n"), "never acts"},
      {route("postings = 1\nsecond_copies = true\n"), "line 3 allows one"},
      {"[clients]\nretries = 2\n", "patience is missing"},
      {"[clients]\npatience = \"1s\"\nretries = 2\nwait = \"500ms\"\n", "leaves no time"},
      {"[log.parts]\nnode = \"loud\"\n", "none of"},
      {"[records]\nrotate_at = \"5 elephants\"\n", "must be text with a unit"},
  }));
  const auto r = config::read("f.toml", text);
  CHECK_FALSE(r.good());
  CHECK_THAT(faults(r), Contains(what));
}

// The slip that this file format is made against.
TEST_CASE(
    "a once-only scheme made repeatable, given a second copy or a late retry is refused with the reason") {
  const auto [text, what] = GENERATE(table<std::string, std::string>({
      {route("scheme = \"pay\"\nrepeats = \"repeatable\"\n"),
       "f.toml:4:11: route \"r\" repeats: rule 2 (no effect twice): calls pay repeatable, and the house's "
       "terms say "
       "once-only"},
      {route("scheme = \"pay\"\nrepeats = \"referenced\"\n"), "calls pay referenced"},
      {route("scheme = \"pay\"\nsecond_copies = true\n"),
       "rule 2 (no effect twice): gives pay a second copy"},
      {route("path = \"/api\"\nsecond_copies = true\n"), "gives pay a second copy"},
      {"[defaults]\nsecond_copies = true\n" + route("scheme = \"view\"\n"), "defaults.second_copies: rule 2"},
      {route("scheme = \"pay\"\npostings = 3\nposting_timeout = \"900ms\"\n"),
       "rule 1 (no txn lost): 3 postings of 900ms end after 2.7s, and the client of pay gives up after 2.5s "
       "(Expiry); "
       "833ms at the most would do"},
      {route("scheme = \"pay\"\nsecond_copy_after = \"50ms\"\n"), "pay gets no second copy"},
  }));
  CHECK_THAT(faults(against(text)), Contains(what));
}

TEST_CASE("a referenced scheme is not repeated outside its group or after its memory") {
  CHECK_THAT(faults(against(route("scheme = \"add\"\nwithin = \"all\"\n"))),
             Contains("dropped within one zone only"));
  read::House h = net::house();
  h.terms.schemes[1].memory = 1500 * ms;
  const std::string fits = route("scheme = \"add\"\npostings = 3\nposting_timeout = \"500ms\"\n");
  CHECK(against(fits, h).good());
  h.terms.schemes[1].memory -= ms;
  CHECK_THAT(faults(against(fits, h)),
             Contains("rule 2 (no effect twice): 3 postings of 500ms end after 1.5s"));
  // The client's own tries carry the same mark.
  h.terms.schemes[1].memory = 3200 * ms;
  const std::string clients = "[clients]\npatience = \"4s\"\nretries = 1\nwait = \"200ms\"\n";
  CHECK(against(clients + fits, h).good());
  h.terms.schemes[1].memory -= ms;
  CHECK_THAT(faults(against(clients + fits, h)), Contains("2 tries and their waits after 3.2s"));
}

TEST_CASE(
    "a time-out a millisecond over the client's patience, its two retries counted, is refused, at it, "
    "taken") {
  const std::string clients = "[clients]\npatience = \"3s\"\nretries = 2\nwait = \"150ms\"\n";
  CHECK(against(clients + route("scheme = \"pay\"\npostings = 2\nposting_timeout = \"450ms\"\n")).good());
  const auto over = against(clients + route("scheme = \"pay\"\npostings = 2\nposting_timeout = \"451ms\"\n"));
  CHECK_THAT(faults(over), Contains("rule 1 (no txn lost): 2 postings of 451ms end after 902ms"));
  CHECK_THAT(faults(over), Contains("tries 3 times with 150ms between them needs 3.006s, and waits 3s"));
  CHECK_THAT(faults(over), Contains("450ms at the most"));
  // Copies overlap: the second goes out beside the first.
  const auto copies = [&](const char* after) {
    return against(
        clients +
        route("scheme = \"view\"\npostings = 2\nposting_timeout = \"800ms\"\nsecond_copy_after = \"" +
              std::string(after) + "\"\n"));
  };
  CHECK(copies("100ms").good());
  CHECK_FALSE(copies("101ms").good());
}

TEST_CASE("a route that can never be met is refused, whoever takes its txns") {
  const auto [text, what] = GENERATE(table<std::string, std::string>({
      {"[[route]]\nname = \"a\"\npath = \"/api\"\n[[route]]\nname = \"b\"\nscheme = \"pay\"\npath = "
       "\"/api/pay\"\n",
       "route \"a\" in line 1 takes all that it would"},
      {"[[route]]\nname = \"a\"\n[[route]]\nname = \"b\"\n", "route \"a\" in line 1"},
      // Three together take all, one by one they do not.
      {"[[route]]\nname = \"a\"\nscheme = \"view\"\n[[route]]\nname = \"b\"\nscheme = "
       "\"add\"\n[[route]]\nname = "
       "\"c\"\nscheme = \"pay\"\n[[route]]\nname = \"d\"\npath = \"/api\"\n",
       "route \"d\""},
      {route("scheme = \"view\"\nmethod = \"POST\"\n"), "view comes as GET"},
      {route("method = \"PUT\"\n"), "no scheme has that method"},
      {route("scheme = \"pray\"\n"), "\"pray\" is not among the house's: view, add, pay"},
      {route("tenant = \"band\"\n"), "\"band\" is not among the house's: choir"},
  }));
  CHECK_THAT(faults(against(text)), Contains(what));
  CHECK(against("[[route]]\nname = \"a\"\nscheme = \"pay\"\n[[route]]\nname = \"b\"\npath = "
                "\"/api\"\n[[route]]\nname = "
                "\"c\"\ntenant = \"choir\"\n")
            .good());
}

TEST_CASE("what the house's terms cut short is no fault, but told") {
  read::House h = net::house();
  h.terms.two_at_once = false;
  h.terms.advice_heeded = true;
  h.terms.longest_advice = 100 * ms;
  const auto r =
      against(route("scheme = \"view\"\npostings = 9\nsecond_copies = true\ncome_back = \"1s\"\n"), h);
  CHECK(r.good());
  const std::string notes = config::text("f.toml", r.notes);
  CHECK_THAT(notes, Contains("9 are cut to 5") && Contains("SecondCopies") && Contains("1s is cut to 100ms"));
}

TEST_CASE("a route says its own limits, the defaults the rest, and each compiles into the module's terms") {
  const auto r = against(
      "[defaults]\npostings = 4\nrate = 10\nburst = 5\nin_flight = 7\n"
      "[[route]]\nname = \"r\"\nscheme = \"view\"\ntenant = \"choir\"\npath = \"/a\"\nrate = 3\n"
      "posting_timeout = \"200ms\"\nsecond_copy_after = \"50ms\"\nfurther_share = 0.5\n"
      "come_back = \"2s\"\nrepeats = \"once-only\"\n");
  CHECK(faults(r) == "f.toml:13:21: route \"r\" second_copy_after: never acts: view gets no second copy\n");
  const auto good = against(
      "[defaults]\npostings = 4\nrate = 10\nburst = 5\nin_flight = 7\n"
      "[[route]]\nname = \"r\"\nscheme = \"add\"\ntenant = \"choir\"\npath = \"/a\"\nrate = 3\n"
      "posting_timeout = \"200ms\"\nsecond_copy_after = \"50ms\"\nfurther_share = 0.5\n"
      "come_back = \"2s\"\nwithin = \"cell\"\n");
  REQUIRE(faults(good).empty());
  const auto all = config::routes(good.file, net::house());
  REQUIRE(all.size() == 2);
  const limits::Route& own = all[0];
  CHECK((own.scheme == 1 && own.tenant == 0 && own.path == "/a"));
  CHECK((own.allowed.postings == 4 && own.in_flight == 7 && own.rate == 3 && own.burst == 1));
  CHECK((own.allowed.wait == 200 * ms && own.allowed.copy_after == 50 * ms &&
         own.allowed.come_back == 2000 * ms));
  CHECK((own.allowed.further == 0.5 && own.allowed.within == group::cell && own.allowed.two_at_once));
  CHECK((all[1].name == "defaults" && all[1].rate == 10 && all[1].burst == 5 && all[1].allowed.wait == 0));
}

TEST_CASE("an explanation names the route, each limit in force, and the line or the term that set it") {
  read::House h = net::house();
  h.terms.most_postings = 3;
  const auto r = against(
      "[defaults]\npostings = 4\n[[route]]\nname = \"deposits\"\nscheme = \"pay\"\n"
      "posting_timeout = \"800ms\"\n",
      h);
  REQUIRE(faults(r).empty());
  const std::string told = config::explain(r.file, h, {"pay", "", "", "/api"});
  CHECK_THAT(told, Contains("deposits, f.toml:3") && Contains("800ms        f.toml:6") &&
                       Contains("the terms (MostPostings); f.toml:2 (defaults) would allow 4") &&
                       Contains("second_copies      no           once-only"));
  CHECK_THAT(config::explain(r.file, h, {"view", "", "", ""}), Contains("none; [defaults]"));
}

namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("robinpin-config-" + std::to_string(::getpid()));
  Folder() { std::filesystem::create_directories(path); }
  ~Folder() { std::filesystem::remove_all(path); }
};

}  // namespace

// Cut in the middle it would still be TOML, with half of the routes.
TEST_CASE("a file that is being written is not taken by half") {
  const Folder folder;
  const std::string path = folder.path / "f.toml", half = "[defaults]\npostings = 2\n",
                    rest = route("scheme = \"pay\"\n");
  std::ofstream(path) << half;
  auto reading = std::async(std::launch::async, [&] { return config::load(path, nullptr); });
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  std::ofstream(path, std::ios::app) << rest;
  CHECK(reading.get().file.routes.size() == 1);
  std::filesystem::remove(path);
  CHECK_THAT(faults(config::load(path, nullptr)), Contains("can't be read"));
  CHECK_THAT(faults(config::load(folder.path, nullptr)), Contains("can't be read"));
}

TEST_CASE(
    "what our file says of the deployment stands in place of the platform's, and each faulty word is told") {
  read::House h;
  h.terms.streams = 7;
  h.terms.warm_keys = true;
  const auto said = config::read("o.toml", "[deployment]\nstreams = 100\nwarm_keys = false\n");
  REQUIRE(said.good());
  const Terms t = config::applied(said.file, h).terms;
  CHECK((t.streams == 100 && !t.warm_keys));
  CHECK(config::applied(config::read("o.toml", "").file, h).terms == h.terms);
  const auto faulty = config::read("o.toml", "[deployment]\nstreams = 0\nrepeats_marked = 1\nstream = 2\n");
  CHECK(faulty.faults.size() == 3);
}
