#include "fescueramp/net/unacknowledged_bytes.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace fescueramp {

std::size_t UnacknowledgedBytes(boost::asio::ip::tcp::socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace fescueramp
