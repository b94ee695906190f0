// The program as a user has it: its commands and exit codes, and a reload of a running node by signal.
#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>

#include "help.h"
#include "refused.h"
#include "twins.h"

using namespace robinpin;
using namespace robinpin::help::net;
using Catch::Matchers::Contains;

namespace {

struct Folder {
  std::filesystem::path path =
      std::filesystem::temp_directory_path() / ("robinpin-commands-" + std::to_string(::getpid()));
  Folder() { std::filesystem::create_directories(path); }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path / name) << text;
    return path / name;
  }
  std::string read(const std::string& name) const {
    std::ifstream file(path / name);
    return {std::istreambuf_iterator<char>(file), {}};
  }
};

pid_t start(const Folder& f, std::vector<std::string> words,
            const std::map<std::string, std::string>& edge = {}) {
  words.insert(words.begin(), ROBINPIN_BINARY);
  std::vector<char*> args;
  for (auto& w : words) args.push_back(w.data());
  args.push_back(nullptr);
  const std::string out = f.path / "out", err = f.path / "err";
  const pid_t child = ::fork();
  if (child == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that fails leaves nothing behind
    ::unsetenv("EDGE_CONFIG");
    for (const auto& [name, value] : edge) ::setenv(name.c_str(), value.c_str(), 1);
    ::dup2(::open(out.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600), 1);
    ::dup2(::open(err.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600), 2);
#ifndef __SANITIZE_ADDRESS__  // its search for leaks starts a process
    if (!help::refuse_calls()) ::_exit(126);
#endif
    ::execv(ROBINPIN_BINARY, args.data());
    ::_exit(127);
  }
  return child;
}

