#include "twins.h"

#include <fcntl.h>
#include <unistd.h>

namespace robinpin::node {

namespace {

// Locks of the open file, not of the process: what opens and closes the same file elsewhere does not lose them.
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

}  // namespace robinpin::node
