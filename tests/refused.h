// What the platform refuses a node, as a filter of system calls: the tests' processes of the program run
// under it, so that none of these calls stays unnoticed in whichever path a test reaches (start, reload,
// records, log, the lock of two processes, long bodies).
#pragma once

#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/sched.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <vector>

namespace robinpin::help {

inline constexpr std::array refused_calls = {
    SYS_io_uring_setup, SYS_io_uring_enter, SYS_io_uring_register, SYS_splice, SYS_tee,
    SYS_vmsplice,       SYS_sendfile,       SYS_socketpair};

// From here on, in this process and what it executes: each of them, a Unix socket, and a process more (fork,
// or clone that makes no thread) ends it by SIGSYS. Threads are made by the older call, whose flags can be
// seen. False if the kernel takes no filter.
inline bool refuse_calls() {
  constexpr auto word = [](std::size_t at) {
    return sock_filter(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, std::uint32_t(at)));
  };
  constexpr auto ret = [](std::uint32_t what) { return sock_filter(BPF_STMT(BPF_RET | BPF_K, what)); };
  constexpr auto unless = [](std::uint32_t k, std::uint8_t over) {  // equal to k, so many are passed over
    return sock_filter(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, k, 0, over));
  };
  const std::size_t number = offsetof(seccomp_data, nr), first = offsetof(seccomp_data, args[0]);
  std::vector<sock_filter> f{word(number)};
  const auto ends = [&](long call) {
    f.insert(f.end(), {unless(std::uint32_t(call), 1), ret(SECCOMP_RET_KILL_PROCESS)});
  };
  for (const long call : refused_calls) ends(call);
#ifdef SYS_fork
  ends(SYS_fork);
  ends(SYS_vfork);
#endif
  f.insert(f.end(), {unless(SYS_clone3, 1), ret(SECCOMP_RET_ERRNO | ENOSYS)});
  f.insert(f.end(), {unless(SYS_clone, 4), word(first),
                     sock_filter(BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, CLONE_THREAD, 1, 0)),
                     ret(SECCOMP_RET_KILL_PROCESS), ret(SECCOMP_RET_ALLOW)});
  f.insert(f.end(), {unless(SYS_socket, 3), word(first), unless(AF_UNIX, 1), ret(SECCOMP_RET_KILL_PROCESS)});
  f.push_back(ret(SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(f.size()), f.data()};
  return ::prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         ::prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}

}  // namespace robinpin::help
