#include "figures.h"

#include <fmt/format.h>

#include <iterator>
#include <string_view>

namespace robinpin::node {

namespace {

// As the text form has a label's value.
std::string escaped(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

}  // namespace

std::string figures(const Counters& counters, const std::vector<std::string>& schemes,
                    const Standing& standing) {
  std::string out;
  const auto head = [&](std::string_view name, std::string_view type, std::string_view help) {
    fmt::format_to(std::back_inserter(out), "# HELP svc_{} {}\n# TYPE svc_{} {}\n", name, help, name, type);
  };
  const auto one = [&](std::string_view name, std::string_view type, std::string_view help, std::uint64_t n) {
    head(name, type, help);
    fmt::format_to(std::back_inserter(out), "svc_{} {}\n", name, n);
  };
  const auto by_scheme = [&](std::string_view name, std::string_view help, Counters::count Ended::*n) {
    head(name, "counter", help);
    for (std::size_t i = 0; i < schemes.size(); ++i)
      fmt::format_to(std::back_inserter(out), "svc_{}{{lane=\"{}\"}} {}\n", name, escaped(schemes[i]),
                     i < counters.by_scheme.size() ? counters.by_scheme[i].*n : 0);
  };
  by_scheme("completed_total", "Requests served.", &Ended::settled);
  by_scheme("rejected_total", "Requests refused.", &Ended::declined);
  by_scheme("failed_total", "Requests failed.", &Ended::reversed);
  one("upstream_requests_total", "counter", "Attempts written whole to servers.", counters.postings_written);
  one("pending", "gauge", "Requests taken and not ended.", standing.pending);
  one("members", "gauge", "Servers in the list.", standing.members);
  one("members_unavailable", "gauge", "Listed servers that the node avoids now.", standing.unavailable);
  one("config_reloads_total", "counter", "Files taken at SIGHUP.", counters.reloads);
  one("config_reload_errors_total", "counter", "Files turned down at SIGHUP.", counters.reload_errors);
  counters.each([&](std::string_view name, Counters::count n) {
    one(fmt::format("node_{}_total", name), "counter", "A count of the node's own.", n);
  });
  return out;
}

}  // namespace robinpin::node
