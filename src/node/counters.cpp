#include "counters.h"

#include <fmt/format.h>

#include <iterator>
#include <string_view>

namespace robinpin::node {

std::string Counters::text() const {
  std::string out;
  const Ended sum = all();
  const auto put = [&](std::string_view name, count n) {
    fmt::format_to(std::back_inserter(out), "{} {}\n", name, n);
  };
  put("txns_settled", sum.settled);
  put("txns_declined", sum.declined);
  put("txns_reversed", sum.reversed);
  put("postings_written", postings_written);
  put("reloads", reloads);
  put("reload_errors", reload_errors);
  each(put);
  return out;
}

// What the page of figures does not have under a name of its own.
void Counters::each(const std::function<void(std::string_view, count)>& put) const {
  put("clients_accepted", clients_accepted);
  put("clients_evicted", clients_evicted);
  put("accepts_failed", accepts_failed);
  put("txns_taken", txns_taken);
  put("clients_left", clients_left);
  put("answers_broken", answers_broken);
  put("bad_requests", bad_requests);
  put("health_calls", health_calls);
  for (std::size_t i = 0; i < ending_names.size(); ++i)
    put(fmt::format("postings_{}", ending_names[i]), postings[i]);
  for (std::size_t i = 0; i < cause_names.size(); ++i)
    put(fmt::format("given_up_{}", cause_names[i]), given_up[i]);
  put("dials", dials);
  put("dials_failed", dials_failed);
  put("connections_reused", reuses);
  put("connections_idle_closed", idle_closed);
  put("connections_evicted", idle_evicted);
  put("postings_without_descriptor", no_room);
  put("list_calls", list_calls);
  put("list_failures", list_failures);
  put("list_news", list_news);
  put("list_doubts", list_doubts);
  put("list_older", list_older);
  put("list_empty", list_empty);
  put("list_paced", list_paced);
  put("limited_in_flight", limited_in_flight);
  put("limited_by_rate", limited_by_rate);
  put("config_accepted", config_accepted);
  put("config_refused", config_refused);
  put("terms_switched", terms_switched);
  put("terms_refused", terms_refused);
  put("records_dropped", records_dropped);
  put("exceptions", exceptions);
}

}  // namespace robinpin::node
