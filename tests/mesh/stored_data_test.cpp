// Data folders and calls recorded from commit 440b068 (tests/data/make_stores), held against the present
// text: what was stored is read back whole and written on, and a call gets the answer that it got then.
#include <fcntl.h>
#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>
#include <sys/file.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "../../src/control_plane/persistence.h"
#include "../../src/rehearse/daemon.h"
#include "../../src/transport/udp_transport.h"
#include "../../src/transport/address.h"
#include "../../src/storage/offline_reader.h"
#include "../../src/storage/leveldb_store.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace std::chrono_literals;
namespace fs = std::filesystem;

namespace {

const std::string recorded = ROBINPIN_SOURCE "/tests/data/stores-440b068/";
constexpr auto patience = 60s;  // for what has to come, under sanitizers on a busy machine too
const std::string adjust_path = "/v1/Configuration.Adjust", read_path = "/v1/Configuration.Read",
                  status_path = "/v1/status";

std::string content_of(const fs::path& file) {
  std::ifstream in(file, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

rapidjson::Document parsed(const std::string& text) {
  rapidjson::Document document;
  document.Parse(text.data(), text.size());
  return document;
}

std::string text_of(const rapidjson::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

bool same_json(const std::string& left, const std::string& right) {
  const auto a = parsed(left), b = parsed(right);
  return !a.HasParseError() && !b.HasParseError() && a == b;
}

// The pointers of a refused call's faults: what is at fault, apart from how it is worded.
std::vector<std::string> fault_pointers(const std::string& answer) {
  std::vector<std::string> pointers;
  const auto document = parsed(answer);
  if (!document.IsObject() || !document.HasMember("fault") || !document["fault"].IsArray()) return pointers;
  for (const auto& fault : document["fault"].GetArray()) pointers.emplace_back(fault["pointer"].GetString());
  return pointers;
}

// A folder with a copy of the recorded data folders.
class UnpackedStores {
 public:
  UnpackedStores() {
    std::string name = (fs::temp_directory_path() / "robinpin-stored-XXXXXX").string();
    if (!::mkdtemp(name.data())) throw std::system_error(errno, std::generic_category(), name);
    folder = name;
    const std::string unpack = "tar -xzf " + recorded + "core.tar.gz -C " + name;
    if (std::system(unpack.c_str()) != 0) throw std::runtime_error(unpack);
  }
  ~UnpackedStores() { fs::remove_all(folder); }
  UnpackedStores(const UnpackedStores&) = delete;
  UnpackedStores& operator=(const UnpackedStores&) = delete;
  std::string store(int machine) const {
    return (folder / ("locus-" + std::to_string(machine)) / "trove").string();
  }
  fs::path folder;
};

struct HttpAnswer {
  int status = 0;  // 0: none came
  std::string content_type, body;
};

// One call on a connection of its own, to "ip:port".
HttpAnswer call(const std::string& address, const std::string& method, const std::string& path,
                const std::string& body = "") {
  const auto colon = address.find(':');
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  asio::error_code error;
  const auto port = static_cast<unsigned short>(std::stoi(address.substr(colon + 1)));
  socket.connect({asio::ip::make_address(address.substr(0, colon)), port}, error);
  if (error) return {};
  const timeval limit{5, 0};
  ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  const std::string request = method + " " + path + " HTTP/1.1\r\nHost: " + address +
                              "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body;
  asio::write(socket, asio::buffer(request), error);
  std::string answer;
  std::array<char, 16384> buffer;
  for (ssize_t got = 0; (got = ::recv(socket.native_handle(), buffer.data(), buffer.size(), 0)) > 0;)
    answer.append(buffer.data(), static_cast<std::size_t>(got));
  const auto head_end = answer.find("\r\n\r\n");
  if (head_end == std::string::npos || answer.size() < 12) return {};
  const std::string head = answer.substr(0, head_end + 2), field = "\r\nContent-Type: ";
  HttpAnswer result;
  result.status = std::stoi(answer.substr(9, 3));
  if (const auto at = head.find(field); at != std::string::npos)
    result.content_type = head.substr(at + field.size(), head.find("\r\n", at + 2) - at - field.size());
  result.body = answer.substr(head_end + 4);
  return result;
}

// Looks again and again until it holds.
bool eventually(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + patience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) return false;
    std::this_thread::sleep_for(20ms);
  }
  return true;
}

// Processes at the recorded addresses, which are part of what was stored: one such system at a time on a
// machine.
class RecordedSystem {
 public:
  explicit RecordedSystem(fs::path folder) : folder_(std::move(folder)) {
    const auto lock = fs::temp_directory_path() / "robinpin-stored-data.lock";
    lock_ = ::open(lock.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0666);
    if (lock_ < 0 || ::flock(lock_, LOCK_EX) != 0)
      throw std::system_error(errno, std::generic_category(), lock.string());
  }
  ~RecordedSystem() {
    kill_all();
    ::close(lock_);
  }
  RecordedSystem(const RecordedSystem&) = delete;
  RecordedSystem& operator=(const RecordedSystem&) = delete;

  // With settings as recorded, whose `data_dir` is relative to the folder.
  void start(const rapidjson::Value& recorded_settings) {
    rapidjson::Document settings;
    settings.CopyFrom(recorded_settings, settings.GetAllocator());
    const std::string name = settings["node"].GetString();
    if (settings["data_dir"].IsString())
      settings["data_dir"].SetString((folder_ / settings["data_dir"].GetString()).c_str(),
                                     settings.GetAllocator());
    const std::string file = (folder_ / (name + ".json")).string();
    std::ofstream(file) << text_of(settings);
    rehearse::Daemon::Start how;
    const bool is_core = std::string_view(settings["machine_class"].GetString()) == "core";
    how.command = {ROBINPIN_BINARY, is_core ? "control-plane" : "sidecar", "--settings", file};
    how.log = (folder_ / (name + ".log")).string();
    daemons_.push_back(std::make_unique<rehearse::Daemon>(io_));
    daemons_.back()->start(how);
  }
  void kill_all() {
    for (auto& daemon : daemons_) daemon->tell(SIGKILL);
    daemons_.clear();
  }
  bool all_run() {
    return std::all_of(daemons_.begin(), daemons_.end(), [](auto& daemon) { return daemon->running(); });
  }

 private:
  asio::io_context io_{1};
  fs::path folder_;
  int lock_ = -1;
  std::vector<std::unique_ptr<rehearse::Daemon>> daemons_;
};

std::string control_address(const rapidjson::Value& settings) {
  return settings["ports"]["control"].GetString();
}

std::string route(const std::string& label, int version) {
  return R"({"apply":{"channels":{"axes":["label","authority","path_prefix","mode","deadline","revision","target"],)"
         R"("records":[[")" +
         label + R"(","later.example","/","idempotent","4000ms","0000000)" + std::to_string(version) +
         R"(","service-1"]]}}})";
}

