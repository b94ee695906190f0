// The list of servers, asked for over HTTP: a watch that goes on until it fails.
#pragma once

#include <optional>
#include <random>
#include <string>
#include <vector>

#include "connection.h"
#include "counters.h"
#include "desk.h"
#include "servers.h"

namespace robinpin::node {

// What discovery tells at once.
struct News {
  struct Entry {
    Line line;
    tcp::endpoint at;
  };
  long long version = 0;
  bool whole = false;
  std::vector<Entry> entries;
};

// Throws read::malformed, naming the faulty key.
News news_of(const read::value& told);
// Nothing if the text is not what discovery writes.
std::optional<News> news_of(std::string_view text, std::string* why = nullptr);

class List {
 public:
  List(asio::io_context& io, Sockets& sockets, Counters& counters, Desk& desk, Servers& servers,
       tcp::endpoint at, steady::duration doubt_after = std::chrono::seconds(2),
       steady::duration doubt_every = std::chrono::seconds(10), records::Facts* facts = nullptr,
       std::uint32_t seed = 0);
  void told(const News& news, bool asked);
  bool heard() const { return heard_; }  // from discovery, by this process
  awaitable<void> follow();              // runs as long as the node
  void ask_whole();  // now, once: who starts beside another needs an answer, not the next change
  // From now on the list is told elsewhere: it is asked there at once, from the start.
  void move(tcp::endpoint to);
  // A server that is listed takes no connection: a call that has been silent for a while is made anew, not
  // more often than now and then.
  void doubt();

 private:
  awaitable<std::optional<News>> watch();
  awaitable<void> watch_on();
  std::optional<News> failed(std::string why);
  void recall(const News& news);
  void drop();

  asio::io_context& io_;
  Sockets& sockets_;
  Counters& counters_;
  Desk& desk_;
  Servers& servers_;
  tcp::endpoint at_;
  std::shared_ptr<Connection> connection_;
  asking::Versions versions_;
  asking::Pace pace_;
  std::mt19937 chance_;
  bool heard_ = false;
  bool dropped_ = false;  // the call that was out, by us
  std::string why_;       // the last call failed
  log::Trouble trouble_;
  records::Facts* facts_;
  std::unordered_map<std::string, std::pair<standing, micros>>
      told_;  // state and start, where records are kept
  steady::duration doubt_after_, doubt_every_;
  steady::time_point asked_at_{}, doubted_at_{};
};

}  // namespace robinpin::node
