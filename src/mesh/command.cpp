#include "command.h"

#include <fmt/format.h>

#include <argagg/argagg.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <string_view>

#include "../log/log.h"
#include "role.h"

namespace robinpin::mesh {

namespace {
constexpr int good = 0, faulty = 1, misused = 2;

int checked(const std::string& path, bool core) {
  return boost::leaf::try_handle_all(
      [&]() -> trove::result<int> {
        BOOST_LEAF_AUTO(s, ground::load(path, core));
        fmt::print("{}: good, {} in {}\n", ground::path_told(path), s.node, s.zone);
        return good;
      },
      [](const trove::Trouble& t) {
        fmt::print(stderr, "{}: {}", t.peer, t.why);
        return faulty;
      },
      [] { return faulty; });
}
}  // namespace

bool is_role(int argc, char** argv) { return argc > 1 && (std::string_view(argv[1]) == "ambit" || std::string_view(argv[1]) == "locus"); }

int run(int argc, char** argv) {
  const bool core = std::string_view(argv[1]) == "locus";
  argagg::parser options{{
      {"help", {"-h", "--help"}, "tell the options", 0},
      {"settings", {"--settings"}, "a settings file (JSON); else as ROBINPIN_CONFIG says", 1},
      {"check", {"--check"}, "read the settings, tell every fault, and end", 0},
      {"log", {"--log"}, "debug, info, warning, error or off (default info)", 1},
      {"json", {"--log-json"}, "log as JSON lines", 0},
  }};
  try {
    const auto told = options.parse(argc - 1, argv + 1);
    if (told["help"]) {
      fmt::print("robinpin {}: {}\n\n", core ? "locus" : "ambit",
                 core ? "the mesh's role on a core machine: keeps the control state" : "the mesh's role beside an application server");
      std::ostringstream help;
      help << options;
      fmt::print("{}\nExit codes: 0 good; 1 a fault in the settings, or the role can't start; 2 misused.\n", help.str());
      return good;
    }
    if (told.count() > 0) throw std::invalid_argument(fmt::format("\"{}\" is not known", told.pos[0]));
    log::Manner manner;
    manner.json = bool(told["json"]);
    if (told["log"]) {
      const auto word = told["log"].as<std::string>();
      static constexpr std::array words = {"debug", "info", "warning", "error", "off"};
      const auto it = std::find(words.begin(), words.end(), word);
      if (it == words.end()) throw std::invalid_argument(fmt::format("--log: \"{}\" is no level", word));
      manner.least.fill(log::level(it - words.begin()));
    }
    Start start;
    if (told["settings"]) start.settings = told["settings"].as<std::string>();
    if (told["check"]) return checked(start.settings, core);
    log::open(manner);
    const int code = core ? locus(start) : ambit(start);
    log::finish();
    return code;
  } catch (const std::exception& wrong) {
    fmt::print(stderr, "robinpin {}: {}\n", argv[1], wrong.what());
    return misused;
  }
}

}  // namespace robinpin::mesh
