// The control calls over loopback sockets: each answer to its caller, in its place, once.
#include <asio.hpp>
#include <fmt/format.h>

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "../../src/app/mesh_process.h"
#include "../../src/rpc/calls.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace std::chrono_literals;
using asio::awaitable;
using tcp = asio::ip::tcp;

namespace {

struct Slow {  // answers its argument when it is let to
  static constexpr std::string_view method = "GET", path = "/slow/";
  using Answer = rpc::Reply;
  std::string what;
  static std::optional<Slow> read(std::string_view argument, std::string_view) {
    return Slow{std::string(argument)};
  }
};

struct Office {
  explicit Office(rpc::ServerLimits server_limits = {}, codec::Limits limits = {2'000, 4'000})
      : sockets(100), calls(io, sockets, limits, server_limits) {
    calls.handle<Slow>([this](Slow s) -> awaitable<rpc::Reply> {
      ++begun;
      if (s.what == "fails") throw std::runtime_error("no memory");
      while (s.what != "now" && s.what != "no" && !let.contains(s.what)) {
        asio::steady_timer pause(io, 1ms);
        asio::error_code woken;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, woken));
      }
      co_return rpc::Reply{s.what == "no" ? 503 : 200, "<" + s.what + ">", {}};
    });
    calls.handle<rpc::Evacuation<true>>([](rpc::Evacuation<true> e) -> awaitable<rpc::Reply> {
      co_return rpc::Reply{409, "<" + e.zone + ">", {}};
    });
    for (std::uint16_t port = 24'010; at.port() == 0 && port < 24'100; ++port) try {
        calls.listen({asio::ip::make_address("127.0.24.1"), port});
        at = {asio::ip::make_address("127.0.24.1"), port};
      } catch (const std::exception&) {
      }
    calls.run();
  }
  bool until(const std::function<bool()>& is) {
    for (const auto late = std::chrono::steady_clock::now() + 5s;
         !is() && std::chrono::steady_clock::now() < late;)
      io.run_one_for(50ms);
    return is();
  }
  asio::io_context io;
  node::Sockets sockets;
  rpc::Server calls;
  tcp::endpoint at;
  std::set<std::string> let;
  int begun = 0;
};

struct Caller {  // what has come so far, and whether no more will
  explicit Caller(Office& o) : office(o), socket(o.io) { socket.connect(o.at); }
  void say(const std::string& text) { asio::write(socket, asio::buffer(text)); }
  void get(const std::string& what) { say(fmt::format("GET /slow/{} HTTP/1.1\r\nHost: c\r\n\r\n", what)); }
  bool hears(const std::string& what) {
    return office.until([&] {
      look();
      return heard.find(what) != heard.npos;
    });
  }
  bool ends() {
    return office.until([&] {
      look();
      return ended;
    });
  }
  void look() {
    socket.non_blocking(true);
    char bytes[4096];
    asio::error_code wrong;
    for (std::size_t n; (n = socket.read_some(asio::buffer(bytes), wrong)) > 0;) heard.append(bytes, n);
    ended = ended || (wrong && wrong != asio::error::would_block);
  }
  Office& office;
  tcp::socket socket;
  std::string heard;
  bool ended = false;
};

