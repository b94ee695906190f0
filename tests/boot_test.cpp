#include "boot.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "help.h"

using namespace robinpin;
using namespace robinpin::help::net;
using Catch::Matchers::Contains;

namespace {

const std::string good =
    R"({"name":"n3","listen":"127.0.0.4:3000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",)"
    R"("limits":{"sockets":512,"memory_mb":32},"known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"127.0.0.9:30",)"
    R"("az":"a","model":"m2","pod_group":3,"state":"Ready","capacity_hint":1.5,"boot_ms":1700}]},)"
    R"("settings":{"Schemes":[{"Name":"view","Effect":"safe","SlaTime":500.0,"Expiry":1200.0}],)"
    R"("Permissions":{"MostPostings":5,"DialTimeout":100.0,"Keepalive":30000.0},"PeersTotal":4}})";

std::string with(const std::string& from, const std::string& to) {
  std::string text = good;
  return text.replace(text.find(from), from.size(), to);
}

const char* nothing(const char*) { return nullptr; }

}  // namespace

TEST_CASE("a node is told who it is, where it listens, what it knows and the house's terms") {
  const Boot b = boot_from(good, nothing);
  CHECK(b.name == "n3");
  CHECK(b.listen == endpoint_of("127.0.0.4:3000"));
  CHECK(b.most_sockets < 512);
  CHECK(b.seed == (0x8c1f30d2U ^ 0x7a5be964U));
  REQUIRE(b.known.entries.size() == 1);
  CHECK(b.known.entries[0].line.started == 1'700'000);
  CHECK(b.house.terms.nodes == 4);
  CHECK(b.house.dial_limit == 100'000);
  CHECK(b.house.terms.ask_list);  // whatever the settings say: nothing tells a node that does not ask
}

TEST_CASE("the environment has the last word") {
  const Boot b = boot_from(
      good, [](const char* name) { return std::string(name) == "EDGE_LISTEN" ? "127.0.0.7:1" : nullptr; });
  CHECK(b.listen == endpoint_of("127.0.0.7:1"));
}

TEST_CASE("a faulty configuration is one message that names the key") {
  const auto [text, what] = GENERATE(table<std::string, std::string>({
      {"{", "not JSON"},
      {"[]", "not an object"},
      {with("\"listen\":", "\"lisen\":"), "listen"},
      {with("127.0.0.4:3000", "localhost"), "listen"},
      {with("127.0.0.1:8500", "127.0.0.1:0"), "discovery"},
      {with("8c1f", "zz"), "seed"},
      {with("\"sockets\":512", "\"sockets\":20"), "limits.sockets"},
      {with("\"sockets\":512", "\"sockets\":\"many\""), "sockets"},
      {with("\"memory_mb\":32", "\"memory_mb\":0"), "limits.memory_mb"},
      {with("127.0.0.9:30", "nowhere"), "known: targets[0]: endpoint"},
      {with("\"rev\":41,", ""), "known: field rev"},
      {with("\"SlaTime\":500.0,", ""), "settings: Schemes[0]: field SlaTime"},
      {with("\"Expiry\":1200.0", "\"Expiry\":0"), "settings: Schemes[0]: Expiry"},
      {with("\"safe\"", "\"odd\""), "settings: Schemes[0]: Effect"},
      {with("\"MostPostings\":5", "\"MostPostings\":0"), "settings: MostPostings"},
      {with("\"MostPostings\":5", "\"MostPostings\":1e300"), "settings: MostPostings"},
      {with("\"MostPostings\":5", "\"MostPostings\":1e999"), "not JSON"},
      {with("\"Expiry\":1200.0", "\"Expiry\":null"), "settings: Schemes[0]: field Expiry"},
      {with("\"DialTimeout\":100.0", "\"DialTimeout\":-1"), "settings: DialTimeout"},
      {with("\"settings\":", "\"setings\":"), "settings"},
  }));
  CHECK_THROWS_WITH(boot_from(text, nothing), Contains(what));
}

// The environment still says what held at the start.
TEST_CASE("read again, the file says where discovery is, and a faulty file says what is wrong with it") {
  const std::string path =
      std::filesystem::temp_directory_path() / ("robinpin-" + std::to_string(::getpid()) + ".json");
  const auto variable = [&](const char* name) -> const char* {
    if (std::string(name) == "EDGE_DISCOVERY") return "127.0.0.1:9";
    return std::string(name) == "EDGE_CONFIG" ? path.c_str() : nullptr;
  };
  std::ofstream(path) << good;
  CHECK(boot(variable).discovery == endpoint_of("127.0.0.1:9"));
  CHECK(boot_again(variable).discovery == endpoint_of("127.0.0.1:8500"));
  std::ofstream(path) << with("127.0.0.1:8500", "nowhere");
  CHECK_THROWS_WITH(boot_again(variable), Contains("discovery"));
  std::filesystem::remove(path);
}

TEST_CASE("no file, no node") {
  CHECK_THROWS_WITH(boot(nothing), Contains("EDGE_CONFIG"));
  CHECK_THROWS_WITH(
      boot([](const char* name) { return std::string(name) == "EDGE_CONFIG" ? "/none" : nullptr; }),
      Contains("/none"));
}

TEST_CASE("what discovery writes is taken whole or not at all") {
  const auto news = news_of(std::string_view(
      R"({"rev":43,"all":false,"targets":[{"uid":"a","endpoint":"127.0.0.1:30","state":"Terminating"},{"uid":"b","state":"Gone"}]})"));
  REQUIRE(news);
  CHECK(news->version == 43);
  CHECK_FALSE(news->whole);
  CHECK(news->entries[0].line.state == standing::draining);
  CHECK(news->entries[1].line.state == standing::gone);
  for (const char* broken : {"", "{", "7", "{}", R"({"rev":1,"targets":7})", R"({"rev":-1,"targets":[]})",
                             R"({"rev":1,"targets":[{"uid":"a","state":"Ready"}]})",
                             R"({"rev":1,"targets":[{"uid":"a","endpoint":"x:1","state":"Ready"}]})",
                             R"({"rev":1,"targets":[{"uid":7,"endpoint":"127.0.0.1:1","state":"Ready"}]})",
                             R"({"rev":1,"targets":[{"uid":"a","endpoint":"127.0.0.1:1","state":"Odd"}]})",
                             R"({"rev":1,"targets":[{"uid":"a","state":"Gone","boot_ms":1e300}]})"})
    CHECK_FALSE(news_of(std::string_view(broken)));
}

TEST_CASE("discovery that moves is asked at its new address at once, and nothing has failed") {
  Parts p;
  StandIn old(p.io, "");
  const std::string news =
      R"({"rev":2,"all":true,"targets":[{"uid":"a","endpoint":"127.0.0.1:30","state":"Ready"}]})";
  StandIn present(p.io,
                  "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(news.size()) + "\r\n\r\n" + news);
  List list(p.io, p.sockets, p.counters, p.desk, p.servers, old.at());
  asio::co_spawn(p.io, list.follow(), asio::detached);
  const bool watched = GENERATE(true, false);
  if (watched) {
    p.desk.want_list();
    p.io.run_for(20ms);
    REQUIRE(old.got.size() == 1);
  }
  list.move(present.at());
  p.io.run_for(20ms);
  CHECK(old.got.size() == (watched ? 1 : 0));
  REQUIRE(!present.got.empty());
  CHECK_THAT(present.got[0], Contains("after=0&"));
  CHECK(p.servers.any());
  CHECK(p.counters.list_failures == 0);
}

// A watch whose answer was lost looks like one with nothing to tell.
TEST_CASE("a silent watch is made anew when a listed server takes no connection, once in a while") {
  Parts p;
  StandIn discovery(p.io, "");
  List list(p.io, p.sockets, p.counters, p.desk, p.servers, discovery.at(), 10ms, 10s);
  p.servers.when_unreachable([&] { list.doubt(); });
  asio::co_spawn(p.io, list.follow(), asio::detached);
  p.knows("a", endpoint_of("127.0.0.1:1"));
  p.desk.want_list();
  p.io.run_for(20ms);
  REQUIRE(discovery.got.size() == 1);
  p.post("a");
  p.io.run_for(20ms);
  CHECK(discovery.connections == 2);
  p.post("a");
  p.io.run_for(20ms);
  CHECK(discovery.connections == 2);
  CHECK(p.counters.list_failures == 0);
}

TEST_CASE(
    "a file that lost a key that it had at the start is told by its path, what is new with each start "
    "aside") {
  const Keys first = keys_of(good);
  CHECK((first.contains("settings.Permissions.MostPostings") && first.contains("settings.Schemes[].Expiry")));
  const std::string path =
      std::filesystem::temp_directory_path() / ("robinpin-" + std::to_string(::getpid()) + ".json");
  const auto again = [&](const std::string& text) {
    std::ofstream(path) << text;
    return boot_again(nothing, path, first);
  };
  CHECK_NOTHROW(again(with("\"seed\":\"8c1f30d27a5be964\"", "\"seed\":\"1\"")));
  CHECK_THROWS_WITH(again(with("\"MostPostings\":5,", "")),
                    Contains("settings.Permissions.MostPostings is missing"));
  CHECK_THROWS_WITH(again(with("\"Effect\":\"safe\",", "")),
                    Contains("settings.Schemes[].Effect is missing"));
  CHECK_THROWS_WITH(again(with("\"sockets\":512,", "")), Contains("limits.sockets is missing"));
  std::filesystem::remove(path);
}
