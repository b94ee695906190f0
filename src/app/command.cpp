#include "command.h"

#include <string_view>

#include "commands/mesh_roles.h"
#include "commands/store_inspection.h"

namespace robinpin::app {

namespace {
constexpr std::string_view store_command = "store";
}  // namespace

bool is_mesh_command(int argc, char** argv) {
  if (argc < 2) return false;
  const std::string_view name = argv[1];
  return name == store_command || find_role_command(name);
}

int run_command(int argc, char** argv) {
  const std::string_view name = argv[1];
  if (name == store_command) return run_store_inspection(argc, argv);
  return run_role_command(*find_role_command(name), argc, argv);
}

}  // namespace robinpin::app
