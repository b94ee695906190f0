// A node's throughput on one core and the latency that it adds, on loopback: this process is its clients and
// its servers, the node a child pinned to one core. Usage: node_load NODE-COMMAND [rate] [seconds]
// [connections]; rate 0: as fast as the connections ask. Prints one line: txns a second, p50 and p99 in
// microseconds, declined, failed.
#include <fcntl.h>
#include <fmt/format.h>
#include <sched.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using asio::awaitable;
using asio::use_awaitable;
using tcp = asio::ip::tcp;
using steady = std::chrono::steady_clock;

struct Figures {
  std::vector<double> us;
  std::uint64_t settled = 0, declined = 0, failed = 0;
};

awaitable<void> serve(tcp::socket s) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + std::string(64, 'x');
  asio::error_code error;
  s.set_option(tcp::no_delay(true), error);
  for (std::string in; !error;) {
    const auto n = co_await asio::async_read_until(s, asio::dynamic_buffer(in), "\r\n\r\n",
                                                   asio::redirect_error(use_awaitable, error));
    in.erase(0, n);
    if (!error)
      co_await asio::async_write(s, asio::buffer(answer), asio::redirect_error(use_awaitable, error));
  }
}

awaitable<void> accept(tcp::acceptor& a) {
  for (;;) asio::co_spawn(a.get_executor(), serve(co_await a.async_accept(use_awaitable)), asio::detached);
}

// One client; its sends are due at times of their own, and an answer's time counts from when its send was
// due.
awaitable<void> ask(tcp::endpoint to, int me, std::chrono::nanoseconds every, steady::time_point from,
                    steady::time_point until, Figures& f) {
  tcp::socket s(co_await asio::this_coro::executor);
  asio::steady_timer timer(s.get_executor());
  std::string in;
  for (int i = 0;; ++i) {
    auto due = from + i * every;
    if (every.count() == 0) due = steady::now();
    if (due >= until) co_return;
    timer.expires_at(due);
    co_await timer.async_wait(use_awaitable);
    const std::string request = fmt::format(
        "GET /api?k=a HTTP/1.1\r\nHost: b\r\nRequest-Id: {:x}-{:x}\r\nRequest-Class: view\r\n"
        "Request-Timeout-Ms: 1000\r\nContent-Length: 0\r\n\r\n",
        me, i);
    asio::error_code error;
    if (!s.is_open()) {
      in.clear();
      co_await s.async_connect(to, asio::redirect_error(use_awaitable, error));
      if (!error) s.set_option(tcp::no_delay(true), error);
    }
    if (!error)
      co_await asio::async_write(s, asio::buffer(request), asio::redirect_error(use_awaitable, error));
    std::size_t head = 0;
    if (!error)
      head = co_await asio::async_read_until(s, asio::dynamic_buffer(in), "\r\n\r\n",
                                             asio::redirect_error(use_awaitable, error));
    if (error) {
      ++f.failed;
      s.close(error);
      continue;
    }
    const auto at = in.find("Content-Length: ");
    const auto body = std::size_t(std::atoi(in.c_str() + at + 16));
    if (in.size() < head + body)
      co_await asio::async_read(s, asio::dynamic_buffer(in), asio::transfer_at_least(head + body - in.size()),
                                asio::redirect_error(use_awaitable, error));
    if (in.starts_with("HTTP/1.1 200")) {
      ++f.settled;
      f.us.push_back(std::chrono::duration<double, std::micro>(steady::now() - due).count());
    } else {
      ++f.declined;
    }
    if (in.substr(0, head).find("Connection: close") != std::string::npos) s.close(error);
    in.clear();
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "usage: node_load NODE-COMMAND [rate] [seconds] [connections]\n");
    return 2;
  }
  const double rate = argc > 2 ? std::atof(argv[2]) : 2000, seconds = argc > 3 ? std::atof(argv[3]) : 5;
  const int connections = argc > 4 ? std::atoi(argv[4]) : 32;
  asio::io_context servers{1}, clients{1};
  std::vector<tcp::acceptor> boxes;
  boxes.reserve(4);
  std::string targets;
  for (int i = 0; i < 4; ++i) {
    boxes.emplace_back(servers, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    targets += fmt::format(R"({}{{"uid":"s-{}","endpoint":"127.0.0.1:{}","state":"Ready"}})", i ? "," : "", i,
                           boxes.back().local_endpoint().port());
    asio::co_spawn(servers, accept(boxes.back()), asio::detached);
  }
  tcp::acceptor free(clients, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  const tcp::endpoint at = free.local_endpoint();
  free.close();
  std::string name = "/tmp/node_load-XXXXXX";
  ::close(::mkstemp(name.data()));
  std::ofstream(name) << fmt::format(
      R"({{"name":"n","listen":"127.0.0.1:{}","discovery":"127.0.0.1:1","seed":"1","limits":{{"sockets":1024}},)"
      R"("known":{{"rev":1,"all":true,"targets":[{}]}},"settings":{{"Schemes":[{{"Name":"view","SlaTime":500,"Expiry":1200}}],)"
      R"("Permissions":{{"MostPostings":3,"Cancel":true}},"Stages":["a","b"],"Tier":1}}}})",
      at.port(), targets);
  const pid_t node = ::fork();
  if (node == 0) {
    cpu_set_t one;
    CPU_ZERO(&one);
    CPU_SET(0, &one);
    ::sched_setaffinity(0, sizeof one, &one);
    ::setenv("EDGE_CONFIG", name.c_str(), 1);
    ::dup2(::open("/dev/null", O_WRONLY), 2);
    ::execl("/bin/sh", "sh", "-c", fmt::format("exec {}", argv[1]).c_str(), nullptr);
    ::_exit(127);
  }
  cpu_set_t others;
  CPU_ZERO(&others);
  for (int i = 1; i < 8; ++i) CPU_SET(i, &others);
  ::sched_setaffinity(0, sizeof others, &others);
  std::thread serving([&] { servers.run(); });
  for (int i = 0; i < 200; ++i) {
    tcp::socket s(clients);
    asio::error_code error;
    s.connect(at, error);
    if (!error) break;
    std::this_thread::sleep_for(10ms);
  }
  Figures warm, f;
  const std::chrono::nanoseconds every(rate > 0 ? std::int64_t(1e9 * connections / rate) : 0);
  const auto run = [&](Figures& to, double s, int first) {
    const auto begun = steady::now(), until = begun + std::chrono::microseconds(std::int64_t(s * 1e6));
    for (int c = 0; c < connections; ++c)
      asio::co_spawn(clients, ask(at, first + c, every, begun + every * c / connections, until, to),
                     asio::detached);
    clients.restart();
    clients.run();
    return std::chrono::duration<double>(steady::now() - begun).count();
  };
  run(warm, 1, 1000);
  const double took = run(f, seconds, 5000);
  ::kill(node, SIGKILL);
  ::waitpid(node, nullptr, 0);
  ::unlink(name.c_str());
  servers.stop();
  serving.join();
  std::sort(f.us.begin(), f.us.end());
  const auto q = [&](double p) {
    return f.us.empty() ? 0.0 : f.us[std::min(f.us.size() - 1, std::size_t(p * double(f.us.size())))];
  };
  fmt::print("txns/s {:.0f}  p50 {:.0f} us  p99 {:.0f} us  declined {}  failed {}\n",
             double(f.settled) / took, q(0.5), q(0.99), f.declined, f.failed);
  return f.settled > 0 ? 0 : 1;
}
