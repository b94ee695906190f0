#include "harness.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <stdexcept>
#include <utility>

namespace review {

namespace {

using namespace std::chrono_literals;

constexpr int capacity = 6, queue_length = 24;  // of hold-desk in SYSTEM.md, and of its site file
constexpr auto shortest_work = 50ms, longest_work = 150ms;
constexpr auto beat_period = 1500ms;
constexpr auto setup_limit = 10s;
const char* const zone_names[] = {"ruwi-hall", "seeb-hall", "qurum-hall"};

int random_below(int n) {
  thread_local std::mt19937 engine{std::random_device{}()};
  return int(engine() % unsigned(n));
}

sockaddr_in endpoint(const std::string& address, int port) {
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(std::uint16_t(port));
  inet_pton(AF_INET, address.c_str(), &to.sin_addr);
  return to;
}

int listen_at(const std::string& address, int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in at = endpoint(address, port);
  if (bind(descriptor, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
      listen(descriptor, 128) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

bool is_free(const std::string& address, int port) {
  const int descriptor = listen_at(address, port);
  if (descriptor >= 0) close(descriptor);
  return descriptor >= 0;
}

std::string lower_case(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return char(std::tolower(c)); });
  return text;
}

}  // namespace

bool has_trouble() {
  const char* value = std::getenv("TROUBLE");
  return !value || std::string(value) != "0";
}

Record::Record(const std::string& file) : out_(file) {}

std::int64_t Record::now_ms() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - begun_).count();
}

void Record::write(const std::string& line) {
  const std::lock_guard lock(mutex_);
  out_ << now_ms() << " " << line << std::endl;
}

int Message::status() const {
  return first_line.starts_with("HTTP/1.1 ") ? std::atoi(first_line.c_str() + 9) : 0;
}

std::string Message::header(const std::string& name) const {
  const auto found = headers.find(name);
  return found == headers.end() ? std::string() : found->second;
}

std::size_t Message::length() const { return std::size_t(std::atoll(header("content-length").c_str())); }

Connection::Connection(const std::string& address, int port, Milliseconds limit)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
  const sockaddr_in to = endpoint(address, port);
  int error = connect(descriptor_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 ? 0 : errno;
  if (error == EINPROGRESS) {
    pollfd ready{descriptor_, POLLOUT, 0};
    socklen_t size = sizeof error;
    if (poll(&ready, 1, int(limit.count())) == 1)
      getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
  }
  if (error != 0) {
    close();
    throw std::runtime_error("no connection to " + address);
  }
  fcntl(descriptor_, F_SETFL, 0);
  const int on = 1;
  setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection() { close(); }

void Connection::close() {
  if (descriptor_ >= 0) ::close(descriptor_);
  descriptor_ = -1;
}

bool Connection::send(const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const auto n = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += std::size_t(n);
  }
  return true;
}

bool Connection::fill(Clock::time_point until) {
  const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  pollfd ready{descriptor_, POLLIN, 0};
  if (left <= 0 || poll(&ready, 1, int(left)) != 1) return false;
  char bytes[16 * 1024];
  const auto n = recv(descriptor_, bytes, sizeof bytes, 0);
  if (n <= 0) return false;
  buffer_.append(bytes, std::size_t(n));
  return true;
}

bool Connection::receive_head(Message& message, Milliseconds limit) {
  message = {};
  const auto until = Clock::now() + limit;
  std::size_t end;
  while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    if (!fill(until)) return false;
  const std::string head = buffer_.substr(0, end + 2);
  buffer_.erase(0, end + 4);
  for (std::size_t at = 0; at < head.size();) {
    const std::size_t line_end = head.find("\r\n", at);
    const std::string line = head.substr(at, line_end - at);
    const std::size_t colon = line.find(':');
    if (at == 0)
      message.first_line = line;
    else if (colon != std::string::npos)
      message.headers[lower_case(line.substr(0, colon))] =
          line.substr(line.find_first_not_of(' ', colon + 1));
    at = line_end + 2;
  }
  return true;
}

