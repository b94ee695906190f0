// What the cases of this review share: a mesh of the project's own processes on loopback addresses, a client,
// a stand-in application server that follows PROTOCOL.md, and the record of a run. POSIX sockets and threads
// only, so that a case needs nothing but a compiler.
#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Of a long body a server that loses its answer has read so much.
constexpr std::size_t first_part = 100'000;

// Exit codes of a case.
constexpr int rule_kept = 0, rule_broken = 1, could_not_run = 2;

// Whether the disruption is to take place: it is left out where TROUBLE=0 is set.
bool has_trouble();

// Lines of record.txt, each with the milliseconds since the start. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& file);
  void write(const std::string& line);
  std::int64_t now_ms() const;

 private:
  std::mutex mutex_;
  std::ofstream out_;
  Clock::time_point begun_ = Clock::now();
};

// A request or an answer. Names of headers are in lower case.
struct Message {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string body;
  int status() const;  // of an answer; 0: there is no complete one
  std::string header(const std::string& name) const;
  std::size_t length() const;  // of its body, as stated
};

// One TCP connection. Every call gives up at its limit.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  // Throws std::runtime_error if nobody accepts.
  Connection(const std::string& address, int port, Milliseconds limit);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  bool send(const std::string& bytes);
  // False at the end of the connection, at the limit, and on what can't be read.
  bool receive(Message& message, Milliseconds limit);
  // The same in parts: the head, then so much of the body that `message` holds `bytes` of it.
  bool receive_head(Message& message, Milliseconds limit);
  bool receive_body(Message& message, std::size_t bytes, Milliseconds limit);
  void reset();  // closes, so that the peer sees a reset
  void close();

 private:
  bool fill(Clock::time_point until);
  int descriptor_;
  std::string buffer_;
};

// The processes of a deployment: three control planes and a sidecar beside each application server.
class Mesh {
 public:
  Mesh(std::string folder, Record& record);
  ~Mesh();  // kills what still runs
  // Adds and starts a sidecar in one of the three zones whose server offers `service`; its number.
  int add_sidecar(const std::string& service, int zone);
  void start(int machine);
  void kill(int machine);  // SIGKILL, and waits for the end
  std::string address(int machine) const;
  std::string zone(int machine) const;
  int outbound_port() const { return base_port_ + 29; }
  int control_port() const { return base_port_ + 20; }
  int application_port() const { return base_port_ + 28; }
  // A call at the control port of a machine; status 0: no answer.
  Message call(int machine, const std::string& method, const std::string& path, const std::string& body,
               Milliseconds limit = Milliseconds(1000)) const;
  // Sends a configuration until it is acknowledged. Throws if that takes longer than ten seconds.
  void adjust(const std::string& body) const;
  // Waits until every sidecar is ready. Throws if that takes longer than ten seconds.
  void wait_until_ready() const;
  // Processes that ended by themselves.
  int unexpected_ends();

 private:
  void write_settings(int machine, const std::string& service) const;
  std::string folder_, network_;
  Record& record_;
  int base_port_ = 21600;
  std::map<int, pid_t> processes_;
  std::map<int, std::string> services_;  // by machine; of a control plane: empty
  std::map<int, int> zones_;             // by machine
  int next_sidecar_ = 11;
};

// How often each request has run, over all servers.
class RunCounter {
 public:
  void count(const std::string& id);
  std::map<std::string, int> all() const;

 private:
  mutable std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// An application server as PROTOCOL.md describes it. It has run a request once it has begun to work on it.
class Server {
 public:
  // What a server in trouble does about an answer.
  struct Trouble {
    // Bytes to send in the place where the next answer on the connection is expected; empty: none.
    std::function<std::string()> surplus_after_answer;
    // Whether the answer to this request is lost: the server begins to work on it once it has read
    // `first_part` bytes of the body, and then resets the connection.
    std::function<bool(const Message& head)> loses_answer;
  };

  Server(const Mesh& mesh, int machine, std::string service, Record& record, RunCounter& runs);
  ~Server();
  void start();
  void set_trouble(Trouble trouble);
  // Sends beats of their own accord, each 1.5 s, until stopped.
  void start_beats();
  void stop_beats();
  // One beat, with the next number of the sequence; its status.
  int beat();
  // A beat that was made earlier: its text, and how it is sent.
  std::string make_beat();
  int send_beat(const std::string& beat);
  int depart();
  // Ends: what it works on is lost, and no further connection is taken.
  void end();
  // Requests that it was working on as it ended.
  int lost() const { return lost_; }
  const std::string& id() const { return id_; }
  // When requests reached it, in the record's milliseconds.
  std::vector<std::int64_t> arrivals() const;

 private:
  void accept_all();
  void serve(int descriptor);
  std::string answer_to(const Message& request);
  // Begins to work before the body is complete, and resets the connection: the answer is lost.
  void lose_answer(Connection& connection, Message& request);
  bool take_slot();
  void release_slot();

  const Mesh& mesh_;
  const int machine_;
  const std::string service_, id_;
  Record& record_;
  RunCounter& runs_;
  Trouble trouble_;
  std::atomic<int> sequence_{0};
  std::atomic<bool> stopped_{false}, beats_stopped_{false}, ended_{false};
  std::atomic<int> lost_{0};
  int listener_ = -1;
  std::thread acceptor_, beater_;
  mutable std::mutex mutex_;
  std::condition_variable slot_free_;
  int working_ = 0, queued_ = 0;
  std::vector<std::int64_t> arrivals_;
};

// The configuration with one route, "/ROUTE/" of shop.example, to `service`.
std::string first_configuration(const std::string& mode, const std::string& service,
                                const std::vector<std::string>& services);

// A client's request for /ROUTE/ at shop.example.
std::string client_request(const std::string& method, const std::string& id, const std::string& body);

// Runs a case; an exception means that it could not run.
int run_case(int argc, char** argv,
             const std::function<int(const std::string& folder, Record& record)>& body);

}  // namespace review
