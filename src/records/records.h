// Records: facts about what a node did, one JSON object a line, written by a thread of their own so that no
// txn ever waits for a disk. Read back by read_fact(). Schema and use: docs/records.md.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "robinpin/choice.h"

namespace robinpin::records {

constexpr int schema = 1;

// Where and how much is kept.
struct Keeping {
  std::string path;                    // of the file that is written; older ones are path.1, path.2 and so on
  std::size_t rotate_at = 64UL << 20;  // bytes
  int keep = 8;                        // older files
  std::size_t queue = 65536;           // lines that wait for the disk at the most; further ones are dropped
  micros flush = 200'000;              // between writes
};

// Takes lines and writes them behind the caller's back. What can't be queued or written is dropped and
// counted, and a line says so once the disk takes lines again.
class Writer {
 public:
  using told = std::function<void(const std::string&)>;  // trouble with the disk, and its end
  // `head`: the line that each file begins with, by the file's number since this start; `lost`: the line for
  // so many dropped. All three are called from the thread, which may outlive the writer: they hold what they
  // need.
  Writer(Keeping keeping, std::function<std::string(int file)> head,
         std::function<std::string(std::uint64_t)> lost, told trouble);
  ~Writer();  // writes what waits, for half a second at the most
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  bool put(std::string line);  // with its line end; false: dropped
  std::uint64_t dropped() const;

 private:
  struct State;
  static void run(std::shared_ptr<State> state);
  std::shared_ptr<State> state_;
  std::thread thread_;
};

// How often this node had started before, by the records at that path; 0 if there are none.
int starts_before(const std::string& path);

// The facts of one node. Without a writer it is off and costs a look at a pointer.
class Facts {
 public:
  Facts() = default;
  // `now`: steady microseconds, from any thread; wall time is taken beside it.
  Facts(const Keeping& keeping, std::string node, std::function<micros()> now, Writer::told trouble);

  void names(std::vector<std::string> schemes, std::vector<std::string> tenants);
  bool on() const { return writer_ != nullptr; }
  std::uint64_t dropped() const { return writer_ ? writer_->dropped() : 0; }

  void started(const std::string& program, int tier);
  void ended(const std::string& why);
  void listed(const std::string& server, const std::string& zone, const char* state, std::int64_t version);
  void taken(const std::string& txn, int scheme, int tenant, micros left, std::string_view route);
  void limited(const std::string& txn, std::string_view route, const char* by, micros come_back);
  void posted(const std::string& txn, int posting, const std::string& server, micros wait);
  void posting_ended(const std::string& txn, int posting, const char* how, micros lag);
  void answered(const std::string& txn, const char* how, micros come_back, const char* why = "");
  void left(const std::string& txn);
  void agreed(const char* how, const std::string& what, std::int64_t version);  // among the fleet's processes
  void configured(const std::string& hash, int version, const std::string& faults);  // none: accepted

 private:
  struct Line;
  Line begin(const char* fact);
  void put(Line& line);
  std::string node_;
  int start_ = 0;
  std::uint64_t number_ = 0;
  std::function<micros()> now_;
  std::vector<std::string> schemes_, tenants_;
  std::unique_ptr<Writer> writer_;
};

// A line read back. What the fact does not have stays as it is.
struct Fact {
  std::string fact;  // "taken", "posted", ...; of a file's first line "records"
  std::string node;
  int start = 0;
  std::uint64_t number = 0;
  micros steady = 0, wall = 0;
  std::string txn, scheme, tenant, server, route, how, text;
  int posting = -1;
  micros time = -1;  // left, wait, lag or come_back
  std::int64_t version = -1;
};
// Nothing if the line is not whole, as the last one of a node that was killed, or not of this schema.
std::optional<Fact> read_fact(std::string_view line);

struct Back {
  std::vector<Fact> facts;   // in the order written
  std::uint64_t broken = 0;  // lines that could not be read
};
// All files at that path, the oldest first.
Back read_back(const std::string& path);

}  // namespace robinpin::records