bool Connection::receive_body(Message& message, std::size_t bytes, Milliseconds limit) {
  const auto until = Clock::now() + limit;
  while (message.body.size() < bytes) {
    if (buffer_.empty() && !fill(until)) return false;
    const std::size_t taken = std::min(bytes - message.body.size(), buffer_.size());
    message.body.append(buffer_, 0, taken);
    buffer_.erase(0, taken);
  }
  return true;
}

// The sidecar states the length of what these cases send and answer.
bool Connection::receive(Message& message, Milliseconds limit) {
  if (receive_head(message, limit) && receive_body(message, message.length(), limit)) return true;
  message = {};
  return false;
}

void Connection::reset() {
  const linger at_once{1, 0};
  setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close();
}

Mesh::Mesh(std::string folder, Record& record) : folder_(std::move(folder)), record_(record) {
  for (int i = 0; i < 200 && network_.empty(); ++i) {
    const std::string network =
        "127." + std::to_string(20 + random_below(200)) + "." + std::to_string(1 + random_below(250)) + ".";
    bool all_free = true;
    for (const int machine : {1, 2, 3, 11, 12, 13, 14, 15})
      for (const int port : {0, 20, 24, 25, 28, 29})
        all_free = all_free && is_free(network + std::to_string(machine), base_port_ + port);
    if (all_free) network_ = network;
  }
  if (network_.empty()) throw std::runtime_error("no free addresses");
  for (const int core : {1, 2, 3}) {
    services_[core] = "";
    zones_[core] = core - 1;
    mkdir((folder_ + "/data-" + std::to_string(core)).c_str(), 0755);
    write_settings(core, "");
    start(core);
  }
}

Mesh::~Mesh() {
  for (const auto& [machine, process] : processes_) {
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
  }
}

int Mesh::add_sidecar(const std::string& service, int zone) {
  const int machine = next_sidecar_++;
  zones_[machine] = zone;
  services_[machine] = service;
  write_settings(machine, service);
  start(machine);
  return machine;
}

std::string Mesh::address(int machine) const { return network_ + std::to_string(machine); }

std::string Mesh::zone(int machine) const { return zone_names[zones_.at(machine)]; }

// As DEPLOY.md has it, with the bounds of harthy-muscat in SYSTEM.md.
void Mesh::write_settings(int machine, const std::string& service) const {
  const bool is_core = service.empty();
  const auto port = [&](int offset) {
    return "\"" + address(machine) + ":" + std::to_string(base_port_ + offset) + "\"";
  };
  std::string seeds;
  for (const int core : {1, 2, 3})
    seeds += (seeds.empty() ? "\"" : ",\"") + address(core) + ":" + std::to_string(control_port()) + "\"";
  std::ofstream out(folder_ + "/settings-" + std::to_string(machine) + ".json");
  out << R"({"node":"machine-)" << machine << R"(","role":")" << (is_core ? "control-plane" : "sidecar")
      << R"(","machine_class":")" << (is_core ? "core" : "auxiliary") << R"(","serves":[")"
      << (is_core ? "supervisor" : "auxiliary") << R"("],"ip":")" << address(machine) << R"(","zone":")"
      << zone(machine) << R"(","region":"muscat","zones":{"ruwi-hall":"muscat","seeb-hall":"muscat",)"
      << R"("qurum-hall":"muscat"},"ports":{"inbound":)" << port(24) << R"(,"outbound":)" << port(29)
      << R"(,"readiness":)" << port(25) << R"(,"control":)" << port(20) << R"(},"inner_ports":[)"
      << base_port_ << "," << base_port_ + 15 << R"(],"seed_nodes":[)" << seeds
      << R"(],"first_start":true,"counts_loss":)" << (is_core ? "true" : "false")
      << R"(,"saturation":{"cpu_share":1.0,"cores":1,"memory_mb":256,"file_limit":4096,"link_mbps":1000.0,)"
      << R"("disk_mb":)" << (is_core ? 256 : 0) << R"(},"data_dir":)"
      << (is_core ? "\"" + folder_ + "/data-" + std::to_string(machine) + "\"" : "null")
      << R"(,"discovery_source":"local","ingress":"local","beat_period":"1500ms",)"
      << R"("constraints":["base","drain","config","cost","retry","recover","places"],)"
      << R"("tolerance":{"machine_losses":1,"zones":1,"region_losses":0},)"
      << R"("envelope":{"seed_lag":"3s","reuse_after":"2s","contact":"3000ms","ack":"5000ms","settle":"4s",)"
      << R"("drain":"2500ms","grace_period":"6s","loss_slack":"200ms","converge":"2500ms",)"
      << R"("revert_slack":"250ms","stretch":"8000ms","retry_ratio":0.2,"retry_window":"10s",)"
      << R"("retry_slack":60,"warmup_overshoot":1.5,"warmup_slack":5,"evacuate":"5000ms","recovery":"15s"},)"
      << R"("config_scheme":"parts")";
  if (!is_core) out << R"(,"application":)" << port(28) << R"(,"target":")" << service << "\"";
  out << "}\n";
}

