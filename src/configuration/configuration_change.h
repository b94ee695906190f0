// A call that changes the configuration, read and checked as a whole against a view of what stands; and the
// configuration written out again. Free of I/O.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "configuration_store.h"

namespace robinpin::configuration {

struct ValidationError {
  std::string pointer, reason;  // RFC 6901; why
};

struct ServiceReference {  // a service that an item names
  std::size_t item = 0;
  std::string service, pointer;
  bool brought = false;  // by the call itself
};

struct ConfigurationChange {
  std::vector<VersionedItem> items;
  std::vector<ServiceReference> needs;
  std::vector<ValidationError> faults;  // all of them; with any, no item may take effect
  bool is_too_long = false;             // more items than can ever stand: none of them is here

  std::size_t bytes() const;  // held by all of these
};

// Bounds on one call.
constexpr std::size_t max_fields = 256;            // names of fields in one table of records
constexpr std::size_t max_field_name_bytes = 256;  // of each
constexpr std::size_t max_call_bytes = ConfigurationStore::most_bytes;  // names and texts of all its items

// Bytes that reading this call takes at most, beside those of its text.
std::size_t bytes_to_read(std::string_view body);

// Read by itself: whether its services are known is for who holds the state.
ConfigurationChange read_call(std::string_view body);
// The same, held against a copy of the state.
ConfigurationChange read_change(std::string_view body, const ConfigurationStore& stands);
std::string faults_as_json(const std::vector<ValidationError>& faults);
// All that stands, laid out as in a first call's `apply`.
std::string written_out(const ConfigurationStore& stands);

// Microseconds of a text like "1500ms" or "2.5s"; below zero if it is none.
long long duration_of(std::string_view text);
std::string version_text(std::uint64_t version);  // eight hexadecimal digits

}  // namespace robinpin::configuration
