// The list of servers, asked for over HTTP: a watch that goes on until it fails.
#pragma once

#include <optional>
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
std::optional<News> news_of(std::string_view text);

class List {
 public:
  List(asio::io_context& io, Sockets& sockets, Counters& counters, Desk& desk, Servers& servers,
       tcp::endpoint at);
  void told(const News& news, bool asked);
  awaitable<void> follow();  // runs as long as the node
  // From now on the list is told elsewhere: it is asked there at once, from the start.
  void move(tcp::endpoint to);

 private:
  awaitable<std::optional<News>> watch();
  awaitable<void> watch_on();

  asio::io_context& io_;
  Sockets& sockets_;
  Counters& counters_;
  Desk& desk_;
  Servers& servers_;
  tcp::endpoint at_;
  std::shared_ptr<Connection> connection_;
  long long version_ = 0;
  bool moved_ = false;  // while a call was out
};

}  // namespace robinpin::node