// The commands of deploy/system.toml, started at the root of the repository.
void Mesh::start(int machine) {
  const std::string role = services_.at(machine).empty() ? "control-plane" : "sidecar";
  const std::string settings = folder_ + "/settings-" + std::to_string(machine) + ".json";
  const std::string log = folder_ + "/log-" + std::to_string(machine);
  const pid_t process = fork();
  if (process < 0) throw std::runtime_error("fork failed");
  if (process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);  // ends with the case, however that ends
    setenv("ROBINPIN_CONFIG", settings.c_str(), 1);
    const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(out, STDOUT_FILENO);
    dup2(out, STDERR_FILENO);
    execl("target/robinpin", "target/robinpin", role.c_str(), static_cast<char*>(nullptr));
    _exit(127);
  }
  processes_[machine] = process;
  record_.write("started " + role + " at " + address(machine));
}

void Mesh::kill(int machine) {
  ::kill(processes_.at(machine), SIGKILL);
  waitpid(processes_.at(machine), nullptr, 0);
  processes_.erase(machine);
  record_.write("killed the process at " + address(machine));
}

int Mesh::unexpected_ends() {
  int ended = 0;
  for (auto it = processes_.begin(); it != processes_.end();) {
    const bool has_ended = waitpid(it->second, nullptr, WNOHANG) == it->second;
    ended += has_ended;
    it = has_ended ? processes_.erase(it) : std::next(it);
  }
  return ended;
}

