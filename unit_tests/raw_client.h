#pragma once

#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <string>

namespace fescueramp {

namespace asio = boost::asio;

/// Sends bytes to a server on loopback, shuts down sending and returns everything received.
asio::awaitable<std::string> ExchangeBytes(std::uint16_t port, std::string bytes);

}  // namespace fescueramp
