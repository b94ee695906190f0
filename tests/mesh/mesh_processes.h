// What stands beside a core of real processes (processes.h) in a whole mesh: `robinpin sidecar` sidecars,
// each with an application server that runs in the test itself, so that the test sees every request that
// arrives.
#pragma once

#include <set>

#include "../../src/net/listening.h"
#include "../../src/rpc/server.h"
#include "faulty_answers.h"
#include "processes.h"

namespace robinpin::mesh_test {

constexpr codec::Limits message_limits = {16 * 1024, 64 * 1024 * 1024};

enum class Heartbeats { automatic, by_the_test };

// An application server: answers each request with its service's name, slowly and at length where the path
// ends in "/long", at once with 8 MiB where it ends in "/large" and with 300 KB where it ends in "/medium",
// and sends heartbeats to the sidecar beside it.
class ApplicationServer {
 public:
  ApplicationServer(Loop& loop, std::string service, std::string address, std::string control,
                    std::set<std::string>& arrived, Heartbeats heartbeats = Heartbeats::automatic)
      : loop_(loop),
        acceptor_(loop.io),
        service_(std::move(service)),
        address_(std::move(address)),
        control_(std::move(control)),
        arrived_(arrived) {
    node::listen_at(acceptor_, node::endpoint_of(address_), 512);
    asio::co_spawn(
        loop.io,
        rpc::accept(acceptor_, loop.sockets, message_limits, [this](auto c) { return serve(std::move(c)); }),
        asio::detached);
    if (heartbeats == Heartbeats::automatic) asio::co_spawn(loop.io, send_heartbeats(), asio::detached);
  }
  // From now on each request gets such an answer.
  void answer_with(FaultyAnswer kind) { faulty_answer_ = kind; }
  const std::string& service() const { return service_; }
  const std::string& address() const { return address_; }

 private:
  static constexpr int long_pieces = 20;
  static constexpr std::size_t piece_size = 16'000;
  static constexpr std::size_t large_size = 8 * 1024 * 1024;
  static constexpr std::size_t medium_size = 300'000;

  awaitable<void> pause(steady::duration time) {
    asio::steady_timer timer(loop_.io, time);
    co_await timer.async_wait(asio::use_awaitable);
  }

  awaitable<void> send_heartbeats() {
    for (int sequence = 1;; ++sequence) {
      const auto c = std::make_shared<node::Connection>(tcp::socket(loop_.io), loop_.sockets, HTTP_RESPONSE,
                                                        message_limits);
      c->limit(steady::now() + 1s);
      asio::error_code error = co_await c->connect(node::endpoint_of(control_));
      const std::string body = fmt::format(
          R"({{"target":"{}","address":"{}","zone":"east","revision":"v1","capacity":32,"state":"admitted","warmup_left":"0ms","sequence":{}}})",
          service_, address_, sequence);
      const std::string head = fmt::format(
          "POST /v1/Servers.Heartbeat/i-{} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Length: "
          "{}\r\n\r\n",
          address_.substr(0, address_.find(':')), control_, body.size());
      std::size_t written = 0;
      if (!error) error = co_await c->write(head, body, written);
      if (!error) co_await c->read(error);
      co_await pause(error ? 200ms : 1500ms);
    }
  }

  awaitable<void> serve(std::shared_ptr<node::Connection> c) {
    for (;;) {
      asio::error_code error;
      if ((c->in.is_complete() ? codec::reading::complete : co_await c->read(error)) !=
          codec::reading::complete)
        co_return;
      const std::string id(c->in.header("X-Attempt-Id"));
      if (!id.empty()) arrived_.insert(id);
      const bool lasts = c->in.target().ends_with("/long");
      static const std::string large(large_size, 'x'), medium(medium_size, 'x');
      const std::string short_piece(lasts ? piece_size : 100, 'x');
      const std::string& piece = c->in.target().ends_with("/large")    ? large
                                 : c->in.target().ends_with("/medium") ? medium
                                                                       : short_piece;
      const std::string headers = fmt::format(
          "HTTP/1.1 200 OK\r\nX-Answering-Instance: i-{0}\r\nX-Attempt-Id: {1}\r\nX-Server-Seal: "
          "{2}.{3}\r\n",
          address_.substr(0, address_.find(':')), id, service_, c->in.body().size());
      if (faulty_answer_ != FaultyAnswer::none)
        co_return co_await send_faulty_answer(c, faulty_answer_, headers);
      const std::string head =
          fmt::format("{}Content-Length: {}\r\n\r\n", headers, piece.size() * (lasts ? long_pieces : 1));
      std::size_t written = 0;
      if (co_await c->write(head, piece, written)) co_return;
      for (int n = 1; lasts && n < long_pieces; ++n) {
        co_await pause(30ms);
        if (co_await c->write({}, piece, written)) co_return;
      }
      if (!c->in.keep_alive() || c->in.next() == codec::reading::malformed) co_return;
    }
  }

