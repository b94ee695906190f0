// The commands that start the mesh's roles, as real processes: their names, and the deprecated ones.
#include <rapidjson/document.h>

#include "mesh_processes.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

constexpr auto time_to_start = 30s;

// How often the text stands in the file.
int count_in_file(const std::filesystem::path& file, const std::string& text) {
  std::ifstream in(file);
  const std::string content{std::istreambuf_iterator<char>(in), {}};
  int count = 0;
  for (auto at = content.find(text); at != std::string::npos; at = content.find(text, at + 1)) ++count;
  return count;
}

// Waits until the core machine is ready, and returns the role that its status names.
awaitable<std::string> role_once_ready(Core& core, int machine) {
  for (const auto until = steady::now() + time_to_start; steady::now() < until;) {
    const Answer ready = co_await core.call(machine, "GET", "/v1/readiness");
    if (ready.status == 200) break;
    co_await core.span(20ms);
  }
  const Answer status = co_await core.call(machine, "GET", "/v1/status");
  rapidjson::Document document;
  if (document.Parse(status.body.c_str()).HasParseError() || !document.HasMember("role"))
    co_return std::string();
  co_return std::string(document["role"].GetString());
}

// Starts one core machine by that command.
awaitable<void> start_by(Core& core, std::string command, std::string& role) {
  core.control_plane_command = std::move(command);
  core.begin(1);
  role = co_await role_once_ready(core, 1);
}

struct StartedRole {
  std::string role;
  int deprecation_lines = 0;
};

StartedRole start_control_plane(const std::string& command) {
  Loop loop;
  Core core(loop, std::random_device{}());
  StartedRole started;
  asio::co_spawn(loop.io, start_by(core, command, started.role), asio::detached);
  while (started.role.empty() && loop.io.run_one_for(time_to_start) > 0) {
  }
  started.deprecation_lines =
      count_in_file(core.folder() / "control-plane-1.log", "use \"robinpin control-plane\"\n");
  return started;
}

struct FinishedCommand {
  int exit_code = -1;
  int deprecation_lines = 0;
};

FinishedCommand check_sidecar_settings(const std::string& command) {
  Loop loop;
  const Core core(loop, 1);
  const std::string settings = ROBINPIN_SOURCE "/deploy/example/mesh/sidecar-1.json";
  const std::string output = core.folder() / "output";
  const std::string line = std::string(ROBINPIN_BINARY) + " " + command + " --check --settings " + settings +
                           " > /dev/null 2> " + output;
  const int status = std::system(line.c_str());
  return {WEXITSTATUS(status), count_in_file(output, "use \"robinpin sidecar\"\n")};
}

}  // namespace

TEST_GROUP(RoleCommands){};

TEST(RoleCommands, a_control_plane_started_by_its_name_serves_and_says_nothing_of_names) {
  const StartedRole started = start_control_plane("control-plane");
  STRCMP_EQUAL("control-plane", started.role.c_str());
  LONGS_EQUAL(0, started.deprecation_lines);
}

TEST(RoleCommands, a_control_plane_started_by_its_deprecated_name_serves_and_names_the_new_one_once) {
  const StartedRole started = start_control_plane("locus");
  STRCMP_EQUAL("control-plane", started.role.c_str());
  LONGS_EQUAL(1, started.deprecation_lines);
}

TEST(RoleCommands, a_sidecar_takes_its_deprecated_name_and_names_the_new_one_once) {
  const FinishedCommand by_name = check_sidecar_settings("sidecar");
  LONGS_EQUAL(0, by_name.exit_code);
  LONGS_EQUAL(0, by_name.deprecation_lines);
  const FinishedCommand by_deprecated_name = check_sidecar_settings("ambit");
  LONGS_EQUAL(0, by_deprecated_name.exit_code);
  LONGS_EQUAL(1, by_deprecated_name.deprecation_lines);
}