bool has_route(const std::string& configuration, const std::string& label) {
  return configuration.find("[\"" + label + "\",") != std::string::npos;
}

}  // namespace

TEST_GROUP(StoredData){};

TEST(StoredData, core_stores_are_read_back_whole) {
  const UnpackedStores stores;
  const auto expected = parsed(content_of(recorded + "core.json"));
  CHECK(expected.IsObject());
  for (const auto& machine : expected["machines"].GetArray()) {
    const bool is_read = boost::leaf::try_handle_all(
        [&]() -> storage::result<bool> {
          BOOST_LEAF_AUTO(store, storage::open_leveldb_store(stores.store(machine["machine"].GetInt())));
          BOOST_LEAF_AUTO(pairs, store->read_all());
          BOOST_LEAF_AUTO(kept, control_plane::parse_store(pairs));
          CHECK(kept.own.has_value());
          STRCMP_EQUAL(machine["store"].GetString(), kept.own->store.c_str());
          STRCMP_EQUAL(machine["settings"]["ip"].GetString(),
                       transport::format_address(kept.own->machine).c_str());
          LONGS_EQUAL(machine["number"].GetUint64(), kept.own->committed.number);
          LONGS_EQUAL(machine["floor"].GetUint64(), kept.own->floor);
          LONGS_EQUAL(machine["epoch"].GetUint64(), kept.own->voters.version);
          CHECK(kept.own->counter > 0);
          CHECK(kept.slots.contains(std::string(consensus::voters_register)));
          const auto& voters = expected["voters"];
          LONGS_EQUAL(voters.Size(), kept.own->voters.now.size());
          CHECK(kept.own->voters.next.empty());
          for (const auto& voter : voters.GetArray()) {
            const consensus::Seat* seat = kept.own->voters.seat(voter["store"].GetString());
            CHECK(seat != nullptr);
            STRCMP_EQUAL(voter["machine"].GetString(),
                         transport::format_address(gossip::Machine(std::stoul(seat->address))).c_str());
          }
          const auto& items = expected["items"];
          LONGS_EQUAL(items.Size(), kept.items.size());
          std::map<std::string, configuration::VersionedItem> by_name;
          for (const auto& item : kept.items) by_name[item.name] = item;
          for (const auto& item : items.GetArray()) {
            const configuration::VersionedItem wanted{item["name"].GetString(), item["version"].GetUint64(),
                                                      item["dropped"].GetBool(), item["text"].GetString(),
                                                      item["at"].GetUint64()};
            const auto found = by_name.find(wanted.name);
            CHECK_TEXT(found != by_name.end() && found->second == wanted, wanted.name.c_str());
          }
          return true;
        },
        [](const storage::Error& trouble) {
          FAIL((storage::to_string(trouble.step) + std::string(" ") + trouble.peer + ": " + trouble.reason)
                   .c_str());
          return false;
        },
        [] { return false; });
    CHECK(is_read);
  }
}