  Loop& loop_;
  tcp::acceptor acceptor_;
  const std::string service_, address_, control_;
  std::set<std::string>& arrived_;  // attempts that some server has read whole
  FaultyAnswer faulty_answer_ = FaultyAnswer::none;
};

// A sidecar's process with its settings file.
class Sidecar {
 public:
  Sidecar(Loop& loop, const Core& core, int n, std::string service, std::set<std::string>& arrived,
          Heartbeats heartbeats = Heartbeats::automatic)
      : loop_(loop),
        core_(core),
        ip_(core.ip(n)),
        log_(fmt::format("{}/sidecar-{}.log", core.folder().string(), n)),
        file_(fmt::format("{}/sidecar-{}.json", core.folder().string(), n)),
        daemon_(loop.io),
        server_(loop, std::move(service), at(4), at(0), arrived, heartbeats) {}

  void start() {
    write_settings();
    rehearse::Daemon::Start how;
    how.command = {ROBINPIN_BINARY, "sidecar", "--settings", file_};
    how.log = log_;
    how.sockets = file_limit;
    daemon_.start(how);
  }
  // A changed file: other seeds first, another figure.
  void change_settings() {
    ++changes_;
    write_settings();
    daemon_.tell(SIGHUP);
  }
  // How often its log tells that it took changed settings on.
  int settings_taken() const {
    std::ifstream in(log_);
    int found = 0;
    for (std::string line; std::getline(in, line);) found += line.find("changed=true") != std::string::npos;
    return found;
  }
  rehearse::Daemon& process() { return daemon_; }
  const ApplicationServer& server() const { return server_; }
  ApplicationServer& server() { return server_; }
  const std::string& ip() const { return ip_; }
  tcp::endpoint control() const { return node::endpoint_of(at(0)); }
  tcp::endpoint inbound() const { return node::endpoint_of(at(3)); }
  int memory_mb = 256, file_limit = 1024;  // as the settings say from the next start on
  tcp::endpoint outbound() const { return node::endpoint_of(at(1)); }
  tcp::endpoint readiness() const { return node::endpoint_of(at(2)); }

  // Kept by the play.
  bool serves = false;                        // it was ready, and was not killed since
  int incarnation = 0, requests_open = 0;     // of its clients
  steady::time_point disturbed_until{};       // it stood still, or was new
  std::map<std::string, std::uint64_t> seen;  // by route: the least version that its answers have shown

 private:
  std::string at(int port) const { return fmt::format("{}:{}", ip_, core_.control_port() + port); }
  void write_settings() {
    std::vector<std::string> seeds;
    for (const int s : core_.seeds())
      seeds.push_back(fmt::format("\"{}:{}\"", core_.ip(s), core_.control_port()));
    std::rotate(seeds.begin(), seeds.begin() + changes_ % std::ptrdiff_t(seeds.size()), seeds.end());
    std::ofstream(file_) << fmt::format(
        R"({{"node":"sidecar-{0}","machine_class":"auxiliary","ip":"{0}","ports":{{"control":"{1}","outbound":"{2}","readiness":"{3}","inbound":"{4}"}},)"
        R"("data_dir":null,"application":"{5}","target":"{6}","zone":"east","region":"home","zones":{{"east":"home"}},"inner_ports":[{7},{8}],)"
        R"("seed_nodes":[{9}],"first_start":true,"beat_period":"1500ms","tolerance":{{"machine_losses":1,"zones":1,"region_losses":0}},)"
        R"("saturation":{{"cpu_share":1.0,"memory_mb":{11},"file_limit":{12}}},"envelope":{{"drain":"2500ms","grace_period":"6s",)"
        R"("retry_ratio":0.2,"retry_window":"10s","retry_slack":{10},"warmup_overshoot":1.5,"warmup_slack":5,"contact":"3000ms","evacuate":"5000ms"}}}})",
        ip_, at(0), at(1), at(2), at(3), at(4), server_.service(), core_.inner_port(),
        core_.inner_port() + 15, fmt::join(seeds, ","), 60 + changes_, memory_mb, file_limit);
  }

  Loop& loop_;
  const Core& core_;
  const std::string ip_, log_, file_;
  int changes_ = 0;
  rehearse::Daemon daemon_;
  ApplicationServer server_;
};

}  // namespace robinpin::mesh_test
