// The roles' command line.
#pragma once

namespace robinpin::app {

// Whether the words name a role of the mesh; others are the commands of before.
bool is_role(int argc, char** argv);
// Exit codes: 0 good, 1 a fault in the settings or the role can't start, 2 misused.
int run(int argc, char** argv);

}  // namespace robinpin::app