// A core of one, in a process of its own.
struct Core {
  Core() {
    char name[] = "/tmp/robinpin-core-XXXXXX";
    folder = ::mkdtemp(name);
    settings("{}");
    if ((child = ::fork()) != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::_exit(app::run_control_plane({folder + "/local.json"}));
  }
  ~Core() {
    ::kill(child, SIGKILL);
    ::waitpid(child, nullptr, 0);
    std::filesystem::remove_all(folder);
  }
  void settings(const std::string& zones) const {
    std::ofstream(folder + "/local.json") << fmt::format(
        R"({{"ip":"127.0.24.9","zone":"east","zones":{},"ports":{{"control":"127.0.24.9:24120"}},"inner_ports":[24130,24131],
      "seed_nodes":["127.0.24.9:24120"],"first_start":true,"data_dir":"{}"}})",
        zones, folder);
  }
  // The status; what is not to be had yet is asked for again.
  int says(const std::string& call) const {
    for (const auto late = std::chrono::steady_clock::now() + 10s; std::chrono::steady_clock::now() < late;) {
      asio::io_context io;
      tcp::socket s(io);
      asio::error_code wrong;
      s.connect({asio::ip::make_address("127.0.24.9"), 24'120}, wrong);
      if (wrong) {
        ::usleep(1'000);
        continue;
      }
      asio::write(s, asio::buffer("POST /v1/" + call + " HTTP/1.1\r\nHost: c\r\nConnection: close\r\n\r\n"),
                  wrong);
      std::string answer;
      asio::read(s, asio::dynamic_buffer(answer), wrong);
      if (answer.size() > 12 && !answer.starts_with("HTTP/1.1 503")) return std::stoi(answer.substr(9, 3));
    }
    return 0;
  }
  std::string folder;
  pid_t child = 0;
};

std::size_t count(const std::string& in, const std::string& what) {
  std::size_t n = 0;
  for (auto at = in.find(what); at != in.npos; at = in.find(what, at + 1)) ++n;
  return n;
}

}  // namespace

TEST_GROUP(Rpc){};

TEST(Rpc, calls_pipelined_behind_one_that_waits_are_answered_in_their_order) {
  for (const bool at_once : {true, false}) {
    Office o;
    Caller c(o);
    const std::string post =
        "POST /v1/Evacuation.Begin/east HTTP/1.1\r\nHost: c\r\nContent-Length: 2\r\n\r\n{}";
    const std::string first = "GET /slow/a HTTP/1.1\r\nHost: c\r\n\r\n",
                      rest = post + "GET /slow/now HTTP/1.1\r\nHost: c\r\n\r\n" +
                             "GET /slow/b HTTP/1.1\r\nHost: c\r\n\r\n";
    c.say(at_once ? first + rest : first);
    CHECK(o.until([&] { return o.begun == 1; }));
    if (!at_once) c.say(rest);
    c.look();
    STRCMP_EQUAL("", c.heard.c_str());
    o.let = {"b"};
    c.look();
    STRCMP_EQUAL("", c.heard.c_str());
    o.let = {"a", "b"};
    CHECK(c.hears("<b>"));
    CHECK(c.heard.find("<a>") < c.heard.find("<east>") && c.heard.find("<east>") < c.heard.find("<now>") &&
          c.heard.find("<now>") < c.heard.find("<b>"));
    CHECK_EQUAL(4, count(c.heard, "HTTP/1.1 "));
    CHECK(c.heard.find("HTTP/1.1 409 Conflict\r\n") != std::string::npos);
  }
}

TEST(Rpc, a_half_closed_caller_with_calls_behind_one_that_waits_gets_all_answers) {
  Office o;
  Caller c(o);
  c.get("a"), c.get("now");
  c.socket.shutdown(tcp::socket::shutdown_send);
  CHECK(o.until([&] { return o.begun == 1; }));
  o.let = {"a"};
  CHECK(c.hears("<now>"));
  CHECK(c.ends());
}

// In a core without a majority each call takes 0.85 s to be refused: the fourth of four had its answer
// after 3.6 s.
TEST(Rpc, calls_behind_one_that_nobody_can_settle_now_go_elsewhere_at_once) {
  Office o;
  Caller c(o), d(o);
  c.get("no"), c.get("now");
  CHECK(c.ends());
  CHECK(c.hears("HTTP/1.1 503") && c.hears("Connection: close"));
  CHECK_EQUAL(0, count(c.heard, "<now>"));
  CHECK_EQUAL(1, o.begun);
  d.get("no");
  CHECK(d.hears("<no>"));
  d.get("now");  // one alone stays
  CHECK(d.hears("<now>"));
}

// Who calls next has the same descriptor here: what the first waited for is not written there.
TEST(Rpc, an_answer_whose_caller_has_gone_reaches_nobody) {
  Office o;
  auto gone = std::make_unique<Caller>(o);
  gone->get("a");
  CHECK(o.until([&] { return o.begun == 1; }));
  gone.reset();
  Caller next(o);
  next.get("b");
  CHECK(o.until([&] { return o.begun == 2; }));
  o.let = {"a", "b"};
  CHECK(next.hears("<b>"));
  next.get("now");
  CHECK(next.hears("<now>"));
  CHECK_EQUAL(2, count(next.heard, "HTTP/1.1 "));
  CHECK_EQUAL(0, count(next.heard, "<a>"));
}

// What lay in the sockets of a process that stood still: an evacuation so begun would come after it was taken
// back elsewhere.
TEST(Rpc, a_call_whose_caller_has_gone_elsewhere_before_it_is_read_is_not_begun) {
  Office o({.only_for_connected_callers = true});
  {
    Caller gone(o);
    gone.get("now");
  }
  Caller waits(o);
  waits.get("now");
  CHECK(waits.hears("<now>"));
  CHECK_EQUAL(1, o.begun);
}

TEST(Rpc, a_call_that_waits_too_long_ends_with_its_connection_and_its_answer_reaches_nobody) {
  Office o({.max_pending_calls = 128, .call_timeout = 50ms});
  Caller c(o);
  c.get("a"), c.get("now");
  CHECK(c.ends());
  STRCMP_EQUAL("", c.heard.c_str());
  Caller next(o);  // may have the descriptor that the first had at the office
  next.get("b");
  CHECK(o.until([&] { return o.begun == 2; }));
  o.let = {"a", "b"};
  CHECK(next.hears("<b>"));
  CHECK_EQUAL(0, count(next.heard, "<a>"));
}

TEST(Rpc, no_more_than_so_many_calls_wait_at_once) {
  Office o({.max_pending_calls = 2, .call_timeout = 3s});
  Caller a(o), b(o), c(o);
  a.get("a"), b.get("b");
  CHECK(o.until([&] { return o.begun == 2; }));
  c.get("now");
  CHECK(c.hears("HTTP/1.1 503 Service Unavailable\r\n"));
  CHECK_EQUAL(2, o.begun);
  o.let = {"a", "b"};
  CHECK(a.hears("<a>"));
  CHECK(b.hears("<b>"));
  c.get("now");
  CHECK(c.hears("<now>"));
}

TEST(Rpc, what_is_too_long_or_no_call_is_told_so_and_what_stands_behind_it_is_not_run) {
  const std::string none = "GET /slow/now HTTP/1.1\r\nHost: c\r\n\r\n";
  for (const auto& [text, status, ends] : std::vector<std::tuple<std::string, std::string, bool>>{
           {"POST /slow/x HTTP/1.1\r\nContent-Length: 4001\r\n\r\n" + std::string(4'001, 'x'),
            "413 Content Too Large", true},
           {"POST /slow/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n" + std::string(5'000, 'x') +
                "\r\n0\r\n\r\n",
            "413 Content Too Large", true},
           {"GET /slow/now HTTP/1.1\r\nX: " + std::string(2'500, 'x') + "\r\n\r\n",
            "431 Request Header Fields Too Large", true},
           {"nonsense\r\n\r\n", "400 Bad Request", true},
           {"PUT /slow/now HTTP/1.1\r\n\r\n", "405 Method Not Allowed", false},
           {"GET /none HTTP/1.1\r\n\r\n", "404 Not Found", false}}) {
    Office o;
    Caller c(o);
    c.say(text + none);
    CHECK_TEXT(c.hears("HTTP/1.1 " + status + "\r\n"), status.c_str());
    CHECK(ends ? c.ends() : c.hears("<now>"));
    CHECK_EQUAL(ends ? 0 : 1, o.begun);
  }
}

TEST(Rpc, an_exception_in_one_connection_ends_that_one_alone) {
  Office office;
  Caller waits(office), fails(office);
  waits.get("a");
  CHECK(office.until([&] { return office.begun == 1; }));
  fails.get("fails");
  CHECK(fails.ends());
  office.let.insert("a");
  CHECK(waits.hears("<a>"));
  Caller later(office);
  later.get("now");
  CHECK(later.hears("<now>"));
}

TEST(Rpc, each_status_has_its_phrase) {
  for (const auto& [status, phrase] : std::vector<std::pair<int, std::string>>{{307, "Temporary Redirect"},
                                                                               {409, "Conflict"},
                                                                               {412, "Precondition Failed"},
                                                                               {421, "Misdirected Request"},
                                                                               {422, "Unprocessable Content"},
                                                                               {429, "Too Many Requests"},
                                                                               {500, "Internal Server Error"},
                                                                               {507, "Insufficient Storage"}})
    CHECK(rpc::phrase(status) == phrase);
}

TEST(
    Rpc,
    an_order_for_a_zone_that_nobody_knows_is_told_so_and_what_stands_can_be_ended_whatever_the_settings_say) {
  const Core core;
  CHECK_EQUAL(200, core.says("Evacuation.Begin/anywhere"));  // without a map of zones nobody can tell
  core.settings(R"({"east":"home","south":"home"})");
  ::kill(core.child, SIGHUP);
  int n = 0;
  for (const auto late = std::chrono::steady_clock::now() + 10s;
       core.says(fmt::format("Evacuation.Begin/none{}", ++n)) == 200 &&
       std::chrono::steady_clock::now() < late;)
    continue;
  CHECK_EQUAL(404, core.says("Evacuation.Begin/never"));
  CHECK_EQUAL(404, core.says("Evacuation.Finish/never"));
  CHECK_EQUAL(200, core.says("Evacuation.Begin/south"));
  CHECK_EQUAL(200, core.says("Evacuation.Begin/south"));
  CHECK_EQUAL(200, core.says("Evacuation.Finish/anywhere"));
  CHECK_EQUAL(200, core.says("Evacuation.Finish/anywhere"));  // sent again
  core.settings(R"({"east":"home"})");
  ::kill(core.child, SIGHUP);
  CHECK_EQUAL(200, core.says("Evacuation.Finish/south"));
  CHECK_EQUAL(200, core.says("Evacuation.Begin/east"));
}