int ended(pid_t child) {
  int status = 0;
  ::waitpid(child, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

std::string terms(int port, int discovery = 1, int control = 0) {
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(port) +
         (control ? R"(","control":"127.0.0.1:)" + std::to_string(control) : "") +
         R"(","discovery":"127.0.0.1:)" + std::to_string(discovery) +
         R"(","seed":"8c","settings":{"Schemes":[{"Name":"view","SlaTime":500,"Expiry":1200},)"
         R"({"Name":"pay","Effect":"unsafe","SlaTime":500,"Expiry":300}],"Permissions":{"MostPostings":5},"Guarantees":{"AskEvery":100}}})";
}

int free_port() {
  asio::io_context io;
  return tcp::acceptor(io, here).local_endpoint().port();
}

const std::string good = "[node]\nterms = \"n.json\"\n[defaults]\npostings = 2\n";

template <typename Condition>
bool soon(Condition condition) {
  for (int i = 0; i < 1000 && !condition(); ++i) std::this_thread::sleep_for(5ms);
  return condition();
}

// One answer's body, on a connection of its own; nothing if there is none.
std::string get(int port, const std::string& bytes) {
  asio::io_context io;
  tcp::socket s(io);
  asio::error_code error;
  s.connect({asio::ip::address_v4::loopback(), std::uint16_t(port)}, error);
  if (!error) asio::write(s, asio::buffer(bytes), error);
  std::string heard;
  if (!error) asio::read_until(s, asio::dynamic_buffer(heard), "\r\n\r\n", error);
  const auto body = heard.find("\r\n\r\n") + 4, length = heard.find("Content-Length: ");
  if (error || length == std::string::npos) return heard;
  const auto whole = body + std::size_t(std::atoi(heard.c_str() + length + 16));
  while (!error && heard.size() < whole)
    asio::read(s, asio::dynamic_buffer(heard), asio::transfer_at_least(1), error);
  return heard;
}

std::string page(int port, const std::string& path) {
  return get(port, "GET " + path + " HTTP/1.1\r\nHost: b\r\n\r\n");
}

bool says_yes(int control) { return page(control, "/ready").starts_with("HTTP/1.1 200"); }

// Whether a figure comes to that.
bool counts(int control, const std::string& name, int n) {
  return soon([&] {
    return page(control, "/metrics").find("\nsvc_" + name + " " + std::to_string(n) + "\n") !=
           std::string::npos;
  });
}

}  // namespace

TEST_CASE(
    "each call that the platform refuses ends a process of the tests: a node that makes one is seen to") {
  const auto ends_by = [](auto tries) {
    const pid_t child = ::fork();
    if (child == 0) {
      if (!help::refuse_calls()) ::_exit(126);
      tries();
      ::_exit(0);
    }
    return ended(child);
  };
  for (const long call : help::refused_calls)
    CHECK(ends_by([&] { ::syscall(call, -1, 0, 0, 0, 0, 0); }) == 128 + SIGSYS);
  CHECK(ends_by([] { ::syscall(SYS_clone, SIGCHLD, 0, 0, 0, 0); }) == 128 + SIGSYS);
  CHECK(ends_by([] { ::socket(AF_UNIX, SOCK_STREAM, 0); }) == 128 + SIGSYS);
  CHECK(ends_by([] { ::close(::socket(AF_INET, SOCK_STREAM, 0)); }) == 0);
}

TEST_CASE("exit codes: good 0, a fault 1 with every fault told, misuse 2 before anything is done") {
  const Folder f;
  f.write("n.json", terms(1));
  const std::string terms_file = f.path / "n.json";
  const std::string fine = f.write("good.toml", good);
  const std::string bad = f.write("bad.toml",
                                  "[[route]]\nname = \"r\"\nscheme = \"pay\"\nsecond_copies = true\n"
                                  "posting_timeout = \"400ms\"\n");
  CHECK(ended(start(f, {"check", fine, "--terms", terms_file})) == 0);
  CHECK(ended(start(f, {"check", bad})) == 0);  // nothing is wrong with it but against a house
  CHECK(ended(start(f, {"check", bad, "--terms", terms_file})) == 1);
  CHECK_THAT(f.read("err"), Contains("bad.toml:4:17: ") && Contains("rule 2") &&
                                Contains("bad.toml:5:19: ") && Contains("rule 1") && Contains("2 faults"));
  CHECK(ended(start(f, {"check", bad, "--terms", terms_file, "--format", "json"})) == 1);
  rapidjson::Document told;
  told.Parse(f.read("out").c_str());
  REQUIRE_FALSE(told.HasParseError());
  CHECK((!told["good"].GetBool() && told["faults"].Size() == 2 && told["faults"][0]["line"].GetInt() == 4));
  CHECK(ended(start(f, {"check", "/none.toml"})) == 1);
  CHECK(ended(start(f, {"check", fine, "--terms", "/none.json"})) == 1);
  CHECK(ended(start(f, {"explain", fine, "--terms", terms_file, "--scheme", "pay"})) == 0);
  CHECK_THAT(f.read("out"), Contains("good.toml:4") && Contains("once-only"));
  for (const auto& words :
       std::vector<std::vector<std::string>>{{"check"},
                                             {"chekc", fine},
                                             {"check", fine, "--format", "xml"},
                                             {"explain", fine},
                                             {"serve", "--conf", fine},
                                             {"explain", fine, "--terms", terms_file, "--scheme", "nope"}})
    CHECK(ended(start(f, words)) == 2);
  CHECK(ended(start(f, {"--help"})) == 0);
  CHECK(ended(start(f, {"version"})) == 0);
  CHECK(ended(start(f, {"serve", "--config", bad})) == 1);  // no terms are named: nothing starts
  CHECK(ended(start(f, {})) == 1);
}

TEST_CASE(
    "a running node takes a new file whole or not at all, says so once, and ends its records when told to "
    "end",
    "[processes]") {
  const Folder f;
  const int port = free_port(), control = free_port();
  f.write("n.json", terms(port, 1, control));
  const std::string ours = f.write("o.toml", good + "[records]\npath = \"" + (f.path / "r.jsonl").string() +
                                                 "\"\nflush = \"5ms\"\n[log]\nformat = \"json\"\n");
  const pid_t node = start(f, {"serve", "--config", ours});
  REQUIRE(soon([&] { return page(port, "/config").find("\"version\":1") != std::string::npos; }));
  std::ofstream(ours) << "[[route]]\nname = \"r\"\nscheme = \"pay\"\nrepeats = \"repeatable\"\n";
  for (int i = 0; i < 3; ++i) {
    ::kill(node, SIGHUP);
    REQUIRE(counts(control, "config_reload_errors_total", i + 1));
  }
  CHECK_THAT(page(port, "/config"), Contains("\"version\":1") && Contains("rule 2"));
  std::ofstream(ours) << good << "in_flight = 3\n";
  ::kill(node, SIGHUP);
  REQUIRE(soon([&] { return page(port, "/config").find("\"version\":2") != std::string::npos; }));
  // No server is known: declined at once or at its expiry, and the log says why.
  CHECK_THAT(get(port,
                 "POST /api HTTP/1.1\r\nHost: b\r\nRequest-Id: 7\r\nRequest-Class: pay\r\n"
                 "Request-Timeout-Ms: 300\r\nContent-Length: 0\r\n\r\n"),
             Contains("HTTP/1.1 5"));
  ::kill(node, SIGTERM);
  CHECK(ended(node) == 0);
  const std::string log = f.read("err");
  CHECK_THAT(log, Contains("no server is known, so every txn is declined") && Contains("\"part\":\"list\""));
  const auto told = log.find("is not used, version 1 stays in force");
  REQUIRE(told != std::string::npos);
  CHECK(log.find("is not used", told + 1) == std::string::npos);
  const auto back = records::read_back(f.path / "r.jsonl");
  CHECK(back.broken == 0);
  std::string story;
  for (const auto& fact : back.facts)
    story += fact.fact + (fact.fact == "configured" ? "-" + fact.how : "") + " ";
  CHECK_THAT(story, Contains("records started configured-accepted configured-refused configured-accepted") &&
                        Contains("taken answered") && Contains("ended"));
}

namespace {

// Answers every request after a while, and remembers which ids it has seen.
struct SlowServer {
  asio::io_context io;
  tcp::acceptor acceptor{io, here};
  std::map<std::string, int> seen;
  int ended = 0;  // connections
  std::thread loop;
  SlowServer() {
    asio::co_spawn(io, accept(), asio::detached);
    loop = std::thread([this] { io.run(); });
  }
  ~SlowServer() {
    io.stop();
    loop.join();
  }
  asio::awaitable<void> accept() {
    for (;;) asio::co_spawn(io, serve(co_await acceptor.async_accept(asio::use_awaitable)), asio::detached);
  }
  asio::awaitable<void> serve(tcp::socket s) {
    std::string bytes;
    for (asio::error_code error; !error;) {
      const auto head = co_await asio::async_read_until(s, asio::dynamic_buffer(bytes), "\r\n\r\n",
                                                        asio::redirect_error(asio::use_awaitable, error));
      if (error) break;
      const auto id = bytes.find("Request-Id: ") + 12;
      ++seen[bytes.substr(id, bytes.find('\r', id) - id)];
      bytes.erase(0, head);
      asio::steady_timer wait(io, 300ms);
      co_await wait.async_wait(asio::use_awaitable);
      co_await asio::async_write(s,
                                 asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")),
                                 asio::redirect_error(asio::use_awaitable, error));
    }
    ++ended;
  }
};

// The platform's file, with so many streams a connection and what else is said of the schemes.
std::string platform(int port, int control, int server, int streams, const std::string& more = "") {
  return R"({"name":"n1","listen":"127.0.0.1:)" + std::to_string(port) + R"(","control":"127.0.0.1:)" +
         std::to_string(control) +
         R"(","discovery":"127.0.0.1:1","seed":"8c","known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:)" +
         std::to_string(server) +
         R"(","az":"","model":"m","pod_group":0,"state":"Ready","capacity_hint":8.0}]},)" +
         R"("settings":{"Weights":"nominal","Schemes":[{"Name":"view","SlaTime":5000,"Expiry":6000},)" +
         R"({"Name":"pay","Effect":"unsafe","SlaTime":5000,"Expiry":6000})" + more +
         R"(],"Permissions":{"MostPostings":5,"Cancel":true,"StreamsPerConn":)" + std::to_string(streams) +
         "}}}";
}

}  // namespace

