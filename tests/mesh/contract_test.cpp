// The contracts of stores and transports, whatever implements them; datagrams on the wire; the event log.
#include <fstream>
#include <filesystem>
#include <regex>
#include <set>
#include <sstream>

#include "../../src/event_log/event_log.h"
#include "../../src/transport/address.h"
#include "../../src/transport/simulated_network.h"
#include "../../src/transport/udp_transport.h"
#include "../../src/storage/leveldb_store.h"
#include "../../src/storage/memory_store.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

using storage::KeyValueStore;
using Durability = KeyValueStore::Durability;

class TemporaryFolder {
 public:
  TemporaryFolder() {
    char name[] = "/tmp/robinpin-trove-XXXXXX";
    path_ = ::mkdtemp(name);
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string store_path() const { return path_ + "/t"; }

 private:
  std::string path_;
};

void write(KeyValueStore& store, const KeyValueStore::WriteBatch& batch, Durability durability) {
  STRCMP_EQUAL("", trouble_of<void>([&] { return store.write(batch, durability); }).c_str());
}

// The contract of every store. `open` opens the same one as the next run of a process would.
void check_store_contract(const std::function<std::unique_ptr<KeyValueStore>()>& open) {
  const std::string odd_value("\0 odd \xff bytes", 13), odd_key("k\0k", 3);
  const std::string large_value(100'000, 'x');
  {
    const auto store = open();
    write(*store, {{{"a", "1"}, {"b", odd_value}, {"c", "removed"}}, {}}, Durability::synced);
    write(*store, {{{"d", "unsynced"}, {"e", "removed"}}, {"c", "never there"}}, Durability::unsynced);
    write(*store, {{{"a", "2"}, {odd_key, large_value}, {"f", "removed by the same"}}, {"e", "f"}},
          Durability::synced);
  }
  const auto store = open();
  std::vector<KeyValueStore::Entry> entries;
  const std::string error = trouble_of<void>([&]() -> storage::result<void> {
    BOOST_LEAF_ASSIGN(entries, store->read_all());
    BOOST_LEAF_AUTO(size, store->size_on_disk());
    CHECK(size > 0 && size < 1'000'000);
    return {};
  });
  STRCMP_EQUAL("", error.c_str());
  CHECK(entries == std::vector<KeyValueStore::Entry>(
                       {{"a", "2"}, {"b", odd_value}, {"d", "unsynced"}, {odd_key, large_value}}));
}

// The contract of every transport. `wait_until` lets time pass until the condition holds.
void check_transport_contract(transport::DatagramTransport& a, transport::Machine address_a,
                              transport::DatagramTransport& b, transport::Machine address_b,
                              const std::function<void(const std::function<bool()>&)>& wait_until) {
  constexpr std::size_t common_size = 1'200;
  std::vector<std::pair<transport::Machine, std::string>> received_by_a, received_by_b;
  a.set_handler([&](transport::Machine sender, std::string_view datagram) {
    received_by_a.emplace_back(sender, datagram);
  });
  b.set_handler([&](transport::Machine sender, std::string_view datagram) {
    received_by_b.emplace_back(sender, datagram);
  });
  const std::string odd_bytes("\0\xff\r\n", 4);
  a.send(address_b, odd_bytes);
  a.send(address_b, std::string(common_size, 'y'));
  a.send(address_b, std::string(gossip::longest_datagram + 1, 'z'));  // dropped
  b.send(address_a, "back");
  wait_until([&] { return received_by_a.size() >= 1 && received_by_b.size() >= 2; });
  CHECK_EQUAL(1, received_by_a.size());
  CHECK(received_by_a[0] == std::make_pair(address_b, std::string("back")));
  CHECK_EQUAL(2, received_by_b.size());
  std::set<std::size_t> sizes;
  for (const auto& [sender, datagram] : received_by_b) {
    CHECK_EQUAL(address_a, sender);
    sizes.insert(datagram.size());
  }
  CHECK(sizes == std::set<std::size_t>({odd_bytes.size(), common_size}));
}

}  // namespace

TEST_GROUP(Storage){};

TEST(Storage, the_memory_store_keeps_writes_over_a_restart) {
  const auto disk = std::make_shared<storage::MemoryStore::Disk>();
  check_store_contract([&] { return std::make_unique<storage::MemoryStore>(disk); });
}

TEST(Storage, the_memory_store_loses_only_unsynced_writes_with_power) {
  const auto disk = std::make_shared<storage::MemoryStore::Disk>();
  storage::MemoryStore store(disk);
  write(store, {{{"a", "x"}}, {}}, Durability::unsynced);
  write(store, {{{"b", "x"}}, {}}, Durability::synced);
  write(store, {{{"c", "x"}}, {}}, Durability::unsynced);
  CHECK_EQUAL(3, disk->written.size());
  disk->lose_power();
  CHECK(disk->written == (std::map<std::string, std::string>{{"a", "x"}, {"b", "x"}}));
}

TEST(Storage, the_store_on_disk_keeps_writes_over_a_restart) {
  const TemporaryFolder folder;
  check_store_contract([&] {
    std::unique_ptr<KeyValueStore> store;
    const std::string error = trouble_of<void>([&]() -> storage::result<void> {
      BOOST_LEAF_ASSIGN(store, storage::open_leveldb_store(folder.store_path()));
      return {};
    });
    STRCMP_EQUAL("", error.c_str());
    return store;
  });
}

TEST(Storage, opening_a_folder_that_is_a_file_fails_with_step_and_peer) {
  const TemporaryFolder folder;
  std::ofstream(folder.store_path()) << "x";
  const std::string error = trouble_of<std::unique_ptr<KeyValueStore>>(
      [&] { return storage::open_leveldb_store(folder.store_path()); });
  CHECK(error.starts_with("open|" + folder.store_path() + "|"));
}

TEST_GROUP(Transport){};

TEST(Transport, the_simulated_transport_delivers_datagrams_unaltered_with_their_sender) {
  transport::SimulatedNetwork network(1);
  transport::SimulatedTransport a(network, 1), b(network, 2);
  check_transport_contract(a, 1, b, 2, [&](const auto&) { network.advance_to(1'000'000); });
}

TEST(Transport, the_udp_transport_delivers_datagrams_unaltered_with_their_sender) {
  asio::io_context io;
  std::unique_ptr<transport::UdpTransport> a, b;
  const auto address_a = transport::parse_address("127.0.21.1"),
             address_b = transport::parse_address("127.0.21.2");
  for (std::uint16_t port = 21'000; !b && port < 21'400; ++port) {  // one that is free at both
    a.reset();
    trouble_of<void>([&]() -> storage::result<void> {
      BOOST_LEAF_ASSIGN(a, transport::UdpTransport::open(io, address_a, port));
      BOOST_LEAF_ASSIGN(b, transport::UdpTransport::open(io, address_b, port));
      return {};
    });
  }
  CHECK(a && b);
  check_transport_contract(*a, address_a, *b, address_b, [&](const std::function<bool()>& is_done) {
    while (!is_done()) io.run_one_for(std::chrono::seconds(5));
  });
}

TEST(Transport, binding_an_address_in_use_fails_with_step_and_peer) {
  asio::io_context io;
  const auto address = transport::parse_address("127.0.21.3");
  std::unique_ptr<transport::UdpTransport> first;
  std::string error;
  for (std::uint16_t port = 21'400; error.empty() && port < 21'800; ++port) {
    first.reset();
    trouble_of<void>([&]() -> storage::result<void> {
      BOOST_LEAF_ASSIGN(first, transport::UdpTransport::open(io, address, port));
      return {};
    });
    if (!first) continue;
    error = trouble_of<std::unique_ptr<transport::UdpTransport>>(
        [&] { return transport::UdpTransport::open(io, address, port); });
  }
  CHECK(error.starts_with("bind|127.0.21.3:"));
}

TEST_GROUP(Wire){};

TEST(Wire, a_datagram_that_is_cut_short_or_lies_about_a_length_is_dropped) {
  gossip::UpdateMessage news;
  news.items.push_back({"c/a", 7, false, "text"});
  news.records.push_back({});
  const std::string good = gossip::written(gossip::kind::news, news);
  CHECK(gossip::read<gossip::UpdateMessage>(good).has_value());
  for (std::size_t n = 0; n < good.size(); ++n)
    CHECK_FALSE(gossip::read<gossip::UpdateMessage>(good.substr(0, n)).has_value());
  std::string lies = good;
  for (std::size_t i = 1; i < 9; ++i) lies[i] = char(0x7f);
  CHECK_FALSE(gossip::read<gossip::UpdateMessage>(lies).has_value());
}

TEST_GROUP(EventLog){};

namespace {

std::string read_text(const char* path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

// "number name" of each match, whose groups are the name and the number.
std::set<std::string> find_events(const std::string& text, const std::regex& pattern) {
  std::set<std::string> events;
  for (std::sregex_iterator match(text.begin(), text.end(), pattern), end; match != end; ++match)
    events.insert((*match)[2].str() + " " + (*match)[1].str());
  return events;
}

}  // namespace

TEST(EventLog, every_event_type_is_in_the_catalogue_with_its_number_and_no_other_is) {
  const auto in_code = find_events(read_text(ROBINPIN_SOURCE "/src/event_log/event_log.h"),
                                   std::regex(R"(\n  (\w+) = (\d+),)"));
  const auto in_catalogue =
      find_events(read_text(ROBINPIN_SOURCE "/docs/events.md"), std::regex(R"(\n\| `(\w+)` \| (\d+) \|)"));
  CHECK(in_code.size() > 10);
  CHECK(in_code == in_catalogue);
}

TEST(EventLog, the_log_drops_the_oldest_events_and_its_counters_keep_counting_them) {
  constexpr std::size_t dropped = 10;
  constexpr std::size_t appended = event_log::EventLog::capacity + dropped;
  event_log::EventLog log;
  for (std::size_t i = 0; i < appended; ++i) log.append(event_log::EventType::clock_jumped, std::int64_t(i));
  CHECK_EQUAL(event_log::EventLog::capacity, log.events().size());
  CHECK_EQUAL(dropped, log.events().front().time);
  CHECK_EQUAL(appended, log.counts().counts.at(event_log::EventType::clock_jumped));
}
