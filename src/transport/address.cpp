#include "address.h"

#include <asio/ip/address_v4.hpp>

namespace robinpin::transport {

std::string format_address(Machine machine) { return asio::ip::make_address_v4(machine).to_string(); }

Machine parse_address(std::string_view text) {
  asio::error_code error;
  const std::string host(text.substr(0, text.find(':')));
  const auto address = asio::ip::make_address_v4(host, error);
  return error ? 0 : address.to_uint();
}

}  // namespace robinpin::transport