TEST_CASE("terms switched there and back while txns are out: each has one answer, no server sees one twice",
          "[processes]") {
  const Folder f;
  SlowServer server;
  const int port = free_port(), control = free_port(), at = server.acceptor.local_endpoint().port();
  int wrong = 0;
  const auto says = [&](int streams, const std::string& more = "") {
    f.write("n.json", platform(port, control, at, streams, more));
  };
  says(1);
  const std::string ours = f.write("o.toml", "[node]\nterms = \"n.json\"\n");
  const pid_t node = start(f, {"serve", "--config", ours});
  REQUIRE(soon([&] { return page(port, "/config").find("\"streams\":1,") != std::string::npos; }));
  std::vector<std::string> answers(12);
  std::vector<std::thread> clients;
  for (std::size_t i = 0; i < answers.size(); ++i)
    clients.emplace_back([&, i] {
      answers[i] =
          get(port, (i % 2 ? "POST" : "GET") + std::string(" /api HTTP/1.1\r\nHost: b\r\nRequest-Id: ") +
                        std::to_string(i) + "\r\nRequest-Class: " + (i % 2 ? "pay" : "view") +
                        "\r\nRequest-Timeout-Ms: 5000\r\n" + (i % 2 ? "Content-Length: 0\r\n" : "") + "\r\n");
    });
  CHECK(counts(control, "pending", 12));
  says(100);
  ::kill(node, SIGHUP);
  CHECK(counts(control, "config_reloads_total", 1));
  CHECK_THAT(page(port, "/config"), Contains("\"streams\":100"));
  // A file that lost a key, or says nothing that can be meant, is turned down whole.
  for (const std::string& lost :
       {std::string(), f.read("n.json").substr(0, 300),
        platform(port, control, at, 1, R"(,{"Name":"new","SlaTime":1})"),
        platform(port, control, at, 1, R"(,{"Name":"new","SlaTime":1,"Expiry":"soon"})")}) {
    f.write("n.json", lost);
    ::kill(node, SIGHUP);
    CHECK(counts(control, "config_reload_errors_total", ++wrong));
    CHECK_THAT(page(port, "/config"), Contains("\"streams\":100"));
  }
  says(100, R"(,{"Name":"new","SlaTime":1,"Expiry":1})");  // a scheme more
  ::kill(node, SIGHUP);
  CHECK(counts(control, "completed_total{lane=\"new\"}", 0));
  std::ofstream(ours)
      << "[node]\nterms = \"n.json\"\n[deployment]\nstreams = 0\n";  // faulty: the way back waits
  says(1);
  ::kill(node, SIGHUP);
  CHECK(counts(control, "config_reload_errors_total", ++wrong));
  CHECK_THAT(page(port, "/config"), Contains("\"streams\":100") && Contains("deployment.streams"));
  std::ofstream(ours) << "[node]\nterms = \"n.json\"\n";
  ::kill(node, SIGHUP);
  ::kill(node, SIGHUP);
  // Two signals that come as one are one reading.
  CHECK(soon([&] { return page(port, "/config").find("\"streams\":1,") != std::string::npos; }));
  for (auto& c : clients) c.join();
  for (const auto& a : answers) CHECK_THAT(a, Contains("HTTP/1.1 200") && Contains("ok"));
  CHECK(server.seen.size() == 12);
  for (const auto& [id, times] : server.seen) CHECK(times == 1);
  CHECK(server.ended == 0);  // no connection was cut
  CHECK(counts(control, "completed_total{lane=\"view\"}", 6));
  CHECK(counts(control, "completed_total{lane=\"pay\"}", 6));
  CHECK(counts(control, "upstream_requests_total", 12));
  CHECK(counts(control, "pending", 0));
  CHECK_THAT(f.read("err"),
             Contains("Schemes[2]: field Expiry is missing") && Contains("Expiry is not a number"));
  ::kill(node, SIGTERM);
  CHECK(ended(node) == 0);
}

