#include "twins.h"

#include <fcntl.h>
#include <unistd.h>

#include <ctime>
#include <fstream>
#include <iterator>
#include <sstream>

namespace robinpin::node {

namespace {

// Locks of the open file, not of the process: what opens and closes the same file elsewhere does not lose
// them.
struct flock whole_file() {
  struct flock all {};
  all.l_type = F_WRLCK;
  all.l_whence = SEEK_SET;
  return all;
}

}  // namespace

Twins::Twins(const std::string& folder) : folder_(folder) {
  for (int slot = 0; slot < most && slot_ < 0; ++slot) {
    const int fd = ::open(file(slot).c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, 0600);
    if (fd < 0) continue;
    struct flock wanted = whole_file();
    if (::fcntl(fd, F_OFD_SETLK, &wanted) == 0) {
      lock_ = fd;
      slot_ = slot;
    } else {
      ::close(fd);
    }
  }
}

Twins::~Twins() {
  if (lock_ >= 0) ::close(lock_);
}

std::string Twins::file(int slot) const { return folder_ + "/robinpin.process." + std::to_string(slot); }

int Twins::alive() const {
  if (folder_.empty()) return 1;
  if (slot_ < 0) return 2;
  int n = 1;
  for (int slot = 0; slot < most; ++slot) {
    if (slot == slot_) continue;
    const int fd = ::open(file(slot).c_str(), O_RDWR | O_CLOEXEC | O_NOFOLLOW);
    if (fd < 0) continue;
    struct flock held = whole_file();
    n += ::fcntl(fd, F_OFD_GETLK, &held) == 0 && held.l_type != F_UNLCK;
    ::close(fd);
  }
  return n;
}

std::chrono::milliseconds age_of_process() {
  std::ifstream file("/proc/self/stat");
  const std::string told{std::istreambuf_iterator<char>(file), {}};
  const auto name_ends = told.rfind(')');  // a name may hold anything
  if (name_ends == std::string::npos) return {};
  std::istringstream fields(told.substr(name_ends + 1));
  std::string skipped;
  for (int n = 3; n < 22; ++n) fields >> skipped;
  long long started = -1;
  timespec now{};
  const long long a_second = ::sysconf(_SC_CLK_TCK);
  if (!(fields >> started) || a_second <= 0 || ::clock_gettime(CLOCK_BOOTTIME, &now) != 0) return {};
  const long long age = now.tv_sec * 1000LL + now.tv_nsec / 1'000'000 - started * 1000 / a_second;
  return std::chrono::milliseconds(age > 0 && age < 60'000 ? age
                                                           : 0);  // another clock than the kernel's, else
}

}  // namespace robinpin::node
