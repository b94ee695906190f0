// The SQLite store of a [fleet]'s voter as commit 440b068 wrote it (tests/data/make_stores), opened by the
// present text.
#include <rapidjson/document.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <string>

#include "../src/store/store.h"

using namespace robinpin;

namespace {

const std::string recorded = ROBINPIN_SOURCE "/tests/data/stores-440b068/";

class UnpackedStore {
 public:
  UnpackedStore() {
    std::filesystem::create_directories(folder_);
    const std::string unpack = "tar -xzf " + recorded + "fleet.tar.gz -C " + folder_.string();
    REQUIRE(std::system(unpack.c_str()) == 0);
  }
  ~UnpackedStore() { std::filesystem::remove_all(folder_); }
  UnpackedStore(const UnpackedStore&) = delete;
  UnpackedStore& operator=(const UnpackedStore&) = delete;
  std::string path() const { return folder_ / "fleet.store"; }

 private:
  std::filesystem::path folder_ =
      std::filesystem::temp_directory_path() / ("robinpin-stored-fleet-" + std::to_string(::getpid()));
};

rapidjson::Document expected_content() {
  std::ifstream in(recorded + "fleet.json");
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  rapidjson::Document document;
  document.Parse(text.c_str());
  REQUIRE(document.IsObject());
  return document;
}

bool written(store::Store& store, const consensus::Change& change) {
  std::promise<bool> lasts;
  store.put(change, [&](bool good) { lasts.set_value(good); });
  return lasts.get_future().get();
}

}  // namespace

TEST_CASE("a fleet's store of 440b068 is read back whole and written on") {
  const UnpackedStore unpacked;
  const auto expected = expected_content();
  std::map<std::string, std::string> about;
  for (const auto& row : expected["about"].GetArray()) about[row[0].GetString()] = row[1].GetString();

  std::map<std::string, consensus::Slot> slots;
  for (const auto& row : expected["slots"].GetArray())
    slots[row[0].GetString()] = {{row[1].GetUint64(), row[2].GetString()},
                                 {row[3].GetUint64(), row[4].GetString()},
                                 {row[5].GetUint64(), row[6].GetString(), row[7].GetString()}};
  REQUIRE(slots.size() >= 30);
  std::map<std::string, std::uint64_t> seen;
  for (const auto& row : expected["seen"].GetArray()) seen[row[0].GetString()] = row[1].GetUint64();

  consensus::Change later;
  {
    store::Store store(unpacked.path(), expected["fleet"].GetString(), expected["voter"].GetString());
    const consensus::Memory& memory = store.memory();
    CHECK(store.again());
    CHECK(memory.store == about.at("store"));
    CHECK(memory.counter == std::stoull(about.at("counter")));
    CHECK(memory.voters.version == 1);
    CHECK(memory.voters.now.size() == 3);
    CHECK(memory.slots == slots);
    CHECK(memory.seen == seen);
    for (const auto& [name, text] : expected["registers"].GetObject())
      CHECK(memory.slots.at(name.GetString()).value.text == text.GetString());
    later.counter = memory.counter + 1;
    later.name = "written later";
    later.slot = {{500, "n1/later"}, {500, "n1/later"}, {1, "text", "n1/later#1"}};
    CHECK(written(store, later));
  }
  slots[later.name] = later.slot;
  const store::Store again(unpacked.path(), expected["fleet"].GetString(), expected["voter"].GetString());
  CHECK(again.memory().slots == slots);
  CHECK(again.memory().counter == later.counter);
  CHECK(again.memory().store == about.at("store"));
}
