#include "file_system.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace robinpin::storage {

using leveldb::Status;

namespace {

// Opens `path` and calls `operation` with the descriptor, which returns 0 or sets errno.
template <typename Operation>
Status with_open_file(const std::string& path, int flags, const Operation& operation) {
  const int descriptor = ::open(path.c_str(), flags | O_CLOEXEC);
  if (descriptor < 0) return Status::IOError(path, std::strerror(errno));
  const int error = operation(descriptor) == 0 ? 0 : errno;
  ::close(descriptor);
  return error == 0 ? Status::OK() : Status::IOError(path, std::strerror(error));
}

}  // namespace

FileSystem& FileSystem::local() {
  static FileSystem file_system;
  return file_system;
}

Status FileSystem::sync_folder(const std::string& folder) {
  return with_open_file(folder, O_RDONLY | O_DIRECTORY, [](int descriptor) { return ::fsync(descriptor); });
}

Status FileSystem::truncate_and_sync(const std::string& path, std::uint64_t size) {
  return with_open_file(path, O_WRONLY, [&](int descriptor) {
    if (::ftruncate(descriptor, off_t(size)) != 0) return -1;
    return ::fsync(descriptor);
  });
}

Status FileSystem::rewrite_and_sync(const std::string& path) {
  std::string text;
  if (Status status = leveldb::ReadFileToString(this, path, &text); !status.ok()) return status;
  return with_open_file(path, O_WRONLY, [&](int descriptor) {
    if (::pwrite(descriptor, text.data(), text.size(), 0) != ssize_t(text.size())) return -1;
    return ::fsync(descriptor);
  });
}

}  // namespace robinpin::storage
