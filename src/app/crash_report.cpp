#include "crash_report.h"

#include <unistd.h>

#include <array>
#include <atomic>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

#include "../event_log/event_log.h"

namespace robinpin::app {

namespace {

constexpr std::array fatal_signals = {SIGABRT, SIGSEGV, SIGBUS, SIGILL, SIGFPE};
constexpr std::size_t handler_stack_bytes = 64 * 1024;

std::atomic_flag is_reported = ATOMIC_FLAG_INIT;

// A line in a fixed buffer: a signal handler must not allocate.
class Line {
 public:
  Line& operator<<(std::string_view text) {
    for (const char c : text)
      if (size_ < bytes_.size()) bytes_[size_++] = c;
    return *this;
  }
  Line& operator<<(long long number) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    return *this << std::string_view(digits.data(), std::size_t(end - digits.data()));
  }
  void write() const {
    // Nobody is left to be told of a failure.
    if (::write(STDERR_FILENO, bytes_.data(), size_) < 0) return;
  }

 private:
  std::array<char, 512> bytes_{};
  std::size_t size_ = 0;
};

void report(std::string_view cause, std::string_view detail, int signal) {
  if (is_reported.test_and_set()) return;
  timespec time{};
  ::clock_gettime(CLOCK_REALTIME, &time);
  constexpr long nanoseconds_per_millisecond = 1'000'000;
  const long milliseconds = time.tv_nsec / nanoseconds_per_millisecond;
  Line line;
  line << time.tv_sec << "." << (milliseconds < 100 ? "0" : "") << (milliseconds < 10 ? "0" : "")
       << milliseconds << " error node: E" << int(event_log::EventType::process_crashed)
       << " cause=" << cause;
  if (signal != 0) line << " signal=" << signal;
  if (!detail.empty()) line << " what=" << detail;
  line << "\n";
  line.write();
}

void on_fatal_signal(int signal) {
  report("signal", {}, signal);
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

[[noreturn]] void on_terminate() {
  try {
    if (const std::exception_ptr thrown = std::current_exception()) std::rethrow_exception(thrown);
    report("terminate", {}, 0);
  } catch (const std::exception& error) {
    report("exception", error.what(), 0);
  } catch (...) {
    report("exception", "of unknown type", 0);
  }
  std::abort();
}

}  // namespace

void install_crash_report() {
  // Of its own, so that a stack that has run over can be reported.
  static std::array<char, handler_stack_bytes> stack;
  stack_t alternate{};
  alternate.ss_sp = stack.data();
  alternate.ss_size = stack.size();
  ::sigaltstack(&alternate, nullptr);
  struct sigaction action {};
  action.sa_handler = on_fatal_signal;
  action.sa_flags = SA_ONSTACK;
  for (const int signal : fatal_signals) {
    struct sigaction present {};
    // A sanitizer's own report says more.
    if (::sigaction(signal, nullptr, &present) == 0 && present.sa_handler == SIG_DFL)
      ::sigaction(signal, &action, nullptr);
  }
  std::set_terminate(on_terminate);
}

}  // namespace robinpin::app
