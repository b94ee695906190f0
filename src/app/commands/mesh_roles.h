// The commands that start the mesh's roles: `robinpin sidecar` and `robinpin control-plane`.
#pragma once

#include <optional>
#include <string_view>

#include "../../bootstrap/settings.h"

namespace robinpin::app {

struct RoleCommand {
  std::string_view name;
  // The name up to the last release. It still starts the role, with a line on standard error.
  std::string_view deprecated_name;
  std::string_view summary;
  bootstrap::MachineKind machine_kind;
};

// The command of that name or deprecated name, if any.
std::optional<RoleCommand> find_role_command(std::string_view name);

// Parses the arguments and runs the role until SIGTERM or SIGINT. Returns the exit code.
int run_role_command(const RoleCommand& command, int argc, char** argv);

}  // namespace robinpin::app
