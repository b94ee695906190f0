// Dispatch of the mesh's commands.
#pragma once

namespace robinpin::app {

// Whether the first argument names a command of the mesh: a role, an alias of one, or `store`. All other
// commands are those of the load balancer (src/node/main.cpp).
bool is_mesh_command(int argc, char** argv);

// Runs the command that the first argument names; call only if is_mesh_command().
// Returns the exit code: 0 success; 1 faulty settings, a role that cannot start, or a corrupted store; 2
// misuse.
int run_command(int argc, char** argv);

}  // namespace robinpin::app
