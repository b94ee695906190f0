// robinpin: the commands. A bare `robinpin` serves as EDGE_* say.
#include <fcntl.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <optional>

#include "../app/command.h"
#include "../config/file.h"
#include "fleet_orders.h"
#include "node.h"

#ifndef ROBINPIN_VERSION
#define ROBINPIN_VERSION "unknown"
#endif

namespace {

using namespace robinpin;

constexpr int good = 0, faulty = 1, misused = 2;

const char* variable_of(const char* name) { return std::getenv(name); }

void print(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stdout); }
void complain(const std::string& text) { std::fwrite(text.data(), 1, text.size(), stderr); }

// The house's terms, where they are named; a fault in them is told with its file.
std::optional<read::House> house(const std::string& path) {
  try {
    return node::house_of(node::bytes_of(path, "--terms"));
  } catch (const std::exception& wrong) {
    complain(fmt::format("{}: {}\n", path, wrong.what()));
    return std::nullopt;
  }
}

int check(const std::string& file, const std::string& terms, bool json) {
  std::optional<read::House> known;
  if (!terms.empty() && !(known = house(terms))) return faulty;
  const config::Reading r = config::load(file, known ? &*known : nullptr);
  if (json) {
    print(config::json(r) + "\n");
    return r.good() ? good : faulty;
  }
  complain(config::text(file, r.faults));
  if (!r.notes.empty()) complain("cut short by the terms:\n" + config::text(file, r.notes));
  if (!r.good()) {
    complain(fmt::format("{}: {} fault{}\n", file, r.faults.size(), r.faults.size() == 1 ? "" : "s"));
    return faulty;
  }
  print(fmt::format("{}: good, {} routes, hash {}{}\n", file, r.file.routes.size(), r.file.hash,
                    known ? "" : "; not held against a house's terms (--terms)"));
  return good;
}

int explain(const std::string& file, const std::string& terms, const config::Question& txn) {
  const std::optional<read::House> known = house(terms);
  if (!known) return faulty;
  const config::Reading r = config::load(file, &*known);
  if (!r.good()) {
    complain(config::text(file, r.faults));
    return faulty;
  }
  const auto unknown = [&](const char* what, const std::string& name, const auto& names) {
    if (names.contains(name)) return false;
    std::string list;
    for (const auto& [other, none] : names) list += " " + other;
    complain(fmt::format("{}: \"{}\" is not known; the terms have{}\n", what, name,
                         list.empty() ? " none" : list));
    return true;
  };
  if (unknown("--scheme", txn.scheme, known->schemes)) return misused;
  if (!txn.tenant.empty() && unknown("--tenant", txn.tenant, known->tenants)) return misused;
  print(config::explain(r.file, *known, txn));
  return good;
}

}  // namespace

int main(int argc, char** argv) {
  // Where a standard stream is closed its number would go to a socket, and the log into that.
  for (int fd = 0; fd <= 2; ++fd)
    if (::fcntl(fd, F_GETFD) < 0) ::open("/dev/null", O_RDWR);

  if (app::is_mesh_command(argc, argv)) return app::run_command(argc, argv);

  CLI::App app{
      "robinpin, a load balancer for services that call services.\n"
      "Without a command it serves, by what EDGE_CONFIG and the other EDGE_ variables say."};
  app.require_subcommand(0, 1);
  app.footer(
      "Exit codes: 0 good; 1 a fault in a file, or the node can't start; 2 a command that is not known, or "
      "misused.\n"
      "Keys of the file: docs/configuration.md.\n"
      "Roles of the mesh: `robinpin sidecar --help`, `robinpin control-plane --help` "
      "(docs/operators/mesh.md).");

  std::string file, terms, format = "text";
  config::Question txn;

  auto* serve =
      app.add_subcommand("serve", "Serve until SIGTERM. SIGHUP reads the files again, whole or not at all.");
  serve
      ->add_option("--config", file,
                   "a file of ours (TOML): limits per route, log, records.\nWhere EDGE_CONFIG speaks too, "
                   "the stricter holds.")
      ->type_name("FILE");

  auto* checks = app.add_subcommand(
      "check", "Read a file as `serve` would and tell every fault in it, with line and column.");
  checks->add_option("file", file, "the file of ours")->required()->type_name("FILE");
  checks
      ->add_option("--terms", terms, "the node's JSON (as EDGE_CONFIG names it): checks the four rules, too")
      ->type_name("NODE.json");
  checks->add_option("--format", format, "text, or one JSON object on standard output")
      ->check(CLI::IsMember({"text", "json"}))
      ->capture_default_str();

  auto* explains = app.add_subcommand(
      "explain", "Tell which route a txn meets, each limit in force, and the line or the term that set it.");
  explains->add_option("file", file, "the file of ours")->required()->type_name("FILE");
  explains->add_option("--terms", terms, "the node's JSON")->required()->type_name("NODE.json");
  explains->add_option("--scheme", txn.scheme, "the txn's scheme")->required()->type_name("NAME");
  explains->add_option("--path", txn.path, "its path (default /)")->type_name("P");
  explains->add_option("--method", txn.method, "its method (default: that of its scheme)")->type_name("M");
  explains->add_option("--tenant", txn.tenant, "its tenant")->type_name("NAME");

  auto* fleet = app.add_subcommand("fleet", "Orders to a running node of a fleet ([fleet] in its file).");
  fleet->require_subcommand(1);
  node::FleetOrder order;
  const auto ordering = [&](const char* name, const char* help) {
    auto* c = fleet->add_subcommand(name, help);
    c->add_option("--config", order.config, "the node's file of ours")->required()->type_name("FILE");
    c->add_option("--at", order.at, "another node's fleet listener")->type_name("ADDRESS:PORT");
    c->add_flag("--json", order.json, "print one JSON object");
    c->callback([&order, name] { order.what = name; });
    return c;
  };
  ordering("init",
           "Found the fleet: the voters that the file names, each of them there, with a store of its own.");
  ordering("status", "Who votes, who is heard, and whether a majority answers (exit code 1: none).");
  auto* got = ordering("get", "Read a register, as fresh as a majority has it.");
  got->add_option("name", order.name, "the register")->required();
  auto* put = ordering("set", "Write a register, on the version that stands or on the one said.");
  put->add_option("name", order.name, "the register")->required();
  put->add_option("text", order.text, "its new text")->required();
  put->add_option("--version", order.version, "only on this version");
  auto* replaced =
      ordering("replace", "Another voter in one's place. A voter that lost its store is replaced by itself.");
  replaced->add_option("old", order.remove, "the voter that goes")->required();
  replaced->add_option("new", order.add, "the node that votes from then on")->required();
  auto* added = ordering("add", "One voter more.");
  added->add_option("new", order.add, "the node that votes from then on")->required();
  auto* removed = ordering("remove", "One voter less.");
  removed->add_option("old", order.remove, "the voter that goes")->required();
  for (auto* c : {replaced, added, removed})
    c->add_flag("--force", order.force, "also where no majority of live voters would be left");

  auto* version = app.add_subcommand("version", "Tell the version.");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& wrong) {
    const int code = app.exit(wrong);  // help goes to standard output with 0
    return code == 0 ? good : misused;
  }
  if (*version) {
    print("robinpin " ROBINPIN_VERSION "\n");
    return good;
  }
  if (*fleet) return node::run(order);
  if (*checks) return check(file, terms, format == "json");
  if (*explains) return explain(file, terms, txn);
  return node::serve(file, variable_of);
}
