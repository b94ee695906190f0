// The thread that writes records: batches, rotation, and disks that are full, slow or gone.
#include <fcntl.h>
#include <fmt/format.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <utility>

#include "records.h"

namespace robinpin::records {

namespace {

using namespace std::chrono_literals;
constexpr auto last_writes = 500ms;  // at the end
constexpr auto try_again = 500ms;    // a disk that failed
constexpr std::size_t batch = 256 * 1024;

}  // namespace

// Shared with the thread, which may hang in a write for longer than the writer lives.
struct Writer::State {
  Keeping keeping;
  std::function<std::string(int)> head;
  std::function<std::string(std::uint64_t)> lost;
  told trouble;

  std::mutex mutex;
  std::condition_variable come, gone;
  std::vector<std::string> queue;
  std::uint64_t dropped = 0;
  bool end = false, ended = false;

  // The thread's own.
  int file = -1, files = 0;
  std::size_t size = 0;
  std::uint64_t untold = 0;  // dropped lines that no record tells of yet
  std::uint64_t seen = 0;    // of `dropped`
  bool torn = false;         // the last line went out in part
  std::string failing;
  std::chrono::steady_clock::time_point not_before{};

  void fail(const char* what) {
    const std::string cause = fmt::format("{} {}: {}", what, keeping.path, std::strerror(errno));
    if (std::exchange(failing, cause) != cause) trouble("records are lost: " + cause);
    if (file >= 0) ::close(file);
    file = -1;
    not_before = std::chrono::steady_clock::now() + try_again;
  }

  bool raw(std::string_view text) {
    while (!text.empty()) {
      const auto n = ::write(file, text.data(), text.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      size += std::size_t(n);
      torn = std::size_t(n) < text.size() || text.back() != '\n';
      text.remove_prefix(std::size_t(n));
    }
    return true;
  }

  bool open() {
    file = ::open(keeping.path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (file < 0) return fail("can't open"), false;
    struct stat s {};
    size = ::fstat(file, &s) == 0 ? std::size_t(s.st_size) : 0;
    if (torn && !raw("\n")) return fail("can't write"), false;
    if (!raw(head(files++))) return fail("can't write"), false;
    return true;
  }

  void rotate() {
    ::close(file);
    file = -1;
    const auto name = [&](int n) { return n == 0 ? keeping.path : fmt::format("{}.{}", keeping.path, n); };
    for (int n = keeping.keep; n > 0; --n) std::rename(name(n - 1).c_str(), name(n).c_str());
    torn = false;
  }

  // The file may have been taken away, or its disk.
  bool still_there() const {
    struct stat here {
    }, named{};
    return ::fstat(file, &here) == 0 && ::stat(keeping.path.c_str(), &named) == 0 &&
           here.st_ino == named.st_ino && here.st_dev == named.st_dev;
  }

  // False: the lines are lost.
  bool write(const std::string& text) {
    if (std::chrono::steady_clock::now() < not_before) return false;
    if (file >= 0 && !still_there()) {
      ::close(file);
      file = -1;
      torn = false;
    }
    if (file >= 0 && size > 0 && size + text.size() > keeping.rotate_at) rotate();
    if (file < 0 && !open()) return false;
    if (untold > 0) {
      if (!raw(lost(untold))) return fail("can't write"), false;
      untold = 0;
    }
    if (!raw(text)) return fail("can't write"), false;
    if (!failing.empty()) {
      failing.clear();
      trouble("records are written again: " + keeping.path);
    }
    return true;
  }

  void write_all(const std::vector<std::string>& lines) {
    std::string text;
    std::uint64_t in_text = 0;
    const auto out = [&] {
      if (in_text > 0 && !write(text)) {
        untold += in_text;
        const std::lock_guard lock(mutex);
        dropped += in_text;
        seen += in_text;
      }
      text.clear();
      in_text = 0;
    };
    for (const std::string& line : lines) {
      if (text.size() + line.size() > std::min(batch, keeping.rotate_at)) out();
      text += line;
      ++in_text;
    }
    out();
  }
};

Writer::Writer(Keeping keeping, std::function<std::string(int)> head,
               std::function<std::string(std::uint64_t)> lost, told trouble)
    : state_(std::make_shared<State>()) {
  state_->keeping = std::move(keeping);
  state_->head = std::move(head);
  state_->lost = std::move(lost);
  state_->trouble = std::move(trouble);
  thread_ = std::thread([state = state_] { run(state); });
}

Writer::~Writer() {
  std::unique_lock lock(state_->mutex);
  state_->end = true;
  state_->come.notify_one();
  const bool ended = state_->gone.wait_for(lock, last_writes, [&] { return state_->ended; });
  lock.unlock();
  // A disk that hangs is no reason to stay.
  if (ended)
    thread_.join();
  else
    thread_.detach();
}

bool Writer::put(std::string line) {
  const std::lock_guard lock(state_->mutex);
  if (state_->queue.size() >= state_->keeping.queue) {
    ++state_->dropped;
    return false;
  }
  state_->queue.push_back(std::move(line));
  if (state_->queue.size() == state_->keeping.queue / 2) state_->come.notify_one();
  return true;
}

std::uint64_t Writer::dropped() const {
  const std::lock_guard lock(state_->mutex);
  return state_->dropped;
}

void Writer::run(std::shared_ptr<State> s) {
  // A pipe whose reader goes is a disk that fails, and no reason to end the process.
  sigset_t broken;
  sigemptyset(&broken);
  sigaddset(&broken, SIGPIPE);
  pthread_sigmask(SIG_BLOCK, &broken, nullptr);
  std::vector<std::string> lines;
  for (bool last = false; !last;) {
    {
      std::unique_lock lock(s->mutex);
      s->come.wait_for(lock, std::chrono::microseconds(s->keeping.flush),
                       [&] { return s->end || s->queue.size() >= s->keeping.queue / 2; });
      last = s->end;
      lines.swap(s->queue);
      s->untold += s->dropped - s->seen;
      s->seen = s->dropped;
    }
    if (last) s->not_before = {};
    s->write_all(lines);
    lines.clear();
  }
  if (s->file >= 0) ::close(s->file);
  const std::lock_guard lock(s->mutex);
  s->ended = true;
  s->gone.notify_one();
}

}  // namespace robinpin::records
