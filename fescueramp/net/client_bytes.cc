#include "fescueramp/net/client_bytes.h"

// Instead of netinet/tcp.h, whose tcp_info lacks the counts of bytes.
#include <linux/in.h>
#include <linux/tcp.h>
#include <sys/socket.h>

namespace fescueramp {

std::uint64_t ClientBytes(int socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return 0;
  return info.tcpi_bytes_acked + info.tcpi_bytes_received;
}

}  // namespace fescueramp