TEST_CASE(
    "a node replaced under load loses no txn, sends none twice and turns none back, one killed half-way "
    "leaves it",
    "[processes]") {
  const Folder f;
  SlowServer server;
  asio::io_context io;
  tcp::acceptor held(io, here);  // the platform's
  const int port = held.local_endpoint().port(), at = server.acceptor.local_endpoint().port();
  const std::string config = f.write("n.json", platform(port, 1, at, 1));
  const int first_control = free_port(), second_control = free_port(), third_control = free_port();
  ::fcntl(held.native_handle(), F_SETFD, 0);
  const auto begin = [&](int control) {
    return start(f, {},
                 {{"EDGE_CONFIG", config},
                  {"EDGE_CONTROL", "127.0.0.1:" + std::to_string(control)},
                  {"EDGE_FD", std::to_string(held.native_handle())},
                  {"TMPDIR", f.path}});
  };
  const node::Twins ours(f.path);  // a process more
  const pid_t first = begin(first_control);
  REQUIRE(soon([&] { return says_yes(first_control); }));

  std::atomic<bool> over = false;
  std::atomic<int> sent = 0, settled = 0;
  std::vector<std::thread> clients;
  for (int n = 0; n < 6; ++n)
    clients.emplace_back([&, n] {
      for (int i = 0; !over; ++i) {
        ++sent;
        const std::string heard =
            get(port, "POST /api HTTP/1.1\r\nHost: b\r\nRequest-Id: " + std::to_string(n * 10000 + i) +
                          "\r\nRequest-Class: pay\r\nRequest-Timeout-Ms: 5000\r\nContent-Length: 0\r\n\r\n");
        settled += heard.starts_with("HTTP/1.1 200");
      }
    });
  // Killed before it says yes: who was there serves on.
  const pid_t killed = begin(second_control);
  CHECK(soon([&] { return ours.alive() == 3; }));
  ::kill(killed, SIGKILL);
  CHECK(ended(killed) == 128 + SIGKILL);
  CHECK(ours.alive() == 2);
  CHECK(says_yes(first_control));
  std::ofstream(f.path / "robinpin.process.3") << "torn, and nobody's";

  const pid_t second = begin(third_control);
  REQUIRE(soon([&] { return says_yes(third_control); }));
  ::kill(first, SIGTERM);
  CHECK(ended(first) == 0);
  CHECK(says_yes(third_control));
  std::this_thread::sleep_for(500ms);
  over = true;
  for (auto& c : clients) c.join();
  CHECK(sent > 6);
  CHECK(settled == sent);
  CHECK(int(server.seen.size()) == sent);
  for (const auto& [id, times] : server.seen) CHECK(times == 1);
  ::kill(second, SIGTERM);
  CHECK(ended(second) == 0);
  CHECK_THAT(f.read("err"), Contains("takes over") && Contains("3 processes of this node"));
}

