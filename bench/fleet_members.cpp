// Members of a fleet played in one process over the real talk: what a voter pays for them. Not part of the
// tests:
//   fleet_members FLEET ADDRESS:PORT PID MEMBERS BEAT_MS SECONDS
// PID is the voter's; its processor and memory are read from /proc.
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <random>
#include <sstream>
#include <vector>

#include "../src/peer/caller.h"
#include "../src/peer/wire.h"

using namespace robinpin;
using namespace std::chrono_literals;
using node::steady;

namespace {

double cpu_of(int pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string line;
  std::getline(file, line);
  std::istringstream rest(line.substr(std::min(line.size(), line.rfind(')') + 2)));
  std::vector<std::string> words{std::istream_iterator<std::string>(rest), {}};
  return words.size() < 13 ? 0
                           : (std::stod(words[11]) + std::stod(words[12])) / double(::sysconf(_SC_CLK_TCK));
}

double mib_of(int pid) {
  std::ifstream file(fmt::format("/proc/{}/statm", pid));
  double all = 0, resident = 0;
  file >> all >> resident;
  return resident * double(::sysconf(_SC_PAGESIZE)) / (1 << 20);
}

std::uint64_t answered = 0, missed = 0;
std::vector<double> took;

asio::awaitable<void> member(asio::io_context& io, std::shared_ptr<peer::Caller> voter, int n, micros every) {
  std::mt19937 draw{unsigned(n)};
  asio::steady_timer timer(io);
  members::About a;
  a.name = fmt::format("played-{}", n);
  a.incarnation = "1";
  a.hall = "ruwi";
  a.every = every;
  for (double wait = double(draw() % 1000) / 1000;; wait = 0.9 + double(draw() % 200) / 1000) {
    timer.expires_after(std::chrono::microseconds(micros(wait * double(every))));
    co_await timer.async_wait(asio::use_awaitable);
    const auto begun = steady::now();
    const std::string body = peer::text_of(a);
    const peer::Answer answer = co_await voter->call("/fleet/beat", body, begun + 1s);
    ++(answer.how == peer::came::answered && answer.status == 200 ? answered : missed);
    took.push_back(std::chrono::duration<double, std::milli>(steady::now() - begun).count());
  }
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 7) {
    fmt::print(stderr, "fleet_members FLEET ADDRESS:PORT PID MEMBERS BEAT_MS SECONDS\n");
    return 2;
  }
  const int pid = std::atoi(argv[3]), members = std::atoi(argv[4]);
  asio::io_context io(1);
  node::Sockets sockets(4096);
  for (int n = 0; n < members; ++n)
    asio::co_spawn(io,
                   member(io,
                          std::make_shared<peer::Caller>(io, sockets,
                                                         peer::Who{argv[1], fmt::format("played-{}", n), "1"},
                                                         node::endpoint_of(argv[2])),
                          n, micros(std::atoi(argv[5])) * 1000),
                   asio::detached);
  io.run_for(2s);  // all are connected
  answered = missed = 0;
  took.clear();
  const double before = cpu_of(pid);
  const auto begun = steady::now();
  io.run_for(std::chrono::seconds(std::atoi(argv[6])));
  const double span = std::chrono::duration<double>(steady::now() - begun).count();
  std::sort(took.begin(), took.end());
  fmt::print(
      "{} members: {:.4f} of a core, {:.1f} MiB, {:.0f} beats a second answered, {} missed, p50 {:.2f} ms, "
      "p99 {:.2f} ms\n",
      members, (cpu_of(pid) - before) / span, mib_of(pid), double(answered) / span, missed,
      took.empty() ? 0 : took[took.size() / 2], took.empty() ? 0 : took[took.size() * 99 / 100]);
  return 0;
}
