// Exit codes of the mesh's commands.
#pragma once

namespace robinpin::app {

constexpr int exit_success = 0;
constexpr int exit_failure = 1;  // faulty settings, a role that cannot start, or a corrupted store
constexpr int exit_misuse = 2;   // unknown or malformed arguments

}  // namespace robinpin::app
