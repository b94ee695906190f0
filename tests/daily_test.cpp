// What the operators' staff need day by day: where they call, the figures, processes of one node.
#include <unistd.h>

#include <filesystem>

#include "control.h"
#include "figures.h"
#include "help.h"
#include "listening.h"
#include "twins.h"

using namespace robinpin;
using namespace robinpin::help;
using namespace robinpin::help::net;
using Catch::Matchers::Contains;

namespace {

struct Called : Parts {
  bool ready = true;
  Control control{io,
                  {[this] { return ready; },
                   [this] {
                     return figures(counters, {"view"}, {clients.pending(), 0, 0});
                   }}};
  explicit Called(int most_sockets = 100) : Parts(most_sockets) {
    control.listen(here);
    asio::co_spawn(io, control.accept(), asio::detached);
  }
  std::string call(const std::string& bytes, std::size_t piece = 1 << 20) {
    tcp::socket s(io);
    s.connect(control.at());
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
      asio::write(s, asio::buffer(bytes.substr(at, piece)));
      io.restart();
      io.run_for(1ms);
    }
    return listen_to(s, 5000ms);  // each answer is the connection's last
  }
};

const std::string ready_call = "GET /ready HTTP/1.1\r\nHost: b\r\n\r\n";

}  // namespace

TEST_CASE("operators get the pages that there are, once a connection, and a no for all else") {
  Called p;
  CHECK_THAT(p.call(ready_call), Contains("HTTP/1.1 200") && Contains("<end>"));
  p.ready = false;
  CHECK_THAT(p.call(ready_call, 1), Contains("HTTP/1.1 503"));  // byte by byte
  CHECK_THAT(p.call("GET /metrics HTTP/1.1\r\n\r\n"),
             Contains("HTTP/1.1 200") && Contains("svc_pending 0\n"));
  const auto [call, status] = GENERATE(table<std::string, std::string>(
      {{"GET /other HTTP/1.1\r\n\r\n", "404"},
       {"POST /ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "405"},
       {"GET /ready HTTP/1.1\r\nContent-Length: 1\r\n\r\nx", "413"},
       {"\x16\x03\x01 noise\r\n\r\n", "400"},
       {"GET /ready HTTP/1.1\r\nA: " + std::string(9000, 'a') + "\r\n\r\n", "431"}}));
  CHECK_THAT(p.call(call), Contains("HTTP/1.1 " + status));
}

TEST_CASE(
    "callers who say nothing make room, the oldest first, and clients who take every descriptor keep none "
    "out") {
  Called p(1);
  p.listens();
  const tcp::socket client = p.opened("");
  std::vector<tcp::socket> silent;
  for (int i = 0; i < 2 * Control::most_callers; ++i) {
    silent.emplace_back(p.io).connect(p.control.at());
    p.io.restart();
    p.io.run_for(1ms);
    CHECK(p.control.callers() <= Control::most_callers);
  }
  CHECK_THAT(p.call(ready_call), Contains("HTTP/1.1 200"));
  CHECK_THAT(p.listen_to(silent.front(), 5000ms), Contains("<end>"));
  CHECK(p.listen_to(silent.back(), 20ms).empty());
}

TEST_CASE("a txn counts once, by its final answer, in its scheme's row, and is pending until then") {
  Called p;
  StandIn slow(p.io, ""), good(p.io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  p.listens();
  p.knows("a", slow.at());
  const tcp::socket one = p.opened(request("1"));
  CHECK(p.comes([&] { return p.counters.postings_written == 1; }));
  CHECK_THAT(p.call("GET /metrics HTTP/1.1\r\n\r\n"),
             Contains("svc_pending 1\n") && Contains("svc_completed_total{lane=\"view\"} 0\n") &&
                 Contains("svc_upstream_requests_total 1\n"));
  CHECK(p.comes([&] { return p.clients.pending() == 0; }));  // its expiry
  p.servers.told("a", good.at(), 1, false);
  CHECK_THAT(p.ask(request("2")), Contains("200 OK"));
  CHECK_THAT(p.ask("GET /bad HTTP/1.1\r\n\r\n"), Contains("400"));
  CHECK_THAT(p.call("GET /metrics HTTP/1.1\r\n\r\n"),
             Contains("svc_pending 0\n") && Contains("svc_completed_total{lane=\"view\"} 1\n"));
  const Ended e = p.counters.ended(0);
  CHECK((e.settled == 1 && e.declined + e.reversed == 1));
}

TEST_CASE("a label's value is written as the text form has it, and each figure says its type once") {
  Counters c;
  c.ended(1).reversed = 3;
  const std::string page = figures(c, {"plain", "a\"b\\c\nd"}, {});
  CHECK_THAT(page, Contains("svc_failed_total{lane=\"a\\\"b\\\\c\\nd\"} 3\n"));
  CHECK(page.find("# TYPE svc_failed_total counter") == page.rfind("# TYPE svc_failed_total"));
}

// Real ones, and one that is killed: in the commands' tests.
TEST_CASE(
    "processes of one node know how many they are, and one that can't know takes it that there are two") {
  const std::string folder =
      std::filesystem::temp_directory_path() / ("robinpin-twins-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  CHECK(Twins().alive() == 1);
  CHECK(Twins(folder + "/none").alive() == 2);
  const Twins first(folder);
  CHECK(first.alive() == 1);
  CHECK(Twins(folder).alive() == 2);
  CHECK(first.alive() == 1);
  std::filesystem::remove_all(folder);
}

TEST_CASE("an inherited listening socket is taken as it is, and anything else is told") {
  Parts p;
  tcp::acceptor ours(p.io, here);
  const int second = ::dup(ours.native_handle());
  p.clients.listen({}, second);
  CHECK(p.clients.at() == ours.local_endpoint());
  asio::co_spawn(p.io, p.clients.accept(), asio::detached);
  asio::co_spawn(p.io, p.clients.drain(), asio::detached);
  CHECK(p.comes([&] { return !p.clients.takes(); }));
  tcp::socket late(p.io);  // the other process's: the socket still listens
  asio::error_code refused;
  late.connect(ours.local_endpoint(), refused);
  CHECK_FALSE(refused);
  tcp::acceptor none(p.io);
  CHECK_THROWS_WITH(listen_on(none, 0), Contains("EDGE_FD"));
}
