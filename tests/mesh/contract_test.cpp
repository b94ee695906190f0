#include <fstream>
#include <filesystem>
#include <regex>
#include <set>
#include <sstream>

#include "../../src/chronicle/event_log.h"
#include "../../src/span/address.h"
#include "../../src/span/simulated_network.h"
#include "../../src/span/udp_transport.h"
#include "../../src/trove/leveldb_store.h"
#include "../../src/trove/memory_store.h"
#include "help.h"

#include <CppUTest/TestHarness.h>

using namespace robinpin;
using namespace robinpin::mesh_test;

namespace {

struct Folder {
  Folder() {
    char name[] = "/tmp/robinpin-trove-XXXXXX";
    path = ::mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  std::string path;
};

// What every trove must do; `again` opens the same one as a process's next life would.
void keeps_what_it_said(const std::function<std::unique_ptr<trove::KeyValueStore>()>& again) {
  using Durability = trove::KeyValueStore::Durability;
  const std::string bytes("\0 odd \xff bytes", 13), odd("k\0k", 3);
  const auto put = [](trove::KeyValueStore& t, const trove::KeyValueStore::WriteBatch& batch,
                      Durability durability) {
    STRCMP_EQUAL("", trouble_of<void>([&] { return t.write(batch, durability); }).c_str());
  };
  {
    auto t = again();
    put(*t, {{{"a", "1"}, {"b", bytes}, {"c", "gone"}}, {}}, Durability::synced);
    put(*t, {{{"d", "in time"}, {"e", "gone"}}, {"c", "never there"}}, Durability::unsynced);
    put(*t, {{{"a", "2"}, {odd, std::string(100'000, 'x')}, {"f", "dropped by the same"}}, {"e", "f"}},
        Durability::synced);
  }
  std::vector<trove::KeyValueStore::Entry> held;
  auto t = again();
  STRCMP_EQUAL("", trouble_of<void>([&]() -> trove::result<void> {
                     BOOST_LEAF_ASSIGN(held, t->read_all());
                     BOOST_LEAF_AUTO(size, t->size_on_disk());
                     CHECK(size > 0 && size < 1'000'000);  // what is alike is packed
                     return {};
                   }).c_str());
  CHECK(held == std::vector<trove::KeyValueStore::Entry>(
                    {{"a", "2"}, {"b", bytes}, {"d", "in time"}, {odd, std::string(100'000, 'x')}}));
}

// What every span must do: `run` lets time pass until what is under way has come.
void carries(span::DatagramTransport& a, span::Machine at_a, span::DatagramTransport& b, span::Machine at_b,
             const std::function<void(const std::function<bool()>&)>& run) {
  std::vector<std::pair<span::Machine, std::string>> to_a, to_b;
  a.set_handler([&](span::Machine from, std::string_view d) { to_a.emplace_back(from, d); });
  b.set_handler([&](span::Machine from, std::string_view d) { to_b.emplace_back(from, d); });
  const std::string odd("\0\xff\r\n", 4);
  a.send(at_b, odd);
  a.send(at_b, std::string(1'200, 'y'));
  a.send(at_b, std::string(rumour::longest_datagram + 1, 'z'));  // dropped
  b.send(at_a, "back");
  run([&] { return to_a.size() >= 1 && to_b.size() >= 2; });
  CHECK_EQUAL(1, to_a.size());
  CHECK(to_a[0] == std::make_pair(at_b, std::string("back")));
  CHECK_EQUAL(2, to_b.size());
  std::set<std::size_t> sizes;
  for (const auto& [from, d] : to_b) {
    CHECK_EQUAL(at_a, from);
    sizes.insert(d.size());
  }
  CHECK(sizes == std::set<std::size_t>({4, 1'200}));
}

}  // namespace

TEST_GROUP(Trove){};

TEST(Trove, in_memory_keeps_over_a_process_what_put_said_lasts) {
  const auto disk = std::make_shared<trove::MemoryStore::Disk>();
  keeps_what_it_said([&] { return std::make_unique<trove::MemoryStore>(disk); });
}

TEST(Trove, in_memory_loses_with_power_what_was_put_in_time_alone) {
  const auto disk = std::make_shared<trove::MemoryStore::Disk>();
  trove::MemoryStore t(disk);
  for (const auto& [name, how] : {std::pair("a", trove::KeyValueStore::Durability::unsynced),
                                  {"b", trove::KeyValueStore::Durability::synced},
                                  {"c", trove::KeyValueStore::Durability::unsynced}})
    STRCMP_EQUAL("", trouble_of<void>([&, n = name, h = how] {
                       return t.write({{{n, "x"}}, {}}, h);
                     }).c_str());
  CHECK_EQUAL(3, disk->written.size());
  disk->lose_power();
  CHECK(disk->written == (std::map<std::string, std::string>{{"a", "x"}, {"b", "x"}}));
}

TEST(Trove, on_disk_keeps_over_a_process_what_put_said_lasts) {
  const Folder folder;
  keeps_what_it_said([&] {
    std::unique_ptr<trove::KeyValueStore> t;
    STRCMP_EQUAL("", trouble_of<void>([&]() -> trove::result<void> {
                       BOOST_LEAF_ASSIGN(t, trove::open_leveldb_store(folder.path + "/t"));
                       return {};
                     }).c_str());
    return t;
  });
}

TEST(Trove, a_folder_that_is_a_file_is_told_with_step_and_peer) {
  const Folder folder;
  std::ofstream(folder.path + "/t") << "x";
  const std::string why = trouble_of<std::unique_ptr<trove::KeyValueStore>>(
      [&] { return trove::open_leveldb_store(folder.path + "/t"); });
  CHECK(why.starts_with("open|" + folder.path + "/t|"));
}

TEST_GROUP(Span){};

TEST(Span, in_memory_carries_bytes_whole_and_tells_from_whom) {
  span::SimulatedNetwork net(1);
  span::SimulatedTransport a(net, 1), b(net, 2);
  carries(a, 1, b, 2, [&](const auto&) { net.advance_to(1'000'000); });
}

TEST(Span, over_udp_carries_bytes_whole_and_tells_from_whom) {
  asio::io_context io;
  std::unique_ptr<span::UdpTransport> a, b;
  const auto at_a = span::parse_address("127.0.21.1"), at_b = span::parse_address("127.0.21.2");
  for (std::uint16_t port = 21'000; !b && port < 21'400; ++port) {  // one that is free at both
    a.reset();
    trouble_of<void>([&]() -> trove::result<void> {
      BOOST_LEAF_ASSIGN(a, span::UdpTransport::open(io, at_a, port));
      BOOST_LEAF_ASSIGN(b, span::UdpTransport::open(io, at_b, port));
      return {};
    });
  }
  CHECK(a && b);
  carries(*a, at_a, *b, at_b, [&](const std::function<bool()>& done) {
    while (!done()) io.run_one_for(std::chrono::seconds(5));
  });
}

TEST(Span, a_taken_address_is_told_with_step_and_peer) {
  asio::io_context io;
  const auto at = span::parse_address("127.0.21.3");
  std::unique_ptr<span::UdpTransport> a;
  std::string why;
  for (std::uint16_t port = 21'400; why.empty() && port < 21'800; ++port) {
    a.reset();
    trouble_of<void>([&]() -> trove::result<void> {
      BOOST_LEAF_ASSIGN(a, span::UdpTransport::open(io, at, port));
      return {};
    });
    if (a)
      why = trouble_of<std::unique_ptr<span::UdpTransport>>(
          [&] { return span::UdpTransport::open(io, at, port); });
  }
  CHECK(why.starts_with("bind|127.0.21.3:"));
}

TEST_GROUP(Wire){};

TEST(Wire, a_datagram_that_is_cut_short_or_lies_about_a_length_is_dropped) {
  rumour::News news;
  news.items.push_back({"c/a", 7, false, "text"});
  news.records.push_back({});
  const std::string good = rumour::written(rumour::kind::news, news);
  CHECK(rumour::read<rumour::News>(good).has_value());
  for (std::size_t n = 0; n < good.size(); ++n)
    CHECK_FALSE(rumour::read<rumour::News>(good.substr(0, n)).has_value());
  std::string lies = good;
  for (std::size_t i = 1; i < 9; ++i) lies[i] = char(0x7f);
  CHECK_FALSE(rumour::read<rumour::News>(lies).has_value());
}

TEST_GROUP(Chronicle){};

TEST(Chronicle, every_event_type_is_in_the_catalogue_with_its_number_and_no_other_is) {
  const auto text = [](const char* path) {
    std::ifstream in(path);
    std::stringstream s;
    s << in.rdbuf();
    return s.str();
  };
  const std::string header = text(ROBINPIN_SOURCE "/src/chronicle/event_log.h"),
                    page = text(ROBINPIN_SOURCE "/docs/events.md");
  const auto found = [](const std::string& in, const std::regex& what) {
    std::set<std::string> all;
    for (std::sregex_iterator it(in.begin(), in.end(), what), end; it != end; ++it)
      all.insert((*it)[2].str() + " " + (*it)[1].str());
    return all;
  };
  const auto code = found(header, std::regex(R"(\n  (\w+) = (\d+),)")),
             told = found(page, std::regex(R"(\n\| `(\w+)` \| (\d+) \|)"));
  CHECK(code.size() > 10);
  CHECK(code == told);
}

TEST(Chronicle, the_log_drops_the_oldest_events_and_its_counters_keep_counting_them) {
  chronicle::EventLog c;
  for (std::size_t i = 0; i < chronicle::EventLog::capacity + 10; ++i)
    c.append(chronicle::EventType::clock_jumped, std::int64_t(i));
  CHECK_EQUAL(chronicle::EventLog::capacity, c.events().size());
  CHECK_EQUAL(10, c.events().front().time);
  CHECK_EQUAL(chronicle::EventLog::capacity + 10, c.counts().counts.at(chronicle::EventType::clock_jumped));
}
