#include "store_inspection.h"

#include <fmt/format.h>

#include <algorithm>
#include <argagg/argagg.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <sstream>
#include <string>

#include "../../control_plane/persistence.h"
#include "../../storage/offline_reader.h"
#include "../../transport/address.h"
#include "exit_code.h"

namespace robinpin::app {

namespace {

using Contents = control_plane::StoreContents;

// A voter's address is its machine's number as text; anything else is printed as it stands.
std::string format_voter_address(const std::string& address) {
  try {
    return transport::format_address(gossip::Machine(std::stoul(address)));
  } catch (const std::exception&) {
    return address;
  }
}

void print_header(const Contents& contents, std::uint64_t size_on_disk) {
  const control_plane::StoreHeader& header = *contents.own;
  const auto removed = std::count_if(contents.items.begin(), contents.items.end(),
                                     [](const auto& item) { return item.dropped; });
  fmt::print("store {} of {}, counter {}, {} bytes\n", header.store,
             transport::format_address(header.machine), header.counter, size_on_disk);
  fmt::print("number {} by {}, floor {}; {} items, {} dropped\n", header.committed.number,
             header.committed.by.empty() ? "nobody" : header.committed.by, header.floor,
             contents.items.size() - std::size_t(removed), removed);
}

void print_voters(const control_plane::StoreHeader& header) {
  fmt::print("epoch {}{}\n", header.voters.version,
             header.voters.changing() ? ", a change of voters is under way" : "");
  for (const auto& voter : header.voters.now)
    fmt::print("  voter {} {}\n", format_voter_address(voter.address), voter.store);
  for (const auto& voter : header.voters.next)
    fmt::print("  next {} {}\n", format_voter_address(voter.address), voter.store);
}

void print_registers(const Contents& contents) {
  for (const auto& [name, slot] : contents.slots)
    fmt::print("register {}: promised {}, accepted {} in {} by {}\n", name, slot.promised.round,
               slot.value.version, slot.accepted.round, slot.value.by);
}

void print_items(const Contents& contents) {
  for (const auto& item : contents.items)
    fmt::print("{} {:08x} at {}{} {}\n", item.name, item.version, item.at, item.dropped ? " dropped" : "",
               item.text);
}

storage::result<int> print_contents(const storage::OfflineContents& store, bool with_items) {
  const int exit_code = store.corruption.empty() ? exit_success : exit_failure;
  BOOST_LEAF_AUTO(contents, control_plane::parse_store(store.entries));
  if (!contents.own) {
    fmt::print("empty: {} bytes\n", store.size_on_disk);
    return exit_code;
  }
  print_header(contents, store.size_on_disk);
  print_voters(*contents.own);
  print_registers(contents);
  if (with_items) print_items(contents);
  return exit_code;
}

int print_store(const storage::OfflineContents& store, bool with_items) {
  for (const auto& corruption : store.corruption) fmt::print("damaged: {}\n", corruption);
  return boost::leaf::try_handle_all([&] { return print_contents(store, with_items); },
                                     [](const storage::Error& error) {
                                       fmt::print("damaged: {} {}: {}\n", storage::to_string(error.step),
                                                  error.peer, error.reason);
                                       return exit_failure;
                                     },
                                     [] { return exit_failure; });
}

int inspect(const std::string& folder, bool with_items) {
  return boost::leaf::try_handle_all(
      [&]() -> storage::result<int> {
        BOOST_LEAF_AUTO(store, storage::read_offline(folder));
        return print_store(store, with_items);
      },
      [](const storage::Error& error) {
        fmt::print(stderr, "robinpin store: {} {}: {}\n", storage::to_string(error.step), error.peer,
                   error.reason);
        return exit_failure;
      },
      [] { return exit_failure; });
}

void print_help(const argagg::parser& parser) {
  std::ostringstream options;
  options << parser;
  fmt::print(
      "robinpin store FOLDER: what a stopped core's disk holds; nothing in it is changed\n\n{}\nExit "
      "codes: 0 good; 1 damaged, in use or none; 2 misused.\n",
      options.str());
}

}  // namespace

int run_store_inspection(int argc, char** argv) {
  argagg::parser parser{{
      {"help", {"-h", "--help"}, "tell the options", 0},
      {"items", {"--items"}, "list every item, too", 0},
  }};
  try {
    const argagg::parser_results arguments = parser.parse(argc - 1, argv + 1);
    if (arguments["help"] || arguments.count() != 1) {
      print_help(parser);
      return arguments["help"] ? exit_success : exit_misuse;
    }
    return inspect(arguments.pos[0], bool(arguments["items"]));
  } catch (const std::exception& error) {
    fmt::print(stderr, "robinpin store: {}\n", error.what());
    return exit_misuse;
  }
}

}  // namespace robinpin::app
