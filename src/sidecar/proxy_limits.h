// Limits and margins that the parts of the outbound proxy share.
#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

#include "upstream_pool.h"

namespace robinpin::sidecar {

// Slowest rate, in bytes a second, at which a request body may arrive.
constexpr std::size_t pace = 64 * 1024;
// For writing an answer whole.
constexpr std::chrono::seconds write_limit{10};
constexpr std::chrono::seconds probe_limit{1};
constexpr std::size_t longest_probe_answer = 64 * 1024;  // bytes of body, which nobody reads
// Microseconds after which a client may try again at a node that is not ready.
constexpr micros unready_back = 300'000;
// Microseconds by which a server's deadline is earlier than its caller's, so that its answer arrives in time.
constexpr micros closing_margin = 8'000;
constexpr std::string_view go_on = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace robinpin::sidecar
