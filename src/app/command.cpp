#include "command.h"

#include <fmt/format.h>

#include <argagg/argagg.hpp>
#include <array>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>
#include <string_view>

#include "../control_plane/persistence.h"
#include "../log/log.h"
#include "../storage/offline_reader.h"
#include "../transport/address.h"
#include "mesh_process.h"

namespace robinpin::app {

namespace {
constexpr int good = 0, faulty = 1, misused = 2;

int checked(const std::string& path, bool core) {
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<int> {
        BOOST_LEAF_AUTO(s, bootstrap::load_settings(
                               path, core ? bootstrap::MachineKind::core : bootstrap::MachineKind::server));
        fmt::print("{}: good, {} in {}\n", bootstrap::settings_path(path), s.node, s.zone);
        return good;
      },
      [](const storage::Error& t) {
        fmt::print(stderr, "{}: {}", t.peer, t.reason);
        return faulty;
      },
      [] { return faulty; });
}

std::string machine_text(const std::string& seat_address) {
  try {
    return transport::format_address(gossip::Machine(std::stoul(seat_address)));
  } catch (const std::exception&) {
    return seat_address;
  }
}

// What a core's store holds while its process is stopped.
int told_of(const storage::OfflineContents& look, bool items) {
  for (const auto& d : look.corruption) fmt::print("damaged: {}\n", d);
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<int> {
        BOOST_LEAF_AUTO(kept, control_plane::parse_store(look.entries));
        if (!kept.own) {
          fmt::print("empty: {} bytes\n", look.size_on_disk);
          return look.corruption.empty() ? good : faulty;
        }
        const control_plane::StoreHeader& own = *kept.own;
        std::size_t dropped = 0;
        for (const auto& i : kept.items) dropped += i.dropped;
        fmt::print("store {} of {}, counter {}, {} bytes\n", own.store,
                   transport::format_address(own.machine), own.counter, look.size_on_disk);
        fmt::print("number {} by {}, floor {}; {} items, {} dropped\n", own.committed.number,
                   own.committed.by.empty() ? "nobody" : own.committed.by, own.floor,
                   kept.items.size() - dropped, dropped);
        fmt::print("epoch {}{}\n", own.voters.version,
                   own.voters.changing() ? ", a change of voters is under way" : "");
        for (const auto* seats : {&own.voters.now, &own.voters.next})
          for (const auto& s : *seats)
            fmt::print("  {} {} {}\n", seats == &own.voters.now ? "voter" : "next", machine_text(s.address),
                       s.store);
        for (const auto& [name, slot] : kept.slots)
          fmt::print("register {}: promised {}, accepted {} in {} by {}\n", name, slot.promised.round,
                     slot.value.version, slot.accepted.round, slot.value.by);
        for (const auto& i : kept.items)
          if (items)
            fmt::print("{} {:08x} at {}{} {}\n", i.name, i.version, i.at, i.dropped ? " dropped" : "",
                       i.text);
        return look.corruption.empty() ? good : faulty;
      },
      [](const storage::Error& t) {
        fmt::print("damaged: {} {}: {}\n", storage::to_string(t.step), t.peer, t.reason);
        return faulty;
      },
      [] { return faulty; });
}

int store(int argc, char** argv) {
  argagg::parser options{{
      {"help", {"-h", "--help"}, "tell the options", 0},
      {"items", {"--items"}, "list every item, too", 0},
  }};
  try {
    const auto told = options.parse(argc - 1, argv + 1);
    if (told["help"] || told.count() != 1) {
      std::ostringstream help;
      help << options;
      fmt::print(
          "robinpin store FOLDER: what a stopped core's disk holds; nothing in it is changed\n\n{}\nExit "
          "codes: 0 good; 1 damaged, in use or none; 2 misused.\n",
          help.str());
      return told["help"] ? good : misused;
    }
    return boost::leaf::try_handle_all(
        [&]() -> storage::result<int> {
          BOOST_LEAF_AUTO(look, storage::read_offline(told.pos[0]));
          return told_of(look, bool(told["items"]));
        },
        [](const storage::Error& t) {
          fmt::print(stderr, "robinpin store: {} {}: {}\n", storage::to_string(t.step), t.peer, t.reason);
          return faulty;
        },
        [] { return faulty; });
  } catch (const std::exception& wrong) {
    fmt::print(stderr, "robinpin store: {}\n", wrong.what());
    return misused;
  }
}
}  // namespace

bool is_role(int argc, char** argv) {
  if (argc < 2) return false;
  const std::string_view word = argv[1];
  return word == "ambit" || word == "locus" || word == "store";
}

int run(int argc, char** argv) {
  if (std::string_view(argv[1]) == "store") return store(argc, argv);
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
                 core ? "the mesh's role on a core machine: keeps the control state"
                      : "the mesh's role beside an application server");
      std::ostringstream help;
      help << options;
      fmt::print("{}\nExit codes: 0 good; 1 a fault in the settings, or the role can't start; 2 misused.\n",
                 help.str());
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

}  // namespace robinpin::app
