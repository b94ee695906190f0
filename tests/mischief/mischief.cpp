// Loaded into a daemon of the rehearsal kit alone: its clocks run fast, slow or jump, its disk is full or
// does not sync, as the kit says in a file that both share.
#include "../../src/rehearse/mischief.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

namespace {

using robinpin::rehearse::Mischief;

const Mischief* mischief() {
  static const Mischief* shared = [] {
    const char* path = std::getenv("ROBINPIN_MISCHIEF");
    const int fd = path ? ::open(path, O_RDONLY | O_CLOEXEC) : -1;
    void* at = fd >= 0 ? ::mmap(nullptr, sizeof(Mischief), PROT_READ, MAP_SHARED, fd, 0) : MAP_FAILED;
    if (fd >= 0) ::close(fd);
    return at == MAP_FAILED ? nullptr : static_cast<const Mischief*>(at);
  }();
  return shared;
}

template <typename Call>
Call real(const char* name) {
  return reinterpret_cast<Call>(::dlsym(RTLD_NEXT, name));
}

long long nanos(const timespec& t) { return t.tv_sec * 1'000'000'000LL + t.tv_nsec; }

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* t) noexcept {
  static const auto call = real<int (*)(clockid_t, timespec*)>("clock_gettime");
  const int r = call(clock, t);
  const Mischief* m = mischief();
  if (r != 0 || !m || clock == CLOCK_PROCESS_CPUTIME_ID || clock == CLOCK_THREAD_CPUTIME_ID) return r;
  long long now = nanos(*t);
  const bool wall = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE;
  // From where the rate was set on, so that a change of it makes no jump.
  const long long since = wall ? m->wall_since : m->since;
  const long long before = wall ? m->wall_shown : m->shown;
  if (since > 0) now = before + (long long)(double(now - since) * m->rate);
  if (wall) now += m->wall_jump;
  t->tv_sec = now / 1'000'000'000;
  t->tv_nsec = now % 1'000'000'000;
  return 0;
}

int fsync(int fd) {
  static const auto call = real<int (*)(int)>("fsync");
  const Mischief* m = mischief();
  if (m && m->sync_fails) return errno = EIO, -1;
  return call(fd);
}

int fdatasync(int fd) {
  static const auto call = real<int (*)(int)>("fdatasync");
  const Mischief* m = mischief();
  if (m && m->sync_fails) return errno = EIO, -1;
  return call(fd);
}

ssize_t pwrite64(int fd, const void* from, size_t n, off64_t at) {
  static const auto call = real<ssize_t (*)(int, const void*, size_t, off64_t)>("pwrite64");
  const Mischief* m = mischief();
  if (m && m->full) return errno = ENOSPC, -1;
  return call(fd, from, n, at);
}

ssize_t pwrite(int fd, const void* from, size_t n, off_t at) { return pwrite64(fd, from, n, at); }

}  // extern "C"