TEST(StoredData, the_recorded_core_has_what_this_test_is_for) {
  const auto expected = parsed(content_of(recorded + "core.json"));
  int standing = 0, dropped = 0, evacuations = 0;
  for (const auto& item : expected["items"].GetArray()) {
    (item["dropped"].GetBool() ? dropped : standing) += 1;
    evacuations += std::string_view(item["name"].GetString()).starts_with(configuration::evacuation_prefix);
  }
  CHECK(standing >= 250);
  CHECK(dropped >= 80);
  CHECK(evacuations >= 2);
  for (const auto& machine : expected["machines"].GetArray()) CHECK(machine["epoch"].GetInt() >= 3);
}

TEST(StoredData, the_store_command_finds_no_damage) {
  const UnpackedStores stores;
  for (const int machine : {1, 2, 4}) {
    const std::string command =
        std::string(ROBINPIN_BINARY) + " store " + stores.store(machine) + " > /dev/null";
    LONGS_EQUAL(0, std::system(command.c_str()));
  }
}

TEST(StoredData, core_machines_go_on_with_the_stores_and_keep_what_they_write) {
  const UnpackedStores stores;
  const auto expected = parsed(content_of(recorded + "core.json"));
  const std::string configuration = text_of(expected["read"]);
  const auto& machines = expected["machines"];
  RecordedSystem system(stores.folder);
  const auto start_all = [&] {
    for (const auto& machine : machines.GetArray()) system.start(machine["settings"]);
  };
  const auto reads = [&](const rapidjson::Value& machine, const std::function<bool(const std::string&)>& is) {
    return eventually([&] {
      const HttpAnswer read = call(control_address(machine["settings"]), "GET", read_path);
      return read.status == 200 && is(read.body);
    });
  };
  start_all();
  for (const auto& machine : machines.GetArray()) {
    const std::string address = control_address(machine["settings"]);
    CHECK(eventually([&] { return call(address, "GET", read_path).status == 200; }));
    CHECK(same_json(configuration, call(address, "GET", read_path).body));
    CHECK(eventually([&] {
      const auto status = parsed(call(address, "GET", status_path).body);
      return status.IsObject() && status["votes"].GetBool();
    }));
    const auto status = parsed(call(address, "GET", status_path).body);
    STRCMP_EQUAL(machine["store"].GetString(), status["store"].GetString());
    LONGS_EQUAL(machine["epoch"].GetUint64(), status["epoch"].GetUint64());
    CHECK(!fs::exists(stores.store(machine["machine"].GetInt()) + ".aside"));
  }

  // A name dropped in a later version does not come back; a new one is taken.
  const std::string address = control_address(machines[0]["settings"]);
  LONGS_EQUAL(200, call(address, "POST", adjust_path, route("route-000", 4)).status);
  CHECK(same_json(configuration, call(address, "GET", read_path).body));
  LONGS_EQUAL(200, call(address, "POST", adjust_path, route("written-later", 1)).status);
  const auto has_new = [](const std::string& read) { return has_route(read, "written-later"); };
  for (const auto& machine : machines.GetArray()) CHECK(reads(machine, has_new));
  CHECK(system.all_run());

  system.kill_all();
  start_all();
  for (const auto& machine : machines.GetArray()) {
    CHECK(reads(machine, has_new));
    CHECK(reads(machine, [](const std::string& read) { return !has_route(read, "route-000"); }));
  }
}

TEST(StoredData, recorded_calls_get_the_answers_that_they_got) {
  const UnpackedStores stores;
  fs::remove_all(stores.folder / "locus-1");  // these machines begin with empty disks
  fs::remove_all(stores.folder / "locus-2");
  const auto wire = parsed(content_of(recorded + "wire.json"));
  CHECK(wire.IsObject());
  RecordedSystem system(stores.folder);
  for (const auto& settings : wire["settings"].GetObject()) system.start(settings.value);
  for (const auto& exchange : wire["calls"].GetArray()) {
    const std::string method = exchange["method"].GetString(), path = exchange["path"].GetString();
    const std::string body = exchange["body"].IsString() ? exchange["body"].GetString() : "";
    HttpAnswer answer;
    CHECK(eventually([&] {
      answer = call(exchange["address"].GetString(), method, path, body);
      return answer.status != 0 && answer.status != 503;
    }));
    const std::string told = method + " " + path + " " + body;
    LONGS_EQUAL_TEXT(exchange["status"].GetInt(), answer.status, told.c_str());
    STRCMP_EQUAL_TEXT(exchange["content_type"].GetString(), answer.content_type.c_str(), told.c_str());
    const std::string before = exchange["answer"].GetString();
    if (answer.status == 200)
      CHECK_TEXT(same_json(before, answer.body), told.c_str());
    else
      CHECK_TEXT(fault_pointers(before) == fault_pointers(answer.body), told.c_str());
  }
}
