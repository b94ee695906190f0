// robinpin_wirehost: a line in, a line out, until the input ends.
#include <exception>
#include <iostream>
#include <string>

#include "host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  robinpin::wirehost::Host host;
  try {
    for (std::string line; std::getline(std::cin, line);)
      if (!line.empty()) std::cout << host.reply(std::move(line)) << '\n' << std::flush;
  } catch (const std::exception& e) {
    std::cerr << "robinpin_wirehost: " << e.what() << '\n';
    return 1;
  }
  return std::cout ? 0 : 1;
}