namespace {

// The list service as its protocol says: a whole list at once, a watch only when there is something newer. Or
// one that takes calls and says nothing; or writes a byte of its answer now and then.
struct ListService {
  enum class manner { as_said, silent, dribbles };
  asio::io_context io;
  tcp::acceptor acceptor{io, here};
  manner how;
  std::atomic<int> whole = 0, watches = 0;
  std::thread loop;
  explicit ListService(manner m) : how(m) {
    asio::co_spawn(io, accept(), asio::detached);
    loop = std::thread([this] { io.run(); });
  }
  ~ListService() {
    io.stop();
    loop.join();
  }
  int port() const { return acceptor.local_endpoint().port(); }
  asio::awaitable<void> accept() {
    for (;;) asio::co_spawn(io, serve(co_await acceptor.async_accept(asio::use_awaitable)), asio::detached);
  }
  asio::awaitable<void> serve(tcp::socket s) {
    std::string bytes;
    for (asio::error_code error; !error;) {
      const auto head = co_await asio::async_read_until(s, asio::dynamic_buffer(bytes), "\r\n\r\n",
                                                        asio::redirect_error(asio::use_awaitable, error));
      if (error) co_return;
      const bool all = bytes.find("after=0&") < head;
      ++(all ? whole : watches);
      bytes.erase(0, head);
      if (how == manner::silent || (how == manner::as_said && !all)) continue;
      const std::string list = R"({"rev":1,"all":true,"targets":[]})";
      const std::string answer =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list;
      const std::size_t piece = how == manner::dribbles ? 1 : answer.size();
      for (std::size_t at = 0; at < answer.size() && !error; at += piece) {
        co_await asio::async_write(s, asio::buffer(answer.substr(at, piece)),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (piece > 1) break;
        asio::steady_timer wait(io, 400ms);
        co_await wait.async_wait(asio::use_awaitable);
      }
    }
  }
};

// A node replaced beside that list service. Returns how long the new process took to say yes, from before its
// start; it is stopped for a while as soon as it is there, as one is that gets no processor.
std::chrono::milliseconds replaced(const Folder& f, int discovery, std::chrono::milliseconds starved = 0ms) {
  asio::io_context io;
  tcp::acceptor held(io, here);
  const std::string text = terms(held.local_endpoint().port(), discovery);
  const std::string config =
      f.write("n.json", text.substr(0, text.size() - 1) + R"(,"known":{"rev":1,"all":true,"targets":[]}})");
  ::fcntl(held.native_handle(), F_SETFD, 0);
  const auto begin = [&](int control) {
    return start(f, {},
                 {{"EDGE_CONFIG", config},
                  {"EDGE_CONTROL", "127.0.0.1:" + std::to_string(control)},
                  {"EDGE_FD", std::to_string(held.native_handle())},
                  {"TMPDIR", f.path}});
  };
  const int first_control = free_port(), second_control = free_port();
  const pid_t first = begin(first_control);
  REQUIRE(soon([&] { return says_yes(first_control); }));
  const auto since = steady::now();
  const pid_t second = begin(second_control);
  if (starved > 0ms) {
    ::kill(second, SIGSTOP);
    std::this_thread::sleep_for(starved);
    ::kill(second, SIGCONT);
  }
  REQUIRE(soon([&] { return says_yes(second_control); }));
  const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - since);
  for (const pid_t p : {first, second}) {
    ::kill(p, SIGKILL);
    ended(p);
  }
  return took;
}

}  // namespace

TEST_CASE(
    "a list with nothing new keeps no replacement waiting: it asks for the whole list, not after its file's "
    "version",
    "[processes]") {
  const Folder f;
  ListService list(ListService::manner::as_said);
  replaced(f, list.port());
  CHECK(list.whole == 1);  // the replacement alone
  CHECK_THAT(f.read("err"),
             Contains("takes over") && Contains("the list is heard") && !Contains("not heard yet"));
}

TEST_CASE(
    "a list that says nothing, or a byte now and then, holds a replacement up by the same while, starved or "
    "not",
    "[processes]") {
  const Folder f;
  ListService list(GENERATE(ListService::manner::silent, ListService::manner::dribbles));
  const auto free = replaced(f, list.port()), starved = replaced(f, list.port(), 2000ms);
  CHECK_THAT(f.read("err"), Contains("the list is not heard yet"));
  CHECK(starved < free + 1000ms);  // its wait counts from its start, not from when it came to wait
}
