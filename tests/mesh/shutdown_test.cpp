// What a process does between its SIGTERM and its SIGKILL: its times against what the rules allow, and a real
// process with an answer under way.
#include <asio.hpp>
#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include "../../src/app/mesh_process.h"
#include "../../src/app/shutdown_schedule.h"

#include <CppUTest/TestHarness.h>

using robinpin::app::ShutdownSchedule;
using namespace robinpin;
using namespace std::chrono_literals;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

constexpr std::chrono::microseconds grace_period = 4s;
constexpr std::size_t large = 8 * 1024 * 1024;  // more than the kernel takes of an answer that nobody reads

// A core, a node and its server, which answers each request at once with a large body.
class Machines {
 public:
  Machines() : acceptor_(io_) {
    char name[] = "/tmp/robinpin-shutdown-XXXXXX";
    folder_ = ::mkdtemp(name);
    core_ = start("core", "127.0.26.1", R"("first_start":true,)", app::run_control_plane);
    node_ = start("node", "127.0.26.2", node_settings, app::run_sidecar);
    const tcp::endpoint at(asio::ip::make_address("127.0.26.2"), 24'223);
    acceptor_.open(at.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(at);
    acceptor_.listen();
    server_ = std::thread([this] { serve(); });
  }
  ~Machines() {
    for (const pid_t child : {core_, node_}) {
      if (child == 0) continue;
      ::kill(child, SIGKILL);
      ::waitpid(child, nullptr, 0);
    }
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    server_.join();
    std::filesystem::remove_all(folder_);
  }
  // Asks until the answer is a success; false if none comes.
  static bool call(const char* ip, int port, const std::string& method, const std::string& path,
                   const std::string& body = "") {
    for (const auto until = steady::now() + 20s; steady::now() < until; std::this_thread::sleep_for(20ms)) {
      asio::io_context io;
      tcp::socket s(io);
      asio::error_code wrong;
      s.connect({asio::ip::make_address(ip), std::uint16_t(port)}, wrong);
      if (wrong) continue;
      const std::string head =
          fmt::format("{} {} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", method,
                      path, body.size());
      asio::write(s, asio::buffer(head + body), wrong);
      std::string answer;
      asio::read(s, asio::dynamic_buffer(answer), wrong);
      if (answer.starts_with("HTTP/1.1 2")) return true;
    }
    return false;
  }
  static constexpr int control = 24'220, outbound = 24'221, inbound = 24'222, readiness = 24'224;
  void tell_node(int signal) const { ::kill(node_, signal); }
  // Until it has ended; its status as waitpid has it.
  int wait_for_node() {
    int status = 0;
    ::waitpid(std::exchange(node_, 0), &status, 0);
    return status;
  }
  // The route "/safe/" with this deadline, as of this version.
  static bool configure(int deadline_ms, int version) {
    return call(
        "127.0.26.1", control, "POST", "/v1/Configuration.Adjust",
        fmt::format(
            R"({{"apply":{{"channels":{{"axes":["label","authority","path_prefix","mode","deadline","revision","target"],)"
            R"("records":[["r","a.example","/safe/","idempotent","{0}ms","{1:08x}","one"]]}},)"
            R"("targets":{{"axes":["label","probe","conn_limit","protocol","tls","warmup","warmup_per_s","revision"],)"
            R"("records":[["one","/probe",100,"h1",false,"3s",21.0,"{1:08x}"]]}}}},"remove":{{"channels":[]}}}})",
            deadline_ms, version));
  }
  static bool ready() {
    return configure(4'000, 1) && call("127.0.26.2", readiness, "GET", "/v1/readiness") &&
           call("127.0.26.2", control, "POST", "/v1/Servers.Heartbeat/i-1",
                R"({"target":"one","address":"127.0.26.2:24223","zone":"east","revision":"1","capacity":4,)"
                R"("state":"admitted","warmup_left":"0s","sequence":1})");
  }
  bool server_took(int requests) const {
    for (const auto until = steady::now() + 5s; taken_ < requests && steady::now() < until;)
      std::this_thread::sleep_for(5ms);
    return taken_ == requests;
  }
  void settings_of_node(const std::string& more) const {
    settings("node", "127.0.26.2", node_settings + more);
  }

 private:
  static constexpr const char* node_settings = R"("application":"127.0.26.2:24223","target":"caller",)";
  std::string settings(const std::string& name, const std::string& ip, const std::string& own) const {
    const std::string file = folder_ + "/" + name + ".json";
    std::ofstream(file) << fmt::format(
        R"({{"ip":"{0}","zone":"east",{1}"ports":{{"control":"{0}:{2}","outbound":"{0}:{3}","inbound":"{0}:{4}","readiness":"{0}:{5}"}},)"
        R"("inner_ports":[24230,24231],"seed_nodes":["127.0.26.1:{2}"],"data_dir":"{6}/{7}","beat_period":"1500ms",)"
        R"("envelope":{{"grace_period":"4000ms"}}}})",
        ip, own, int(control), int(outbound), int(inbound), int(readiness), folder_, name);
    return file;
  }
  template <typename Run>
  pid_t start(const std::string& name, const std::string& ip, const std::string& own, const Run& run) {
    const std::string file = settings(name, ip, own);
    const pid_t child = ::fork();
    if (child != 0) return child;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::_exit(run({file}));
  }
  void serve() {
    std::vector<std::thread> connections;
    for (asio::error_code wrong; !wrong;) {
      tcp::socket socket = acceptor_.accept(wrong);
      if (!wrong) connections.emplace_back([this, s = std::move(socket)]() mutable { serve(std::move(s)); });
    }
    for (auto& c : connections) c.join();
  }
  void serve(tcp::socket socket) {
    asio::error_code wrong;
    for (std::string head; asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", wrong), !wrong;
         head.clear()) {
      const std::string mark = "X-Attempt-Id: ";
      const auto at = head.find(mark);
      const std::string id =
          at == head.npos ? "" : head.substr(at + mark.size(), head.find('\r', at) - at - mark.size());
      ++taken_;
      if (head.find("silent") != head.npos) continue;  // never answered
      if (head.find("slow") != head.npos) std::this_thread::sleep_for(500ms);
      const std::size_t size = head.find("large") != head.npos ? large : 5;
      asio::write(
          socket,
          asio::buffer(fmt::format(
              "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: s\r\nContent-Length: {}\r\n\r\n{}", id,
              size, std::string(size, 'x'))),
          wrong);
    }
  }
  asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string folder_;
  pid_t core_ = 0, node_ = 0;
  std::thread server_;
  std::atomic<int> taken_ = 0;
};

struct Received {
  int status = 0;  // 0: no whole head came
  std::string body;
};

// One connection to the node, read only when `receive` says so.
class Client {
 public:
  Client() : socket_(io_) {
    socket_.open(tcp::v4());
    socket_.set_option(asio::socket_base::receive_buffer_size(128 * 1024));
    socket_.connect({asio::ip::make_address("127.0.26.2"), Machines::outbound});
  }
  void send(const std::string& path) {
    static int number = 0;
    asio::write(socket_, asio::buffer(fmt::format(
                             "GET /safe/{} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: t{}\r\n\r\n", path,
                             ++number)));
  }
  Received receive() {
    std::string text;
    asio::error_code ended;
    const std::size_t head = asio::read_until(socket_, asio::dynamic_buffer(text), "\r\n\r\n", ended);
    if (ended) return {};
    const std::string mark = "Content-Length: ";
    const std::size_t length = std::stoul(text.substr(text.find(mark) + mark.size()));
    if (const std::size_t whole = head + length; text.size() < whole)
      asio::read(socket_, asio::dynamic_buffer(text), asio::transfer_exactly(whole - text.size()), ended);
    return {std::stoi(text.substr(9, 3)), text.substr(head)};
  }

 private:
  asio::io_context io_;
  tcp::socket socket_;
};

}  // namespace

TEST_GROUP(Shutdown){};

TEST(Shutdown, requests_are_given_up_only_where_the_rules_excuse_it_and_the_process_ends_in_time) {
  constexpr std::int64_t second = 1'000'000, tick = second / 10;
  for (const std::int64_t grace : {4 * second, 6 * second, 10 * second, 30 * second}) {
    const auto s = ShutdownSchedule::within(grace);
    CHECK(s.gives_up_at > grace * 5 / 6);  // the server was at work in the last sixth
    CHECK(s.refuses_from < 3 * second);    // and the request was sent in the first three seconds
    CHECK(s.refuses_from < s.earliest_end);
    CHECK(s.gives_up_at + 2 * tick < s.latest_end);  // the answers are written
    CHECK(s.latest_end + tick < grace);
  }
}

TEST(Shutdown, a_node_ends_within_its_grace_period_and_not_before_a_slow_reader_has_its_answer) {
  Machines machines;
  CHECK(machines.ready());
  Client client;
  client.send("large");
  CHECK(machines.server_took(1));
  std::this_thread::sleep_for(100ms);
  const auto told = steady::now();
  machines.tell_node(SIGTERM);
  std::this_thread::sleep_for(2300ms);  // longer than a node stays that has nothing pending
  CHECK_EQUAL(large, client.receive().body.size());
  const int status = machines.wait_for_node();
  CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  CHECK(steady::now() - told < grace_period);
}

TEST(Shutdown, what_a_server_works_on_to_the_end_is_answered_in_the_last_sixth_of_the_grace_period) {
  Machines machines;
  CHECK(machines.ready());
  Client client;
  client.send("silent");
  CHECK(machines.server_took(1));
  const auto told = steady::now();
  machines.tell_node(SIGTERM);
  CHECK(client.receive().status >= 500);
  CHECK(steady::now() - told > grace_period * 5 / 6);
  const int status = machines.wait_for_node();
  CHECK(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  CHECK(steady::now() - told < grace_period);
}

TEST(Shutdown, a_configuration_and_new_settings_at_once_cost_no_request_and_no_connection) {
  Machines machines;
  CHECK(machines.ready());
  Client works, rests;
  rests.send("at-once");
  CHECK_EQUAL(200, rests.receive().status);
  works.send("slow");
  CHECK(machines.server_took(2));
  machines.settings_of_node(R"("zones":{"east":"home"},)");
  machines.tell_node(SIGHUP);
  CHECK(Machines::configure(3'000, 2));
  machines.tell_node(SIGHUP);
  CHECK_EQUAL(200, works.receive().status);
  std::this_thread::sleep_for(300ms);  // the node has the new configuration
  for (Client* c : {&works, &rests}) {
    c->send("at-once");
    CHECK_EQUAL(200, c->receive().status);
  }
}
