// What a process says of its resources and of its own end.
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <stdexcept>
#include <string>

#include "../../src/app/crash_report.h"
#include "../../src/app/resource_watch.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;

namespace {

// What a process that runs `end` after installing the report writes on standard error, and how it ended.
struct Ended {
  std::string text;
  int signal = 0;
};
Ended ended_by(void (*end)()) {
  int channel[2] = {};
  CHECK_EQUAL(0, ::pipe(channel));
  const pid_t child = ::fork();
  if (child == 0) {
    ::dup2(channel[1], STDERR_FILENO);
    app::install_crash_report();
    end();
    std::_Exit(0);
  }
  ::close(channel[1]);
  Ended ended;
  char bytes[512];
  for (ssize_t n; (n = ::read(channel[0], bytes, sizeof bytes)) > 0;)
    ended.text.append(bytes, std::size_t(n));
  ::close(channel[0]);
  int status = 0;
  ::waitpid(child, &status, 0);
  if (WIFSIGNALED(status)) ended.signal = WTERMSIG(status);
  return ended;
}

void throw_too_long() { throw std::runtime_error("too long"); }

}  // namespace

TEST_GROUP(ResourceWatch){};

// Guards against ends that leave no line: a kill, a fault and an exception could not be told apart.
TEST(ResourceWatch, a_process_that_crashes_says_by_what) {
  const Ended abort = ended_by([] { std::abort(); });
  CHECK_EQUAL(SIGABRT, abort.signal);
  STRCMP_CONTAINS(" error node: E106 cause=signal signal=6\n", abort.text.c_str());
  const Ended exception = ended_by([]() noexcept { throw_too_long(); });
  CHECK_EQUAL(SIGABRT, exception.signal);
  STRCMP_CONTAINS(" error node: E106 cause=exception what=too long\n", exception.text.c_str());
  STRCMP_EQUAL("", ended_by([] { std::raise(SIGKILL); }).text.c_str());
}

// Guards against a machine's memory that runs out without a word.
TEST(ResourceWatch, memory_near_its_limit_is_told_at_once_and_then_now_and_then) {
  app::ResourceWatch watch;
  app::ResourceUsage usage;
  usage.memory_limit_bytes = 1'000;
  usage.resident_bytes = 700;
  CHECK_FALSE(watch.memory_notice(1, usage).has_value());
  usage.unread_bytes = 40;
  usage.unsent_bytes = 20;
  const auto notice = watch.memory_notice(2, usage);
  CHECK(notice.has_value());
  STRCMP_CONTAINS("resident=700 unread=40 unsent=20 limit=1000", notice->text.c_str());
  CHECK_FALSE(watch.memory_notice(3, usage).has_value());
  CHECK(watch.memory_notice(10'000'002, usage).has_value());
  CHECK(app::resident_bytes() > 100'000);
}

// Guards against connections that are refused without a word.
TEST(ResourceWatch, each_span_with_refused_connections_is_told_once) {
  app::ResourceWatch watch;
  app::ResourceUsage usage;
  CHECK_FALSE(watch.descriptor_notice(1, usage).has_value());
  usage.connections_refused = 3;
  CHECK(watch.descriptor_notice(2, usage).has_value());
  usage.connections_refused = 4;
  CHECK_FALSE(watch.descriptor_notice(3, usage).has_value());
  CHECK(watch.descriptor_notice(10'000'002, usage).has_value());
  CHECK_FALSE(watch.descriptor_notice(20'000'002, usage).has_value());
}
