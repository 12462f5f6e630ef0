#pragma once

#include <boost/asio/awaitable.hpp>
#include <map>
#include <memory>
#include <string>

#include "fescueramp/net/link.h"

namespace fescueramp {

/// Links to other nodes, one each, opened when first needed.
class LinkPool {
 public:
  explicit LinkPool(const asio::any_io_executor& executor) : m_executor(executor) {}

  /// An open link to the address. @throws LinkError when it can't be reached in time.
  asio::awaitable<std::shared_ptr<Link>> Get(std::string address, std::uint16_t port);

  void CloseAll();

 private:
  asio::any_io_executor m_executor;
  std::map<std::string, std::shared_ptr<Link>> m_links;  ///< By address and port.
};

}  // namespace fescueramp