Message Mesh::call(int machine, const std::string& method, const std::string& path, const std::string& body,
                   Milliseconds limit) const {
  Message answer;
  try {
    Connection connection(address(machine), control_port(), limit);
    connection.send(method + " " + path + " HTTP/1.1\r\nHost: " + address(machine) +
                    "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                    std::to_string(body.size()) + "\r\n\r\n" + body);
    connection.receive(answer, limit);
  } catch (const std::runtime_error&) {
  }
  return answer;
}

void Mesh::adjust(const std::string& body) const {
  const auto until = Clock::now() + setup_limit;
  for (int core = 1; call(core, "POST", "/v1/Configuration.Adjust", body).status() != 200;
       core = core % 3 + 1) {
    if (Clock::now() > until) throw std::runtime_error("the configuration is not acknowledged");
    std::this_thread::sleep_for(100ms);
  }
  record_.write("configuration acknowledged: " + body);
}

void Mesh::wait_until_ready() const {
  const auto until = Clock::now() + setup_limit;
  for (const auto& [machine, service] : services_) {
    if (service.empty()) continue;
    const auto is_ready = [&, number = machine] {
      try {
        Connection connection(address(number), base_port_ + 25, 500ms);
        connection.send("GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        Message answer;
        return connection.receive(answer, 500ms) && answer.status() == 200;
      } catch (const std::runtime_error&) {
        return false;
      }
    };
    while (!is_ready()) {
      if (Clock::now() > until) throw std::runtime_error(address(machine) + " does not get ready");
      std::this_thread::sleep_for(100ms);
    }
  }
}

void RunCounter::count(const std::string& id) {
  const std::lock_guard lock(mutex_);
  ++runs_[id];
}

std::map<std::string, int> RunCounter::all() const {
  const std::lock_guard lock(mutex_);
  return runs_;
}

Server::Server(const Mesh& mesh, int machine, std::string service, Record& record, RunCounter& runs)
    : mesh_(mesh),
      machine_(machine),
      service_(std::move(service)),
      id_("i-" + std::to_string(machine) + "-" + std::to_string(random_below(1'000'000))),
      record_(record),
      runs_(runs) {}

Server::~Server() {
  stopped_ = true;
  stop_beats();
  if (listener_ >= 0) shutdown(listener_, SHUT_RDWR);
  if (acceptor_.joinable()) acceptor_.join();
  if (listener_ >= 0) close(listener_);
}

void Server::start() {
  listener_ = listen_at(mesh_.address(machine_), mesh_.application_port());
  if (listener_ < 0) throw std::runtime_error("the server's address is taken");
  acceptor_ = std::thread([this] { accept_all(); });
}

void Server::set_trouble(Trouble trouble) {
  const std::lock_guard lock(mutex_);
  trouble_ = std::move(trouble);
}

void Server::start_beats() {
  beater_ = std::thread([this] {
    while (!beats_stopped_) {
      const bool is_heard = beat() == 200;
      const auto next = Clock::now() + (is_heard ? Milliseconds(beat_period) : 200ms);
      while (!beats_stopped_ && Clock::now() < next) std::this_thread::sleep_for(20ms);
    }
  });
}

void Server::stop_beats() {
  beats_stopped_ = true;
  if (beater_.joinable()) beater_.join();
}

std::string Server::make_beat() {
  return R"({"target":")" + service_ + R"(","address":")" + mesh_.address(machine_) + ":" +
         std::to_string(mesh_.application_port()) + R"(","zone":")" + mesh_.zone(machine_) +
         R"(","revision":"v1","capacity":)" + std::to_string(capacity) +
         R"(,"state":"admitted","warmup_left":"0ms","sequence":)" + std::to_string(++sequence_) + "}";
}

int Server::send_beat(const std::string& beat) {
  return mesh_.call(machine_, "POST", "/v1/Servers.Heartbeat/" + id_, beat).status();
}

int Server::beat() { return send_beat(make_beat()); }

int Server::depart() { return mesh_.call(machine_, "POST", "/v1/Servers.Departure/" + id_, "").status(); }

void Server::end() {
  ended_ = true;
  shutdown(listener_, SHUT_RDWR);
  record_.write(id_ + " ends");
}

std::vector<std::int64_t> Server::arrivals() const {
  const std::lock_guard lock(mutex_);
  return arrivals_;
}

void Server::accept_all() {
  while (!stopped_ && !ended_) {
    const int descriptor = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) continue;
    std::thread([this, descriptor] { serve(descriptor); }).detach();
  }
}

bool Server::take_slot() {
  std::unique_lock lock(mutex_);
  if (working_ >= capacity && queued_ >= queue_length) return false;
  ++queued_;
  slot_free_.wait(lock, [this] { return working_ < capacity; });
  --queued_;
  ++working_;
  return true;
}

void Server::release_slot() {
  const std::lock_guard lock(mutex_);
  --working_;
  slot_free_.notify_one();
}

