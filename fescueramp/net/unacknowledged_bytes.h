#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace fescueramp {

/// Number of bytes sent that the peer's system hasn't acknowledged; 0 if that is unknown. The end of sending
/// counts as one byte.
std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace fescueramp
