#include "mesh_roles.h"

#include <fmt/format.h>

#include <algorithm>
#include <argagg/argagg.hpp>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>
#include <stdexcept>
#include <string>

#include "../../log/log.h"
#include "../mesh_process.h"
#include "exit_code.h"

namespace robinpin::app {

namespace {

using bootstrap::MachineKind;

constexpr std::array role_commands = {
    RoleCommand{"sidecar", "ambit", "the mesh's role beside an application server", MachineKind::server},
    RoleCommand{"control-plane", "locus", "the mesh's role on a core machine: keeps the control state",
                MachineKind::core},
};

argagg::parser option_parser() {
  return {{
      {"help", {"-h", "--help"}, "tell the options", 0},
      {"settings", {"--settings"}, "a settings file (JSON); else as ROBINPIN_CONFIG says", 1},
      {"check", {"--check"}, "read the settings, tell every fault, and end", 0},
      {"log", {"--log"}, "debug, info, warning, error or off (default info)", 1},
      {"json", {"--log-json"}, "log as JSON lines", 0},
  }};
}

void print_help(const RoleCommand& command, const argagg::parser& parser) {
  std::ostringstream options;
  options << parser;
  fmt::print(
      "robinpin {}: {}\n\n{}\nExit codes: 0 good; 1 a fault in the settings, or the role can't start; 2 "
      "misused.\n",
      command.name, command.summary, options.str());
}

void warn_of_deprecated_name(const RoleCommand& command, std::string_view used_name) {
  if (used_name != command.deprecated_name) return;
  fmt::print(stderr,
             "robinpin {}: this name is deprecated and goes with the next release; use \"robinpin {}\"\n",
             used_name, command.name);
}

log::level parse_log_level(const std::string& text) {
  static constexpr std::array names = {"debug", "info", "warning", "error", "off"};
  const auto* const found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) throw std::invalid_argument(fmt::format("--log: \"{}\" is no level", text));
  return log::level(found - names.begin());
}

log::Manner log_options(const argagg::parser_results& arguments) {
  log::Manner manner;
  manner.json = bool(arguments["json"]);
  if (arguments["log"]) manner.least.fill(parse_log_level(arguments["log"].as<std::string>()));
  return manner;
}

// Prints every fault of the settings file, or that it has none.
int check_settings(const RoleCommand& command, const std::string& path) {
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<int> {
        BOOST_LEAF_AUTO(settings, bootstrap::load_settings(path, command.machine_kind));
        fmt::print("{}: good, {} in {}\n", bootstrap::settings_path(path), settings.node, settings.zone);
        return exit_success;
      },
      [](const storage::Error& error) {
        fmt::print(stderr, "{}: {}", error.peer, error.reason);
        return exit_failure;
      },
      [] { return exit_failure; });
}

int parse_and_run(const RoleCommand& command, int argc, char** argv) {
  argagg::parser parser = option_parser();
  const argagg::parser_results arguments = parser.parse(argc - 1, argv + 1);
  if (arguments["help"]) {
    print_help(command, parser);
    return exit_success;
  }
  if (arguments.count() > 0)
    throw std::invalid_argument(fmt::format("\"{}\" is not known", arguments.pos[0]));
  const log::Manner logging = log_options(arguments);
  Start start;
  if (arguments["settings"]) start.settings = arguments["settings"].as<std::string>();
  if (arguments["check"]) return check_settings(command, start.settings);
  log::open(logging);
  const bool is_core = command.machine_kind == MachineKind::core;
  const int exit_code = is_core ? run_control_plane(start) : run_sidecar(start);
  log::finish();
  return exit_code;
}

}  // namespace

std::optional<RoleCommand> find_role_command(std::string_view name) {
  for (const RoleCommand& command : role_commands)
    if (name == command.name || name == command.deprecated_name) return command;
  return std::nullopt;
}

int run_role_command(const RoleCommand& command, int argc, char** argv) {
  warn_of_deprecated_name(command, argv[1]);
  try {
    return parse_and_run(command, argc, argv);
  } catch (const std::exception& error) {
    fmt::print(stderr, "robinpin {}: {}\n", command.name, error.what());
    return exit_misuse;
  }
}

}  // namespace robinpin::app