std::string Server::answer_to(const Message& request) {
  const std::string body = "done";
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("x-attempt-id") + "\r\nX-Server-Seal: " + id_ +
         "." + std::to_string(body.size()) + "\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

void Server::lose_answer(Connection& connection, Message& request) {
  if (!connection.receive_body(request, std::min(first_part, request.length()), 10s)) return;
  const std::string attempt = request.header("x-attempt-id");
  runs_.count(attempt);
  record_.write("run " + attempt + " at " + id_ + ", begun with " + std::to_string(request.body.size()) +
                " of " + std::to_string(request.length()) + " bytes");
  std::this_thread::sleep_for(longest_work);
  record_.write("connection reset, the answer to " + attempt + " is lost");
  connection.reset();
}

void Server::serve(int descriptor) {
  Connection connection(descriptor);
  std::string surplus;
  for (Message request; !stopped_ && connection.receive_head(request, 10s);) {
    bool is_lost;
    {
      const std::lock_guard lock(mutex_);
      is_lost = trouble_.loses_answer && trouble_.loses_answer(request);
    }
    if (is_lost) return lose_answer(connection, request);
    if (!connection.receive_body(request, request.length(), 10s)) return;
    const std::string attempt = request.header("x-attempt-id");
    const std::string meant = request.header("x-target-instance");
    const std::string named = attempt.empty() ? "" : "X-Attempt-Id: " + attempt + "\r\n";
    if (request.first_line.starts_with("GET /probe ")) {
      if (!connection.send("HTTP/1.1 200 OK\r\nX-Answering-Instance: " + id_ +
                           "\r\nContent-Length: 0\r\n\r\n"))
        return;
      continue;
    }
    if (!meant.empty() && meant != id_) {
      connection.send("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + named +
                      "Content-Length: 0\r\n\r\n");
      continue;
    }
    {
      const std::lock_guard lock(mutex_);
      arrivals_.push_back(record_.now_ms());
    }
    if (!take_slot()) {
      connection.send("HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n" + named + "Content-Length: 0\r\n\r\n");
      continue;
    }
    runs_.count(attempt);
    record_.write("run " + attempt + " at " + id_);
    if (!surplus.empty()) {
      record_.write("surplus bytes after an earlier answer, as " + attempt + " runs at " + id_);
      connection.send(std::exchange(surplus, {}));
    }
    const auto span = longest_work - shortest_work;
    std::this_thread::sleep_for(shortest_work + Milliseconds(random_below(int(span.count()))));
    release_slot();
    if (ended_) {
      ++lost_;
      record_.write("lost " + attempt + ", which " + id_ + " was working on as it ended");
      return connection.reset();
    }
    if (!connection.send(answer_to(request))) return;
    const std::lock_guard lock(mutex_);
    if (trouble_.surplus_after_answer) surplus = trouble_.surplus_after_answer();
  }
}

std::string first_configuration(const std::string& mode, const std::string& service,
                                const std::vector<std::string>& services) {
  std::string targets;
  for (const std::string& name : services)
    targets +=
        (targets.empty() ? "" : ",") + ("[\"" + name + R"(","/probe",120,"h1",false,"3s",5.2,"00000007"])");
  return R"({"apply":{"channels":{"axes":["label","authority","path_prefix","mode","deadline","setpoint_time",)"
         R"("rank","distribution","tries","revision","target"],"records":[["r-one","shop.example","/route/",")" +
         mode + R"(","6000ms","1000ms",1,null,2,"00000007",")" + service +
         R"("]]},"targets":{"axes":["label",)" +
         R"("probe","conn_limit","protocol","tls","warmup","warmup_per_s","revision"],"records":[)" +
         targets +
         R"(]},"saturation":{"header_bytes":16384,"body_bytes":67108864,"header":"3000ms","idle":"15000ms",)" +
         R"("revision":"00000007"}},"remove":{"channels":[]}})";
}

std::string client_request(const std::string& method, const std::string& id, const std::string& body) {
  return method + " /route/" + id + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Remaining-Ms: 6000\r\n" +
         (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

int run_case(int argc, char** argv, const std::function<int(const std::string&, Record&)>& body) {
  if (argc != 3) {
    std::cerr << "usage: " << argv[0] << " TEMPORARY-FOLDER RECORD\n";
    return could_not_run;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Record record(argv[2]);
  try {
    const int code = body(argv[1], record);
    record.write(code == rule_broken ? "the rule was broken" : code == rule_kept ? "the rule held" : "void");
    return code;
  } catch (const std::exception& error) {
    record.write(std::string("could not run: ") + error.what());
    return could_not_run;
  }
}

}  // namespace review
